//! Explains to operators which upstreams are eligible now, and why.

use fleet::{member::State, status::Candidate};
use policy::{admission::Class, warmup::Usage};

use crate::proxy::Proxy;

impl Proxy {
    /// Returns the eligibility of every known upstream of `service`, with a reason for operators.
    pub fn explain(&self, service: &str) -> Vec<Candidate> {
        let view = self.view();
        let now = self.clock.now();
        let spill = self.spills(service);
        let upstreams = view.upstreams(service);
        let has_local = upstreams.iter().any(|u| u.near && u.state.takes_work());
        let mut all = Vec::new();
        for upstream in upstreams {
            let record = self.services.with(service, |s| s.record(upstream, now).clone());
            let (eligible, reason) = match upstream.state {
                State::Leaving => (false, "leaving".to_owned()),
                State::Unreachable => (false, "node unreachable".to_owned()),
                State::Gone => (false, "stopped".to_owned()),
                State::Evacuated => (false, "data centre evacuated by operators".to_owned()),
                _ if record.is_leaving() => (false, "said in an answer that it leaves".to_owned()),
                _ if record.is_ejected(now) => {
                    let left = record.ejected_until().since(now).as_millis();
                    (
                        false,
                        format!(
                            "ejected after failed calls from this node; not chosen for {left} ms"
                        ),
                    )
                }
                _ if !upstream.near && !spill => {
                    (false, "profile restricts calls to this data centre".to_owned())
                }
                _ if !upstream.near && has_local => {
                    (false, "upstreams are available in this data centre".to_owned())
                }
                State::Suspect => (true, "suspected, not yet unreachable".to_owned()),
                State::Live if self.is_colocated(upstream) => {
                    (true, live_reason(record.limit(now)) + &starts_reason(self.slots.starts()))
                }
                State::Live => (true, live_reason(record.limit(now))),
            };
            all.push(Candidate {
                instance: upstream.instance.clone(),
                data_centre: upstream.data_centre.clone(),
                eligible,
                reason,
                in_flight: record.in_flight(),
                latency_ms: record.latency(now).map(|l| l.as_secs_f64() * 1e3),
            });
        }
        all
    }

    fn spills(&self, service: &str) -> bool {
        let config = self.config();
        config.service(service).is_none_or(|s| config.profile(s).spill)
    }
}

/// Returns the reason for a live upstream, with the limit that it named in calls per second.
fn live_reason(limit: Option<f64>) -> String {
    limit.map_or("live".to_owned(), |limit| format!("live; accepts {limit} calls per second"))
}

/// Returns the use of the starts of a cold upstream by kind of call; empty for a warm one.
fn starts_reason(usage: Option<Usage>) -> String {
    let Some(Usage { used, limit, mut kinds }) = usage else { return String::new() };
    kinds.sort_by_key(|(kind, _)| (kind.priority, kind.class == Class::Nested));
    let mut reason = format!("; cold, {used} of {limit} starts of the last second used");
    let unknown = used - kinds.iter().map(|(_, starts)| starts).sum::<usize>();
    for (kind, starts) in kinds {
        let class = if kind.class == Class::Nested { "nested" } else { "callers" };
        reason += &format!(", priority {} {class}: {starts}", kind.priority);
    }
    if unknown > 0 {
        reason += &format!(", assumed before the start of the node: {unknown}");
    }
    reason
}
