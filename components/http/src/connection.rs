//! A connection of a server: reads complete requests, detects when the caller disconnects, and
//! writes complete replies.

use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
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
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::load::Admission;
use crate::load::ConnectionLoad;
use crate::message::Headers;
use crate::message::Reply;
use crate::message::Request;
use crate::message::StatusCode;
use crate::server::Bounds;
use crate::server::Server;
use crate::socket;

/// Timeout for the write of a reply, for callers that read slowly or not at all.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes by which a body without a declared length may grow until it has to be admitted again. The
/// admission of its request counted nothing for it.
const ADMISSION_STEP_BYTES: usize = 256 << 10;
/// Size of a reply from which on the receive window of a caller may not hold it. The system takes the
/// whole reply all the same if it is not much larger, so the size decides, and not what the system
/// leaves.
const MIN_EXTENDED_BYTES: usize = 4 << 10;
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

fn codec() -> Codec {
    Codec::new(ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None))
}

/// The reason for which no request could be read.
enum ReadError {
    /// The caller closed or reset the connection, or was idle for too long. No reply is sent.
    Closed,
    /// The request is refused with this status and reason, and the connection is closed.
    Refused(StatusCode, &'static str),
    /// The request is not admitted and gets this reply, and the connection is closed.
    NotAdmitted(Reply),
}

/// A connection of a caller.
pub(crate) struct CallerConnection {
    stream: TcpStream,
    load: ConnectionLoad,
    admission: Option<Rc<dyn Admission>>,
    /// Bytes for which the current request counts, without what is left in `input`.
    request_bytes: usize,
    /// Whether the caller may leave the last reply unread for [`WRITE_TIMEOUT`].
    extended: bool,
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

impl CallerConnection {
    pub(crate) fn new(server: &Server, stream: TcpStream) -> Self {
        let admission = server.admission.borrow().clone();
        if admission.is_some()
            && let Err(error) = socket::limit_unsent_bytes(&stream)
        {
            tracing::debug!(event = "socket_untuned", %error);
        }
        Self {
            stream,
            load: ConnectionLoad::new(&server.load),
            admission,
            request_bytes: 0,
            extended: false,
            codec: codec(),
            input: BytesMut::new(),
            bounds: server.bounds.clone(),
            closing: server.closing.subscribe(),
            active: server.active.clone(),
        }
    }

