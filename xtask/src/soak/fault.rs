//! Injects random faults and repairs them after a random time.

use rand::{RngExt, rngs::SmallRng};
use rustix::process::Signal;
use standins::{platform, upstream};
use std::{
    collections::BTreeMap,
    io, thread,
    time::{Duration, Instant},
};

use crate::soak::{cluster::Cluster, history::Condition, proxy::Mode};

/// Faults of an upstream.
const UPSTREAM_MODES: [upstream::Mode; 6] = [
    upstream::Mode::Silent,
    upstream::Mode::CloseBefore,
    upstream::Mode::CloseAfter,
    upstream::Mode::Truncate,
    upstream::Mode::WrongId,
    upstream::Mode::Refuse,
];

/// Network faults.
const PROXY_MODES: [Mode; 4] = [Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay];

/// Time for which a leaving upstream stays listed beyond the duration of a fault, so that there is a
/// period in which it must get no new calls.
const EXTRA_LEAVING: Duration = Duration::from_millis(2_500);

/// Time from a planned stop until a node that still runs is killed; its own limit is 4 s.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// Interval at which a stopping node is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum Repair {
    StartNode(usize),
    /// Starts a node again once its planned stop has ended or this moment has passed.
    RestartStopped(usize, Instant),
    ResumeNode(usize),
    RestoreNodeLinks(usize),
    RestorePlatformLink(usize),
    RestorePlatform,
    RestoreUpstream(usize),
    ReplaceUpstream(usize),
    RestartUpstream(usize),
}

/// Pending repairs, and the number of injected faults of each kind.
#[derive(Debug, Default)]
pub(crate) struct Injector {
    pending: Vec<(Instant, Repair)>,
    counts: BTreeMap<&'static str, u32>,
}

impl Injector {
    /// Injects a random fault.
    pub(crate) fn inject(
        &mut self,
        cluster: &mut Cluster,
        random: &mut SmallRng,
    ) -> io::Result<()> {
        let number = random.random_range(0..cluster.instances.len());
        let mut duration = Duration::from_millis(random.random_range(100..2_500));
        let (name, repair) = match random.random_range(0..13) {
            0 => {
                cluster.instances[number].kill_node()?;
                ("kill", Some(Repair::StartNode(number)))
            }
            1 => {
                cluster.pause(number)?;
                ("pause", Some(Repair::ResumeNode(number)))
            }
            2 => {
                cluster.stop(number)?;
                let limit = Instant::now() + STOP_LIMIT;
                ("planned stop", Some(Repair::RestartStopped(number, limit)))
            }
            3 => {
                cluster.instances[number].signal(Signal::HUP)?;
                ("reload", None)
            }
            4 => {
                let instance = &mut cluster.instances[number];
                instance.history.begin(Condition::Nodes);
                instance.nodes.set_mode(PROXY_MODES[random.random_range(0..PROXY_MODES.len())]);
                ("bad network between nodes", Some(Repair::RestoreNodeLinks(number)))
            }
            5 => {
                let instance = &mut cluster.instances[number];
                instance.history.begin(Condition::Platform);
                instance.platform.set_mode(PROXY_MODES[random.random_range(0..PROXY_MODES.len())]);
                ("bad network to the platform", Some(Repair::RestorePlatformLink(number)))
            }
            6 => {
                let slow = platform::Mode::Slow(Duration::from_millis(300));
                let mode = if random.random_bool(0.5) { platform::Mode::Down } else { slow };
                cluster.set_platform(mode);
                ("platform in trouble", Some(Repair::RestorePlatform))
            }
            7 => {
                let instance = &mut cluster.instances[number];
                instance.history.begin(Condition::Upstream);
                instance
                    .upstream
                    .set_mode(UPSTREAM_MODES[random.random_range(0..UPSTREAM_MODES.len())]);
                ("upstream in trouble", Some(Repair::RestoreUpstream(number)))
            }
            8 => {
                cluster.leave(number);
                duration += EXTRA_LEAVING;
                ("upstream leaves", Some(Repair::ReplaceUpstream(number)))
            }
            9 => {
                cluster.platform.publish(&[("services/odd", Some(r#"{"profile": "none"}"#))]);
                cluster.platform.publish(&[("services/odd", None)]);
                cluster.content.publish(&cluster.platform);
                ("bad version", None)
            }
            10 => {
                cluster.kill_upstream(number);
                ("upstream restarts", Some(Repair::RestartUpstream(number)))
            }
            11 if cluster.content.grow(&cluster.platform) > 0 => ("growth", None),
            _ => {
                cluster.content.publish(&cluster.platform);
                ("version", None)
            }
        };
        *self.counts.entry(name).or_default() += 1;
        self.pending.extend(repair.map(|repair| (Instant::now() + duration, repair)));
        Ok(())
    }

    /// Repairs the faults whose time is over.
    pub(crate) fn repair_due(&mut self, cluster: &mut Cluster) -> io::Result<()> {
        let now = Instant::now();
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = later;
        self.apply_all(due, cluster)
    }

    /// Repairs all faults; stopping nodes are awaited.
    pub(crate) fn repair_all(&mut self, cluster: &mut Cluster) -> io::Result<()> {
        while !self.pending.is_empty() {
            let pending = std::mem::take(&mut self.pending);
            self.apply_all(pending, cluster)?;
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    pub(crate) fn summary(&self) -> String {
        let counts = self.counts.iter().map(|(name, count)| format!("{name} {count}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    fn apply_all(&mut self, due: Vec<(Instant, Repair)>, cluster: &mut Cluster) -> io::Result<()> {
        for (_, repair) in due {
            if !apply(cluster, repair)? {
                self.pending.push((Instant::now() + POLL_INTERVAL, repair));
            }
        }
        Ok(())
    }
}

/// Applies a repair; returns false if it is too early.
fn apply(cluster: &mut Cluster, repair: Repair) -> io::Result<bool> {
    match repair {
        Repair::StartNode(number) => start(cluster, number)?,
        Repair::RestartStopped(number, limit) => {
            let instance = &mut cluster.instances[number];
            if instance.history.is_active(Condition::Stopping) && instance.poll_process()? {
                if Instant::now() < limit {
                    return Ok(false);
                }
                instance.kill_node()?;
            }
            start(cluster, number)?;
        }
        Repair::ResumeNode(number) => cluster.resume(number)?,
        Repair::RestoreNodeLinks(number) => {
            cluster.instances[number].nodes.set_mode(Mode::Pass);
            cluster.instances[number].history.end(Condition::Nodes);
        }
        Repair::RestorePlatformLink(number) => {
            cluster.instances[number].platform.set_mode(Mode::Pass);
            cluster.instances[number].history.end(Condition::Platform);
        }
        Repair::RestorePlatform => cluster.set_platform(platform::Mode::Normal),
        Repair::RestoreUpstream(number) => {
            cluster.instances[number].upstream.set_mode(upstream::Mode::Normal);
            cluster.instances[number].history.end(Condition::Upstream);
        }
        Repair::ReplaceUpstream(number) => cluster.replace(number),
        Repair::RestartUpstream(number) => cluster.restart_upstream(number)?,
    }
    Ok(true)
}

/// Starts a node unless its process still runs.
fn start(cluster: &mut Cluster, number: usize) -> io::Result<()> {
    if cluster.instances[number].process.is_none() {
        cluster.start_node(number)?;
    }
    Ok(())
}
