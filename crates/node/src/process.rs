//! The process's own accounting.

use std::fs;

/// Prefix of the names of threads that carry calls.
const TRAFFIC: &str = "traffic";

/// Returns the processor time, in seconds, of all threads that do not carry calls.
///
/// Source: `/proc/self/task`, in nanoseconds. Where that cannot be read the answer is 0.
pub(crate) fn control_seconds() -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let nanoseconds: u64 = tasks
        .flatten()
        .filter_map(|task| {
            let name = fs::read_to_string(task.path().join("comm")).ok()?;
            if name.starts_with(TRAFFIC) {
                return None;
            }
            let times = fs::read_to_string(task.path().join("schedstat")).ok()?;
            times.split_whitespace().next()?.parse::<u64>().ok()
        })
        .sum();
    nanoseconds as f64 / 1e9
}
