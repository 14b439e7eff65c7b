//! Collects measurements, prints each one and writes all as JSON lines.

use hdrhistogram::Histogram;
use serde_json::{Map, Value};
use std::{fs, path::Path};

use crate::tools::Failure;

/// Largest time that [`Times`] records, in microseconds.
const MAX_US: u64 = 600_000_000;

/// All measurements so far.
#[derive(Default)]
pub(crate) struct Report {
    lines: Vec<Value>,
}

/// Builder of one measurement, a JSON object.
pub(crate) struct Line {
    fields: Map<String, Value>,
}

impl Report {
    /// Adds a measurement and prints it.
    pub(crate) fn add(&mut self, line: Line) {
        let text: Vec<String> = line
            .fields
            .iter()
            .skip(1)
            .map(|(name, value)| format!("{name} {}", format_value(value)))
            .collect();
        let measure = line.fields.get("measure").map(format_value).unwrap_or_default();
        println!("{measure:<24} {}", text.join("  "));
        self.lines.push(Value::Object(line.fields));
    }

    /// Writes all measurements to `path` as JSON lines.
    pub(crate) fn write(&self, path: &Path) -> Result<(), Failure> {
        let text: String = self.lines.iter().map(|line| format!("{line}\n")).collect();
        Ok(fs::write(path, text)?)
    }
}

impl Line {
    /// Starts a measurement of `measure` with `nodes` nodes.
    pub(crate) fn new(measure: &str, nodes: usize) -> Self {
        let mut fields = Map::new();
        fields.insert("measure".to_owned(), measure.into());
        fields.insert("nodes".to_owned(), nodes.into());
        Line { fields }
    }

    /// Adds a number, rounded to three decimals.
    pub(crate) fn figure(mut self, name: &str, value: f64) -> Self {
        let rounded = (value * 1_000.0).round() / 1_000.0;
        self.fields.insert(name.to_owned(), rounded.into());
        self
    }

    /// Adds an integer.
    pub(crate) fn count(mut self, name: &str, value: u64) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Adds a text.
    pub(crate) fn word(mut self, name: &str, value: &str) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Adds the median, the 99th percentile and the number of `times`.
    pub(crate) fn times(self, times: &Times) -> Self {
        self.figure("p50", times.ms(50.0))
            .figure("p99", times.ms(99.0))
            .count("trials", times.count())
    }
}

/// Histogram of times, in microseconds.
pub(crate) struct Times {
    histogram: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, 3);
        Times { histogram: histogram.expect("the bounds are constants") }
    }
}

impl Times {
    /// Records a time; longer ones count as [`MAX_US`].
    pub(crate) fn add(&mut self, time: std::time::Duration) {
        self.histogram.saturating_record(time.as_micros() as u64);
    }

    /// Returns a percentile in ms.
    pub(crate) fn ms(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// Returns the number of recorded times.
    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
