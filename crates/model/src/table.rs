//! The routes of a configuration by host and prefix.

use std::collections::HashMap;

use crate::{arena::Key, route::Route};

/// Finds the route of a call at a cost that does not grow with the number of routes.
///
/// All routes may share one host, some 12,000 of them in the largest configuration. To compare a
/// path with each prefix in turn would cost every call of such a host several microseconds, and the
/// building of the table a number of comparisons that grows with the square of the routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    hosts: HashMap<String, Host>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct Host {
    by_prefix: HashMap<String, Key<Route>>,
    /// Lengths that prefixes have, each once, the largest first. They bound the work that a caller
    /// can cause by a path of many slashes.
    lengths: Vec<usize>,
}

impl Table {
    /// Adds the route of `host` for paths that begin with `prefix`; returns the one that had this
    /// place before.
    pub(crate) fn insert(
        &mut self,
        host: &str,
        prefix: &str,
        route: Key<Route>,
    ) -> Option<Key<Route>> {
        if !self.hosts.contains_key(host) {
            self.hosts.insert(host.to_owned(), Host::default());
        }
        let host = self.hosts.get_mut(host)?;
        let order = host.lengths.binary_search_by(|length| prefix.len().cmp(length));
        if let Err(place) = order {
            host.lengths.insert(place, prefix.len());
        }
        host.by_prefix.insert(prefix.to_owned(), route)
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    ///
    /// Every prefix ends with a slash, so only the beginnings of `path` that do are looked up.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Key<Route>> {
        let host = self.hosts.get(host)?;
        let ends = |length: &&usize| path.as_bytes().get(**length - 1) == Some(&b'/');
        let mut beginnings = host.lengths.iter().filter(ends).map(|&length| &path[..length]);
        beginnings.find_map(|beginning| host.by_prefix.get(beginning).copied())
    }
}
