//! Loads and faults under which the strategies are compared.

use policy::retry::Kind;
use standins::queueing::{Burst, Degradation, Fault, Nested, Route, Service, Settings};
use std::time::Duration;

/// A named scenario: the settings of one simulation.
#[derive(Clone, Debug)]
pub(super) struct Scene {
    pub(super) name: &'static str,
    pub(super) settings: Settings,
}

/// Returns all scenes for a fleet of about `nodes` nodes, with the model's default load per node.
pub(super) fn all(nodes: usize) -> Vec<Scene> {
    let base = scale_to(nodes);
    let affected = base.services[0].upstreams.div_ceil(3);
    let seconds = Duration::from_secs;
    let fault = |degradation| Fault {
        begin: seconds(5),
        end: seconds(15),
        service: 0,
        upstreams: affected,
        degradation,
    };
    let with_fault = |degradation| Settings { faults: vec![fault(degradation)], ..base.clone() };
    let burst = Burst { begin: seconds(5), end: seconds(10), factor: 1.7 };
    vec![
        Scene { name: "calm", settings: base.clone() },
        Scene { name: "burst", settings: Settings { bursts: vec![burst], ..base.clone() } },
        Scene { name: "overload", settings: scale_load(&base, 1.6) },
        Scene { name: "slow", settings: with_fault(Degradation::Slow(5.0)) },
        Scene { name: "failing", settings: with_fault(Degradation::Failing(0.5)) },
        Scene { name: "silent", settings: with_fault(Degradation::LostAnswers(0.4)) },
        Scene { name: "shortage", settings: shortage(nodes) },
    ]
}

/// Two of three upstreams of the second service have left; uploads by external callers compete for the
/// remaining slots with nested checks, which belong to less urgent lookups.
fn shortage(nodes: usize) -> Settings {
    let ms = Duration::from_millis;
    // The numbers of upstreams and the rates below are for 12 nodes.
    let factor = nodes as f64 / 12.0;
    let service = |upstreams: f64, slowness: &[f64]| Service {
        upstreams: (upstreams * factor).ceil() as usize,
        slots: 9,
        slowness: slowness.to_vec(),
    };
    let base = Settings::default();
    let lookup = Route {
        per_second: 260.0 * factor,
        service_time: ms(120),
        spread: 0.8,
        objective: ms(400),
        deadline: ms(1_000),
        attempts: 2,
        nested: Some(Nested { route: 2, count: 2, probability: 0.7 }),
        ..base.routes[0].clone()
    };
    let upload = Route {
        service: 1,
        per_second: 25.5 * factor,
        service_time: ms(140),
        spread: 0.3,
        objective: ms(500),
        deadline: ms(1_200),
        priority: 1,
        kind: Kind::Once,
        utility: 2.0,
        nested: None,
        ..lookup.clone()
    };
    let check = Route {
        service: 1,
        per_second: 0.0,
        service_time: ms(30),
        spread: 0.5,
        objective: ms(120),
        deadline: ms(400),
        attempts: 1,
        utility: 0.0,
        nested: None,
        ..lookup.clone()
    };
    Settings {
        services: vec![service(9.0, &[0.7, 0.7, 1.6]), service(1.0, &[1.0])],
        routes: vec![lookup, upload, check],
        ..base
    }
}

fn scale_to(nodes: usize) -> Settings {
    let base = Settings::default();
    let upstreams = nodes.div_ceil(base.services.len());
    let factor = upstreams as f64 / base.services[0].upstreams as f64;
    let services =
        base.services.iter().map(|s| Service { upstreams, ..s.clone() }).collect::<Vec<_>>();
    scale_load(&Settings { services, ..base }, factor)
}

fn scale_load(base: &Settings, factor: f64) -> Settings {
    let routes = base.routes.iter();
    let routes = routes.map(|r| Route { per_second: r.per_second * factor, ..r.clone() }).collect();
    Settings { routes, ..base.clone() }
}
