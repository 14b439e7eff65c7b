//! Pulls between two nodes over sockets.

use fleet::{
    clock::Stamp,
    message::{Bundle, Pull, Request, Response},
    status, timeline,
};
use ingress::limits::{Limits, Policy, Reason};
use model::{
    config::Version,
    document::{Delta, Document},
};
use peer::{Handler, Reply, Server};
use std::{sync::Arc, time::Duration};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Answers each pull with the bucket given by the requester's first bucket digest.
struct Node;

fn bundle(bucket: usize) -> Bundle {
    let document = Document { key: format!("profiles/p{bucket}"), modified: 7, text: "{}".into() };
    let delta =
        Delta { revision: 7, documents: vec![document], buckets: vec![bucket], ..Delta::default() };
    Bundle { version: Version { revision: 7, ..Version::default() }, delta, more: true }
}

impl Handler for Node {
    fn handle(&self, request: Request) -> Reply<Response> {
        let Request::Pull(pull) = request else { return Box::pin(async { None }) };
        let answer = bundle(pull.buckets[0] as usize);
        Box::pin(async move { Some(Response::Pull(answer)) })
    }

    fn status(&self) -> Reply<status::Node> {
        Box::pin(async { None })
    }

    fn events(&self, _: Stamp) -> Reply<Vec<timeline::Event>> {
        Box::pin(async { None })
    }
}

/// Applies the default limits, and no limit on memory.
struct Unlimited;

impl Policy for Unlimited {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    fn head_memory(&self) -> usize {
        usize::MAX
    }

    fn count_closed(&self, _: Reason) {}

    fn set_open(&self, _: usize) {}
}

/// Guards against a cached chunk being sent to a node that needs other buckets of the same version.
#[test]
fn each_requester_receives_its_differing_buckets() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let server =
            Server { context: Arc::default(), policy: Arc::new(Unlimited), max_connections: 4 };
        let served = peer::serve(any_port, Arc::new(Node), server).await;
        let (address, _server) = served.expect("it listens");
        for bucket in [3, 5, 3, 7, 5] {
            let pull = Pull { have: Some(1), buckets: vec![bucket], limit: Some(1) };
            let answer = peer::send(address, &Request::Pull(pull), TIMEOUT).await;
            assert_eq!(answer.expect("an answer"), Response::Pull(bundle(bucket as usize)));
        }
    });
}
