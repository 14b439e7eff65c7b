//! Where a call goes, and what holds for it on the way.

use hyper::{Request, Uri, http::uri::PathAndQuery};
use model::{config::Snapshot, profile::Profile, route};
use policy::{outcome::Cause, retry::Kind};

use crate::{
    call::Options,
    net::body::Inbound,
    proxy::Proxy,
    wire::{self, header_text},
};

/// Finds where a call goes: by the routes of the configuration if it has any, else by the name of
/// a service.
pub(crate) fn find<'a>(
    proxy: &Proxy,
    config: &'a Snapshot,
    request: &Request<Inbound>,
) -> Result<Target<'a>, Cause> {
    if proxy.lifecycle.is_closed() {
        // A call taken now could not be finished before the process ends.
        return Err(Cause::Leaving);
    }
    if config.version.revision == 0 && proxy.settings.incarnation.is_none() {
        // Without any configuration nothing is known, not even that a route is missing.
        return Err(Cause::Unready);
    }
    let found = if config.has_routes() {
        find_route(proxy, config, request)
    } else {
        find_service(config, request)
    };
    found.ok_or_else(|| unknown_cause(proxy, config))
}

/// Returns why a call that leads nowhere is refused.
///
/// A caller takes "unknown" for final. While another node holds a newer configuration, which this one
/// still lacks, it cannot know: what was added there is to be asked for again in a moment. Otherwise
/// callers of new routes would be turned away for good, wherever a change comes late.
fn unknown_cause(proxy: &Proxy, config: &Snapshot) -> Cause {
    if proxy.expected_revision() > config.version.revision {
        Cause::Outdated
    } else {
        Cause::UnknownService
    }
}

/// Finds the service that a request names.
fn find_service<'a>(config: &'a Snapshot, request: &Request<Inbound>) -> Option<Target<'a>> {
    let (name, path) = address(request)?;
    let service = config.service(&name)?;
    let profile = config.profile(service);
    let rule = profile.rule(request.method().as_str(), path.path());
    let kind = if rule.idempotent { Kind::Idempotent } else { Kind::Once };
    let options = Options {
        kind,
        timeout_ms: rule.deadline_ms,
        attempts: profile.attempts,
        objective_ms: None,
        priority: 0,
        route: String::new(),
    };
    Some(Target {
        service: &service.name,
        profile,
        path,
        options,
        body_limit: profile.max_request_bytes,
        header_limit: config.limits.header_bytes,
    })
}

/// Tells whether a request may run more than once, as far as routes say.
pub(crate) fn is_idempotent(config: &Snapshot, request: &Request<Inbound>) -> bool {
    let route = config.route(&wire::host(request.headers()), request.uri().path());
    route.is_some_and(|route| route.spec.kind == route::Kind::Idempotent)
}

fn find_route<'a>(
    proxy: &Proxy,
    config: &'a Snapshot,
    request: &Request<Inbound>,
) -> Option<Target<'a>> {
    let route = config.route(&wire::host(request.headers()), request.uri().path())?;
    let weights: Vec<u32> = route.targets.iter().map(|t| t.weight).collect();
    let index = proxy.next_part(&route.name, &weights)?;
    let service = config.target(route.targets[index].service);
    let idempotent = route.spec.kind == route::Kind::Idempotent;
    let options = Options {
        kind: if idempotent { Kind::Idempotent } else { Kind::Once },
        timeout_ms: route.spec.timeout_ms,
        attempts: route.spec.attempts,
        objective_ms: Some(route.spec.objective_ms),
        priority: route.spec.priority,
        route: route.name.clone(),
    };
    Some(Target {
        service: &service.name,
        profile: config.profile(service),
        path: request.uri().clone(),
        options,
        body_limit: config.limits.body_bytes,
        header_limit: config.limits.header_bytes,
    })
}

/// Where a call goes.
pub(crate) struct Target<'a> {
    pub(crate) service: &'a str,
    pub(crate) profile: &'a Profile,
    pub(crate) path: Uri,
    pub(crate) options: Options,
    /// Largest request body, in bytes.
    pub(crate) body_limit: usize,
    /// Largest sum of a request's headers, in bytes.
    pub(crate) header_limit: usize,
}

/// Returns the service that a request names, and the path that its upstream is to see.
fn address(request: &Request<Inbound>) -> Option<(String, Uri)> {
    if let Some(name) = header_text(request.headers(), wire::SERVICE) {
        return Some((name.to_owned(), request.uri().clone()));
    }
    let path_and_query = request.uri().path_and_query().map_or("/", PathAndQuery::as_str);
    let rest = path_and_query.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Some((name.to_owned(), path.parse().ok()?))
}
