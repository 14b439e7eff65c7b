//! What a caller is told of a call without an answer.

use hyper::{Response, StatusCode};
use policy::outcome::{Cause, Outcome};

use crate::{hub::Hub, record::tally::Count, wire};

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
    pub(super) fn tell(self, hub: &Hub, service: &str) -> Response<wire::Body> {
        let mut response = tell(hub, service, self.cause.outcome());
        if let Some(status) = self.status {
            *response.status_mut() = status;
        }
        response
    }
}

/// Tells the caller an outcome without an answer, and counts it.
pub(super) fn tell(hub: &Hub, service: &str, outcome: Outcome) -> Response<wire::Body> {
    match outcome {
        Outcome::NotRun(cause, _) => {
            hub.meter.count_not_run(service, cause.name());
            hub.tally.add(Count::NotRun(service.to_owned(), cause));
        }
        Outcome::Unknown(doubt) => hub.tally.add(Count::Unknown(service.to_owned(), doubt)),
    }
    wire::response(outcome, hub.settings.names.precision)
}
