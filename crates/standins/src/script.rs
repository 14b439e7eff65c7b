//! Random scripts of faults and operators' actions, run against the in-memory ports.
//!
//! The oracle is simple: at no step may a node go back, hold part of a version or one that nobody
//! published; and once the last fault is healed, every node must have the newest acceptable
//! version in force, and believe every other working node to take work, within [`CONVERGENCE_LIMIT`].

use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

use crate::{
    platform::READS_PER_SECOND,
    simulation::{Net, Options, Source, address},
};

/// Time within which everything must be well after the last fault.
///
/// It is the longest back-off from the platform (30 s) plus a watch (8 s) and a few probes.
pub const CONVERGENCE_LIMIT: Duration = Duration::from_secs(45);

/// Nodes of a scripted net.
const NODES: usize = 6;

/// One action of a script; node numbers are taken modulo the number of nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Publishes an acceptable revision.
    Publish(u8),
    /// Publishes a revision that is not acceptable.
    PublishInvalid(u8),
    /// Publishes a service before the profile that it names, and the profile after a while.
    PublishOutOfOrder(u8, u16),
    /// Removes a document that nothing refers to.
    Remove(u8),
    /// Kills a node.
    Kill(u8),
    /// Starts a new life of a node.
    Restart(u8),
    /// Restarts every node at once.
    RestartAll,
    /// Stops a node in an orderly way and starts it anew.
    Replace(u8),
    /// Freezes a node for so many ms.
    Pause(u8, u16),
    /// Separates a node from the others.
    Partition(u8),
    /// Separates two halves.
    Split,
    /// Ends every separation.
    HealPartitions,
    /// Cuts a node off from the platform.
    BlockSource(u8),
    /// The platform does not answer.
    SourceDown,
    /// The platform serves an old revision from now on.
    SourceStale,
    /// The platform answers late.
    SourceSlow,
    /// The platform answers.
    SourceUp,
    /// So many per cent of messages are lost.
    Loss(u8),
    /// So many per cent of messages arrive twice, the second time late.
    Duplication(u8),
    /// Time passes, in ms.
    Wait(u16),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let (node, ms) = (u8::arbitrary(g), u16::arbitrary(g) % 8_000);
        match u8::arbitrary(g) % 26 {
            0..=3 => Action::Publish(node),
            4 => Action::PublishInvalid(node),
            5 => Action::PublishOutOfOrder(node, ms),
            6 => Action::Remove(node),
            7 => Action::Kill(node),
            8 | 9 => Action::Restart(node),
            10 => Action::RestartAll,
            11 => Action::Replace(node),
            12 => Action::Pause(node, ms),
            13 => Action::Partition(node),
            14 => Action::Split,
            15 => Action::HealPartitions,
            16 => Action::BlockSource(node),
            17 => Action::SourceDown,
            18 => Action::SourceStale,
            19 => Action::SourceSlow,
            20 => Action::SourceUp,
            21 => Action::Loss(node % 60),
            22 => Action::Duplication(node % 60),
            _ => Action::Wait(ms),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Action::Wait(ms) => Box::new(ms.shrink().map(Action::Wait)),
            Action::Pause(node, ms) => Box::new(ms.shrink().map(move |ms| Action::Pause(node, ms))),
            Action::PublishOutOfOrder(node, ms) => {
                Box::new(ms.shrink().map(move |ms| Action::PublishOutOfOrder(node, ms)))
            }
            _ => Box::new(std::iter::empty()),
        }
    }
}

