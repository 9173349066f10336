//! Direct reads of parts from nearby stores: entries read the texts of results there instead of
//! through the leader.
//!
//! Otherwise the leader would fetch each text and send it to every entry that asks, most of them in
//! other data centres. If there are as many copies as data centres, no read has to cross between
//! them. Parts are immutable, so any copy will do; a reader that gets none asks the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_depot::Worker;
use chicoryford_fleet::copies::PartId;
use chicoryford_http::socket;
use chicoryford_kernel::run_time;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::codec::Framed;

use crate::frame::FrameCodec;
use crate::frame::decode;
use crate::frame::encode;
use crate::frame::frames;

/// Timeouts for connecting to a store in the same data centre, and for reading a part. Both take a
/// millisecond or two; after the timeout the reader asks the leader, which can ask more than one
/// store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum number of requests queued on one connection.
const QUEUE_LENGTH: usize = 256;
/// Silence after which a store closes a connection. An entry opens a new one for its next read.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

type Socket = Framed<TcpStream, FrameCodec>;

/// An entry's request for a part.
#[derive(Debug, Deserialize, Serialize)]
struct PartRequest {
    number: u64,
    part: PartId,
}

/// A store's reply; `None` if it does not have the part.
#[derive(Debug, Deserialize, Serialize)]
struct PartReply {
    number: u64,
    bytes: Option<Bytes>,
}

/// Serves parts of this VM's depot to entries for as long as the process runs.
pub async fn serve(listener: TcpListener, depot: Rc<Worker>) {
    loop {
        let stream = socket::accept(&listener).await;
        actix_rt::spawn(serve_connection(stream, depot.clone()));
    }
}

async fn serve_connection(stream: TcpStream, depot: Rc<Worker>) {
    let (mut sink, mut requests) = Framed::new(stream, frames()).split();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_TIMEOUT, requests.next()).await {
        let request: PartRequest = match decode(&frame) {
            Ok(request) => request,
            Err(error) => {
                tracing::warn!(event = "link_unreadable", %error);
                return;
            }
        };
        let reply = PartReply { number: request.number, bytes: depot.get(request.part).await };
        if sink.send(encode(&reply)).await.is_err() {
            return;
        }
    }
}

/// Reads parts from nearby stores.
#[derive(Default)]
pub struct PartReader {
    connections: RefCell<BTreeMap<SocketAddr, Rc<StoreConnection>>>,
}

/// A connection to one store.
struct StoreConnection {
    requests: mpsc::Sender<Bytes>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<Option<Bytes>>>>,
    next_number: Cell<u64>,
}

impl PartReader {
    /// Reads a part from the store at an address. Returns `None` if the store does not have it or
    /// does not answer in time. After a timeout, the connection is not used again, because it may
    /// be permanently broken without being closed.
    pub async fn read(self: &Rc<Self>, address: SocketAddr, part: PartId) -> Option<Bytes> {
        let reading = async {
            let connection = self.connect(address).await?;
            let (requester, reply) = oneshot::channel();
            let number = connection.next_number.get();
            connection.next_number.set(number + 1);
            connection.pending.borrow_mut().insert(number, requester);
            let _pending = PendingRequest { connection: &connection, number };
            connection.requests.try_send(encode(&PartRequest { number, part })).ok()?;
            reply.await.ok()?
        };
        let read = run_time::timeout(READ_TIMEOUT, reading).await;
        read.unwrap_or_else(|_| {
            self.connections.borrow_mut().remove(&address);
            None
        })
    }

    async fn connect(self: &Rc<Self>, address: SocketAddr) -> Option<Rc<StoreConnection>> {
        if let Some(connection) = self.connections.borrow().get(&address) {
            return Some(connection.clone());
        }
        let stream = socket::connect(address, CONNECT_TIMEOUT).await.ok()?;
        let (requests, queue) = mpsc::channel(QUEUE_LENGTH);
        let connection = Rc::new(StoreConnection {
            requests,
            pending: RefCell::default(),
            next_number: Cell::default(),
        });
        // Two reads may have opened a connection concurrently; the later one is used from now on.
        self.connections.borrow_mut().insert(address, connection.clone());
        let (reader, opened) = (self.clone(), connection.clone());
        actix_rt::spawn(async move {
            run_connection(Framed::new(stream, frames()), queue, &opened).await;
            // Reads that still wait on it ask the leader.
            opened.pending.borrow_mut().clear();
            let mut connections = reader.connections.borrow_mut();
            if connections.get(&address).is_some_and(|connection| Rc::ptr_eq(connection, &opened)) {
                connections.remove(&address);
            }
        });
        Some(connection)
    }
}

/// Sends requests and delivers replies until the connection ends. A store closes an idle
/// connection.
async fn run_connection(
    socket: Socket,
    mut queue: mpsc::Receiver<Bytes>,
    connection: &StoreConnection,
) {
    let (mut sink, replies) = socket.split();
    let asking = async {
        while let Some(frame) = queue.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = asking => {}
        () = read_replies(replies, connection) => {}
    }
}

async fn read_replies(mut replies: SplitStream<Socket>, connection: &StoreConnection) {
    while let Some(Ok(frame)) = replies.next().await {
        let PartReply { number, bytes } = match decode(&frame) {
            Ok(reply) => reply,
            Err(error) => {
                tracing::warn!(event = "link_unreadable", %error);
                return;
            }
        };
        if let Some(requester) = connection.pending.borrow_mut().remove(&number) {
            // The requester may have stopped waiting.
            let _ = requester.send(bytes);
        }
    }
}

/// Removes a request when its requester no longer waits for the reply.
struct PendingRequest<'a> {
    connection: &'a StoreConnection,
    number: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.connection.pending.borrow_mut().remove(&self.number);
    }
}
