//! A connection of a server: reads complete requests, detects when the caller disconnects, and
//! writes complete replies.

use std::cell::Cell;
use std::cell::RefCell;
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
use chicoryford_ingress::Phase;
use chicoryford_ingress::Slot;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::head;
use crate::head::EndFinder;
use crate::load;
use crate::load::Admission;
use crate::load::ConnectionLoad;
use crate::message::Method;
use crate::message::Reply;
use crate::message::Request;
use crate::message::StatusCode;
use crate::server::Bounds;
use crate::server::EarlyReply;
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
const MAX_PIPELINED_BYTES: usize = 8 << 10;
/// Allowance in bytes for a chunked body's framing.
const FRAMING_ALLOWANCE_BYTES: usize = 64 << 10;
/// Maximum bytes of framing for each byte of a chunked body. A chunk of one byte has five.
const MAX_FRAMING_RATIO: usize = 8;
/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;
/// Bytes of a body from which on its reads take turns with others, and of a decoded head.
const LONG_BYTES: usize = 64 << 10;
/// Bytes by which a body without a declared length grows until more memory is reserved for it.
const GROWTH_BYTES: usize = 16 << 10;
/// Capacity in bytes above which the buffer of an idle connection is released.
const MAX_IDLE_CAPACITY: usize = 4 << 10;
/// Size of a reply up to which it is copied to be sent with its head.
const MAX_COPIED_BYTES: usize = 16 << 10;

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
    slot: Slot,
    admission: Option<Rc<dyn Admission>>,
    early_reply: Option<Rc<EarlyReply>>,
    /// Bytes for which the current request counts, without what is left in `input`.
    request_bytes: usize,
    /// Bytes that the decoded head of the current request takes.
    head_bytes: usize,
    /// Whether the reply to the current request has no body.
    is_head_request: bool,
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
    pub(crate) fn new(server: &Server, stream: TcpStream, slot: Slot) -> Self {
        let admission = server.admission.borrow().clone();
        if let Err(error) = socket::limit_unsent_bytes(&stream) {
            tracing::debug!(event = "socket_untuned", %error);
        }
        Self {
            stream,
            load: ConnectionLoad::new(&server.load),
            slot,
            admission,
            early_reply: server.early_reply.borrow().clone(),
            request_bytes: 0,
            head_bytes: 0,
            is_head_request: false,
            extended: false,
            codec: codec(),
            input: BytesMut::new(),
            bounds: server.bounds.clone(),
            closing: server.closing.subscribe(),
            active: server.active.clone(),
        }
    }

    /// Serves the connection until it ends, or is closed because others need what it holds.
    pub(crate) async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Reply>,
    {
        let closing = self.slot.closing();
        tokio::select! {
            biased;
            () = closing => {}
            () = self.serve(handler) => {}
        }
    }

    async fn serve<H, F>(mut self, handler: H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Reply>,
    {
        loop {
            self.release_buffer();
            if self.await_first_byte().await.is_err() {
                return;
            }
            self.set_extended(false);
            let active_request = ActiveRequest::new(&self.active);
            self.slot.begin(Phase::Head);
            let request = match self.read_request().await {
                Ok(request) => request,
                Err(ReadError::Closed) => return,
                Err(ReadError::Refused(status, reason)) => {
                    tracing::info!(event = "request_unfit", status = status.as_u16(), why = reason);
                    self.refuse(status, reason).await;
                    return;
                }
                Err(ReadError::NotAdmitted(reply)) => {
                    self.release_request();
                    let written = tokio::time::timeout(WRITE_TIMEOUT, self.write(reply, false));
                    if let Ok(Ok(_)) = written.await {
                        drop(active_request);
                        self.drain().await;
                    }
                    return;
                }
            };
            self.slot.begin(Phase::Serving);
            let reply = {
                let answer = handler(request);
                let disconnected = wait_for_disconnect(
                    &self.stream,
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

    /// Gives back the memory of a buffer that an earlier request needed.
    fn release_buffer(&mut self) {
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_CAPACITY {
            self.input = BytesMut::new();
        }
    }

    /// Gives back the memory of a request that is not read further.
    fn release_request(&mut self) {
        self.request_bytes = 0;
        self.input = BytesMut::new();
    }

    async fn await_first_byte(&mut self) -> Result<(), ReadError> {
        if !self.input.is_empty() {
            self.slot.ingress().turn().await;
            return Ok(());
        }
        self.slot.begin(Phase::Idle);
        let idle = self.bounds.get().idle_timeout;
        let close_grace = async {
            // The sender exists as long as the server, so this ends only after `close`.
            let _ = self.closing.wait_for(|closing| *closing).await;
            tokio::time::sleep(CLOSE_GRACE).await;
        };
        tokio::select! {
            biased;
            read = read_some(&self.stream, READ_BYTES, |bytes| self.input.extend_from_slice(bytes)) => match read {
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
        self.is_head_request = request.method == Method::HEAD;
        if let Some(reply) = self.refusal(&request) {
            return Err(ReadError::NotAdmitted(reply));
        }
        if self.codec.message_type() == MessageType::None {
            return Ok(request);
        }
        let early_reply = self.early_reply.as_ref().and_then(|early_reply| early_reply(&request));
        if let Some(reply) = early_reply {
            return Err(ReadError::NotAdmitted(reply));
        }
        let declared = request.headers.number("content-length");
        if declared.is_some_and(|length| length > bounds.max_body_bytes as u64) {
            return Err(too_large());
        }
        self.slot.begin(Phase::Body);
        if request.headers.get("expect").is_some() {
            let continuation = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.stream.write_all(continuation).await.map_err(|_| ReadError::Closed)?;
        }
        let limit = Duration::from_millis(self.slot.ingress().limits().body_timeout_ms);
        let body = tokio::time::timeout(limit, self.read_body(bounds, declared, &request)).await;
        let timed_out = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, "the body took too long");
        request.body = body.map_err(|_| timed_out)??;
        self.request_bytes += request.body.len();
        Ok(request)
    }

    /// Returns the reply if a request is not admitted now.
    fn refusal(&self, request: &Request) -> Option<Reply> {
        self.admission.as_ref().and_then(|admission| admission.refusal(request))
    }

    /// Holds bytes for the current request, or returns the reply if there is no memory for them.
    fn hold(&self, bytes: usize, request: Option<&Request>) -> Result<(), ReadError> {
        if self.slot.hold(bytes as u64) {
            return Ok(());
        }
        let reply = match (&self.admission, request) {
            (Some(admission), Some(request)) => admission.out_of_memory(request),
            _ => load::out_of_memory(),
        };
        Err(ReadError::NotAdmitted(reply))
    }

    async fn read_head(&mut self, bound: usize) -> Result<Request, ReadError> {
        let mut ends = EndFinder::default();
        loop {
            let before = self.input.len();
            if ends.is_due(&self.input) {
                self.head_bytes = head::decoded_bytes(&self.input[..before.min(bound)]);
                self.hold(self.head_bytes.max(self.input.capacity()), None)?;
                if self.head_bytes > LONG_BYTES {
                    self.slot.ingress().turn().await;
                }
                let decoded = head::decode(&mut self.codec, &mut self.input);
                let invalid = ReadError::Refused(StatusCode::BAD_REQUEST, "no HTTP/1.1 request");
                if let Some(request) = decoded.map_err(|_| invalid)? {
                    self.request_bytes = before - self.input.len();
                    if self.request_bytes > bound {
                        return Err(head_too_large());
                    }
                    return Ok(request);
                }
            }
            if self.input.len() > bound {
                return Err(head_too_large());
            }
            self.load.set_bytes(self.input.len());
            self.hold(self.input.capacity(), None)?;
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
        let mut held = 0;
        let mut body = BytesMut::new();
        let mut raw_bytes = self.input.len();
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
            // Without a declared length, the body moves to a buffer of twice the size when it grows.
            let needed = match declared {
                Some(_) => declared_bytes,
                None => 2 * body.len() + READ_BYTES,
            };
            if needed > held {
                held = if declared.is_some() { needed } else { needed + GROWTH_BYTES };
                self.hold(self.head_bytes + held, Some(request))?;
                body.reserve(declared_bytes);
            }
            let invalid =
                ReadError::Refused(StatusCode::BAD_REQUEST, "the body's framing is broken");
            match self.codec.decode(&mut self.input).map_err(|_| invalid)? {
                Some(Message::Chunk(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Message::Chunk(None)) => return Ok(body.freeze()),
                Some(Message::Item(_)) => return Err(ReadError::Closed),
                None => {
                    if body.len() > LONG_BYTES {
                        self.slot.ingress().turn().await;
                    }
                    let read = tokio::time::timeout(bounds.read_timeout, self.fill()).await;
                    let reason = "the body came too slowly";
                    let timed_out = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, reason);
                    raw_bytes += read.map_err(|_| timed_out)??;
                }
            }
            let framing_bytes = raw_bytes.saturating_sub(body.len() + self.input.len());
            if body.len() > bounds.max_body_bytes
                || framing_bytes > MAX_FRAMING_RATIO * body.len() + FRAMING_ALLOWANCE_BYTES
            {
                return Err(too_large());
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, ReadError> {
        match read_some(&self.stream, READ_BYTES, |bytes| self.input.extend_from_slice(bytes)).await
        {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(read) => {
                self.slot.record_progress(read);
                Ok(read)
            }
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
        self.slot.begin(Phase::Reply);
        let mut body = reply.body;
        let is_copied = body.len() <= MAX_COPIED_BYTES;
        let mut output = BytesMut::with_capacity(512 + if is_copied { body.len() } else { 0 });
        let mut head = Response::new(reply.status).drop_body();
        for (name, value) in &reply.headers.0 {
            head.headers_mut().append(name.clone(), value.clone());
        }
        if !keep {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = BodySize::Sized(body.len() as u64);
        self.codec.encode(Message::Item((head, size)), &mut output)?;
        if is_copied && !body.is_empty() {
            self.codec.encode(Message::Chunk(Some(std::mem::take(&mut body))), &mut output)?;
        } else if self.is_head_request {
            body.clear();
        }
        self.write_output(output.freeze().chain(body)).await?;
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

    async fn write_output(&mut self, mut output: impl Buf) -> std::io::Result<()> {
        // With the usual timeout, the system resets the connection of a caller that pauses for 2 s.
        self.set_extended(self.admission.is_some() && output.remaining() >= MIN_EXTENDED_BYTES);
        match self.stream.try_write(output.chunk()) {
            Ok(written) => output.advance(written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        self.set_reply_bytes(output.remaining());
        if !output.has_remaining() {
            return Ok(());
        }
        self.set_extended(self.admission.is_some());
        let tracker = self.load.track_reply(output.remaining());
        while output.has_remaining() {
            tokio::select! {
                biased;
                written = self.stream.write_buf(&mut output) => {
                    let written = written?;
                    if written == 0 {
                        return Err(ErrorKind::WriteZero.into());
                    }
                    self.slot.record_progress(written);
                }
                () = tracker.cut() => return Err(ErrorKind::ConnectionAborted.into()),
            }
            tracker.record_progress(output.remaining());
            self.set_reply_bytes(output.remaining());
        }
        Ok(())
    }

    /// Counts the bytes of a reply that are left, and those of pipelined requests.
    fn set_reply_bytes(&self, left: usize) {
        self.load.set_bytes(left + self.input.len());
        self.slot.hold_reply((left + self.input.capacity()) as u64);
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
        self.slot.begin(Phase::Closing);
        self.slot.hold_reply(0);
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let read_rest = async {
            while read_some(&self.stream, READ_BYTES, |_| ()).await.is_ok_and(|read| read > 0) {
                self.slot.ingress().turn().await;
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
    stream: &TcpStream,
    input: &mut BytesMut,
    (load, request_bytes): (&ConnectionLoad, usize),
) {
    loop {
        load.set_bytes(request_bytes + input.len());
        if input.len() >= MAX_PIPELINED_BYTES {
            return std::future::pending().await;
        }
        match read_some(stream, MAX_PIPELINED_BYTES - input.len(), |bytes| {
            input.extend_from_slice(bytes)
        })
        .await
        {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

thread_local! {
    /// Receives bytes before it is known how many there are, so that each connection has a buffer of
    /// their size only.
    static RECEIVED: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Reads some bytes and passes them on. Returns their number, which is zero at the end.
async fn read_some(
    stream: &TcpStream,
    max_bytes: usize,
    mut receive: impl FnMut(&[u8]),
) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        let read = RECEIVED.with_borrow_mut(|buffer| -> std::io::Result<usize> {
            let limit = max_bytes.min(buffer.len());
            let read = stream.try_read(&mut buffer[..limit])?;
            receive(&buffer[..read]);
            Ok(read)
        });
        match read {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}
