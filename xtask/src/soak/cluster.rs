//! Cluster of a run: all instances and the platform.

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
    history::{Condition, History},
    instance::{Instance, Placement, Ports},
    port,
    warm_ups::WarmUps,
};

/// All instances and the platform.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    pub(crate) content: Content,
    /// Conditions of the platform.
    pub(crate) history: History,
    pub(crate) instances: Vec<Instance>,
    pub(crate) runtime: Runtime,
    /// When it was started.
    pub(crate) started: Instant,
    daemon: PathBuf,
    folder: PathBuf,
    /// Whether the folder is kept after the run.
    keep: bool,
}

impl Cluster {
    /// Starts the platform, upstreams, proxies and nodes, and publishes a first version.
    pub(crate) fn start(
        daemon: &Path,
        seed: u64,
        count: usize,
        data_centres: &[&'static str],
        warm_ups: WarmUps,
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
        let name = format!("baobabrelay-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let mut cluster = Cluster {
            platform: Platform::start()?,
            content: Content::new(warm_ups),
            history: History::default(),
            instances: Vec::new(),
            runtime,
            started: Instant::now(),
            daemon: daemon.to_owned(),
            folder,
            keep: false,
        };
        let mut random = SmallRng::seed_from_u64(seed);
        let ports = Ports { nodes: port::shared(&mut random)?, peers: port::shared(&mut random)? };
        let platform = cluster.platform.address();
        cluster.content.publish(&cluster.platform);
        for number in 0..count {
            let data_centre = data_centres[number % data_centres.len()];
            let placement = Placement { number, data_centre, ports, platform, warm_ups };
            cluster.instances.push(Instance::prepare(
                placement,
                &cluster.folder,
                cluster.runtime.handle(),
            )?);
            cluster.begin_incarnation(number);
        }
        for number in 0..count {
            cluster.start_node(number)?;
        }
        Ok(cluster)
    }

    /// Sets the mode of the platform and records outages.
    pub(crate) fn set_platform(&mut self, mode: platform::Mode) {
        if mode == platform::Mode::Down {
            self.history.begin(Condition::Outage);
        }
        self.platform.set_mode(mode);
        if mode != platform::Mode::Down {
            self.history.end(Condition::Outage);
        }
    }

    /// Lists an instance's upstream as leaving.
    pub(crate) fn leave(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        self.platform.register(&instance.id, Some(instance.entry(Standing::Leaving)));
        instance.history.begin(Condition::Leaving);
    }

    /// Orders or withdraws the evacuation of a data centre.
    pub(crate) fn set_evacuation(&mut self, data_centre: &str, evacuation: Evacuation) {
        let instances =
            self.instances.iter_mut().filter(|instance| instance.data_centre == data_centre);
        match evacuation {
            Evacuation::Ordered => {
                self.platform.set_evacuation(data_centre, evacuation);
                instances.for_each(|instance| instance.history.begin(Condition::Evacuated));
            }
            Evacuation::Withdrawn => {
                instances.for_each(|instance| instance.history.end(Condition::Evacuated));
                self.platform.set_evacuation(data_centre, evacuation);
            }
        }
    }

    /// Replaces an upstream by one with a new identity at the same address.
    pub(crate) fn replace(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        self.platform.register(&instance.id, None);
        instance.upstream.replace();
        instance.rename_upstream();
        self.begin_incarnation(number);
    }

    /// Writes the present entry of an upstream, unless it leaves or its process is dead.
    pub(crate) fn renew_entry(&mut self, number: usize) {
        let instance = &self.instances[number];
        let is_silent =
            [Condition::Leaving, Condition::Gone].map(|c| instance.history.is_active(c));
        if !is_silent.contains(&true) {
            self.platform.register(&instance.id, Some(instance.entry(Standing::Ready)));
        }
    }

    /// Kills the process of an upstream without an update of the platform.
    pub(crate) fn kill_upstream(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.history.begin(Condition::Gone);
        instance.upstream.kill();
    }

    /// Restarts a killed upstream with the same identity.
    pub(crate) fn restart_upstream(&mut self, number: usize) -> io::Result<()> {
        let instance = &mut self.instances[number];
        instance.restart_upstream(self.runtime.handle())?;
        instance.history.end(Condition::Gone);
        self.begin_incarnation(number);
        Ok(())
    }

    fn begin_incarnation(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.begin_incarnation();
        instance.history.end(Condition::Leaving);
        self.platform.register(&instance.id, Some(instance.entry(Standing::Ready)));
    }

    pub(crate) fn start_node(&mut self, number: usize) -> io::Result<()> {
        self.instances[number].start_node(&self.daemon)
    }

    pub(crate) fn pause(&mut self, number: usize) -> io::Result<()> {
        self.instances[number].history.begin(Condition::Paused);
        self.instances[number].signal(Signal::STOP)
    }

    pub(crate) fn resume(&mut self, number: usize) -> io::Result<()> {
        self.instances[number].signal(Signal::CONT)?;
        self.instances[number].history.end(Condition::Paused);
        Ok(())
    }

    /// Begins the planned stop of a node.
    pub(crate) fn stop(&mut self, number: usize) -> io::Result<()> {
        let instance = &mut self.instances[number];
        if instance.process.is_some() {
            instance.history.begin(Condition::Stopping);
        }
        instance.signal(Signal::TERM)
    }

    /// Tells whether a node has a version and knows every member.
    pub(crate) fn is_ready(&self, number: usize) -> bool {
        let Some(status) = self.instances[number].status() else { return false };
        status.version.revision > 0 && status.members.len() == self.instances.len()
    }

    /// Tells whether a node has the newest version and knows every member.
    pub(crate) fn is_recovered(&self, number: usize) -> bool {
        let Some(status) = self.instances[number].status() else { return false };
        // The revision of a version is that of the platform's publication.
        status.members.len() == self.instances.len()
            && status.version.revision == self.content.newest()
    }

    /// Describes the revision and the number of members of every node, for error messages.
    pub(crate) fn states(&self) -> String {
        let state = |instance: &Instance| match instance.status() {
            Some(s) => format!(
                "{}: revision {}, {} members",
                instance.id,
                s.version.revision,
                s.members.len()
            ),
            None => format!("{}: no response", instance.id),
        };
        self.instances.iter().map(state).collect::<Vec<_>>().join(", ")
    }

    /// Polls until `done` holds and returns the elapsed time, or `None` after `limit`.
    pub(crate) fn wait(
        &self,
        limit: Duration,
        done: impl Fn(&Cluster) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if done(self) {
                return Some(started.elapsed());
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Keeps the folder with the nodes' logs after the run and returns it.
    pub(crate) fn keep_logs(&mut self) -> &Path {
        self.keep = true;
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            // The process may already have exited.
            let _ = instance.kill_node();
        }
        if !self.keep {
            // Files that cannot be removed stay in the temporary directory of the system.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
