//! Why an upstream would or would not be chosen now.

use fleet::{member::State, status::Candidate};

use crate::proxy::Proxy;

impl Proxy {
    /// Explains every known upstream of `service`.
    pub fn explain(&self, service: &str) -> Vec<Candidate> {
        let view = self.view();
        let now = self.clock.now();
        let spill = self.spills(service);
        let upstreams = view.upstreams(service);
        let near_able = upstreams.iter().any(|u| u.near && u.state.takes_work());
        let mut all = Vec::new();
        for upstream in upstreams {
            let record = self.services.with(service, |s| s.record(upstream, now).clone());
            let (eligible, reason) = match upstream.state {
                State::Leaving => (false, "it is leaving".to_owned()),
                State::Unreachable => (false, "its node is out of reach".to_owned()),
                State::Gone => (false, "it has stopped".to_owned()),
                State::Evacuated => (false, "operators had its data centre evacuated".to_owned()),
                _ if record.is_ejected(now) => {
                    let left = record.ejected_until().since(now).as_millis();
                    (false, format!("own calls to it failed; not chosen for {left} ms"))
                }
                _ if !upstream.near && !spill => {
                    (false, "the profile keeps calls in the own data centre".to_owned())
                }
                _ if !upstream.near && near_able => {
                    (false, "the own data centre has upstreams that are able".to_owned())
                }
                State::Suspect => (true, "suspected, and not yet out of reach".to_owned()),
                State::Live => (true, "live".to_owned()),
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
