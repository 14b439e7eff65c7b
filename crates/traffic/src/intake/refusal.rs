//! What a caller is told of a call without an answer.

use hyper::{Response, StatusCode};
use policy::outcome::{Cause, Outcome};

use crate::{proxy::Proxy, record::events::Event, wire};

/// Why a call is not let in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    cause: Cause,
    /// Status in the place of that of the cause.
    status: Option<StatusCode>,
}

impl Refusal {
    /// Refuses for `cause`.
    pub(super) fn of(cause: Cause) -> Self {
        Refusal { cause, status: None }
    }

    /// Refuses a request that is not acceptable with the status that says why.
    pub(super) fn bad_request(status: StatusCode) -> Self {
        Refusal { cause: Cause::BadRequest, status: Some(status) }
    }

    /// Tells the caller of a call to `service`, and counts it.
    pub(super) fn respond(self, proxy: &Proxy, service: &str) -> Response<wire::Body> {
        let mut response = respond(proxy, service, self.cause.outcome());
        if let Some(status) = self.status {
            *response.status_mut() = status;
        }
        response
    }
}

/// Tells the caller an outcome without an answer, and counts it.
pub(super) fn respond(proxy: &Proxy, service: &str, outcome: Outcome) -> Response<wire::Body> {
    match outcome {
        Outcome::NotRun(cause, _) => {
            proxy.meter.count_not_run(service, cause.name());
            proxy.events.add(Event::NotRun(service.to_owned(), cause));
        }
        Outcome::Unknown(doubt) => proxy.events.add(Event::Unknown(service.to_owned(), doubt)),
    }
    wire::response(outcome, proxy.settings.names.precision)
}
