//! How long calls of a route take, and how large their answers are.

use policy::latency::{Estimate, Size};
use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::lock::lock;

/// Most routes whose answers are remembered, some 100 bytes each; of others nothing is known.
const MAX_ROUTES: usize = 8_192;

/// Estimates by route, or by service where there are no routes.
#[derive(Default)]
pub(crate) struct Estimates {
    routes: Mutex<HashMap<String, Answers>>,
}

/// Answers to the calls of one route.
struct Answers {
    latency: Estimate,
    size: Size,
}

impl Estimates {
    /// Returns the time that calls of `route` to `service` take, if one was answered so far.
    pub(crate) fn latency(&self, service: &str, route: &str) -> Option<Estimate> {
        lock(&self.routes).get(key(service, route)).map(|answers| answers.latency)
    }

    /// Returns the bytes that answers of `route` to `service` usually have; 0 before the first one.
    pub(crate) fn bytes(&self, service: &str, route: &str) -> usize {
        lock(&self.routes).get(key(service, route)).map_or(0, |answers| answers.size.mean())
    }

    /// Notes that a call of `route` to `service` was answered after `time` with `bytes`; returns the
    /// time that such calls took before.
    pub(crate) fn record(
        &self,
        service: &str,
        route: &str,
        time: Duration,
        bytes: usize,
    ) -> Option<Estimate> {
        let key = key(service, route);
        let mut routes = lock(&self.routes);
        if let Some(answers) = routes.get_mut(key) {
            let before = answers.latency;
            answers.latency.record(time);
            answers.size.record(bytes);
            return Some(before);
        }
        if routes.len() < MAX_ROUTES {
            let first = Answers { latency: Estimate::new(time), size: Size::new(bytes) };
            routes.insert(key.to_owned(), first);
        }
        None
    }
}

fn key<'a>(service: &'a str, route: &'a str) -> &'a str {
    if route.is_empty() { service } else { route }
}
