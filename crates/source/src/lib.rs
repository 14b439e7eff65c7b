//! Read-only client of the platform, which holds the configuration and the list of instances.
//!
//! The node depends on the trait [`Source`]; [`Http`] implements it with long polling. The JSON is
//! a public API, which the platform and its test double implement:
//!
//! | request | response |
//! |---|---|
//! | `GET /v1/config?base=B&after=A&wait_ms=W` | 200 with a [`Delta`] since revision B (without `base`: all documents) as soon as the revision exceeds A; 204 with the header `platform-revision` after W ms without a change |
//! | `GET /v1/instances?after=A&wait_ms=W` | the same with a [`Listing`] |
//! | `GET /v1/news?after=A&wait_ms=W` | the same with a [`Changeset`]: configuration and instances at one revision, for nodes in list mode |
//!
//! Status 429 means that the platform's rate limit for reads is exceeded, 410 that it does not have the changes
//! after A. The header `platform-era` of `/v1/news` rises each time the platform comes back from an older copy and
//! gives revisions out again; the revisions of configurations are the operators' own and do not go back.

use fleet::{
    directory::Update,
    source::{Answer, Changeset, Failure, Listing, Query, Topic},
};
use model::{
    document::{Delta, MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, MAX_SET_BYTES},
    fault::Fault,
    revision,
};
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, Snafu};
use std::{io::Read, net::SocketAddr, time::Duration};

/// Header with the platform's current revision in a 204 response.
pub const REVISION_HEADER: &str = "platform-revision";

/// Header with the platform's era in a response with changes of configuration and list.
pub const ERA_HEADER: &str = "platform-era";

/// Maximum size of a response body, in bytes; leaves room for JSON escapes.
const MAX_RESPONSE_BYTES: u64 = 3 * MAX_SET_BYTES as u64;

/// Timeout for connecting, and for the response in addition to the long-polling time.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Source of the configuration and of the list of instances.
pub trait Source: Send + Sync {
    /// Makes one call and blocks until its answer or failure.
    fn read(&self, query: Query) -> Answer;
}

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    reader: String,
}

/// Failure of a call.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("cannot reach the platform: {source}"))]
    Reach { source: attohttpc::Error },
    #[snafu(display("cannot read the response body: {source}"))]
    Body { source: std::io::Error },
    #[snafu(display("rate limit exceeded"))]
    RateLimited,
    #[snafu(display("the changes after the requested revision are not available"))]
    Compacted,
    #[snafu(display("unexpected status {status}"))]
    Status { status: u16 },
    #[snafu(display("the response exceeds {MAX_RESPONSE_BYTES} bytes"))]
    Large,
    #[snafu(display("malformed response: {source}"))]
    Json { source: serde_json::Error },
    #[snafu(display("{reason}"))]
    Content { reason: String },
}

/// A successful response.
enum Response {
    /// Body of a 200 response.
    Body(Vec<u8>),
    /// The platform's revision in a 204 response.
    Unchanged(u64),
}

/// A successful response, with the platform's era.
struct Dated {
    era: u64,
    response: Response,
}

impl Http {
    /// Creates a client of the platform at `address` that identifies itself as `reader`.
    pub fn new(address: SocketAddr, reader: impl Into<String>) -> Self {
        Http { address, reader: reader.into() }
    }

    fn get(&self, path: &str, wait: Duration) -> Result<Response, Error> {
        self.get_dated(path, wait).map(|dated| dated.response)
    }

    fn get_dated(&self, path: &str, wait: Duration) -> Result<Dated, Error> {
        let response = attohttpc::get(format!("http://{}{path}", self.address))
            .header("baobab-reader", &self.reader)
            .connect_timeout(TIMEOUT)
            .read_timeout(wait + TIMEOUT)
            .timeout(wait + TIMEOUT * 2)
            .send()
            .context(ReachSnafu)?;
        let era = number_in(&response, ERA_HEADER);
        let response = match response.status().as_u16() {
            200 => read_body(response),
            204 => Ok(Response::Unchanged(number_in(&response, REVISION_HEADER))),
            410 => CompactedSnafu.fail(),
            429 => RateLimitedSnafu.fail(),
            status => StatusSnafu { status }.fail(),
        };
        Ok(Dated { era, response: response? })
    }

