//! Every setting, as the reference page lists it.

/// A setting, as the reference page lists it.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// JSON pointer of the setting.
    pub pointer: &'static str,
    /// What is accepted, with unit and range.
    pub shape: &'static str,
    /// Value where the setting is absent; none where it is required.
    pub default: Option<&'static str>,
    /// An accepted value, as JSON.
    pub example: &'static str,
    /// What it decides.
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

const NAME: &str = "1 to 63 of a-z, 0-9 and -";
const ADDRESS: &str = "IP:PORT";
pub(super) const HEADER: &str = "name of a header";

/// Every setting, in the order of the reference page.
pub const FIELDS: [Field; 36] = [
    required("/instance", NAME, "\"paydesk-1\"", "the platform's name of this instance"),
    required("/service", NAME, "\"paydesk\"", "service of the upstream beside this node"),
    required("/data_centre", NAME, "\"ktm-a\"", "data centre of this instance"),
    required(
        "/listen/traffic",
        ADDRESS,
        "\"127.0.0.1:7001\"",
        "where callers and other nodes send calls",
    ),
    required(
        "/listen/peers",
        ADDRESS,
        "\"127.0.0.1:7002\"",
        "where other nodes send messages; names this node",
    ),
    required("/listen/operators", ADDRESS, "\"127.0.0.1:7003\"", "operators' page and metrics"),
    required("/upstream/address", ADDRESS, "\"127.0.0.1:8001\"", "the upstream beside this node"),
    required("/platform", ADDRESS, "\"127.0.0.1:9000\"", "the platform's configuration service"),
    optional(
        "/upstream/slots",
        "1 to 10000 calls",
        "10",
        "calls that the upstream works on at once",
    ),
    optional("/contacts", "list of IP:PORT", "[]", "nodes to ask first; may be stale"),
    optional("/traffic_threads", "1 to 64", "2", "threads that carry calls"),
    optional(
        "/calls",
        "1 to 1000000 calls",
        "2048",
        "calls in hand at once; one service may take half of what is free",
    ),
    optional(
        "/body_bytes",
        "1024 to 17179869184 bytes",
        "134217728",
        "request bodies in hand at once",
    ),
    optional("/connections", "1 to 65536", "1024", "connections accepted for calls"),
    optional("/connect_ms", "1 to 60000 ms", "250", "bound on opening a connection"),
    optional(
        "/plan",
        "\"epidemic\", \"tree\" or \"pull\"",
        "\"epidemic\"",
        "how new versions are passed on, see SPREADING.md",
    ),
    optional("/log", "true or false", "true", "events as JSON lines on standard output"),
    unset(
        "/listen/nodes",
        ADDRESS,
        "\"127.0.0.1:7004\"",
        "where other nodes send calls; absent: where callers do",
    ),
    unset(
        "/listen/ready",
        ADDRESS,
        "\"127.0.0.1:7005\"",
        "answers 200 while callers may send new work here, 503 otherwise; absent: nobody asks",
    ),
    optional(
        "/discovery",
        "\"gossip\" or \"list\"",
        "\"gossip\"",
        "upstreams by the nodes' own word, or by the platform's list",
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
        "a caller's id of a request, echoed by upstreams",
    ),
    unset(
        "/headers/caller",
        HEADER,
        "\"x-caller\"",
        "tells upstreams the service of the instance where a call began",
    ),
    unset(
        "/headers/identity",
        HEADER,
        "\"x-identity\"",
        "tells an upstream which identity is meant; another one refuses the call",
    ),
    unset(
        "/headers/refused",
        HEADER,
        "\"x-refused\"",
        "marks an upstream's answer that it did not run",
    ),
    unset(
        "/headers/stamp",
        HEADER,
        "\"x-stamp\"",
        "marks every answer that an upstream made itself",
    ),
    optional(
        "/retry_after",
        "\"seconds\" or \"milliseconds\"",
        "\"seconds\"",
        "how finely Retry-After is told: whole seconds, or with three decimals",
    ),
    unset(
        "/repeats/percent",
        "0 to 1000 % of calls",
        "20",
        "repeated calls that the whole fleet may send to a service within the window; absent: by profile",
    ),
    optional("/repeats/slack", "0 to 1000000 calls", "0", "repeats beyond that share"),
    optional("/repeats/window_ms", "1000 to 600000 ms", "10000", "length of the sliding window"),
    optional(
        "/cold_excess/percent",
        "100 to 1000 %",
        "100",
        "calls that may reach a cold upstream in any second, of those that its service's configuration names",
    ),
    optional("/cold_excess/slack", "1 to 1000000 calls", "1", "calls beyond that"),
    optional(
        "/stop/linger_ms",
        "0 to 600000 ms",
        "0",
        "a stopping node that says so at /listen/ready works on as before for this long",
    ),
    optional(
        "/stop/finish_ms",
        "0 to 600000 ms",
        "2000",
        "time at the end of a planned stop in which no more calls are taken",
    ),
    optional("/stop/limit_ms", "100 to 3600000 ms", "600000", "longest time of a planned stop"),
    optional(
        "/link_mbps",
        "0 to 1000000 Mbit/s",
        "0",
        "speed of the instance's link; 0: not known, taken as fast",
    ),
];
