//! When a node that stops takes no more calls, and when it ends.

use std::time::Duration;

/// Shortest time between the announcement that a node leaves and its end.
///
/// Entry nodes that have not heard of it yet still offer calls in this time and are told "not
/// run"; after the end, an offer already written could only be answered "unknown".
pub const MIN_LEAVE_TIME: Duration = Duration::from_secs(1);

/// A leaving node ends only after no offer has come for this long.
const QUIET: Duration = Duration::from_millis(300);

/// Time between the close and the end of a node that has nothing in hand.
///
/// Nothing was in hand either while the process stood still, and what came meanwhile is read as it
/// wakes. Once closed it refuses such calls, which callers take elsewhere; ended, it would cut them.
const CLOSED_QUIET: Duration = Duration::from_millis(100);

/// Time that calls in hand get in any case once no more are taken.
///
/// A process that stands still until its time is over wakes with calls in hand that upstreams work on,
/// and takes more. Without this time it would end in the midst of them: a payment is told "unknown",
/// and an answer that is ready is lost. Half a second is the time of most calls, and leaves a tenth of a
/// grace time of five seconds.
const CLOSED_LEAST: Duration = Duration::from_millis(500);

/// Times of a planned stop from the announcement on.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// When calls of callers are no longer taken.
    pub close: Duration,
    /// When the process ends, whatever is in hand.
    pub limit: Duration,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time since the announcement.
    pub elapsed: Duration,
    /// Time since calls were taken last; none while they are.
    pub closed: Option<Duration>,
    /// Time since anything was in hand.
    pub idle: Duration,
}

/// What a stopping node does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// It goes on.
    Wait,
    /// It takes no more calls of callers.
    Close,
    /// It ends.
    End,
}

/// Returns what a stopping node does next; it never ends before it has closed.
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
    let is_quiet = elapsed >= MIN_LEAVE_TIME && idle >= QUIET;
    let Some(closed) = closed else {
        let closes = is_quiet || elapsed >= plan.close.min(plan.limit);
        return if closes { Step::Close } else { Step::Wait };
    };
    let ends =
        (is_quiet && closed >= CLOSED_QUIET) || (elapsed >= plan.limit && closed >= CLOSED_LEAST);
    if ends { Step::End } else { Step::Wait }
}
