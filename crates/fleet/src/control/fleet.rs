//! Membership: heartbeats, anti-entropy, failure handling and the platform's list of instances.

use std::net::SocketAddr;

use super::{Control, Effect, LEAVE_FANOUT, SYNC_INTERVAL, SYNC_TIMEOUT};
use crate::{
    clock::Now,
    member::{Record, State},
    message::{Heartbeat, Request, Sender, Sync},
    roster::{Change, Propagation, RECORDS_PER_SYNC, RUMOURS_PER_HEARTBEAT},
    source::Listing,
    timeline::Kind,
};

/// Share of instances that may disappear between two lists, in %. A list that lacks more removes
/// none.
const MAX_SHRINK_PERCENT: usize = 50;

/// Previous list length from which [`MAX_SHRINK_PERCENT`] applies.
const MIN_SHRINK_CHECK_LEN: usize = 4;

impl Control {
    pub(super) fn handle_heartbeat(&mut self, heartbeat: Heartbeat, now: Now) {
        self.clock.observe(heartbeat.stamp, now);
        self.learn_all(heartbeat.from.address, &heartbeat.rumours, now);
        self.announce_pending |= self.quarantine.merge(&heartbeat.reports, now.time);
        if let Some(contact) = heartbeat.contact
            && heartbeat.data_centre == self.roster.own().data_centre
        {
            self.schedule.observe(contact, now.time);
        }
        self.observe_version(heartbeat.from.address, heartbeat.version, now);
        let known = self.roster.get(heartbeat.from.address).map(|r| r.incarnation);
        let is_newer_incarnation = known < Some(heartbeat.from.incarnation);
        if is_newer_incarnation || heartbeat.members != self.roster.digest() {
            self.start_sync(heartbeat.from, now);
        } else {
            self.roster.record_agreement();
        }
    }

    /// Responds to an anti-entropy exchange: merges the sender's records and returns those it
    /// lacks.
    pub(super) fn handle_sync(&mut self, sync: Sync, now: Now) -> Sync {
        self.learn_all(sync.from.address, &sync.records, now);
        let records = self.roster.differing(&sync.buckets);
        Sync { from: self.sender(), buckets: self.roster.buckets(), records }
    }

    pub(super) fn handle_sync_response(&mut self, peer: SocketAddr, sync: Sync, now: Now) {
        let before = self.roster.digest();
        self.learn_all(peer, &sync.records, now);
        let learned = self.roster.digest() != before;
        if learned && sync.records.len() >= RECORDS_PER_SYNC {
            // The response was truncated, so request the rest. Stops once nothing new arrives,
            // since the tables may not converge.
            cov_mark::hit!(sync_goes_on);
            return self.send_sync(peer, self.roster.buckets());
        }
        let missing = self.roster.differing(&sync.buckets);
        let theirs = |r: &Record| sync.records.contains(r);
        let records: Vec<Record> = missing.into_iter().filter(|r| !theirs(r)).collect();
        if records.is_empty() {
            return;
        }
        let push = Sync { from: self.sender(), buckets: self.roster.buckets(), records };
        self.effects.push(Effect::Send(peer, Request::Sync(push), SYNC_TIMEOUT));
    }

    pub(super) fn suspect(&mut self, peer: SocketAddr, now: Now) {
        if !self.prober.record_failure(now.time) {
            return;
        }
        match self.roster.get(peer).map(|r| r.state) {
            Some(State::Live) => self.set_state(peer, State::Suspect, now),
            // A leaving node takes no work and never returns to it in this incarnation.
            Some(State::Leaving) => self.set_state(peer, State::Gone, now),
            _ => {}
        }
    }

    pub(super) fn set_state(&mut self, peer: SocketAddr, state: State, now: Now) {
        let Some(old) = self.roster.get(peer) else { return };
        let record = Record { state, ..old.clone() };
        self.learn(&record, Propagation::Gossip, now);
    }

    /// Merges the records of a message and reports invalid ones.
    ///
    /// A bulk transfer is not gossiped on: after a restart of the whole fleet, all nodes receive
    /// the same records by anti-entropy, and gossip about them would only delay other changes.
    fn learn_all(&mut self, peer: SocketAddr, records: &[Record], now: Now) {
        let bulk = records.len() > RUMOURS_PER_HEARTBEAT;
        let propagation = if bulk { Propagation::Local } else { Propagation::Gossip };
        for record in records {
            match record.fault() {
                None => self.learn(record, propagation, now),
                Some(reason) => {
                    self.record(Kind::BadMessage { peer, reason: reason.to_owned() }, now)
                }
            }
        }
    }

