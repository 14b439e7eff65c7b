//! Which calls spend the retry budget of the fleet.

mod cluster;

use cluster::{Behaviour, Cluster, request, status};
use policy::budget::Settings;
use std::{thread, time::Duration};
use traffic::Tuning;

/// How long a run takes during which its upstream makes a call.
const RUN_TIME: Duration = Duration::from_millis(600);

/// Returns two nodes that may retry as often as they have had calls: half of the ratio comes with a call.
fn cluster() -> Cluster {
    let cluster = Cluster::new(2, 4);
    let budget = Settings { ratio: 2.0, slack: 0.0, usable_share: 1.0, ..Settings::default() };
    let tuning = Tuning { budget: Some(budget), ..Tuning::default() };
    cluster.proxies.iter().for_each(|proxy| proxy.set_tuning(tuning));
    cluster
}

fn post(id: &str) -> String {
    request("POST", "/post/a", "", "{}").replace("x-id: r1", &format!("x-id: {id}"))
}

/// Returns how many requests `id` reached an upstream.
fn arrivals(cluster: &Cluster, upstream: usize, id: &str) -> usize {
    let received = cluster.upstreams[upstream].received();
    received.iter().filter(|seen| seen.header("x-id") == Some(id)).count()
}

/// Sends calls to node 0 until the upstream beside node 1 runs a retry; then sends `nested` calls of that
/// run to node 1, and returns their statuses.
fn statuses_of_nested_calls(cluster: &Cluster, nested: usize) -> Vec<String> {
    cluster.upstreams[0].set(Behaviour::Refuse);
    cluster.upstreams[1].set(Behaviour::Slowly(RUN_TIME));
    // Until the first attempt of a call goes to the upstream that refuses.
    let statuses = (0..100).map(|n| format!("p{n}")).find_map(|id| {
        thread::scope(|scope| {
            scope.spawn(|| assert_eq!(status(&cluster.exchange(0, &post(&id))), "200"));
            cluster.wait(|| arrivals(cluster, 1, &id) == 1);
            let is_retry = arrivals(cluster, 0, &id) == 1;
            is_retry.then(|| {
                cluster.upstreams.iter().for_each(|upstream| upstream.set(Behaviour::Answer));
                let nested = (0..nested).map(|n| post(&format!("{id}.{n}")));
                nested.map(|call| status(&cluster.exchange(1, &call)).to_owned()).collect()
            })
        })
    });
    statuses.expect("one of the calls is retried")
}

/// Gives node 1 a budget of one retry per two calls, half of it at once.
fn limit_node_1(cluster: &Cluster) {
    let half = Settings { ratio: 1.0, slack: 0.0, usable_share: 1.0, ..Settings::default() };
    cluster.proxies[1].set_tuning(Tuning { budget: Some(half), ..Tuning::default() });
}

/// Guards against retries beyond the fleet's budget by the calls that retried runs make.
#[test]
fn a_call_nested_in_a_retried_run_spends_the_budget() {
    let cluster = cluster();
    limit_node_1(&cluster);
    for n in 0..2 {
        assert_eq!(status(&cluster.exchange(1, &post(&format!("earlier{n}")))), "200");
    }
    assert_eq!(statuses_of_nested_calls(&cluster, 1), ["200"]);
    cluster.upstreams.iter().for_each(|upstream| upstream.set(Behaviour::Refuse));
    assert_eq!(status(&cluster.exchange(1, &post("last"))), "503");
    let reached: usize = (0..2).map(|upstream| arrivals(&cluster, upstream, "last")).sum();
    assert_eq!(reached, 1, "the nested call has spent the retry of this one");
}

/// Guards against any number of retried runs that pass the check for a single retry, and whose nested calls
/// are only counted.
#[test]
fn a_call_nested_in_a_retried_run_is_refused_where_no_budget_is_left() {
    let cluster = cluster();
    limit_node_1(&cluster);
    for n in 0..2 {
        assert_eq!(status(&cluster.exchange(1, &post(&format!("earlier{n}")))), "200");
    }
    assert_eq!(statuses_of_nested_calls(&cluster, 3), ["200", "503", "503"]);
    let nested =
        |received: &cluster::Received| received.header("x-id").is_some_and(|id| id.contains('.'));
    let arrived = cluster.upstreams.iter().flat_map(|upstream| upstream.received());
    assert_eq!(arrived.filter(nested).count(), 1, "refused calls reach no upstream");
}

/// Guards against retries whose nested calls exceed the budget of the service that they call.
#[test]
fn a_retry_is_refused_where_its_nested_calls_have_no_budget() {
    let cluster = cluster();
    cluster.upstreams[1].set(Behaviour::Slowly(RUN_TIME));
    // A call nested in a run on node 1, so that its upstream is known to call the service.
    let parent = (0..100).map(|n| format!("n{n}")).find(|id| {
        thread::scope(|scope| {
            scope.spawn(|| assert_eq!(status(&cluster.exchange(1, &post(id))), "200"));
            cluster.wait(|| arrivals(&cluster, 0, id) + arrivals(&cluster, 1, id) == 1);
            let is_there = arrivals(&cluster, 1, id) == 1;
            if is_there {
                cluster.upstreams[1].set(Behaviour::Answer);
                assert_eq!(status(&cluster.exchange(1, &post(&format!("{id}.1")))), "200");
            }
            is_there
        })
    });
    assert!(parent.is_some());
    let none = Settings { ratio: 0.0, slack: 0.0, usable_share: 0.0, ..Settings::default() };
    cluster.proxies[1].set_tuning(Tuning { budget: Some(none), ..Tuning::default() });
    cluster.upstreams[0].set(Behaviour::Refuse);
    for n in 0..20 {
        let id = format!("r{n}");
        let answer = cluster.exchange(0, &post(&id));
        let is_retry = arrivals(&cluster, 0, &id) == 1;
        assert_eq!(status(&answer), if is_retry { "503" } else { "200" });
        assert_eq!(arrivals(&cluster, 1, &id), usize::from(!is_retry));
    }
}
