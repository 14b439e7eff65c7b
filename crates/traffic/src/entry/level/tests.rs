//! Tests of the wait for concurrent siblings.

use hyper::{HeaderMap, Method, Uri};
use ingress::stream::{Probe, Stream};
use model::{profile::Profile, time::Time};
use policy::{
    admission::Rank,
    budget::{Benefit, Level, Lineage, Settings},
    outcome::{Cause, Outcome},
    pause,
    retry::Kind,
};
use std::{
    net::TcpListener,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};
use telemetry::metric::Meter;
use tokio::runtime::Builder;

use crate::{
    call::{Call, Options, Payload},
    clock::Clock,
    entry::level::settle,
    proxy::{Proxy, settings},
    record::Trace,
    wire::Content,
};

/// Longer than any test.
const HOUR: Duration = Duration::from_secs(3_600);

/// Whether more useful retries are wanted.
#[derive(Clone, Copy)]
enum Demand {
    Some,
    None,
}

/// The caller's side of its connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Caller {
    Waits,
    Left,
}

/// Checks the result for a nested call that ends after `remaining` and whose sibling begins after `sibling`.
#[track_caller]
fn check(
    demand: Demand,
    caller: Caller,
    remaining: Duration,
    sibling: Duration,
    expect: Result<(), Outcome>,
) {
    let pause = pause::Settings { gap: HOUR, ..pause::Settings::default() };
    let settings = settings::Settings { pause, ..settings::Settings::default() };
    let meter = Arc::new(Meter::new().expect("metrics can be set up"));
    let proxy = Proxy::new(settings, Clock::default(), meter);
    let now = proxy.clock.now();
    let _parent = proxy.running.begin("p", Rank::default(), Lineage::First, now + HOUR);
    let nested = proxy.running.begin_nested("p.1", now);
    let _sibling = proxy.running.begin_nested("p.2", now + sibling);
    if let Demand::Some = demand {
        let level = Level { benefit: Benefit::Completes, priority: 0 };
        proxy.services.with("s", |s| {
            (0..9).for_each(|_| s.demand.record_wanted(level, now));
            // Leaves a retry, which is reserved.
            (0..20).for_each(|_| s.window.record_call(&Settings::default(), now));
        });
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let runtime = Builder::new_current_thread().enable_all().build().expect("it can be built");
    let result = runtime.block_on(async {
        let address = listener.local_addr().expect("the listener has an address");
        let stream = Stream::connect(address).await.expect("the listener accepts");
        let (peer, _) = listener.accept().expect("the stream has connected");
        let origin = stream.probe();
        // Dropping the caller's side closes the connection.
        let _peer = Some(peer).filter(|_| caller == Caller::Waits);
        let (profile, trace) = (Profile::default(), Trace::new("p.1".to_owned()));
        let deadline = now + remaining;
        let call = call(&profile, &trace, origin, now, deadline);
        settle(&proxy, &call, &Settings::default(), nested.as_ref()).await
    });
    assert_eq!(result, expect);
}

fn call<'a>(
    profile: &'a Profile,
    trace: &'a Trace,
    origin: Probe,
    received: Time,
    deadline: Time,
) -> Call<'a> {
    let options = Options {
        kind: Kind::Once,
        timeout_ms: 0,
        attempts: 2,
        objective_ms: None,
        priority: 0,
        route: String::new(),
    };
    Call {
        service: "s",
        profile,
        options,
        payload: Payload::new(Method::GET, Uri::default(), HeaderMap::new(), Content::default()),
        received,
        deadline,
        due: None,
        transfer_by: None,
        rank: Rank::default(),
        lineage: Lineage::First,
        nested_refusals: AtomicU32::new(0),
        origin,
        trace,
    }
}

const MOMENT: Duration = Duration::from_millis(1);

/// Guards against delayed decisions where no retry is reserved, which have no reason to wait.
#[test]
fn no_decision_waits_without_a_reserve() {
    check(Demand::None, Caller::Waits, HOUR, HOUR, Ok(()));
    check(Demand::None, Caller::Left, HOUR, HOUR, Ok(()));
}

/// Guards against a wait that ends the call although nothing forbids a further attempt.
#[test]
fn a_decision_that_waited_goes_on() {
    check(Demand::Some, Caller::Waits, HOUR, MOMENT * 100, Ok(()));
}

/// Guards against a wait to the deadline, after which the call would be late instead of refused.
#[test]
fn no_decision_waits_until_the_deadline() {
    check(Demand::Some, Caller::Waits, MOMENT, HOUR, Ok(()));
}

/// Guards against a retry for a caller that left during the wait.
#[test]
fn a_caller_that_leaves_during_the_wait_ends_the_call() {
    check(Demand::Some, Caller::Left, HOUR, MOMENT * 100, Err(Cause::Cancelled.outcome()));
}
