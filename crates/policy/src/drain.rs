//! Phases of a planned stop: when a node stops accepting calls and when its process ends.

use std::time::Duration;

/// Shortest time between the announcement of a stop and the end of the process.
///
/// Entry nodes that have not yet received the announcement still offer calls and get "not run"; an
/// offer written after the end would have an unknown outcome.
pub const MIN_LEAVE_TIME: Duration = Duration::from_secs(1);

/// Time at the end of a stop for the last messages to other nodes to be sent.
pub const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Time without calls in flight after which a node is idle.
const MIN_IDLE: Duration = Duration::from_millis(300);

/// Time between the close and the end of an idle node.
///
/// Calls that arrived during a pause of the process are read and refused in this time instead of
/// being broken off.
const MIN_CLOSED_IDLE: Duration = Duration::from_millis(100);

/// Time that calls in flight get after the close, even past the limit.
///
/// A process that was paused until its limit may resume with calls in flight, whose outcomes would be
/// unknown if it ended at once.
const MIN_CLOSED_BUSY: Duration = Duration::from_millis(500);

/// Times of a planned stop, counted from its announcement.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// When the node stops accepting calls.
    pub close: Duration,
    /// When the process ends, even with calls in flight.
    pub limit: Duration,
}

impl Plan {
    /// Plans the rest of a stop, of which `left` remains with everything that follows the end of the last
    /// call; calls may take up to `drain`, and new ones are refused in the `finish` time at the end.
    ///
    /// What the stop has spent already, such as a late start, is missing from `left`, so that it does not
    /// move the close.
    ///
    /// ```
    /// use policy::drain::Plan;
    /// use std::time::Duration;
    /// let [left, drain, finish] = [3_000, 60_000, 1_000].map(Duration::from_millis);
    /// let plan = Plan::new(left, drain, finish);
    /// assert_eq!(plan.close, Duration::from_secs(2));
    /// assert!(plan.limit < left);
    /// ```
    pub fn new(left: Duration, drain: Duration, finish: Duration) -> Plan {
        let total = drain.max(MIN_LEAVE_TIME).min(left);
        Plan {
            close: total.saturating_sub(finish),
            limit: total.min(left.saturating_sub(FLUSH_TIME)),
        }
    }
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time since the announcement.
    pub elapsed: Duration,
    /// Time since the node stopped accepting calls; `None` while it accepts them.
    pub closed: Option<Duration>,
    /// Time since a call was last in flight.
    pub idle: Duration,
}

/// Next step of a stopping node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Continue unchanged.
    Wait,
    /// Stop accepting calls.
    Close,
    /// End the process.
    End,
}

/// Returns the next step of a stopping node; the close always precedes the end.
///
/// ```
/// use policy::drain::{Plan, Progress, Step, next_step};
/// use std::time::Duration;
/// let plan = Plan { close: Duration::from_secs(2), limit: Duration::from_secs(4) };
/// let idle = Duration::from_secs(1);
/// let progress = Progress { elapsed: Duration::from_secs(1), closed: None, idle };
/// assert_eq!(next_step(plan, progress), Step::Close);
/// assert_eq!(next_step(plan, Progress { closed: Some(idle), ..progress }), Step::End);
/// ```
pub fn next_step(plan: Plan, progress: Progress) -> Step {
    let Progress { elapsed, closed, idle } = progress;
    let is_idle = elapsed >= MIN_LEAVE_TIME && idle >= MIN_IDLE;
    let Some(closed) = closed else {
        let closes = is_idle || elapsed >= plan.close.min(plan.limit);
        return if closes { Step::Close } else { Step::Wait };
    };
    let ends = (is_idle && closed >= MIN_CLOSED_IDLE)
        || (elapsed >= plan.limit && closed >= MIN_CLOSED_BUSY);
    if ends { Step::End } else { Step::Wait }
}
