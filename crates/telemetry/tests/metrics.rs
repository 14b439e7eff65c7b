//! What the text of the metrics holds, and in which order.

use std::time::Duration;
use telemetry::metric::{CATALOGUE, Meter};

/// Records each metric once.
fn filled() -> Meter {
    let meter = Meter::new().expect("the exporter registers");
    meter.count_call("stock", "ok", Duration::from_millis(3));
    meter.count_not_run("stock", "full");
    meter.count_retry("stock");
    meter.count_refusal("full");
    meter.count_ejection("stock");
    meter.count_upstream_end();
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
    meter
}

fn types(text: &str) -> Vec<(&str, &str)> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    lines.filter_map(|line| line.split_once(' ')).collect()
}

fn line<'a>(text: &'a str, start: &str) -> Option<&'a str> {
    text.lines().find(|line| line.starts_with(start))
}

/// Nobody sees that nodes serve an old revision: whoever keeps only the first lines of the metrics
/// keeps the buckets of a histogram, which grow with each service that is called.
#[test]
fn histograms_come_last() {
    let meter = filled();
    for i in 0..40 {
        meter.count_call(&format!("service-{i}"), "ok", Duration::from_millis(i));
    }
    let text = meter.render().expect("it renders");
    let histograms: Vec<bool> =
        types(&text).into_iter().map(|(_, kind)| kind == "histogram").collect();
    assert!(histograms.contains(&true));
    assert!(histograms.is_sorted(), "{:?}", types(&text));
}

/// Names stay in order, so that a reader finds one where it was the time before.
#[test]
fn the_others_stand_in_order_of_their_names() {
    let text = filled().render().expect("it renders");
    let names: Vec<&str> =
        types(&text).into_iter().filter(|(_, kind)| *kind != "histogram").map(|f| f.0).collect();
    assert!(names.is_sorted(), "{names:?}");
}

#[test]
fn every_metric_of_the_catalogue_is_rendered() {
    let text = filled().render().expect("it renders");
    for entry in CATALOGUE {
        let name = entry.name.replace('.', "_");
        assert!(line(&text, &name).is_some(), "{name} is missing in\n{text}");
    }
}

#[test]
fn the_state_of_the_configuration_is_told() {
    let text = filled().render().expect("it renders");
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

/// An absent number of refused versions looks like a node of an older release, or like a metric that
/// was misspelt, where it means that none was refused.
#[test]
fn no_refused_version_is_told_as_zero() {
    let meter = Meter::new().expect("the exporter registers");
    let text = meter.render().expect("it renders");
    let line = line(&text, "baobabrelay_config_rejected").unwrap_or_default();
    assert_eq!(line.rsplit(' ').next(), Some("0"), "{text}");
}
