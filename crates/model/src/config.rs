//! A configuration version and the snapshot that is in force.
//!
//! Invariant *whole or nothing*: a [`Snapshot`] is built by [`build`] from every document of a
//! revision or not at all; no code changes one afterwards.

use serde::{Deserialize, Serialize};
use std::{collections::HashMap, fmt, sync::Arc};

use crate::{
    arena::{Arena, Key},
    document::{Document, MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, MAX_SET_BYTES, Set},
    fault::Fault,
    limits::{self, Limits},
    profile::{self, Profile},
    read,
    route::{self, Route, Target},
    service::{self, Service},
    table::Table,
};

/// Prefix of the keys that hold profiles.
pub const PROFILES: &str = "profiles/";

/// Prefix of the keys that hold services.
pub const SERVICES: &str = "services/";

/// Prefix of the keys that hold routes.
pub const ROUTES: &str = "routes/";

/// Most faults reported for one version; more would not help an operator and would cost memory.
const MAX_FAULTS: usize = 32;

/// Name of one state of the configuration.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// The platform's revision; 0 before any configuration is in force.
    pub revision: u64,
    /// Digest of all documents of that revision.
    pub digest: crate::document::Digest,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.revision, &self.digest.to_string()[..8])
    }
}

/// A checked, immutable configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The version it was built from.
    pub version: Version,
    profiles: Arena<Profile>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    services: Arena<Service>,
    by_name: HashMap<String, Key<Service>>,
    routes: Arena<Route>,
    table: Table,
    /// Route documents as read, by key: most are the same in the next version.
    drafts: HashMap<String, Read>,
}

/// A route document and what was read from it.
#[derive(Clone, Debug)]
struct Read {
    text: Arc<str>,
    draft: Arc<route::Draft>,
}

impl Snapshot {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.by_name.get(name).map(|&key| self.services.get(key))
    }

    /// Returns the profile that `service` runs under.
    pub fn profile(&self, service: &Service) -> &Profile {
        self.profiles.get(service.profile)
    }

    /// Returns the service that `key` was issued for by this snapshot.
    pub fn target(&self, key: Key<Service>) -> &Service {
        self.services.get(key)
    }

    /// Returns whether calls are addressed by routes, and not by the names of services.
    pub fn has_routes(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Finds the route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.table.find(host, path).map(|key| self.routes.get(key))
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter().map(|(_, route)| route)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().map(|(_, service)| service)
    }

    /// Returns the largest weight of convergence time against bytes of any profile in use.
    pub fn convergence_weight(&self) -> u32 {
        self.services().map(|s| self.profile(s).convergence_weight).max().unwrap_or(100)
    }
}

/// Builds the snapshot of `set`, or returns every reason (at most 32) why it is refused.
///
/// The same documents give the same answer on every node.
///
/// ```
/// use model::{config, document::Set};
/// let snapshot = config::build(&Set::default()).unwrap();
/// assert_eq!(snapshot.services().count(), 0);
/// ```
pub fn build(set: &Set) -> Result<Snapshot, Vec<Fault>> {
    rebuild(&Snapshot::default(), set)
}

/// Builds the snapshot of `set` like [`build`], without reading route documents again that
/// `former` was built from as well.
///
/// A configuration of 2,000 routes takes a slow core a tenth of a second to read whole, in which it
/// carries no calls; versions may come several times a second and change a few routes each.
pub fn rebuild(former: &Snapshot, set: &Set) -> Result<Snapshot, Vec<Fault>> {
    let mut faults = check_sizes(set);
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut snapshot = Snapshot { version: set.version(), ..Snapshot::default() };
    let profiles = add_profiles(set, &mut snapshot, &mut faults);
    add_services(set, &profiles, &mut snapshot, &mut faults);
    add_routes(former, set, &mut snapshot, &mut faults);
    if let Some(document) = set.iter().find(|d| d.key == limits::KEY) {
        snapshot.limits = limits::read(&document.key, &document.text, &mut faults);
    }
    for document in set.iter().filter(|d| !is_known(&d.key)) {
        faults.push(Fault::new(
            &document.key,
            "",
            "the key is none of profiles/NAME, services/NAME, routes/NAME and limits",
        ));
    }
    if faults.is_empty() {
        return Ok(snapshot);
    }
    faults.truncate(MAX_FAULTS);
    Err(faults)
}

