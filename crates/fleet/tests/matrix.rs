//! Fault matrix: every fault at every step of the propagation of a version.

use standins::{
    platform::READS_PER_SECOND,
    script::CONVERGENCE_LIMIT,
    simulation::{Net, Options, Source},
};
use std::time::Duration;

const NODES: usize = 6;

/// Steps of 1 ms. A version reaches all nodes within about 15 ms of virtual time.
const STEPS: u64 = 20;

/// Duration of a fault.
const FAULT_TIME: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Restart,
    Pause,
    Partition,
    Split,
    Loss,
    Duplication,
    SourceDown,
    SourceStale,
    SourceSlow,
    BlockSource,
    InvalidVersion,
    NextVersion,
    RestartAll,
    Leave,
}

const FAULTS: [Fault; 15] = [
    Fault::Kill,
    Fault::Restart,
    Fault::Pause,
    Fault::Partition,
    Fault::Split,
    Fault::Loss,
    Fault::Duplication,
    Fault::SourceDown,
    Fault::SourceStale,
    Fault::SourceSlow,
    Fault::BlockSource,
    Fault::InvalidVersion,
    Fault::NextVersion,
    Fault::RestartAll,
    Fault::Leave,
];

fn inject(net: &mut Net, fault: Fault, node: usize) {
    match fault {
        Fault::Kill => net.kill(node),
        Fault::Restart => net.start(node),
        Fault::Pause => net.pause(node, FAULT_TIME),
        Fault::Partition => net.set_partition(node, 1),
        Fault::Split => (0..NODES / 2).for_each(|n| net.set_partition(n, 1)),
        Fault::Loss => net.loss = 60,
        Fault::Duplication => net.duplication = 100,
        Fault::SourceDown => net.set_source(Source::Down),
        Fault::SourceStale => net.set_source(Source::Stale),
        Fault::SourceSlow => net.set_source(Source::Slow(Duration::from_secs(1))),
        Fault::BlockSource => net.block_source(node),
        Fault::InvalidVersion => {
            net.publish("profiles/bad", Some("{\"deadline_ms\": -1}"));
        }
        Fault::NextVersion => {
            net.publish("profiles/base", Some("{\"attempts\": 1}"));
        }
        Fault::RestartAll => (0..NODES).for_each(|n| net.start(n)),
        Fault::Leave => net.stop(node),
    }
}

fn heal(net: &mut Net) {
    net.heal_partitions();
    net.unblock_sources();
    net.set_source(Source::Up);
    (net.loss, net.duplication) = (0, 0);
    for node in 0..NODES {
        if net.control(node).is_none() {
            net.start(node);
        }
    }
    net.publish("profiles/bad", Some("{}"));
}

/// Publishes a version, injects `fault` after `step` ms, heals it and checks that all nodes
/// converge.
#[track_caller]
fn check(fault: Fault, step: u64, node: usize) {
    let mut net = Net::new(Options { nodes: NODES, seed: step + 1, ..Options::default() });
    net.publish("profiles/base", Some("{}"));
    net.publish("services/service-0", Some(r#"{"profile": "base"}"#));
    net.run(Duration::from_secs(3));
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    net.run(Duration::from_millis(step));
    inject(&mut net, fault, node);
    net.run(FAULT_TIME);
    heal(&mut net);
    let newest = net.newest_valid();
    let elapsed = net.run_until_in_force(newest, CONVERGENCE_LIMIT);
    let case = format!("{fault:?} at step {step} of node {node}");
    assert_eq!(net.violations, Vec::<String>::new(), "{case}");
    assert!(elapsed.is_some(), "{case}: not in force on all nodes");
    assert!(net.peak_reads <= READS_PER_SECOND, "{case}: {} reads", net.peak_reads);
}

/// Guards against nodes that stay on an old version after a fault at one particular step.
#[test]
fn every_fault_at_every_step_heals() {
    for fault in FAULTS {
        for step in 0..STEPS {
            check(fault, step, (step as usize) % NODES);
        }
    }
}
