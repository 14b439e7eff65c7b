//! Responses to callers whose call has no answer from an upstream.

use hyper::{Response, StatusCode};
use policy::outcome::{Cause, Outcome};

use crate::{proxy::Proxy, record::events::Event, wire};

/// The reason why a call is refused before it is offered to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    cause: Cause,
    /// Status that overrides that of the cause.
    status: Option<StatusCode>,
}

impl Refusal {
    /// Refuses for `cause`.
    pub(super) fn of(cause: Cause) -> Self {
        Refusal { cause, status: None }
    }

    /// Refuses an unacceptable request with a specific status.
    pub(super) fn bad_request(status: StatusCode) -> Self {
        Refusal { cause: Cause::BadRequest, status: Some(status) }
    }

    /// Returns the response to a call to `service`, and counts the refusal.
    pub(super) fn respond(self, proxy: &Proxy, service: &str) -> Response<wire::Body> {
        let mut response = respond(proxy, service, self.cause.outcome());
        if let Some(status) = self.status {
            *response.status_mut() = status;
        }
        response
    }
}

/// Returns the response for an outcome without an answer, and counts it.
pub(super) fn respond(proxy: &Proxy, service: &str, outcome: Outcome) -> Response<wire::Body> {
    match outcome {
        Outcome::NotRun(cause, _) => {
            proxy.meter.count_not_run(service, cause.name());
            proxy.count_refused(service, cause);
            proxy.events.add(Event::NotRun(service.to_owned(), cause));
        }
        Outcome::Unknown(uncertainty) => {
            proxy.events.add(Event::Unknown(service.to_owned(), uncertainty))
        }
    }
    wire::response(outcome, proxy.settings.names.precision)
}
