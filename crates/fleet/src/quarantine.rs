//! Quarantine of poison requests, which crash the upstreams that run them.
//!
//! Nodes gossip which requests ran when their upstream crashed. Every node merges these reports into a
//! [`Register`] and rejects a request for a while after [`CRASH_THRESHOLD`] crashes, unless an upstream
//! answered it close to or after them. Each crash is blamed only on the request with the most crashes.

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

/// Crashes from which on a request is quarantined.
///
/// One or two also occur by chance: a call that is lost in a crash is retried at another upstream,
/// which the same outage may affect.
pub const CRASH_THRESHOLD: usize = 3;

/// Maximum number of requests tracked, at some 150 bytes each.
const MAX_CASES: usize = 512;

/// Maximum number of reports in a gossip digest, which is one datagram.
pub const REPORTS_PER_DIGEST: usize = 3;

/// Maximum number of reports in a heartbeat, or in a digest that is sent for the reports only.
pub const REPORTS_PER_MESSAGE: usize = 6;

/// Maximum number of quarantined requests that a node sends to a node that has just started.
const MAX_JOINER_REPORTS: usize = 60;

/// Digests in which a node sends a changed report.
const TRANSMISSIONS: u32 = 6;

/// Digests in which a node sends a changed report of a request with one crash, which is rarely its cause.
const FIRST_CRASH_TRANSMISSIONS: u32 = 2;

/// Identifier of one crash of an upstream process, chosen at random by its node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u32);

/// A crash of this node's upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Its identifier; one crash may be reported in parts.
    pub id: CrashId,
    /// Requests that were running.
    pub suspects: Vec<Suspect>,
}

impl Crash {
    /// Returns the requests as shown to operators: fingerprint, method, host and path.
    pub(crate) fn labels(&self) -> Vec<String> {
        let label = |suspect: &Suspect| format!("{} {}", suspect.request, suspect.label);
        self.suspects.iter().map(label).collect()
    }
}

/// What a node gossips about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The request.
    #[serde(rename = "q")]
    pub request: Fingerprint,
    /// Crashes while it ran.
    #[serde(default, rename = "e", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashId>,
    /// Whether an upstream answered it; then there are no crashes.
    #[serde(default, rename = "w", skip_serializing_if = "Not::not")]
    pub answered: bool,
    /// Time since the last crash, or since the answer, in ms.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// The requests that the traffic path has to know of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quarantine {
    /// Quarantined requests, and until when.
    pub until: HashMap<Fingerprint, Time>,
    /// All requests that ran during a crash, including the quarantined ones; their answers are to be
    /// reported.
    pub suspects: HashSet<Fingerprint>,
}

/// A request that entered or left quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was quarantined.
    Quarantined {
        /// The request.
        request: Fingerprint,
        /// Upstreams that crashed while running it.
        crashes: usize,
        /// End of the quarantine.
        until: Time,
    },
    /// It was released.
    Released {
        /// The request.
        request: Fingerprint,
    },
}

impl Change {
    /// Returns the timeline event for the change at `now`.
    pub fn event(self, now: Time) -> Kind {
        match self {
            Change::Quarantined { request, crashes, until } => {
                let seconds = until.since(now).as_secs();
                Kind::Quarantined { request: request.to_string(), ends: crashes, seconds }
            }
            Change::Released { request } => Kind::Released { request: request.to_string() },
        }
    }
}

/// The requests suspected of crashing upstreams, as known to this node.
#[derive(Clone, Debug, Default)]
pub struct Register {
    cases: BTreeMap<Fingerprint, Case>,
    /// The quarantined request that was last reported in rotation.
    cursor: Option<Fingerprint>,
    changed: bool,
    current: Arc<Quarantine>,
}

impl Register {
    /// Records a crash of this node's upstream at `now`.
    ///
    /// ```
    /// use fleet::quarantine::{CrashId, Crash, Register};
    /// use model::{request::{Fingerprint, Suspect}, time::Time};
    /// let mut register = Register::default();
    /// let suspect = Suspect { request: Fingerprint(7), label: "GET /".to_owned() };
    /// for id in 0..3 {
    ///     let crash = Crash { id: CrashId(id), suspects: vec![suspect.clone()] };
    ///     register.record_crash(&crash, Time::from_millis(0));
    /// }
    /// assert_eq!(register.refresh(Time::from_millis(1)).unwrap().len(), 1);
    /// ```
    pub fn record_crash(&mut self, crash: &Crash, now: Time) {
        for suspect in &crash.suspects {
            self.update_case(suspect.request, now, |case| {
                case.is_urgent = case.add_crashes(&[crash.id], now);
                case.is_urgent
            });
        }
    }

