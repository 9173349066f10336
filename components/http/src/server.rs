//! The server side: reads complete requests, detects when the caller disconnects, and writes
//! complete replies.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::KeepAlive;
use actix_http::Response;
use actix_http::ServiceConfig;
use actix_http::body::BodySize;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::message::Headers;
use crate::message::Reply;
use crate::message::Request;
use crate::message::StatusCode;
use crate::socket;

/// Timeout for the write of a reply, for callers that read slowly or not at all.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the rest of an early refused request is read and dropped. Closing a socket with
/// unread bytes resets it, and the reset could overtake the reply that gives the reason.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an idle connection is still read after [`Server::close`]. The load balancer sends
/// no new requests after two failed health checks, one second apart; callers may send until then.
const CLOSE_GRACE: Duration = Duration::from_millis(2_500);
/// Maximum number of bytes of pipelined requests that are buffered while one is answered.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// Allowance in bytes for a chunked body's framing, in addition to the body itself.
const FRAMING_ALLOWANCE_BYTES: usize = 64 << 10;

/// Limits for the size and the duration of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a body in bytes.
    pub max_body_bytes: usize,
    /// Timeout from the first byte of a request to the end of its head, and between two reads of
    /// its body.
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 32 << 20,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

/// Serves connections until the process ends.
pub struct Server {
    bounds: Rc<Cell<Bounds>>,
    closing: watch::Sender<bool>,
    /// Number of active requests.
    active: Rc<Cell<usize>>,
}

impl Default for Server {
    fn default() -> Self {
        Self { bounds: Rc::default(), closing: watch::Sender::new(false), active: Rc::default() }
    }
}

impl Server {
    /// Changes the bounds for requests that start after this call.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// Starts the shutdown: connections are closed after their next reply, and idle ones after a
    /// grace period.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the number of requests of which at least one byte was read and that are not answered
    /// yet.
    pub fn active_requests(&self) -> usize {
        self.active.get()
    }

    /// Accepts connections and answers their requests with `handler`. The handler's future is
    /// dropped as soon as the caller closes its connection, which cancels its work.
    pub async fn serve<H, F>(&self, listener: TcpListener, handler: H)
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Reply> + 'static,
    {
        loop {
            let stream = socket::accept(&listener).await;
            let connection = Connection {
                stream,
                codec: codec(),
                input: BytesMut::new(),
                bounds: self.bounds.clone(),
                closing: self.closing.subscribe(),
                active: self.active.clone(),
            };
            actix_rt::spawn(connection.run(handler.clone()));
        }
    }
}

fn codec() -> Codec {
    Codec::new(ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None))
}

/// The reason for which no request could be read.
enum ReadError {
    /// The caller closed or reset the connection, or was idle for too long. No reply is sent.
    Closed,
    /// The request is refused with this status and reason, and the connection is closed.
    Refused(StatusCode, &'static str),
}

struct Connection {
    stream: TcpStream,
    codec: Codec,
    input: BytesMut,
    bounds: Rc<Cell<Bounds>>,
    closing: watch::Receiver<bool>,
    active: Rc<Cell<usize>>,
}

/// Counts an active request until it is dropped.
struct ActiveRequest(Rc<Cell<usize>>);

impl ActiveRequest {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connection {
    async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Reply>,
    {
        loop {
            if self.await_first_byte().await.is_err() {
                return;
            }
            let active_request = ActiveRequest::new(&self.active);
            let request = match self.read_request().await {
                Ok(request) => request,
                Err(ReadError::Closed) => return,
                Err(ReadError::Refused(status, reason)) => {
                    tracing::info!(event = "request_unfit", status = status.as_u16(), why = reason);
                    self.refuse(status, reason).await;
                    return;
                }
            };
            let reply = {
                let answer = handler(request);
                let disconnected = wait_for_disconnect(&mut self.stream, &mut self.input);
                tokio::select! {
                    reply = answer => reply,
                    () = disconnected => return,
                }
            };
            let keep = match tokio::time::timeout(WRITE_TIMEOUT, self.write(reply)).await {
                Ok(Ok(keep)) => keep,
                Ok(Err(_)) | Err(_) => return,
            };
            drop(active_request);
            if !keep {
                self.drain().await;
                return;
            }
        }
    }

    async fn await_first_byte(&mut self) -> Result<(), ReadError> {
        if !self.input.is_empty() {
            return Ok(());
        }
        let idle = self.bounds.get().idle_timeout;
        let close_grace = async {
            // The sender exists as long as the server, so this ends only after `close`.
            let _ = self.closing.wait_for(|closing| *closing).await;
            tokio::time::sleep(CLOSE_GRACE).await;
        };
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => match read {
                Ok(0) | Err(_) => Err(ReadError::Closed),
                Ok(_) => Ok(()),
            },
            () = close_grace => Err(ReadError::Closed),
            () = tokio::time::sleep(idle) => Err(ReadError::Closed),
        }
    }

