//! Digests as datagrams: size limit and compatibility with the previous product version.

use fleet::{
    directory::{Entry, Standing, Update},
    message::{Digest, Piggyback, Rumour, Sender},
    quarantine::{CrashId, REPORTS_PER_DIGEST, REPORTS_PER_MESSAGE, Report},
};
use model::{request::Fingerprint, revision};
use peer::datagram::Socket;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
};

/// A digest of the previous version, which has no gossip about other nodes.
const PREVIOUS: &str =
    r#"{"f":{"a":"10.0.0.1:7000","i":5},"d":"a","c":3,"l":9,"p":40,"s":10,"x":false,"z":true}"#;

fn entry(number: u64) -> Entry {
    Entry {
        id: format!("i-7f3a91c2{number}"),
        service: "shelfview".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: "lalitpur-b".to_owned(),
        slots: 8,
        standing: Standing::Ready,
        cold_ms: 3_000,
        started_ms: Some(1_700_000_000_000),
        revision: packed(number),
    }
}

/// Returns a revision of an era, which takes more digits than one of the first era.
fn packed(number: u64) -> u64 {
    revision::pack(9, number).expect("the number is small")
}

fn digest(entries: u64) -> Digest {
    let list = Update {
        revision: packed(entries),
        base: Some(packed(1)),
        entries: (0..entries).map(entry).collect(),
        ..Update::default()
    };
    Digest {
        from: Sender { address: SocketAddr::from(([10, 0, 0, 2], 7_000)), incarnation: 1 },
        data_centre: "ktm-a".to_owned(),
        config: 12,
        list: packed(34),
        config_is_newest: true,
        contact_ms: Some(250),
        link_mbps: 10,
        failing: false,
        leaving: false,
        contact_ages_ms: BTreeMap::new(),
        rumours: Vec::new(),
        piggyback: Piggyback { list: Some(Box::new(list)), config: None },
        reports: Vec::new(),
    }
}

/// Returns a digest with the maximum of gossip about other nodes, and `reports` reports of poison
/// requests, each with the maximum number of crashes.
fn full(reports: u64) -> Digest {
    let rumour = |n: u16| Rumour {
        of: Sender {
            address: SocketAddr::from(([10, 100, 200, 100 + n as u8], 65_000)),
            incarnation: 1_800_000_000_000,
        },
        leaving: true,
    };
    let report = |n: u64| Report {
        request: Fingerprint(u64::MAX - n),
        crashes: (0..8).map(|id| CrashId(u32::MAX - id)).collect(),
        answered: false,
        age_ms: 36_000_000,
    };
    let data_centres = ["ktm-a", "lalitpur-b", "bhaktapur-c", "kirtipur-d"];
    Digest {
        contact_ages_ms: data_centres.map(|name| (name.to_owned(), 20_000)).into(),
        rumours: (0..6).map(rumour).collect(),
        reports: (0..reports).map(report).collect(),
        ..digest(5)
    }
}

/// Sends a digest over loopback and returns the received one.
fn round_trip(digest: &Digest) -> Digest {
    let receiver = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let target = receiver.local_addr().expect("a bound socket");
    let socket = Socket::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
    assert_eq!(socket.send(&[target], digest), 0);
    let mut buffer = [0; 4_096];
    let size = receiver.recv(&mut buffer).expect("a datagram over loopback");
    assert!(size <= 1_200, "one packet");
    serde_json::from_slice(&buffer[..size]).expect("a valid digest")
}

/// Sends a digest with `entries` changed entries and checks how many are received.
#[track_caller]
fn check(entries: u64, expect: Option<usize>) {
    let received = round_trip(&digest(entries));
    assert_eq!(received.list, packed(34));
    assert_eq!(received.piggyback.list.map(|list| list.entries.len()), expect);
}

/// Guards against a digest that exceeds one packet: it is truncated, and all nodes pull the list.
#[test]
fn changes_are_piggybacked_only_if_they_fit() {
    check(1, Some(1));
    check(5, Some(5));
    check(20, None);
}

/// Guards against reports of poison requests that make a digest exceed one packet.
#[test]
fn reports_are_limited_to_the_space_left_in_a_digest() {
    let received = round_trip(&full(REPORTS_PER_DIGEST as u64));
    assert_eq!((received.reports.len(), received.rumours.len()), (REPORTS_PER_DIGEST, 6));
    let received = round_trip(&full(40));
    assert!((REPORTS_PER_DIGEST..40).contains(&received.reports.len()));
    let received =
        round_trip(&Digest { reports: full(REPORTS_PER_MESSAGE as u64).reports, ..digest(0) });
    assert_eq!(received.reports.len(), REPORTS_PER_MESSAGE);
}

/// Guards against names of data centres that make a digest exceed one packet.
#[test]
fn contact_ages_are_limited_to_the_space_left_in_a_digest() {
    let name = |number: u64| format!("{number}{}", "n".repeat(199));
    let contact_ages_ms = (0..6).map(|number| (name(number), number)).collect();
    let long = Digest { data_centre: name(7), contact_ages_ms, ..full(REPORTS_PER_DIGEST as u64) };
    let received = round_trip(&long);
    assert_eq!((received.data_centre, received.config), (long.data_centre, long.config));
    assert!((1..6).contains(&received.contact_ages_ms.len()));
}

#[test]
fn digest_of_the_previous_version_is_parsed() {
    let received: Digest = serde_json::from_str(PREVIOUS).expect("a valid digest");
    assert!(received.leaving && received.piggyback.is_empty() && received.rumours.is_empty());
    assert_eq!((received.config, received.list, received.contact_ms), (3, 9, Some(40)));
}

/// The previous version rejects a digest that lacks one of these fields.
#[test]
fn digest_has_the_fields_required_by_the_previous_version() {
    let json = serde_json::to_value(digest(1)).expect("a digest is JSON");
    for field in ["f", "d", "c", "l"] {
        assert!(json.get(field).is_some(), "{field}");
    }
}