    /// Records that this node's upstream answered a request at `now`.
    pub fn record_answer(&mut self, request: Fingerprint, now: Time) {
        self.update_case(request, now, |case| {
            // Urgent if one more crash would quarantine the request.
            case.is_urgent = case.crashes.len() + 1 >= CRASH_THRESHOLD;
            case.answer(now)
        });
    }

    /// Merges reports of another node; returns whether any was new.
    pub fn merge(&mut self, reports: &[Report], now: Time) -> bool {
        let mut is_new = false;
        for report in reports {
            let age = Duration::from_millis(report.age_ms);
            let at = Time::at(now.since(Time::default()).saturating_sub(age));
            is_new |= self.update_case(report.request, now, |case| match report.answered {
                true => case.answer(at),
                false => case.add_crashes(&report.crashes, at),
            });
        }
        is_new
    }

    /// Returns up to `limit` reports for the next message: one of a quarantined request in
    /// rotation, for nodes that missed it, then changes, those with the most crashes first.
    pub fn next_reports(&mut self, limit: usize, now: Time) -> Vec<Report> {
        let mut requests: Vec<Fingerprint> = self.next_quarantined().into_iter().collect();
        for changed in self.changed_requests(limit) {
            if requests.len() < limit && !requests.contains(&changed) {
                requests.push(changed);
            }
        }
        requests.into_iter().filter_map(|request| self.report(request, now)).collect()
    }

    /// Returns up to `limit` requests with changes still to be sent.
    fn changed_requests(&self, limit: usize) -> Vec<Fingerprint> {
        let changed = self.cases.iter().filter(|(_, case)| case.transmissions > 0);
        let mut changed: Vec<(usize, u32, Fingerprint)> = changed
            .map(|(request, case)| (case.crashes.len(), case.transmissions, *request))
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.into_iter().take(limit).map(|(_, _, request)| request).collect()
    }

    /// Returns the reports that are to be sent at once, in batches of one digest each.
    pub fn urgent_reports(&mut self, now: Time) -> Vec<Vec<Report>> {
        let urgent = |(request, case): (&Fingerprint, &Case)| case.is_urgent.then_some(*request);
        let requests: Vec<Fingerprint> = self.cases.iter().filter_map(urgent).collect();
        self.report_batches(&requests, now)
    }

    /// Returns the reports for a node that has just started, in batches of one digest each.
    pub fn joiner_reports(&mut self, now: Time) -> Vec<Vec<Report>> {
        let quarantined = self.current.until.keys().copied().take(MAX_JOINER_REPORTS);
        let requests: Vec<Fingerprint> = quarantined.collect();
        self.report_batches(&requests, now)
    }

    /// Recomputes the quarantine at `now` and returns its changes; none if nothing can have
    /// changed.
    pub fn refresh(&mut self, now: Time) -> Option<Vec<Change>> {
        let is_due = self.current.until.values().any(|until| now >= *until);
        if !std::mem::replace(&mut self.changed, false) && !is_due {
            return None;
        }
        self.cases.retain(|_, case| !case.is_over(now));
        let quarantined =
            self.causes().into_iter().map(|request| (request, self.cases[&request].until()));
        let until = quarantined.filter(|(_, until)| now < *until).collect();
        let suspects = self.cases.iter().filter(|(_, case)| !case.crashes.is_empty());
        let suspects = suspects.map(|(request, _)| *request).collect();
        let current = Arc::new(Quarantine { until, suspects });
        let before = std::mem::replace(&mut self.current, current);
        Some(self.changes(&before))
    }

    /// Returns the requests that entered or left quarantine since `before`.
    fn changes(&self, before: &Quarantine) -> Vec<Change> {
        let quarantined = |(&request, &until): (&Fingerprint, &Time)| {
            let is_new = !before.until.contains_key(&request);
            let crashes = self.crashes_of(request);
            is_new.then_some(Change::Quarantined { request, crashes, until })
        };
        let released = |&request: &Fingerprint| {
            let is_over = !self.current.until.contains_key(&request);
            is_over.then_some(Change::Released { request })
        };
        let quarantined = self.current.until.iter().filter_map(quarantined);
        quarantined.chain(before.until.keys().filter_map(released)).collect()
    }

