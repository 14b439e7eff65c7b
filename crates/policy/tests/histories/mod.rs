//! A fleet on a virtual clock whose nodes share a retry budget, under a history of disruptions.

use model::time::Time;
use policy::budget::{Census, Settings, Share, Window};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Length of a step, in ms.
const STEP_MS: usize = 10;

/// Steps of a history: 50 s.
const STEPS: usize = 5_000;

/// Steps of the window of the budget.
const WINDOW_STEPS: usize = 1_000;

/// Retries that one call may make.
const RETRIES_PER_CALL: usize = 2;

/// Time after which the platform drops the entry of an instance that it does not hear of.
const LAPSE_MS: usize = 5_000;

/// Time after which a dropped entry is back once the instance is heard of again.
const RELIST_MS: usize = 1_500;

/// Time for which a started process knows no other node.
const BLIND_MS: usize = 200;

/// Longest time until a change of the list reaches a node.
const MAX_LAG_MS: usize = 1_000;

/// What happens to a part of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// Upstreams refuse the part of all attempts.
    Refuse,
    /// Processes end, and are started again when the disruption is over.
    Restart,
    /// All callers use only these nodes.
    Move,
    /// Instances leave: their callers use the others at once, their processes end with the disruption.
    Leave,
    /// As many instances join; they are listed and used when the disruption is over.
    Join,
    /// Nodes reach neither the platform nor the others; their entries lapse meanwhile.
    CutOff,
    /// Retries arrive late, by up to two seconds for the whole part.
    Late,
}

/// One disruption.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disruption {
    pub(crate) kind: Kind,
    /// Its begin, in ms.
    pub(crate) at: usize,
    /// Its length, in ms.
    pub(crate) lasts: usize,
    /// The part of the fleet, or of what the kind says, in 0..=1.
    pub(crate) part: f64,
    /// Where the part begins in the order of the nodes, in 0..1.
    pub(crate) offset: f64,
}

impl Disruption {
    fn end(&self) -> usize {
        self.at + self.lasts
    }

    fn is_on(&self, ms: usize) -> bool {
        (self.at..self.end()).contains(&ms)
    }

    /// Returns whether instance `index` out of `nodes` is in the part.
    fn hits(&self, index: usize, nodes: usize) -> bool {
        let position = (index as f64 / nodes as f64 - self.offset).rem_euclid(1.0);
        index < nodes && position < self.part - f64::EPSILON
    }

    /// Returns how many of `nodes` instances are in the part.
    fn count(&self, nodes: usize) -> usize {
        (0..nodes).filter(|index| self.hits(*index, nodes)).count()
    }
}

/// Returns a disruption of `part` of the fleet.
pub(crate) fn disruption(kind: Kind, at: usize, lasts: usize, part: f64) -> Disruption {
    Disruption { kind, at, lasts, part, offset: 0.0 }
}

/// A fleet and what happens to it.
#[derive(Clone, Debug)]
pub(crate) struct History {
    pub(crate) nodes: usize,
    pub(crate) seed: u64,
    pub(crate) disruptions: Vec<Disruption>,
}

/// What a history came to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Result {
    /// Most retries beyond the bound in any window; negative if none were.
    pub(crate) excess: f64,
    /// Bound of that window.
    pub(crate) bound: f64,
}

impl History {
    /// Returns a history of random disruptions, in which upstreams refuse attempts at least once.
    pub(crate) fn random(nodes: usize, seed: u64) -> Self {
        const KINDS: [Kind; 7] = [
            Kind::Refuse,
            Kind::Restart,
            Kind::Move,
            Kind::Leave,
            Kind::Join,
            Kind::CutOff,
            Kind::Late,
        ];
        let mut random = SmallRng::seed_from_u64(seed);
        let mut disruptions = vec![disruption(
            Kind::Refuse,
            random.random_range(9_000..30_000),
            random.random_range(1_000..18_000),
            random.random_range(0.3..0.9),
        )];
        for _ in 0..random.random_range(1..7) {
            let kind = KINDS[random.random_range(0..KINDS.len())];
            let longest = if matches!(kind, Kind::Restart | Kind::Join) { 2_000 } else { 18_000 };
            disruptions.push(Disruption {
                kind,
                at: random.random_range(8_000..40_000),
                lasts: random.random_range(100..longest),
                part: [0.1, 0.3, 0.5, 1.0][random.random_range(0..4)],
                offset: random.random_range(0.0..1.0),
            });
        }
        History { nodes, seed, disruptions }
    }

    /// Returns the shortest history without any disruption that `fails` does not need.
    pub(crate) fn shrink(&self, fails: impl Fn(&History) -> bool) -> History {
        let mut shrunk = self.clone();
        let mut index = 0;
        while index < shrunk.disruptions.len() {
            let mut shorter = shrunk.clone();
            shorter.disruptions.remove(index);
            if fails(&shorter) {
                shrunk = shorter;
            } else {
                index += 1;
            }
        }
        shrunk
    }