fn check_sizes(set: &Set) -> Vec<Fault> {
    let mut faults = Vec::new();
    if set.iter().count() > MAX_DOCUMENTS {
        faults.push(Fault::new("", "", format!("more than {MAX_DOCUMENTS} documents")));
    }
    if set.bytes() > MAX_SET_BYTES {
        faults.push(Fault::new(
            "",
            "",
            format!("all documents together exceed {MAX_SET_BYTES} bytes"),
        ));
    }
    for document in set.iter().filter(|d| d.text.len() > MAX_DOCUMENT_BYTES) {
        faults.push(Fault::new(&document.key, "", format!("exceeds {MAX_DOCUMENT_BYTES} bytes")));
    }
    faults
}

fn add_profiles<'a>(
    set: &'a Set,
    snapshot: &mut Snapshot,
    faults: &mut Vec<Fault>,
) -> HashMap<&'a str, Key<Profile>> {
    let mut keys = HashMap::new();
    for (name, document) in named(set, PROFILES) {
        check_name(name, document, faults);
        let profile = profile::read(&document.key, name, &document.text, faults);
        keys.insert(name, snapshot.profiles.insert(profile));
    }
    keys
}

fn add_services(
    set: &Set,
    profiles: &HashMap<&str, Key<Profile>>,
    snapshot: &mut Snapshot,
    faults: &mut Vec<Fault>,
) {
    for (name, document) in named(set, SERVICES) {
        check_name(name, document, faults);
        let before = faults.len();
        let wanted = service::read(&document.key, &document.text, faults);
        match profiles.get(wanted.profile.as_str()) {
            Some(&profile) => {
                let service = Service { name: name.to_owned(), profile, warm_up: wanted.warm_up };
                let key = snapshot.services.insert(service);
                snapshot.by_name.insert(name.to_owned(), key);
            }
            // A reference to a profile that this revision does not hold: documents crossed on the
            // way, or a misspelling. Applying the rest would leave a route without its target.
            None if faults.len() == before => {
                cov_mark::hit!(dangling_profile);
                let reason =
                    format!("names the profile \"{}\", which does not exist", wanted.profile);
                faults.push(Fault::new(&document.key, "/profile", reason));
            }
            None => {}
        }
    }
}

fn add_routes(former: &Snapshot, set: &Set, snapshot: &mut Snapshot, faults: &mut Vec<Fault>) {
    for (name, document) in named(set, ROUTES) {
        check_name(name, document, faults);
        let Some(draft) = read_route(former, document, faults) else { continue };
        let read = Read { text: document.text.clone(), draft: draft.clone() };
        snapshot.drafts.insert(document.key.clone(), read);
        let targets = find_targets(&draft.shares, document, snapshot, faults);
        let route = Route { name: name.to_owned(), spec: draft.spec.clone(), targets };
        let key = snapshot.routes.insert(route);
        let (host, prefix) = (&draft.spec.host, &draft.spec.prefix);
        if snapshot.table.insert(host, prefix, key).is_some() {
            // Two routes for the same calls: which of them holds would depend on their order.
            let reason = format!("another route of this host has the prefix \"{prefix}\"");
            faults.push(Fault::new(&document.key, "/prefix", reason));
        }
    }
}

fn read_route(
    former: &Snapshot,
    document: &Document,
    faults: &mut Vec<Fault>,
) -> Option<Arc<route::Draft>> {
    let known = former.drafts.get(&document.key).filter(|read| read.text == document.text);
    match known {
        Some(read) => Some(read.draft.clone()),
        None => route::read(&document.key, &document.text, faults).map(Arc::new),
    }
}

fn find_targets(
    shares: &[route::Share],
    document: &Document,
    snapshot: &Snapshot,
    faults: &mut Vec<Fault>,
) -> Vec<Target> {
    let mut targets = Vec::new();
    for (i, share) in shares.iter().enumerate() {
        match snapshot.by_name.get(&share.service) {
            Some(&service) => targets.push(Target { service, weight: share.weight }),
            None => {
                cov_mark::hit!(dangling_target);
                let reason =
                    format!("names the service \"{}\", which does not exist", share.service);
                let pointer = format!("/targets/{i}/service");
                faults.push(Fault::new(&document.key, pointer, reason));
            }
        }
    }
    targets
}

fn named<'a>(set: &'a Set, prefix: &'static str) -> impl Iterator<Item = (&'a str, &'a Document)> {
    set.iter().filter_map(move |d| d.key.strip_prefix(prefix).map(|name| (name, d)))
}

fn check_name(name: &str, document: &Document, faults: &mut Vec<Fault>) {
    if !read::is_name(name) {
        faults.push(Fault::new(
            &document.key,
            "",
            "the key's name must be 1 to 63 of a-z, 0-9 and -",
        ));
    }
}

fn is_known(key: &str) -> bool {
    key.starts_with(PROFILES)
        || key.starts_with(SERVICES)
        || key.starts_with(ROUTES)
        || key == limits::KEY
}
