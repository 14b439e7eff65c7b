//! Metrics, collected with `opentelemetry` and rendered in the Prometheus text format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder, proto::MetricType};
use snafu::{ResultExt, Snafu};
use std::time::Duration;

/// Bucket boundaries of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0];

/// Descriptor of a metric, as listed on the reference page.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Name of the `opentelemetry` instrument.
    pub name: &'static str,
    /// Unit in UCUM notation.
    pub unit: &'static str,
    /// Names of the attributes, separated by commas.
    pub attributes: &'static str,
    /// Description for the reference page and the instrument.
    pub help: &'static str,
}

const CALLS: Entry = Entry {
    name: "baobabrelay.calls",
    unit: "{call}",
    attributes: "service, outcome",
    help: "Calls answered by this node as entry node",
};
const NOT_RUN: Entry = Entry {
    name: "baobabrelay.not_run",
    unit: "{call}",
    attributes: "service, cause",
    help: "Calls answered as not run",
};
const RETRIES: Entry = Entry {
    name: "baobabrelay.retries",
    unit: "{attempt}",
    attributes: "service",
    help: "Attempts after the first",
};
const RETRY_BUDGET: Entry = Entry {
    name: "baobabrelay.retry_budget",
    unit: "{attempt}",
    attributes: "service, use",
    help: "Retries that this node as entry node took from the fleet's budget (granted), was denied (refused), was denied in favour of more useful ones (reserved) or returned (returned), its calls nested in a retry (nested), and as serving node attempts that it passed on to its upstream as retries (delivered)",
};
const REFUSED: Entry = Entry {
    name: "baobabrelay.claims_refused",
    unit: "{offer}",
    attributes: "cause",
    help: "Offers that this node as serving node refused before running them",
};
const NESTED_CALLS: Entry = Entry {
    name: "baobabrelay.nested_calls",
    unit: "{call}",
    attributes: "service, outcome",
    help: "Nested calls of the own upstream that found capacity (found) or were not run for lack of it (refused), where nested admission is on",
};
const EJECTIONS: Entry = Entry {
    name: "baobabrelay.ejections",
    unit: "{upstream}",
    attributes: "service",
    help: "Upstreams that this node stopped choosing for a while",
};
const ENDS: Entry = Entry {
    name: "baobabrelay.upstream.ends",
    unit: "{process}",
    attributes: "",
    help: "Times that the own upstream's process ended while it ran requests",
};
const STARTS_PEAK: Entry = Entry {
    name: "baobabrelay.upstream.starts_peak",
    unit: "{call}",
    attributes: "",
    help: "Largest number of calls that this node passed to its upstream in any second since the previous collection, where a window limits it while it is cold",
};
const COLD: Entry = Entry {
    name: "baobabrelay.upstream.cold",
    unit: "s",
    attributes: "",
    help: "Time for which the own upstream is still cold, by the report in force; 0 while it is warm",
};
const PROBES: Entry = Entry {
    name: "baobabrelay.upstream.probes",
    unit: "{probe}",
    attributes: "result",
    help: "Health probes of the own upstream that found it warm or cold, or that failed",
};
const QUARANTINED: Entry = Entry {
    name: "baobabrelay.quarantined",
    unit: "{request}",
    attributes: "",
    help: "Requests that are not run, since upstreams ended under them",
};
const DURATION: Entry = Entry {
    name: "baobabrelay.call.duration",
    unit: "s",
    attributes: "service",
    help: "Time from a request's head to its answer",
};
const REVISION: Entry = Entry {
    name: "baobabrelay.config.revision",
    unit: "{revision}",
    attributes: "",
    help: "Revision in force",
};
const KNOWN: Entry = Entry {
    name: "baobabrelay.config.known",
    unit: "{revision}",
    attributes: "",
    help: "Highest revision of the configuration that any node was heard to hold",
};
const REJECTED: Entry = Entry {
    name: "baobabrelay.config.rejected",
    unit: "{version}",
    attributes: "",
    help: "Versions refused",
};
const MEMBERS: Entry =
    Entry { name: "baobabrelay.members", unit: "{node}", attributes: "state", help: "Known nodes" };
