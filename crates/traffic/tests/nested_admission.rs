//! Which calls are refused for their nested calls, and that they do not run.

mod cluster;

use cluster::{Behaviour, Cluster, header, request, status};
use fleet::timeline::Kind;
use policy::overload;
use std::{cell::Cell, thread, time::Duration};
use traffic::Tuning;

/// How long each run takes: long enough for nested calls, and equal at all nodes, so that calls are
/// offered to all of them.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Nested calls of such a run; more than are needed for a refusal.
const NESTED_CALLS: usize = 8;

/// Returns `count` nodes with `overload` settings.
fn cluster(count: usize, overload: overload::Settings) -> Cluster {
    let cluster = Cluster::new(count, 8);
    let tuning = Tuning { overload, ..cluster::tuning() };
    cluster.proxies.iter().for_each(|proxy| proxy.set_tuning(tuning));
    cluster.upstreams.iter().for_each(|upstream| upstream.set(Behaviour::Slowly(RUN_TIME)));
    cluster
}

fn on() -> overload::Settings {
    overload::Settings { nested_admission: true, ..overload::Settings::default() }
}

fn post(id: &str) -> String {
    request("POST", "/post/a", "", "{}").replace("x-id: r1", &format!("x-id: {id}"))
}

/// Returns how many requests `id` reached the upstream of `node`.
fn arrivals(cluster: &Cluster, node: usize, id: &str) -> usize {
    let received = cluster.upstreams[node].received();
    received.iter().filter(|seen| seen.header("x-id") == Some(id)).count()
}

/// Lets the upstream of `node` run a call whose nested calls find no upstream; returns whether it
/// ran one.
fn run_in_vain(cluster: &Cluster, node: usize, id: &str) -> bool {
    thread::scope(|scope| {
        let answer = scope.spawn(|| cluster.exchange(node, &post(id)));
        cluster.wait(|| answer.is_finished() || arrivals(cluster, node, id) == 1);
        let ran = arrivals(cluster, node, id) == 1;
        for n in 0..if ran { NESTED_CALLS } else { 0 } {
            let nested = request("GET", "/read/none/a", "", "");
            let nested = nested.replace("x-id: r1", &format!("x-id: {id}.{n}"));
            assert_eq!(
                header(&cluster.exchange(node, &nested), "baobab-cause"),
                Some("no-upstream")
            );
        }
        ran
    })
}

/// Returns whether node 0 reports that it refuses calls for their nested calls, and discards its
/// events.
fn has_begun_to_refuse(cluster: &Cluster) -> bool {
    let events = cluster.proxies[0].collect_events();
    events.into_iter().any(|event| match event {
        Kind::NestedOverload { service, share } => service == "nobody" && share > 0.0,
        _ => false,
    })
}

/// Sends `post` calls like [`refused_call_of`].
fn refused_call(cluster: &Cluster, short: &[usize]) -> (String, String) {
    refused_call_of(cluster, short, post)
}

/// Sends calls to node 0 while the nested calls of `short` nodes find no capacity, until one is
/// refused; returns its id and answer.
fn refused_call_of(
    cluster: &Cluster,
    short: &[usize],
    call: impl Fn(&str) -> String,
) -> (String, String) {
    let round = Cell::new(0);
    let refused = Cell::new(None);
    cluster.wait(|| {
        round.set(round.get() + 1);
        for node in short {
            run_in_vain(cluster, *node, &format!("vain{}-{node}", round.get()));
        }
        let ids = (0..10).map(|n| format!("p{}-{n}", round.get()));
        let answers = ids.map(|id| (cluster.exchange(0, &call(&id)), id));
        let found = answers.into_iter().find(|(answer, _)| status(answer) != "200");
        let is_found = found.is_some();
        refused.set(found.map(|(answer, id)| (id, answer)));
        is_found
    });
    refused.take().expect("a call was refused")
}

/// Guards against parents whose work is lost since their nested calls find no capacity, and against
/// a refused parent that ran.
#[test]
fn a_parent_whose_nested_calls_find_no_capacity_is_refused_and_does_not_run() {
    let cluster = cluster(1, on());
    let (id, answer) = refused_call(&cluster, &[0]);
    assert_eq!(status(&answer), "503", "{answer}");
    assert_eq!(header(&answer, "baobab-outcome"), Some("not-run"));
    assert_eq!(header(&answer, "baobab-cause"), Some("nested-overloaded"));
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert_eq!(arrivals(&cluster, 0, &id), 0);
    assert!(has_begun_to_refuse(&cluster));
}

/// Guards against a call that is lost although a node would run it whose upstream finds capacity.
#[test]
fn a_refused_parent_runs_at_another_node() {
    let cluster = cluster(2, on());
    let round = Cell::new(0);
    cluster.wait(|| {
        round.set(round.get() + 1);
        run_in_vain(&cluster, 0, &format!("vain{}", round.get()));
        for n in 0..10 {
            let id = format!("p{}-{n}", round.get());
            assert_eq!(status(&cluster.exchange(0, &post(&id))), "200");
            assert_eq!(arrivals(&cluster, 0, &id) + arrivals(&cluster, 1, &id), 1);
        }
        has_begun_to_refuse(&cluster)
    });
}

/// Guards against offers to node after node while a nested service is short: the third node would
/// run the call.
#[test]
fn a_parent_is_refused_after_two_nodes_have_refused_it() {
    let cluster = cluster(3, on());
    let (id, answer) = refused_call(&cluster, &[0, 1]);
    assert_eq!(header(&answer, "baobab-cause"), Some("nested-overloaded"), "{answer}");
    assert_eq!((0..3).map(|node| arrivals(&cluster, node, &id)).sum::<usize>(), 0);
}

/// Guards against calls with large bodies that are never refused: the decision on them is made when
/// their transfer is reserved, not when they run.
#[test]
fn a_parent_with_a_large_body_is_refused_and_does_not_run() {
    let cluster = cluster(2, on());
    let body = "x".repeat(64 * 1024);
    let large = |id: &str| {
        request("POST", "/post/a", "", &body).replace("x-id: r1", &format!("x-id: {id}"))
    };
    let (id, answer) = refused_call_of(&cluster, &[0, 1], large);
    assert_eq!(header(&answer, "baobab-cause"), Some("nested-overloaded"), "{answer}");
    assert_eq!((0..2).map(|node| arrivals(&cluster, node, &id)).sum::<usize>(), 0);
}

/// Guards against refusals where the switch is off, also after it was on.
#[test]
fn every_parent_runs_while_the_switch_is_off() {
    let cluster = cluster(1, overload::Settings::default());
    let check = |round: &str| {
        run_in_vain(&cluster, 0, &format!("vain-{round}"));
        for n in 0..10 {
            let answer = cluster.exchange(0, &post(&format!("p{round}-{n}")));
            assert_eq!(status(&answer), "200", "{answer}");
        }
        assert!(!has_begun_to_refuse(&cluster));
    };
    check("before");
    cluster.proxies[0].set_tuning(Tuning { overload: on(), ..cluster::tuning() });
    refused_call(&cluster, &[0]);
    assert!(has_begun_to_refuse(&cluster));
    cluster.proxies[0].set_tuning(cluster::tuning());
    check("after");
}
