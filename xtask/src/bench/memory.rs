//! Benchmarks of dissemination strategies in the deterministic simulation.
//!
//! The nodes run the code of the fleet crate. Times are those of the virtual clock, with a delay of
//! 1 ms per message.

use fleet::dissemination::{Epidemic, Pull, Strategy, Tree};
use standins::simulation::{Net, Options};
use std::time::Duration;

use super::report::{Line, Report, Times};

/// Published changes, each at least [`CHANGE_INTERVAL`] after the previous one.
const CHANGES: u64 = 10;

/// Time after the first version before the idle fleet is measured.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// Duration of the measurement of the idle fleet.
const IDLE_TIME: Duration = Duration::from_secs(20);

const CHANGE_INTERVAL: Duration = Duration::from_millis(1_500);
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(30);

/// The name of a strategy and its constructor.
type Variant = (&'static str, fn() -> Box<dyn Strategy>);

const STRATEGIES: [Variant; 4] = [
    ("epidemic", || Box::new(Epidemic::default())),
    ("epidemic-no-ring", || {
        Box::new(Epidemic { min_local: 2, max_local: 5, successors: 0, ..Epidemic::default() })
    }),
    ("tree", || Box::new(Tree::default())),
    ("pull", || Box::new(Pull)),
];

/// Measures every strategy at every fleet size.
pub(crate) fn run(sizes: &[usize], report: &mut Report) {
    for &nodes in sizes {
        for strategy in STRATEGIES {
            measure(nodes, strategy, report);
        }
    }
}

fn measure(nodes: usize, (name, dissemination): Variant, report: &mut Report) {
    let mut net = Net::new(Options {
        nodes,
        data_centres: 6,
        services: 48.min(nodes),
        dissemination,
        ..Options::default()
    });
    let text = |ms: u64| format!(r#"{{"deadline_ms": {}}}"#, 1_000 + ms);
    net.publish("profiles/base", Some(&text(0)));
    for service in 0..48 {
        net.publish(&format!("services/service-{service}"), Some(r#"{"profile": "base"}"#));
    }
    net.run(SETTLE_TIME);
    net.take_counts();
    net.run(IDLE_TIME);
    let idle = net.take_counts();
    // Each message counts for its sender and its receiver.
    let per_second =
        |bytes: u64, span: Duration| 2.0 * bytes as f64 / span.as_secs_f64() / nodes as f64;
    let idle_bytes = per_second(idle.bytes, IDLE_TIME);
    let mut times = Times::default();
    for change in 1..=CHANGES {
        let revision = net.publish("profiles/base", Some(&text(change)));
        if let Some(time) = net.run_until_in_force(revision, CONVERGENCE_LIMIT) {
            times.add(time);
        }
        net.run(CHANGE_INTERVAL);
    }
    let changing = net.take_counts();
    let span =
        CHANGE_INTERVAL.as_secs_f64() * CHANGES as f64 + times.ms(50.0) / 1e3 * CHANGES as f64;
    let change_bytes =
        (2.0 * changing.bytes as f64 / nodes as f64 - idle_bytes * span) / CHANGES as f64;
    let label = |line: Line| line.word("ports", "memory").word("plan", name);
    report.add(label(Line::new("convergence_ms", nodes)).times(&times));
    report.add(
        label(Line::new("control_bytes_per_s", nodes))
            .figure("value", idle_bytes)
            .figure("per_change", change_bytes.max(0.0)),
    );
    let reads = idle.reads as f64 / IDLE_TIME.as_secs_f64();
    report.add(label(Line::new("source_reads_per_s", nodes)).figure("value", reads));
}
