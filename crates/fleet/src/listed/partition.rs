//! Detects unreachable data centres in fleets too large for every node to gossip with every other.
//!
//! Digests of all nodes of a data centre count together, and nodes exchange the age of their last
//! direct contact with each. Ages received from others are not passed on: they would circulate without
//! growing older.

use model::time::Time;
use std::{collections::BTreeMap, time::Duration};

/// Time without contact of any node after which a data centre counts as unreachable.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum age of the last contact within the local data centre for a verdict on others; a node without it
/// is isolated itself, or its process was stalled.
const MAX_OWN_CONTACT_AGE: Duration = Duration::from_millis(600);

/// Minimum number of other nodes of the local data centre per remote one for a verdict; with fewer, random
/// target selection alone can exceed [`CONTACT_TIMEOUT`].
///
/// Four nodes receive ten digests of each data centre within it on average; none of ten is a chance of one in twenty
/// thousand.
const MIN_OBSERVERS_PER_DATA_CENTRE: usize = 4;

/// Maximum number of nodes whose ages arrive within [`CONTACT_TIMEOUT`].
const MAX_OBSERVERS: usize = 30;

/// Maximum number of tracked data centres; bounds memory against malformed digests.
const MAX_DATA_CENTRES: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Last digest from the data centre to this node.
    direct: Time,
    /// Last known digest from it to any node.
    any: Time,
}

/// Last contact with each data centre.
#[derive(Debug, Default)]
pub(super) struct Detector {
    contacts: BTreeMap<String, Contact>,
}

impl Detector {
    /// Records a digest from a node of `data_centre`.
    pub(super) fn record_contact(&mut self, data_centre: &str, now: Time) {
        let contact = Contact { direct: now, any: now };
        if let Some(known) = self.contacts.get_mut(data_centre) {
            *known = contact;
        } else if self.contacts.len() < MAX_DATA_CENTRES {
            self.contacts.insert(data_centre.to_owned(), contact);
        }
    }

    /// Merges the contact ages of another node, in ms. Ignores data centres that this node has had no
    /// contact with.
    pub(super) fn merge_ages(&mut self, ages_ms: &BTreeMap<String, u64>, now: Time) {
        for (data_centre, age) in ages_ms {
            if let Some(contact) = self.contacts.get_mut(data_centre) {
                let age = Duration::from_millis(*age);
                let at = Time::at(now.since(Time::default()).saturating_sub(age));
                contact.any = contact.any.max(at);
            }
        }
    }

    /// Resets all ages after a pause of this process, during which it received nothing.
    pub(super) fn resume(&mut self, now: Time) {
        self.contacts.values_mut().for_each(|contact| contact.any = now);
    }

    /// Returns the age of this node's last direct contact with each data centre but `local`, in ms.
    pub(super) fn ages_ms(&self, local: &str, now: Time) -> BTreeMap<String, u64> {
        let others = self.contacts.iter().filter(|(data_centre, _)| *data_centre != local);
        others
            .map(|(data_centre, contact)| {
                (data_centre.clone(), now.since(contact.direct).as_millis() as u64)
            })
            .collect()
    }

    /// Returns the unreachable data centres, as seen from `local` with `observers` other nodes in it.
    pub(super) fn unreachable(&self, local: &str, observers: usize, now: Time) -> Vec<String> {
        let is_connected = self
            .contacts
            .get(local)
            .is_some_and(|contact| now.since(contact.direct) < MAX_OWN_CONTACT_AGE);
        let others = self.contacts.len().saturating_sub(1);
        if !is_connected || observers.min(MAX_OBSERVERS) < others * MIN_OBSERVERS_PER_DATA_CENTRE {
            return Vec::new();
        }
        let is_unreachable = |(data_centre, contact): &(&String, &Contact)| {
            *data_centre != local && now.since(contact.any) > CONTACT_TIMEOUT
        };
        self.contacts
            .iter()
            .filter(is_unreachable)
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }
}
