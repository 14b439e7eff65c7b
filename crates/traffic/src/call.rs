//! What the stages of a call hand on.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, Uri, header::HeaderValue};
use model::{profile::Profile, time::Time};
use policy::{admission::Rank, retry::Kind};
use std::sync::Arc;

use crate::{net::stream::Probe, record::Trail, wire};

/// What holds for a call by its route, or by its service's profile.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    /// Whether it may run more than once.
    pub(crate) kind: Kind,
    /// Longest time until the final answer, in ms.
    pub(crate) timeout_ms: u64,
    /// Most upstreams that it is sent to.
    pub(crate) attempts: u32,
    /// Time within which an answer is worth most, in ms, if the route names one.
    pub(crate) objective_ms: Option<u64>,
    /// Urgency among the calls of the service; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Name of the route; empty without one.
    pub(crate) route: String,
}

/// A call with its whole request in hand.
pub(crate) struct Call<'a> {
    pub(crate) service: &'a str,
    pub(crate) profile: &'a Profile,
    pub(crate) terms: Terms,
    pub(crate) payload: Payload,
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    /// When an answer becomes late, if its route names an objective.
    pub(crate) due: Option<Time>,
    /// By when its body must begin to cross if it is large, if its route names an objective.
    pub(crate) turn_by: Option<Time>,
    pub(crate) rank: Rank,
    pub(crate) origin: Probe,
    pub(crate) trail: &'a Trail,
}

impl Call<'_> {
    pub(crate) fn kind(&self) -> Kind {
        self.terms.kind
    }
}

/// A call that is offered to this node's upstream.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) payload: Payload,
    /// When its head was read.
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    pub(crate) kind: Kind,
    /// Its urgency.
    pub(crate) rank: Rank,
    /// Life of the node that it is meant for.
    pub(crate) incarnation: u64,
    /// Identity that the upstream must confirm, if it was listed with one.
    pub(crate) identity: Option<Arc<str>>,
    /// When the life of the upstream that it is meant for began, in ms of Unix time, if known.
    pub(crate) started_ms: Option<u64>,
    /// The connection that it came on.
    pub(crate) origin: Probe,
    /// Identifies the attempt.
    pub(crate) id: u64,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: Response<()>,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns what is passed on of a whole answer.
    pub(crate) fn response(self) -> Response<wire::Body> {
        let (mut parts, ()) = self.head.into_parts();
        wire::strip(&mut parts.headers);
        parts.headers.insert(wire::OUTCOME, HeaderValue::from_static(wire::ANSWERED));
        Response::from_parts(parts, wire::Body::new(self.body))
    }
}

/// A whole request in hand; cloning it shares the body.
#[derive(Clone, Debug)]
pub(crate) struct Payload {
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Payload {
    /// Returns a request to send on.
    pub(crate) fn request(&self) -> Request<wire::Body> {
        let mut request = Request::new(wire::Body::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
