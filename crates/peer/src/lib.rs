//! Messages between nodes over JSON-RPC.
//!
//! This crate exists so that no other one knows how messages travel. It turns the messages of
//! [`fleet::message`] into calls and back; it decides nothing. It is an API border: nodes of two
//! product versions talk to each other through it.

pub mod compressed;
pub mod datagram;

use fleet::{
    clock::Stamp,
    directory::Update,
    message::{Bundle, Fetch, Heartbeat, Pull, Request, Response, Sync},
    status, timeline,
};
use jsonrpsee::{
    server::{RpcModule, ServerBuilder, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, error::METHOD_NOT_FOUND_CODE},
};
use jsonrpsee_core::{
    client::{ClientT, Error as ClientError},
    params::ArrayParams,
};
use jsonrpsee_http_client::HttpClientBuilder;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

/// Largest message, in bytes: a whole configuration with every character escaped.
const MESSAGE_LIMIT: u32 = 12 << 20;

/// Most connections that a node accepts from others; a node that is refused asks another.
const CONNECTION_LIMIT: u32 = 128;

/// Method that answers a pull with a packed bundle.
const PULL_COMPRESSED: &str = "pull-packed";

/// JSON-RPC error code of a node that does not answer because it stops.
const STOPPING: i32 = -32_001;

/// The future of an answer.
pub type Reply<T> = Pin<Box<dyn Future<Output = Option<T>> + Send>>;

/// What a node answers to others; an empty reply means that it stops.
pub trait Handler: Send + std::marker::Sync + 'static {
    /// Answers a message.
    fn handle(&self, request: Request) -> Reply<Response>;
    /// Returns the node's state.
    fn status(&self) -> Reply<status::Node>;
    /// Returns the node's events after `stamp`.
    fn events(&self, stamp: Stamp) -> Reply<Vec<timeline::Event>>;
}

/// Failure of a call to another node.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No whole answer in time.
    #[snafu(display("no answer: {source}"))]
    NoResponse {
        /// What the library says.
        source: Box<ClientError>,
    },
    /// An answer that is none to the question.
    #[snafu(display("a malformed answer: {source}"))]
    Malformed {
        /// What the library says.
        source: Box<ClientError>,
    },
    /// A packed answer that cannot be unpacked.
    #[snafu(display("a malformed answer: {source}"))]
    Decompress {
        /// What is wrong with it.
        source: compressed::Error,
    },
    /// The address could not be listened on.
    #[snafu(display("cannot listen: {source}"))]
    Listen {
        /// What the system says.
        source: std::io::Error,
    },
}

/// Serves `handler` at `address` until the handle is dropped or stopped.
pub async fn serve(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
) -> Result<(SocketAddr, ServerHandle), Error> {
    let config = ServerConfig::builder()
        .max_request_body_size(MESSAGE_LIMIT)
        .max_response_body_size(MESSAGE_LIMIT)
        .max_connections(CONNECTION_LIMIT)
        .http_only()
        .build();
    let server = ServerBuilder::with_config(config).build(address).await.context(ListenSnafu)?;
    let address = server.local_addr().context(ListenSnafu)?;
    Ok((address, server.start(module(handler))))
}

