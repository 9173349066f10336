//! A connection of a server that counts towards what its process holds for clients
//! ([`chicoryford_ingress`]), and ends when others need what it holds or when its client reads nothing.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use actix_codec::AsyncRead;
use actix_codec::AsyncWrite;
use actix_codec::ReadBuf;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_rt::time::Sleep;
use bytes::Bytes;
use chicoryford_ingress::Ingress;
use chicoryford_ingress::Phase;
use chicoryford_ingress::Slot;
use futures_util::future::LocalBoxFuture;

use crate::reply::Reply;

/// Time without progress after which a reply is given up, for clients that read slowly or not at all.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of a request that the library buffers at most before its handler reads the body.
pub(crate) const MAX_BUFFERED_BYTES: usize = 160 << 10;
/// Bytes that the library needs for a connection with a request.
const CONNECTION_BYTES: usize = 16 << 10;
/// Size in bytes of a reply from which on its memory is counted.
const MIN_REPLY_BYTES: u64 = 64 << 10;

/// A stream whose connection is counted.
pub(crate) struct Tracked<T> {
    stream: T,
    slot: Arc<Slot>,
    closing: LocalBoxFuture<'static, ()>,
    /// Whether the connection must be closed.
    is_closed: bool,
    /// Bytes that were received since the last request, for which memory is held until its handler runs.
    received: usize,
    /// Runs while a write waits for the client.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<T> Tracked<T> {
    /// Counts a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many connections.
    pub(crate) fn new(stream: T, ingress: &Arc<Ingress>) -> io::Result<Self> {
        let slot = Arc::new(ingress.open().ok_or(ErrorKind::ConnectionAborted)?);
        let closing = Box::pin(slot.closing());
        Ok(Self { stream, slot, closing, is_closed: false, received: 0, stalled: None })
    }

    pub(crate) fn slot(&self) -> &Arc<Slot> {
        &self.slot
    }

    /// Returns an error once the connection must be closed.
    fn poll_open(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        self.is_closed = self.is_closed || self.closing.as_mut().poll(context).is_ready();
        if self.is_closed { Err(ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }

    /// Counts received bytes, which the library buffers up to a limit. Returns an error if there is no
    /// memory for them.
    fn count_received(&mut self, bytes: usize) -> io::Result<()> {
        if self.slot.record_received(bytes) {
            self.received = bytes;
        } else {
            self.received += bytes;
        }
        // A buffer that grows is copied to one of twice its size.
        let buffered = CONNECTION_BYTES + 2 * self.received.min(MAX_BUFFERED_BYTES);
        self.is_closed = !self.slot.hold_received(buffered as u64);
        if self.is_closed { Err(ErrorKind::OutOfMemory.into()) } else { Ok(()) }
    }

    /// Returns an error if a write that is not ready has waited for too long.
    fn poll_written<R>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if written.is_ready() {
            self.stalled = None;
            self.slot.record_progress(0);
            return written;
        }
        let stalled =
            self.stalled.get_or_insert_with(|| Box::pin(actix_rt::time::sleep(WRITE_TIMEOUT)));
        ready!(stalled.as_mut().poll(context));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Tracked<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_open(context)?;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(self.count_received(read))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Tracked<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_open(context)?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.poll_written(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_open(context)?;
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.poll_written(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Others need what the connection holds, so its client is not waited for.
        self.poll_open(context)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Counts a reply, and keeps its connection from being closed for others until its body was produced.
pub(crate) fn hold_reply(reply: Reply, slot: Arc<Slot>) -> Reply {
    let bytes = match reply.body().size() {
        BodySize::Sized(bytes) if bytes >= MIN_REPLY_BYTES => bytes,
        _ => 0,
    };
    slot.hold_reply(bytes);
    reply.map_body(|_, body| BoxBody::new(SlotBody { body, slot }))
}

struct SlotBody {
    body: BoxBody,
    slot: Arc<Slot>,
}

impl Drop for SlotBody {
    fn drop(&mut self) {
        self.slot.hold_reply(0);
        self.slot.begin(Phase::Reply);
        self.slot.begin(Phase::Idle);
    }
}

impl MessageBody for SlotBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}
