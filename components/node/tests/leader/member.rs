//! Hosts and stores that the test plays, on real sockets.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Work;
use chicoryford_node::clock;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::frame::frames;
use chicoryford_node::message::Depot;
use chicoryford_node::message::Hello;
use chicoryford_node::message::LeaderMessage;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::message::StoreReply;
use chicoryford_node::message::StoreRequest;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Time after the acknowledgement of an end within which nothing of the step may go on.
pub const BOUND: Duration = Duration::from_secs(3);
/// Time between two words of a host or store that it lives.
pub const ALIVE: Duration = Duration::from_millis(200);
/// The store's identity.
pub const STORE: u64 = 7;

pub type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// Connects as a VM that stores and hosts.
/// Connects a VM that stores data.
pub async fn greet(links: SocketAddr, node: &str) -> Socket {
    let store = Some(Depot { identity: STORE, address: "127.0.0.1:9".parse().unwrap() });
    say_hello(links, node, store, false).await
}

/// Connects a VM that stores nothing, as an entry or as a replica.
pub async fn greet_as(links: SocketAddr, node: &str, replica: bool) -> Socket {
    say_hello(links, node, None, replica).await
}

async fn say_hello(links: SocketAddr, node: &str, store: Option<Depot>, replica: bool) -> Socket {
    let mut socket = Framed::new(TcpStream::connect(links).await.unwrap(), frames());
    let (node, data_centre) = (node.to_owned(), "here".to_owned());
    let hello = Hello::Member { node, data_centre, store, replica, clock: clock::now() };
    socket.send(encode(&hello)).await.unwrap();
    socket
}

/// Parts that a store has.
pub type Kept = Rc<RefCell<BTreeMap<PartId, Bytes>>>;

/// A VM that stores and hosts, as far as the leader sees it: like one, it keeps parts and gives those
/// that it has, tells of its runs when it connects and when it is asked, and stops them.
pub struct Member {
    pub up: mpsc::UnboundedSender<MemberMessage>,
    pub runs: Rc<RefCell<Vec<Report>>>,
    /// Words about runs that came.
    pub asked: Rc<Cell<u32>>,
    pub task: JoinHandle<()>,
}

impl Member {
    /// Connects and tells of the runs; that this is all, only [`Member::reported`] tells.
    pub async fn connect(links: SocketAddr, node: &str, kept: Kept, runs: Vec<Report>) -> Self {
        let mut socket = greet(links, node).await;
        let (up, mut ups) = mpsc::unbounded_channel();
        let (runs, asked) = (Rc::new(RefCell::new(runs)), Rc::<Cell<u32>>::default());
        for run in runs.borrow().iter() {
            up.send(MemberMessage::Report(run.clone())).unwrap();
        }
        let (says, has, counts) = (up.clone(), runs.clone(), asked.clone());
        let task = actix_rt::spawn(async move {
            let mut alive = tokio::time::interval(ALIVE);
            loop {
                let said = tokio::select! {
                    frame = socket.next() => {
                        let Some(Ok(frame)) = frame else { return };
                        take(decode(&frame).unwrap(), &says, &kept, &has, &counts);
                        continue;
                    }
                    Some(said) = ups.recv() => said,
                    _ = alive.tick() => MemberMessage::Alive(clock::wall()),
                };
                if socket.send(encode(&said)).await.is_err() {
                    return;
                }
            }
        });
        Self { up, runs, asked, task }
    }

    /// Tells that all runs have been told.
    pub fn reported(&self) {
        self.up.send(MemberMessage::Reported).unwrap();
    }

    /// Tells whether the host still has a run of a step.
    pub fn runs(&self, step: &str) -> bool {
        self.runs.borrow().iter().any(|run| run.step == step)
    }

    /// Waits until the host has stopped a step's runs; tells whether that was soon enough.
    pub async fn stops(&self, step: &str) -> bool {
        let began = Instant::now();
        while self.runs(step) && began.elapsed() < BOUND {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        !self.runs(step)
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn take(
    down: LeaderMessage,
    up: &mpsc::UnboundedSender<MemberMessage>,
    kept: &Kept,
    runs: &Rc<RefCell<Vec<Report>>>,
    asked: &Rc<Cell<u32>>,
) {
    match down {
        LeaderMessage::Ask { number, request: StoreRequest::Put(part, bytes) } => {
            kept.borrow_mut().insert(part, bytes);
            up.send(MemberMessage::Told { number, reply: StoreReply::Kept }).unwrap();
        }
        // A part that is not here stands for one on a disk that stalls: no answer comes.
        LeaderMessage::Ask { number, request: StoreRequest::Get(part) } => {
            if let Some(bytes) = kept.borrow().get(&part) {
                let reply = StoreReply::Part(Some(bytes.clone()));
                up.send(MemberMessage::Told { number, reply }).unwrap();
            }
        }
        LeaderMessage::Work { work: Work::Tell, .. } => {
            asked.set(asked.get() + 1);
            for run in runs.borrow().iter() {
                up.send(MemberMessage::Report(run.clone())).unwrap();
            }
            up.send(MemberMessage::Reported).unwrap();
        }
        LeaderMessage::Work { work: Work::Stop { step, index, run }, .. } => {
            let same = |one: &Report| one.step == step && one.index == index && one.run == run;
            runs.borrow_mut().retain(|one| !same(one));
        }
        _ => {}
    }
}
