//! Detects crashes of the colocated upstream and the requests that were running.

use model::request::{Fingerprint, Suspect};
use policy::{
    outcome::{Outcome, Uncertainty},
    suspects::Loss,
};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

use crate::{
    call::{Answer, Offer},
    net::pool::ConnectError,
    proxy::Proxy,
    upstream::Failure,
};

/// Delay before each probe connection; the calls of a crashed process all break within it.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Refused connections that confirm a crash; a full accept queue may refuse one.
const REFUSALS_TO_CONFIRM: usize = 2;

/// Limit on probe connections; on a busy instance some may time out.
const MAX_PROBES: usize = 6;

/// A call running on the upstream; records it as abandoned if dropped before its end.
pub(crate) struct Run<'a> {
    proxy: &'a Arc<Proxy>,
    offer: &'a Offer,
    request: Fingerprint,
    ended: bool,
}

impl<'a> Run<'a> {
    /// Starts tracking `offer` as running on the upstream.
    pub(crate) fn begin(proxy: &'a Arc<Proxy>, offer: &'a Offer) -> Self {
        let request = proxy.fingerprint(&offer.payload, &proxy.settings.service);
        Run { proxy, offer, request, ended: false }
    }

    /// Records the result; a broken call starts a crash probe.
    pub(crate) fn end(mut self, result: &Result<Answer, Failure>) {
        self.ended = true;
        match result {
            // An upstream may also answer with an error before it crashes, so this does not clear
            // the request.
            Ok(answer) if answer.head.status().is_server_error() => {}
            Ok(_) => self.proxy.record_answered(self.request),
            Err(Failure::Final(Outcome::Unknown(Uncertainty::Broken | Uncertainty::BadAnswer))) => {
                self.record(Loss::Broken);
                probe(self.proxy);
            }
            Err(Failure::Final(Outcome::Unknown(Uncertainty::Timeout))) => {
                self.record(Loss::Abandoned)
            }
            Err(Failure::Final(Outcome::NotRun(..)) | Failure::Unsent) => {}
        }
    }

    fn record(&self, loss: Loss) {
        let suspect = Suspect { request: self.request, label: self.offer.payload.label() };
        self.proxy.crashes.record_loss(suspect, loss, self.proxy.clock.now());
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.record(Loss::Abandoned);
        }
    }
}

/// Starts a crash probe, unless one is running.
pub(crate) fn probe(proxy: &Arc<Proxy>) {
    if proxy.crashes.begin_probe() {
        let proxy = proxy.clone();
        tokio::spawn(async move {
            let has_crashed = has_crashed(&proxy).await;
            proxy.crashes.finish_probe(has_crashed, proxy.clock.now());
        });
    }
}

/// Returns whether the upstream refuses connections and has answered nothing since the first
/// refusal.
///
/// Answers sent before a crash may be read after the calls that broke with it.
async fn has_crashed(proxy: &Proxy) -> bool {
    let mut refused = Vec::new();
    for _ in 0..MAX_PROBES {
        sleep(PROBE_INTERVAL).await;
        match proxy.pool.open(proxy.settings.upstream, proxy.tuning().connect_timeout).await {
            Ok(connection) => {
                proxy.pool.put(proxy.settings.upstream, connection);
                return false;
            }
            Err(ConnectError::Failed) => {}
            Err(ConnectError::Refused) => refused.push(proxy.clock.now()),
        }
        if refused.len() == REFUSALS_TO_CONFIRM {
            return !proxy.crashes.has_answered_after(refused[0]);
        }
    }
    false
}
