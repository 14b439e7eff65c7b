//! Random sequences of faults and operator actions, run on the simulation.
//!
//! Checked after each action: no node goes back to an older version, or applies a partial or
//! unpublished one. Checked within [`CONVERGENCE_LIMIT`] of the last fault: every node has the
//! newest valid version in force and sees every other running node as accepting calls.

use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

use crate::{
    platform::READS_PER_SECOND,
    simulation::{Net, Options, Source, address},
};

/// Time after the last fault within which all nodes must converge.
///
/// The longest backoff from the platform (30 s), plus a watch (8 s) and a few probes.
pub const CONVERGENCE_LIMIT: Duration = Duration::from_secs(45);

/// Nodes of the simulation.
const NODES: usize = 6;

/// One action of a script; node numbers are taken modulo the number of nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Publishes a valid revision.
    Publish(u8),
    /// Publishes an invalid revision, then a valid one.
    PublishInvalid(u8),
    /// Publishes a service before the profile that it refers to, and the profile after so many ms.
    PublishOutOfOrder(u8, u16),
    /// Removes a profile that no service refers to.
    Remove(u8),
    /// Kills a node; nothing restarts it before the script ends.
    Kill(u8),
    /// Kills a node and starts a new incarnation.
    Restart(u8),
    /// Restarts every node at once.
    RestartAll,
    /// Stops a node gracefully and starts a new incarnation.
    Replace(u8),
    /// Pauses a node for so many ms.
    Pause(u8, u16),
    /// Moves a node into a network partition of its own.
    Partition(u8),
    /// Splits the network into two halves.
    Split,
    /// Heals every network partition.
    HealPartitions,
    /// Blocks a node's access to the platform.
    BlockSource(u8),
    /// The platform becomes unreachable.
    SourceDown,
    /// The platform serves the present revision as the newest from now on.
    SourceStale,
    /// The platform answers with a delay.
    SourceSlow,
    /// The platform answers normally.
    SourceUp,
    /// Sets the share of lost messages, in %.
    Loss(u8),
    /// Sets the share of messages delivered a second time later, in %.
    Duplication(u8),
    /// Lets so many ms of virtual time pass.
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

/// Runs a script; the error describes the first violated invariant or the missing convergence.
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

/// Ends every fault and restarts dead nodes.
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

/// Returns an error for the first invariant violated so far.
fn check_invariants(net: &Net) -> Result<(), String> {
    if net.peak_reads > READS_PER_SECOND {
        return Err(format!("{} reads of the platform within one second", net.peak_reads));
    }
    net.violations.first().map_or(Ok(()), |violation| Err(violation.clone()))
}

/// Returns an error unless all nodes have the newest valid version and see each other.
fn check_converged(net: &Net) -> Result<(), String> {
    let newest = net.newest_valid();
    for node in 0..net.len() {
        let version = net.version(node);
        if version.revision != newest {
            return Err(format!("node {node} has {version} in force instead of revision {newest}"));
        }
        let Some(control) = net.control(node) else { continue };
        for peer in (0..net.len()).filter(|&peer| net.is_working(peer)) {
            let record = control.roster().get(address(peer));
            let incarnation = net.control(peer).map(|c| c.roster().own().incarnation);
            let is_known =
                record.is_some_and(|r| r.state.takes_work() && Some(r.incarnation) == incarnation);
            if !is_known {
                return Err(format!(
                    "node {node} has record {record:?} of the running node {peer}"
                ));
            }
        }
    }
    Ok(())
}
