//! The server side: reads whole requests, watches for the caller's leaving, writes whole replies.

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

/// How long a reply may take to leave, while its caller reads slowly or not at all.
const WRITE: Duration = Duration::from_secs(30);
/// How long the rest of a request that was refused early is read and dropped. Closing a socket
/// with unread bytes resets it, and the reset could overtake the reply that says why.
const LINGER: Duration = Duration::from_secs(1);
/// How long an idle connection is still read after the stop was asked for. The balancer sends no
/// new work after two failed checks, a second apart; callers may be writing until then.
const FAREWELL: Duration = Duration::from_millis(2_500);
/// Bytes of further requests that are taken while one is answered.
const AHEAD: usize = 64 << 10;
/// Bytes of a chunked body's framing that are read beyond the body itself.
const FRAMING: usize = 64 << 10;

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request to the end of its head, and between two pieces of
    /// its body.
    pub read_timeout: Duration,
    /// Time for which a connection may stay idle.
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
    busy: Rc<Cell<usize>>,
}

impl Default for Server {
    fn default() -> Self {
        Self { bounds: Rc::default(), closing: watch::Sender::new(false), busy: Rc::default() }
    }
}

impl Server {
    /// Changes the bounds for requests that begin from now on.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// Asks for the end: replies close their connections, idle ones are closed soon.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Counts the requests of which a byte was read and that are not answered.
    pub fn active_requests(&self) -> usize {
        self.busy.get()
    }

    /// Accepts connections and answers their requests with `handler`. The future that it returns
    /// is dropped as soon as the caller closes its connection, which cancels all that it does.
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
                busy: self.busy.clone(),
            };
            actix_rt::spawn(connection.run(handler.clone()));
        }
    }
}

fn codec() -> Codec {
    Codec::new(ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None))
}

/// Why no request could be read.
enum Unread {
    /// The caller closed, reset, or stayed idle for too long; nothing is owed.
    Over,
    /// The request is refused with this status, and the connection ends.
    Refused(StatusCode, &'static str),
}

struct Connection {
    stream: TcpStream,
    codec: Codec,
    input: BytesMut,
    bounds: Rc<Cell<Bounds>>,
    closing: watch::Receiver<bool>,
    busy: Rc<Cell<usize>>,
}

/// Counts a request for as long as it lives.
struct Busy(Rc<Cell<usize>>);

impl Busy {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Busy {
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
            let busy = Busy::new(&self.busy);
            let request = match self.read_request().await {
                Ok(request) => request,
                Err(Unread::Over) => return,
                Err(Unread::Refused(status, why)) => {
                    tracing::info!(event = "request_unfit", status = status.as_u16(), why);
                    self.refuse(status, why).await;
                    return;
                }
            };
            let reply = {
                let answer = handler(request);
                let gone = watch_caller(&mut self.stream, &mut self.input);
                tokio::select! {
                    reply = answer => reply,
                    () = gone => return,
                }
            };
            let keep = match tokio::time::timeout(WRITE, self.write(reply)).await {
                Ok(Ok(keep)) => keep,
                Ok(Err(_)) | Err(_) => return,
            };
            drop(busy);
            if !keep {
                self.linger().await;
                return;
            }
        }
    }

    async fn await_first_byte(&mut self) -> Result<(), Unread> {
        if !self.input.is_empty() {
            return Ok(());
        }
        let idle = self.bounds.get().idle_timeout;
        let farewell = async {
            // The sender lives as long as the server, so this only ends when it says so.
            let _ = self.closing.wait_for(|closing| *closing).await;
            tokio::time::sleep(FAREWELL).await;
        };
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => match read {
                Ok(0) | Err(_) => Err(Unread::Over),
                Ok(_) => Ok(()),
            },
            () = farewell => Err(Unread::Over),
            () = tokio::time::sleep(idle) => Err(Unread::Over),
        }
    }

    async fn read_request(&mut self) -> Result<Request, Unread> {
        let bounds = self.bounds.get();
        let head =
            tokio::time::timeout(bounds.read_timeout, self.read_head(bounds.max_head_bytes)).await;
        let late = Unread::Refused(StatusCode::REQUEST_TIMEOUT, "the head came too slowly");
        let mut request = head.map_err(|_| late)??;
        if self.codec.message_type() == MessageType::None {
            return Ok(request);
        }
        let declared = request.headers.number("content-length");
        if declared.is_some_and(|length| length > bounds.max_body_bytes as u64) {
            return Err(too_large());
        }
        if request.headers.get("expect").is_some() {
            let go_on = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.stream.write_all(go_on).await.map_err(|_| Unread::Over)?;
        }
        request.body = self.read_body(bounds).await?;
        Ok(request)
    }

    async fn read_head(&mut self, bound: usize) -> Result<Request, Unread> {
        loop {
            let before = self.input.len();
            let decoded = self.codec.decode(&mut self.input);
            let unfit = Unread::Refused(StatusCode::BAD_REQUEST, "no HTTP/1.1 request");
            if let Some(Message::Item(read)) = decoded.map_err(|_| unfit)? {
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

    async fn read_body(&mut self, bounds: Bounds) -> Result<Bytes, Unread> {
        let mut whole = BytesMut::new();
        let mut raw = 0;
        loop {
            let unfit = Unread::Refused(StatusCode::BAD_REQUEST, "the body's framing is broken");
            match self.codec.decode(&mut self.input).map_err(|_| unfit)? {
                Some(Message::Chunk(Some(piece))) => whole.extend_from_slice(&piece),
                Some(Message::Chunk(None)) => return Ok(whole.freeze()),
                Some(Message::Item(_)) => return Err(Unread::Over),
                None => {
                    let read = tokio::time::timeout(bounds.read_timeout, self.fill()).await;
                    let late = "the body came too slowly";
                    let late = Unread::Refused(StatusCode::REQUEST_TIMEOUT, late);
                    raw += read.map_err(|_| late)??;
                }
            }
            if whole.len() > bounds.max_body_bytes || raw > 2 * bounds.max_body_bytes + FRAMING {
                return Err(too_large());
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, Unread> {
        match self.stream.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => Err(Unread::Over),
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

    async fn refuse(&mut self, status: StatusCode, why: &'static str) {
        let text = format!("HTTP/1.1 {status}\r\nconnection: close\r\n");
        let text = format!("{text}content-length: {}\r\n\r\n{why}", why.len());
        if self.stream.write_all(text.as_bytes()).await.is_ok() {
            self.linger().await;
        }
    }

    /// Ends the sending side and reads on for a while, so that the last reply is not lost.
    async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.input.clear();
                match self.stream.read_buf(&mut self.input).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        };
        // Whoever still sends after this has had the time to read why it should not.
        let _ = tokio::time::timeout(LINGER, drain).await;
    }
}

fn too_large() -> Unread {
    Unread::Refused(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}

fn head_too_large() -> Unread {
    Unread::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
}

/// Returns when the caller closes or resets its connection. What it sends ahead is kept.
async fn watch_caller(stream: &mut TcpStream, input: &mut BytesMut) {
    loop {
        if input.len() >= AHEAD {
            return std::future::pending().await;
        }
        match stream.read_buf(input).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
