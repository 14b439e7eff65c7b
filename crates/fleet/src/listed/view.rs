//! Builds the routing view and the operators' status from list, peers and evacuations.

use std::{collections::HashMap, net::SocketAddr};

use crate::{
    clock::Now,
    directory::{Entry, Standing},
    evacuation::Order,
    listed::{Control, peers::Liveness},
    member::State,
    status,
    view::{Upstream, View},
};

impl Control {
    /// Returns the status of this node and of the members it knows.
    pub fn status(&mut self, now: Now) -> status::Node {
        status::Node {
            product: self.settings.product.clone(),
            version: self.fence.version(),
            stamp: self.clock.stamp(now),
            rejected: self.fence.rejections(),
            refusing: self.fence.refusing(),
            quarantined: self.quarantine.status(now.time),
            evacuated: self.directory.orders().in_force().map(evacuation).collect(),
            reader_rank: self.peers.rank(now.time),
            source_age_ms: self.watch.contact_age(now.time).map(|age| age.as_millis() as u64),
            stale_source: None,
            members: self.members(now),
            instance: self.settings.instance.clone(),
            address: self.settings.address,
            service: self.settings.service.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.settings.incarnation,
            state: if self.leaving { State::Leaving } else { State::Live },
        }
    }

    fn members(&self, now: Now) -> Vec<status::Member> {
        let member = |entry: &Entry| status::Member {
            instance: entry.id.clone(),
            address: self.node_of(entry),
            service: entry.service.clone(),
            data_centre: entry.data_centre.clone(),
            state: self.state_of(entry, now),
        };
        self.directory.entries().map(member).collect()
    }

    pub(super) fn build_view(&self, now: Now) -> View {
        // The entry of a dead upstream stays until it expires; a replacement may already use the same
        // address, and its entry was written later.
        let era = self.directory.era();
        let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
        for entry in self.directory.entries() {
            let revision = latest.entry(entry.address).or_default();
            if era.is_later(entry.revision, *revision) {
                *revision = entry.revision;
            }
        }
        let mut view = View::default();
        for entry in self.directory.entries() {
            if latest.get(&entry.address) == Some(&entry.revision) {
                view.add(&entry.service, self.upstream(entry, now));
            }
        }
        view
    }

    fn upstream(&self, entry: &Entry, now: Now) -> Upstream {
        let node = self.node_of(entry);
        Upstream {
            address: node,
            traffic: SocketAddr::new(node.ip(), self.settings.traffic_port),
            instance: entry.id.clone(),
            incarnation: self.peers.incarnation(node),
            identity: Some(entry.id.as_str().into()),
            started_ms: entry.started_ms,
            data_centre: entry.data_centre.clone(),
            near: entry.data_centre == self.settings.data_centre,
            state: self.state_of(entry, now),
            slots: entry.slots,
            cold_until: self.cold_until.get(&entry.id).copied().unwrap_or_default(),
            readmitted_at: self.readmitted_at.get(&entry.data_centre).copied(),
        }
    }

    /// Returns the routing state of an upstream.
    fn state_of(&self, entry: &Entry, now: Now) -> State {
        if entry.standing == Standing::Leaving {
            return State::Leaving;
        }
        if self.directory.orders().is_evacuated(&entry.data_centre) {
            return State::Evacuated;
        }
        if entry.address == self.settings.upstream {
            return State::Live;
        }
        match self.peers.liveness(self.node_of(entry), now.time) {
            Liveness::Alive if self.peers.is_unreachable(&entry.data_centre) => State::Unreachable,
            Liveness::Alive => State::Live,
            Liveness::Leaving | Liveness::Unreachable => State::Unreachable,
        }
    }

    pub(super) fn node_of(&self, entry: &Entry) -> SocketAddr {
        SocketAddr::new(entry.address.ip(), self.settings.address.port())
    }
}

fn evacuation(order: &Order) -> status::Evacuation {
    status::Evacuation { data_centre: order.data_centre.clone(), revision: order.revision }
}
