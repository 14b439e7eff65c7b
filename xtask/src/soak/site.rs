//! All instances of a soak and their platform.

use fleet::directory::Standing;
use rand::{SeedableRng, rngs::SmallRng};
use rustix::process::Signal;
use standins::platform::{self, Evacuation, Platform};
use std::{
    fs, io,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};
use tokio::runtime::{Builder, Runtime};

use crate::soak::{
    content::Content,
    history::{History, Trouble},
    port,
    spot::{Place, Ports, Spot},
};

/// All instances and the platform.
pub(crate) struct Site {
    pub(crate) platform: Platform,
    pub(crate) content: Content,
    /// What was out of order at the platform.
    pub(crate) history: History,
    pub(crate) spots: Vec<Spot>,
    pub(crate) runtime: Runtime,
    daemon: PathBuf,
    folder: PathBuf,
    /// Whether the folder stays.
    keep: bool,
}

impl Site {
    /// Starts platform, upstreams, proxies and nodes, and publishes a first version.
    pub(crate) fn start(
        daemon: &Path,
        seed: u64,
        count: usize,
        data_centres: &[&'static str],
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
        let name = format!("baobabrelay-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let mut site = Site {
            platform: Platform::start()?,
            content: Content::default(),
            history: History::default(),
            spots: Vec::new(),
            runtime,
            daemon: daemon.to_owned(),
            folder,
            keep: false,
        };
        let mut random = SmallRng::seed_from_u64(seed);
        let ports = Ports { nodes: port::shared(&mut random)?, peers: port::shared(&mut random)? };
        let platform = site.platform.address();
        site.content.publish(&site.platform);
        for number in 0..count {
            let data_centre = data_centres[number % data_centres.len()];
            let place = Place { number, data_centre, ports, platform };
            site.spots.push(Spot::prepare(place, &site.folder, site.runtime.handle())?);
            site.begin_life(number);
        }
        for number in 0..count {
            site.start_node(number)?;
        }
        Ok(site)
    }

    /// Changes how the platform behaves.
    pub(crate) fn set_platform(&mut self, mode: platform::Mode) {
        if mode == platform::Mode::Down {
            self.history.begin(Trouble::Outage);
        }
        self.platform.set_mode(mode);
        if mode != platform::Mode::Down {
            self.history.end(Trouble::Outage);
        }
    }

    /// Writes that an instance's upstream leaves.
    pub(crate) fn leave(&mut self, number: usize) {
        let spot = &mut self.spots[number];
        self.platform.register(&spot.id, Some(spot.entry(Standing::Leaving)));
        spot.history.begin(Trouble::Leaving);
    }

    /// Has a data centre evacuated, or takes it back.
    pub(crate) fn order(&mut self, data_centre: &str, evacuation: Evacuation) {
        let spots = self.spots.iter_mut().filter(|spot| spot.data_centre == data_centre);
        match evacuation {
            Evacuation::Ordered => {
                self.platform.set_evacuation(data_centre, evacuation);
                spots.for_each(|spot| spot.history.begin(Trouble::Evacuated));
            }
            Evacuation::Withdrawn => {
                spots.for_each(|spot| spot.history.end(Trouble::Evacuated));
                self.platform.set_evacuation(data_centre, evacuation);
            }
        }
    }

    /// Replaces an upstream by one of another identity at the same address.
    pub(crate) fn replace(&mut self, number: usize) {
        let spot = &mut self.spots[number];
        self.platform.register(&spot.id, None);
        spot.rename_upstream();
        self.begin_life(number);
    }

    /// Ends the process of an upstream without a word to the platform.
    pub(crate) fn kill_upstream(&mut self, number: usize) {
        let spot = &mut self.spots[number];
        spot.history.begin(Trouble::Gone);
        spot.upstream.kill();
    }

    /// Starts an upstream that was killed under the identity that it had.
    pub(crate) fn restart_upstream(&mut self, number: usize) -> io::Result<()> {
        let spot = &mut self.spots[number];
        spot.revive_upstream(self.runtime.handle())?;
        spot.history.end(Trouble::Gone);
        self.begin_life(number);
        Ok(())
    }

    fn begin_life(&mut self, number: usize) {
        let spot = &mut self.spots[number];
        spot.begin_life();
        spot.history.end(Trouble::Leaving);
        self.platform.register(&spot.id, Some(spot.entry(Standing::Ready)));
    }

    pub(crate) fn start_node(&mut self, number: usize) -> io::Result<()> {
        self.spots[number].start_node(&self.daemon)
    }

    pub(crate) fn pause(&mut self, number: usize) -> io::Result<()> {
        self.spots[number].history.begin(Trouble::Paused);
        self.spots[number].signal(Signal::STOP)
    }

    pub(crate) fn resume(&mut self, number: usize) -> io::Result<()> {
        self.spots[number].signal(Signal::CONT)?;
        self.spots[number].history.end(Trouble::Paused);
        Ok(())
    }

    /// Asks a node to stop, unless that was done already.
    pub(crate) fn stop(&mut self, number: usize) -> io::Result<()> {
        let spot = &mut self.spots[number];
        if spot.process.is_some() {
            spot.history.begin(Trouble::Stopping);
        }
        spot.signal(Signal::TERM)
    }

    /// Tells whether a node answers and holds a version and every upstream.
    pub(crate) fn is_ready(&self, number: usize) -> bool {
        let Some(status) = self.spots[number].status() else { return false };
        status.version.revision > 0 && status.members.len() == self.spots.len()
    }

    /// Tells whether a node is ready and holds the newest version.
    pub(crate) fn is_recovered(&self, number: usize) -> bool {
        let Some(status) = self.spots[number].status() else { return false };
        // Versions count the platform's publications, and so does its configuration's revision.
        status.members.len() == self.spots.len() && status.version.revision == self.content.newest()
    }

    /// Describes every node, for a report.
    pub(crate) fn states(&self) -> String {
        let state = |spot: &Spot| match spot.status() {
            Some(s) => format!("{}: {} of {}", spot.id, s.version.revision, s.members.len()),
            None => format!("{}: silent", spot.id),
        };
        self.spots.iter().map(state).collect::<Vec<_>>().join(", ")
    }

    pub(crate) fn wait(&self, limit: Duration, done: impl Fn(&Site) -> bool) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if done(self) {
                return Some(begun.elapsed());
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Returns the folder with the nodes' logs, which is kept.
    pub(crate) fn keep_logs(&mut self) -> &Path {
        self.keep = true;
        &self.folder
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for spot in &mut self.spots {
            // The process may have ended by itself.
            let _ = spot.kill_node();
        }
        if !self.keep {
            // What cannot be removed is left to the system's own clearing.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
