//! Route lookup by host and longest path prefix.

use std::collections::HashMap;

use crate::{arena::Key, route::Route};

/// Route table whose lookup cost depends on the number of distinct prefix lengths, not of routes.
///
/// All routes of a configuration may have the same host, so scanning its prefixes would be too
/// slow.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    hosts: HashMap<String, Host>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct Host {
    by_prefix: HashMap<String, Key<Route>>,
    /// Distinct prefix lengths in descending order. Bounds the lookups for a path with many
    /// slashes.
    lengths: Vec<usize>,
}

impl Table {
    /// Inserts the route of `host` for paths that start with `prefix`; returns the previous route
    /// of the same host and prefix.
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
        let search = host.lengths.binary_search_by(|length| prefix.len().cmp(length));
        if let Err(index) = search {
            host.lengths.insert(index, prefix.len());
        }
        host.by_prefix.insert(prefix.to_owned(), route)
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Every prefix ends with a slash, so only candidates that do are looked up.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Key<Route>> {
        let host = self.hosts.get(host)?;
        let ends_with_slash = |length: &&usize| path.as_bytes().get(**length - 1) == Some(&b'/');
        let mut candidates =
            host.lengths.iter().filter(ends_with_slash).map(|&length| &path[..length]);
        candidates.find_map(|candidate| host.by_prefix.get(candidate).copied())
    }
}
