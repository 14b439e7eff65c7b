//! Choice of the peer from which a starting node pulls its first configuration.

use fleet::{
    clock::{Now, Stamp},
    control::{Control, Effect, Event, Settings},
    member::{Record, State},
    message::{Heartbeat, Request, Response, Sender},
};
use model::{config::Version, time::Time};
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn now(ms: u64) -> Now {
    Now { time: Time::from_millis(ms), wall_ms: 1_000 + ms }
}

fn node() -> Control {
    let own = Record {
        address: address(1),
        traffic: address(1),
        instance: "paydesk-1".to_owned(),
        service: "paydesk".to_owned(),
        data_centre: "ktm-a".to_owned(),
        incarnation: 1,
        sequence: 0,
        state: State::Live,
    };
    Control::new(Settings::new(own), now(0))
}

fn heartbeat(port: u16, revision: u64) -> Event {
    let heartbeat = Heartbeat {
        from: Sender { address: address(port), incarnation: 1 },
        stamp: Stamp::default(),
        version: Version { revision, ..Version::default() },
        members: 0,
        contact: None,
        data_centre: "ktm-a".to_owned(),
        rumours: vec![],
        reports: vec![],
    };
    Event::Response(address(port), Response::Heartbeat(heartbeat))
}

/// Applies events at their times, in ms; compares the ports of the peers that the node pulls from.
#[track_caller]
fn check(events: &[(u64, Event)], expect: &[u16]) {
    let mut node = node();
    let mut pulled = Vec::new();
    for (ms, event) in events {
        for effect in node.apply(event.clone(), now(*ms)) {
            if let Effect::Send(peer, Request::Pull(_), _) = effect {
                pulled.push(peer.port());
            }
        }
    }
    assert_eq!(pulled, expect);
}

/// Guards against a restarted node that starts with the outdated configuration of the first peer to answer.
#[test]
fn a_starting_node_pulls_the_highest_version_received_within_the_join_wait() {
    let tick = Event::Tick;
    check(
        &[(10, heartbeat(2, 5)), (20, heartbeat(3, 9)), (30, heartbeat(4, 7)), (450, tick.clone())],
        &[3],
    );
    check(&[(10, heartbeat(2, 5)), (450, tick.clone())], &[2]);
    check(&[(10, heartbeat(2, 5)), (390, tick.clone())], &[]);
    check(&[(450, tick), (460, heartbeat(2, 5)), (470, heartbeat(3, 9))], &[2]);
}
