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

/// What has been published.
#[derive(Debug, Default)]
pub(crate) struct Content {
    /// When each good version was acknowledged, and its revision.
    versions: Vec<(Instant, u64)>,
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

    /// Returns the revision of the newest version.
    pub(crate) fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |(_, revision)| *revision)
    }

    fn write(&mut self, platform: &Platform, documents: &[(String, String)]) {
        let documents: Vec<(&str, Option<&str>)> =
            documents.iter().map(|(key, text)| (key.as_str(), Some(text.as_str()))).collect();
        let revision = platform.publish(&documents);
        self.versions.push((Instant::now(), revision));
    }
}
