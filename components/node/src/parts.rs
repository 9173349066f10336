//! Parts straight from a store nearby: entries read texts of results there, not through the leader.
//!
//! The leader would fetch each text and send it on to every entry that asks, most of them in other
//! data centres. Where as many copies lie as there are data centres, none need cross for a read. A
//! part never changes, so any copy is as good; whoever gets none asks the leader.

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
use tokio_util::codec::LengthDelimitedCodec;

use crate::frame::decode;
use crate::frame::encode;
use crate::frame::frames;

/// How long a connection to a store of the same data centre may take to come about, and a part to
/// come. Both take a millisecond or two; whoever waits longer asks the leader, which has more than
/// one store to ask.
const CONNECT: Duration = Duration::from_millis(50);
const READ: Duration = Duration::from_millis(80);
/// Parts that may be asked for at a time on one connection, and be on their way back.
const ASKED: usize = 256;
/// Silence after which a store closes a connection. An entry opens another when it reads again.
const IDLE: Duration = Duration::from_secs(20);

type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// An entry asks for a part.
#[derive(Debug, Deserialize, Serialize)]
struct Wanted {
    number: u64,
    part: PartId,
}

/// A store's answer; none if it has no such part.
#[derive(Debug, Deserialize, Serialize)]
struct Given {
    number: u64,
    bytes: Option<Bytes>,
}

/// Gives parts of this VM's depot to entries for as long as the process lives.
pub async fn serve(listener: TcpListener, depot: Rc<Worker>) {
    loop {
        let stream = socket::accept(&listener).await;
        actix_rt::spawn(give(stream, depot.clone()));
    }
}

async fn give(stream: TcpStream, depot: Rc<Worker>) {
    let (mut sink, mut asked) = Framed::new(stream, frames()).split();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE, asked.next()).await {
        let wanted: Wanted = match decode(&frame) {
            Ok(wanted) => wanted,
            Err(error) => {
                tracing::warn!(event = "link_unreadable", %error);
                return;
            }
        };
        let given = Given { number: wanted.number, bytes: depot.get(wanted.part).await };
        if sink.send(encode(&given)).await.is_err() {
            return;
        }
    }
}

/// Reads parts from stores nearby.
#[derive(Default)]
pub struct Reader {
    lanes: RefCell<BTreeMap<SocketAddr, Rc<Lane>>>,
}

/// A connection to one store.
struct Lane {
    wanted: mpsc::Sender<Bytes>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Option<Bytes>>>>,
    next: Cell<u64>,
}

impl Reader {
    /// Reads a part from the store at an address; none if it has none or does not answer in time.
    /// A connection on which an answer stayed out may have gone silent for good, and is not used
    /// again.
    pub async fn read(self: &Rc<Self>, address: SocketAddr, part: PartId) -> Option<Bytes> {
        let reading = async {
            let lane = self.lane(address).await?;
            let (given, got) = oneshot::channel();
            let number = lane.next.get();
            lane.next.set(number + 1);
            lane.waiting.borrow_mut().insert(number, given);
            let _asked = Asked { lane: &lane, number };
            lane.wanted.try_send(encode(&Wanted { number, part })).ok()?;
            got.await.ok()?
        };
        let read = tokio::time::timeout(READ, reading).await;
        read.unwrap_or_else(|_| {
            self.lanes.borrow_mut().remove(&address);
            None
        })
    }

    async fn lane(self: &Rc<Self>, address: SocketAddr) -> Option<Rc<Lane>> {
        if let Some(lane) = self.lanes.borrow().get(&address) {
            return Some(lane.clone());
        }
        let stream = socket::connect(address, CONNECT).await.ok()?;
        let (wanted, queue) = mpsc::channel(ASKED);
        let lane = Rc::new(Lane { wanted, waiting: RefCell::default(), next: Cell::default() });
        // Two may have opened one at the same time; the later one serves from here on.
        self.lanes.borrow_mut().insert(address, lane.clone());
        let (reader, carried) = (self.clone(), lane.clone());
        actix_rt::spawn(async move {
            carry(Framed::new(stream, frames()), queue, &carried).await;
            // Whoever waits on it asks the leader.
            carried.waiting.borrow_mut().clear();
            let mut lanes = reader.lanes.borrow_mut();
            if lanes.get(&address).is_some_and(|lane| Rc::ptr_eq(lane, &carried)) {
                lanes.remove(&address);
            }
        });
        Some(lane)
    }
}

/// Carries questions and answers until the connection ends. A store closes one that is idle.
async fn carry(socket: Socket, mut queue: mpsc::Receiver<Bytes>, lane: &Lane) {
    let (mut sink, given) = socket.split();
    let asking = async {
        while let Some(frame) = queue.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = asking => {}
        () = take(given, lane) => {}
    }
}

async fn take(mut given: SplitStream<Socket>, lane: &Lane) {
    while let Some(Ok(frame)) = given.next().await {
        let Given { number, bytes } = match decode(&frame) {
            Ok(given) => given,
            Err(error) => {
                tracing::warn!(event = "link_unreadable", %error);
                return;
            }
        };
        if let Some(waiting) = lane.waiting.borrow_mut().remove(&number) {
            // Whoever asked may have left.
            let _ = waiting.send(bytes);
        }
    }
}

/// Forgets a question when nobody waits for its answer any more.
struct Asked<'a> {
    lane: &'a Lane,
    number: u64,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.lane.waiting.borrow_mut().remove(&self.number);
    }
}