    /// Returns the requests that count as the cause of crashes.
    ///
    /// The one with the most crashes comes first, and explains them; others count only by their
    /// unexplained crashes. Of requests with the same crashes, all count.
    fn causes(&self) -> Vec<Fingerprint> {
        let reaches_threshold =
            |(_, case): &(&Fingerprint, &Case)| case.crashes.len() >= CRASH_THRESHOLD;
        let mut suspects: Vec<(&Fingerprint, &Case)> =
            self.cases.iter().filter(reaches_threshold).collect();
        suspects.sort_by_key(|(_, case)| (Reverse(case.crashes.len()), case.last_crash));
        let mut explained: BTreeSet<CrashId> = BTreeSet::new();
        let mut causes: Vec<(&Fingerprint, &Case)> = Vec::new();
        for (request, case) in suspects {
            let has_same_crashes = causes.iter().any(|(_, cause)| cause.crashes == case.crashes);
            if has_same_crashes || case.crashes.difference(&explained).count() >= CRASH_THRESHOLD {
                explained.extend(&case.crashes);
                causes.push((request, case));
            }
        }
        causes.into_iter().map(|(request, _)| *request).collect()
    }

    /// Returns the quarantine as of the last [`Register::refresh`].
    pub fn current(&self) -> &Arc<Quarantine> {
        &self.current
    }

    /// Returns the quarantined requests as shown to operators.
    pub fn status(&self, now: Time) -> Vec<status::Quarantined> {
        let quarantined = |(request, until): (&Fingerprint, &Time)| status::Quarantined {
            request: request.to_string(),
            ends: self.crashes_of(*request),
            seconds: until.since(now).as_secs(),
        };
        self.current.until.iter().map(quarantined).collect()
    }

    fn crashes_of(&self, request: Fingerprint) -> usize {
        self.cases.get(&request).map_or(0, |case| case.crashes.len())
    }

    fn update_case(
        &mut self,
        request: Fingerprint,
        now: Time,
        update: impl FnOnce(&mut Case) -> bool,
    ) -> bool {
        let known = self.cases.get(&request).filter(|case| !case.is_over(now));
        let mut case = known.cloned().unwrap_or_default();
        if !update(&mut case) || case.is_over(now) {
            return false;
        }
        case.transmissions =
            if case.crashes.len() == 1 { FIRST_CRASH_TRANSMISSIONS } else { TRANSMISSIONS };
        self.cases.insert(request, case);
        self.changed = true;
        self.evict_excess();
        true
    }

    /// Evicts the case with the fewest crashes beyond the limit, so that crashes under ever new
    /// requests cannot displace a quarantined one.
    fn evict_excess(&mut self) {
        if self.cases.len() <= MAX_CASES {
            return;
        }
        let fewest =
            self.cases.iter().min_by_key(|(_, case)| (case.crashes.len(), case.last_crash));
        if let Some(key) = fewest.map(|(key, _)| *key) {
            self.cases.remove(&key);
        }
    }

    /// Returns the next quarantined request in rotation.
    fn next_quarantined(&mut self) -> Option<Fingerprint> {
        let quarantined = || self.current.until.keys().copied();
        let following = quarantined().filter(|request| Some(*request) > self.cursor).min();
        self.cursor = following.or_else(|| quarantined().min());
        self.cursor
    }

    fn report_batches(&mut self, requests: &[Fingerprint], now: Time) -> Vec<Vec<Report>> {
        let group = |requests: &[Fingerprint]| {
            requests.iter().filter_map(|request| self.report(*request, now)).collect()
        };
        requests.chunks(REPORTS_PER_MESSAGE).map(group).collect()
    }

    fn report(&mut self, request: Fingerprint, now: Time) -> Option<Report> {
        let case = self.cases.get_mut(&request)?;
        case.transmissions = case.transmissions.saturating_sub(1);
        case.is_urgent = false;
        let answered = case.crashes.is_empty();
        let at = if answered { case.answered? } else { case.last_crash };
        let crashes = case.crashes.iter().copied().collect();
        Some(Report { request, crashes, answered, age_ms: now.since(at).as_millis() as u64 })
    }
}
