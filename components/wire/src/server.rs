//! The HTTP server of a process. It applies limits, checks tokens and reads bodies before it calls
//! the handler of a route.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::Protocol;
use actix_http::Request;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_server::Server;
use actix_server::ServerHandle;
use actix_service::ServiceFactoryExt;
use actix_tls::accept::TlsError;
use actix_tls::accept::rustls_0_23::Acceptor;
use actix_tls::accept::rustls_0_23::TlsStream;
use bytes::Bytes;
use bytes::BytesMut;
use chicoryford_ingress::Ingress;
use chicoryford_ingress::Limits;
use chicoryford_ingress::Phase;
use chicoryford_ingress::Slot;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::call::Call;
use crate::keys::Identity;
use crate::keys::Keys;
use crate::keys::Kind;
use crate::progress;
use crate::reply;
use crate::reply::Reply;
use crate::routes::Routes;
use crate::tracked;
use crate::tracked::MAX_BUFFERED_BYTES;
use crate::tracked::Tracked;

/// The name of HTTP/2 in the negotiation of the protocol.
const H2: &[u8] = b"h2";
/// Milliseconds after which a client may retry for whose body there was no memory.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// The limits of a server.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// The maximum size of a body, in bytes.
    pub body: usize,
    /// The maximum number of open connections, over all workers.
    pub connections: usize,
    /// The timeout for receiving the headers of a request, and again for its body. A client that
    /// opens a connection and sends nothing, or one byte per second, would otherwise occupy it for
    /// ever.
    pub read: Duration,
    /// The time after which an idle connection is closed.
    pub idle: Duration,
    /// The number of worker threads.
    pub workers: usize,
    /// What the process may hold for its clients, over all workers.
    pub clients: Limits,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body: 8 << 20,
            connections: 20_000,
            read: Duration::from_secs(10),
            idle: Duration::from_secs(75),
            workers: 2,
            clients: Limits::default(),
        }
    }
}

/// The server could not be started.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Binding the address failed.
    #[error("cannot listen on {0}")]
    Bind(SocketAddr, #[source] std::io::Error),
    /// Setting up the server failed.
    #[error("cannot start the HTTP server")]
    Start(#[source] std::io::Error),
}

/// A running server.
pub struct Running {
    /// The address that it listens on, with the actual port if the settings specify port zero.
    pub address: SocketAddr,
    /// A handle to stop the server.
    pub handle: ServerHandle,
}

/// Starts a server in the caller's actix system.
///
/// `routes` is called once on each worker thread.
///
/// # Errors
///
/// Returns [`ServeError`] if the address cannot be bound.
pub fn serve<F>(
    address: SocketAddr,
    bounds: &Bounds,
    keys: Arc<Keys>,
    tls: Option<Arc<rustls::ServerConfig>>,
    routes: F,
) -> Result<Running, ServeError>
where
    F: Fn() -> Routes + Send + Clone + 'static,
{
    serve_on(listen(address)?, bounds, keys, tls, routes)
}

/// Binds an address, so that a process can determine its port before it announces the address.
///
/// # Errors
///
/// Returns [`ServeError::Bind`] if the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).map_err(|e| ServeError::Bind(address, e))
}

