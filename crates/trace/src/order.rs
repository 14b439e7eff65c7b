//! The causal order of lines from nodes whose clocks disagree.

use std::collections::VecDeque;

use crate::{Line, Step};

/// Orders the lines of one request: what each node wrote as entry node or as serving node stays in
/// its order, and what a serving node did with an attempt stands between the offer and the end of
/// that attempt at the entry node, also where both are one.
///
/// Clocks decide only between lines that neither of the two rules orders; they may be seconds apart
/// or have jumped in between.
///
/// ```
/// assert!(trace::sort_causally(Vec::new()).is_empty());
/// ```
pub fn sort_causally(lines: Vec<Line>) -> Vec<Line> {
    let mut queues = by_writer(lines);
    let mut ordered: Vec<Line> = Vec::new();
    while let Some(next) = next_node(&queues, &ordered) {
        let queue = &mut queues[next];
        ordered.extend(queue.pop_front());
    }
    ordered
}

/// Returns the lines by who wrote them. A node writes its lines as serving node and those as entry
/// node each when that part of the work ends, so their order in the log says nothing.
fn by_writer(lines: Vec<Line>) -> Vec<VecDeque<Line>> {
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

/// Returns the queue whose first line may come next; the earliest by the clock among several.
fn next_node(queues: &[VecDeque<Line>], ordered: &[Line]) -> Option<usize> {
    let heads = || queues.iter().enumerate().filter_map(|(i, q)| q.front().map(|head| (i, head)));
    let free = heads().filter(|(_, head)| !is_blocked(head, queues, ordered));
    let next = free.min_by_key(|(_, head)| head.t);
    // Lines can be missing from logs; what waits for them must come at last.
    next.or_else(|| heads().min_by_key(|(_, head)| head.t)).map(|(index, _)| index)
}

/// Tells whether a line must come after one that is still in a queue.
fn is_blocked(line: &Line, queues: &[VecDeque<Line>], ordered: &[Line]) -> bool {
    let Some(attempt) = line.step.attempt() else { return false };
    let same = |other: &Line| other.step.attempt() == Some(attempt);
    let waits = |is_before: fn(&Step) -> bool| {
        let pending = queues.iter().flatten();
        pending.filter(|other| same(other)).any(|other| is_before(&other.step))
    };
    let offered = |other: &Line| same(other) && matches!(other.step, Step::Offered { .. });
    match line.step {
        Step::Claimed { .. } | Step::Ran { .. } => {
            !ordered.iter().any(offered) && waits(|step| matches!(step, Step::Offered { .. }))
        }
        Step::Attempted { .. } => {
            waits(|step| matches!(step, Step::Claimed { .. } | Step::Ran { .. }))
        }
        _ => false,
    }
}