const MESSAGES: Entry = Entry {
    name: "baobabrelay.peer.messages",
    unit: "{message}",
    attributes: "kind",
    help: "Requests sent to other nodes",
};
const LOST: Entry = Entry {
    name: "baobabrelay.peer.lost",
    unit: "{message}",
    attributes: "kind",
    help: "Requests to other nodes that brought no answer in time",
};
const READS: Entry = Entry {
    name: "baobabrelay.source.reads",
    unit: "{call}",
    attributes: "",
    help: "Calls to the platform",
};
const CONTROL_CPU: Entry = Entry {
    name: "baobabrelay.control.cpu",
    unit: "s",
    attributes: "",
    help: "Processor time of all threads that do not carry calls",
};
const IN_FLIGHT: Entry = Entry {
    name: "baobabrelay.calls.in_hand",
    unit: "{call}",
    attributes: "",
    help: "Calls that this node holds as entry node",
};
const REMOTE: Entry = Entry {
    name: "baobabrelay.remote",
    unit: "{offer}",
    attributes: "kind",
    help: "Offers of this node as entry node to other data centres, of callers' calls (call) and of nested calls (nested), and those of both that were refused for lack of capacity (refused)",
};
const REMOTE_BYTES: Entry = Entry {
    name: "baobabrelay.remote_bytes",
    // A unit of UCUM would be appended to the name, which contains it.
    unit: "{byte}",
    attributes: "",
    help: "Headers and bodies of offers to other data centres and of their answers",
};

const USAGE: Entry = Entry {
    name: "baobabrelay.usage",
    unit: "{call}",
    attributes: "service",
    help: "Calls from callers that this node as entry node recently got answered, with a half-life of one second; offers state it for fair shares",
};
const OVERTAKING: Entry = Entry {
    name: "baobabrelay.overtaking",
    unit: "{offer}",
    attributes: "",
    help: "Offers that this node as serving node queued before others, since their entry nodes recently got less",
};

const PROMISED_RETURNS: Entry = Entry {
    name: "baobabrelay.promised_returns",
    unit: "{call}",
    attributes: "service",
    help: "Refused callers that this node told to return at a time that is not over",
};
const CONNECTIONS: Entry = Entry {
    name: "baobabrelay.connections",
    unit: "{connection}",
    attributes: "listener",
    help: "Open connections of a listener when it last accepted one",
};
const MEMORY: Entry = Entry {
    name: "baobabrelay.memory",
    // A unit of UCUM would be appended to the name.
    unit: "{byte}",
    attributes: "use",
    help: "Memory that is accounted at present, in bytes: bodies of requests (bodies), answers until they are read (answers), unfinished heads and calls in flight (requests)",
};
const CLOSED: Entry = Entry {
    name: "baobabrelay.connections.closed",
    unit: "{connection}",
    attributes: "listener, reason",
    help: "Connections of a listener that this node closed: the client was idle, sent its head too slowly (slow-head), empty lines or framing without end, or did not read an answer (unread-answer); or it waited for its client while connections (replaced) or memory were short",
};

/// All metrics, in the order of the reference page.
pub const CATALOGUE: [Entry; 30] = [
    CALLS,
    NOT_RUN,
    RETRIES,
    RETRY_BUDGET,
    REFUSED,
    NESTED_CALLS,
    EJECTIONS,
    ENDS,
    STARTS_PEAK,
    COLD,
    PROBES,
    QUARANTINED,
    DURATION,
    REVISION,
    KNOWN,
    REJECTED,
    MEMBERS,
    MESSAGES,
    LOST,
    READS,
    CONTROL_CPU,
    IN_FLIGHT,
    REMOTE,
    REMOTE_BYTES,
    USAGE,
    OVERTAKING,
    PROMISED_RETURNS,
    CONNECTIONS,
    MEMORY,
    CLOSED,
];

/// Failure to set up or render metrics.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The exporter could not be registered.
    #[snafu(display("cannot set up metrics: {source}"))]
    Setup {
        /// Error of the exporter.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics could not be encoded as text.
    #[snafu(display("cannot render metrics: {source}"))]
    Render {
        /// Error of the encoder.
        source: prometheus::Error,
    },
}

