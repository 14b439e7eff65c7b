//! Tests with a middlebox that drops the state of established connections.

mod rig;

use fleet::member::State;
use rig::{Rig, record};
use standins::{
    caller::{Call, Caller},
    upstream::Settings,
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const PROFILE: &str = r#"{"deadline_ms": 1500, "idle_ms": 3000}"#;

/// A TCP relay. Bytes on connections made before [`Middlebox::drop_state`] are discarded silently.
struct Middlebox {
    address: SocketAddr,
    generation: Arc<AtomicUsize>,
}

impl Middlebox {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let generation = Arc::new(AtomicUsize::new(0));
        let current = generation.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let Ok(outbound) = TcpStream::connect(target) else { continue };
                let opened_in = current.load(Ordering::SeqCst);
                let directions =
                    [(inbound.try_clone(), outbound.try_clone()), (Ok(outbound), Ok(inbound))];
                for (from, to) in directions {
                    let current = current.clone();
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    thread::spawn(move || relay(from, to, &current, opened_in));
                }
            }
        });
        Middlebox { address, generation }
    }

    fn drop_state(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn relay(mut from: TcpStream, mut to: TcpStream, current: &AtomicUsize, opened_in: usize) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let is_dropped = current.load(Ordering::SeqCst) != opened_in;
        if !is_dropped && to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

/// Returns a rig with six pooled connections through a middlebox that has dropped their state.
fn rig_behind_middlebox() -> (Rig, Middlebox) {
    let work = Duration::from_millis(60);
    let rig = Rig::new(vec![Settings { service_time: work, ..Settings::default() }], PROFILE);
    let middlebox = Middlebox::start(rig.nodes[0].traffic);
    rig.set_view(&[record(0, middlebox.address, State::Live)]);
    let entry = rig.entry.traffic;
    let warm: Vec<_> = (0..6)
        .map(|i| {
            let call = Call::post("/paydesk/pay", &format!("warm-{i}"));
            rig.runtime.spawn(async move { Caller::new(entry).call(&call).await })
        })
        .collect();
    for call in warm {
        let answer = rig.runtime.block_on(call).expect("the task ends").expect("the node answers");
        assert_eq!(answer.outcome(), "answered");
    }
    middlebox.drop_state();
    (rig, middlebox)
}

/// Guards against a non-idempotent call with an unknown outcome because it reused an old connection.
#[test]
fn a_non_idempotent_call_does_not_reuse_an_old_connection() {
    let (rig, _middlebox) = rig_behind_middlebox();
    thread::sleep(Duration::from_millis(3_100));
    let answer = rig.call(&Call::post("/paydesk/pay", "early"));
    assert_eq!((answer.outcome(), rig.runs("early")), ("answered", 1));
}

/// Guards against an idempotent call that fails on a recent dead connection to the only upstream.
#[test]
fn an_idempotent_call_on_a_dead_connection_is_retried_on_a_new_one() {
    let (rig, _middlebox) = rig_behind_middlebox();
    assert_eq!(rig.call(&Call::get("/paydesk/balance")).outcome(), "answered");
}

/// Guards against a wrong outcome on a recent dead connection, and against reuse of the others.
#[test]
fn a_non_idempotent_call_on_a_recent_dead_connection_is_unknown() {
    let (rig, _middlebox) = rig_behind_middlebox();
    let answer = rig.call(&Call::post("/paydesk/pay", "lost"));
    assert_eq!((answer.outcome(), rig.runs("lost")), ("unknown", 0));
    let answer = rig.call(&Call::post("/paydesk/pay", "next"));
    assert_eq!((answer.outcome(), rig.runs("next")), ("answered", 1));
}
