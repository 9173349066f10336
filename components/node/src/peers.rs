//! Sends messages of the agreement to other replicas.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_http::socket;
use chicoryford_kernel::run_time;
use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::frame::FrameCodec;
use crate::frame::encode;
use crate::frame::frames;
use crate::message::Hello;
use crate::message::ReplicaMessage;

/// Maximum number of messages queued for one replica; further ones are dropped, as a network would.
const QUEUE_LENGTH: usize = 512;
/// Timeout for connecting to another replica. Round trips take a few milliseconds, between regions
/// some tens. A VM without power does not answer, and its SYN packet is sent again only after a
/// second, so a longer timeout delays the election after a complete power loss: with 250 ms, the
/// replicas were connected 0.13 to 0.3 s after the last of them had started.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for sending one batch of messages.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a connection without an acknowledgement is closed. A connection can fail
/// silently while new ones work, with something in between still accepting its bytes; heartbeats
/// lost this way would depose a healthy leader. The peer acknowledges within
/// [`crate::link_server::ACK_INTERVAL`].
const ACK_TIMEOUT: Duration = Duration::from_millis(600);

/// The connections to the other replicas, opened on demand.
pub struct Peers {
    /// The data centre of this process, which is sent to the peers.
    data_centre: String,
    queues: RefCell<BTreeMap<SocketAddr, mpsc::Sender<ReplicaMessage>>>,
}

impl Peers {
    /// Creates an instance without connections.
    pub fn new(data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), queues: RefCell::default() }
    }

    /// Sends a message. It may be lost; the replica repeats what matters.
    pub fn send(&self, message: ReplicaMessage) {
        let Ok(address) = message.to.node.to_string().parse::<SocketAddr>() else {
            tracing::warn!(event = "peer_unreachable", to = %message.to);
            return;
        };
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(address).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(QUEUE_LENGTH);
            actix_rt::spawn(run_connection(address, messages, self.data_centre.clone()));
            queue
        });
        // A full queue drops the message; the replica repeats what matters.
        let _ = queue.try_send(message);
    }
}

/// An open connection, and since when an acknowledgement is due.
struct Connection {
    socket: Framed<TcpStream, FrameCodec>,
    unacknowledged_since: Option<Instant>,
}

impl Connection {
    /// Returns whether the connection is closed, or silent for too long.
    fn is_dead(&mut self) -> bool {
        let mut bytes = [0; 256];
        loop {
            match self.socket.get_ref().try_read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => self.unacknowledged_since = None,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => return true,
            }
        }
        self.unacknowledged_since.is_some_and(|since| since.elapsed() > ACK_TIMEOUT)
    }
}

async fn run_connection(
    address: SocketAddr,
    mut messages: mpsc::Receiver<ReplicaMessage>,
    data_centre: String,
) {
    let mut connection: Option<Connection> = None;
    while let Some(message) = messages.recv().await {
        if connection.as_mut().is_some_and(Connection::is_dead) {
            tracing::info!(event = "peer_lost", %address);
            connection = None;
        }
        if connection.is_none() {
            connection = open(address, &data_centre).await;
        }
        let Some(open) = &mut connection else {
            // The queued messages will be out of date when the peer is back.
            while messages.try_recv().is_ok() {}
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        open.unacknowledged_since.get_or_insert_with(Instant::now);
        let sending = send_batch(&mut open.socket, message, &mut messages);
        if !matches!(run_time::timeout(SEND_TIMEOUT, sending).await, Ok(Ok(()))) {
            tracing::info!(event = "peer_lost", %address);
            connection = None;
        }
    }
}

async fn send_batch(
    socket: &mut Framed<TcpStream, FrameCodec>,
    first: ReplicaMessage,
    messages: &mut mpsc::Receiver<ReplicaMessage>,
) -> std::io::Result<()> {
    socket.feed(encode(&first)).await?;
    while let Ok(message) = messages.try_recv() {
        socket.feed(encode(&message)).await?;
    }
    <_ as SinkExt<Bytes>>::flush(socket).await
}

async fn open(address: SocketAddr, data_centre: &str) -> Option<Connection> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.ok()?;
    socket::set_unacknowledged_timeout(&stream, ACK_TIMEOUT).ok()?;
    let mut socket = Framed::new(stream, frames());
    let hello = Hello::Replica { data_centre: data_centre.to_owned() };
    socket.send(encode(&hello)).await.ok()?;
    Some(Connection { socket, unacknowledged_since: None })
}
