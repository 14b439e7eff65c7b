//! Causal order of the lines of a trace, independent of clock skew between nodes.

use std::collections::VecDeque;

use crate::{Line, Step};

/// Sorts the lines of one request in causal order.
///
/// Lines of one node in the same role (entry or serving) keep their order. Lines of the serving
/// node about an attempt come between the entry node's `offered` and `attempted` lines. Timestamps
/// break the remaining ties.
///
/// ```
/// assert!(trace::sort_causally(Vec::new()).is_empty());
/// ```
pub fn sort_causally(lines: Vec<Line>) -> Vec<Line> {
    let mut queues = group_by_writer(lines);
    let mut ordered: Vec<Line> = Vec::new();
    while let Some(next) = next_queue(&queues, &ordered) {
        let queue = &mut queues[next];
        ordered.extend(queue.pop_front());
    }
    ordered
}

/// Groups the lines by node and role. A node writes the lines of each role when that role ends, so
/// their order across roles has no meaning.
fn group_by_writer(lines: Vec<Line>) -> Vec<VecDeque<Line>> {
    let serving = |line: &Line| matches!(line.step, Step::Claimed { .. } | Step::Ran { .. });
    let mut queues: Vec<VecDeque<Line>> = Vec::new();
    for line in lines {
        let same = |first: &Line| first.node == line.node && serving(first) == serving(&line);
        match queues.iter_mut().find(|q| q.front().is_some_and(same)) {
            Some(queue) => queue.push_back(line),
            None => queues.push(VecDeque::from([line])),
        }
    }
    queues
}

/// Returns the queue whose first line comes next; of several, the one with the earliest timestamp.
fn next_queue(queues: &[VecDeque<Line>], ordered: &[Line]) -> Option<usize> {
    let heads = || queues.iter().enumerate().filter_map(|(i, q)| q.front().map(|head| (i, head)));
    let ready = heads().filter(|(_, head)| !is_blocked(head, queues, ordered));
    let next = ready.min_by_key(|(_, head)| head.t);
    // If all are blocked, some line is missing from the logs: continue with the earliest.
    next.or_else(|| heads().min_by_key(|(_, head)| head.t)).map(|(index, _)| index)
}

/// Returns whether `line` must come after a line that is still in a queue.
fn is_blocked(line: &Line, queues: &[VecDeque<Line>], ordered: &[Line]) -> bool {
    let Some(attempt) = line.step.attempt() else { return false };
    let same_attempt = |other: &Line| other.step.attempt() == Some(attempt);
    let is_pending = |is_before: fn(&Step) -> bool| {
        let pending = queues.iter().flatten();
        pending.filter(|other| same_attempt(other)).any(|other| is_before(&other.step))
    };
    let is_offer = |other: &Line| same_attempt(other) && matches!(other.step, Step::Offered { .. });
    match line.step {
        Step::Claimed { .. } | Step::Ran { .. } => {
            !ordered.iter().any(is_offer) && is_pending(|step| matches!(step, Step::Offered { .. }))
        }
        Step::Attempted { .. } => {
            is_pending(|step| matches!(step, Step::Claimed { .. } | Step::Ran { .. }))
        }
        _ => false,
    }
}
