//! Estimates of the latency and the answer size of each route.

use policy::latency::{Estimate, Size};
use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::lock::lock;

/// Maximum number of routes with estimates; bounds memory.
const MAX_ROUTES: usize = 8_192;

/// Estimates by route, or by service if there are no routes.
#[derive(Default)]
pub(crate) struct Estimates {
    routes: Mutex<HashMap<String, Answers>>,
}

/// Latency and size of the answers of one route.
struct Answers {
    latency: Estimate,
    size: Size,
}

impl Estimates {
    /// Returns the latency of `route`, or of `service` if `route` is empty; `None` before the first answer.
    pub(crate) fn latency(&self, service: &str, route: &str) -> Option<Estimate> {
        lock(&self.routes).get(key(service, route)).map(|answers| answers.latency)
    }

    /// Returns the mean size of an answer of `route` to `service`, in bytes; 0 before the first one.
    pub(crate) fn bytes(&self, service: &str, route: &str) -> usize {
        lock(&self.routes).get(key(service, route)).map_or(0, |answers| answers.size.mean())
    }

    /// Records an answer of `bytes` after `time`; returns the latency estimate before it.
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
