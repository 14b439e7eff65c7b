//! The retries of all processes, ended ones included, stay within the fleet's budget in every window.

mod histories;

use histories::{Disruption, History, Kind, disruption};

/// Sizes of the fleets.
const NODES: [usize; 3] = [2, 12, 300];

/// Calm until the budget is saved up; then upstreams refuse more than half of all attempts.
const REFUSALS: Disruption =
    Disruption { kind: Kind::Refuse, at: 20_000, lasts: 15_000, part: 0.6, offset: 0.0 };

/// Plays `disruptions` with refusals at fleets of all sizes.
fn check(disruptions: &[Disruption]) {
    let disruptions: Vec<Disruption> = [&[REFUSALS], disruptions].concat();
    for nodes in NODES {
        let history = History { nodes, seed: 1, disruptions: disruptions.clone() };
        let result = history.play();
        assert!(result.excess <= 0.0, "{nodes} nodes: {result:?}");
    }
}

/// Guards against a process that does not know what the one before it has spent.
#[test]
fn the_retries_of_ended_processes_count() {
    check(&[disruption(Kind::Restart, 22_000, 300, 1.0)]);
}

/// Guards against retries of a history of disruptions beyond the fleet's bound.
#[test]
fn random_histories_keep_the_bound() {
    for (nodes, histories) in [(2, 60), (12, 40), (300, 6)] {
        for seed in 0..histories {
            let history = History::random(nodes, seed);
            let exceeds = |history: &History| history.play().excess > 0.0;
            if exceeds(&history) {
                let shrunk = history.shrink(exceeds);
                panic!("{nodes} nodes: {:?} of {shrunk:#?}", shrunk.play());
            }
        }
    }
}
