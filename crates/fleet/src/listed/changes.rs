//! Effects of list changes: timeline events, cold upstreams and readmitted data centres.

use model::{revision, service, time::Time};
use std::{net::SocketAddr, time::Duration};

use crate::{
    clock::Now,
    directory::{Change, Entry},
    evacuation::Order,
    listed::Control,
    timeline::Kind,
};

/// How long the withdrawal of an evacuation is kept; the longest time that an upstream can stay cold.
const READMISSION_RETENTION: Duration = Duration::from_millis(*service::COLD_MS.end());

impl Control {
    pub(super) fn record_changes(
        &mut self,
        changes: Vec<(Entry, Change)>,
        from: Option<SocketAddr>,
        now: Now,
    ) {
        for (entry, change) in changes {
            self.peers.add_listed(self.node_of(&entry), &entry.data_centre, now.time);
            self.view_stale = true;
            self.update_cold_until(&entry, change, now.time);
            if change == Change::Revised {
                continue;
            }
            let kind = Kind::Upstream {
                id: entry.id,
                service: entry.service,
                address: entry.address,
                change: change.name().to_owned(),
                revision: revision::number(self.directory.revision()),
                from,
            };
            self.record(kind, now);
        }
    }

    /// Updates when an upstream counts as warm. It may be warm earlier, by the delay with which the change
    /// arrived.
    fn update_cold_until(&mut self, entry: &Entry, change: Change, now: Time) {
        match change {
            // The removal is pending, so the last entry still applies.
            Change::RemovalPending => {}
            _ if change == Change::Gone || entry.cold_ms == 0 => {
                self.cold_until.remove(&entry.id);
            }
            _ => {
                let until = now + Duration::from_millis(entry.cold_ms);
                self.cold_until.insert(entry.id.clone(), until);
            }
        }
    }

    pub(super) fn record_orders(&mut self, orders: Vec<Order>, from: Option<SocketAddr>, now: Now) {
        self.readmitted_at.retain(|_, at| now.time.since(*at) < READMISSION_RETENTION);
        for Order { data_centre, revision, withdrawn } in orders {
            self.view_stale = true;
            if withdrawn {
                self.readmitted_at.insert(data_centre.clone(), now.time);
            }
            let revision = revision::number(revision);
            self.record(Kind::Evacuation { data_centre, withdrawn, revision, from }, now);
        }
    }
}