    async fn read_request(&mut self) -> Result<Request, ReadError> {
        let bounds = self.bounds.get();
        let head =
            tokio::time::timeout(bounds.read_timeout, self.read_head(bounds.max_head_bytes)).await;
        let timed_out = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, "the head came too slowly");
        let mut request = head.map_err(|_| timed_out)??;
        if self.codec.message_type() == MessageType::None {
            return Ok(request);
        }
        let declared = request.headers.number("content-length");
        if declared.is_some_and(|length| length > bounds.max_body_bytes as u64) {
            return Err(too_large());
        }
        if request.headers.get("expect").is_some() {
            let continuation = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.stream.write_all(continuation).await.map_err(|_| ReadError::Closed)?;
        }
        request.body = self.read_body(bounds).await?;
        Ok(request)
    }

    async fn read_head(&mut self, bound: usize) -> Result<Request, ReadError> {
        loop {
            let before = self.input.len();
            let decoded = self.codec.decode(&mut self.input);
            let invalid = ReadError::Refused(StatusCode::BAD_REQUEST, "no HTTP/1.1 request");
            if let Some(Message::Item(read)) = decoded.map_err(|_| invalid)? {
                if before - self.input.len() > bound {
                    return Err(head_too_large());
                }
                let target = read.uri().path_and_query().map_or("/", |target| target.as_str());
                return Ok(Request {
                    method: read.method().clone(),
                    target: target.to_owned(),
                    headers: Headers(read.head().headers.clone()),
                    body: Bytes::new(),
                });
            }
            if self.input.len() > bound {
                return Err(head_too_large());
            }
            self.fill().await?;
        }
    }

    async fn read_body(&mut self, bounds: Bounds) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        let mut raw_bytes = 0;
        loop {
            let invalid =
                ReadError::Refused(StatusCode::BAD_REQUEST, "the body's framing is broken");
            match self.codec.decode(&mut self.input).map_err(|_| invalid)? {
                Some(Message::Chunk(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Message::Chunk(None)) => return Ok(body.freeze()),
                Some(Message::Item(_)) => return Err(ReadError::Closed),
                None => {
                    let read = tokio::time::timeout(bounds.read_timeout, self.fill()).await;
                    let reason = "the body came too slowly";
                    let timed_out = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, reason);
                    raw_bytes += read.map_err(|_| timed_out)??;
                }
            }
            if body.len() > bounds.max_body_bytes
                || raw_bytes > 2 * bounds.max_body_bytes + FRAMING_ALLOWANCE_BYTES
            {
                return Err(too_large());
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, ReadError> {
        match self.stream.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(read) => Ok(read),
        }
    }

    async fn write(&mut self, reply: Reply) -> std::io::Result<bool> {
        let keep = self.codec.keep_alive() && !*self.closing.borrow();
        let mut output = BytesMut::with_capacity(512 + reply.body.len());
        let mut head = Response::new(reply.status).drop_body();
        for (name, value) in &reply.headers.0 {
            head.headers_mut().append(name.clone(), value.clone());
        }
        if !keep {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = BodySize::Sized(reply.body.len() as u64);
        self.codec.encode(Message::Item((head, size)), &mut output)?;
        if !reply.body.is_empty() {
            self.codec.encode(Message::Chunk(Some(reply.body)), &mut output)?;
        }
        self.stream.write_all(&output).await?;
        Ok(keep)
    }

    async fn refuse(&mut self, status: StatusCode, reason: &'static str) {
        let text = format!("HTTP/1.1 {status}\r\nconnection: close\r\n");
        let text = format!("{text}content-length: {}\r\n\r\n{reason}", reason.len());
        if self.stream.write_all(text.as_bytes()).await.is_ok() {
            self.drain().await;
        }
    }

    /// Shuts down the sending side and reads for a while, so that the last reply is not lost.
    async fn drain(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let read_rest = async {
            loop {
                self.input.clear();
                match self.stream.read_buf(&mut self.input).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        };
        // A caller that still sends after this timeout had enough time to read the reply.
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, read_rest).await;
    }
}

fn too_large() -> ReadError {
    ReadError::Refused(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}

fn head_too_large() -> ReadError {
    ReadError::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
}

/// Returns when the caller closes or resets its connection. Pipelined bytes are buffered in
/// `input`.
async fn wait_for_disconnect(stream: &mut TcpStream, input: &mut BytesMut) {
    loop {
        if input.len() >= MAX_PIPELINED_BYTES {
            return std::future::pending().await;
        }
        match stream.read_buf(input).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
