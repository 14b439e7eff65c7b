//! What goes wrong, when, and for how long.

use fleet::directory::Standing;
use rand::{RngExt, rngs::SmallRng};
use rustix::process::Signal;
use standins::{platform, upstream};
use std::{
    collections::BTreeMap,
    io,
    time::{Duration, Instant},
};

use crate::soak::{proxy::Mode, site::Site};

/// Ways in which an upstream misbehaves.
const UPSTREAM_MODES: [upstream::Mode; 6] = [
    upstream::Mode::Silent,
    upstream::Mode::CloseBefore,
    upstream::Mode::CloseAfter,
    upstream::Mode::Truncate,
    upstream::Mode::Cross,
    upstream::Mode::Refuse,
];

const PROXY_MODES: [Mode; 4] = [Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay];

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum End {
    Start(usize),
    Continue(usize),
    PassNodes(usize),
    PassPlatform(usize),
    Platform,
    Upstream(usize),
    Replace(usize),
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
        let time = Duration::from_millis(random.random_range(100..2_500));
        let kind = random.random_range(0..11);
        let spot = &mut site.spots[number];
        spot.touched = spot.touched.max(Instant::now() + time);
        // Kinds 0 to 2 end or halt the node itself.
        spot.is_steady &= kind > 2;
        let (name, end) = match kind {
            0 => {
                site.kill_node(number)?;
                ("kill", Some(End::Start(number)))
            }
            1 => {
                site.signal(number, Signal::STOP)?;
                ("pause", Some(End::Continue(number)))
            }
            2 => {
                site.signal(number, Signal::TERM)?;
                ("planned stop", Some(End::Start(number)))
            }
            3 => {
                site.signal(number, Signal::HUP)?;
                ("reload", None)
            }
            4 => {
                let mode = PROXY_MODES[random.random_range(0..PROXY_MODES.len())];
                site.spots[number].nodes.set(mode);
                ("bad network between nodes", Some(End::PassNodes(number)))
            }
            5 => {
                let mode = PROXY_MODES[random.random_range(0..PROXY_MODES.len())];
                site.spots[number].platform.set(mode);
                ("bad network to the platform", Some(End::PassPlatform(number)))
            }
            6 => {
                let slow = platform::Mode::Slow(Duration::from_millis(300));
                let mode = if random.random_bool(0.5) { platform::Mode::Down } else { slow };
                site.platform.set_mode(mode);
                ("platform in trouble", Some(End::Platform))
            }
            7 => {
                let mode = UPSTREAM_MODES[random.random_range(0..UPSTREAM_MODES.len())];
                site.spots[number].upstream.set_mode(mode);
                ("upstream in trouble", Some(End::Upstream(number)))
            }
            8 => {
                site.register(number, Standing::Leaving);
                ("upstream leaves", Some(End::Replace(number)))
            }
            9 => {
                site.platform.publish(&[("services/odd", Some(r#"{"profile": "none"}"#))]);
                site.platform.publish(&[("services/odd", None)]);
                site.publish();
                ("bad version", None)
            }
            _ => {
                site.publish();
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
        let pending = std::mem::take(&mut self.pending);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, _)| *at <= now);
        self.pending = later;
        due.into_iter().try_for_each(|(_, end)| finish(site, end))
    }

    /// Ends every fault.
    pub(crate) fn end_all(&mut self, site: &mut Site) -> io::Result<()> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_iter().try_for_each(|(_, end)| finish(site, end))?;
        for number in 0..site.spots.len() {
            site.signal(number, Signal::CONT)?;
        }
        Ok(())
    }

    pub(crate) fn summary(&self) -> String {
        let counts = self.counts.iter().map(|(name, count)| format!("{name} {count}"));
        counts.collect::<Vec<_>>().join(", ")
    }
}

fn finish(site: &mut Site, end: End) -> io::Result<()> {
    match end {
        End::Start(number) => {
            // One that is still stopping, or paused, ends now; its callers see that as a kill.
            site.kill_node(number)?;
            site.start_node(number)?;
        }
        End::Continue(number) => site.signal(number, Signal::CONT)?,
        End::PassNodes(number) => site.spots[number].nodes.set(Mode::Pass),
        End::PassPlatform(number) => site.spots[number].platform.set(Mode::Pass),
        End::Platform => site.platform.set_mode(platform::Mode::Normal),
        End::Upstream(number) => site.spots[number].upstream.set_mode(upstream::Mode::Normal),
        End::Replace(number) => site.replace(number),
    }
    Ok(())
}
