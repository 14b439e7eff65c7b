//! What goes wrong, when, and for how long.

use rand::{RngExt, rngs::SmallRng};
use rustix::process::Signal;
use standins::{platform, upstream};
use std::{
    collections::BTreeMap,
    io, thread,
    time::{Duration, Instant},
};

use crate::soak::{history::Trouble, proxy::Mode, site::Site};

/// Ways in which an upstream misbehaves.
const UPSTREAM_MODES: [upstream::Mode; 6] = [
    upstream::Mode::Silent,
    upstream::Mode::CloseBefore,
    upstream::Mode::CloseAfter,
    upstream::Mode::Truncate,
    upstream::Mode::WrongId,
    upstream::Mode::Refuse,
];

const PROXY_MODES: [Mode; 4] = [Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay];

/// How long an upstream that leaves stays listed beyond the time of other faults, so that there is a
/// time in which it must get nothing.
const LEAVING: Duration = Duration::from_millis(2_500);

/// Time from a planned stop until a node that is still there is killed. It should end within 4 s.
const STOPPING: Duration = Duration::from_secs(8);

/// Time between two looks at a node that stops.
const POLL: Duration = Duration::from_millis(20);

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum End {
    Start(usize),
    /// Starts a node that was asked to stop, once it has ended or this moment is over.
    StartAfter(usize, Instant),
    Continue(usize),
    PassNodes(usize),
    PassPlatform(usize),
    Platform,
    Upstream(usize),
    Replace(usize),
    RestartUpstream(usize),
}

/// Faults under way, and how many there were of each kind.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pending: Vec<(Instant, End)>,
    counts: BTreeMap<&'static str, u32>,
}

impl Faults {
    /// Begins a fault drawn at random.
    pub(crate) fn begin_one(&mut self, site: &mut Site, random: &mut SmallRng) -> io::Result<()> {
        let number = random.random_range(0..site.spots.len());
        let mut time = Duration::from_millis(random.random_range(100..2_500));
        let (name, end) = match random.random_range(0..13) {
            0 => {
                site.spots[number].kill_node()?;
                ("kill", Some(End::Start(number)))
            }
            1 => {
                site.pause(number)?;
                ("pause", Some(End::Continue(number)))
            }
            2 => {
                site.stop(number)?;
                let limit = Instant::now() + STOPPING;
                ("planned stop", Some(End::StartAfter(number, limit)))
            }
            3 => {
                site.spots[number].signal(Signal::HUP)?;
                ("reload", None)
            }
            4 => {
                let spot = &mut site.spots[number];
                spot.history.begin(Trouble::Nodes);
                spot.nodes.set(PROXY_MODES[random.random_range(0..PROXY_MODES.len())]);
                ("bad network between nodes", Some(End::PassNodes(number)))
            }
            5 => {
                let spot = &mut site.spots[number];
                spot.history.begin(Trouble::Platform);
                spot.platform.set(PROXY_MODES[random.random_range(0..PROXY_MODES.len())]);
                ("bad network to the platform", Some(End::PassPlatform(number)))
            }
            6 => {
                let slow = platform::Mode::Slow(Duration::from_millis(300));
                let mode = if random.random_bool(0.5) { platform::Mode::Down } else { slow };
                site.set_platform(mode);
                ("platform in trouble", Some(End::Platform))
            }
            7 => {
                let spot = &mut site.spots[number];
                spot.history.begin(Trouble::Upstream);
                spot.upstream
                    .set_mode(UPSTREAM_MODES[random.random_range(0..UPSTREAM_MODES.len())]);
                ("upstream in trouble", Some(End::Upstream(number)))
            }
            8 => {
                site.leave(number);
                time += LEAVING;
                ("upstream leaves", Some(End::Replace(number)))
            }
            9 => {
                site.platform.publish(&[("services/odd", Some(r#"{"profile": "none"}"#))]);
                site.platform.publish(&[("services/odd", None)]);
                site.content.publish(&site.platform);
                ("bad version", None)
            }
            10 => {
                site.kill_upstream(number);
                ("upstream restarts", Some(End::RestartUpstream(number)))
            }
            11 if site.content.grow(&site.platform) > 0 => ("growth", None),
            _ => {
                site.content.publish(&site.platform);
                ("version", None)
            }
        };
        *self.counts.entry(name).or_default() += 1;
        self.pending.extend(end.map(|end| (Instant::now() + time, end)));
        Ok(())
    }

    /// Ends the faults whose time is over.
    pub(crate) fn end_due(&mut self, site: &mut Site) -> io::Result<()> {
        let now = Instant::now();
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = later;
        self.finish(due, site)
    }

    /// Ends every fault; nodes that stop are given the time for it.
    pub(crate) fn end_all(&mut self, site: &mut Site) -> io::Result<()> {
        while !self.pending.is_empty() {
            let pending = std::mem::take(&mut self.pending);
            self.finish(pending, site)?;
            thread::sleep(POLL);
        }
        Ok(())
    }

    pub(crate) fn summary(&self) -> String {
        let counts = self.counts.iter().map(|(name, count)| format!("{name} {count}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    fn finish(&mut self, due: Vec<(Instant, End)>, site: &mut Site) -> io::Result<()> {
        for (_, end) in due {
            if !finish(site, end)? {
                self.pending.push((Instant::now() + POLL, end));
            }
        }
        Ok(())
    }
}

/// Ends a fault, unless it is too early; tells whether it did.
fn finish(site: &mut Site, end: End) -> io::Result<bool> {
    match end {
        End::Start(number) => start(site, number)?,
        End::StartAfter(number, limit) => {
            let spot = &mut site.spots[number];
            if spot.history.is_open(Trouble::Stopping) && spot.look()? {
                if Instant::now() < limit {
                    return Ok(false);
                }
                spot.kill_node()?;
            }
            start(site, number)?;
        }
        End::Continue(number) => site.resume(number)?,
        End::PassNodes(number) => {
            site.spots[number].nodes.set(Mode::Pass);
            site.spots[number].history.end(Trouble::Nodes);
        }
        End::PassPlatform(number) => {
            site.spots[number].platform.set(Mode::Pass);
            site.spots[number].history.end(Trouble::Platform);
        }
        End::Platform => site.set_platform(platform::Mode::Normal),
        End::Upstream(number) => {
            site.spots[number].upstream.set_mode(upstream::Mode::Normal);
            site.spots[number].history.end(Trouble::Upstream);
        }
        End::Replace(number) => site.replace(number),
        End::RestartUpstream(number) => site.restart_upstream(number)?,
    }
    Ok(true)
}

/// Starts a node unless one runs, be it on its way to a stop.
fn start(site: &mut Site, number: usize) -> io::Result<()> {
    if site.spots[number].process.is_none() {
        site.start_node(number)?;
    }
    Ok(())
}
