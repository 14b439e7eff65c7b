//! Outcomes of a call, and the outcome that each kind of loss leads to.
//!
//! Callers retry a non-idempotent call only after the outcome "not run", which must therefore be proven.

use std::{fmt, time::Duration};

/// Why a call was provably not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// The service is not in the configuration, or no configuration is active.
    UnknownService,
    /// The node has no configuration yet.
    Unready,
    /// The node's configuration lacks the service or route, and a newer version is active
    /// elsewhere.
    Outdated,
    /// The route of the call cannot be used as it stands in the configuration.
    UnusableRoute,
    /// The service has no upstream that accepts calls.
    NoUpstream,
    /// No slot of the upstream will be free before the deadline, or its queue is full.
    Overloaded,
    /// The limit that the upstream named leaves no call in time.
    Limited,
    /// Too many nested calls of its kind found no capacity at the services that they called.
    NestedOverloaded,
    /// The upstream refused the call before running it.
    Refused,
    /// The upstream is leaving the fleet.
    Leaving,
    /// No connection to the upstream or its node could be opened.
    Unreachable,
    /// The deadline passed before the claim.
    Late,
    /// The caller disconnected before the claim.
    Cancelled,
    /// The node was paused, so the age of the request is unknown.
    Paused,
    /// The address belongs to another incarnation of the node.
    Replaced,
    /// The limit of calls in flight of the node is reached.
    Saturated,
    /// The request is quarantined as a poison request.
    Quarantined,
    /// The data centre of the upstream is evacuated by operators.
    Evacuated,
    /// The request is truncated, too large, too slow or malformed.
    BadRequest,
}

/// Why it is unknown whether a call was run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Uncertainty {
    /// The connection broke after the request was sent.
    Broken,
    /// No answer arrived in time.
    Timeout,
    /// The answer was truncated, too large, or belonged to another request.
    BadAnswer,
}

/// Outcome that is reported for a call without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The call was not run and may be retried after the given delay.
    NotRun(Cause, Duration),
    /// The call may or may not have been run.
    Unknown(Uncertainty),
}

impl Outcome {
    /// Returns the name of the cause or uncertainty on the wire.
    pub fn reason(self) -> &'static str {
        match self {
            Outcome::NotRun(cause, _) => cause.name(),
            Outcome::Unknown(uncertainty) => uncertainty.name(),
        }
    }

    /// Combines the outcome of the last attempt with that of an `earlier` one.
    ///
    /// If any attempt may have run, a later "not run" does not change that.
    ///
    /// ```
    /// use policy::outcome::{Cause, Uncertainty, Outcome};
    /// let lost = Outcome::Unknown(Uncertainty::Timeout);
    /// assert_eq!(Cause::Overloaded.outcome().after(lost), lost);
    /// ```
    pub fn after(self, earlier: Outcome) -> Outcome {
        match (earlier, self) {
            (Outcome::Unknown(_), Outcome::NotRun(..)) => earlier,
            _ => self,
        }
    }
}

/// Step of a call at which it can be lost.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// The entry node receives the request.
    Receive,
    /// The entry node connects to the serving node.
    Connect,
    /// The entry node sends the request to the serving node.
    Offer,
    /// The request waits for a slot at the serving node.
    Queue,
    /// The serving node connects to the upstream.
    Dial,
    /// The upstream may have received the first byte.
    Run,
    /// The answer is being sent back.
    Answer,
}

/// All steps in the order of a call.
pub const STEPS: [Step; 7] =
    [Step::Receive, Step::Connect, Step::Offer, Step::Queue, Step::Dial, Step::Run, Step::Answer];

/// Way in which a call is lost at a step.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Loss {
    /// The peer refuses the call explicitly.
    Refusal(Cause),
    /// The peer closes or resets the connection.
    Closed,
    /// The peer does not respond before the deadline.
    Timeout,
    /// The peer sends something that is not a complete message of this call.
    Malformed,
}

