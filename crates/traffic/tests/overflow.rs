//! Offers of calls while no upstream has capacity.

mod cluster;

use cluster::{Cluster, header, request, status};
use fleet::timeline::Kind;
use policy::{budget, overload};
use traffic::Tuning;

/// Nodes; one call may be offered to all of them.
const NODES: usize = 4;

const OFF: overload::Settings = overload::Settings {
    nested_admission: false,
    cold_window: false,
    retry_priority: false,
    fair_shares: false,
    overflow: false,
    paced_returns: false,
};

const ON: overload::Settings = overload::Settings { overflow: true, ..OFF };

/// Returns nodes in two data centres, whose upstreams named a limit in their answers that leaves no room now.
fn full_cluster(overload: overload::Settings) -> Cluster {
    let cluster = Cluster::new(NODES, 8);
    let budget = Some(budget::Settings::default());
    let tuning = Tuning { budget, overload, ..Tuning::default() };
    cluster.proxies.iter().for_each(|proxy| proxy.set_tuning(tuning));
    for remote in NODES / 2..NODES {
        cluster.show(0, remote, |upstream| upstream.near = false);
    }
    cluster.upstreams.iter().for_each(|upstream| upstream.name_limit(Some("0")));
    cluster.wait(|| status(&call(&cluster).0) == "503");
    cluster
}

/// Makes a call at node 0; returns its response and the number of its offers after the first.
fn call(cluster: &Cluster) -> (String, u64) {
    cluster.proxies[0].collect_events();
    let answer = cluster.exchange(0, &request("POST", "/post/a", "", "{}"));
    let retries = cluster.proxies[0].collect_events().into_iter().map(|event| match event {
        Kind::Retried { count, .. } => count,
        _ => 0,
    });
    (answer, retries.sum())
}

/// Guards against offers to upstreams that just refused calls, and against calls without any offer.
#[test]
fn a_call_is_offered_once_while_all_upstreams_are_known_to_be_full() {
    let cluster = full_cluster(ON);
    let before = cluster.received().len();
    cluster.wait(|| {
        let (answer, retries) = call(&cluster);
        // Only a serving node gives this cause.
        assert_eq!(header(&answer, "baobab-cause"), Some("limited"), "{answer}");
        retries == 0
    });
    assert_eq!(cluster.received().len(), before);
}

/// Guards against other decisions than before while overflow is off: a refused call is offered to every node.
#[test]
fn a_refused_call_is_offered_to_every_node_without_overflow() {
    let cluster = full_cluster(OFF);
    for _ in 0..8 {
        let (answer, retries) = call(&cluster);
        assert_eq!((status(&answer), retries), ("503", NODES as u64 - 1), "{answer}");
    }
}

/// Guards against calls that an idle data centre is not offered.
#[test]
fn calls_of_a_full_data_centre_are_answered_in_another() {
    let cluster = full_cluster(ON);
    cluster.upstreams[NODES / 2..].iter().for_each(|upstream| upstream.name_limit(None));
    let is_answered = || status(&call(&cluster).0) == "200";
    cluster.wait(|| (0..20).all(|_| is_answered()));
}

/// Guards against traffic between data centres that operators do not see.
#[test]
fn offers_to_other_data_centres_are_counted() {
    let cluster = full_cluster(OFF);
    let metrics = cluster.meters[0].render().expect("metrics are rendered");
    let value = |name: &str| {
        let line = metrics.lines().find(|line| line.starts_with(name)).unwrap_or(&metrics);
        let number = line.split(' ').next_back().and_then(|text| text.parse::<u64>().ok());
        number.unwrap_or_else(|| panic!("{name} is missing in {line}"))
    };
    let offers = value("baobabrelay_remote_total{kind=\"call\"");
    let refused = value("baobabrelay_remote_total{kind=\"refused\"");
    let answered: usize =
        cluster.upstreams[NODES / 2..].iter().map(|upstream| upstream.received().len()).sum();
    assert_eq!(offers - refused, answered as u64);
    assert!(value("baobabrelay_remote_bytes") > offers * 100);
}
