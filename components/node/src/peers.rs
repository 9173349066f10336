//! Sends the agreement's messages to other replicas.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_http::socket;
use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::frame::encode;
use crate::frame::frames;
use crate::message::Hello;
use crate::message::ReplicaMessage;

/// Messages that wait for one replica; further ones are dropped, as a network would.
const QUEUE: usize = 512;
/// How long a connection to another replica may take to come about. Round trips are a few milliseconds,
/// some tens between regions. A VM that has no power yet does not answer, and the opening packet is
/// sent again only after a second, so a longer wait delays the election after a loss of all power:
/// with 250 ms the replicas knew of each other 0.13 to 0.3 s after the last of them had started.
const CONNECT: Duration = Duration::from_millis(100);
/// How long one batch of messages may take to leave.
const SEND: Duration = Duration::from_millis(1_500);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(50);
/// How long what was sent may stay without a word from the other side. A connection can go silent
/// for good while new ones work, something in between still taking its bytes; heartbeats lost that
/// way depose a leader that is well. The other side answers within [`crate::link_server::ACK_INTERVAL`].
const SILENT: Duration = Duration::from_millis(600);

/// The ways to the other replicas, opened as they are needed.
pub struct Peers {
    /// Where this process is; the other side is told.
    data_centre: String,
    lanes: RefCell<BTreeMap<SocketAddr, mpsc::Sender<ReplicaMessage>>>,
}

impl Peers {
    /// Starts without any connection.
    pub fn new(data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), lanes: RefCell::default() }
    }

    /// Sends a message. It may be lost; the replica repeats what matters.
    pub fn send(&self, letter: ReplicaMessage) {
        let Ok(address) = letter.to.node.to_string().parse::<SocketAddr>() else {
            tracing::warn!(event = "peer_unreachable", to = %letter.to);
            return;
        };
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(address).or_insert_with(|| {
            let (lane, letters) = mpsc::channel(QUEUE);
            actix_rt::spawn(carry(address, letters, self.data_centre.clone()));
            lane
        });
        // A full lane drops the message; the replica repeats what matters.
        let _ = lane.try_send(letter);
    }
}

/// An open connection, and since when it owes a word.
struct Lane {
    socket: Framed<TcpStream, LengthDelimitedCodec>,
    unanswered: Option<Instant>,
}

impl Lane {
    /// Tells whether the connection is of no use any more: closed, or silent for too long.
    fn is_dead(&mut self) -> bool {
        let mut bytes = [0; 256];
        loop {
            match self.socket.get_ref().try_read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => self.unanswered = None,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => return true,
            }
        }
        self.unanswered.is_some_and(|since| since.elapsed() > SILENT)
    }
}

async fn carry(
    address: SocketAddr,
    mut letters: mpsc::Receiver<ReplicaMessage>,
    data_centre: String,
) {
    let mut lane: Option<Lane> = None;
    while let Some(letter) = letters.recv().await {
        if lane.as_mut().is_some_and(Lane::is_dead) {
            tracing::info!(event = "peer_lost", %address);
            lane = None;
        }
        if lane.is_none() {
            lane = open(address, &data_centre).await;
        }
        let Some(open) = &mut lane else {
            // What waits is out of date by the time the other side is back.
            while letters.try_recv().is_ok() {}
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        open.unanswered.get_or_insert_with(Instant::now);
        let sending = pass_on(&mut open.socket, letter, &mut letters);
        if !matches!(tokio::time::timeout(SEND, sending).await, Ok(Ok(()))) {
            tracing::info!(event = "peer_lost", %address);
            lane = None;
        }
    }
}

async fn pass_on(
    socket: &mut Framed<TcpStream, LengthDelimitedCodec>,
    first: ReplicaMessage,
    letters: &mut mpsc::Receiver<ReplicaMessage>,
) -> std::io::Result<()> {
    socket.feed(encode(&first)).await?;
    while let Ok(letter) = letters.try_recv() {
        socket.feed(encode(&letter)).await?;
    }
    <_ as SinkExt<Bytes>>::flush(socket).await
}

async fn open(address: SocketAddr, data_centre: &str) -> Option<Lane> {
    let stream = socket::connect(address, CONNECT).await.ok()?;
    socket::limit_silence(&stream, SILENT).ok()?;
    let mut socket = Framed::new(stream, frames());
    let hello = Hello::Replica { data_centre: data_centre.to_owned() };
    socket.send(encode(&hello)).await.ok()?;
    Some(Lane { socket, unanswered: None })
}
