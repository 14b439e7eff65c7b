//! The operators' HTTP endpoint: status, timeline, routing explanations, load and metrics, read only.
//!
//! It serves one request at a time, which bounds the CPU time that it takes from calls.

use fleet::{
    clock::Stamp,
    member::State,
    status::{Explanation, Fleet, Member, Node},
    timeline::Event,
};
use peer::Handler;
use serde::Serialize;
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};
use telemetry::metric::Meter;
use tiny_http::{Header, Response, Server};
use tokio::{runtime::Handle, task::JoinSet};
use traffic::Proxy;

use crate::{Error, control::Client, settings::Settings};

/// Timeout of a request to another node.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent requests to other nodes.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Data sources of the endpoint.
struct Endpoint {
    control: Client,
    proxy: Arc<Proxy>,
    meter: Arc<Meter>,
    peers: Handle,
}

/// Starts the thread that serves the endpoint.
pub(crate) fn start(
    settings: &Settings,
    control: Client,
    proxy: Arc<Proxy>,
    meter: Arc<Meter>,
    peers: Handle,
) -> Result<(), Error> {
    let address = settings.listen.operators;
    let failure = |reason: String| Error::Operators { address, reason };
    let server = Server::http(address).map_err(|e| failure(e.to_string()))?;
    let endpoint = Endpoint { control, proxy, meter, peers };
    let work = move || {
        for request in server.incoming_requests() {
            let response = endpoint.respond(request.url());
            // Fails if the client has disconnected.
            let _ = request.respond(response);
        }
    };
    let thread = thread::Builder::new().name("operators".to_owned()).spawn(work);
    thread.map(drop).map_err(|e| failure(e.to_string()))
}

impl Endpoint {
    fn respond(&self, url: &str) -> Response<io::Cursor<Vec<u8>>> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        match path {
            "/status" => json(&self.status()),
            "/fleet" => json(&self.fleet()),
            "/timeline" => {
                let after = parameter(query, "after").and_then(|t| t.parse().ok()).unwrap_or(0u64);
                let after: Stamp = serde_json::from_value(after.into()).unwrap_or_default();
                match parameter(query, "scope") {
                    Some("node") => json(&self.events(after)),
                    _ => json(&self.fleet_events(after)),
                }
            }
            "/explain" => match parameter(query, "service") {
                Some(service) => json(&Some(self.explain(service))),
                None => text(
                    400,
                    "the parameter service is missing: /explain?service=NAME\n".to_owned(),
                ),
            },
            "/load" => json(&Some(self.proxy.load_report())),
            "/metrics" => match self.meter.render() {
                Ok(metrics) => text(200, metrics),
                Err(error) => text(500, format!("{error}\n")),
            },
            _ => text(
                404,
                "unknown path; use /status, /fleet, /timeline, /explain, /load or /metrics\n"
                    .to_owned(),
            ),
        }
    }

    fn status(&self) -> Option<Node> {
        self.peers.block_on(Handler::status(&self.control))
    }

    fn events(&self, after: Stamp) -> Option<Vec<Event>> {
        self.peers.block_on(self.control.events(after))
    }

    fn fleet(&self) -> Option<Fleet> {
        let node = self.status()?;
        let others = other_members(&node);
        let answers =
            self.gather(&others, |peer| async move { peer::status(peer, PEER_TIMEOUT).await.ok() });
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
    fn fleet_events(&self, after: Stamp) -> Option<Vec<Event>> {
        let node = self.status()?;
        let mut events = self.events(after)?;
        let answers = self.gather(&other_members(&node), move |peer| async move {
            peer::events(peer, after, PEER_TIMEOUT).await.ok()
        });
        events.extend(answers.into_iter().filter_map(|(_, events)| events).flatten());
        events.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
        Some(events)
    }

    /// Sends `request` to each of `members`, in groups of [`MAX_CONCURRENT_REQUESTS`].
    fn gather<T, F>(
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
            answers.extend(self.peers.block_on(running.join_all()));
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

fn json<T: Serialize>(value: &Option<T>) -> Response<io::Cursor<Vec<u8>>> {
    match value.as_ref().map(serde_json::to_string) {
        Some(Ok(body)) => text(200, body).with_header(content_type("application/json")),
        Some(Err(error)) => text(500, format!("{error}\n")),
        None => text(503, "the node is stopping\n".to_owned()),
    }
}

fn text(status: u16, body: String) -> Response<io::Cursor<Vec<u8>>> {
    Response::from_string(body).with_status_code(status)
}

fn content_type(name: &str) -> Header {
    Header::from_bytes("content-type", name).expect("the header name and value are valid")
}
