//! Traces a caller's request from its head to its response.

use hyper::{Request, Response};
use model::time::Time;
use trace::Step;

use crate::{
    net::body::Inbound,
    proxy::Proxy,
    record::{Interest, Trace},
    wire::{self, header_text},
};

/// Writes the trace of a request when it is answered, or on drop when the caller disconnects.
pub(crate) struct Span<'a> {
    proxy: &'a Proxy,
    received: Time,
    pub(crate) trace: Trace,
    ended: bool,
}

impl<'a> Span<'a> {
    pub(crate) fn new(proxy: &'a Proxy, request: &Request<Inbound>, received: Time) -> Self {
        let trace = Trace::new(request_id(proxy, request));
        Span { proxy, received, trace, ended: false }
    }

    /// Adds the response to the trace and writes it.
    pub(crate) fn end(&mut self, response: &Response<wire::Body>) {
        self.ended = true;
        let text = |name| header_text(response.headers(), name).unwrap_or_default();
        let outcome = wire::known_outcome(Some(text(wire::OUTCOME)));
        let status = response.status();
        self.trace.record(
            &self.proxy.log,
            Step::Ended {
                outcome: outcome.to_owned(),
                reason: text(wire::CAUSE).to_owned(),
                status: status.as_u16(),
                retry_after_ms: text(wire::RETRY_AFTER_MS).parse().unwrap_or(0),
                ms: self.elapsed_ms(),
                attempts: self.trace.attempts(),
            },
        );
        let is_late = self.trace.is_late(self.proxy.clock.now());
        let succeeded = outcome == wire::ANSWERED && !status.is_server_error() && !is_late;
        let interest = if succeeded { Interest::Usual } else { Interest::Notable };
        self.trace.write(&self.proxy.log, interest);
    }

    fn elapsed_ms(&self) -> u64 {
        self.proxy.clock.now().since(self.received).as_millis() as u64
    }
}

impl Drop for Span<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.trace.record(&self.proxy.log, Step::Abandoned { ms: self.elapsed_ms() });
            self.trace.write(&self.proxy.log, Interest::Notable);
        }
    }
}

/// Returns the caller's request id, or a new one if the caller sent none.
fn request_id(proxy: &Proxy, request: &Request<Inbound>) -> String {
    let given = proxy.settings.names.request.clone();
    let given = given.and_then(|name| header_text(request.headers(), name));
    given.map_or_else(|| format!("{}-{}", proxy.settings.instance, proxy.next_id()), str::to_owned)
}
