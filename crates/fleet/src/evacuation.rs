//! Operators' orders to evacuate data centres.
//!
//! While a data centre is evacuated, nobody sends work to its upstreams. An order and its withdrawal
//! carry the platform's revision at which they were written, and of each data centre the later one
//! holds, in whatever order they are heard.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, ops::Not};

/// Most data centres whose orders are remembered; bounds memory and whole copies of the list.
pub const MAX_ORDERS: usize = 256;

/// The latest order about one data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Which data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Revision at which the platform wrote it.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Whether work may go there again.
    #[serde(default, rename = "w", skip_serializing_if = "Not::not")]
    pub withdrawn: bool,
}

/// One copy of all orders.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    latest: BTreeMap<String, Order>,
    /// Highest revision of an order that was dropped for want of room; older ones are not believed.
    floor: u64,
    changed: Vec<Order>,
}

impl Orders {
    /// Tells whether no work may go to `data_centre`.
    ///
    /// ```
    /// use fleet::evacuation::{Order, Orders};
    /// let mut orders = Orders::default();
    /// orders.merge([Order { data_centre: "a".to_owned(), revision: 7, withdrawn: false }]);
    /// assert!(orders.is_evacuated("a") && !orders.is_evacuated("b"));
    /// ```
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.latest.get(data_centre).is_some_and(|order| !order.withdrawn)
    }

    /// Iterates over the orders in force.
    pub fn in_force(&self) -> impl Iterator<Item = &Order> {
        self.latest.values().filter(|order| !order.withdrawn)
    }

    /// Takes in orders that were heard.
    pub fn merge(&mut self, orders: impl IntoIterator<Item = Order>) {
        for order in orders {
            self.put(order);
        }
    }

    /// Takes in every order in force at `revision`; others of that time were withdrawn.
    pub fn replace(&mut self, orders: Vec<Order>, revision: u64) {
        let is_named = |name: &str| orders.iter().any(|order| order.data_centre == name);
        let missing =
            self.in_force().filter(|o| o.revision <= revision && !is_named(&o.data_centre));
        let withdrawal = |order: &Order| Order { withdrawn: true, revision, ..order.clone() };
        let withdrawn: Vec<Order> = missing.map(withdrawal).collect();
        self.merge(orders);
        self.merge(withdrawn);
    }

    /// Returns the orders after revision `base`, withdrawals included; none asks for all.
    pub fn since(&self, base: Option<u64>) -> Vec<Order> {
        let is_newer = |order: &&Order| base.is_none_or(|base| order.revision > base);
        self.latest.values().filter(is_newer).cloned().collect()
    }

    /// Takes the orders that have changed since the last time.
    pub fn take_changed(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.changed)
    }

    fn put(&mut self, order: Order) {
        let known = self.latest.get(&order.data_centre).map(|o| (o.revision, o.withdrawn));
        let (latest, was_withdrawn) = known.unwrap_or((self.floor, true));
        if order.revision <= latest || (known.is_none() && !self.make_room()) {
            return;
        }
        self.latest.insert(order.data_centre.clone(), order.clone());
        if was_withdrawn != order.withdrawn {
            self.changed.push(order);
        }
    }

    /// Returns whether one more data centre can be remembered; forgets the oldest withdrawal if need be.
    fn make_room(&mut self) -> bool {
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
