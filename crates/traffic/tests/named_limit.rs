//! Limits on their calls that upstreams name in their answers.

mod cluster;

use cluster::{Behaviour, Cluster, header, request, status};
use fleet::timeline::Kind;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Length of a run of callers that call again at once.
const RUN: Duration = Duration::from_millis(1_500);

/// Concurrent callers of a run.
const CALLERS: usize = 8;

fn read(id: &str) -> String {
    request("GET", "/read/a", "", "").replace("x-id: r1", &format!("x-id: {id}"))
}

/// Calls every node in turn, without a pause, for [`RUN`]; returns the ids and responses of all calls, and the
/// time.
fn call_without_pause(cluster: &Cluster) -> (Vec<(String, String)>, Duration) {
    call_nodes(cluster, cluster.callers.len())
}

/// Calls the first `nodes` nodes in turn, as [`call_without_pause`] does.
fn call_nodes(cluster: &Cluster, nodes: usize) -> (Vec<(String, String)>, Duration) {
    let started = Instant::now();
    let call = |caller: usize| {
        let mut responses = Vec::new();
        let mut node = caller;
        while started.elapsed() < RUN {
            let id = format!("c{caller}-{}", responses.len());
            let response = cluster.exchange(node % nodes, &read(&id));
            responses.push((id, response));
            node += CALLERS;
        }
        responses
    };
    let responses = thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|caller| scope.spawn(move || call(caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("no caller panics")).collect()
    });
    (responses, started.elapsed())
}

/// Returns the calls that an upstream may get within `time` under a limit of `per_s`, of which
/// [`CALLERS`] may have been in flight before the limit was known.
fn allowed(per_s: f64, time: Duration) -> usize {
    (per_s * time.as_secs_f64() * 1.5) as usize + 5 + CALLERS
}

/// Guards against nodes that each apply the limit of an upstream to their own calls, or not at all.
#[test]
fn the_calls_of_all_nodes_together_stay_within_the_limit() {
    for nodes in [2, 24] {
        let cluster = Cluster::new(nodes, 8);
        cluster.upstreams.iter().for_each(|upstream| upstream.name_limit(Some("4.5")));
        let (responses, time) = call_without_pause(&cluster);
        for (number, upstream) in cluster.upstreams.iter().enumerate() {
            let (got, allowed) = (upstream.received().len(), allowed(4.5, time));
            assert!(
                got <= allowed,
                "{nodes} nodes: upstream {number} got {got}, allowed {allowed}"
            );
        }
        let ran = cluster.received();
        let has_run = |id: &str| ran.iter().any(|received| received.header("x-id") == Some(id));
        for (id, refused) in responses.iter().filter(|(_, response)| status(response) != "200") {
            assert_eq!(status(refused), "503", "{refused}");
            assert!(!has_run(id), "{id} was refused and has run");
            let delay = header(refused, "retry-after").and_then(|text| text.parse::<f64>().ok());
            assert!(delay.is_some_and(|seconds| seconds > 0.0), "{refused}");
        }
    }
}

/// Guards against a limit that stays at the value that the upstream named first.
#[test]
fn a_lowered_limit_is_in_force_from_the_answer_that_names_it() {
    let cluster = Cluster::new(2, 8);
    cluster.upstreams.iter().for_each(|upstream| upstream.name_limit(Some("500")));
    for number in 0..8 {
        assert_eq!(status(&cluster.exchange(number % 2, &read(&format!("first{number}")))), "200");
    }
    cluster.upstreams.iter().for_each(|upstream| upstream.name_limit(Some("2")));
    let before: Vec<usize> = cluster.upstreams.iter().map(|u| u.received().len()).collect();
    let (_, time) = call_without_pause(&cluster);
    for (upstream, before) in cluster.upstreams.iter().zip(before) {
        let (got, allowed) = (upstream.received().len() - before, allowed(2.0, time));
        assert!(got <= allowed, "got {got}, allowed {allowed}");
    }
}

/// Guards against an upstream that stays limited after it has lifted its limit.
#[test]
fn a_lifted_limit_is_gone_with_the_answer_that_names_none() {
    let cluster = Cluster::new(2, 8);
    cluster.upstreams.iter().for_each(|upstream| upstream.name_limit(Some("0")));
    let call = |id: String| status(&cluster.exchange(0, &read(&id))) == "200";
    cluster.wait(|| !call("limited".to_owned()));
    cluster.upstreams.iter().for_each(|upstream| upstream.name_limit(None));
    cluster.wait(|| (0..100).all(|number| call(format!("lifted{number}"))));
}

/// Guards against an upstream that gets its full load again because it refuses a call without naming its limit.
#[test]
fn a_refusal_does_not_lift_the_limit() {
    let cluster = Cluster::new(1, 8);
    cluster.upstreams[0].name_limit(Some("0"));
    assert_eq!(status(&cluster.exchange(0, &read("told"))), "200");
    cluster.upstreams[0].name_limit(None);
    cluster.upstreams[0].set(Behaviour::Refuse);
    cluster.wait(|| {
        cluster.exchange(0, &read("refused"));
        cluster.upstreams[0].received().len() == 2
    });
    let before = cluster.upstreams[0].received().len();
    let (_, time) = call_without_pause(&cluster);
    let got = cluster.upstreams[0].received().len() - before;
    assert!(got <= allowed(0.25, time) - CALLERS, "got {got}");
}

/// Guards against refusals of calls that another upstream has room for.
#[test]
fn calls_above_the_limit_go_to_other_upstreams() {
    let cluster = Cluster::new(2, 8);
    cluster.upstreams[0].name_limit(Some("1"));
    for number in 0..60 {
        let id = format!("r{number}");
        assert_eq!(status(&cluster.exchange(number % 2, &read(&id))), "200");
    }
}

/// Guards against a limit that cannot be parsed and lifts the previous one.
#[test]
fn a_malformed_limit_leaves_the_previous_one_in_force() {
    for malformed in ["many", "-3", "NaN", "inf", ""] {
        let cluster = Cluster::new(1, 8);
        cluster.upstreams[0].name_limit(Some("0"));
        assert_eq!(status(&cluster.exchange(0, &read("first"))), "200");
        cluster.upstreams[0].name_limit(Some(malformed));
        cluster.wait(|| status(&cluster.exchange(0, &read("second"))) == "200");
        let events = cluster.proxies[0].collect_events();
        let refused = |kind: &Kind| matches!(kind, Kind::UpstreamLimitRefused { .. });
        assert!(events.iter().any(refused), "{malformed:?}: {events:?}");
        assert_eq!(status(&cluster.exchange(0, &read("third"))), "503", "{malformed:?}");
    }
}

/// Guards against a burst from a node that has restarted and knows no limit yet.
#[test]
fn a_restarted_node_learns_the_limit_from_the_nodes_that_call_it() {
    let mut cluster = Cluster::new(2, 8);
    cluster.upstreams[1].name_limit(Some("0"));
    cluster.upstreams[0].set(Behaviour::Refuse);
    cluster.wait(|| status(&cluster.exchange(0, &read("first"))) == "200");
    cluster.restart(1, 8);
    let before = cluster.upstreams[1].received().len();
    let (_, time) = call_nodes(&cluster, 1);
    let got = cluster.upstreams[1].received().len() - before;
    assert!(got <= allowed(0.25, time) - CALLERS, "got {got}");
}
