//! Upstreams that say in their answers, and nowhere else, that they are leaving.

mod cluster;

use cluster::{Behaviour, Cluster, header, request, status};
use std::thread;

fn read(id: &str) -> String {
    request("GET", "/read/a", "", "").replace("x-id: r1", &format!("x-id: {id}"))
}

/// Calls every node until a caller has an answer that says that its upstream leaves.
///
/// That such an upstream has received a call is not enough: a hedged read is answered by the other one, and its
/// own answer may be on its way.
fn until_answered(cluster: &Cluster) {
    let mut nodes = (0..cluster.callers.len()).cycle();
    let mut is_told = false;
    while !is_told {
        let node = nodes.next().expect("the cycle does not end");
        let answer = cluster.exchange(node, &read("told"));
        is_told = header(&answer, "x-leaving") == Some("1");
    }
}

/// Guards against calls to an upstream whose leave has not reached the list, at any entry node.
#[test]
fn an_upstream_gets_no_calls_after_an_answer_that_says_it_leaves() {
    for nodes in [2, 24] {
        let cluster = Cluster::new(nodes, 8);
        cluster.upstreams[0].say_leaving();
        until_answered(&cluster);
        let before = cluster.upstreams[0].received().len();
        for number in 0..20 * nodes {
            let answer = cluster.exchange(number % nodes, &read(&format!("r{number}")));
            assert_eq!(status(&answer), "200", "{nodes} nodes: {answer}");
        }
        assert_eq!(cluster.upstreams[0].received().len(), before, "{nodes} nodes");
    }
}

/// Guards against calls that were admitted before the answer and run after it.
#[test]
fn calls_that_wait_for_a_slot_do_not_run_after_the_answer() {
    let cluster = Cluster::new(2, 1);
    cluster.upstreams[0].say_leaving();
    cluster.upstreams[0].set(Behaviour::Batch(1));
    cluster.upstreams[1].set(Behaviour::Refuse);
    let answers: Vec<String> = thread::scope(|scope| {
        let call = |number: usize| {
            let cluster = &cluster;
            scope.spawn(move || cluster.exchange(0, &read(&format!("r{number}"))))
        };
        let calls: Vec<_> = (0..8).map(call).collect();
        calls.into_iter().map(|call| call.join().expect("no caller panics")).collect()
    });
    assert_eq!(cluster.upstreams[0].received().len(), 1, "only the call that was told");
    assert_eq!(answers.iter().filter(|answer| status(answer) == "200").count(), 1);
}

/// Guards against an entry node that sends calls again because the serving node has restarted and forgot.
#[test]
fn an_entry_node_remembers_the_answer_when_the_serving_node_restarts() {
    let mut cluster = Cluster::new(2, 8);
    cluster.upstreams[1].say_leaving();
    cluster.upstreams[0].set(Behaviour::Refuse);
    cluster.wait(|| status(&cluster.exchange(0, &read("told"))) == "200");
    let before = cluster.upstreams[1].received().len();
    cluster.restart(1, 8);
    for number in 0..20 {
        assert_eq!(status(&cluster.exchange(0, &read(&format!("r{number}")))), "503");
    }
    assert_eq!(cluster.upstreams[1].received().len(), before);
}

/// Guards against an upstream that gets no calls because the previous one at its address had left.
#[test]
fn the_next_upstream_at_the_address_gets_calls() {
    let cluster = Cluster::new(1, 8);
    cluster.upstreams[0].say_leaving();
    assert_eq!(status(&cluster.exchange(0, &read("told"))), "200");
    assert_eq!(status(&cluster.exchange(0, &read("left"))), "503");
    cluster.upstreams[0].name_limit(None);
    cluster.show(0, 0, |upstream| upstream.identity = Some("i-next".into()));
    assert_eq!(status(&cluster.exchange(0, &read("next"))), "200");
}

/// Guards against an upstream that gets no calls because its previous process had left under the same identity.
#[test]
fn an_upstream_that_starts_again_under_its_identity_gets_calls() {
    let cluster = Cluster::new(1, 8);
    cluster.show_incarnation(0, 0, 100);
    cluster.upstreams[0].say_leaving();
    assert_eq!(status(&cluster.exchange(0, &read("told"))), "200");
    assert_eq!(status(&cluster.exchange(0, &read("left"))), "503");
    cluster.upstreams[0].name_limit(None);
    cluster.show_incarnation(0, 0, 200);
    assert_eq!(status(&cluster.exchange(0, &read("next"))), "200");
}

/// Guards against taking another value of the header for a leave.
#[test]
fn only_the_value_one_says_that_an_upstream_leaves() {
    for value in ["0", "", "false", "11"] {
        let cluster = Cluster::new(1, 8);
        cluster.upstreams[0].add_header(&format!("x-leaving: {value}"));
        for number in 0..3 {
            assert_eq!(status(&cluster.exchange(0, &read(&format!("r{number}")))), "200");
        }
    }
}
