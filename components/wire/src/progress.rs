//! Counts requests in progress, so that a graceful shutdown knows when nothing is left to cut.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use bytes::Bytes;

use crate::reply::Reply;

/// The name under which a process's [`Progress`] is offered.
pub const PROGRESS: &str = "progress";

/// Counts what a process has in progress. A role that does work outside of HTTP requests holds a
/// [`Guard`] for each piece.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<AtomicUsize>);

/// One piece of work in progress; dropping it ends the piece.
#[derive(Debug)]
pub struct Guard(Arc<AtomicUsize>);

impl Progress {
    /// Counts one more piece of work until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> Guard {
        self.0.fetch_add(1, Ordering::SeqCst);
        Guard(self.0.clone())
    }

    /// Tells how many pieces are in progress.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Keeps `guard` until the last byte of the answer's body is on its way or the client is gone.
///
/// A streamed answer begins long before it ends: counting only the handler would let a shutdown
/// cut the stream in the middle.
pub fn hold(reply: Reply, guard: Guard) -> Reply {
    reply.map_body(|_, body| BoxBody::new(Held { body, _guard: guard }))
}

struct Held {
    body: BoxBody,
    _guard: Guard,
}

impl MessageBody for Held {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
