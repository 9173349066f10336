//! The client side: one connection to an endpoint, and its errors.

use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::message::Headers;
use crate::message::Reply;
use crate::message::Request;
use crate::reply_memory::HeldReply;
use crate::socket;

/// Maximum size in bytes of a reply body that is read completely. A larger reply is an error.
const MAX_REPLY_BYTES: usize = 64 << 20;
/// Maximum bytes until the end of the head of a reply, with all interim replies.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Maximum number of interim replies before the final one.
const MAX_INTERIM_REPLIES: usize = 16;
/// Maximum bytes of a body's framing, in addition to those for its data: the extensions of chunks and
/// the trailer.
const MAX_FRAMING_BYTES: usize = 64 << 10;
/// Maximum bytes of framing for each byte of data. A chunk of one byte has five.
const MAX_FRAMING_RATIO: usize = 8;

/// An error for which an exchange produced no complete reply.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection was opened, so no byte of the request was sent.
    #[error("no connection: {0}")]
    NotSent(#[source] io::Error),
    /// The connection failed. The request may have been received.
    #[error("the connection broke: {0}")]
    Lost(#[source] io::Error),
    /// The connection was closed before the end of the reply.
    #[error("the reply was cut short")]
    Truncated,
    /// The received bytes are not a valid reply, or belong to another request.
    #[error("invalid reply: {0}")]
    Invalid(&'static str),
    /// The reply exceeds a limit, and may have no end.
    #[error("the reply exceeds the limit of {0}")]
    Excess(&'static str),
}

impl ExchangeError {
    /// Returns whether the endpoint certainly received nothing of the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Returns whether nothing accepts connections at the endpoint's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// A connection to an endpoint, used for one request at a time.
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    input: BytesMut,
    /// Whether the connection must not be reused.
    tainted: bool,
}

/// The head of a reply whose body has not been read yet.
pub struct IncomingReply {
    connection: Connection,
    codec: ClientPayloadCodec,
    framing: Framing,
    done: bool,
    /// Bytes of the body that were returned.
    body_bytes: usize,
    /// Bytes that were received for the body, apart from those that were returned.
    framing_bytes: usize,
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: Headers,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// There is no body.
    Empty,
    /// The codec determines it from the headers.
    Codec,
    /// The body ends with the connection. The codec treats such a body as empty.
    Connection,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotSent`] if the connection is not open within the limit.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let stream = socket::connect(address, limit).await.map_err(ExchangeError::NotSent)?;
        Ok(Self { address, stream, input: BytesMut::new(), tainted: false })
    }

    /// Returns whether the connection may be used for another request: it is open, and no
    /// unsolicited bytes were received on it. Such bytes would be read as the reply to the next
    /// request.
    pub fn is_clean(&mut self) -> bool {
        if self.tainted || !self.input.is_empty() {
            return false;
        }
        match self.stream.try_read_buf(&mut self.input) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Sends a request and reads the head of its reply.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`], after which the connection is closed.
    pub async fn start(self, request: &Request) -> Result<IncomingReply, ExchangeError> {
        self.start_with(request, || {}).await
    }

    /// Sends a request and reads the head of its reply. Calls `on_sent` when the first bytes of the
    /// request were written: from then on the endpoint may have received it.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`], after which the connection is closed.
    pub async fn start_with(
        mut self,
        request: &Request,
        on_sent: impl FnOnce(),
    ) -> Result<IncomingReply, ExchangeError> {
        let mut codec = ClientCodec::default();
        let output = encode(&mut codec, request, self.address)?;
        // A connection whose exchange is abandoned is reset, also if this process is killed. After
        // an orderly close, the kernel could still deliver the written bytes when a network
        // partition ends, and the endpoint would start work that is no longer needed.
        self.stream.set_zero_linger().map_err(ExchangeError::NotSent)?;
        // The body is sent from where it is: a copy of each attempt would not be counted.
        self.send(output.freeze().chain(request.body.clone()), on_sent).await?;
        let (mut received, mut interim_replies) = (self.input.len(), 0);
        let head = loop {
            let decoded = codec.decode(&mut self.input);
            if let Some(head) = decoded.map_err(|_| ExchangeError::Invalid("not an HTTP reply"))? {
                // The final reply follows interim ones.
                if !head.status.is_informational() || head.status == StatusCode::SWITCHING_PROTOCOLS
                {
                    break head;
                }
                interim_replies += 1;
                if interim_replies > MAX_INTERIM_REPLIES {
                    return Err(ExchangeError::Excess("interim replies"));
                }
                continue;
            }
            if received > MAX_HEAD_BYTES {
                return Err(ExchangeError::Excess("bytes in the head"));
            }
            let read = self.fill().await?;
            if read == 0 {
                return Err(ExchangeError::Truncated);
            }
            received += read;
        };
        if !codec.keep_alive() {
            self.tainted = true;
        }
        let framing = framing(&codec, request, &head);
        Ok(IncomingReply {
            framing_bytes: self.input.len(),
            body_bytes: 0,
            connection: self,
            done: framing == Framing::Empty,
            framing,
            codec: codec.into_payload_codec(),
            status: head.status,
            headers: Headers(head.headers().clone()),
        })
    }

    /// Writes a request and concurrently waits for an early reply. An endpoint may reply before it
    /// has read a long body. Further writes would then fail, or the rest of the body would be read
    /// as the next request, so the rest is not sent and the connection is not reused.
    async fn send(
        &mut self,
        mut output: impl Buf,
        on_sent: impl FnOnce(),
    ) -> Result<(), ExchangeError> {
        let mut on_sent = Some(on_sent);
        while output.has_remaining() {
            tokio::select! {
                biased;
                wrote = self.stream.writable() => {
                    wrote.map_err(ExchangeError::Lost)?;
                    match try_write(&self.stream, &output) {
                        Ok(wrote) => {
                            output.advance(wrote);
                            if let Some(on_sent) = on_sent.take() {
                                on_sent();
                            }
                        }
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(error) => return Err(ExchangeError::Lost(error)),
                    }
                }
                read = self.stream.readable() => {
                    read.map_err(ExchangeError::Lost)?;
                    match self.stream.try_read_buf(&mut self.input) {
                        Ok(0) => return Err(ExchangeError::Truncated),
                        Ok(_) => {
                            self.tainted = true;
                            return Ok(());
                        }
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(error) => return Err(ExchangeError::Lost(error)),
                    }
                }
            }
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<usize, ExchangeError> {
        self.stream.read_buf(&mut self.input).await.map_err(ExchangeError::Lost)
    }
}

impl IncomingReply {
    /// Reads the next chunk of the body. Returns none at its end.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if the connection was closed or failed before the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if self.done {
                return Ok(None);
            }
            if self.framing == Framing::Connection {
                return self.next_raw().await;
            }
            let invalid = |_| ExchangeError::Invalid("invalid framing of the body");
            match self.codec.decode(&mut self.connection.input).map_err(invalid)? {
                Some(Some(chunk)) => {
                    self.body_bytes += chunk.len();
                    self.framing_bytes = self.framing_bytes.saturating_sub(chunk.len());
                    return Ok(Some(chunk));
                }
                Some(None) => {
                    self.done = true;
                    return Ok(None);
                }
                None => {}
            }
            let max_framing = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self.body_bytes;
            if self.framing_bytes > max_framing {
                return Err(ExchangeError::Excess("framing of the body"));
            }
            let read = self.connection.fill().await?;
            if read == 0 {
                return Err(ExchangeError::Truncated);
            }
            self.framing_bytes += read;
        }
    }

    /// Reads the next chunk of a body that ends with its connection. A reset is an error, not its
    /// end.
    async fn next_raw(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        self.connection.tainted = true;
        if self.connection.input.is_empty() && self.connection.fill().await? == 0 {
            self.done = true;
            return Ok(None);
        }
        Ok(Some(self.connection.input.split().freeze()))
    }

    /// Reads the whole body. Returns the reply, and the connection if it can be reused.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if the body is incomplete or too large.
    pub async fn read_all(self) -> Result<(Reply, Option<Connection>), ExchangeError> {
        self.read_within(MAX_REPLY_BYTES).await
    }

    /// Reads the whole body like [`Self::read_all`], if it has at most this size in bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if the body is incomplete or too large.
    pub async fn read_within(
        mut self,
        max_bytes: usize,
    ) -> Result<(Reply, Option<Connection>), ExchangeError> {
        // The reply to a HEAD request declares a length and has no body.
        let declared = self.headers.number("content-length").filter(|_| !self.done);
        let declared = declared.unwrap_or_default() as usize;
        let mut held = HeldReply::new();
        if declared > max_bytes || !held.prepare(declared) {
            return Err(ExchangeError::Excess("bytes in the body"));
        }
        let mut body = BytesMut::with_capacity(declared);
        while let Some(chunk) = self.next().await? {
            let has_memory = held.grow(chunk.len());
            if !has_memory || body.len() + chunk.len() > max_bytes {
                return Err(ExchangeError::Excess("bytes in the body"));
            }
            body.extend_from_slice(&chunk);
        }
        let headers = std::mem::take(&mut self.headers);
        let reply = Reply { status: self.status, headers, body: body.freeze() };
        Ok((reply, self.into_connection()))
    }

    /// Reads the rest of the body and drops it.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if the rest is incomplete or larger than this size in bytes.
    pub async fn discard_within(&mut self, max_bytes: usize) -> Result<(), ExchangeError> {
        let mut discarded = 0;
        while let Some(chunk) = self.next().await? {
            discarded += chunk.len();
            if discarded > max_bytes {
                return Err(ExchangeError::Excess("bytes in the body"));
            }
        }
        Ok(())
    }

    /// Returns the connection for another request, if the reply was read to its end and the
    /// connection can be reused.
    pub fn into_connection(self) -> Option<Connection> {
        if self.done {
            // Restores the orderly close. If this fails, the connection is already closed.
            let _ = SockRef::from(&self.connection.stream).set_linger(None);
        }
        let is_reusable = self.done && !self.connection.tainted;
        (is_reusable && self.connection.input.is_empty()).then_some(self.connection)
    }
}

/// Writes the head and the beginning of the body at once, as one packet where they fit into it.
fn try_write(stream: &TcpStream, output: &impl Buf) -> io::Result<usize> {
    let mut slices = [IoSlice::new(&[]), IoSlice::new(&[])];
    let count = output.chunks_vectored(&mut slices);
    stream.try_write_vectored(&slices[..count])
}

fn framing(codec: &ClientCodec, request: &Request, head: &ResponseHead) -> Framing {
    let has_no_body = request.method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    match codec.message_type() {
        MessageType::Payload => Framing::Codec,
        MessageType::Stream => Framing::Connection,
        MessageType::None if has_no_body || head.headers().contains_key("content-length") => {
            Framing::Empty
        }
        MessageType::None => Framing::Connection,
    }
}

/// Encodes the head of a request. The body follows as it is, since its length is declared.
fn encode(
    codec: &mut ClientCodec,
    request: &Request,
    address: SocketAddr,
) -> Result<BytesMut, ExchangeError> {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.target.parse::<Uri>().map_err(|_| ExchangeError::Invalid("target"))?;
    let mut headers = request.headers.clone();
    if headers.get("host").is_none() {
        // HTTP/1.1 servers refuse a request without a host.
        headers.set("host", &address.to_string());
    }
    head.headers = headers.0;
    let length = request.body.len() as u64;
    let has_no_body = length == 0 && request.method == Method::GET;
    let size = if has_no_body { BodySize::None } else { BodySize::Sized(length) };
    let mut output = BytesMut::with_capacity(512);
    let head = RequestHeadType::Owned(head);
    codec.encode(Message::Item((head, size)), &mut output).map_err(ExchangeError::NotSent)?;
    Ok(output)
}