    /// Returns the settings of the fleet's budget.
    pub(crate) fn settings(&self) -> Settings {
        Settings { ratio: 0.2, slack: self.nodes as f64 + 50.0, ..Settings::default() }
    }

    /// Plays the history.
    pub(crate) fn play(&self) -> Result {
        let mut fleet = Fleet::new(self);
        for step in 0..STEPS {
            fleet.step(step * STEP_MS);
        }
        self.worst(&fleet)
    }

    /// Finds the window with the most retries beyond its bound.
    fn worst(&self, fleet: &Fleet<'_>) -> Result {
        let settings = self.settings();
        let calls = sums(&fleet.calls);
        let retries = sums(&fleet.arrived);
        let of = |sums: &[f64], end: usize| {
            sums[end.min(STEPS)] - sums[end.saturating_sub(WINDOW_STEPS).min(STEPS)]
        };
        let results = (0..=STEPS).map(|end| {
            let ends =
                [end, end.saturating_sub(WINDOW_STEPS / 2), end.saturating_sub(WINDOW_STEPS)];
            let most = ends.map(|end| of(&calls, end)).into_iter().fold(0.0, f64::max);
            let bound = settings.ratio * most + settings.slack;
            Result { excess: of(&retries, end) - bound, bound }
        });
        results.max_by(|a, b| a.excess.total_cmp(&b.excess)).expect("a history has steps")
    }

    fn on(&self, kind: Kind, ms: usize) -> impl Iterator<Item = &Disruption> {
        self.disruptions.iter().filter(move |d| d.kind == kind && d.is_on(ms))
    }

    /// Returns the number of instances that join in the whole history.
    fn joining(&self) -> usize {
        let joins = self.disruptions.iter().filter(|d| d.kind == Kind::Join);
        joins.map(|d| d.count(self.nodes)).sum()
    }

    /// Returns whether the platform lists instance `index`.
    fn is_listed(&self, index: usize, ms: usize) -> bool {
        if index >= self.nodes {
            return self.joined_at(index).is_some_and(|(_, listed)| ms >= listed);
        }
        self.disruptions.iter().filter(|d| d.hits(index, self.nodes)).all(|d| match d.kind {
            Kind::Leave => ms < d.end(),
            Kind::CutOff => {
                d.lasts < LAPSE_MS || !(d.at + LAPSE_MS..d.end() + RELIST_MS).contains(&ms)
            }
            _ => true,
        })
    }

    /// Returns when a joining instance starts, and when it is listed.
    fn joined_at(&self, index: usize) -> Option<(usize, usize)> {
        let mut first = self.nodes;
        for d in self.disruptions.iter().filter(|d| d.kind == Kind::Join) {
            let next = first + d.count(self.nodes);
            if (first..next).contains(&index) {
                return Some((d.at, d.end()));
            }
            first = next;
        }
        None
    }

    /// Returns whether the process of instance `index` runs.
    fn runs(&self, index: usize, ms: usize) -> bool {
        if index >= self.nodes {
            return self.joined_at(index).is_some_and(|(started, _)| ms >= started);
        }
        self.disruptions.iter().filter(|d| d.hits(index, self.nodes)).all(|d| match d.kind {
            Kind::Restart => !d.is_on(ms),
            Kind::Leave => ms < d.end(),
            _ => true,
        })
    }

    /// Returns when the platform was last reached from instance `index`.
    fn contact(&self, index: usize, ms: usize) -> usize {
        let cut = self.on(Kind::CutOff, ms).filter(|d| d.hits(index, self.nodes));
        cut.map(|d| d.at).min().unwrap_or(ms)
    }

    /// Returns whether callers use instance `index`.
    fn is_used(&self, index: usize, ms: usize) -> bool {
        let left = self
            .disruptions
            .iter()
            .any(|d| d.kind == Kind::Leave && ms >= d.at && d.hits(index, self.nodes));
        let elsewhere = self.on(Kind::Move, ms).any(|d| !d.hits(index, self.nodes));
        let joining = index >= self.nodes && !self.is_listed(index, ms);
        !left && !elsewhere && !joining
    }
}

/// Returns the sums of the first 0, 1, 2, … counts.
fn sums(counts: &[u32]) -> Vec<f64> {
    let mut sum = 0.0;
    let sums = counts.iter().map(|count| {
        sum += f64::from(*count);
        sum
    });
    std::iter::once(0.0).chain(sums).collect()
}

/// A process of the system.
struct Process {
    window: Window,
    share: Share,
    started: usize,
    /// Time until a change of the list reaches it, in ms.
    lag: usize,
}