    pub(crate) async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Reply>,
    {
        loop {
            if self.await_first_byte().await.is_err() {
                return;
            }
            self.set_extended(false);
            let active_request = ActiveRequest::new(&self.active);
            let request = match self.read_request().await {
                Ok(request) => request,
                Err(ReadError::Closed) => return,
                Err(ReadError::Refused(status, reason)) => {
                    tracing::info!(event = "request_unfit", status = status.as_u16(), why = reason);
                    self.refuse(status, reason).await;
                    return;
                }
                Err(ReadError::NotAdmitted(reply)) => {
                    let written = tokio::time::timeout(WRITE_TIMEOUT, self.write(reply, false));
                    if let Ok(Ok(_)) = written.await {
                        drop(active_request);
                        self.drain().await;
                    }
                    return;
                }
            };
            let reply = {
                let answer = handler(request);
                let disconnected = wait_for_disconnect(
                    &mut self.stream,
                    &mut self.input,
                    (&self.load, self.request_bytes),
                );
                tokio::select! {
                    reply = answer => reply,
                    () = disconnected => return,
                }
            };
            self.request_bytes = 0;
            let keep = self.keeps_connection();
            let keep = match tokio::time::timeout(WRITE_TIMEOUT, self.write(reply, keep)).await {
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
        if let Some(reply) = self.refusal(&request) {
            return Err(ReadError::NotAdmitted(reply));
        }
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
        request.body = self.read_body(bounds, declared, &request).await?;
        self.request_bytes += request.body.len();
        Ok(request)
    }

    /// Returns the reply if a request is not admitted now.
    fn refusal(&self, request: &Request) -> Option<Reply> {
        self.admission.as_ref().and_then(|admission| admission.refusal(request))
    }

    async fn read_head(&mut self, bound: usize) -> Result<Request, ReadError> {
        loop {
            let before = self.input.len();
            let decoded = self.codec.decode(&mut self.input);
            let invalid = ReadError::Refused(StatusCode::BAD_REQUEST, "no HTTP/1.1 request");
            if let Some(Message::Item(read)) = decoded.map_err(|_| invalid)? {
                self.request_bytes = before - self.input.len();
                if self.request_bytes > bound {
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
            self.load.set_bytes(self.input.len());
            self.fill().await?;
        }
    }

    async fn read_body(
        &mut self,
        bounds: Bounds,
        declared: Option<u64>,
        request: &Request,
    ) -> Result<Bytes, ReadError> {
        let declared_bytes = declared.unwrap_or_default() as usize;
        let mut body = BytesMut::new();
        let mut raw_bytes = 0;
        let mut admitted_bytes = ADMISSION_STEP_BYTES;
        loop {
            let body_bytes = declared_bytes.max(body.len() + self.input.len());
            self.load.set_bytes(self.request_bytes + body_bytes);
            if declared.is_none() && body.len() > admitted_bytes {
                admitted_bytes = body.len() + ADMISSION_STEP_BYTES;
                if let Some(reply) = self.refusal(request) {
                    return Err(ReadError::NotAdmitted(reply));
                }
            }
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

    /// Returns whether the connection stays open after the reply that is ready. One with pipelined
    /// requests is not closed because of load, as they would be lost.
    fn keeps_connection(&self) -> bool {
        let diverts = self.admission.as_ref().is_some_and(|one| one.closes_connections());
        !(*self.closing.borrow() || diverts && self.input.is_empty())
    }

    /// Writes a reply, and returns whether the connection stays open, which requires that both
    /// `keep` and the caller say so.
    async fn write(&mut self, reply: Reply, keep: bool) -> std::io::Result<bool> {
        let keep = self.codec.keep_alive() && keep;
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
        self.write_output(output).await?;
        Ok(keep)
    }

    /// Sets whether the caller may leave a reply unread for [`WRITE_TIMEOUT`].
    fn set_extended(&mut self, extended: bool) {
        if extended == self.extended {
            return;
        }
        self.extended = extended;
        let limit = if extended { WRITE_TIMEOUT } else { socket::UNACKNOWLEDGED_TIMEOUT };
        if let Err(error) = socket::set_unacknowledged_timeout(&self.stream, limit) {
            tracing::debug!(event = "socket_untuned", %error);
        }
    }

    async fn write_output(&mut self, mut output: BytesMut) -> std::io::Result<()> {
        // With the usual timeout, the system resets the connection of a caller that pauses for 2 s.
        self.set_extended(self.admission.is_some() && output.len() >= MIN_EXTENDED_BYTES);
        match self.stream.try_write(&output) {
            Ok(written) => output.advance(written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        self.load.set_bytes(output.len() + self.input.len());
        if output.is_empty() {
            return Ok(());
        }
        self.set_extended(self.admission.is_some());
        let tracker = self.load.track_reply(output.len());
        while !output.is_empty() {
            tokio::select! {
                biased;
                written = self.stream.write_buf(&mut output) => {
                    if written? == 0 {
                        return Err(ErrorKind::WriteZero.into());
                    }
                }
                () = tracker.cut() => return Err(ErrorKind::ConnectionAborted.into()),
            }
            tracker.record_progress(output.len());
            self.load.set_bytes(output.len() + self.input.len());
        }
        Ok(())
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
        self.load.set_bytes(0);
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
/// `input`, and counted in addition to those of the request.
async fn wait_for_disconnect(
    stream: &mut TcpStream,
    input: &mut BytesMut,
    (load, request_bytes): (&ConnectionLoad, usize),
) {
    loop {
        load.set_bytes(request_bytes + input.len());
        if input.len() >= MAX_PIPELINED_BYTES {
            return std::future::pending().await;
        }
        match stream.read_buf(input).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