    /// Merges one record into the membership table.
    pub(super) fn learn(&mut self, record: &Record, propagation: Propagation, now: Now) {
        let before = self.roster.get(record.address).map(|r| (r.incarnation, r.state));
        let change = self.roster.learn(record, propagation, now.time);
        match change {
            Change::None => return,
            Change::LeaveRequested => return self.leave(now),
            Change::Minor => {}
            Change::Major | Change::Refuted => self.announce_pending = true,
        }
        self.view_stale = true;
        if change != Change::Refuted {
            self.record_change(record, before, now);
        }
    }

    /// Merges the platform's list: it adds addresses and marks nodes as leaving or gone, but never
    /// revives one.
    pub(super) fn handle_listing(&mut self, listing: Listing, now: Now) {
        if listing.revision < self.listing_revision {
            self.record(Kind::SourceStale { revision: listing.revision }, now);
            return;
        }
        self.listing_revision = listing.revision;
        let own = self.roster.own().clone();
        for listed in listing.instances.iter().filter(|i| i.address != own.address) {
            if !self.candidates.contains(&listed.address) {
                self.candidates.push(listed.address);
            }
        }
        for listed in listing.instances.iter().filter(|i| i.leaving) {
            if listed.address == own.address && listed.instance == own.instance {
                self.leave(now);
            } else if self.is_active(listed.address, &listed.instance) {
                self.set_state(listed.address, State::Leaving, now);
            }
        }
        self.remove_unlisted(&listing, now);
        if self.roster.others().next().is_none() {
            // All seed nodes of the settings were outdated.
            self.contact_seeds(now);
        }
    }

    /// Marks instances that are no longer listed as leaving or gone.
    fn remove_unlisted(&mut self, listing: &Listing, now: Now) {
        let present: std::collections::BTreeMap<SocketAddr, String> =
            listing.instances.iter().map(|i| (i.address, i.instance.clone())).collect();
        let removed: Vec<(SocketAddr, String)> = self
            .listing
            .iter()
            .filter(|(address, instance)| present.get(*address) != Some(*instance))
            .map(|(&address, instance)| (address, instance.clone()))
            .collect();
        let before = self.listing.len();
        if before >= MIN_SHRINK_CHECK_LEN && removed.len() * 100 > before * MAX_SHRINK_PERCENT {
            // A platform that lost its records lists almost no instance; removing the others would
            // take their upstreams out of service.
            cov_mark::hit!(listing_shrinks);
            return;
        }
        self.candidates.retain(|a| present.contains_key(a) || self.settings.seeds.contains(a));
        self.listing = present;
        for (address, instance) in removed {
            let state = match self.roster.get(address) {
                Some(r) if r.instance == instance && r.state == State::Unreachable => State::Gone,
                Some(r) if r.instance == instance && !r.state.is_final() => State::Leaving,
                _ => continue,
            };
            self.set_state(address, state, now);
        }
    }

    pub(super) fn leave(&mut self, now: Now) {
        if self.roster.own().state.is_final() {
            return;
        }
        self.announce_departure(State::Leaving, now);
        self.effects.push(Effect::Drain);
    }

    pub(super) fn stop(&mut self, now: Now) {
        if self.roster.own().state != State::Gone {
            self.announce_departure(State::Gone, now);
        }
    }

    fn announce_departure(&mut self, state: State, now: Now) {
        let peer = self.roster.own().address;
        self.roster.update_own(state, now.time);
        self.view_stale = true;
        let kind = if state == State::Gone { Kind::Gone { peer } } else { Kind::Leaving { peer } };
        self.record(kind, now);
        let targets = self.roster.sample(LEAVE_FANOUT, &mut self.random, |r| r.state.takes_work());
        for target in targets {
            self.send_heartbeat(target, now);
        }
    }

    fn start_sync(&mut self, peer: Sender, now: Now) {
        if now.time < self.sync_due {
            return;
        }
        self.sync_due = now.time + SYNC_INTERVAL;
        self.send_sync(peer.address, self.roster.buckets());
    }

    fn is_active(&self, address: SocketAddr, instance: &str) -> bool {
        self.roster.get(address).is_some_and(|r| r.instance == instance && !r.state.is_final())
    }

    fn record_change(&mut self, record: &Record, before: Option<(u64, State)>, now: Now) {
        let peer = record.address;
        let same_incarnation = before.filter(|(incarnation, _)| *incarnation == record.incarnation);
        let kind = match (same_incarnation.map(|(_, state)| state), record.state) {
            (Some(old), new) if old == new => return,
            // Records never contain this state.
            (_, State::Evacuated) => return,
            (_, State::Suspect) => Kind::Suspected { peer },
            (_, State::Unreachable) => Kind::Unreachable { peer },
            (_, State::Leaving) => Kind::Leaving { peer },
            (_, State::Gone) => Kind::Gone { peer },
            (None, State::Live) => Kind::Joined { peer },
            (Some(_), State::Live) => Kind::Returned { peer },
        };
        self.record(kind, now);
    }
}
