//! JSON-RPC transport between nodes.
//!
//! Maps the messages of [`fleet::message`] to JSON-RPC calls and back. The protocol must stay
//! compatible between product versions, since nodes of different versions run together.

pub mod compressed;
pub mod datagram;
mod endpoint;

use fleet::{
    clock::Stamp,
    directory::Update,
    message::{Bundle, Fetch, Heartbeat, Pull, Request, Response, Sync},
    status, timeline,
};
use ingress::{
    limits::Policy,
    listener::{self, Accepted, Context, Listener},
};
use jsonrpsee::{
    server::RpcModule,
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
use tokio::task::JoinHandle;

use crate::endpoint::Endpoint;

/// Maximum size of a message, in bytes; holds a whole configuration with every character escaped.
const MAX_MESSAGE_BYTES: u32 = 12 << 20;

/// Name of the method that answers a pull with a compressed bundle.
const PULL_COMPRESSED: &str = "pull-packed";

/// JSON-RPC error code of a node that is shutting down.
const STOPPING_CODE: i32 = -32_001;

/// Future of a reply; `None` if the node is shutting down.
pub type Reply<T> = Pin<Box<dyn Future<Output = Option<T>> + Send>>;

/// Handles the requests of other nodes.
pub trait Handler: Send + std::marker::Sync + 'static {
    /// Handles a request of a peer.
    fn handle(&self, request: Request) -> Reply<Response>;
    /// Returns the node's state.
    fn status(&self) -> Reply<status::Node>;
    /// Returns the node's events after `stamp`.
    fn events(&self, stamp: Stamp) -> Reply<Vec<timeline::Event>>;
}

/// Failure of a call to another node.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No complete response within the timeout, or an error response.
    #[snafu(display("no response: {source}"))]
    NoResponse {
        /// Error of the JSON-RPC client.
        source: Box<ClientError>,
    },
    /// The response does not match the request or cannot be parsed.
    #[snafu(display("malformed response: {source}"))]
    Malformed {
        /// Error of the JSON-RPC client.
        source: Box<ClientError>,
    },
    /// A compressed response that cannot be decompressed.
    #[snafu(display("malformed response: {source}"))]
    Decompress {
        /// Error of the decompression.
        source: compressed::Error,
    },
    /// The server could not listen on its address.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The server could not be bound.
    #[snafu(display("{source}"))]
    Bind {
        /// Error of the listener, with its address.
        source: listener::Error,
    },
}

/// How a node serves messages of other nodes.
pub struct Server {
    /// Connections and memory that it shares with other listeners.
    pub context: Arc<Context>,
    /// Limits on its connections.
    pub policy: Arc<dyn Policy>,
    /// Maximum number of connections; a node whose connection is refused tries another peer.
    pub max_connections: usize,
}

/// Serves `handler` at `address` until the task is aborted; returns the bound address.
pub async fn serve(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    server: Server,
) -> Result<(SocketAddr, JoinHandle<()>), Error> {
    let listener = Listener::bind(address).await.context(BindSnafu)?;
    let address = listener.address().context(ListenSnafu { address })?;
    let Server { context, policy, max_connections } = server;
    let endpoint = Endpoint::new(rpc_module(handler), context.clone());
    let handle = move |accepted: Accepted| {
        let endpoint = endpoint.clone();
        tokio::spawn(async move { accepted.serve(async |r| endpoint.answer(r).await).await });
    };
    let served = async move { listener.serve(context, policy, max_connections, handle).await };
    Ok((address, tokio::spawn(served)))
}

/// Sends `request` to the node at `peer` and waits for the response.
pub async fn send(
    peer: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Response, Error> {
    match request {
        Request::Heartbeat(heartbeat) => {
            call(peer, "beat", heartbeat, timeout).await.map(Response::Heartbeat)
        }
        Request::Pull(pull) => pull_compressed(peer, pull, timeout).await.map(Response::Pull),
        Request::Sync(sync) => call(peer, "sync", sync, timeout).await.map(Response::Sync),
        Request::Fetch(fetch) => call(peer, "fetch", fetch, timeout).await.map(Response::Fetch),
    }
}

/// Pulls the configuration, uncompressed if the peer's product version does not support
/// compression.
async fn pull_compressed(
    peer: SocketAddr,
    pull: &Pull,
    timeout: Duration,
) -> Result<Bundle, Error> {
    match call::<_, compressed::Message>(peer, PULL_COMPRESSED, pull, timeout).await {
        Ok(message) => {
            compressed::decompress(&message, MAX_MESSAGE_BYTES.into()).context(DecompressSnafu)
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

/// Requests the state of the node at `peer`.
pub async fn status(peer: SocketAddr, timeout: Duration) -> Result<status::Node, Error> {
    call(peer, "status", &(), timeout).await
}

/// Requests the events after `stamp` from the node at `peer`.
pub async fn events(
    peer: SocketAddr,
    stamp: Stamp,
    timeout: Duration,
) -> Result<Vec<timeline::Event>, Error> {
    call(peer, "events", &stamp, timeout).await
}

/// Makes one call on a new connection.
///
/// Calls to any one peer are minutes apart, so pooled connections would cost memory on both sides
/// and could break unnoticed.
async fn call<P: Serialize, T: DeserializeOwned>(
    peer: SocketAddr,
    method: &str,
    parameter: &P,
    timeout: Duration,
) -> Result<T, Error> {
    let client = HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
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

fn rpc_module(handler: Arc<dyn Handler>) -> RpcModule<Arc<dyn Handler>> {
    let mut module = RpcModule::new(handler);
    register::<Heartbeat, Heartbeat>(&mut module, "beat", |handler, heartbeat| {
        map_reply(handler.handle(Request::Heartbeat(heartbeat)), |response| match response {
            Response::Heartbeat(heartbeat) => Some(heartbeat),
            _ => None,
        })
    });
    register::<Pull, Bundle>(&mut module, "pull", |handler, pull| {
        map_reply(handler.handle(Request::Pull(pull)), |response| match response {
            Response::Pull(bundle) => Some(bundle),
            _ => None,
        })
    });
    let cache = Arc::new(compressed::Cache::default());
    register::<Pull, compressed::Message>(&mut module, PULL_COMPRESSED, move |handler, pull| {
        let cache = cache.clone();
        map_reply(handler.handle(Request::Pull(pull)), move |response| match response {
            // Serializing a bundle to JSON cannot fail.
            Response::Pull(bundle) => cache.compress(&bundle).ok(),
            _ => None,
        })
    });
    register::<Sync, Sync>(&mut module, "sync", |handler, sync| {
        map_reply(handler.handle(Request::Sync(sync)), |response| match response {
            Response::Sync(sync) => Some(sync),
            _ => None,
        })
    });
    register::<Fetch, Update>(&mut module, "fetch", |handler, fetch| {
        map_reply(handler.handle(Request::Fetch(fetch)), |response| match response {
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

/// Registers one method. Invalid parameters are answered with an error.
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
            reply
                .ok_or_else(|| ErrorObjectOwned::owned(STOPPING_CODE, "the node stops", None::<()>))
        }
    });
    registered.expect("each method is registered once");
}

fn map_reply<A: 'static, B: 'static>(
    reply: Reply<A>,
    pick: impl FnOnce(A) -> Option<B> + Send + 'static,
) -> Reply<B> {
    Box::pin(async move { reply.await.and_then(pick) })
}
