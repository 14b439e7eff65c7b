//! Finds the service, options and limits of a request.

use hyper::{Request, Uri, http::uri::PathAndQuery};
use model::{
    config::Snapshot,
    profile::Profile,
    route::{self, Route},
};
use policy::{outcome::Cause, retry::Kind};

use crate::{
    call::Options,
    net::body::Inbound,
    proxy::Proxy,
    wire::{self, header_text},
};

/// Finds the target of a request: by route or by service name, as the settings say.
///
/// Fails with the cause of the refusal.
pub(crate) fn find<'a>(
    proxy: &Proxy,
    config: &'a Snapshot,
    request: &Request<Inbound>,
) -> Result<Target<'a>, Cause> {
    if proxy.lifecycle.is_closed() {
        // The call could not finish before the process exits.
        return Err(Cause::Leaving);
    }
    if config.version.revision == 0 && proxy.settings.incarnation.is_none() {
        // Without a configuration, a missing route does not mean that it is unknown.
        return Err(Cause::Unready);
    }
    if !proxy.settings.addressing.uses_routes(config) {
        return find_service(config, request).ok_or_else(|| unknown_cause(proxy, config));
    }
    match config.route(&wire::host(request.headers()), request.uri().path()) {
        Some(route) if route.refusal.is_some() => Err(Cause::UnusableRoute),
        Some(route) => route_target(proxy, config, route, request.uri()),
        None => Err(unknown_cause(proxy, config)),
    }
}

/// Returns the cause of refusing a request without a target.
///
/// Callers do not retry an unknown service. If a newer configuration is in force elsewhere, it may
/// contain the target, so the cause is then one that they retry.
fn unknown_cause(proxy: &Proxy, config: &Snapshot) -> Cause {
    if proxy.expected_revision() > config.version.revision {
        Cause::Outdated
    } else {
        Cause::UnknownService
    }
}

/// Finds the target by the service name in the header or path.
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

/// Returns whether the route of a request is idempotent; false without a route.
pub(crate) fn is_idempotent(config: &Snapshot, request: &Request<Inbound>) -> bool {
    let route = config.route(&wire::host(request.headers()), request.uri().path());
    route.is_some_and(|route| route.spec.kind == route::Kind::Idempotent)
}

/// Chooses one of the route's targets by weight.
fn route_target<'a>(
    proxy: &Proxy,
    config: &'a Snapshot,
    route: &Route,
    path: &Uri,
) -> Result<Target<'a>, Cause> {
    let weights: Vec<u32> = route.targets.iter().map(|t| t.weight).collect();
    let index = proxy.next_target(&route.name, &weights).ok_or(Cause::UnusableRoute)?;
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
    Ok(Target {
        service: &service.name,
        profile: config.profile(service),
        path: path.clone(),
        options,
        body_limit: config.limits.body_bytes,
        header_limit: config.limits.header_bytes,
    })
}

/// The service that a request is routed to, with the options and limits that apply.
pub(crate) struct Target<'a> {
    pub(crate) service: &'a str,
    pub(crate) profile: &'a Profile,
    pub(crate) path: Uri,
    pub(crate) options: Options,
    /// Limit on the request body, in bytes.
    pub(crate) body_limit: usize,
    /// Limit on the sum of header names and values, in bytes.
    pub(crate) header_limit: usize,
}

/// Returns the service name in a request, and the path to send to the upstream.
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
