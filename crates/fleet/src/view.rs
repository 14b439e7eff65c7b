//! The immutable picture of the fleet that the traffic threads read.

use std::{collections::HashMap, net::SocketAddr};

use crate::member::{Record, State};

/// An upstream behind its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Address of its node for messages between nodes; its identity together with the incarnation.
    pub address: SocketAddr,
    /// Address of its node for calls.
    pub traffic: SocketAddr,
    /// The platform's name of the instance.
    pub instance: String,
    /// Life of its node.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: String,
    /// Whether that is the reader's own data centre.
    pub near: bool,
    /// Its standing.
    pub state: State,
}

/// All upstreams by service.
#[derive(Clone, Debug, Default)]
pub struct View {
    by_service: HashMap<String, Vec<Upstream>>,
}

impl View {
    /// Builds the view of `records` as seen from `data_centre`.
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
            };
            view.by_service.entry(record.service.clone()).or_default().push(upstream);
        }
        view
    }

    /// Returns every known upstream of `service`, also those that take no work.
    ///
    /// ```
    /// assert!(fleet::view::View::default().upstreams("shelfview").is_empty());
    /// ```
    pub fn upstreams(&self, service: &str) -> &[Upstream] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}
