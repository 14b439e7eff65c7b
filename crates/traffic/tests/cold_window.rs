//! Window over the calls passed to a cold upstream.

mod cluster;

use cluster::{Cluster, configuration_of, request, status};
use model::time::Time;
use policy::{overload, warmup::Excess};
use std::time::{Duration, Instant};
use traffic::Tuning;

/// Period of the window, in which one call may be passed with [`tuning`].
const PERIOD: Duration = Duration::from_secs(1);

fn tuning(cold_window: bool) -> Tuning {
    Tuning {
        cold_excess: Excess { factor: 1.0, slack: 1.0 },
        overload: overload::Settings { cold_window, ..overload::Settings::default() },
        ..Tuning::default()
    }
}

/// Returns the statuses of two calls, between which the node learns that the upstream is cold, and
/// the reason that it then gives operators; tries again until both calls are in one period.
fn calls_around_cold(tuning: Tuning) -> (Vec<String>, String) {
    loop {
        let cluster = Cluster::new(1, 8);
        let service = r#"{"profile": "p", "warm_up": {"calls_per_min": 60, "length_ms": 60000}}"#;
        cluster.proxies[0].set_config(configuration_of(service));
        cluster.proxies[0].set_tuning(tuning);
        let started = Instant::now();
        let call = || status(&cluster.exchange(0, &request("GET", "/read/a", "", ""))).to_owned();
        let warm = call();
        cluster.show(0, 0, |upstream| upstream.cold_until = Time::from_millis(600_000));
        let statuses = vec![warm, call()];
        let reason = cluster.proxies[0].explain("paydesk").remove(0).reason;
        if started.elapsed() < PERIOD {
            return (statuses, reason);
        }
    }
}

/// Guards against calls in addition to those passed before the node learned that the upstream is
/// cold.
#[test]
fn a_call_to_the_warm_upstream_counts_once_it_is_known_to_be_cold() {
    let (statuses, reason) = calls_around_cold(tuning(true));
    assert_eq!(statuses, ["200", "503"]);
    assert!(reason.contains("of 1 starts of the last second used"), "{reason}");
    assert!(reason.contains("priority 0 callers: 1"), "{reason}");
}

/// Guards against a window that limits calls while it is switched off: the token bucket begins with
/// one token.
#[test]
fn without_the_window_the_token_bucket_decides() {
    let (statuses, reason) = calls_around_cold(tuning(false));
    assert_eq!(statuses, ["200", "200"]);
    assert!(!reason.contains("starts"), "{reason}");
}
