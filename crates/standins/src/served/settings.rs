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
    pub near: Duration,
    /// The same to another data centre.
    pub far: Duration,
    /// Time in which callers begin.
    pub span: Duration,
    /// Times at which more callers come.
    pub bursts: Vec<Burst>,
    /// Troubles of upstreams.
    pub faults: Vec<Fault>,
    /// Bound on repeats.
    pub budget: budget::Settings,
    /// How nodes decide.
    pub way: Way,
}

impl Default for Settings {
    /// Twelve upstreams in three data centres with up to nine tenths of their slots in use, as
    /// the first users run them on a busy day.
    fn default() -> Self {
        let ms = Duration::from_millis;
        let service = Service { upstreams: 4, slots: 11, speeds: vec![0.7, 1.0, 1.3] };
        let lookup = Route {
            service: 0,
            per_second: 520.0,
            work: ms(60),
            spread: 0.5,
            objective: ms(200),
            deadline: ms(1_200),
            priority: 2,
            kind: Kind::Idempotent,
            attempts: 3,
            worth: 1.0,
            calls: Some(Calls { route: 2, times: 1, share: 0.7 }),
        };
        let payment = Route {
            service: 1,
            per_second: 300.0,
            work: ms(78),
            objective: ms(250),
            deadline: ms(1_500),
            priority: 1,
            kind: Kind::Once,
            worth: 2.0,
            calls: None,
            ..lookup.clone()
        };
        let check = Route {
            service: 1,
            per_second: 0.0,
            work: ms(15),
            objective: ms(60),
            deadline: ms(200),
            attempts: 1,
            worth: 0.0,
            calls: None,
            ..lookup.clone()
        };
        let count = Route {
            service: 2,
            per_second: 210.0,
            work: ms(24),
            spread: 0.8,
            objective: ms(100),
            deadline: ms(600),
            priority: 1,
            worth: 2.0,
            calls: None,
            ..lookup.clone()
        };
        Settings {
            data_centres: 3,
            services: vec![service.clone(), service.clone(), service],
            routes: vec![lookup, payment, check, count],
            near: Duration::from_micros(600),
            far: ms(2),
            span: Duration::from_secs(20),
            bursts: Vec::new(),
            faults: Vec::new(),
            budget: budget::Settings::default(),
            way: Way::default(),
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
    pub speeds: Vec<f64>,
}

/// Calls of one kind.
#[derive(Clone, Debug)]
pub struct Route {
    /// Index of the service.
    pub service: usize,
    /// Callers a second, over all instances.
    pub per_second: f64,
    /// Mean time of work.
    pub work: Duration,
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
    /// What an answer in time is worth; a late one is worth three tenths of that.
    pub worth: f64,
    /// Calls that its upstream makes while it works.
    pub calls: Option<Calls>,
}

/// Calls that an upstream makes.
#[derive(Clone, Copy, Debug)]
pub struct Calls {
    /// Index of their route.
    pub route: usize,
    /// How many at the same time.
    pub times: u32,
    /// Share of the runs that make them.
    pub share: f64,
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

/// A trouble of some upstreams of a service.
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
    pub trouble: Trouble,
}

/// What happens to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// It works so many times as long.
    Slow(f64),
    /// It fails this share of its calls.
    Failing(f64),
    /// It runs calls and loses this share of the answers.
    Silent(f64),
}

/// How nodes decide.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Way {
    /// Which upstream gets a call.
    pub choice: Choice,
    /// Who waits for a slot, and how long.
    pub order: Order,
    /// A mechanism that is switched off, to see what it is worth.
    pub without: Option<Mechanism>,
}

/// A part of how the product decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// Upstreams that fail are seen as failing, and ejected after failures in a row.
    Failures,
    /// Calls of upstreams go before callers' for half of the slots.
    Half,
    /// Serving nodes tell how many calls they hold.
    Load,
    /// Further upstreams are asked after a refusal.
    Offers,
    /// More urgent calls go first.
    Priority,
    /// A second attempt is made beside a silent one.
    Second,
    /// Calls wait for a slot for a short time only.
    ShortWaits,
    /// Upstreams that take longer than others get less.
    Slowness,
    /// Callers that come back go before new ones.
    Returning,
}

impl Mechanism {
    /// Every mechanism, with the name that the command line takes.
    pub const ALL: [(&str, Mechanism); 9] = [
        ("failures", Mechanism::Failures),
        ("half", Mechanism::Half),
        ("load", Mechanism::Load),
        ("offers", Mechanism::Offers),
        ("priority", Mechanism::Priority),
        ("second", Mechanism::Second),
        ("short-waits", Mechanism::ShortWaits),
        ("slowness", Mechanism::Slowness),
        ("returning", Mechanism::Returning),
    ];

    /// Finds a mechanism by its name.
    ///
    /// ```
    /// use standins::served::Mechanism;
    /// assert_eq!(Mechanism::parse("half"), Some(Mechanism::Half));
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
    Room,
    /// Each in turn.
    InTurn,
    /// The one with fewest calls of this node in flight.
    LeastInFlight,
}

/// Who waits for a slot, and how long.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Order {
    /// By rank, and for a short time, as the product decides.
    #[default]
    Ranked,
    /// By arrival, until the deadline.
    Arrival,
}
