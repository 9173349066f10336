//! A count of the requests in progress, which a graceful shutdown waits for.

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

/// The name under which the [`Progress`] of a process is available.
pub const PROGRESS: &str = "progress";

/// Counts the work that a process has in progress. A role that works outside of HTTP requests holds
/// a [`Guard`] for each task.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<AtomicUsize>);

/// A task in progress, which ends when the guard is dropped.
#[derive(Debug)]
pub struct Guard(Arc<AtomicUsize>);

impl Progress {
    /// Counts one more task until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> Guard {
        self.0.fetch_add(1, Ordering::SeqCst);
        Guard(self.0.clone())
    }

    /// Returns the number of tasks in progress.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Holds `guard` until the last byte of the answer's body is sent or the client has disconnected.
///
/// A streamed answer continues after its handler has returned. If only the handler were counted, a
/// shutdown could cut off the stream.
pub fn hold(reply: Reply, guard: Guard) -> Reply {
    reply.map_body(|_, body| BoxBody::new(GuardedBody { body, _guard: guard }))
}

struct GuardedBody {
    body: BoxBody,
    _guard: Guard,
}

impl MessageBody for GuardedBody {
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
