//! What a server holds for its callers: connections, and the bytes of requests and replies.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryford_kernel::run_time::RunTimer;
use tokio::sync::Notify;

use crate::message::Reply;
use crate::message::Request;
use crate::message::StatusCode;

/// Decides whether a server accepts new requests and keeps its connections open.
pub trait Admission {
    /// Returns the reply if a new request is refused. It is called when the head of the request has
    /// been read; the body of a refused request is not read into memory.
    fn refusal(&self, request: &Request) -> Option<Reply>;

    /// Returns the reply to a request for which there is no memory.
    fn out_of_memory(&self, _: &Request) -> Reply {
        out_of_memory()
    }

    /// Returns whether connections are closed after their next reply.
    fn closes_connections(&self) -> bool;
}

/// Returns the reply of a server without an [`Admission`] to a request for which there is no memory.
pub(crate) fn out_of_memory() -> Reply {
    Reply::new(StatusCode::SERVICE_UNAVAILABLE, "out of memory").with("retry-after", "1")
}

/// What a server holds for its callers.
#[derive(Default)]
pub struct Load {
    held_bytes: Cell<u64>,
    connections: Cell<usize>,
    unread: RefCell<BTreeMap<u64, Rc<Progress>>>,
    last_id: Cell<u64>,
}

/// A reply of which the caller's socket has not accepted all bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnreadReply {
    /// Identifies the reply.
    pub id: u64,
    /// Bytes that are left.
    pub bytes: u64,
    /// Milliseconds, in run time of this thread, since the socket last accepted any of them.
    pub stalled_ms: u64,
}

impl Load {
    /// Returns the bytes of requests that are not answered yet, and of replies that the sockets
    /// have not accepted yet. An accepted request counts with the declared length of its body, since
    /// other requests could otherwise be accepted before its body arrives.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.get()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the replies that have been written in part.
    pub fn unread_replies(&self) -> Vec<UnreadReply> {
        let unread = self.unread.borrow();
        let replies = unread.iter().map(|(id, progress)| UnreadReply {
            id: *id,
            bytes: progress.left_bytes.get(),
            stalled_ms: progress.timer.borrow().elapsed_ms(),
        });
        replies.collect()
    }

    /// Stops writing a reply and closes its connection.
    pub fn cut_reply(&self, id: u64) {
        if let Some(progress) = self.unread.borrow().get(&id) {
            progress.cut.notify_one();
        }
    }
}

/// The progress of a reply that is being written.
struct Progress {
    left_bytes: Cell<u64>,
    /// The time since the last progress.
    timer: RefCell<RunTimer>,
    cut: Notify,
}

/// What one connection holds. It counts until this is dropped.
pub(crate) struct ConnectionLoad {
    load: Rc<Load>,
    bytes: Cell<u64>,
}

impl ConnectionLoad {
    pub(crate) fn new(load: &Rc<Load>) -> Self {
        load.connections.set(load.connections.get() + 1);
        Self { load: load.clone(), bytes: Cell::default() }
    }

    /// Sets the bytes that this connection holds.
    pub(crate) fn set_bytes(&self, bytes: usize) {
        let before = self.bytes.replace(bytes as u64);
        self.load.held_bytes.set(self.load.held_bytes.get() - before + bytes as u64);
    }

    /// Begins to track the progress of a reply.
    pub(crate) fn track_reply(&self, bytes: usize) -> ReplyTracker {
        let id = self.load.last_id.get() + 1;
        self.load.last_id.set(id);
        let progress = Rc::new(Progress {
            left_bytes: Cell::new(bytes as u64),
            timer: RefCell::new(RunTimer::start()),
            cut: Notify::new(),
        });
        self.load.unread.borrow_mut().insert(id, progress.clone());
        ReplyTracker { load: self.load.clone(), id, progress }
    }
}

impl Drop for ConnectionLoad {
    fn drop(&mut self) {
        self.set_bytes(0);
        self.load.connections.set(self.load.connections.get() - 1);
    }
}

/// Tracks the progress of a reply until it is dropped.
pub(crate) struct ReplyTracker {
    load: Rc<Load>,
    id: u64,
    progress: Rc<Progress>,
}

impl ReplyTracker {
    /// Records that the socket has accepted bytes.
    pub(crate) fn record_progress(&self, left_bytes: usize) {
        self.progress.left_bytes.set(left_bytes as u64);
        self.progress.timer.replace(RunTimer::start());
    }

    /// Returns when the reply is cut.
    pub(crate) async fn cut(&self) {
        self.progress.cut.notified().await;
    }
}

impl Drop for ReplyTracker {
    fn drop(&mut self) {
        self.load.unread.borrow_mut().remove(&self.id);
    }
}
