//! The server side: accepts connections, and counts what it holds for its callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_ingress::Ingress;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::connection::CallerConnection;
use crate::load::Admission;
use crate::load::Load;
use crate::message::Reply;
use crate::message::Request;
use crate::socket;

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

/// Returns the reply to a request if the reply does not depend on its body.
pub type EarlyReply = dyn Fn(&Request) -> Option<Reply>;

/// Serves connections until the process ends.
pub struct Server {
    pub(crate) bounds: Rc<Cell<Bounds>>,
    pub(crate) closing: watch::Sender<bool>,
    /// Number of active requests.
    pub(crate) active: Rc<Cell<usize>>,
    pub(crate) load: Rc<Load>,
    pub(crate) admission: RefCell<Option<Rc<dyn Admission>>>,
    pub(crate) early_reply: RefCell<Option<Rc<EarlyReply>>>,
    pub(crate) ingress: Arc<Ingress>,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            bounds: Rc::default(),
            closing: watch::Sender::new(false),
            active: Rc::default(),
            load: Rc::default(),
            admission: RefCell::default(),
            early_reply: RefCell::default(),
            ingress: Arc::default(),
        }
    }
}

impl Server {
    /// Creates a server that shares the memory and the connections of its process with others.
    pub fn new(ingress: Arc<Ingress>) -> Self {
        Self { ingress, ..Self::default() }
    }

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

    /// Returns the counters of what this server holds for its callers.
    pub fn load(&self) -> Rc<Load> {
        self.load.clone()
    }

    /// Returns what this server shares with the others of its process.
    pub fn ingress(&self) -> Arc<Ingress> {
        self.ingress.clone()
    }

    /// Lets `admission` decide about the requests of connections that are accepted after this call.
    pub fn set_admission(&self, admission: Rc<dyn Admission>) {
        self.admission.replace(Some(admission));
    }

    /// Lets `early_reply` answer requests before their bodies are read, on connections that are accepted
    /// after this call. The connection is closed after such a reply.
    pub fn set_early_reply(&self, early_reply: Rc<EarlyReply>) {
        self.early_reply.replace(Some(early_reply));
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
            let Some(slot) = self.ingress.open() else { continue };
            let connection = CallerConnection::new(self, stream, slot);
            actix_rt::spawn(connection.run(handler.clone()));
        }
    }
}
