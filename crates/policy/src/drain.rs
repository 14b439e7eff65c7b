//! Phases of a planned stop: when a node stops accepting calls and when its process ends.

use std::time::Duration;

/// Shortest time between the announcement of a stop and the end of the process.
///
/// Entry nodes that have not yet received the announcement still offer calls and get "not run"; an
/// offer written after the end would have an unknown outcome.
pub const MIN_LEAVE_TIME: Duration = Duration::from_secs(1);

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