    /// Reads the changes after the packed revision `after`, or everything without a revision.
    fn changes(&self, after: Option<u64>, wait: Duration) -> Result<Changeset, Error> {
        // The first call requests everything, without waiting for a change.
        let wait = after.map_or(Duration::ZERO, |_| wait);
        let number = revision::number(after.unwrap_or(0));
        let path = format!("/v1/news?after={number}&wait_ms={}", wait.as_millis());
        let Dated { era, response } = self.get_dated(&path, wait)?;
        if after.is_some_and(|after| revision::era(after) != era) {
            return CompactedSnafu.fail();
        }
        let changeset = match response {
            Response::Unchanged(revision) => unchanged_changeset(revision, number),
            Response::Body(text) => parse::<Changeset>(&text)?,
        };
        let reason = format!("era {era} or a revision of it is too large");
        let list = changeset.list.in_era(era).context(ContentSnafu { reason })?;
        Ok(Changeset { revision: list.revision, list, ..changeset })
    }
}

impl Source for Http {
    fn read(&self, query: Query) -> Answer {
        match query {
            Query::Changes { after, wait } => match self.changes(after, wait) {
                Ok(changeset) => Answer::Changes(changeset),
                Err(error) => Answer::Failed(Topic::Changes, to_failure(error)),
            },
            Query::Config { base, after, wait } => {
                let base = base.map(|b| format!("&base={b}")).unwrap_or_default();
                let path = format!("/v1/config?after={after}&wait_ms={}{base}", wait.as_millis());
                to_answer(Topic::Config, self.get(&path, wait), |text| {
                    parse::<Delta>(text).and_then(check_delta).map(Answer::Config)
                })
            }
            Query::List { after, wait } => {
                let path = format!("/v1/instances?after={after}&wait_ms={}", wait.as_millis());
                to_answer(Topic::List, self.get(&path, wait), |text| {
                    parse::<Listing>(text).and_then(check_listing).map(Answer::List)
                })
            }
        }
    }
}

fn unchanged_changeset(revision: u64, after: u64) -> Changeset {
    let revision = revision.max(after);
    let list = Update { revision, base: Some(after), ..Update::default() };
    Changeset { revision, list, ..Changeset::default() }
}

fn to_answer(
    topic: Topic,
    response: Result<Response, Error>,
    read: impl FnOnce(&[u8]) -> Result<Answer, Error>,
) -> Answer {
    let result = response.and_then(|response| match response {
        Response::Body(text) => read(&text),
        Response::Unchanged(revision) => Ok(Answer::Unchanged(topic, revision)),
    });
    result.unwrap_or_else(|error| Answer::Failed(topic, to_failure(error)))
}

fn to_failure(error: Error) -> Failure {
    match error {
        Error::RateLimited => Failure::RateLimited,
        Error::Compacted => Failure::Compacted,
        Error::Json { .. } | Error::Content { .. } | Error::Large => {
            Failure::Malformed(Fault::new("platform", "", error.to_string()))
        }
        Error::Reach { .. } | Error::Body { .. } | Error::Status { .. } => {
            Failure::Unreachable(error.to_string())
        }
    }
}

fn read_body(response: attohttpc::Response) -> Result<Response, Error> {
    let mut text = Vec::new();
    let (_, _, reader) = response.split();
    reader.take(MAX_RESPONSE_BYTES + 1).read_to_end(&mut text).context(BodySnafu)?;
    if text.len() as u64 > MAX_RESPONSE_BYTES {
        return LargeSnafu.fail();
    }
    Ok(Response::Body(text))
}

/// Returns the number in a header; 0 if it is absent or none.
fn number_in(response: &attohttpc::Response, header: &str) -> u64 {
    let value = response.headers().get(header);
    value.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn parse<T: DeserializeOwned>(text: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(text).context(JsonSnafu)
}

/// Rejects a delta that violates the platform's limits, before it is stored.
fn check_delta(delta: Delta) -> Result<Delta, Error> {
    let oversized = delta.documents.iter().find(|d| d.text.len() > MAX_DOCUMENT_BYTES);
    if let Some(document) = oversized {
        let reason = format!("{} exceeds {MAX_DOCUMENT_BYTES} bytes", document.key);
        return ContentSnafu { reason }.fail();
    }
    if delta.documents.len() > MAX_DOCUMENTS {
        return ContentSnafu { reason: format!("more than {MAX_DOCUMENTS} documents") }.fail();
    }
    if let Some(document) = delta.documents.iter().find(|d| d.modified > delta.revision) {
        let reason = format!("{} is newer than the revision of the delta", document.key);
        return ContentSnafu { reason }.fail();
    }
    Ok(delta)
}

fn check_listing(listing: Listing) -> Result<Listing, Error> {
    let mut addresses: Vec<SocketAddr> = listing.instances.iter().map(|i| i.address).collect();
    addresses.sort();
    match addresses.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => {
            let reason = format!("duplicate instance address {}", pair[0]);
            ContentSnafu { reason }.fail()
        }
        None => Ok(listing),
    }
}
