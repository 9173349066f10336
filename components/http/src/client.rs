//! The client side: one connection to an endpoint, and what can go wrong on it.

use std::io;
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
use crate::socket;

/// Bytes of a reply that is read whole; beyond it the endpoint is taken for broken.
const REPLY_BOUND: usize = 64 << 20;

/// Why an exchange came to no whole reply.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection came about: not a byte of the request has left.
    #[error("no connection: {0}")]
    NotSent(#[source] io::Error),
    /// The request may have arrived.
    #[error("the connection broke: {0}")]
    Lost(#[source] io::Error),
    /// The connection ended before the reply did.
    #[error("the reply was cut short")]
    Truncated,
    /// What came is no reply in the protocol, or belongs to another request.
    #[error("unfit reply: {0}")]
    Invalid(&'static str),
}

impl ExchangeError {
    /// Tells whether the endpoint certainly saw nothing of the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

/// A connection to an endpoint, used for one request at a time.
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    input: BytesMut,
    /// Set once anything happened after which it must not be used again.
    spoiled: bool,
}

/// The head of a reply whose body is still to be read.
pub struct IncomingReply {
    connection: Connection,
    codec: ClientPayloadCodec,
    framing: Framing,
    done: bool,
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: Headers,
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// There is no body.
    Empty,
    /// The codec knows.
    Codec,
    /// It ends with the connection. The codec takes such a body for an empty one.
    Connection,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if there is none within the limit.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let stream = socket::connect(address, limit).await.map_err(ExchangeError::NotSent)?;
        Ok(Self { address, stream, input: BytesMut::new(), spoiled: false })
    }

    /// Tells whether the connection may carry another request: it is open, and nothing came on it
    /// that nobody asked for. Such bytes would be read as the answer to the next request.
    pub fn is_clean(&mut self) -> bool {
        if self.spoiled || !self.input.is_empty() {
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
    /// [`ExchangeError`], after which the connection is gone.
    pub async fn start(mut self, request: &Request) -> Result<IncomingReply, ExchangeError> {
        let mut codec = ClientCodec::default();
        let output = encode(&mut codec, request, self.address)?;
        // A connection whose exchange is given up is reset, also if this process dies meanwhile. A close
        // would let the bytes that were written arrive later, when the network carries them again, and
        // the endpoint would begin what nobody wants any more.
        self.stream.set_zero_linger().map_err(ExchangeError::NotSent)?;
        self.send(&output).await?;
        let head = loop {
            let decoded = codec.decode(&mut self.input);
            if let Some(head) = decoded.map_err(|_| ExchangeError::Invalid("no HTTP reply"))? {
                // A continuation is no answer; the answer follows.
                if head.status != StatusCode::CONTINUE {
                    break head;
                }
                continue;
            }
            if self.fill().await? == 0 {
                return Err(ExchangeError::Truncated);
            }
        };
        if !codec.keep_alive() {
            self.spoiled = true;
        }
        let framing = framing(&codec, request, &head);
        Ok(IncomingReply {
            connection: self,
            done: framing == Framing::Empty,
            framing,
            codec: codec.into_payload_codec(),
            status: head.status,
            headers: Headers(head.headers().clone()),
        })
    }

    /// Writes a request while watching for an early reply. An endpoint may answer before it has
    /// read a long body; going on to write would then fail, or leave the rest of the body to be
    /// read as the next request, so the rest is not sent and the connection not used again.
    async fn send(&mut self, output: &[u8]) -> Result<(), ExchangeError> {
        let mut sent = 0;
        while sent < output.len() {
            tokio::select! {
                biased;
                wrote = self.stream.writable() => {
                    wrote.map_err(ExchangeError::Lost)?;
                    match self.stream.try_write(&output[sent..]) {
                        Ok(wrote) => sent += wrote,
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(error) => return Err(ExchangeError::Lost(error)),
                    }
                }
                read = self.stream.readable() => {
                    read.map_err(ExchangeError::Lost)?;
                    match self.stream.try_read_buf(&mut self.input) {
                        Ok(0) => return Err(ExchangeError::Truncated),
                        Ok(_) => {
                            self.spoiled = true;
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
    /// Reads the next piece of the body; none at its end.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if the connection ended or failed before the body did.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if self.done {
                return Ok(None);
            }
            if self.framing == Framing::Connection {
                return self.next_raw().await;
            }
            let unfit = |_| ExchangeError::Invalid("broken framing of a body");
            match self.codec.decode(&mut self.connection.input).map_err(unfit)? {
                Some(Some(piece)) => return Ok(Some(piece)),
                Some(None) => {
                    self.done = true;
                    return Ok(None);
                }
                None => {}
            }
            if self.connection.fill().await? == 0 {
                return Err(ExchangeError::Truncated);
            }
        }
    }

    /// Reads the next piece of a body that ends with its connection. A reset is no end of it.
    async fn next_raw(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        self.connection.spoiled = true;
        if self.connection.input.is_empty() && self.connection.fill().await? == 0 {
            self.done = true;
            return Ok(None);
        }
        Ok(Some(self.connection.input.split().freeze()))
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if it does not come whole.
    pub async fn read_all(mut self) -> Result<(Reply, Option<Connection>), ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.next().await? {
            body.extend_from_slice(&piece);
            if body.len() > REPLY_BOUND {
                return Err(ExchangeError::Invalid("a reply beyond all bounds"));
            }
        }
        let headers = std::mem::take(&mut self.headers);
        let reply = Reply { status: self.status, headers, body: body.freeze() };
        Ok((reply, self.into_connection()))
    }

    /// Gives the connection back for another request, if the reply was read to its end and the
    /// connection is fit for one.
    pub fn into_connection(self) -> Option<Connection> {
        if self.done {
            // Closed as usual from now on. If this fails, the connection is gone already.
            let _ = SockRef::from(&self.connection.stream).set_linger(None);
        }
        let fit = self.done && !self.connection.spoiled;
        (fit && self.connection.input.is_empty()).then_some(self.connection)
    }
}

fn framing(codec: &ClientCodec, request: &Request, head: &ResponseHead) -> Framing {
    let bodiless = request.method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    match codec.message_type() {
        MessageType::Payload => Framing::Codec,
        MessageType::Stream => Framing::Connection,
        MessageType::None if bodiless || head.headers().contains_key("content-length") => {
            Framing::Empty
        }
        MessageType::None => Framing::Connection,
    }
}

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
        // A request without one is refused as unfit.
        headers.set("host", &address.to_string());
    }
    head.headers = headers.0;
    let length = request.body.len() as u64;
    let bare = length == 0 && request.method == Method::GET;
    let size = if bare { BodySize::None } else { BodySize::Sized(length) };
    let mut output = BytesMut::with_capacity(512 + request.body.len());
    let head = RequestHeadType::Owned(head);
    codec.encode(Message::Item((head, size)), &mut output).map_err(ExchangeError::NotSent)?;
    if length > 0 {
        let body = Message::Chunk(Some(request.body.clone()));
        codec.encode(body, &mut output).map_err(ExchangeError::NotSent)?;
    }
    Ok(output)
}
