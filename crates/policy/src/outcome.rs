//! The three outcomes of a call, and which loss leads to which.
//!
//! A caller acts on the outcome: it repeats a payment only when told that it was not run. Every
//! step at which a call can be lost is therefore listed in [`Step`], every way of losing it in
//! [`Loss`], and [`of_loss`] gives the one outcome that is true for the pair.

use std::{fmt, time::Duration};

/// Why a call was provably not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// The service is not in the configuration, or no configuration is in force.
    UnknownService,
    /// The node holds no configuration yet.
    Unready,
    /// The configuration that the node holds does not name the service or route, but a newer one is
    /// in force elsewhere, which may.
    Outdated,
    /// The service has no upstream that may take work.
    NoUpstream,
    /// Slots and queue of the upstream are full, or the queue is longer than the time left.
    Overloaded,
    /// The upstream itself refused before beginning the work.
    Refused,
    /// The upstream is leaving.
    Leaving,
    /// The upstream or its node could not be connected to.
    Unreachable,
    /// The time for the call was over before it was claimed.
    Late,
    /// The caller went away before the call was claimed.
    Cancelled,
    /// The node was paused and cannot tell how old the request is.
    Paused,
    /// The address now belongs to another life of the node.
    Replaced,
    /// The node holds as many calls as it may.
    Saturated,
    /// Upstreams ended under such requests; it is not run for a while.
    Quarantined,
    /// Operators had the data centre of the upstream evacuated.
    Evacuated,
    /// The request itself is not acceptable: cut short, too large, too slow or malformed.
    BadRequest,
}

/// Why it is not known whether a call was run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Doubt {
    /// The connection broke after the request was passed on.
    Broken,
    /// No answer came in time.
    Timeout,
    /// The answer was cut short, too large, or belonged to another request.
    BadAnswer,
}

/// What a caller is told about a call that has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The call was not run and may be repeated after the given time.
    NotRun(Cause, Duration),
    /// The call may or may not have run.
    Unknown(Doubt),
}

impl Outcome {
    /// Returns the name of the cause or doubt.
    pub fn reason(self) -> &'static str {
        match self {
            Outcome::NotRun(cause, _) => cause.name(),
            Outcome::Unknown(doubt) => doubt.name(),
        }
    }

    /// Returns the outcome of a call whose attempts ended with `earlier` and then with this one.
    ///
    /// If one attempt may have run, "not run" of a later one does not make the call not run.
    ///
    /// ```
    /// use policy::outcome::{Cause, Doubt, Outcome};
    /// let lost = Outcome::Unknown(Doubt::Timeout);
    /// assert_eq!(Cause::Overloaded.outcome().after(lost), lost);
    /// ```
    pub fn after(self, earlier: Outcome) -> Outcome {
        match (earlier, self) {
            (Outcome::Unknown(_), Outcome::NotRun(..)) => earlier,
            _ => self,
        }
    }
}

/// A step of a call at which it can be lost.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// The entry node is receiving the request.
    Receive,
    /// The entry node is connecting to the serving node.
    Connect,
    /// The entry node has begun to send the request to the serving node.
    Offer,
    /// The request waits at the serving node for a slot.
    Queue,
    /// The serving node is connecting to the upstream.
    Dial,
    /// The first byte may have gone to the upstream.
    Run,
    /// The answer is on its way back.
    Answer,
}

/// Every step, in the order in which a call passes them.
pub const STEPS: [Step; 7] =
    [Step::Receive, Step::Connect, Step::Offer, Step::Queue, Step::Dial, Step::Run, Step::Answer];

/// A way in which a call is lost at a step.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Loss {
    /// The other side refuses with its own word.
    Refusal(Cause),
    /// The other side closes or resets the connection.
    Closed,
    /// The other side is silent until the time is over.
    Timeout,
    /// What arrives is not a whole message of this call.
    Malformed,
}

