//! The retries of all processes, ended ones included, stay within the fleet's budget in every window.

mod histories;

use histories::{Disruption, History, Kind, disruption};

/// Sizes of the fleets.
const NODES: [usize; 3] = [2, 12, 300];

/// Calm until the budget is saved up; then upstreams refuse more than half of all attempts.
const REFUSALS: Disruption =
    Disruption { kind: Kind::Refuse, at: 20_000, lasts: 15_000, part: 0.6, offset: 0.0 };

/// Plays `disruptions` with refusals at fleets of all sizes.
#[track_caller]
fn check(disruptions: &[Disruption]) {
    let disruptions: Vec<Disruption> = [&[REFUSALS], disruptions].concat();
    for nodes in NODES {
        for seed in 1..3 {
            let history = History { nodes, seed, disruptions: disruptions.clone() };
            let result = history.play();
            println!("{nodes} nodes: {:.0} beyond {:.0}", result.excess, result.bound);
            assert!(result.excess <= 0.0, "{nodes} nodes, seed {seed}: {result:?}");
        }
    }
}

/// Guards against shares whose maxima at different moments add up to more than the bound.
#[test]
fn a_sudden_failure_keeps_the_bound() {
    check(&[]);
}

/// Guards against a process that does not know what the one before it has spent.
#[test]
fn the_retries_of_ended_processes_count() {
    check(&[disruption(Kind::Restart, 22_000, 300, 1.0)]);
}

/// Guards against the same where only some processes end.
#[test]
fn the_retries_of_some_ended_processes_count() {
    check(&[disruption(Kind::Restart, 22_000, 300, 0.5)]);
    check(&[disruption(Kind::Restart, 22_000, 300, 0.001)]);
}

/// Guards against processes that end again before the window is over.
#[test]
fn the_retries_of_processes_that_end_again_count() {
    check(&[22_000, 25_000, 28_000].map(|at| disruption(Kind::Restart, at, 300, 1.0)));
}

/// Guards against callers whose calls earn at one node what another has spent.
#[test]
fn callers_that_move_earn_nothing_twice() {
    check(&[disruption(Kind::Move, 22_000, 15_000, 0.5)]);
}

/// Guards against the same where the nodes that the callers used leave.
#[test]
fn the_retries_of_nodes_that_left_count() {
    check(&[disruption(Kind::Leave, 22_000, 2_000, 0.5)]);
}

/// Guards against nodes that join while the others use the whole slack.
#[test]
fn nodes_that_join_wait_for_their_part() {
    check(&[disruption(Kind::Join, 22_000, 1_000, 1.0)]);
    check(&[disruption(Kind::Join, 8_000, 1_000, 1.0)]);
}

/// Guards against nodes that divide the slack without those that are cut off and go on.
#[test]
fn nodes_whose_entries_lapsed_count() {
    check(&[disruption(Kind::CutOff, 8_000, 30_000, 0.5)]);
    check(&[
        disruption(Kind::CutOff, 8_000, 30_000, 0.5),
        disruption(Kind::Restart, 19_000, 300, 1.0),
    ]);
}

/// Guards against retries that wait in queues and arrive in a later window than the one that allowed them.
#[test]
fn retries_count_when_they_arrive() {
    check(&[disruption(Kind::Late, 20_000, 9_000, 1.0)]);
    check(&[disruption(Kind::Late, 20_000, 15_000, 0.5)]);
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