/// The instruments of a node.
pub struct Meter {
    registry: Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    not_run: Counter<u64>,
    retries: Counter<u64>,
    retry_budget: Counter<u64>,
    refused: Counter<u64>,
    nested_calls: Counter<u64>,
    ejections: Counter<u64>,
    ends: Counter<u64>,
    starts_peak: Gauge<u64>,
    cold: Gauge<f64>,
    probes: Counter<u64>,
    quarantined: Gauge<u64>,
    duration: Histogram<f64>,
    revision: Gauge<u64>,
    known: Gauge<u64>,
    rejected: Counter<u64>,
    members: Gauge<u64>,
    messages: Counter<u64>,
    lost: Counter<u64>,
    reads: Counter<u64>,
    control_cpu: Gauge<f64>,
    in_flight: Gauge<u64>,
    remote: Counter<u64>,
    remote_bytes: Counter<u64>,
    usage: Gauge<u64>,
    overtaking: Counter<u64>,
    promised_returns: Gauge<u64>,
    connections: Gauge<u64>,
    memory: Gauge<u64>,
    closed: Counter<u64>,
}

impl Meter {
    /// Creates and registers the instruments.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(SetupSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("baobabrelay");
        let counter =
            |e: Entry| meter.u64_counter(e.name).with_unit(e.unit).with_description(e.help).build();
        let gauge =
            |e: Entry| meter.u64_gauge(e.name).with_unit(e.unit).with_description(e.help).build();
        let rejected = counter(REJECTED);
        // Initializes the counter, since one that was never incremented is not rendered.
        rejected.add(0, &[]);
        let ends = counter(ENDS);
        ends.add(0, &[]);
        Ok(Meter {
            calls: counter(CALLS),
            not_run: counter(NOT_RUN),
            retries: counter(RETRIES),
            retry_budget: counter(RETRY_BUDGET),
            refused: counter(REFUSED),
            nested_calls: counter(NESTED_CALLS),
            ejections: counter(EJECTIONS),
            ends,
            starts_peak: gauge(STARTS_PEAK),
            cold: meter
                .f64_gauge(COLD.name)
                .with_unit(COLD.unit)
                .with_description(COLD.help)
                .build(),
            probes: counter(PROBES),
            quarantined: gauge(QUARANTINED),
            duration: meter
                .f64_histogram(DURATION.name)
                .with_unit(DURATION.unit)
                .with_description(DURATION.help)
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
            revision: gauge(REVISION),
            known: gauge(KNOWN),
            rejected,
            members: gauge(MEMBERS),
            messages: counter(MESSAGES),
            lost: counter(LOST),
            reads: counter(READS),
            control_cpu: meter
                .f64_gauge(CONTROL_CPU.name)
                .with_unit(CONTROL_CPU.unit)
                .with_description(CONTROL_CPU.help)
                .build(),
            in_flight: gauge(IN_FLIGHT),
            remote: counter(REMOTE),
            remote_bytes: counter(REMOTE_BYTES),
            usage: gauge(USAGE),
            overtaking: counter(OVERTAKING),
            promised_returns: gauge(PROMISED_RETURNS),
            connections: gauge(CONNECTIONS),
            memory: gauge(MEMORY),
            closed: counter(CLOSED),
            registry,
            _provider: provider,
        })
    }

    /// Counts a call answered with `outcome`, and records its latency.
    pub fn count_call(&self, service: &str, outcome: &'static str, elapsed: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        self.duration.record(elapsed.as_secs_f64(), std::slice::from_ref(&service));
        self.calls.add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call that was answered as not executed.
    pub fn count_not_run(&self, service: &str, cause: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.not_run.add(1, &[service, KeyValue::new("cause", cause)]);
    }

    /// Counts a retry or a hedged request.
    pub fn count_retry(&self, service: &str) {
        self.retries.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts how an attempt or a call counted towards the retry budget of `service`.
    pub fn count_budget_use(&self, service: &str, how: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.retry_budget.add(1, &[service, KeyValue::new("use", how)]);
    }

    /// Counts a request that this node as serving node refused before execution.
    pub fn count_refusal(&self, cause: &'static str) {
        self.refused.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a nested call of the colocated upstream by whether it found capacity.
    pub fn count_nested_call(&self, service: &str, outcome: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.nested_calls.add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    /// Counts the ejection of an upstream.
    pub fn count_ejection(&self, service: &str) {
        self.ejections.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a crash of the colocated upstream's process.
    pub fn count_upstream_crash(&self) {
        self.ends.add(1, &[]);
    }

    /// Sets the largest number of calls passed to the colocated upstream in any second of the last period.
    pub fn set_starts_peak(&self, calls: u64) {
        self.starts_peak.record(calls, &[]);
    }

    /// Sets for how long the colocated upstream is still cold, in seconds.
    pub fn set_cold(&self, seconds: f64) {
        self.cold.record(seconds, &[]);
    }

    /// Counts a health probe of the colocated upstream by its result.
    pub fn count_probe(&self, result: &'static str) {
        self.probes.add(1, &[KeyValue::new("result", result)]);
    }

    /// Sets the number of requests in quarantine.
    pub fn set_quarantined(&self, requests: u64) {
        self.quarantined.record(requests, &[]);
    }

    /// Sets the revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Sets the highest revision of the configuration that any known node holds.
    pub fn set_known_revision(&self, revision: u64) {
        self.known.record(revision, &[]);
    }

    /// Counts a rejected version.
    pub fn count_rejection(&self) {
        self.rejected.add(1, &[]);
    }

    /// Sets the number of known nodes in `state`.
    pub fn set_members(&self, state: &'static str, count: u64) {
        self.members.record(count, &[KeyValue::new("state", state)]);
    }

    /// Counts a request sent to another node.
    pub fn count_message(&self, kind: &'static str) {
        self.messages.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request to another node without a valid response in time.
    pub fn count_lost_message(&self, kind: &'static str) {
        self.lost.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a call to the platform.
    pub fn count_source_read(&self) {
        self.reads.add(1, &[]);
    }

    /// Sets the CPU time of the threads that do not serve calls, in seconds.
    pub fn set_control_cpu(&self, seconds: f64) {
        self.control_cpu.record(seconds, &[]);
    }

    /// Sets the number of calls in flight.
    pub fn set_in_flight(&self, calls: u64) {
        self.in_flight.record(calls, &[]);
    }

    /// Counts an offer to another data centre, or its refusal, by kind.
    pub fn count_remote(&self, kind: &'static str) {
        self.remote.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes sent to or received from another data centre with offers and answers.
    pub fn count_remote_bytes(&self, bytes: u64) {
        self.remote_bytes.add(bytes, &[]);
    }

    /// Sets the recent answered calls of this node's callers to `service`.
    pub fn set_usage(&self, service: &str, calls: u64) {
        self.usage.record(calls, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts offers that were queued before others of higher levels.
    pub fn count_overtaking(&self, offers: u64) {
        self.overtaking.add(offers, &[]);
    }

    /// Sets the refused callers that were told to return to `service` later.
    pub fn set_promised_returns(&self, service: &str, calls: u64) {
        self.promised_returns.record(calls, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets the number of open connections of a listener.
    pub fn set_open_connections(&self, listener: &'static str, connections: u64) {
        self.connections.record(connections, &[KeyValue::new("listener", listener)]);
    }

    /// Sets the memory that is accounted for one use, in bytes.
    pub fn set_memory(&self, purpose: &'static str, bytes: u64) {
        self.memory.record(bytes, &[KeyValue::new("use", purpose)]);
    }

    /// Counts a connection that this node closed.
    pub fn count_closed_connection(&self, listener: &'static str, reason: &'static str) {
        let attributes = [KeyValue::new("listener", listener), KeyValue::new("reason", reason)];
        self.closed.add(1, &attributes);
    }

    /// Renders all metrics as Prometheus text, histograms last.
    ///
    /// Histograms grow with the number of services. A reader that truncates the text still gets the
    /// single-line metrics, such as the revision in force.
    pub fn render(&self) -> Result<String, Error> {
        let mut families = self.registry.gather();
        families.sort_by_key(|family| family.get_field_type() == MetricType::HISTOGRAM);
        let mut text = Vec::new();
        TextEncoder::new().encode(&families, &mut text).context(RenderSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
