//! Configuration versions that are published during a run.

use standins::{platform::Platform, upstream::HEALTH_PATH};
use std::time::Instant;

use crate::soak::warm_ups::{self, WarmUps};

/// Services; instances are assigned to them in turn.
pub(crate) const SERVICES: [&str; 2] = ["stock", "pay"];

/// Host header of the calls.
pub(crate) const HOST: &str = "soak.example";

/// Path prefixes, after the service's name, of idempotent calls and of the others.
pub(crate) const READS: &str = "read";
pub(crate) const POSTS: &str = "post";

/// Number of routes that each growth adds, in the order of the growths.
const GROWTH: [usize; 4] = [400, 800, 1_600, 1_600];

/// All published versions.
#[derive(Debug)]
pub(crate) struct Content {
    /// Whether services limit the calls to cold upstreams.
    warm_ups: WarmUps,
    /// When the platform acknowledged each valid version, and its revision.
    versions: Vec<(Instant, u64)>,
    /// Number of growths so far.
    growths: usize,
    /// Number of routes that they added.
    routes: usize,
}

impl Content {
    pub(crate) fn new(warm_ups: WarmUps) -> Self {
        Content { warm_ups, versions: Vec::new(), growths: 0, routes: 0 }
    }

    /// Publishes a new version with a changed profile.
    pub(crate) fn publish(&mut self, platform: &Platform) {
        let slow_start_ms = 1_001 + self.versions.len();
        let profile = format!(
            r#"{{"deadline_ms": 1500, "refused_status": 503, "idle_ms": 1000, "slow_start_ms": {slow_start_ms}}}"#
        );
        let service = self.service();
        let mut documents = vec![("profiles/p".to_owned(), profile)];
        documents.extend(SERVICES.map(|name| (format!("services/{name}"), service.clone())));
        self.write(platform, &documents);
    }

    /// Returns the document of every service.
    fn service(&self) -> String {
        let mut service = serde_json::json!({ "profile": "p" });
        if self.warm_ups == WarmUps::Random {
            service["warm_up"] = serde_json::json!({
                "calls_per_min": warm_ups::CALLS_PER_MIN,
                "length_ms": warm_ups::LENGTH.as_millis() as u64,
                "health_path": HEALTH_PATH,
            });
        }
        service.to_string()
    }

    /// Adds many routes in one version and returns their number, which is 0 after the last growth.
    ///
    /// Until the first growth there are no routes, and calls are routed by the service's name.
    pub(crate) fn grow(&mut self, platform: &Platform) -> usize {
        let Some(&count) = GROWTH.get(self.growths) else { return 0 };
        let mut documents = Vec::new();
        for name in SERVICES {
            for (prefix, kind) in [(READS, "idempotent"), (POSTS, "once")] {
                let text = route(HOST, &format!("/{name}/{prefix}/"), kind, name);
                documents.push((format!("routes/{name}-{prefix}"), text));
            }
        }
        for number in self.routes..self.routes + count {
            let host = format!("customer-{number}.shops.example");
            let text = route(&host, "/pay/", "once", SERVICES[number % SERVICES.len()]);
            documents.push((format!("routes/customer-{number}"), text));
        }
        self.growths += 1;
        self.routes += count;
        self.write(platform, &documents);
        count
    }

    /// Returns the revision of the newest version.
    pub(crate) fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |(_, revision)| *revision)
    }

    /// Returns the revision of the newest version that was acknowledged by `moment`.
    pub(crate) fn newest_at(&self, moment: Instant) -> u64 {
        let newest = self.versions.iter().rev().find(|(at, _)| *at <= moment);
        newest.map_or(0, |(_, revision)| *revision)
    }

    fn write(&mut self, platform: &Platform, documents: &[(String, String)]) {
        let documents: Vec<(&str, Option<&str>)> =
            documents.iter().map(|(key, text)| (key.as_str(), Some(text.as_str()))).collect();
        let revision = platform.publish(&documents);
        self.versions.push((Instant::now(), revision));
    }
}

fn route(host: &str, prefix: &str, kind: &str, service: &str) -> String {
    serde_json::json!({
        "host": host,
        "prefix": prefix,
        "kind": kind,
        "attempts": 2,
        "timeout_ms": 1_500,
        "objective_ms": 400,
        "targets": [{ "service": service, "weight": 1 }],
    })
    .to_string()
}
