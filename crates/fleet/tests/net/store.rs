//! Simulated platform store: configuration, entries of upstreams and evacuations under one revision.

use fleet::{
    directory::{Entry, Reason, Removal, Update},
    evacuation::Order,
    source::Changeset,
};
use model::document::{Delta, Document};
use std::collections::BTreeMap;

const CONFIG: &str = "config";
const SERVERS: &str = "servers/";
const EVACUATIONS: &str = "evacuations/";

/// Whether a configuration is valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Content {
    Valid,
    Invalid,
}

/// Value of a key.
#[derive(Clone)]
pub(crate) enum Value {
    Entry(Entry),
    Deleted,
    Malformed,
    Config(Content),
    /// An order to evacuate the data centre that the key names.
    Evacuation,
}

pub(crate) struct Store {
    revision: u64,
    values: BTreeMap<String, (u64, Value)>,
    /// Writes since the last compaction, in order.
    history: Vec<(u64, String)>,
    /// Number of routes in the configuration.
    pub(crate) routes: usize,
    /// Number of routes that each version changes.
    pub(crate) changed_routes: usize,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            revision: 1,
            values: BTreeMap::new(),
            history: Vec::new(),
            routes: 0,
            changed_routes: 0,
        }
    }
}

impl Store {
    /// Returns the revision of the next write.
    pub(crate) fn next(&self) -> u64 {
        self.revision + 1
    }

    /// Publishes a new configuration; returns its revision.
    pub(crate) fn publish(&mut self, content: Content) -> u64 {
        self.put(CONFIG.to_owned(), Value::Config(content))
    }

    /// Writes the value of the upstream `id`; returns the revision.
    pub(crate) fn write(&mut self, id: &str, value: Value) -> u64 {
        self.put(format!("{SERVERS}{id}"), value)
    }

    /// Writes or removes the order to evacuate `data_centre`; returns the revision.
    pub(crate) fn write_order(&mut self, data_centre: &str, value: Value) -> u64 {
        self.put(format!("{EVACUATIONS}{data_centre}"), value)
    }

    fn put(&mut self, key: String, value: Value) -> u64 {
        self.revision += 1;
        self.values.insert(key.clone(), (self.revision, value));
        self.history.push((self.revision, key));
        self.revision
    }

    /// Removes all history, as a compaction does.
    pub(crate) fn compact(&mut self) {
        self.history.clear();
    }

    /// Returns whether writes after revision `after` were compacted.
    pub(crate) fn is_compacted(&self, after: u64) -> bool {
        let oldest = self.history.first().map_or(self.revision, |(first, _)| first - 1);
        after < oldest
    }

    /// Returns the changes after revision `after`, or a full copy.
    pub(crate) fn changeset(&self, after: Option<u64>) -> Changeset {
        let list = Update { revision: self.revision, base: after, ..Update::default() };
        let mut changeset = Changeset { revision: self.revision, list, ..Changeset::default() };
        let is_new = |revision: u64| after.is_none_or(|after| revision > after);
        let mut orders = Vec::new();
        for (key, (revision, value)) in self.values.iter().filter(|(_, (at, _))| is_new(*at)) {
            if let Some(data_centre) = key.strip_prefix(EVACUATIONS) {
                let withdrawn = matches!(value, Value::Deleted);
                if !withdrawn || after.is_some() {
                    let data_centre = data_centre.to_owned();
                    orders.push(Order { data_centre, revision: *revision, withdrawn });
                }
                continue;
            }
            let id = key.trim_start_matches(SERVERS).to_owned();
            let removal = Removal { id, revision: *revision, ..Removal::default() };
            match value {
                Value::Entry(entry) => changeset.list.entries.push(entry.clone()),
                Value::Deleted if after.is_some() => changeset.list.removed.push(removal),
                Value::Deleted => {}
                Value::Malformed => {
                    changeset.list.removed.push(Removal { reason: Reason::Unusable, ..removal });
                }
                Value::Config(content) => changeset.config = Some(self.config(*revision, *content)),
                Value::Evacuation => {}
            }
        }
        changeset.list.orders = Some(orders);
        changeset
    }

    fn config(&self, revision: u64, content: Content) -> Delta {
        let mut delta = documents(revision, revision, self.routes, self.changed_routes);
        if content == Content::Invalid {
            delta.documents[0].text = "{\"deadline_ms\": -1}".into();
        }
        delta
    }
}

/// Returns the documents of a configuration with `routes` routes; `number` makes the profile and the first
/// `changed_routes` routes unique to this version.
fn documents(revision: u64, number: u64, routes: usize, changed_routes: usize) -> Delta {
    let document = |key: &str, text: String| Document {
        key: key.to_owned(),
        modified: revision,
        text: text.into(),
    };
    let mut documents = vec![
        document("profiles/p", format!("{{\"deadline_ms\": {}}}", 1_000 + number)),
        document("services/shelfview", "{\"profile\": \"p\"}".to_owned()),
    ];
    documents.extend((0..routes).map(|route| {
        let time = if route < changed_routes { 3_000 + number } else { 3_000 };
        let text = format!(
            "{{\"host\": \"shop.example\", \"prefix\": \"/p{route}/\", \"kind\": \"idempotent\", \
             \"attempts\": 2, \"timeout_ms\": {time}, \"objective_ms\": 1000, \"priority\": 2, \
             \"targets\": [{{\"service\": \"shelfview\"}}]}}"
        );
        document(&format!("routes/r-{route}"), text)
    }));
    Delta { revision, full: true, documents, ..Delta::default() }
}
