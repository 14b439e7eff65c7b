//! Text of `baobabctl load`.

use fleet::status::{EntryLoad, Load, NestedLoad};

/// Returns the lines that show `load`.
pub(crate) fn lines(load: &Load) -> Vec<String> {
    let Load { instance, entry, serving } = load;
    let mut lines = vec![format!("{instance} as entry node, since its start:")];
    if entry.is_empty() {
        lines.push("  no calls".to_owned());
    }
    lines.extend(entry.iter().map(entry_line));
    lines.push(format!(
        "{instance} as serving node of {}: {} slots, {} busy, {} waiting",
        serving.service, serving.slots, serving.busy, serving.waiting
    ));
    if let Some(starts) = serving.starts {
        lines.push(format!("  cold: {} of {} calls in the last second", starts.used, starts.limit));
    }
    if let Some(report) = &serving.warm_up {
        lines.push(format!(
            "  warm-up: cold for {} ms more, by a report of {} ms ago ({})",
            report.cold_ms, report.age_ms, report.source
        ));
    }
    lines.extend(serving.nested.iter().map(nested_line));
    lines
}

fn nested_line(nested: &NestedLoad) -> String {
    let share = nested.refused_share * 100.0;
    format!("  refuses {share:.0} in 100 calls that need {}", nested.service)
}

fn entry_line(entry: &EntryLoad) -> String {
    let total: u64 = entry.refused.values().sum();
    let causes: Vec<String> =
        entry.refused.iter().map(|(cause, count)| format!("{cause} {count}")).collect();
    let causes =
        if causes.is_empty() { String::new() } else { format!(" ({})", causes.join(", ")) };
    format!(
        "  {}: answered {}, refused {total}{causes}, retries denied {}, accepted elsewhere {:.2}, nested {:.2}",
        entry.service,
        entry.answered,
        entry.retries_denied,
        entry.acceptance,
        entry.nested_acceptance
    )
}
