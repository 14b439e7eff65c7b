//! Summaries as datagrams: what fits into one packet, and what other product versions understand.

use fleet::{
    directory::{Entry, Standing, Update},
    message::{Digest, Piggyback, Rumour, Sender},
    quarantine::{End, REPORTS_PER_DIGEST, REPORTS_PER_MESSAGE, Report},
};
use model::request::Fingerprint;
use peer::datagram::Socket;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
};

/// What a node of the version without hearsay sends.
const FORMER: &str =
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
        revision: number,
    }
}

fn digest(entries: u64) -> Digest {
    let list = Update {
        revision: entries,
        base: Some(1),
        entries: (0..entries).map(entry).collect(),
        removed: Vec::new(),
        orders: None,
    };
    Digest {
        from: Sender { address: SocketAddr::from(([10, 0, 0, 2], 7_000)), incarnation: 1 },
        data_centre: "ktm-a".to_owned(),
        config: 12,
        list: 34,
        contact_ms: Some(250),
        link_mbps: 10,
        failing: false,
        leaving: false,
        heard_ms: BTreeMap::new(),
        rumours: Vec::new(),
        piggyback: Piggyback { list: Some(Box::new(list)), config: None },
        reports: Vec::new(),
    }
}

/// Returns a summary that tells as much of other nodes as any, and `reports` of requests under which as many
/// upstreams ended as are told apart.
fn full(reports: u64) -> Digest {
    let about = |n: u16| Rumour {
        of: Sender {
            address: SocketAddr::from(([10, 100, 200, 100 + n as u8], 65_000)),
            incarnation: 1_800_000_000_000,
        },
        leaving: true,
    };
    let report = |n: u64| Report {
        request: Fingerprint(u64::MAX - n),
        ends: (0..8).map(|end| End(u32::MAX - end)).collect(),
        answered: false,
        age_ms: 36_000_000,
    };
    let places = ["ktm-a", "lalitpur-b", "bhaktapur-c", "kirtipur-d"];
    Digest {
        heard_ms: places.map(|place| (place.to_owned(), 20_000)).into(),
        rumours: (0..6).map(about).collect(),
        reports: (0..reports).map(report).collect(),
        ..digest(5)
    }
}

/// Sends a summary and returns what arrives.
fn carry(digest: &Digest) -> Digest {
    let receiver = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has ports");
    let target = receiver.local_addr().expect("it is bound");
    let socket = Socket::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("as above");
    assert_eq!(socket.send(&[target], digest), 0);
    let mut buffer = [0; 4_096];
    let size = receiver.recv(&mut buffer).expect("loopback loses no single packet");
    assert!(size <= 1_200, "one packet");
    serde_json::from_slice(&buffer[..size]).expect("it was a summary")
}

/// Sends a summary with so many changed entries and compares how many arrive with it.
#[track_caller]
fn check(entries: u64, expect: Option<usize>) {
    let heard = carry(&digest(entries));
    assert_eq!(heard.list, 34);
    assert_eq!(heard.piggyback.list.map(|list| list.entries.len()), expect);
}

/// Hundreds of nodes pull the list at once: the summary that carried the change was longer than a packet,
/// and nobody could read what arrived of it.
#[test]
fn a_change_travels_with_a_summary_only_if_it_fits() {
    check(1, Some(1));
    check(5, Some(5));
    check(20, None);
}

/// Word of a request that ends upstreams makes the fullest summaries longer than a packet, and nobody reads
/// anything of them any more.
#[test]
fn what_a_summary_tells_of_ends_fits_beside_all_the_rest() {
    let told = carry(&full(REPORTS_PER_DIGEST as u64));
    assert_eq!((told.reports.len(), told.rumours.len()), (REPORTS_PER_DIGEST, 6));
    let told = carry(&full(40));
    assert!((REPORTS_PER_DIGEST..40).contains(&told.reports.len()));
    let told = carry(&Digest { reports: full(REPORTS_PER_MESSAGE as u64).reports, ..digest(0) });
    assert_eq!(told.reports.len(), REPORTS_PER_MESSAGE);
}

#[test]
fn summaries_of_the_former_version_are_understood() {
    let heard: Digest = serde_json::from_str(FORMER).expect("it is a summary");
    assert!(heard.leaving && heard.piggyback.is_empty() && heard.rumours.is_empty());
    assert_eq!((heard.config, heard.list, heard.contact_ms), (3, 9, Some(40)));
}

/// A node of the former version drops what lacks one of the fields that it has always been told.
#[test]
fn the_former_version_finds_what_it_needs() {
    let told = serde_json::to_value(digest(1)).expect("a summary is JSON");
    for field in ["f", "d", "c", "l"] {
        assert!(told.get(field).is_some(), "{field}");
    }
}
