//! CPU time of this process, by kind of thread.

use std::fs;

/// Prefix of the names of threads that proxy calls.
const TRAFFIC_PREFIX: &str = "traffic";

/// Returns the CPU time, in seconds, of all threads that do not proxy calls.
///
/// Source: `/proc/self/task/*/schedstat`; 0 where that cannot be read.
pub(crate) fn control_cpu_seconds() -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let nanoseconds: u64 = tasks
        .flatten()
        .filter_map(|task| {
            let name = fs::read_to_string(task.path().join("comm")).ok()?;
            if name.starts_with(TRAFFIC_PREFIX) {
                return None;
            }
            let times = fs::read_to_string(task.path().join("schedstat")).ok()?;
            times.split_whitespace().next()?.parse::<u64>().ok()
        })
        .sum();
    nanoseconds as f64 / 1e9
}
