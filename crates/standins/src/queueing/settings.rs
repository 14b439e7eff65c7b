//! What a day of the model consists of.

use policy::{budget, retry::Kind};
use std::time::Duration;

/// Settings of a day.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centres; upstreams are dealt to them in turn.
    pub data_centres: usize,
    /// Services.
    pub services: Vec<Service>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Time from one instance to another of the same data centre.
    pub local_delay: Duration,
    /// The same to another data centre.
    pub remote_delay: Duration,
    /// Time in which callers begin.
    pub span: Duration,
    /// Times at which more callers come.
    pub bursts: Vec<Burst>,
    /// Troubles of upstreams.
    pub faults: Vec<Fault>,
    /// Bound on repeats.
    pub budget: budget::Settings,
    /// How nodes decide.
    pub strategy: Strategy,
}

impl Default for Settings {
    /// Twelve upstreams in three data centres with up to nine tenths of their slots in use, as
    /// the first users run them on a busy day.
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

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its upstreams.
    pub upstreams: usize,
    /// Slots of each.
    pub slots: usize,
    /// How many times longer than the mean an upstream works; dealt in turn.
    pub slowness: Vec<f64>,
}

/// Calls of one kind.
#[derive(Clone, Debug)]
pub struct Route {
    /// Index of the service.
    pub service: usize,
    /// Callers a second, over all instances.
    pub per_second: f64,
    /// Mean time of work.
    pub service_time: Duration,
    /// Spread of the log-normal time of work.
    pub spread: f64,
    /// Time from the first attempt within which an answer is in time.
    pub objective: Duration,
    /// Time after which a caller gives up.
    pub deadline: Duration,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Whether it may run more than once.
    pub kind: Kind,
    /// Attempts of one caller.
    pub attempts: u32,
    /// What an answer in time is utility; a late one is utility three tenths of that.
    pub utility: f64,
    /// Calls that its upstream makes while it works.
    pub nested: Option<Nested>,
}

/// Calls that an upstream makes.
#[derive(Clone, Copy, Debug)]
pub struct Nested {
    /// Index of their route.
    pub route: usize,
    /// How many at the same time.
    pub count: u32,
    /// Share of the runs that make them.
    pub probability: f64,
}

/// A time in which more callers come.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it begins, from the start.
    pub begin: Duration,
    /// When it ends.
    pub end: Duration,
    /// How many times as many callers come.
    pub factor: f64,
}

/// A degradation of some upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it begins, from the start.
    pub begin: Duration,
    /// When it ends.
    pub end: Duration,
    /// Index of the service.
    pub service: usize,
    /// Upstreams that it strikes, the first ones of the service.
    pub upstreams: usize,
    /// What happens to them.
    pub degradation: Degradation,
}

/// What happens to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Degradation {
    /// It works so many times as long.
    Slow(f64),
    /// It fails this share of its calls.
    Failing(f64),
    /// It runs calls and loses this share of the answers.
    LostAnswers(f64),
}

/// How nodes decide.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Strategy {
    /// Which upstream gets a call.
    pub choice: Choice,
    /// Who waits for a slot, and how long.
    pub discipline: Discipline,
    /// A mechanism that is switched off, to see what it is utility.
    pub without: Option<Mechanism>,
}

/// A part of how the product decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// Upstreams that fail are seen as failing, and ejected after failures in a row.
    FailureTracking,
    /// Calls of upstreams go before callers' for half of the slots.
    NestedFirst,
    /// Serving nodes tell how many calls they hold.
    LoadReports,
    /// Further upstreams are callers after a refusal.
    RefusalRetries,
    /// More urgent calls go first.
    Priority,
    /// A second attempt is made beside a silent one.
    Hedging,
    /// Calls wait for a slot for a short time only.
    BoundedWaits,
    /// Upstreams that take longer than others get less.
    Slowness,
    /// Callers that come back go before new ones.
    ClientRetries,
}

impl Mechanism {
    /// Every mechanism, with the name that the command line takes.
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

    /// Finds a mechanism by its name.
    ///
    /// ```
    /// use standins::served::Mechanism;
    /// assert_eq!(Mechanism::parse("half"), Some(Mechanism::NestedFirst));
    /// assert_eq!(Mechanism::parse("magic"), None);
    /// ```
    pub fn parse(name: &str) -> Option<Mechanism> {
        Self::ALL.into_iter().find(|(known, _)| *known == name).map(|(_, mechanism)| mechanism)
    }
}

/// Which upstream gets a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Choice {
    /// The one with most room, as the product decides.
    #[default]
    Capacity,
    /// Each in turn.
    RoundRobin,
    /// The one with fewest calls of this node in flight.
    LeastInFlight,
}

/// Who waits for a slot, and how long.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Discipline {
    /// By rank, and for a short time, as the product decides.
    #[default]
    Ranked,
    /// By arrival, until the deadline.
    Fifo,
}
