//! Whether the own upstream has ended, and which requests it worked on then.

use model::request::{Fingerprint, Suspect};
use policy::{
    outcome::{Doubt, Outcome},
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

/// Time between two questions whether anybody listens at the upstream's address, and before the first.
///
/// All calls of a process that ends are broken within a few milliseconds.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Refusals that show that nobody listens. A listener that is full may refuse one connection, hardly two in a
/// row.
const REFUSALS_TO_CONFIRM: usize = 2;

/// Most questions; on a busy instance a refusal may come later than a connection is waited for.
const MAX_PROBES: usize = 6;

/// A call that the upstream works on, until its end is noted or this is dropped.
pub(crate) struct Run<'a> {
    proxy: &'a Arc<Proxy>,
    offer: &'a Offer,
    request: Fingerprint,
    ended: bool,
}

impl<'a> Run<'a> {
    /// Notes that the upstream is to work on `offer`.
    pub(crate) fn begin(proxy: &'a Arc<Proxy>, offer: &'a Offer) -> Self {
        let request = proxy.fingerprint(&offer.payload, &proxy.settings.service);
        Run { proxy, offer, request, ended: false }
    }

    /// Notes how it ended.
    pub(crate) fn end(mut self, result: &Result<Answer, Failure>) {
        self.ended = true;
        match result {
            // An upstream says that it failed before it ends, too, such as when a call that it made was
            // refused. That clears nothing.
            Ok(answer) if answer.head.status().is_server_error() => {}
            Ok(_) => self.proxy.note_answered(self.request),
            Err(Failure::Final(Outcome::Unknown(Doubt::Broken | Doubt::BadAnswer))) => {
                self.record(Loss::Broken);
                probe(self.proxy);
            }
            Err(Failure::Final(Outcome::Unknown(Doubt::Timeout))) => self.record(Loss::Abandoned),
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

/// Finds out whether the upstream has ended, unless that is being found out.
pub(crate) fn probe(proxy: &Arc<Proxy>) {
    if proxy.crashes.begin_probe() {
        let proxy = proxy.clone();
        tokio::spawn(async move {
            let has_crashed = has_crashed(&proxy).await;
            proxy.crashes.finish_probe(has_crashed, proxy.clock.now());
        });
    }
}

/// Tells whether nobody listens at the upstream's address, and nothing was answered since that is known.
///
/// What the process answered in its last moment may be read here after the calls that broke with it.
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
