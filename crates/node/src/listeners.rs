//! Limits on the listeners of other nodes' messages and of operators.

use ingress::limits::{Limits, Policy, Reason};
use std::{sync::Arc, time::Duration};
use telemetry::metric::Meter;
use traffic::Proxy;

/// Limits towards other nodes and operators, whose connections carry one request each.
const LIMITS: Limits = Limits {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(5),
    header_bytes: 16 << 10,
    answer: Duration::from_secs(60),
};

/// Memory of unfinished heads, in bytes.
const HEAD_BYTES: usize = 1 << 20;

/// Limits on a listener.
pub(crate) struct Rules {
    listener: &'static str,
    proxy: Arc<Proxy>,
    meter: Arc<Meter>,
}

impl Rules {
    /// Returns the limits on connections for messages of other nodes.
    pub(crate) fn peers(proxy: Arc<Proxy>, meter: Arc<Meter>) -> Self {
        Rules { listener: "peers", proxy, meter }
    }

    /// Returns the limits on connections to the operators' HTTP endpoint.
    pub(crate) fn operators(proxy: Arc<Proxy>, meter: Arc<Meter>) -> Self {
        Rules { listener: "operators", proxy, meter }
    }
}

impl Policy for Rules {
    fn limits(&self) -> Limits {
        LIMITS
    }

    fn head_memory(&self) -> usize {
        HEAD_BYTES
    }

    fn count_closed(&self, reason: Reason) {
        self.proxy.count_closed(self.listener, reason);
    }

    fn set_open(&self, connections: usize) {
        self.meter.set_open_connections(self.listener, connections as u64);
    }
}