/// Returns what is true of a call that was lost at `step` by `loss`.
///
/// | step | refusal | closed | silent | garbled |
/// |---|---|---|---|---|
/// | receive | not run | not run | not run | not run |
/// | connect | not run | not run | not run | not run |
/// | offer | not run | unknown | unknown | unknown |
/// | queue, dial | not run | not run | not run | not run |
/// | run | not run | unknown | unknown | unknown |
/// | answer | unknown | unknown | unknown | unknown |
///
/// Receive, connect: nobody but the entry node holds the request. Offer: from the first byte on, the
/// serving node may hold it, and only that node's word proves that it was not claimed. Queue, dial:
/// the serving node speaks of itself and has sent the upstream nothing. Run: only an upstream that
/// its profile trusts to say so refuses before working. Answer: work was done, by whatever half.
///
/// ```
/// use policy::outcome::{Doubt, Loss, Outcome, Step, of_loss};
/// assert_eq!(of_loss(Step::Run, Loss::Closed), Outcome::Unknown(Doubt::Broken));
/// ```
pub fn of_loss(step: Step, loss: Loss) -> Outcome {
    let unclaimed = matches!(step, Step::Receive | Step::Connect | Step::Queue | Step::Dial);
    match loss {
        Loss::Refusal(cause) if step != Step::Answer => cause.outcome(),
        Loss::Closed | Loss::Malformed if unclaimed => cause_of(step).outcome(),
        Loss::Timeout if unclaimed => silence_of(step).outcome(),
        Loss::Closed => Outcome::Unknown(Doubt::Broken),
        Loss::Timeout => Outcome::Unknown(Doubt::Timeout),
        Loss::Malformed | Loss::Refusal(_) => Outcome::Unknown(Doubt::BadAnswer),
    }
}

fn silence_of(step: Step) -> Cause {
    if step == Step::Queue { Cause::Late } else { cause_of(step) }
}

fn cause_of(step: Step) -> Cause {
    match step {
        Step::Receive => Cause::BadRequest,
        Step::Queue => Cause::Cancelled,
        _ => Cause::Unreachable,
    }
}

impl Cause {
    /// Returns when a caller should come back, where nothing more precise is known.
    ///
    /// A cause that another upstream or a moment can cure asks for little patience; one that only
    /// an operator or the platform can cure asks for more.
    pub fn retry_after(self) -> Duration {
        match self {
            Cause::Leaving | Cause::Paused | Cause::Replaced | Cause::Cancelled => BRIEF,
            Cause::Unready
            | Cause::Outdated
            | Cause::Unreachable
            | Cause::Overloaded
            | Cause::Refused
            | Cause::Saturated => MODERATE,
            Cause::UnknownService
            | Cause::NoUpstream
            | Cause::Late
            | Cause::Evacuated
            | Cause::Quarantined
            | Cause::BadRequest => LONG,
        }
    }

    /// Returns the outcome of a call that was not run for this cause.
    pub fn outcome(self) -> Outcome {
        Outcome::NotRun(self, self.retry_after())
    }
}

const BRIEF: Duration = Duration::from_millis(100);
const MODERATE: Duration = Duration::from_millis(500);
const LONG: Duration = Duration::from_secs(2);

/// Names of causes on the wire and in metrics.
const CAUSES: [(Cause, &str); 16] = [
    (Cause::Unready, "unready"),
    (Cause::Outdated, "outdated"),
    (Cause::UnknownService, "unknown-service"),
    (Cause::NoUpstream, "no-upstream"),
    (Cause::Overloaded, "overloaded"),
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
    /// Returns the name used on the wire and in metrics.
    pub fn name(self) -> &'static str {
        CAUSES.iter().find(|(cause, _)| *cause == self).map_or("", |(_, name)| name)
    }

    /// Finds a cause by its name on the wire.
    ///
    /// ```
    /// use policy::outcome::Cause;
    /// assert_eq!(Cause::parse("leaving"), Some(Cause::Leaving));
    /// ```
    pub fn parse(name: &str) -> Option<Cause> {
        CAUSES.iter().find(|(_, n)| *n == name).map(|(cause, _)| *cause)
    }
}

impl Doubt {
    /// Returns the name used on the wire and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Doubt::Broken => "broken",
            Doubt::Timeout => "timeout",
            Doubt::BadAnswer => "bad-answer",
        }
    }

    /// Finds a doubt by its name on the wire.
    pub fn parse(name: &str) -> Option<Doubt> {
        [Doubt::Broken, Doubt::Timeout, Doubt::BadAnswer].into_iter().find(|d| d.name() == name)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
