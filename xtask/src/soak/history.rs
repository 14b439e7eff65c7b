//! What was out of order at one place, and when.

use std::time::Instant;

/// What can be out of order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Trouble {
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
    pub(crate) trouble: Trouble,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
    /// When it was seen to last, most recently; its end may be noticed late.
    pub(crate) seen: Instant,
}

impl Span {
    fn meets(&self, from: Instant, until: Instant) -> bool {
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
    pub(crate) fn begin(&mut self, trouble: Trouble) {
        if !self.is_open(trouble) {
            let from = Instant::now();
            self.spans.push(Span { trouble, from, until: None, seen: from });
        }
    }

    /// Notes that something is in order again.
    pub(crate) fn end(&mut self, trouble: Trouble) {
        let open = |span: &&mut Span| span.trouble == trouble && span.until.is_none();
        if let Some(span) = self.spans.iter_mut().find(open) {
            span.until = Some(Instant::now());
        }
    }

    /// Notes that something is still out of order, if it is.
    pub(crate) fn see(&mut self, trouble: Trouble) {
        let open = |span: &&mut Span| span.trouble == trouble && span.until.is_none();
        if let Some(span) = self.spans.iter_mut().find(open) {
            span.seen = Instant::now();
        }
    }

    pub(crate) fn is_open(&self, trouble: Trouble) -> bool {
        self.spans.iter().any(|span| span.trouble == trouble && span.until.is_none())
    }

    /// Returns the spans of `troubles` that have a moment in common with the time given.
    pub(crate) fn during(
        &self,
        troubles: &[Trouble],
        from: Instant,
        until: Instant,
    ) -> impl Iterator<Item = Span> {
        self.spans
            .iter()
            .copied()
            .filter(move |span| troubles.contains(&span.trouble) && span.meets(from, until))
    }

    /// Tells whether any of `troubles` was there at a moment of the time given.
    pub(crate) fn had(&self, troubles: &[Trouble], from: Instant, until: Instant) -> bool {
        self.during(troubles, from, until).next().is_some()
    }

    /// Returns all spans of one kind.
    pub(crate) fn all(&self, trouble: Trouble) -> impl Iterator<Item = Span> {
        self.spans.iter().copied().filter(move |span| span.trouble == trouble)
    }
}
