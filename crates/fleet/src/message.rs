//! Messages between nodes.
//!
//! Fields may be added: a receiver ignores unknown fields and uses defaults for missing ones, so that two
//! product versions interoperate during an upgrade. Short field names keep frequent messages small.

use model::{config::Version, document::Delta};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, ops::Not};

use crate::{clock::Stamp, directory::Update, member::Record, quarantine::Report, source::Contact};

/// Number of buckets into which member records are hashed for anti-entropy.
pub const BUCKETS: usize = 32;

/// Identity of the sender of a message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Its address for messages between nodes.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// Heartbeat with digests of the sender's state; sent as probe, announcement and reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Sender,
    /// Timestamp of the sender's clock.
    #[serde(rename = "c")]
    pub stamp: Stamp,
    /// Version in force at the sender.
    #[serde(rename = "v")]
    pub version: Version,
    /// Digest of the sender's member records.
    #[serde(rename = "m")]
    pub members: u64,
    /// The latest successful platform call known in the sender's data centre.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub contact: Option<Contact>,
    /// The sender's data centre, to which `contact` belongs.
    #[serde(default, rename = "d")]
    pub data_centre: String,
    /// Recently changed member records.
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Record>,
    /// Requests that are suspected of crashing upstreams.
    #[serde(default, rename = "q", skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
}

/// Request for the configuration in force at the receiver.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pull {
    /// Revision that the requester holds; none requests all documents.
    pub have: Option<u64>,
    /// Digests of the requester's documents per bucket; if empty, requests the changes since
    /// `have`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<u64>,
    /// Maximum size of the documents in the reply, in bytes; none for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// Reply to a [`Pull`]: documents of the version in force at the sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bundle {
    /// Version that results from the complete delta.
    pub version: Version,
    /// What the requester lacks, or the first part of it.
    pub delta: Delta,
    /// Whether the delta was cut at the requested limit.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub more: bool,
}

/// Anti-entropy exchange of member records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sync {
    /// The sender.
    pub from: Sender,
    /// Digests of the sender's records per bucket; if empty, requests all records.
    pub buckets: Vec<u64>,
    /// Records that the receiver may lack.
    pub records: Vec<Record>,
}

/// Request for the list of upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Revision up to which the requester's list is complete; none requests the whole list.
    pub have: Option<u64>,
}

/// Gossip digest of a node in list mode; sent periodically, without a reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Sender,
    /// The sender's data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Revision of the configuration in force at the sender; 0 for none.
    #[serde(rename = "c")]
    pub config: u64,
    /// Revision up to which the sender's list of upstreams is complete; 0 for none.
    #[serde(rename = "l")]
    pub list: u64,
    /// Whether `config` is known to be the newest configuration as of revision `list`.
    #[serde(default, rename = "k", skip_serializing_if = "Not::not")]
    pub config_is_newest: bool,
    /// Time since the platform last replied to any node that the sender knows of, in ms.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub contact_ms: Option<u64>,
    /// Bandwidth of the sender's link, in Mbit/s; 0 if unknown.
    #[serde(default, rename = "s")]
    pub link_mbps: u32,
    /// Whether the sender's platform calls fail.
    #[serde(default, rename = "x", skip_serializing_if = "Not::not")]
    pub failing: bool,
    /// Whether the sender is draining.
    #[serde(default, rename = "z", skip_serializing_if = "Not::not")]
    pub leaving: bool,
    /// Time since the sender last received a message from each other data centre, in ms; only in
    /// fleets too large for every node to gossip with every other within seconds.
    #[serde(default, rename = "h", skip_serializing_if = "BTreeMap::is_empty")]
    pub contact_ages_ms: BTreeMap<String, u64>,
    /// What other nodes recently reported about themselves.
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
    /// Small recent changes.
    #[serde(default, rename = "n", skip_serializing_if = "Piggyback::is_empty")]
    pub piggyback: Piggyback,
    /// Requests that are suspected of crashing upstreams.
    #[serde(default, rename = "q", skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
}

/// What a node reported about itself, as relayed by another node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumour {
    /// The node and its incarnation.
    #[serde(flatten)]
    pub of: Sender,
    /// Whether that incarnation is draining.
    #[serde(default, rename = "z", skip_serializing_if = "Not::not")]
    pub leaving: bool,
}

/// Small changes sent along with a digest, which save the receiver a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piggyback {
    /// Changes of the list of upstreams.
    #[serde(default, rename = "l", skip_serializing_if = "Option::is_none")]
    pub list: Option<Box<Update>>,
    /// Changes of the configuration.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub config: Option<Patch>,
}

impl Piggyback {
    /// Returns whether it contains no changes.
    pub fn is_empty(&self) -> bool {
        self.list.is_none() && self.config.is_none()
    }
}

/// A delta between two versions of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Revision that the receiver must have in force.
    #[serde(rename = "b")]
    pub base: u64,
    /// Version that the result must have.
    #[serde(rename = "v")]
    pub version: Version,
    /// The changed documents.
    #[serde(rename = "d")]
    pub delta: Delta,
}

/// A request from one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Probe or announcement.
    Heartbeat(Heartbeat),
    /// Request for the configuration.
    Pull(Pull),
    /// Anti-entropy exchange of member records.
    Sync(Sync),
    /// Request for the list of upstreams.
    Fetch(Fetch),
}

/// Reply to the [`Request`] of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Reply to a probe or announcement.
    Heartbeat(Heartbeat),
    /// Documents of the configuration.
    Pull(Bundle),
    /// Member records that the requester lacks.
    Sync(Sync),
    /// Changes of the list of upstreams.
    Fetch(Update),
}
