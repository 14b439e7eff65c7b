//! Content and order of the rendered metrics.

use std::time::Duration;
use telemetry::metric::{CATALOGUE, Meter};

/// Returns a meter with every metric recorded.
fn recorded_meter() -> Meter {
    let meter = Meter::new().expect("the exporter registers");
    meter.count_call("stock", "ok", Duration::from_millis(3));
    meter.count_not_run("stock", "full");
    meter.count_retry("stock");
    meter.count_budget_use("stock", "granted");
    meter.count_refusal("full");
    meter.count_nested_call("paydesk", "found");
    meter.count_ejection("stock");
    meter.count_upstream_crash();
    meter.set_quarantined(1);
    meter.set_revision(102);
    meter.set_known_revision(209);
    meter.count_rejection();
    meter.set_members("ready", 81);
    meter.count_message("pull");
    meter.count_lost_message("pull");
    meter.count_source_read();
    meter.set_control_cpu(0.5);
    meter.set_in_flight(4);
    meter.count_remote("call");
    meter.count_remote_bytes(700);
    meter.set_usage("stock", 6);
    meter.count_overtaking(1);
    meter.set_promised_returns("stock", 3);
    meter.set_starts_peak(9);
    meter.set_cold(1.5);
    meter.count_probe("warm");
    meter.set_open_connections("callers", 5);
    meter.set_memory("bodies", 4_096);
    meter.count_closed_connection("callers", "idle");
    meter
}

fn types(text: &str) -> Vec<(&str, &str)> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    lines.filter_map(|line| line.split_once(' ')).collect()
}

fn line<'a>(text: &'a str, start: &str) -> Option<&'a str> {
    text.lines().find(|line| line.starts_with(start))
}

/// Guards against losing single-line metrics behind the histograms when a reader truncates the
/// text.
#[test]
fn histograms_are_rendered_last() {
    let meter = recorded_meter();
    for i in 0..40 {
        meter.count_call(&format!("service-{i}"), "ok", Duration::from_millis(i));
    }
    let text = meter.render().expect("rendered metrics");
    let histograms: Vec<bool> =
        types(&text).into_iter().map(|(_, kind)| kind == "histogram").collect();
    assert!(histograms.contains(&true));
    assert!(histograms.is_sorted(), "{:?}", types(&text));
}

/// The order of metrics is stable.
#[test]
fn other_metrics_are_sorted_by_name() {
    let text = recorded_meter().render().expect("rendered metrics");
    let names: Vec<&str> =
        types(&text).into_iter().filter(|(_, kind)| *kind != "histogram").map(|f| f.0).collect();
    assert!(names.is_sorted(), "{names:?}");
}

#[test]
fn every_metric_of_the_catalogue_is_rendered() {
    let text = recorded_meter().render().expect("rendered metrics");
    for entry in CATALOGUE {
        let name = entry.name.replace('.', "_");
        assert!(line(&text, &name).is_some(), "{name} is missing in\n{text}");
    }
}

#[test]
fn configuration_metrics_have_the_recorded_values() {
    let text = recorded_meter().render().expect("rendered metrics");
    for (name, value) in [
        ("baobabrelay_config_revision", "102"),
        ("baobabrelay_config_known", "209"),
        ("baobabrelay_config_rejected", "1"),
        ("baobabrelay_peer_lost", "1"),
    ] {
        let line = line(&text, name).unwrap_or_default();
        assert_eq!(line.rsplit(' ').next(), Some(value), "{name} in\n{text}");
    }
}

/// Guards against an absent counter that cannot be distinguished from an unsupported metric.
#[test]
fn counter_of_rejected_versions_is_rendered_at_zero() {
    let meter = Meter::new().expect("the exporter registers");
    let text = meter.render().expect("rendered metrics");
    let line = line(&text, "baobabrelay_config_rejected").unwrap_or_default();
    assert_eq!(line.rsplit(' ').next(), Some("0"), "{text}");
}
