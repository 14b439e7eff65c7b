//! Messages between nodes.
//!
//! Fields may be added; a receiver ignores those it does not know and gives those it misses their
//! default, so that two product versions can run side by side during an upgrade. Field names are
//! short because a beat is sent every second by every node.

use model::{config::Version, document::Delta};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, ops::Not};

use crate::{clock::Stamp, directory::Update, member::Record, quarantine::Report, source::Contact};

/// Number of groups into which records are divided to find differences.
pub const BUCKETS: usize = 32;

/// Who speaks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Its address for messages between nodes.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its present life.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// Proof of life with a summary of what the sender holds; sent as probe, announcement and reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Who speaks.
    #[serde(rename = "f")]
    pub from: Sender,
    /// The sender's clock.
    #[serde(rename = "c")]
    pub stamp: Stamp,
    /// Version in force at the sender.
    #[serde(rename = "v")]
    pub version: Version,
    /// Digest of the sender's records.
    #[serde(rename = "m")]
    pub members: u64,
    /// The freshest contact with the platform that the sender knows of in its data centre.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub contact: Option<Contact>,
    /// The sender's data centre, to which `contact` belongs.
    #[serde(default, rename = "d")]
    pub data_centre: String,
    /// Records that changed lately.
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Record>,
    /// Requests under which upstreams ended.
    #[serde(default, rename = "q", skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
}

/// Asks for the version in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pull {
    /// Revision that the asker holds; none asks for every document.
    pub have: Option<u64>,
    /// Digests of the asker's documents per bucket; empty asks for what changed since `have`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<u64>,
    /// Bytes of documents after which the answer should end; none asks for everything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// The version in force at the replier.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bundle {
    /// Version that the delta leads to.
    pub version: Version,
    /// What the asker lacks, or the first part of it.
    pub delta: Delta,
    /// Whether the asker lacks more than this.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub more: bool,
}

/// Exchanges records: digests per bucket and those records that the other side may lack.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sync {
    /// Who speaks.
    pub from: Sender,
    /// Digests of the sender's records per bucket; empty asks for all.
    pub buckets: Vec<u64>,
    /// Records for the receiver.
    pub records: Vec<Record>,
}

/// Asks for the list of upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Revision up to which the asker holds everything; none asks for the whole list.
    pub have: Option<u64>,
}

/// Summary that a node in listed mode sends to others, unasked and without an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Who speaks.
    #[serde(rename = "f")]
    pub from: Sender,
    /// The sender's data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Revision of the configuration in force at the sender; 0 for none.
    #[serde(rename = "c")]
    pub config: u64,
    /// Revision up to which the sender holds the list of upstreams; 0 for nothing.
    #[serde(rename = "l")]
    pub list: u64,
    /// Time since the platform last answered any node that the sender has heard of, in ms.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub contact_ms: Option<u64>,
    /// Speed of the sender's link, in Mbit/s; 0 where it is not known.
    #[serde(default, rename = "s")]
    pub link_mbps: u32,
    /// Whether the platform fails the sender.
    #[serde(default, rename = "x", skip_serializing_if = "Not::not")]
    pub failing: bool,
    /// Whether the sender takes no more work.
    #[serde(default, rename = "z", skip_serializing_if = "Not::not")]
    pub leaving: bool,
    /// Time since any node of another data centre spoke to the sender itself, in ms, by data centre;
    /// only in fleets in which not every node speaks to every other one within seconds.
    #[serde(default, rename = "h", skip_serializing_if = "BTreeMap::is_empty")]
    pub heard_ms: BTreeMap<String, u64>,
    /// What other nodes said of themselves lately.
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
    /// What the sender has just learnt, if that is little.
    #[serde(default, rename = "n", skip_serializing_if = "Piggyback::is_empty")]
    pub piggyback: Piggyback,
    /// Requests under which upstreams ended.
    #[serde(default, rename = "q", skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
}

/// What a node said of itself, as told by others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumour {
    /// The node.
    #[serde(flatten)]
    pub of: Sender,
    /// Whether that life of it takes no more work.
    #[serde(default, rename = "z", skip_serializing_if = "Not::not")]
    pub leaving: bool,
}

/// Small changes that travel with a summary, so that nobody has to ask for them.
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
    /// Tells whether nothing is told.
    pub fn is_empty(&self) -> bool {
        self.list.is_none() && self.config.is_none()
    }
}

/// What leads from one version of the configuration to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Revision that the receiver must have in force.
    #[serde(rename = "b")]
    pub base: u64,
    /// Version that the result must have.
    #[serde(rename = "v")]
    pub version: Version,
    /// What changed.
    #[serde(rename = "d")]
    pub delta: Delta,
}

/// What one node asks of another.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Probe or announcement.
    Heartbeat(Heartbeat),
    /// Asks for the configuration.
    Pull(Pull),
    /// Exchanges records.
    Sync(Sync),
    /// Asks for the list of upstreams.
    Fetch(Fetch),
}

/// Answer to a [`Request`] of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Answer to a probe or announcement.
    Heartbeat(Heartbeat),
    /// The configuration.
    Pull(Bundle),
    /// Records.
    Sync(Sync),
    /// Changes of the list of upstreams.
    Fetch(Update),
}
