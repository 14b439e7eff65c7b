//! The operators' HTTP endpoint: status, timeline, routing explanations, load and metrics, read only.
//!
//! It answers one request at a time, which bounds the CPU time that it takes from calls.

use bytes::Bytes;
use fleet::{
    clock::Stamp,
    member::State,
    status::{Explanation, Fleet, Member, Node},
    timeline::Event,
};
use http_body_util::Full;
use hyper::{
    Response, StatusCode, Uri,
    header::{self, HeaderValue},
};
use ingress::{
    limits::Policy,
    listener::{Accepted, Context, Listener},
    memory::Memory,
};
use peer::Handler;
use serde::Serialize;
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};
use telemetry::metric::Meter;
use tokio::{
    runtime::{Builder, Handle},
    sync::Mutex,
    task::JoinSet,
};
use traffic::Proxy;

use crate::{Error, control::Client, settings::Settings};

/// Timeout of a request to another node.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent requests to other nodes.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Limit on the memory of answers that are being read, in bytes; the first one is sent whatever its size.
const MAX_HELD_BYTES: usize = 4 << 20;

/// Data sources of the endpoint.
struct Endpoint {
    control: Client,
    proxy: Arc<Proxy>,
    meter: Arc<Meter>,
    peers: Handle,
    /// Held while a request is being answered.
    turn: Mutex<()>,
    /// Memory of answers until they are read.
    memory: Memory,
}

/// Starts the thread that serves the endpoint.
pub(crate) fn start(
    settings: &Settings,
    control: Client,
    proxy: Arc<Proxy>,
    meter: Arc<Meter>,
    peers: Handle,
    policy: Arc<dyn Policy>,
) -> Result<(), Error> {
    let address = settings.listen.operators;
    let failure = |reason: String| Error::Operators { address, reason };
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failure(e.to_string()))?;
    let listener = runtime.block_on(Listener::bind(address)).map_err(|e| failure(e.to_string()))?;
    let (turn, memory) = (Mutex::default(), Memory::default());
    let endpoint = Arc::new(Endpoint { control, proxy, meter, peers, turn, memory });
    let max_connections = settings.max_operator_connections;
    let handle = move |accepted: Accepted| {
        tokio::spawn(serve(endpoint.clone(), accepted));
    };
    let work = move || {
        let context = Arc::new(Context::default());
        runtime.block_on(listener.serve(context, policy, max_connections, handle));
    };
    let thread = thread::Builder::new().name("operators".to_owned()).spawn(work);
    thread.map(drop).map_err(|e: io::Error| failure(e.to_string()))
}

async fn serve(endpoint: Arc<Endpoint>, accepted: Accepted) {
    accepted.serve(async |request| endpoint.answer(request.uri()).await).await;
}

impl Endpoint {
    /// Answers a request once those before it are answered.
    async fn answer(&self, uri: &Uri) -> Response<Full<Bytes>> {
        let _turn = self.turn.lock().await;
        let answer = self.respond(uri.path(), uri.query().unwrap_or("")).await;
        let mut lease = self.memory.lease();
        let limit = MAX_HELD_BYTES.max(answer.body.len());
        if !lease.extend(answer.body.len(), limit) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut response = Response::new(Full::new(lease.attach(answer.body)));
        *response.status_mut() = answer.status;
        let content_type = HeaderValue::from_static(answer.content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    async fn respond(&self, path: &str, query: &str) -> Answer {
        match path {
            "/status" => json(&self.status().await),
            "/fleet" => json(&self.fleet().await),
            "/timeline" => {
                let after = parameter(query, "after").and_then(|t| t.parse().ok()).unwrap_or(0u64);
                let after: Stamp = serde_json::from_value(after.into()).unwrap_or_default();
                match parameter(query, "scope") {
                    Some("node") => json(&self.events(after).await),
                    _ => json(&self.fleet_events(after).await),
                }
            }
            "/explain" => match parameter(query, "service") {
                Some(service) => json(&Some(self.explain(service))),
                None => text(
                    StatusCode::BAD_REQUEST,
                    "the parameter service is missing: /explain?service=NAME\n".to_owned(),
                ),
            },
            "/load" => json(&Some(self.proxy.load_report())),
            "/metrics" => match self.meter.render() {
                Ok(metrics) => text(StatusCode::OK, metrics),
                Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            },
            _ => text(
                StatusCode::NOT_FOUND,
                "unknown path; use /status, /fleet, /timeline, /explain, /load or /metrics\n"
                    .to_owned(),
            ),
        }
    }

    async fn status(&self) -> Option<Node> {
        Handler::status(&self.control).await
    }

    async fn events(&self, after: Stamp) -> Option<Vec<Event>> {
        self.control.events(after).await
    }

    async fn fleet(&self) -> Option<Fleet> {
        let node = self.status().await?;
        let others = other_members(&node);
        let request = |peer| async move { peer::status(peer, PEER_TIMEOUT).await.ok() };
        let answers = self.gather(&others, request).await;
        let mut fleet = Fleet { answered: vec![node.clone()], node, silent: Vec::new() };
        for (member, answer) in answers {
            match answer {
                Some(status) => fleet.answered.push(status),
                None => fleet.silent.push(member),
            }
        }
        fleet.answered.sort_by(|a, b| a.instance.cmp(&b.instance));
        Some(fleet)
    }

    /// Merges the events of all nodes that respond, in causal order.
    async fn fleet_events(&self, after: Stamp) -> Option<Vec<Event>> {
        let node = self.status().await?;
        let mut events = self.events(after).await?;
        let request = move |peer| async move { peer::events(peer, after, PEER_TIMEOUT).await.ok() };
        let answers = self.gather(&other_members(&node), request).await;
        events.extend(answers.into_iter().filter_map(|(_, events)| events).flatten());
        events.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
        Some(events)
    }

    /// Sends `request` to each of `members`, in groups of [`MAX_CONCURRENT_REQUESTS`].
    async fn gather<T, F>(
        &self,
        members: &[Member],
        request: impl Fn(SocketAddr) -> F,
    ) -> Vec<(Member, Option<T>)>
    where
        T: Send + 'static,
        F: Future<Output = Option<T>> + Send + 'static,
    {
        let mut answers = Vec::new();
        for group in members.chunks(MAX_CONCURRENT_REQUESTS) {
            let mut running = JoinSet::new();
            for member in group.iter().cloned() {
                let answer = request(member.address);
                running.spawn_on(async move { (member, answer.await) }, &self.peers);
            }
            answers.extend(running.join_all().await);
        }
        answers
    }

    fn explain(&self, service: &str) -> Explanation {
        let config = self.proxy.config();
        let profile = config.service(service).map(|s| config.profile(s));
        Explanation {
            service: service.to_owned(),
            known: profile.is_some(),
            revision: config.version.revision,
            profile: profile.cloned(),
            upstreams: self.proxy.explain(service),
        }
    }
}

fn other_members(node: &Node) -> Vec<Member> {
    let mut members = node.members.clone();
    members.retain(|m| m.address != node.address && m.state != State::Gone);
    members
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// An answer before it is accounted.
struct Answer {
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
}

fn json<T: Serialize>(value: &Option<T>) -> Answer {
    match value.as_ref().map(serde_json::to_vec) {
        Some(Ok(body)) => Answer { status: StatusCode::OK, content_type: "application/json", body },
        Some(Err(error)) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping\n".to_owned()),
    }
}

fn text(status: StatusCode, body: String) -> Answer {
    Answer { status, content_type: "text/plain; charset=utf-8", body: body.into_bytes() }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
