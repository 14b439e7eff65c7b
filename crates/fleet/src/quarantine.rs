//! Requests that end the upstreams that run them.
//!
//! Pattern: an upstream's process ends while it runs a request, the caller asks again, and the next
//! upstream ends as well, until none is left. No single node sees more than its own upstream's end,
//! and every call that ran there beside the guilty one broke in the same moment. So each node says
//! which requests ran when its upstream ended, all nodes hold the same [`Register`] of them, and a
//! request under which [`ENDS_THRESHOLD`] upstreams ended is not run for a while.
//!
//! Two things tell the cause from what merely ran beside it:
//!
//! - *An answer clears.* A request that any upstream answered around the ends, or after them, did not cause them:
//!   a popular one, of which a copy runs everywhere, goes on after an outage.
//! - *An end has one cause.* What ran beside a request under which more upstreams ended is not blamed for the
//!   ends that the two share.

mod case;

use model::{
    request::{Fingerprint, Suspect},
    time::Time,
};
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    ops::Not,
    sync::Arc,
    time::Duration,
};

use crate::{quarantine::case::Case, status, timeline::Kind};

/// Ends under a request with which it is quarantined.
///
/// One or two are met by chance: a call that is lost with its upstream is repeated at another one, which
/// may be part of the same outage.
pub const ENDS_THRESHOLD: usize = 3;

/// Most requests that are remembered, at some 150 bytes each. Every end of an upstream adds those that ran
/// there, a few dozen at most.
const MAX_CASES: usize = 512;

/// Most reports of a summary, which is one packet and tells much else.
pub const REPORTS_PER_DIGEST: usize = 3;

/// Most reports of a message that tells little else, or is not bound to one packet.
pub const REPORTS_PER_MESSAGE: usize = 6;

/// Most quarantined requests that a node that has just started is told of at once by each other one.
const MAX_JOINER_REPORTS: usize = 60;

/// Summaries in which a node tells a change, each to several others, who tell it on.
const TRANSMISSIONS: u32 = 6;

/// The same of a first end: most requests that ran when an upstream ended are not the cause of it.
const FIRST_END_TRANSMISSIONS: u32 = 2;

/// The end of an upstream's process, by a number drawn by the node beside it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct End(pub u32);

/// The own upstream's process has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Which end; one may be told of in parts.
    pub end: End,
    /// What ran.
    pub suspects: Vec<Suspect>,
}

impl Crash {
    /// Returns what operators read of what ran: the fingerprint of each request, method, host and path.
    pub(crate) fn labels(&self) -> Vec<String> {
        let label = |suspect: &Suspect| format!("{} {}", suspect.request, suspect.label);
        self.suspects.iter().map(label).collect()
    }
}

/// What a node tells others of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The request.
    #[serde(rename = "q")]
    pub request: Fingerprint,
    /// Ends of upstreams under it.
    #[serde(default, rename = "e", skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<End>,
    /// Whether it was answered; then there are no ends.
    #[serde(default, rename = "w", skip_serializing_if = "Not::not")]
    pub answered: bool,
    /// Time since the last end, or since the answer, in ms.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// What traffic needs to know.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quarantine {
    /// Requests that are not to be run, and until when.
    pub until: HashMap<Fingerprint, Time>,
    /// Requests under which upstreams ended, these included: of them an answer is news.
    pub suspects: HashSet<Fingerprint>,
}

/// A change of a request's standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is not run for a while.
    Quarantined {
        /// Which.
        request: Fingerprint,
        /// Upstreams that ended under it.
        ends: usize,
        /// When it may run again.
        until: Time,
    },
    /// It may run again.
    Released {
        /// Which.
        request: Fingerprint,
    },
}

impl Change {
    /// Returns the event that tells it, at `now`.
    pub fn event(self, now: Time) -> Kind {
        match self {
            Change::Quarantined { request, ends, until } => {
                let seconds = until.since(now).as_secs();
                Kind::Quarantined { request: request.to_string(), ends, seconds }
            }
            Change::Released { request } => Kind::Released { request: request.to_string() },
        }
    }
}

/// Requests under which upstreams ended, as this node knows of them.
#[derive(Clone, Debug, Default)]
pub struct Register {
    cases: BTreeMap<Fingerprint, Case>,
    /// The case that was told last, in turn.
    turn: Option<Fingerprint>,
    changed: bool,
    current: Arc<Quarantine>,
}

