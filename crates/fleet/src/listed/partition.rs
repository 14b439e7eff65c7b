//! Which data centres are within reach, where no node hears every other one within seconds.
//!
//! Pattern: a data centre is cut off for six seconds. Among hundreds of nodes one hears each other one
//! every twenty seconds, so the silence of a node shows nothing in time; all of the silent data centre
//! together are heard every third of a second. Nodes also tell each other how long ago they themselves
//! heard of each data centre, which makes up for summaries that were drawn late or were lost. Only what the
//! sender heard itself counts: what was heard from others would be told round and round after the cut, a
//! little younger each time.

use model::time::Time;
use std::{collections::BTreeMap, time::Duration};

/// Silence of a whole data centre after which it counts as out of reach.
///
/// Nodes of the own data centre tell fifteen times a second how long ago they heard of the other one; that
/// none of thirty heard a word for so long, of two or three a second and node that come from elsewhere, is no
/// chance where there are enough of them.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Longest age of the last word of the own data centre with which the silence of others counts. A node
/// that hears nobody is cut off itself, or was starved, and learns nothing from silence.
const MAX_OWN_CONTACT_AGE: Duration = Duration::from_millis(600);

/// Fewest other nodes of the own data centre for each other data centre with which silence counts.
///
/// Four of them hear ten contacts of each in [`SILENCE_LIMIT`], in the mean; that there is none of ten is one chance in
/// twenty thousand. With fewer of them, or more data centres, it is a common one.
const MIN_OBSERVERS_PER_DATA_CENTRE: usize = 4;

/// Most nodes whose word about others arrives within [`SILENCE_LIMIT`].
const MAX_OBSERVERS: usize = 30;

/// Data centres that are remembered; another node's word names no more of them.
const MAX_DATA_CENTRES: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When a node of the data centre last spoke to this one.
    direct: Time,
    /// When it spoke to any node, as far as known.
    any: Time,
}

/// When each data centre was last heard of.
#[derive(Debug, Default)]
pub(super) struct Detector {
    contacts: BTreeMap<String, Contact>,
}

impl Detector {
    /// Notes that a node of `place` spoke to this one.
    pub(super) fn record_contact(&mut self, data_centre: &str, now: Time) {
        let contact = Contact { direct: now, any: now };
        if let Some(known) = self.contacts.get_mut(data_centre) {
            *known = contact;
        } else if self.contacts.len() < MAX_DATA_CENTRES {
            self.contacts.insert(data_centre.to_owned(), contact);
        }
    }

    /// Notes that another node heard of data centres so many milliseconds ago. Those that this node never
    /// heard of itself are left out.
    pub(super) fn merge_ages(&mut self, ages_ms: &BTreeMap<String, u64>, now: Time) {
        for (data_centre, age) in ages_ms {
            if let Some(contact) = self.contacts.get_mut(data_centre) {
                let age = Duration::from_millis(*age);
                let at = Time::at(now.since(Time::default()).saturating_sub(age));
                contact.any = contact.any.max(at);
            }
        }
    }

    /// Forgets the silence so far: this process did not run, so it heard nobody.
    pub(super) fn resume(&mut self, now: Time) {
        self.contacts.values_mut().for_each(|contact| contact.any = now);
    }

    /// Returns how long ago each data centre but `own` spoke to this node itself, in ms.
    pub(super) fn ages_ms(&self, own: &str, now: Time) -> BTreeMap<String, u64> {
        let others = self.contacts.iter().filter(|(data_centre, _)| *data_centre != own);
        others
            .map(|(data_centre, contact)| {
                (data_centre.clone(), now.since(contact.direct).as_millis() as u64)
            })
            .collect()
    }

    /// Returns the data centres that fell silent, as seen by a node of `own` with `observers` others beside it.
    pub(super) fn silent(&self, own: &str, observers: usize, now: Time) -> Vec<String> {
        let is_connected = self
            .contacts
            .get(own)
            .is_some_and(|contact| now.since(contact.direct) < MAX_OWN_CONTACT_AGE);
        let others = self.contacts.len().saturating_sub(1);
        if !is_connected || observers.min(MAX_OBSERVERS) < others * MIN_OBSERVERS_PER_DATA_CENTRE {
            return Vec::new();
        }
        let silent = |(data_centre, contact): &(&String, &Contact)| {
            *data_centre != own && now.since(contact.any) > SILENCE_LIMIT
        };
        self.contacts.iter().filter(silent).map(|(data_centre, _)| data_centre.clone()).collect()
    }
}
