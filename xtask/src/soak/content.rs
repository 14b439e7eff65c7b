//! What the operators of a soak publish.

use standins::platform::Platform;
use std::time::Instant;

/// Services of the mesh, one after the other.
pub(crate) const SERVICES: [&str; 2] = ["stock", "pay"];

/// Host that callers name.
pub(crate) const HOST: &str = "soak.example";

/// Beginnings of the paths of calls that may run more than once, and of those that may not, after
/// the service's name.
pub(crate) const READS: &str = "read";
pub(crate) const POSTS: &str = "post";

/// Routes that are added at once, for the first time, the second time and so on.
const GROWTH: [usize; 4] = [400, 800, 1_600, 1_600];

/// What has been published.
#[derive(Debug, Default)]
pub(crate) struct Content {
    /// When each good version was acknowledged, and its revision.
    versions: Vec<(Instant, u64)>,
    growths: usize,
    routes: usize,
}

impl Content {
    /// Publishes another version.
    pub(crate) fn publish(&mut self, platform: &Platform) {
        let slow_start_ms = 1_001 + self.versions.len();
        let profile = format!(
            r#"{{"deadline_ms": 1500, "refused_status": 503, "idle_ms": 1000, "slow_start_ms": {slow_start_ms}}}"#
        );
        let service = r#"{"profile": "p"}"#.to_owned();
        let mut documents = vec![("profiles/p".to_owned(), profile)];
        documents.extend(SERVICES.map(|name| (format!("services/{name}"), service.clone())));
        self.write(platform, &documents);
    }

    /// Adds many routes at once; returns how many.
    ///
    /// Before the first time the configuration has none, and calls find their services by name.
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

    /// Returns the revision of the newest version that was acknowledged until `moment`.
    pub(crate) fn newest_at(&self, moment: Instant) -> u64 {
        let until = self.versions.iter().rev().find(|(at, _)| *at <= moment);
        until.map_or(0, |(_, revision)| *revision)
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
