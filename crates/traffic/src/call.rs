//! What the stages of a call hand on.

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    header::{self, HeaderValue},
    http::uri::PathAndQuery,
};
use model::{profile::Profile, request::Fingerprint, time::Time};
use policy::{admission::Rank, retry::Kind};
use std::sync::{Arc, OnceLock};
use xxhash_rust::xxh3::Xxh3;

use crate::{net::stream::Probe, record::Trace, wire};

/// Longest text by which operators tell a request, in characters.
const MAX_LABEL_CHARS: usize = 160;

/// What holds for a call by its route, or by its service's profile.
#[derive(Clone, Debug)]
pub(crate) struct Options {
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
    pub(crate) options: Options,
    pub(crate) payload: Payload,
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    /// When an answer becomes late, if its route names an objective.
    pub(crate) due: Option<Time>,
    /// By when its body must begin to cross if it is large, if its route names an objective.
    pub(crate) transfer_by: Option<Time>,
    pub(crate) rank: Rank,
    pub(crate) origin: Probe,
    pub(crate) trace: &'a Trace,
}

impl Call<'_> {
    pub(crate) fn kind(&self) -> Kind {
        self.options.kind
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
    /// Incarnation of the node that it is meant for.
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
    /// What it asks for, once that was worked out.
    fingerprint: OnceLock<Fingerprint>,
}

impl Payload {
    pub(crate) fn new(method: Method, path: Uri, headers: HeaderMap, body: Bytes) -> Self {
        Payload { method, path, headers, body, fingerprint: OnceLock::new() }
    }

    /// Returns a request to send on.
    pub(crate) fn request(&self) -> Request<wire::Body> {
        let mut request = Request::new(wire::Body::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Identifies what is asked for, whoever brings it, when and by which way: an attempt's id, its time left,
    /// the service that it comes from and how its body was sent do not count. `service` is the one that is
    /// named where there are no routes; the host is then any node's. A large body is gone through once only.
    pub(crate) fn fingerprint(&self, service: Option<&str>) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.compute_fingerprint(service))
    }

    fn compute_fingerprint(&self, service: Option<&str>) -> Fingerprint {
        let mut hash = Xxh3::new();
        let mut add = |part: &[u8]| {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        };
        add(self.method.as_str().as_bytes());
        match service {
            Some(service) => add(service.as_bytes()),
            None => add(wire::host(&self.headers).as_bytes()),
        }
        add(self.target().as_bytes());
        let caller = self.headers.get(header::AUTHORIZATION);
        add(caller.map_or(&[], |caller| caller.as_bytes()));
        add(&self.body);
        Fingerprint(hash.digest())
    }

    /// Returns what operators read of the request.
    pub(crate) fn label(&self) -> String {
        let text = format!("{} {}{}", self.method, wire::host(&self.headers), self.target());
        text.chars().take(MAX_LABEL_CHARS).collect()
    }

    fn target(&self) -> &str {
        self.path.path_and_query().map_or("/", PathAndQuery::as_str)
    }
}
