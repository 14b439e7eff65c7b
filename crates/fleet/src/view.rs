//! The immutable snapshot of upstreams that the traffic threads route by.

use model::time::Time;
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use crate::member::{Record, State};

/// An upstream with its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Address of its node for messages between nodes; identifies it together with the incarnation.
    pub address: SocketAddr,
    /// Address of its node for calls.
    pub traffic: SocketAddr,
    /// The platform's name of the instance.
    pub instance: String,
    /// Incarnation of its node; 0 if unknown.
    pub incarnation: u64,
    /// Identity that the upstream itself has to confirm, if the platform lists it.
    pub identity: Option<Arc<str>>,
    /// Start time, in ms of Unix time; none if the platform does not provide it. Distinguishes
    /// incarnations with the same identity.
    pub started_ms: Option<u64>,
    /// Its data centre.
    pub data_centre: String,
    /// Whether that is the local data centre.
    pub near: bool,
    /// Its state.
    pub state: State,
    /// Calls that it processes concurrently; 0 if unknown.
    pub slots: usize,
    /// End of its warm-up after a start, as registered at the platform.
    pub cold_until: Time,
    /// When the latest evacuation of its data centre ended, if known; it may have become cold
    /// since.
    pub readmitted_at: Option<Time>,
}

/// All upstreams by service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    by_service: HashMap<String, Vec<Upstream>>,
}

impl View {
    /// Builds the view of `records` for a node in `data_centre`.
    pub fn new<'a>(records: impl Iterator<Item = &'a Record>, data_centre: &str) -> Self {
        let mut view = View::default();
        for record in records.filter(|r| r.state != State::Gone) {
            let upstream = Upstream {
                address: record.address,
                traffic: record.traffic,
                instance: record.instance.clone(),
                incarnation: record.incarnation,
                data_centre: record.data_centre.clone(),
                near: record.data_centre == data_centre,
                state: record.state,
                identity: None,
                started_ms: None,
                slots: 0,
                cold_until: Time::default(),
                readmitted_at: None,
            };
            view.add(&record.service, upstream);
        }
        view
    }

    /// Adds an upstream of `service`.
    pub fn add(&mut self, service: &str, upstream: Upstream) {
        match self.by_service.get_mut(service) {
            Some(upstreams) => upstreams.push(upstream),
            None => {
                self.by_service.insert(service.to_owned(), vec![upstream]);
            }
        }
    }

    /// Iterates over all upstreams with the names of their services.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Upstream)> {
        self.by_service
            .iter()
            .flat_map(|(name, upstreams)| upstreams.iter().map(move |u| (name.as_str(), u)))
    }

    /// Returns all known upstreams of `service`, including those that take no work.
    ///
    /// ```
    /// assert!(fleet::view::View::default().upstreams("shelfview").is_empty());
    /// ```
    pub fn upstreams(&self, service: &str) -> &[Upstream] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}
