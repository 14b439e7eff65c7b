//! How a node learns of others, and they of it.

use std::net::SocketAddr;

use super::{Control, END_TARGETS, Effect, SYNC_INTERVAL, SYNC_TIMEOUT};
use crate::{
    clock::Now,
    member::{Record, State},
    message::{Heartbeat, Request, Sender, Sync},
    roster::{Change, Propagation, RECORDS_PER_SYNC, RUMOURS_PER_BEAT},
    source::Listing,
    timeline::Kind,
};

/// A listing that lacks more than this share of the instances listed before, in %, is not
/// believed when it comes to removals.
const SHRINK_LIMIT_PERCENT: usize = 50;

/// Listings of fewer instances than this may shrink by any share.
const SHRINK_LEAST: usize = 4;

impl Control {
    pub(super) fn hear_beat(&mut self, beat: Heartbeat, now: Now) {
        self.clock.observe(beat.stamp, now);
        self.learn_all(beat.from.address, &beat.rumours, now);
        self.urgent |= self.quarantine.merge(&beat.reports, now.time);
        if let Some(contact) = beat.contact
            && beat.data_centre == self.roster.own().data_centre
        {
            self.schedule.observe(contact, now.time);
        }
        self.hear_version(beat.from.address, beat.version, now);
        let known = self.roster.get(beat.from.address).map(|r| r.incarnation);
        let newer_life = known < Some(beat.from.incarnation);
        if newer_life || beat.members != self.roster.digest() {
            self.start_sync(beat.from, now);
        } else {
            self.roster.note_agreement();
        }
    }

    /// Answers an exchange: takes the other side's records, returns those it lacks.
    pub(super) fn exchange(&mut self, sync: Sync, now: Now) -> Sync {
        self.learn_all(sync.from.address, &sync.records, now);
        let records = self.roster.differing(&sync.buckets);
        Sync { from: self.sender(), buckets: self.roster.buckets(), records }
    }

