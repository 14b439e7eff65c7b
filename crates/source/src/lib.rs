//! The platform as a port, and its HTTP form.
//!
//! This crate exists so that the node depends on [`Source`] and not on how a platform is reached.
//! The JSON that the platform serves is an API border: it is what our users' configuration service
//! and the stand-in speak. Nothing here writes to the platform.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/config?base=B&after=A&wait_ms=W` | 200 with a [`Delta`] since revision B (no `base`: all), as soon as the revision exceeds A; 204 with `platform-revision` when W ms pass without |
//! | `GET /v1/instances?after=A&wait_ms=W` | likewise, with a [`Listing`] |
//! | `GET /v1/news?after=A&wait_ms=W` | likewise, with a [`Changeset`]: configuration and upstreams under one revision, for nodes in list mode |
//!
//! 429 means that the platform is over its limit of reads.

use fleet::{
    directory::Update,
    source::{Answer, Changeset, Failure, Listing, Query, Topic},
};
use model::{
    document::{Delta, MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, MAX_SET_BYTES},
    fault::Fault,
};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::{io::Read, net::SocketAddr, time::Duration};

/// Header with the platform's present revision in an answer without content.
pub const REVISION_HEADER: &str = "platform-revision";

/// Largest answer that is read, in bytes; JSON escapes can double a text.
const ANSWER_LIMIT: u64 = 3 * MAX_SET_BYTES as u64;

/// Time for connecting, and for the answer beyond the time that the platform may hold a call.
const PATIENCE: Duration = Duration::from_secs(2);

/// Where configuration and list come from.
pub trait Source: Send + Sync {
    /// Makes one call and waits for its answer.
    fn read(&self, query: Query) -> Answer;
}

/// A platform reached by HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    reader: String,
}

/// Why a call failed.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("the platform cannot be reached: {source}"))]
    Reach { source: attohttpc::Error },
    #[snafu(display("the answer broke off: {source}"))]
    Body { source: std::io::Error },
    #[snafu(display("over the limit of reads"))]
    Refused,
    #[snafu(display("status {status}"))]
    Status { status: u16 },
    #[snafu(display("the answer is larger than {ANSWER_LIMIT} bytes"))]
    Large,
    #[snafu(display("{source}"))]
    Json { source: serde_json::Error },
    #[snafu(display("{reason}"))]
    Content { reason: String },
}

/// A successful answer.
enum Found {
    Text(Vec<u8>),
    Nothing(u64),
}

impl Http {
    /// Creates a source at `address` that calls itself `reader`.
    pub fn new(address: SocketAddr, reader: impl Into<String>) -> Self {
        Http { address, reader: reader.into() }
    }

    fn get(&self, path: &str, wait: Duration) -> Result<Found, Error> {
        let response = attohttpc::get(format!("http://{}{path}", self.address))
            .header("baobab-reader", &self.reader)
            .connect_timeout(PATIENCE)
            .read_timeout(wait + PATIENCE)
            .timeout(wait + PATIENCE * 2)
            .send()
            .context(ReachSnafu)?;
        match response.status().as_u16() {
            200 => read_body(response),
            204 => Ok(Found::Nothing(revision_of(&response))),
            429 => RefusedSnafu.fail(),
            status => StatusSnafu { status }.fail(),
        }
    }
}

