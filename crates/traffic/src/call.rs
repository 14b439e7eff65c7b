//! A call, its request and its answer, as the stages of the data plane pass them on.

use hyper::{
    HeaderMap, Method, Request, Response, Uri, header::HeaderValue, http::uri::PathAndQuery,
};
use ingress::stream::Probe;
use model::{profile::Profile, request::Fingerprint, time::Time};
use policy::{
    admission::Rank,
    budget::{Lineage, Standing},
    retry::Kind,
};
use std::sync::{Arc, OnceLock, atomic::AtomicU32};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    record::Trace,
    wire::{self, Content},
};

/// Maximum length of a request's label in operator output, in characters.
const MAX_LABEL_CHARS: usize = 160;

/// Options of a call, from its route or from its service's profile.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Whether the call may run more than once.
    pub(crate) kind: Kind,
    /// Time until the final answer, in ms.
    pub(crate) timeout_ms: u64,
    /// Maximum number of attempts, each at another upstream.
    pub(crate) attempts: u32,
    /// Latency objective of the route, in ms.
    pub(crate) objective_ms: Option<u64>,
    /// Priority among the calls of the service; 0 is the highest.
    pub(crate) priority: u8,
    /// Name of the route; empty if the service was named directly.
    pub(crate) route: String,
}

/// A call whose request was received completely.
pub(crate) struct Call<'a> {
    pub(crate) service: &'a str,
    pub(crate) profile: &'a Profile,
    pub(crate) options: Options,
    pub(crate) payload: Payload,
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    /// End of the latency objective, if the route has one.
    pub(crate) due: Option<Time>,
    /// Latest start of the transfer of a large body, if the route has a latency objective.
    pub(crate) transfer_by: Option<Time>,
    pub(crate) rank: Rank,
    /// How the call counts towards the retry budget.
    pub(crate) lineage: Lineage,
    pub(crate) origin: Probe,
    /// Number of serving nodes that refused it since its nested calls would find no capacity.
    pub(crate) nested_refusals: AtomicU32,
    pub(crate) trace: &'a Trace,
}

impl Call<'_> {
    pub(crate) fn kind(&self) -> Kind {
        self.options.kind
    }

    /// Returns how an attempt counts after `reached` others that may have reached an upstream.
    pub(crate) fn standing_after(&self, reached: u32) -> Standing {
        let lineage = if reached > 0 { Lineage::Retry } else { self.lineage };
        Standing { lineage, ..Standing::default() }
    }
}

/// One attempt of a call at the upstream of a serving node.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) payload: Payload,
    /// When the head of the request was read.
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    pub(crate) kind: Kind,
    /// Position in the admission queue.
    pub(crate) rank: Rank,
    /// How the run counts towards the retry budget.
    pub(crate) standing: Standing,
    /// Incarnation of the intended serving node.
    pub(crate) incarnation: u64,
    /// Identity that the upstream must confirm, if it is listed with one.
    pub(crate) identity: Option<Arc<str>>,
    /// Start of the intended upstream process, in ms of Unix time, if known.
    pub(crate) started_ms: Option<u64>,
    /// Limit of the upstream that the entry node knows, in calls per second.
    pub(crate) limit: Option<f64>,
    /// Usage of the service that the entry node states, for the order of calls from callers.
    pub(crate) usage: Option<u64>,
    /// Whether it was admitted when the transfer of its body was reserved.
    pub(crate) is_reserved: bool,
    /// Connection that the request arrived on.
    pub(crate) origin: Probe,
    /// Id of the attempt.
    pub(crate) id: u64,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: Response<()>,
    pub(crate) body: Content,
}

impl Answer {
    /// Returns the response to pass on, without hop-by-hop headers and marked as answered.
    pub(crate) fn response(self) -> Response<wire::Body> {
        let (mut parts, ()) = self.head.into_parts();
        wire::strip(&mut parts.headers);
        parts.headers.insert(wire::OUTCOME, HeaderValue::from_static(wire::ANSWERED));
        Response::from_parts(parts, wire::Body::new(self.body))
    }
}

/// A completely received request; clones share the body.
#[derive(Clone, Debug)]
pub(crate) struct Payload {
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Content,
    /// Cached result of [`Payload::fingerprint`].
    fingerprint: OnceLock<Fingerprint>,
}

impl Payload {
    pub(crate) fn new(method: Method, path: Uri, headers: HeaderMap, body: Content) -> Self {
        Payload { method, path, headers, body, fingerprint: OnceLock::new() }
    }

    /// Returns a copy of the request to forward.
    pub(crate) fn request(&self) -> Request<wire::Body> {
        let mut request = Request::new(wire::Body::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Returns a hash of method, host or service, target and body, equal for all callers, attempts and
    /// entry nodes.
    ///
    /// Other headers, such as the attempt's id, its remaining time and credentials, are ignored.
    /// Without routes, pass the named `service`, which replaces the host. The hash is computed once.
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
        hash.update(&(self.body.len() as u64).to_le_bytes());
        self.body.segments().iter().for_each(|segment| hash.update(segment));
        Fingerprint(hash.digest())
    }

    /// Returns method, host and path for operator output, truncated.
    pub(crate) fn label(&self) -> String {
        let text = format!("{} {}{}", self.method, wire::host(&self.headers), self.target());
        text.chars().take(MAX_LABEL_CHARS).collect()
    }

    fn target(&self) -> &str {
        self.path.path_and_query().map_or("/", PathAndQuery::as_str)
    }
}