/// Sends `request` to the node at `peer`.
pub async fn send(
    peer: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Response, Error> {
    match request {
        Request::Heartbeat(beat) => {
            call(peer, "beat", beat, timeout).await.map(Response::Heartbeat)
        }
        Request::Pull(pull) => pull_compressed(peer, pull, timeout).await.map(Response::Pull),
        Request::Sync(sync) => call(peer, "sync", sync, timeout).await.map(Response::Sync),
        Request::Fetch(fetch) => call(peer, "fetch", fetch, timeout).await.map(Response::Fetch),
    }
}

/// Pulls the configuration, packed if the other node's version of the product can pack it.
async fn pull_compressed(
    peer: SocketAddr,
    pull: &Pull,
    timeout: Duration,
) -> Result<Bundle, Error> {
    match call::<_, compressed::Message>(peer, PULL_COMPRESSED, pull, timeout).await {
        Ok(message) => {
            compressed::decompress(&message, MESSAGE_LIMIT.into()).context(DecompressSnafu)
        }
        Err(Error::NoResponse { source }) if is_unknown_method(&source) => {
            call(peer, "pull", pull, timeout).await
        }
        Err(error) => Err(error),
    }
}

fn is_unknown_method(error: &ClientError) -> bool {
    matches!(error, ClientError::Call(object) if object.code() == METHOD_NOT_FOUND_CODE)
}

/// Asks the node at `peer` for its state.
pub async fn status(peer: SocketAddr, timeout: Duration) -> Result<status::Node, Error> {
    call(peer, "status", &(), timeout).await
}

/// Asks the node at `peer` for its events after `stamp`.
pub async fn events(
    peer: SocketAddr,
    stamp: Stamp,
    timeout: Duration,
) -> Result<Vec<timeline::Event>, Error> {
    call(peer, "events", &stamp, timeout).await
}

/// Makes one call on a connection of its own.
///
/// A node speaks to any one of hundreds of others once in minutes. Connections kept in between
/// would cost memory on both sides and go silent unnoticed; see docs/LIBRARIES.md for the figures.
async fn call<P: Serialize, T: DeserializeOwned>(
    peer: SocketAddr,
    method: &str,
    parameter: &P,
    timeout: Duration,
) -> Result<T, Error> {
    let client = HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(MESSAGE_LIMIT)
        .max_response_size(MESSAGE_LIMIT)
        .build(format!("http://{peer}"))
        .map_err(|e| Error::NoResponse { source: Box::new(e) })?;
    let mut parameters = ArrayParams::new();
    parameters
        .insert(parameter)
        .map_err(|e| Error::Malformed { source: Box::new(ClientError::ParseError(e)) })?;
    client.request(method, parameters).await.map_err(|e| {
        let source = Box::new(e);
        match *source {
            ClientError::ParseError(_) | ClientError::InvalidRequestId(_) => {
                Error::Malformed { source }
            }
            _ => Error::NoResponse { source },
        }
    })
}

fn module(handler: Arc<dyn Handler>) -> RpcModule<Arc<dyn Handler>> {
    let mut module = RpcModule::new(handler);
    register::<Heartbeat, Heartbeat>(&mut module, "beat", |handler, beat| {
        map(handler.handle(Request::Heartbeat(beat)), |response| match response {
            Response::Heartbeat(beat) => Some(beat),
            _ => None,
        })
    });
    register::<Pull, Bundle>(&mut module, "pull", |handler, pull| {
        map(handler.handle(Request::Pull(pull)), |response| match response {
            Response::Pull(bundle) => Some(bundle),
            _ => None,
        })
    });
    let cache = Arc::new(compressed::Cache::default());
    register::<Pull, compressed::Message>(&mut module, PULL_COMPRESSED, move |handler, pull| {
        let cache = cache.clone();
        map(handler.handle(Request::Pull(pull)), move |response| match response {
            // A bundle is plain data, which always has a JSON form.
            Response::Pull(bundle) => cache.compress(&bundle).ok(),
            _ => None,
        })
    });
    register::<Sync, Sync>(&mut module, "sync", |handler, sync| {
        map(handler.handle(Request::Sync(sync)), |response| match response {
            Response::Sync(sync) => Some(sync),
            _ => None,
        })
    });
    register::<Fetch, Update>(&mut module, "fetch", |handler, fetch| {
        map(handler.handle(Request::Fetch(fetch)), |response| match response {
            Response::Fetch(update) => Some(update),
            _ => None,
        })
    });
    register::<(), status::Node>(&mut module, "status", |handler, ()| handler.status());
    register::<Stamp, Vec<timeline::Event>>(&mut module, "events", |handler, stamp| {
        handler.events(stamp)
    });
    module
}

/// Registers one method: parameters that do not parse are an error to the sender, and the node
/// goes on.
fn register<P: DeserializeOwned + Send, T: Serialize + Clone + Send + 'static>(
    module: &mut RpcModule<Arc<dyn Handler>>,
    name: &'static str,
    method: impl Fn(&dyn Handler, P) -> Reply<T> + Clone + Send + std::marker::Sync + 'static,
) {
    let registered = module.register_async_method(name, move |parameters, handler, _| {
        let method = method.clone();
        async move {
            let parameter: P = parameters.one()?;
            let reply = method(handler.as_ref().as_ref(), parameter).await;
            reply.ok_or_else(|| ErrorObjectOwned::owned(STOPPING, "the node stops", None::<()>))
        }
    });
    registered.expect("each method is registered once");
}

fn map<A: 'static, B: 'static>(
    reply: Reply<A>,
    pick: impl FnOnce(A) -> Option<B> + Send + 'static,
) -> Reply<B> {
    Box::pin(async move { reply.await.and_then(pick) })
}
