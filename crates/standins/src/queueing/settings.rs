//! Settings of the queueing model: topology, load, faults and strategy.

use policy::{budget, retry::Kind};
use std::time::Duration;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of data centres; upstreams are assigned round-robin.
    pub data_centres: usize,
    /// Services, by index.
    pub services: Vec<Service>,
    /// Routes, by index.
    pub routes: Vec<Route>,
    /// One-way delay between instances of one data centre.
    pub local_delay: Duration,
    /// One-way delay between data centres.
    pub remote_delay: Duration,
    /// Time during which new callers arrive; the run ends when all have an outcome.
    pub span: Duration,
    /// Periods with a higher arrival rate.
    pub bursts: Vec<Burst>,
    /// Degradations of upstreams.
    pub faults: Vec<Fault>,
    /// Retry budget.
    pub budget: budget::Settings,
    /// Strategy of the nodes.
    pub strategy: Strategy,
}

impl Default for Settings {
    /// Twelve upstreams in three data centres, with up to nine tenths of their slots in use.
    fn default() -> Self {
        let ms = Duration::from_millis;
        let service = Service { upstreams: 4, slots: 11, slowness: vec![0.7, 1.0, 1.3] };
        let lookup = Route {
            service: 0,
            per_second: 520.0,
            service_time: ms(60),
            spread: 0.5,
            objective: ms(200),
            deadline: ms(1_200),
            priority: 2,
            kind: Kind::Idempotent,
            attempts: 3,
            utility: 1.0,
            nested: Some(Nested { route: 2, count: 1, probability: 0.7 }),
        };
        let payment = Route {
            service: 1,
            per_second: 300.0,
            service_time: ms(78),
            objective: ms(250),
            deadline: ms(1_500),
            priority: 1,
            kind: Kind::Once,
            utility: 2.0,
            nested: None,
            ..lookup.clone()
        };
        let check = Route {
            service: 1,
            per_second: 0.0,
            service_time: ms(15),
            objective: ms(60),
            deadline: ms(200),
            attempts: 1,
            utility: 0.0,
            nested: None,
            ..lookup.clone()
        };
        let count = Route {
            service: 2,
            per_second: 210.0,
            service_time: ms(24),
            spread: 0.8,
            objective: ms(100),
            deadline: ms(600),
            priority: 1,
            utility: 2.0,
            nested: None,
            ..lookup.clone()
        };
        Settings {
            data_centres: 3,
            services: vec![service.clone(), service.clone(), service],
            routes: vec![lookup, payment, check, count],
            local_delay: Duration::from_micros(600),
            remote_delay: ms(2),
            span: Duration::from_secs(20),
            bursts: Vec::new(),
            faults: Vec::new(),
            budget: budget::Settings::default(),
            strategy: Strategy::default(),
        }
    }
}

/// A service and its upstreams.
#[derive(Clone, Debug)]
pub struct Service {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots of each upstream: requests that it runs at the same time.
    pub slots: usize,
    /// Factors on the service time, assigned to the upstreams round-robin; empty for 1.
    pub slowness: Vec<f64>,
}

/// A kind of call with its load and limits.
#[derive(Clone, Debug)]
pub struct Route {
    /// Index of the service.
    pub service: usize,
    /// Mean arrivals of callers per second, over all entry nodes.
    pub per_second: f64,
    /// Mean service time.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time, which is log-normal.
    pub spread: f64,
    /// Time since the first attempt within which an answer is in time.
    pub objective: Duration,
    /// Time since the first attempt after which a caller gives up.
    pub deadline: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether a call is idempotent.
    pub kind: Kind,
    /// Maximum attempts of a caller.
    pub attempts: u32,
    /// Utility of an answer in time; a late one has three tenths of it.
    pub utility: f64,
    /// Nested calls that its upstream makes during a run.
    pub nested: Option<Nested>,
}

/// Nested calls of a run.
#[derive(Clone, Copy, Debug)]
pub struct Nested {
    /// Index of the route they use.
    pub route: usize,
    /// Number of calls, made in parallel.
    pub count: u32,
    /// Share of runs that make them.
    pub probability: f64,
}

/// A period with a higher arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, from the start of the run.
    pub begin: Duration,
    /// End, from the start of the run.
    pub end: Duration,
    /// Factor on the arrival rate.
    pub factor: f64,
}

/// A period in which some upstreams of a service are degraded.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Start, from the start of the run.
    pub begin: Duration,
    /// End, from the start of the run.
    pub end: Duration,
    /// Index of the service.
    pub service: usize,
    /// Number of affected upstreams, the first ones of the service.
    pub upstreams: usize,
    /// How the upstreams are degraded.
    pub degradation: Degradation,
}

/// How an upstream is degraded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Degradation {
    /// Multiplies the service time by this factor.
    Slow(f64),
    /// Fails this share of its runs.
    Failing(f64),
    /// Completes its runs but loses this share of the answers.
    LostAnswers(f64),
}

/// How nodes balance load and queue calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Strategy {
    /// Load-balancing rule.
    pub choice: Choice,
    /// Queue discipline at upstreams.
    pub discipline: Discipline,
    /// Disabled mechanism, to measure its effect.
    pub without: Option<Mechanism>,
}

/// A mechanism of the nodes that can be disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// Failures lower an upstream's weight, and consecutive ones eject it (outlier ejection).
    FailureTracking,
    /// Nested calls precede callers' calls for half of the slots.
    NestedFirst,
    /// Serving nodes report their load in replies.
    LoadReports,
    /// A refused call is offered to further upstreams.
    RefusalRetries,
    /// More urgent calls leave the queue first.
    Priority,
    /// A second attempt starts if the first gets no reply in time (hedged request).
    Hedging,
    /// Waiting for a slot is limited to a short time instead of the deadline.
    BoundedWaits,
    /// Upstreams slower than others get fewer calls.
    Slowness,
    /// Callers that retry after a refusal precede new ones.
    ClientRetries,
}

impl Mechanism {
    /// Every mechanism, by its name on the command line.
    pub const ALL: [(&str, Mechanism); 9] = [
        ("failures", Mechanism::FailureTracking),
        ("half", Mechanism::NestedFirst),
        ("load", Mechanism::LoadReports),
        ("offers", Mechanism::RefusalRetries),
        ("priority", Mechanism::Priority),
        ("second", Mechanism::Hedging),
        ("short-waits", Mechanism::BoundedWaits),
        ("slowness", Mechanism::Slowness),
        ("returning", Mechanism::ClientRetries),
    ];

    /// Returns the mechanism with this command-line name.
    ///
    /// ```
    /// use standins::queueing::Mechanism;
    /// assert_eq!(Mechanism::parse("half"), Some(Mechanism::NestedFirst));
    /// assert_eq!(Mechanism::parse("magic"), None);
    /// ```
    pub fn parse(name: &str) -> Option<Mechanism> {
        Self::ALL.into_iter().find(|(known, _)| *known == name).map(|(_, mechanism)| mechanism)
    }
}

/// Load-balancing rule of the entry nodes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Choice {
    /// Most free capacity, as [`policy::placement`] decides.
    #[default]
    Capacity,
    /// Round-robin.
    RoundRobin,
    /// Fewest calls of this entry node in flight.
    LeastInFlight,
}

/// Queue discipline of an upstream's slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Discipline {
    /// By rank and for a limited time, as [`policy::urgency`] decides.
    #[default]
    Ranked,
    /// By arrival, until the call's deadline.
    Fifo,
}
