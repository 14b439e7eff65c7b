//! Operators' orders to evacuate data centres.
//!
//! No node sends work to the upstreams of an evacuated data centre. Orders and withdrawals carry the
//! platform's revision at which they were written; per data centre the higher one wins, in any order of
//! arrival.

use model::revision;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, ops::Not};

use crate::era::Era;

/// Maximum number of data centres whose orders are held; bounds memory and message size.
pub const MAX_ORDERS: usize = 256;

/// The latest order for one data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Revision at which the platform wrote it.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Whether the evacuation is over.
    #[serde(default, rename = "w", skip_serializing_if = "Not::not")]
    pub withdrawn: bool,
}

/// One replica of all orders.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    latest: BTreeMap<String, Order>,
    /// Orders that a copy of the store shows, although they were withdrawn before it came back.
    withdrawn_before: BTreeMap<String, Order>,
    /// Highest revision of a withdrawal evicted at capacity; orders up to it are ignored.
    floor: u64,
    changed: Vec<Order>,
}

impl Orders {
    /// Returns whether `data_centre` is evacuated.
    ///
    /// ```
    /// use fleet::{era::Era, evacuation::{Order, Orders}};
    /// let mut orders = Orders::default();
    /// let order = Order { data_centre: "a".to_owned(), revision: 7, withdrawn: false };
    /// orders.merge([order], Era::default());
    /// assert!(orders.is_evacuated("a") && !orders.is_evacuated("b"));
    /// ```
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.latest.get(data_centre).is_some_and(|order| !order.withdrawn)
    }

    /// Iterates over the orders in force.
    pub fn in_force(&self) -> impl Iterator<Item = &Order> {
        self.latest.values().filter(|order| !order.withdrawn)
    }

    /// Merges received orders; those that may be of a copy do not revive what was withdrawn.
    pub fn merge(&mut self, orders: impl IntoIterator<Item = Order>, era: Era) {
        for order in orders {
            let latest = self.latest.get(&order.data_centre).map(|latest| latest.revision);
            if latest.is_some_and(|latest| era.is_copy(order.revision, latest)) {
                self.put_copy(order);
            } else {
                self.put(order);
            }
        }
    }

    /// Merges the complete set of orders in force at `revision`; others up to it were withdrawn.
    ///
    /// That it lacks an order of an earlier era says nothing until operators had time to write it again.
    pub fn replace(&mut self, orders: Vec<Order>, revision: u64, era: Era) {
        let is_named = |name: &str| orders.iter().any(|order| order.data_centre == name);
        let missing = self
            .in_force()
            .filter(|o| revision::era(o.revision) == revision::era(revision))
            .filter(|o| o.revision <= revision && !is_named(&o.data_centre));
        let withdrawal = |order: &Order| Order { withdrawn: true, revision, ..order.clone() };
        let withdrawn: Vec<Order> = missing.map(withdrawal).collect();
        self.merge(orders, era);
        self.merge(withdrawn, era);
    }

    /// Withdraws the orders of earlier eras and puts those into force that the store still shows.
    pub(crate) fn settle(&mut self, era: Era) {
        let origin = era.origin();
        let earlier = self.in_force().filter(|o| revision::era(o.revision) < revision::era(origin));
        let withdrawal =
            |order: &Order| Order { withdrawn: true, revision: origin, ..order.clone() };
        let mut settled: Vec<Order> = earlier.map(withdrawal).collect();
        let copies = std::mem::take(&mut self.withdrawn_before).into_values();
        settled.extend(copies.filter(|o| revision::era(o.revision) == revision::era(origin)));
        settled.into_iter().for_each(|order| self.put(order));
    }

    /// Returns the orders and withdrawals after revision `base`, or all if there is none.
    pub fn since(&self, base: Option<u64>) -> Vec<Order> {
        let is_newer = |order: &&Order| base.is_none_or(|base| order.revision > base);
        self.latest.values().filter(is_newer).cloned().collect()
    }

    /// Takes the orders that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.changed)
    }

    /// Merges an order that may be older than the latest one, and so does not replace a withdrawal.
    fn put_copy(&mut self, order: Order) {
        let Some(latest) = self.latest.get_mut(&order.data_centre) else { return };
        match latest.withdrawn {
            true => drop(self.withdrawn_before.insert(order.data_centre.clone(), order)),
            false => latest.revision = order.revision,
        }
    }

    fn put(&mut self, order: Order) {
        let known = self.latest.get(&order.data_centre).map(|o| (o.revision, o.withdrawn));
        let (latest, was_withdrawn) = known.unwrap_or((self.floor, true));
        if order.revision <= latest || (known.is_none() && !self.ensure_capacity()) {
            return;
        }
        self.withdrawn_before.remove(&order.data_centre);
        self.latest.insert(order.data_centre.clone(), order.clone());
        if was_withdrawn != order.withdrawn {
            self.changed.push(order);
        }
    }

    /// Returns whether one more data centre fits; evicts the oldest withdrawal at capacity.
    fn ensure_capacity(&mut self) -> bool {
        if self.latest.len() < MAX_ORDERS {
            return true;
        }
        let withdrawn = self.latest.values().filter(|order| order.withdrawn);
        let Some(oldest) = withdrawn.min_by_key(|order| order.revision).cloned() else {
            return false;
        };
        self.floor = self.floor.max(oldest.revision);
        self.latest.remove(&oldest.data_centre);
        true
    }
}
