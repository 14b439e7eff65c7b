//! Limits on their calls that upstreams name in their answers.

mod cluster;

use cluster::{Cluster, header, request, status};
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

/// Calls every node in turn, without a pause, for [`RUN`]; returns all responses and the time.
fn call_without_pause(cluster: &Cluster) -> (Vec<String>, Duration) {
    let started = Instant::now();
    let call = |caller: usize| {
        let mut responses = Vec::new();
        let mut node = caller;
        while started.elapsed() < RUN {
            let id = format!("c{caller}-{}", responses.len());
            responses.push(cluster.exchange(node % cluster.callers.len(), &read(&id)));
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
        let answered = responses.iter().filter(|response| status(response) == "200").count();
        assert_eq!(answered, cluster.received().len(), "what is refused was not run");
        for refused in responses.iter().filter(|response| status(response) != "200") {
            assert_eq!(status(refused), "503", "{refused}");
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