impl Register {
    /// Notes that the own upstream ended at `now`.
    ///
    /// ```
    /// use fleet::quarantine::{End, Crash, Register};
    /// use model::{request::{Fingerprint, Suspect}, time::Time};
    /// let mut register = Register::default();
    /// let suspect = Suspect { request: Fingerprint(7), label: "GET /".to_owned() };
    /// for end in 0..3 {
    ///     let loss = Crash { end: End(end), suspects: vec![suspect.clone()] };
    ///     register.note_end(&loss, Time::from_millis(0));
    /// }
    /// assert_eq!(register.refresh(Time::from_millis(1)).unwrap().len(), 1);
    /// ```
    pub fn note_end(&mut self, loss: &Crash, now: Time) {
        for suspect in &loss.suspects {
            self.change(suspect.request, now, |case| {
                case.is_urgent = case.add_ends(&[loss.end], now);
                case.is_urgent
            });
        }
    }

    /// Notes that the own upstream answered a request at `now`.
    pub fn note_answer(&mut self, request: Fingerprint, now: Time) {
        self.change(request, now, |case| {
            // One more end, of whatever cause, and all nodes refuse it.
            case.is_urgent = case.ends.len() + 1 >= ENDS_THRESHOLD;
            case.answer(now)
        });
    }

    /// Takes what another node tells into account; returns whether anything of it is new.
    pub fn merge(&mut self, reports: &[Report], now: Time) -> bool {
        let mut is_news = false;
        for report in reports {
            let age = Duration::from_millis(report.age_ms);
            let at = Time::at(now.since(Time::default()).saturating_sub(age));
            is_news |= self.change(report.request, now, |case| match report.answered {
                true => case.answer(at),
                false => case.add_ends(&report.ends, at),
            });
        }
        is_news
    }

    /// Returns up to `most` reports for the next summary. One is of a quarantined request, in turn, however
    /// much else there is to tell: whoever missed it hears of it. The others are changes, those of requests with
    /// the most ends first.
    pub fn next_reports(&mut self, most: usize, now: Time) -> Vec<Report> {
        let mut told: Vec<Fingerprint> = self.next_in_turn().into_iter().collect();
        for changed in self.changed_most(most) {
            if told.len() < most && !told.contains(&changed) {
                told.push(changed);
            }
        }
        told.into_iter().filter_map(|request| self.report(request, now)).collect()
    }

    /// Returns up to `most` requests of which a change is still to be told.
    fn changed_most(&self, most: usize) -> Vec<Fingerprint> {
        let changed = self.cases.iter().filter(|(_, case)| case.transmissions > 0);
        let mut changed: Vec<(usize, u32, Fingerprint)> = changed
            .map(|(request, case)| (case.ends.len(), case.transmissions, *request))
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.into_iter().take(most).map(|(_, _, request)| request).collect()
    }

    /// Returns what this node has found out and must not wait to be told, in groups for a summary each.
    pub fn urgent_reports(&mut self, now: Time) -> Vec<Vec<Report>> {
        let urgent = |(request, case): (&Fingerprint, &Case)| case.is_urgent.then_some(*request);
        let requests: Vec<Fingerprint> = self.cases.iter().filter_map(urgent).collect();
        self.report_all(&requests, now)
    }

    /// Returns what a node is told that has just started and knows nothing, in groups for a summary each.
    pub fn joiner_reports(&mut self, now: Time) -> Vec<Vec<Report>> {
        let held = self.current.until.keys().copied().take(MAX_JOINER_REPORTS);
        let requests: Vec<Fingerprint> = held.collect();
        self.report_all(&requests, now)
    }

    /// Works out anew what may run at `now`, and returns which requests' standing changed; none where nothing
    /// can have.
    pub fn refresh(&mut self, now: Time) -> Option<Vec<Change>> {
        let is_due = self.current.until.values().any(|until| now >= *until);
        if !std::mem::replace(&mut self.changed, false) && !is_due {
            return None;
        }
        self.cases.retain(|_, case| !case.is_over(now));
        let held = self.causes().into_iter().map(|request| (request, self.cases[&request].until()));
        let until = held.filter(|(_, until)| now < *until).collect();
        let suspects = self.cases.iter().filter(|(_, case)| !case.ends.is_empty());
        let suspects = suspects.map(|(request, _)| *request).collect();
        let current = Arc::new(Quarantine { until, suspects });
        let before = std::mem::replace(&mut self.current, current);
        Some(self.changes(&before))
    }

