//! Table of all settings, from which the reference page `SETTINGS.md` is generated.

use model::read;

/// Description of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// JSON pointer of the setting in the file.
    pub pointer: &'static str,
    /// Accepted values, with unit and range.
    pub shape: &'static str,
    /// Default, as JSON or `absent`; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Example of an accepted value, as JSON.
    pub example: &'static str,
    /// Effect of the setting.
    pub help: &'static str,
}

const fn required(
    pointer: &'static str,
    shape: &'static str,
    example: &'static str,
    help: &'static str,
) -> Field {
    Field { pointer, shape, default: None, example, help }
}

const fn optional(
    pointer: &'static str,
    shape: &'static str,
    default: &'static str,
    help: &'static str,
) -> Field {
    Field { pointer, shape, default: Some(default), example: default, help }
}

const fn unset(
    pointer: &'static str,
    shape: &'static str,
    example: &'static str,
    help: &'static str,
) -> Field {
    Field { pointer, shape, default: Some("absent"), example, help }
}

const NAME: &str = read::LABEL;
const SERVICE: &str = read::SERVICE;
const ADDRESS: &str = "IP:PORT";
pub(super) const HEADER: &str = "name of a header";

/// All settings, in the order of the reference page.
pub const FIELDS: [Field; 54] = [
    required("/instance", NAME, "\"paydesk-1\"", "the platform's name of this instance"),
    required("/service", SERVICE, "\"paydesk\"", "service of this node's upstream"),
    required("/data_centre", NAME, "\"ktm-a\"", "data centre of this instance"),
    required(
        "/listen/traffic",
        ADDRESS,
        "\"127.0.0.1:7001\"",
        "address for calls of callers and other nodes",
    ),
    required(
        "/listen/peers",
        ADDRESS,
        "\"127.0.0.1:7002\"",
        "address for messages of other nodes; identifies this node",
    ),
    required(
        "/listen/operators",
        ADDRESS,
        "\"127.0.0.1:7003\"",
        "address of the operators' HTTP endpoint, with metrics",
    ),
    required("/upstream/address", ADDRESS, "\"127.0.0.1:8001\"", "address of this node's upstream"),
    required(
        "/platform",
        ADDRESS,
        "\"127.0.0.1:9000\"",
        "address of the platform's configuration service",
    ),
    optional("/upstream/slots", "1 to 10000 calls", "10", "concurrency limit of the upstream"),
    optional(
        "/contacts",
        "list of IP:PORT",
        "[]",
        "seed nodes that a starting node contacts first; may be out of date",
    ),
    optional("/traffic_threads", "1 to 64", "2", "worker threads that proxy calls"),
    optional(
        "/calls",
        "1 to 1000000 calls",
        "2048",
        "limit on calls in flight; those of one service may not exceed what is still free",
    ),
    optional(
        "/body_bytes",
        "1024 to 17179869184 bytes",
        "134217728",
        "limit on bytes of request bodies in memory, and on those of answers; both together, with heads and calls in flight, may take a quarter more",
    ),
    optional(
        "/connections",
        "1 to 65536",
        "1024",
        "limit on connections to /listen/traffic; beyond it, one that waits for its client is closed in favour of a new one",
    ),
    optional("/node_connections", "1 to 65536", "1024", "the same for /listen/nodes"),
    optional("/ready_connections", "1 to 65536", "64", "the same for /listen/ready"),
    optional("/peer_connections", "1 to 65536", "128", "the same for /listen/peers"),
    optional("/operator_connections", "1 to 65536", "32", "the same for /listen/operators"),
    optional(
        "/outgoing_connections",
        "1 to 65536",
        "2048",
        "limit on connections for calls to other nodes and to the upstream; beyond it, an idle one is closed, or the call is not run",
    ),
    optional(
        "/answer_ms",
        "1000 to 3600000 ms",
        "60000",
        "time limit for a caller or another node to read an answer; then its connection is closed",
    ),
    optional("/connect_ms", "1 to 60000 ms", "250", "timeout for opening a connection"),
    optional(
        "/plan",
        "\"epidemic\", \"tree\" or \"pull\"",
        "\"epidemic\"",
        "how new versions are disseminated, see SPREADING.md",
    ),
    optional(
        "/log",
        "true or false",
        "true",
        "whether events are logged, as JSON lines on standard output",
    ),
    unset(
        "/listen/nodes",
        ADDRESS,
        "\"127.0.0.1:7004\"",
        "separate address for calls of other nodes; absent: they use /listen/traffic",
    ),
    unset(
        "/listen/ready",
        ADDRESS,
        "\"127.0.0.1:7005\"",
        "address for readiness probes: 200 while the node accepts calls of callers, 503 otherwise; absent: no probes",
    ),
    optional(
        "/discovery",
        "\"gossip\" or \"list\"",
        "\"gossip\"",
        "whether upstreams are discovered by gossip among nodes or from the platform's list",
    ),
    optional(
        "/addressing",
        "\"service\" or \"route\"",
        "\"service\"",
        "whether callers name a service, in a header or the path, or are matched with routes; with \"service\", routes are used instead while there are any, and calls are addressed by service again once the last one is removed",
    ),
    optional(
        "/headers/deadline",
        HEADER,
        "\"baobab-deadline-ms\"",
        "remaining time of a call in ms, from callers and to upstreams",
    ),
    unset(
        "/headers/request",
        HEADER,
        "\"x-request-id\"",
        "request id set by the caller, echoed by upstreams",
    ),
    unset(
        "/headers/caller",
        HEADER,
        "\"x-caller\"",
        "service of the instance where a call entered the mesh, to upstreams",
    ),
    unset(
        "/headers/identity",
        HEADER,
        "\"x-identity\"",
        "identity of the intended upstream; an upstream with another one refuses the call",
    ),
    unset(
        "/headers/refused",
        HEADER,
        "\"x-refused\"",
        "marks an upstream's answer to a call that it did not run",
    ),
    unset(
        "/headers/stamp",
        HEADER,
        "\"x-stamp\"",
        "marks every answer that the upstream itself created",
    ),
    unset(
        "/headers/leaving",
        HEADER,
        "\"x-leaving\"",
        "marks, with the value 1, every answer of an upstream that is leaving; it gets no calls from then on, in list mode",
    ),
    unset(
        "/headers/limit",
        HEADER,
        "\"x-limit\"",
        "calls per second, as a decimal number, that the upstream accepts from all nodes together; in force until an answer comes without it",
    ),
    unset(
        "/headers/cold",
        HEADER,
        "\"x-cold-ms\"",
        "time for which an upstream is still cold, in ms, in its answers to health probes; a success without it means that the upstream is warm; in list mode",
    ),
    optional(
        "/retry_after",
        "\"seconds\" or \"milliseconds\"",
        "\"seconds\"",
        "precision of Retry-After: whole seconds, or seconds with three decimals",
    ),
    unset(
        "/repeats/percent",
        "0 to 1000 % of calls",
        "20",
        "retry budget: retries of the whole fleet to a service within the window, per first call; absent: set by the profile",
    ),
    optional(
        "/repeats/slack",
        "0 to 1000000 calls",
        "0",
        "retries allowed in addition to the percentage",
    ),
    optional(
        "/repeats/window_ms",
        "1000 to 600000 ms",
        "10000",
        "length of the sliding window of the retry budget",
    ),
    optional(
        "/cold_excess/percent",
        "100 to 1000 %",
        "100",
        "calls that may reach a cold upstream in any second, relative to the rate in its service's configuration",
    ),
    optional(
        "/cold_excess/slack",
        "1 to 1000000 calls",
        "1",
        "calls allowed in addition to the percentage",
    ),
    optional(
        "/overload/nested_admission",
        "true or false",
        "false",
        "whether calls are refused whose nested calls would find no capacity",
    ),
    optional(
        "/overload/cold_window",
        "true or false",
        "false",
        "whether calls to cold upstreams are limited by a sliding window and divided among kinds of calls",
    ),
    optional(
        "/overload/retry_priority",
        "true or false",
        "false",
        "whether scarce retries go first to calls that one retry completes",
    ),
    optional(
        "/overload/fair_shares",
        "true or false",
        "false",
        "whether calls of entry nodes that recently got less of a service are queued first",
    ),
    optional(
        "/overload/overflow",
        "true or false",
        "false",
        "whether refused calls, and calls to other data centres, are offered only where capacity is expected",
    ),
    optional(
        "/overload/paced_returns",
        "true or false",
        "false",
        "whether the returns of refused callers are spread over the time at which capacity is expected",
    ),
    optional(
        "/full_mesh",
        "0 to 80 nodes",
        "80",
        "in list mode, the largest number of other nodes that all gossip with each other; above it, few messages cross data centres, and a crashed node of another one is found by calls; the same on all nodes of a fleet",
    ),
    optional(
        "/first_start",
        "true or false",
        "false",
        "whether the whole fleet starts for the first time; nodes on slow links then wait longer to be told the configuration",
    ),
    optional(
        "/stop/linger_ms",
        "0 to 600000 ms",
        "0",
        "how long a stopping node still accepts calls while its readiness probe already fails",
    ),
    optional(
        "/stop/finish_ms",
        "0 to 600000 ms",
        "2000",
        "time at the end of a planned stop, limit included, in which new calls are refused",
    ),
    optional(
        "/stop/limit_ms",
        "100 to 3600000 ms",
        "600000",
        "upper bound of a planned stop, from the signal to the end of the process",
    ),
    optional(
        "/link_mbps",
        "0 to 1000000 Mbit/s",
        "0",
        "speed of the instance's network link; 0: unknown, assumed fast",
    ),
];