/// Starts a server like [`serve`], on an address that is already bound.
///
/// # Errors
///
/// Returns [`ServeError`] if the server cannot be set up.
pub fn serve_on<F>(
    listener: TcpListener,
    bounds: &Bounds,
    keys: Arc<Keys>,
    tls: Option<Arc<rustls::ServerConfig>>,
    routes: F,
) -> Result<Running, ServeError>
where
    F: Fn() -> Routes + Send + Clone + 'static,
{
    let address = listener.local_addr().map_err(ServeError::Start)?;
    let limits = bounds.clone();
    let builder = Server::build()
        .workers(bounds.workers)
        // Per worker. A worker at its limit stops accepting, so nothing would be closed for others.
        .max_concurrent_connections(bounds.connections)
        .shutdown_timeout(1)
        .disable_signals();
    let ingress = Ingress::new(Limits { connections: Some(bounds.connections), ..bounds.clients });
    let builder = match tls {
        None => builder.listen("http", listener, move || {
            let ingress = ingress.clone();
            actix_service::fn_service(move |stream: TcpStream| {
                send_at_once(&stream);
                let peer = stream.peer_addr().ok();
                let tracked = Tracked::new(stream, &ingress);
                async move { Ok((tracked?, Protocol::Http1, peer)) }
            })
            .and_then(service(limits.clone(), keys.clone(), routes()))
        }),
        Some(tls) => builder.listen("https", listener, move || {
            let ingress = ingress.clone();
            let mut tls = rustls::ServerConfig::clone(&tls);
            tls.alpn_protocols = vec![H2.to_vec(), b"http/1.1".to_vec()];
            let http = service(limits.clone(), keys.clone(), routes());
            Acceptor::new(tls)
                .map_init_err(|_| ())
                .map_err(TlsError::into_service_error)
                .and_then(move |stream: TlsStream<TcpStream>| {
                    let (socket, session) = stream.get_ref();
                    let protocol = match session.alpn_protocol() {
                        Some(H2) => Protocol::Http2,
                        _ => Protocol::Http1,
                    };
                    send_at_once(socket);
                    let peer = socket.peer_addr().ok();
                    let tracked = Tracked::new(stream, &ingress);
                    async move {
                        let tracked = tracked.map_err(|error| TlsError::Service(error.into()))?;
                        Ok((tracked, protocol, peer))
                    }
                })
                .and_then(http.map_err(TlsError::Service))
        }),
    };
    let server = builder.map_err(ServeError::Start)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Running { address, handle })
}

/// Disables the delay of small writes.
fn send_at_once(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        // The peer has already disconnected.
        tracing::debug!(event = "socket_untuned", %error);
    }
}

type ReplyResult = Result<Reply, actix_http::Error>;

// The type lists the bounds that actix-http requires of a service; an alias would not be shorter.
#[allow(clippy::type_complexity)]
fn service<T>(
    bounds: Bounds,
    keys: Arc<Keys>,
    routes: Routes,
) -> HttpService<
    Tracked<T>,
    impl actix_service::ServiceFactory<
        Request,
        Config = (),
        Response = Reply,
        Error = actix_http::Error,
        InitError = (),
        Service = impl actix_service::Service<
            Request,
            Response = Reply,
            Error = actix_http::Error,
            Future = LocalBoxFuture<'static, ReplyResult>,
        > + 'static,
    > + 'static,
    actix_http::body::BoxBody,
>
where
    T: actix_codec::AsyncRead + actix_codec::AsyncWrite + Unpin + 'static,
{
    let routes = Rc::new(routes);
    let (max_body, timeout) = (bounds.body, bounds.read);
    let handler = actix_service::fn_service(move |request: Request| {
        let (routes, keys) = (routes.clone(), keys.clone());
        let reply: LocalBoxFuture<'static, ReplyResult> = Box::pin(async move {
            // Each connection has a slot from its start.
            let slot = request.conn_data::<Arc<Slot>>().cloned();
            let mut is_read = !has_body(request.headers());
            let bounds = (max_body, timeout);
            let reply =
                handle(request, slot.as_deref(), &routes, &keys, bounds, &mut is_read).await;
            Ok(match slot {
                Some(slot) if is_read => tracked::hold_reply(reply, slot),
                Some(slot) => {
                    // The library keeps what it has buffered of the body until the connection ends.
                    slot.begin(Phase::Closing);
                    reply::close(reply)
                }
                None if is_read => reply,
                None => reply::close(reply),
            })
        });
        reply
    });
    HttpService::build()
        .keep_alive(bounds.idle)
        .client_request_timeout(bounds.read)
        .on_connect_ext(|stream: &Tracked<T>, data| {
            data.insert(stream.slot().clone());
        })
        .finish(handler)
}

