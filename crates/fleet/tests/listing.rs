//! Merging the platform's list of instances in gossip mode.

use fleet::{
    clock::Now,
    control::{Control, Event, Settings},
    member::{Record, State},
    message::{Request, Sender, Sync},
    source::{Answer, Instance, Listing},
};
use model::time::Time;
use std::net::SocketAddr;

const PEERS: u16 = 6;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn now() -> Now {
    Now { time: Time::from_millis(1_000), wall_ms: 1_000 }
}

fn record(port: u16) -> Record {
    Record {
        address: address(port),
        traffic: address(port),
        instance: format!("paydesk-{port}"),
        service: "paydesk".to_owned(),
        data_centre: "ktm-a".to_owned(),
        incarnation: 1,
        sequence: 0,
        state: State::Live,
    }
}

fn listing(revision: u64, ports: &[u16], leaving: &[u16]) -> Listing {
    let instance = |&port: &u16| Instance {
        instance: format!("paydesk-{port}"),
        address: address(port),
        leaving: leaving.contains(&port),
    };
    Listing { revision, instances: ports.iter().map(instance).collect() }
}

/// Applies lists on node 1, which knows nodes 2 to 6; compares which of them still take work.
#[track_caller]
fn check(listings: &[Listing], expect: &[u16]) {
    let mut node = Control::new(Settings::new(record(1)), now());
    let sync = Sync {
        from: Sender { address: address(2), incarnation: 1 },
        buckets: vec![],
        records: (2..=PEERS).map(record).collect(),
    };
    node.apply(Event::Request(Request::Sync(sync)), now());
    for listing in listings {
        node.apply(Event::Source(Answer::List(listing.clone())), now());
    }
    let working: Vec<u16> =
        node.roster().others().filter(|r| r.state.takes_work()).map(|r| r.address.port()).collect();
    assert_eq!(working, expect);
}

/// Guards against taking a stale list from a lagging replica for a removal of instances added later.
#[test]
fn an_older_list_is_ignored() {
    let all: Vec<u16> = (1..=PEERS).collect();
    let old = listing(4, &[1, 2, 3, 4, 5], &[]);
    check(&[listing(5, &all, &[]), old], &[2, 3, 4, 5, 6]);
    check(&[listing(5, &all, &[]), listing(6, &[1, 2, 3, 4, 5], &[])], &[2, 3, 4, 5]);
}

#[test]
fn a_leaving_node_stays_leaving_in_later_lists() {
    let all: Vec<u16> = (1..=PEERS).collect();
    check(&[listing(1, &all, &[3]), listing(2, &all, &[])], &[2, 4, 5, 6]);
}

#[test]
fn a_node_that_was_never_listed_still_takes_work() {
    check(&[listing(1, &[1, 2, 3, 4, 5], &[])], &[2, 3, 4, 5, 6]);
}