    /// Returns which requests are held now and were not `before`, and the other way round.
    fn changes(&self, before: &Quarantine) -> Vec<Change> {
        let held = |(&request, &until): (&Fingerprint, &Time)| {
            let is_new = !before.until.contains_key(&request);
            let ends = self.ends_of(request);
            is_new.then_some(Change::Quarantined { request, ends, until })
        };
        let released = |&request: &Fingerprint| {
            let is_over = !self.current.until.contains_key(&request);
            is_over.then_some(Change::Released { request })
        };
        let held = self.current.until.iter().filter_map(held);
        held.chain(before.until.keys().filter_map(released)).collect()
    }

    /// Returns the requests that are taken for the cause of ends: those under which the most upstreams ended
    /// first, and of these the one whose last end was first. Of two with the same ends neither is known to be
    /// innocent.
    fn causes(&self) -> Vec<Fingerprint> {
        let many = |(_, case): &(&Fingerprint, &Case)| case.ends.len() >= ENDS_THRESHOLD;
        let mut suspects: Vec<(&Fingerprint, &Case)> = self.cases.iter().filter(many).collect();
        suspects.sort_by_key(|(_, case)| (Reverse(case.ends.len()), case.ended));
        let mut explained: BTreeSet<End> = BTreeSet::new();
        let mut causes: Vec<(&Fingerprint, &Case)> = Vec::new();
        for (request, case) in suspects {
            let has_twin = causes.iter().any(|(_, cause)| cause.ends == case.ends);
            if has_twin || case.ends.difference(&explained).count() >= ENDS_THRESHOLD {
                explained.extend(&case.ends);
                causes.push((request, case));
            }
        }
        causes.into_iter().map(|(request, _)| *request).collect()
    }

    /// Returns what traffic needs to know, as of the last [`Register::refresh`].
    pub fn current(&self) -> &Arc<Quarantine> {
        &self.current
    }

    /// Returns what operators are told.
    pub fn status(&self, now: Time) -> Vec<status::Quarantined> {
        let held = |(request, until): (&Fingerprint, &Time)| status::Quarantined {
            request: request.to_string(),
            ends: self.ends_of(*request),
            seconds: until.since(now).as_secs(),
        };
        self.current.until.iter().map(held).collect()
    }

    fn ends_of(&self, request: Fingerprint) -> usize {
        self.cases.get(&request).map_or(0, |case| case.ends.len())
    }

    fn change(
        &mut self,
        request: Fingerprint,
        now: Time,
        work: impl FnOnce(&mut Case) -> bool,
    ) -> bool {
        let known = self.cases.get(&request).filter(|case| !case.is_over(now));
        let mut case = known.cloned().unwrap_or_default();
        if !work(&mut case) || case.is_over(now) {
            return false;
        }
        case.transmissions =
            if case.ends.len() == 1 { FIRST_END_TRANSMISSIONS } else { TRANSMISSIONS };
        self.cases.insert(request, case);
        self.changed = true;
        self.bound();
        true
    }

    /// Drops the least known case beyond the bound: whoever ends upstreams under ever new requests must
    /// not make the nodes forget those that they refuse.
    fn bound(&mut self) {
        if self.cases.len() <= MAX_CASES {
            return;
        }
        let least = self.cases.iter().min_by_key(|(_, case)| (case.ends.len(), case.ended));
        if let Some(key) = least.map(|(key, _)| *key) {
            self.cases.remove(&key);
        }
    }

    /// Returns the quarantined request whose turn it is to be told.
    fn next_in_turn(&mut self) -> Option<Fingerprint> {
        let held = || self.current.until.keys().copied();
        let behind = held().filter(|request| Some(*request) > self.turn).min();
        self.turn = behind.or_else(|| held().min());
        self.turn
    }

    fn report_all(&mut self, requests: &[Fingerprint], now: Time) -> Vec<Vec<Report>> {
        let group = |requests: &[Fingerprint]| {
            requests.iter().filter_map(|request| self.report(*request, now)).collect()
        };
        requests.chunks(REPORTS_PER_MESSAGE).map(group).collect()
    }

    fn report(&mut self, request: Fingerprint, now: Time) -> Option<Report> {
        let case = self.cases.get_mut(&request)?;
        case.transmissions = case.transmissions.saturating_sub(1);
        case.is_urgent = false;
        let answered = case.ends.is_empty();
        let at = if answered { case.answered? } else { case.ended };
        let ends = case.ends.iter().copied().collect();
        Some(Report { request, ends, answered, age_ms: now.since(at).as_millis() as u64 })
    }
}
