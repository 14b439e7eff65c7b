//! Simulated platform store: configuration, entries of upstreams and evacuations under one revision.

use fleet::{
    directory::{Entry, Reason, Removal, Update},
    evacuation::Order,
    source::Changeset,
};
use model::{
    document::{Delta, Document},
    revision,
};
use std::collections::BTreeMap;

const CONFIG: &str = "config";

/// Deadline of the profile in configuration 0; each further one adds 1 ms.
pub(crate) const FIRST_DEADLINE_MS: u64 = 1_000;

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
    /// A configuration and its number.
    Config(Content, u64),
    /// An order to evacuate the data centre that the key names.
    Evacuation,
}

pub(crate) struct Store {
    /// Rises with each return to an older copy.
    era: u64,
    revision: u64,
    /// Number of the operators' newest configuration; a restore does not change it.
    version: u64,
    values: BTreeMap<String, (u64, Value)>,
    /// All writes, in order.
    log: Vec<(u64, String, Value)>,
    /// Revision up to which the history is compacted.
    compacted: u64,
    /// Number of routes in the configuration.
    pub(crate) routes: usize,
    /// Number of routes that each version changes.
    pub(crate) changed_routes: usize,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            era: 0,
            revision: 1,
            version: 0,
            values: BTreeMap::new(),
            log: Vec::new(),
            compacted: 1,
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

    /// Returns the revision of the last write.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of the operators' newest configuration.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns to the state at `revision`, as from a copy; later revisions are given out again.
    pub(crate) fn restore(&mut self, revision: u64) {
        self.era += 1;
        self.log.retain(|(at, ..)| *at <= revision);
        self.revision = revision;
        self.values.clear();
        for (at, key, value) in &self.log {
            self.values.insert(key.clone(), (*at, value.clone()));
        }
    }

    /// Publishes a new configuration; returns its number, which is its revision.
    pub(crate) fn publish(&mut self, content: Content) -> u64 {
        self.version += 1;
        self.put(CONFIG.to_owned(), Value::Config(content, self.version));
        self.version
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
        self.values.insert(key.clone(), (self.revision, value.clone()));
        self.log.push((self.revision, key, value));
        self.revision
    }

    /// Removes all history, as a compaction does.
    pub(crate) fn compact(&mut self) {
        self.compacted = self.revision;
    }

    /// Returns whether there is no history from revision `after`: it was compacted, or is of another era.
    pub(crate) fn lacks_history(&self, after: u64) -> bool {
        let (era, number) = (revision::era(after), revision::number(after));
        era != self.era || number < self.compacted || number > self.revision
    }

    /// Returns the changes after revision `after`, or a full copy.
    pub(crate) fn changeset(&self, after: Option<u64>) -> Changeset {
        let changeset = self.numbered_changeset(after.map(revision::number));
        let list = changeset.list.in_era(self.era).expect("the revisions are small");
        Changeset { revision: list.revision, list, ..changeset }
    }

    fn numbered_changeset(&self, after: Option<u64>) -> Changeset {
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
                Value::Config(content, number) => {
                    changeset.config = Some(self.config(*number, *content));
                }
                Value::Evacuation => {}
            }
        }
        changeset.list.orders = Some(orders);
        changeset
    }

    fn config(&self, number: u64, content: Content) -> Delta {
        let mut delta = documents(number, self.routes, self.changed_routes);
        if content == Content::Invalid {
            delta.documents[0].text = "{\"deadline_ms\": -1}".into();
        }
        delta
    }
}

/// Returns the documents of a configuration with `routes` routes; `number` makes the profile and the first
/// `changed_routes` routes unique to this version.
fn documents(number: u64, routes: usize, changed_routes: usize) -> Delta {
    let document = |key: &str, text: String| Document {
        key: key.to_owned(),
        modified: number,
        text: text.into(),
    };
    let mut documents = vec![
        document("profiles/p", format!("{{\"deadline_ms\": {}}}", FIRST_DEADLINE_MS + number)),
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
    Delta { revision: number, full: true, documents, ..Delta::default() }
}
