//! A caller's request from its head to its end, for the log.

use hyper::{Request, Response};
use model::time::Time;
use trace::Step;

use crate::{
    hub::Hub,
    net::body::Inflow,
    record::{Interest, Trail},
    wire::{self, header_text},
};

/// A caller's request until it is answered, or until the caller goes away and it is dropped.
pub(crate) struct Open<'a> {
    hub: &'a Hub,
    received: Time,
    pub(crate) trail: Trail,
    ended: bool,
}

impl<'a> Open<'a> {
    pub(crate) fn new(hub: &'a Hub, request: &Request<Inflow>, received: Time) -> Self {
        let trail = Trail::new(request_id(hub, request));
        Open { hub, received, trail, ended: false }
    }

    /// Notes the answer.
    pub(crate) fn end(&mut self, response: &Response<wire::Body>) {
        self.ended = true;
        let text = |name| header_text(response.headers(), name).unwrap_or_default();
        let outcome = wire::known_outcome(Some(text(wire::OUTCOME)));
        let status = response.status();
        self.trail.note(
            &self.hub.log,
            Step::Ended {
                outcome: outcome.to_owned(),
                reason: text(wire::CAUSE).to_owned(),
                status: status.as_u16(),
                retry_after_ms: text(wire::RETRY_AFTER_MS).parse().unwrap_or(0),
                ms: self.elapsed_ms(),
                attempts: self.trail.attempts(),
            },
        );
        let is_late = self.trail.is_late(self.hub.clock.now());
        let went_well = outcome == wire::ANSWERED && !status.is_server_error() && !is_late;
        let interest = if went_well { Interest::Usual } else { Interest::Notable };
        self.trail.write(&self.hub.log, interest);
    }

    fn elapsed_ms(&self) -> u64 {
        self.hub.clock.now().since(self.received).as_millis() as u64
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.trail.note(&self.hub.log, Step::Abandoned { ms: self.elapsed_ms() });
            self.trail.write(&self.hub.log, Interest::Notable);
        }
    }
}

/// Returns the caller's id of a request, or one of this node where it gave none.
fn request_id(hub: &Hub, request: &Request<Inflow>) -> String {
    let given = hub.settings.names.request.clone();
    let given = given.and_then(|name| header_text(request.headers(), name));
    given.map_or_else(|| format!("{}-{}", hub.settings.instance, hub.next_id()), str::to_owned)
}