    pub(super) fn hear_sync(&mut self, peer: SocketAddr, sync: Sync, now: Now) {
        let before = self.roster.digest();
        self.learn_all(peer, &sync.records, now);
        let learned = self.roster.digest() != before;
        if learned && sync.records.len() >= RECORDS_PER_SYNC {
            // The answer was cut at its bound: there is more where it came from. Asking on only
            // after something was learned ends the exchange where the two tables cannot agree.
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
        if !self.prober.note_failure(now.time) {
            return;
        }
        match self.roster.get(peer).map(|r| r.state) {
            Some(State::Live) => self.judge(peer, State::Suspect, now),
            // It takes no work in either state, and nobody will hear from this life again.
            Some(State::Leaving) => self.judge(peer, State::Gone, now),
            _ => {}
        }
    }

    pub(super) fn judge(&mut self, peer: SocketAddr, state: State, now: Now) {
        let Some(old) = self.roster.get(peer) else { return };
        let record = Record { state, ..old.clone() };
        self.learn(&record, Propagation::Gossip, now);
    }

    /// Takes the records of a message into account; those that cannot be are reported.
    ///
    /// After a herd restart everyone learns of everyone in bulk; passing each of those records on
    /// with beats as well would fill the beats of hundreds of nodes for ten minutes.
    fn learn_all(&mut self, peer: SocketAddr, records: &[Record], now: Now) {
        let bulk = records.len() > RUMOURS_PER_BEAT;
        let propagation = if bulk { Propagation::Local } else { Propagation::Gossip };
        for record in records {
            match record.fault() {
                None => self.learn(record, propagation, now),
                Some(reason) => {
                    self.note(Kind::BadMessage { peer, reason: reason.to_owned() }, now)
                }
            }
        }
    }

    /// Takes one statement about a node into account.
    pub(super) fn learn(&mut self, record: &Record, propagation: Propagation, now: Now) {
        let before = self.roster.get(record.address).map(|r| (r.incarnation, r.state));
        let change = self.roster.learn(record, propagation, now.time);
        match change {
            Change::None => return,
            Change::LeaveRequested => return self.leave(now),
            Change::Minor => {}
            Change::Major | Change::Refuted => self.urgent = true,
        }
        self.view_stale = true;
        if change != Change::Refuted {
            self.note_change(record, before, now);
        }
    }

    /// Takes the platform's list into account: it adds addresses and ends lives, but never revives.
    pub(super) fn hear_listing(&mut self, listing: Listing, now: Now) {
        if listing.revision < self.listing_revision {
            self.note(Kind::SourceStale { revision: listing.revision }, now);
            return;
        }
        self.listing_revision = listing.revision;
        let own = self.roster.own().clone();
        for listed in listing.instances.iter().filter(|i| i.address != own.address) {
            if !self.contacts.contains(&listed.address) {
                self.contacts.push(listed.address);
            }
        }
        for listed in listing.instances.iter().filter(|i| i.leaving) {
            if listed.address == own.address && listed.instance == own.instance {
                self.leave(now);
            } else if self.is_working(listed.address, &listed.instance) {
                self.judge(listed.address, State::Leaving, now);
            }
        }
        self.remove_unlisted(&listing, now);
        if self.roster.others().next().is_none() {
            // The contacts of the settings were stale: every instance has been replaced since.
            self.ask_contacts(now);
        }
    }

    /// Ends the lives of instances that the platform no longer lists.
    fn remove_unlisted(&mut self, listing: &Listing, now: Now) {
        let present: std::collections::BTreeMap<SocketAddr, String> =
            listing.instances.iter().map(|i| (i.address, i.instance.clone())).collect();
        let lost: Vec<(SocketAddr, String)> = self
            .listed
            .iter()
            .filter(|(address, instance)| present.get(*address) != Some(*instance))
            .map(|(&address, instance)| (address, instance.clone()))
            .collect();
        let before = self.listed.len();
        if before >= SHRINK_LEAST && lost.len() * 100 > before * SHRINK_LIMIT_PERCENT {
            // A platform that lost its own records lists almost nobody. Believing it would take
            // every upstream out of service at once.
            cov_mark::hit!(listing_shrinks);
            return;
        }
        self.contacts.retain(|a| present.contains_key(a) || self.settings.seeds.contains(a));
        self.listed = present;
        for (address, instance) in lost {
            let state = match self.roster.get(address) {
                Some(r) if r.instance == instance && r.state == State::Unreachable => State::Gone,
                Some(r) if r.instance == instance && !r.state.is_final() => State::Leaving,
                _ => continue,
            };
            self.judge(address, state, now);
        }
    }

    pub(super) fn leave(&mut self, now: Now) {
        if self.roster.own().state.is_final() {
            return;
        }
        self.announce_end(State::Leaving, now);
        self.effects.push(Effect::Drain);
    }

    pub(super) fn stop(&mut self, now: Now) {
        if self.roster.own().state != State::Gone {
            self.announce_end(State::Gone, now);
        }
    }

    fn announce_end(&mut self, state: State, now: Now) {
        let peer = self.roster.own().address;
        self.roster.update_own(state, now.time);
        self.view_stale = true;
        let kind = if state == State::Gone { Kind::Gone { peer } } else { Kind::Leaving { peer } };
        self.note(kind, now);
        let targets = self.roster.sample(END_TARGETS, &mut self.random, |r| r.state.takes_work());
        for target in targets {
            self.send_beat(target, now);
        }
    }

    fn start_sync(&mut self, peer: Sender, now: Now) {
        if now.time < self.sync_due {
            return;
        }
        self.sync_due = now.time + SYNC_INTERVAL;
        self.send_sync(peer.address, self.roster.buckets());
    }

    fn is_working(&self, address: SocketAddr, instance: &str) -> bool {
        self.roster.get(address).is_some_and(|r| r.instance == instance && !r.state.is_final())
    }

    fn note_change(&mut self, record: &Record, before: Option<(u64, State)>, now: Now) {
        let peer = record.address;
        let same_life = before.filter(|(incarnation, _)| *incarnation == record.incarnation);
        let kind = match (same_life.map(|(_, state)| state), record.state) {
            (Some(old), new) if old == new => return,
            // Records never tell it.
            (_, State::Evacuated) => return,
            (_, State::Suspect) => Kind::Suspected { peer },
            (_, State::Unreachable) => Kind::Unreachable { peer },
            (_, State::Leaving) => Kind::Leaving { peer },
            (_, State::Gone) => Kind::Gone { peer },
            (None, State::Live) => Kind::Joined { peer },
            (Some(_), State::Live) => Kind::Returned { peer },
        };
        self.note(kind, now);
    }
}