impl Process {
    fn start(random: &mut SmallRng, ms: usize) -> Self {
        Process {
            window: Window::default(),
            share: Share::new(random.random()),
            started: ms,
            lag: random.random_range(0..MAX_LAG_MS),
        }
    }

    fn learn(&mut self, settings: &Settings, census: Census, ms: usize) {
        self.share.update(settings, census, time(ms));
    }

    fn record_call(&mut self, settings: &Settings, ms: usize) {
        self.window.record_call(settings, time(ms));
    }

    fn try_retry(&mut self, settings: &Settings, ms: usize) -> bool {
        self.window.try_retry(settings, self.share.part(settings, time(ms)), time(ms))
    }

    /// Ends a retry, which has arrived by now.
    fn end_retry(&mut self, settings: &Settings, ms: usize) {
        self.window.end_retry(settings, time(ms));
    }
}

fn time(ms: usize) -> Time {
    Time::from_millis(ms as u64)
}

/// The state of a history.
struct Fleet<'a> {
    history: &'a History,
    random: SmallRng,
    /// By instance; those that join come last.
    processes: Vec<Option<Process>>,
    /// Number of listed instances by step.
    listed: Vec<usize>,
    /// Calls that callers sent, by step.
    calls: Vec<u32>,
    /// Retries that arrived at upstreams, by step.
    arrived: Vec<u32>,
    /// Instances whose retries end, by step, with the start of their process.
    ends: Vec<Vec<(usize, usize)>>,
}

impl<'a> Fleet<'a> {
    fn new(history: &'a History) -> Self {
        let instances = history.nodes + history.joining();
        Fleet {
            history,
            random: SmallRng::seed_from_u64(history.seed),
            processes: (0..instances).map(|_| None).collect(),
            listed: Vec::new(),
            calls: vec![0; STEPS],
            arrived: vec![0; STEPS],
            ends: vec![Vec::new(); STEPS],
        }
    }

    fn step(&mut self, ms: usize) {
        let instances = 0..self.processes.len();
        let listed = instances.clone().filter(|i| self.history.is_listed(*i, ms)).count();
        self.listed.push(listed);
        for (index, started) in std::mem::take(&mut self.ends[ms / STEP_MS]) {
            let process = self.processes[index].as_mut();
            if let Some(process) = process.filter(|process| process.started == started) {
                process.end_retry(&self.history.settings(), ms);
            }
        }
        for index in instances.clone() {
            match (self.history.runs(index, ms), &self.processes[index]) {
                (true, None) => {
                    self.processes[index] = Some(Process::start(&mut self.random, ms));
                }
                (false, Some(_)) => self.processes[index] = None,
                _ => {}
            }
        }
        let used: Vec<usize> = instances.filter(|i| self.history.is_used(*i, ms)).collect();
        if used.is_empty() {
            return;
        }
        for _ in 0..self.arrivals() {
            let index = used[self.random.random_range(0..used.len())];
            self.call(index, ms);
        }
    }

    /// Draws the number of calls in a step.
    fn arrivals(&mut self) -> usize {
        let per_second = if self.history.nodes > 100 { 5.0 } else { 40.0 };
        let expected = per_second * self.history.nodes as f64 * STEP_MS as f64 / 1_000.0;
        expected as usize + usize::from(self.random.random_bool(expected.fract()))
    }

    /// Returns what the process of `index` knows of the list.
    fn census(&self, index: usize, ms: usize) -> Census {
        let contact = self.history.contact(index, ms);
        let (started, lag) = self.processes[index].as_ref().map_or((0, 0), |p| (p.started, p.lag));
        if ms < started + BLIND_MS && started > 0 {
            return Census { nodes: 1, is_listed: false, contact: None };
        }
        let as_of = contact.saturating_sub(lag);
        let nodes = self.listed[as_of / STEP_MS];
        let is_listed = self.history.is_listed(index, as_of);
        Census { nodes, is_listed, contact: Some(time(contact)) }
    }

    fn call(&mut self, index: usize, ms: usize) {
        self.calls[ms / STEP_MS] += 1;
        let settings = self.history.settings();
        let census = self.census(index, ms);
        let delay = self.history.on(Kind::Late, ms).map(|d| (d.part * 2_000.0) as usize).max();
        let refused = self.history.on(Kind::Refuse, ms).map(|d| d.part).fold(0.0, f64::max);
        let Some(process) = self.processes[index].as_mut() else { return };
        process.learn(&settings, census, ms);
        process.record_call(&settings, ms);
        for _ in 0..RETRIES_PER_CALL {
            if !self.random.random_bool(refused) || !process.try_retry(&settings, ms) {
                return;
            }
            let late = delay.map_or(0, |most| self.random.random_range(0..=most));
            let step = (ms + late) / STEP_MS;
            if let Some(arrived) = self.arrived.get_mut(step) {
                *arrived += 1;
                self.ends[step].push((index, process.started));
            }
        }
    }
}