/// Runs a script and returns what did not hold.
pub fn run(actions: &[Action], seed: u64) -> Result<(), String> {
    let mut net = Net::new(Options { nodes: NODES, seed, ..Options::default() });
    net.publish("profiles/base", Some("{}"));
    net.publish("services/service-0", Some(r#"{"profile": "base"}"#));
    net.run(Duration::from_secs(3));
    for action in actions {
        apply(&mut net, action);
        net.run(Duration::from_millis(20));
        check_invariants(&net)?;
    }
    heal(&mut net);
    net.run(CONVERGENCE_LIMIT);
    check_invariants(&net)?;
    check_converged(&net)
}

fn apply(net: &mut Net, action: &Action) {
    let node = |n: u8| usize::from(n) % NODES;
    match *action {
        Action::Publish(n) => {
            let text = format!(r#"{{"deadline_ms": {}}}"#, 100 + u32::from(n));
            net.publish(&format!("profiles/p{}", n % 5), Some(&text));
        }
        Action::PublishInvalid(n) => {
            net.publish("profiles/bad", Some(&format!(r#"{{"deadline_ms": "{n}"}}"#)));
            net.run(Duration::from_millis(u64::from(n) * 10));
            net.publish("profiles/bad", Some("{}"));
        }
        Action::PublishOutOfOrder(n, ms) => {
            let (profile, service) = (format!("x{n}"), format!("services/x{n}"));
            net.publish(&service, Some(&format!(r#"{{"profile": "{profile}"}}"#)));
            net.run(Duration::from_millis(ms.into()));
            net.publish(&format!("profiles/{profile}"), Some("{}"));
        }
        Action::Remove(n) => {
            net.publish(&format!("profiles/p{}", n % 5), None);
        }
        Action::Kill(n) => net.kill(node(n)),
        Action::Restart(n) => net.start(node(n)),
        Action::RestartAll => (0..NODES).for_each(|n| net.start(n)),
        Action::Replace(n) => {
            net.stop(node(n));
            net.start(node(n));
        }
        Action::Pause(n, ms) => net.pause(node(n), Duration::from_millis(ms.into())),
        Action::Partition(n) => net.set_partition(node(n), 1 + u32::from(n)),
        Action::Split => (0..NODES / 2).for_each(|n| net.set_partition(n, 1)),
        Action::HealPartitions => net.heal_partitions(),
        Action::BlockSource(n) => net.block_source(node(n)),
        Action::SourceDown => net.set_source(Source::Down),
        Action::SourceStale => net.set_source(Source::Stale),
        Action::SourceSlow => net.set_source(Source::Slow(Duration::from_millis(700))),
        Action::SourceUp => net.set_source(Source::Up),
        Action::Loss(percent) => net.loss = percent.into(),
        Action::Duplication(percent) => net.duplication = percent.into(),
        Action::Wait(ms) => net.run(Duration::from_millis(ms.into())),
    }
}

/// Ends every fault; dead nodes are started, as the platform replaces instances.
fn heal(net: &mut Net) {
    net.heal_partitions();
    net.unblock_sources();
    net.set_source(Source::Up);
    (net.loss, net.duplication) = (0, 0);
    for node in 0..net.len() {
        if net.control(node).is_none() {
            net.start(node);
        }
    }
}

/// Returns what has been broken so far.
fn check_invariants(net: &Net) -> Result<(), String> {
    if net.peak_reads > READS_PER_SECOND {
        return Err(format!("{} reads within one second", net.peak_reads));
    }
    net.violations.first().map_or(Ok(()), |violation| Err(violation.clone()))
}

/// Returns what is not well although every fault is healed.
fn check_converged(net: &Net) -> Result<(), String> {
    let newest = net.newest_valid();
    for node in 0..net.len() {
        let version = net.version(node);
        if version.revision != newest {
            return Err(format!("node {node} holds {version} and not revision {newest}"));
        }
        let Some(control) = net.control(node) else { continue };
        for peer in (0..net.len()).filter(|&peer| net.is_working(peer)) {
            let record = control.roster().get(address(peer));
            let incarnation = net.control(peer).map(|c| c.roster().own().incarnation);
            let is_known =
                record.is_some_and(|r| r.state.takes_work() && Some(r.incarnation) == incarnation);
            if !is_known {
                return Err(format!("node {node} holds node {peer} for {record:?}"));
            }
        }
    }
    Ok(())
}