impl Source for Http {
    fn read(&self, query: Query) -> Answer {
        match query {
            Query::Changes { after, wait } => {
                // A first call asks for everything at once.
                let wait = after.map_or(Duration::ZERO, |_| wait);
                let after = after.unwrap_or(0);
                let path = format!("/v1/news?after={after}&wait_ms={}", wait.as_millis());
                let unchanged = |revision| Answer::Changes(nothing_new(revision, after));
                match self.get(&path, wait) {
                    Ok(Found::Nothing(revision)) => unchanged(revision),
                    Ok(Found::Text(text)) => {
                        let news = parse::<Changeset>(&text).map(Answer::Changes);
                        news.unwrap_or_else(|error| Answer::Failed(Topic::Changes, failure(error)))
                    }
                    Err(error) => Answer::Failed(Topic::Changes, failure(error)),
                }
            }
            Query::Config { base, after, wait } => {
                let base = base.map(|b| format!("&base={b}")).unwrap_or_default();
                let path = format!("/v1/config?after={after}&wait_ms={}{base}", wait.as_millis());
                answer(Topic::Config, self.get(&path, wait), |text| {
                    parse::<Delta>(text).and_then(check_delta).map(Answer::Config)
                })
            }
            Query::List { after, wait } => {
                let path = format!("/v1/instances?after={after}&wait_ms={}", wait.as_millis());
                answer(Topic::List, self.get(&path, wait), |text| {
                    parse::<Listing>(text).and_then(check_listing).map(Answer::List)
                })
            }
        }
    }
}

fn nothing_new(revision: u64, after: u64) -> Changeset {
    let revision = revision.max(after);
    let list = Update { revision, base: Some(after), ..Update::default() };
    Changeset { revision, list, ..Changeset::default() }
}

fn answer(
    topic: Topic,
    found: Result<Found, Error>,
    read: impl FnOnce(&[u8]) -> Result<Answer, Error>,
) -> Answer {
    let result = found.and_then(|found| match found {
        Found::Text(text) => read(&text),
        Found::Nothing(revision) => Ok(Answer::Unchanged(topic, revision)),
    });
    result.unwrap_or_else(|error| Answer::Failed(topic, failure(error)))
}

fn failure(error: Error) -> Failure {
    match error {
        Error::Refused => Failure::RateLimited,
        Error::Json { .. } | Error::Content { .. } | Error::Large => {
            Failure::Malformed(Fault::new("platform", "", error.to_string()))
        }
        Error::Reach { .. } | Error::Body { .. } | Error::Status { .. } => {
            Failure::Unreachable(error.to_string())
        }
    }
}

fn read_body(response: attohttpc::Response) -> Result<Found, Error> {
    let mut text = Vec::new();
    let (_, _, reader) = response.split();
    reader.take(ANSWER_LIMIT + 1).read_to_end(&mut text).context(BodySnafu)?;
    if text.len() as u64 > ANSWER_LIMIT {
        return LargeSnafu.fail();
    }
    Ok(Found::Text(text))
}

fn revision_of(response: &attohttpc::Response) -> u64 {
    let value = response.headers().get(REVISION_HEADER);
    value.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn parse<T: DeserializeOwned>(text: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(text).context(JsonSnafu)
}

/// Refuses what no platform that keeps its word would serve, before memory is spent on it.
fn check_delta(delta: Delta) -> Result<Delta, Error> {
    let large = delta.documents.iter().find(|d| d.text.len() > MAX_DOCUMENT_BYTES);
    if let Some(document) = large {
        let reason = format!("{} exceeds {MAX_DOCUMENT_BYTES} bytes", document.key);
        return ContentSnafu { reason }.fail();
    }
    if delta.documents.len() > MAX_DOCUMENTS {
        return ContentSnafu { reason: format!("more than {MAX_DOCUMENTS} documents") }.fail();
    }
    if let Some(document) = delta.documents.iter().find(|d| d.modified > delta.revision) {
        let reason = format!("{} is newer than the revision that holds it", document.key);
        return ContentSnafu { reason }.fail();
    }
    Ok(delta)
}

fn check_listing(listing: Listing) -> Result<Listing, Error> {
    let mut addresses: Vec<SocketAddr> = listing.instances.iter().map(|i| i.address).collect();
    addresses.sort();
    match addresses.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => {
            let reason = format!("two instances are listed at {}", pair[0]);
            ContentSnafu { reason }.fail()
        }
        None => Ok(listing),
    }
}
