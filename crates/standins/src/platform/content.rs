//! Content of the platform under one revision, which can be copied and restored.

use fleet::{
    directory::{Entry, Removal, Update},
    evacuation::Order,
    source::Changeset,
};
use model::document::Set;
use std::collections::BTreeMap;

/// What the platform holds: configuration, upstreams and evacuation orders, under one revision.
#[derive(Clone, Debug, Default)]
pub struct Content {
    pub(super) set: Set,
    /// Upstreams by id, with the revision of their last write; the entry is `None` after removal.
    upstreams: BTreeMap<String, (u64, Option<Entry>)>,
    /// Latest evacuation order by data centre.
    orders: BTreeMap<String, Order>,
    /// Revision shared by configuration, upstreams and orders.
    pub(super) revision: u64,
    /// Value of `revision` at the last write of the configuration.
    config_revision: u64,
}

impl Content {
    /// Returns the content of a platform without any writes.
    pub(super) fn new() -> Self {
        Content { revision: 1, ..Content::default() }
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    pub(super) fn write_set(&mut self, set: Set) {
        self.set = set;
        self.config_revision = self.next_revision();
    }

    pub(super) fn write_upstream(&mut self, id: &str, entry: Option<Entry>) -> u64 {
        let revision = self.next_revision();
        let entry = entry.map(|entry| Entry { revision, ..entry });
        self.upstreams.insert(id.to_owned(), (revision, entry));
        revision
    }

    pub(super) fn write_order(&mut self, data_centre: &str, withdrawn: bool) {
        let revision = self.next_revision();
        let data_centre = data_centre.to_owned();
        self.orders.insert(data_centre.clone(), Order { data_centre, revision, withdrawn });
    }

    /// Writes everything of `written` that differs.
    pub(super) fn write_again(&mut self, written: Content) {
        if self.set.version() != written.set.version() {
            self.write_set(written.set);
        }
        let text = |entry: &Option<Entry>| entry.clone().map(|e| Entry { revision: 0, ..e });
        for (id, (_, entry)) in written.upstreams {
            if self.upstreams.get(&id).map(|(_, held)| text(held)) != Some(text(&entry)) {
                self.write_upstream(&id, entry);
            }
        }
        for (data_centre, order) in written.orders {
            if self.orders.get(&data_centre).map(|held| held.withdrawn) != Some(order.withdrawn) {
                self.write_order(&data_centre, order.withdrawn);
            }
        }
    }

    /// Returns everything written after revision `after`, or the full state if that is 0.
    pub(super) fn changeset(&self, after: u64) -> Changeset {
        let base = Some(after).filter(|&after| after > 0);
        let list = Update { revision: self.revision, base, ..Update::default() };
        let mut changes = Changeset { revision: self.revision, list, ..Changeset::default() };
        if self.config_revision > after {
            changes.config = Some(self.set.since(None));
        }
        for (id, (revision, entry)) in &self.upstreams {
            match entry {
                _ if *revision <= after => {}
                Some(entry) => changes.list.entries.push(entry.clone()),
                None if base.is_none() => {}
                None => changes.list.removed.push(Removal {
                    id: id.clone(),
                    revision: *revision,
                    ..Removal::default()
                }),
            }
        }
        let is_new =
            |order: &&Order| order.revision > after && (base.is_some() || !order.withdrawn);
        changes.list.orders = Some(self.orders.values().filter(is_new).cloned().collect());
        changes
    }
}