async fn handle(
    mut request: Request,
    slot: Option<&Slot>,
    routes: &Routes,
    keys: &Keys,
    (max_body, timeout): (usize, Duration),
    is_read: &mut bool,
) -> Reply {
    let path = request.path().to_owned();
    let Some(route) = routes.find(&path) else {
        return reply::failure(&Failure::not_run(Code::NotFound, format!("no route {path}")));
    };
    let identity = match identify(&request, keys, route.kinds) {
        Ok(identity) => identity,
        Err(failure) => return reply::failure(&failure),
    };
    let guard = routes.guard(&path);
    let query = request.uri().query().unwrap_or_default().to_owned();
    let declared = declared_length(request.headers());
    if declared.is_some_and(|length| length > max_body) {
        return reply::failure(&too_large(max_body));
    }
    let memory = BodyMemory { slot, held: 0 };
    let collected = async {
        if !route.has_body {
            return Ok(Bytes::new());
        }
        read_body(&mut request, max_body, declared, memory).await
    };
    let body = match actix_rt::time::timeout(timeout, collected).await {
        Ok(Ok(bytes)) => {
            *is_read |= route.has_body;
            bytes
        }
        Ok(Err(failure)) => return reply::failure(&failure),
        Err(_) => {
            let detail = format!("the body did not arrive within {} s", timeout.as_secs());
            return reply::failure(&Failure::not_run(Code::BadRequest, detail));
        }
    };
    let handler = route.handler.clone();
    let call = Call {
        identity,
        method: request.method().clone(),
        path,
        query,
        headers: request.headers().clone(),
        body,
        peer: request.peer_addr(),
    };
    let reply = handler(call).await;
    match guard {
        Some(guard) => progress::hold(reply, guard),
        None => reply,
    }
}

fn identify(
    request: &Request,
    keys: &Keys,
    kinds: &'static [Kind],
) -> Result<Option<Identity>, Failure> {
    if kinds.is_empty() {
        return Ok(None);
    }
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.strip_prefix("Bearer ")).map(str::trim);
    let identity = token.and_then(|token| keys.identify(token)).ok_or_else(|| {
        Failure::not_run(Code::Unauthenticated, "the bearer token is missing or unknown")
    })?;
    if !kinds.contains(&identity.kind) {
        let detail = format!("a token of kind {:?} may not use this path", identity.kind);
        return Err(Failure::not_run(Code::Forbidden, detail));
    }
    Ok(Some(identity))
}

/// Returns whether a body follows. The connection is closed after the reply to a request whose body was
/// not read: the library would buffer the rest.
fn has_body(headers: &HeaderMap) -> bool {
    let declared = declared_length(headers).unwrap_or_default();
    declared > 0 || headers.contains_key(header::TRANSFER_ENCODING)
}

fn declared_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large(max_body: usize) -> Failure {
    Failure::not_run(Code::TooLarge, format!("the body exceeds {max_body} bytes"))
}

/// The memory of the body that is being read.
struct BodyMemory<'a> {
    slot: Option<&'a Slot>,
    held: usize,
}

impl BodyMemory<'_> {
    /// Holds memory for a body that will have at least this size.
    fn grow(&mut self, bytes: usize) -> Result<(), Failure> {
        if bytes <= self.held {
            return Ok(());
        }
        self.held = 2 * bytes;
        let held = (self.held + MAX_BUFFERED_BYTES.min(self.held)) as u64;
        if self.slot.is_none_or(|slot| slot.hold(held)) {
            return Ok(());
        }
        let detail = "there is no memory for the body";
        Err(Failure::not_run(Code::Overloaded, detail).retry_after(NO_MEMORY_RETRY_AFTER_MS))
    }
}

async fn read_body(
    request: &mut Request,
    max_body: usize,
    declared: Option<usize>,
    mut memory: BodyMemory<'_>,
) -> Result<Bytes, Failure> {
    if let Some(slot) = memory.slot {
        slot.begin(Phase::Body);
    }
    let mut payload = request.take_payload();
    // The declared length is held at once, so that an admitted body can be completed.
    memory.grow(declared.unwrap_or_default().div_ceil(2))?;
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            Failure::not_run(Code::BadRequest, format!("the body was cut off: {error}"))
        })?;
        if body.len() + chunk.len() > max_body {
            return Err(too_large(max_body));
        }
        memory.grow(body.len() + chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    if let Some(slot) = memory.slot {
        slot.begin(Phase::Serving);
    }
    Ok(body.freeze())
}
