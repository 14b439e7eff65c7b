//! Builds and validates configuration snapshots.
//!
//! Invariant *atomic versions*: [`build`] and [`rebuild`] turn all documents of a revision into one
//! immutable [`Snapshot`], or reject the revision as a whole.

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

/// Key prefix of profile documents.
pub const PROFILES: &str = "profiles/";

/// Key prefix of service documents.
pub const SERVICES: &str = "services/";

/// Key prefix of route documents.
pub const ROUTES: &str = "routes/";

/// Maximum number of faults reported for one version; bounds the memory of a report.
const MAX_FAULTS: usize = 32;

/// Identifies one version of the configuration.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Revision on the platform; 0 before any configuration is in force.
    pub revision: u64,
    /// Digest of all documents at that revision.
    pub digest: crate::document::Digest,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.revision, &self.digest.to_string()[..8])
    }
}

/// A validated, immutable configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The version it was built from.
    pub version: Version,
    profiles: Arena<Profile>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    services: Arena<Service>,
    by_name: HashMap<String, Key<Service>>,
    routes: Arena<Route>,
    table: Table,
    /// Parsed route documents by key, reused by [`rebuild`] where the text is unchanged.
    parsed_routes: HashMap<String, ParsedRoute>,
}

/// The text of a route document and its parsed form.
#[derive(Clone, Debug)]
struct ParsedRoute {
    text: Arc<str>,
    draft: Arc<route::Draft>,
}

impl Snapshot {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.by_name.get(name).map(|&key| self.services.get(key))
    }

    /// Returns the profile of `service`.
    pub fn profile(&self, service: &Service) -> &Profile {
        self.profiles.get(service.profile)
    }

    /// Returns the service that `key` was issued for by this snapshot.
    pub fn target(&self, key: Key<Service>) -> &Service {
        self.services.get(key)
    }

    /// Returns whether there are any routes.
    pub fn has_routes(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Finds the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.table.find(host, path).map(|key| self.routes.get(key))
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter().map(|(_, route)| route)
    }

    /// Iterates over the routes whose calls are refused, each with the reason.
    pub fn refusing(&self) -> impl Iterator<Item = Fault> {
        self.routes().filter_map(|route| {
            let reason = route.refusal.as_ref()?;
            Some(Fault::new(format!("{ROUTES}{}", route.name), "", reason))
        })
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().map(|(_, service)| service)
    }

    /// Returns the largest `convergence_weight`, in %, of the profiles that services use; 100 if
    /// there are no services.
    pub fn convergence_weight(&self) -> u32 {
        self.services().map(|s| self.profile(s).convergence_weight).max().unwrap_or(100)
    }
}

/// Builds the snapshot of `set`, or returns the faults (at most 32) for which it is rejected.
///
/// The result is deterministic: every node accepts or rejects the same documents.
///
/// ```
/// use model::{config, document::Set};
/// let snapshot = config::build(&Set::default()).unwrap();
/// assert_eq!(snapshot.services().count(), 0);
/// ```
pub fn build(set: &Set) -> Result<Snapshot, Vec<Fault>> {
    rebuild(&Snapshot::default(), set)
}

/// Builds the snapshot of `set` like [`build`], reusing the parsed routes of `previous` whose
/// documents are unchanged.
///
/// Parsing a large configuration takes CPU time from calls, and most versions change only a few
/// routes.
pub fn rebuild(previous: &Snapshot, set: &Set) -> Result<Snapshot, Vec<Fault>> {
    let mut faults = check_sizes(set);
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut snapshot = Snapshot { version: set.version(), ..Snapshot::default() };
    let profiles = add_profiles(set, &mut snapshot, &mut faults);
    add_services(set, &profiles, &mut snapshot, &mut faults);
    add_routes(previous, set, &mut snapshot, &mut faults);
    if let Some(document) = set.iter().find(|d| d.key == limits::KEY) {
        snapshot.limits = limits::read(&document.key, &document.text, &mut faults);
    }
    for document in set.iter().filter(|d| !is_known_key(&d.key)) {
        faults.push(Fault::new(
            &document.key,
            "",
            "unknown key: must be profiles/NAME, services/NAME, routes/NAME or limits",
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
    for (name, document) in documents_with_prefix(set, PROFILES) {
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
    for (name, document) in documents_with_prefix(set, SERVICES) {
        let before = faults.len();
        let draft = service::read(&document.key, &document.text, faults);
        match profiles.get(draft.profile.as_str()) {
            Some(&profile) => {
                let service = Service {
                    name: name.to_owned(),
                    profile,
                    warm_up: draft.warm_up,
                    health_path: draft.health_path,
                };
                let key = snapshot.services.insert(service);
                snapshot.by_name.insert(name.to_owned(), key);
            }
            // Reject the whole revision: applying the rest would leave routes without a target.
            None if faults.len() == before => {
                cov_mark::hit!(dangling_profile);
                let reason =
                    format!("names the profile \"{}\", which does not exist", draft.profile);
                faults.push(Fault::new(&document.key, "/profile", reason));
            }
            None => {}
        }
    }
}

fn add_routes(previous: &Snapshot, set: &Set, snapshot: &mut Snapshot, faults: &mut Vec<Fault>) {
    for (name, document) in documents_with_prefix(set, ROUTES) {
        let Some(draft) = read_route(previous, document, faults) else { continue };
        let parsed = ParsedRoute { text: document.text.clone(), draft: draft.clone() };
        snapshot.parsed_routes.insert(document.key.clone(), parsed);
        let targets = find_targets(&draft.shares, document, snapshot, faults);
        let (spec, refusal) = (draft.spec.clone(), draft.refusal.clone());
        let route = Route { name: name.to_owned(), spec, targets, refusal };
        let key = snapshot.routes.insert(route);
        let (host, prefix) = (&draft.spec.host, &draft.spec.prefix);
        if snapshot.table.insert(host, prefix, key).is_some() {
            // With duplicate prefixes, the route taken would depend on document order.
            let reason = format!("another route of this host has the prefix \"{prefix}\"");
            faults.push(Fault::new(&document.key, "/prefix", reason));
        }
    }
}

fn read_route(
    previous: &Snapshot,
    document: &Document,
    faults: &mut Vec<Fault>,
) -> Option<Arc<route::Draft>> {
    let known =
        previous.parsed_routes.get(&document.key).filter(|parsed| parsed.text == document.text);
    match known {
        Some(parsed) => Some(parsed.draft.clone()),
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

/// Iterates over the documents whose keys start with `prefix`, each with the rest of its key.
fn documents_with_prefix<'a>(
    set: &'a Set,
    prefix: &'static str,
) -> impl Iterator<Item = (&'a str, &'a Document)> {
    set.iter().filter_map(move |d| d.key.strip_prefix(prefix).map(|name| (name, d)))
}

/// Checks the name of a profile. Those of services and routes are not restricted: the platform may accept
/// any, and a node that rejects one rejects its whole version.
fn check_name(name: &str, document: &Document, faults: &mut Vec<Fault>) {
    if !read::is_name(name) {
        faults.push(Fault::new(
            &document.key,
            "",
            "the name in the key must be 1 to 63 of a-z, 0-9 and -",
        ));
    }
}

fn is_known_key(key: &str) -> bool {
    key.starts_with(PROFILES)
        || key.starts_with(SERVICES)
        || key.starts_with(ROUTES)
        || key == limits::KEY
}
