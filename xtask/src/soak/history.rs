//! History of the conditions of an instance or of the platform.

use std::time::Instant;

/// A condition that may excuse the violation of an invariant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Condition {
    /// The node was killed; lasts until its next process serves.
    Killed,
    /// The node's process is suspended.
    Paused,
    /// The node was asked to stop and has not exited.
    Stopping,
    /// The node has exited after a planned stop; lasts until its next process serves.
    Stopped,
    /// The node has exited unexpectedly.
    Crashed,
    /// The network between the other nodes and this one's listener for their calls is faulty.
    Nodes,
    /// The network between the node and the platform is faulty.
    Platform,
    /// The upstream is faulty.
    Upstream,
    /// The upstream's process was killed.
    Gone,
    /// The platform lists the upstream as leaving.
    Leaving,
    /// The platform lists the upstream's data centre as evacuated.
    Evacuated,
    /// The platform serves no node.
    Outage,
    /// The platform came back from an older copy, and what it lost is not written again.
    Restored,
}

/// A period in which a condition held; without an end, it still holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    pub(crate) condition: Condition,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
    /// When the condition was last known to hold; its end may be noticed late.
    pub(crate) confirmed: Instant,
}

impl Span {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// All conditions of one instance or of the platform.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    spans: Vec<Span>,
}

impl History {
    /// Begins a condition, unless it already holds.
    pub(crate) fn begin(&mut self, condition: Condition) {
        if !self.is_active(condition) {
            let from = Instant::now();
            self.spans.push(Span { condition, from, until: None, confirmed: from });
        }
    }

    /// Ends a condition, if it holds.
    pub(crate) fn end(&mut self, condition: Condition) {
        let is_match = |span: &&mut Span| span.condition == condition && span.until.is_none();
        if let Some(span) = self.spans.iter_mut().find(is_match) {
            span.until = Some(Instant::now());
        }
    }

    /// Confirms that a condition still holds, if it does.
    pub(crate) fn confirm(&mut self, condition: Condition) {
        let is_match = |span: &&mut Span| span.condition == condition && span.until.is_none();
        if let Some(span) = self.spans.iter_mut().find(is_match) {
            span.confirmed = Instant::now();
        }
    }

    pub(crate) fn is_active(&self, condition: Condition) -> bool {
        self.spans.iter().any(|span| span.condition == condition && span.until.is_none())
    }

    /// Returns the spans of `conditions` that overlap with the given period.
    pub(crate) fn during(
        &self,
        conditions: &[Condition],
        from: Instant,
        until: Instant,
    ) -> impl Iterator<Item = Span> {
        self.spans
            .iter()
            .copied()
            .filter(move |span| conditions.contains(&span.condition) && span.overlaps(from, until))
    }

    /// Tells whether any of `conditions` overlaps with the given period.
    pub(crate) fn overlaps(&self, conditions: &[Condition], from: Instant, until: Instant) -> bool {
        self.during(conditions, from, until).next().is_some()
    }

    /// Returns all spans of one kind.
    pub(crate) fn all(&self, condition: Condition) -> impl Iterator<Item = Span> {
        self.spans.iter().copied().filter(move |span| span.condition == condition)
    }
}