/// Returns the outcome of a call that was lost at `step` by `loss`.
///
/// | step | refusal | closed | timeout | malformed |
/// |---|---|---|---|---|
/// | receive | not run | not run | not run | not run |
/// | connect | not run | not run | not run | not run |
/// | offer | not run | unknown | unknown | unknown |
/// | queue, dial | not run | not run | not run | not run |
/// | run | not run | unknown | unknown | unknown |
/// | answer | unknown | unknown | unknown | unknown |
///
/// Receive, connect: only the entry node has the request. Offer: the serving node may have it from
/// the first byte on, and only its refusal proves that there was no claim. Queue, dial: nothing was
/// sent to the upstream. Run: a refusal counts only if the profile trusts the upstream to refuse
/// before it runs the call. Answer: the call was run, at least in part.
///
/// ```
/// use policy::outcome::{Uncertainty, Loss, Outcome, Step, of_loss};
/// assert_eq!(of_loss(Step::Run, Loss::Closed), Outcome::Unknown(Uncertainty::Broken));
/// ```
pub fn of_loss(step: Step, loss: Loss) -> Outcome {
    let is_unclaimed = matches!(step, Step::Receive | Step::Connect | Step::Queue | Step::Dial);
    match loss {
        Loss::Refusal(cause) if step != Step::Answer => cause.outcome(),
        Loss::Closed | Loss::Malformed if is_unclaimed => loss_cause(step).outcome(),
        Loss::Timeout if is_unclaimed => timeout_cause(step).outcome(),
        Loss::Closed => Outcome::Unknown(Uncertainty::Broken),
        Loss::Timeout => Outcome::Unknown(Uncertainty::Timeout),
        Loss::Malformed | Loss::Refusal(_) => Outcome::Unknown(Uncertainty::BadAnswer),
    }
}

fn timeout_cause(step: Step) -> Cause {
    if step == Step::Queue { Cause::Late } else { loss_cause(step) }
}

fn loss_cause(step: Step) -> Cause {
    match step {
        Step::Receive => Cause::BadRequest,
        Step::Queue => Cause::Cancelled,
        _ => Cause::Unreachable,
    }
}

impl Cause {
    /// Returns the default `Retry-After` of this cause.
    ///
    /// It is short if another upstream or a short wait resolves the cause, and longer if an operator
    /// or the platform has to.
    pub fn retry_after(self) -> Duration {
        match self {
            Cause::Leaving | Cause::Paused | Cause::Replaced | Cause::Cancelled => SHORT_DELAY,
            Cause::Unready
            | Cause::Outdated
            | Cause::Unreachable
            | Cause::Overloaded
            | Cause::Limited
            | Cause::NestedOverloaded
            | Cause::Refused
            | Cause::Saturated => MEDIUM_DELAY,
            Cause::UnknownService
            | Cause::UnusableRoute
            | Cause::NoUpstream
            | Cause::Late
            | Cause::Evacuated
            | Cause::Quarantined
            | Cause::BadRequest => LONG_DELAY,
        }
    }

    /// Returns the "not run" outcome with this cause and its default `Retry-After`.
    pub fn outcome(self) -> Outcome {
        Outcome::NotRun(self, self.retry_after())
    }
}

// Default `Retry-After` times; see `Cause::retry_after`.
const SHORT_DELAY: Duration = Duration::from_millis(100);
const MEDIUM_DELAY: Duration = Duration::from_millis(500);
const LONG_DELAY: Duration = Duration::from_secs(2);

/// Names of causes on the wire and in metrics.
const CAUSES: [(Cause, &str); 19] = [
    (Cause::Unready, "unready"),
    (Cause::Outdated, "outdated"),
    (Cause::UnknownService, "unknown-service"),
    (Cause::UnusableRoute, "unusable-route"),
    (Cause::NoUpstream, "no-upstream"),
    (Cause::Overloaded, "overloaded"),
    (Cause::Limited, "limited"),
    (Cause::NestedOverloaded, "nested-overloaded"),
    (Cause::Refused, "refused"),
    (Cause::Leaving, "leaving"),
    (Cause::Unreachable, "unreachable"),
    (Cause::Late, "late"),
    (Cause::Cancelled, "cancelled"),
    (Cause::Paused, "paused"),
    (Cause::Replaced, "replaced"),
    (Cause::Saturated, "saturated"),
    (Cause::Quarantined, "quarantined"),
    (Cause::Evacuated, "evacuated"),
    (Cause::BadRequest, "bad-request"),
];

impl Cause {
    /// Returns the name on the wire and in metrics.
    pub fn name(self) -> &'static str {
        CAUSES.iter().find(|(cause, _)| *cause == self).map_or("", |(_, name)| name)
    }

    /// Parses a name from the wire.
    ///
    /// ```
    /// use policy::outcome::Cause;
    /// assert_eq!(Cause::parse("leaving"), Some(Cause::Leaving));
    /// ```
    pub fn parse(name: &str) -> Option<Cause> {
        CAUSES.iter().find(|(_, n)| *n == name).map(|(cause, _)| *cause)
    }
}

impl Uncertainty {
    /// Returns the name on the wire and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Uncertainty::Broken => "broken",
            Uncertainty::Timeout => "timeout",
            Uncertainty::BadAnswer => "bad-answer",
        }
    }

    /// Parses a name from the wire.
    pub fn parse(name: &str) -> Option<Uncertainty> {
        [Uncertainty::Broken, Uncertainty::Timeout, Uncertainty::BadAnswer]
            .into_iter()
            .find(|d| d.name() == name)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for Uncertainty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
