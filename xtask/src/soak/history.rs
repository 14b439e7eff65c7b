//! What was out of order at one place, and when.

use std::time::Instant;

/// What can be out of order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Condition {
    /// The node was killed; it lasts until its successor serves.
    Killed,
    /// The node's process stands still.
    Paused,
    /// The node was asked to stop and has not ended.
    Stopping,
    /// The node has ended by itself; it lasts until its successor serves.
    Stopped,
    /// The node has ended though nobody asked it to.
    Crashed,
    /// The network between other nodes and this one's calls is bad.
    Nodes,
    /// The network between the node and the platform is bad.
    Platform,
    /// The upstream misbehaves.
    Upstream,
    /// The upstream's process is gone.
    Gone,
    /// The platform has acknowledged that the upstream leaves.
    Leaving,
    /// The platform has acknowledged that the upstream's data centre is evacuated.
    Evacuated,
    /// The platform itself serves nobody.
    Outage,
}

/// A time during which something was out of order; without an end, it still is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    pub(crate) condition: Condition,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
    /// When it was seen to last, most recently; its end may be noticed late.
    pub(crate) confirmed: Instant,
}

impl Span {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// All that was out of order at one place.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    spans: Vec<Span>,
}

impl History {
    /// Notes that something is out of order from now on; it is noted once.
    pub(crate) fn begin(&mut self, condition: Condition) {
        if !self.is_active(condition) {
            let from = Instant::now();
            self.spans.push(Span { condition, from, until: None, confirmed: from });
        }
    }

    /// Notes that something is in order again.
    pub(crate) fn end(&mut self, condition: Condition) {
        let open = |span: &&mut Span| span.condition == condition && span.until.is_none();
        if let Some(span) = self.spans.iter_mut().find(open) {
            span.until = Some(Instant::now());
        }
    }

    /// Notes that something is still out of order, if it is.
    pub(crate) fn confirm(&mut self, condition: Condition) {
        let open = |span: &&mut Span| span.condition == condition && span.until.is_none();
        if let Some(span) = self.spans.iter_mut().find(open) {
            span.confirmed = Instant::now();
        }
    }

    pub(crate) fn is_active(&self, condition: Condition) -> bool {
        self.spans.iter().any(|span| span.condition == condition && span.until.is_none())
    }

    /// Returns the spans of `conditions` that have a moment in common with the time given.
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

    /// Tells whether any of `conditions` was there at a moment of the time given.
    pub(crate) fn overlaps(&self, conditions: &[Condition], from: Instant, until: Instant) -> bool {
        self.during(conditions, from, until).next().is_some()
    }

    /// Returns all spans of one kind.
    pub(crate) fn all(&self, condition: Condition) -> impl Iterator<Item = Span> {
        self.spans.iter().copied().filter(move |span| span.condition == condition)
    }
}
