//! A process's connection to the leader: news come down, calls go up.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_depot::Worker;
use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::hearing::Sign;
use chicoryford_fleet::usage;
use chicoryford_http::socket;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use rand::seq::SliceRandom;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::clock;
use crate::frame::decode;
use crate::frame::encode;
use crate::frame::frames;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Depot;
use crate::message::Hello;
use crate::message::LeaderMessage;
use crate::message::MemberMessage;
use crate::message::StoreReply;
use crate::message::StoreRequest;
use crate::runner::Runner;
use crate::view::View;

/// How long a connection to a control process may take to come about. Round trips are a few
/// milliseconds; a VM without power does not answer at all, and others are waiting to be tried.
const CONNECT: Duration = Duration::from_millis(250);
/// How long the first answer may take.
const WELCOME: Duration = Duration::from_millis(400);
/// Silence after which the leader is taken for lost. It says that it lives five times a second.
const SILENCE: Duration = Duration::from_millis(900);
/// Time without a call after which a member says that it lives.
const ALIVE: Duration = Duration::from_millis(450);
/// Pause between two tries to find the leader, and between two tries of a call.
const PAUSE: Duration = Duration::from_millis(60);
/// The same pause while the leader has been silent for less than [`LATELY_MS`]. Callers wait for the
/// next leader then, and after a restart of all processes it is elected within 40 ms; a try costs
/// a control process less than a millisecond of its processor.
const SHORT_PAUSE: Duration = Duration::from_millis(25);
/// Milliseconds of silence after which the leader is looked for less often.
const LATELY_MS: u64 = 1_000;
/// Calls that may wait to be sent.
const CALLS: usize = 1_024;

type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No leader is known; the call was not sent.
    #[error("no leader is known")]
    NoLeader,
    /// The call was sent and may have been carried out.
    #[error("the leader was lost")]
    Lost,
    /// The time was up; the call may have been carried out.
    #[error("the leader did not answer in time")]
    Late,
}

/// Who a process is to the leader.
#[derive(Clone)]
pub struct Member {
    /// Its VM.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it takes links.
    pub address: SocketAddr,
    /// Whether it is a replica of the log, which may lead next.
    pub replica: bool,
    /// The depot of a VM that stores data.
    pub depot: Option<Rc<Worker>>,
    /// Hosts runs, on a VM that does.
    pub runner: Option<Rc<Runner>>,
}

/// The connection to the leader.
pub struct Link {
    member: Member,
    view: Rc<View>,
    seeds: RefCell<Vec<SocketAddr>>,
    leader: Cell<Option<SocketAddr>>,
    up: RefCell<Option<mpsc::Sender<MemberMessage>>>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    next: Cell<u64>,
    heard: Cell<Millis>,
    connected: watch::Sender<bool>,
    connections: Cell<u64>,
}

impl Link {
    /// Makes a link that is not connected yet.
    pub fn new(member: Member, view: Rc<View>, seeds: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Self {
            member,
            view,
            seeds: RefCell::new(seeds),
            leader: Cell::default(),
            up: RefCell::default(),
            waiting: RefCell::default(),
            next: Cell::default(),
            heard: Cell::new(clock::now()),
            connected: watch::Sender::new(false),
            connections: Cell::default(),
        })
    }

    /// Replaces the addresses that are tried when nobody else is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Tells whether the leader is connected.
    pub fn is_connected(&self) -> bool {
        *self.connected.borrow()
    }

    /// Gives the milliseconds since the leader was last heard.
    pub fn silent_ms(&self) -> u64 {
        clock::now().since(self.heard.get())
    }

    /// Waits for the leader, for so long at most. Tells whether it is there.
    pub async fn wait_connected(&self, limit: Duration) -> bool {
        let mut connected = self.connected.subscribe();
        let there = connected.wait_for(|connected| *connected);
        tokio::time::timeout(limit, there).await.is_ok()
    }

    /// Calls the leader.
    ///
    /// # Errors
    ///
    /// [`CallError`], which tells whether the call can have been carried out.
    pub async fn call(&self, call: Call, limit: Duration) -> Result<Answer, CallError> {
        let up = self.up.borrow().clone().ok_or(CallError::NoLeader)?;
        let number = self.next.get() + 1;
        self.next.set(number);
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, answer);
        let _waiting = Waiting { link: self, number };
        up.try_send(MemberMessage::Call { number, call }).map_err(|_| CallError::NoLeader)?;
        match tokio::time::timeout(limit, answered).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CallError::Lost),
            Err(_) => Err(CallError::Late),
        }
    }

    /// Tells the leader whom this process has heard; tells whether that is on its way.
    pub fn report_signs(&self, signs: Vec<Sign>) -> bool {
        self.send(MemberMessage::Heard(signs))
    }

    /// Tells the leader what workspaces used; tells whether that is on its way.
    pub fn report_usage(&self, told: usage::Told) -> bool {
        self.send(MemberMessage::Used(told))
    }

    /// Tells the leader that an endpoint crashed; tells whether that is on its way.
    pub fn report_crash(&self, crash: Crash) -> bool {
        self.send(MemberMessage::Crashed(crash))
    }

    /// Tells the leader that a content ran to its end; tells whether that is on its way.
    pub fn report_cleared(&self, content: Fingerprint) -> bool {
        self.send(MemberMessage::Cleared(content))
    }

    fn send(&self, word: MemberMessage) -> bool {
        let up = self.up.borrow();
        up.as_ref().is_some_and(|up| up.try_send(word).is_ok())
    }

    /// Numbers the connection to the leader, from one; what was told on one before may not have
    /// arrived.
    pub fn connection(&self) -> u64 {
        self.connections.get()
    }

    /// Calls the leader, and the next one if it is lost, until the time is up. Only for calls
    /// that do no harm when they are carried out twice.
    ///
    /// # Errors
    ///
    /// [`CallError`] of the last try; [`CallError::NoLeader`] only if none can have arrived.
    pub async fn call_until_answered(
        &self,
        call: Call,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let until = clock::now() + limit.as_millis() as u64;
        let mut sent = false;
        loop {
            let left = Duration::from_millis(until.since(clock::now()));
            if left.is_zero() || !self.wait_connected(left).await {
                return Err(if sent { CallError::Late } else { CallError::NoLeader });
            }
            let left = Duration::from_millis(until.since(clock::now()));
            match self.call(call.clone(), left).await {
                Ok(Answer::NotNow) | Err(CallError::NoLeader) => {}
                Ok(Answer::Unclear) | Err(CallError::Lost) => sent = true,
                Ok(answer) => return Ok(answer),
                Err(CallError::Late) => return Err(CallError::Late),
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Finds the leader, follows it, and looks for the next one when it is lost, for ever.
    pub async fn run(&self) {
        let mut round: Vec<SocketAddr> = Vec::new();
        loop {
            let address = match self.leader.take() {
                Some(hint) => hint,
                None => {
                    if round.is_empty() {
                        round = self.candidates();
                    }
                    match round.pop() {
                        Some(address) => address,
                        None => {
                            tokio::time::sleep(self.pause()).await;
                            continue;
                        }
                    }
                }
            };
            self.follow(address).await;
            self.disconnect(address);
            // A hint may point back to where it came from; going round without a pause would
            // take all the processor that there is.
            tokio::time::sleep(self.pause()).await;
        }
    }

    fn pause(&self) -> Duration {
        if self.silent_ms() < LATELY_MS { SHORT_PAUSE } else { PAUSE }
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.view.controls().into_iter().collect();
        for seed in self.seeds.borrow().iter() {
            if !all.contains(seed) {
                all.push(*seed);
            }
        }
        all.shuffle(&mut rand::rng());
        all
    }

    async fn follow(&self, address: SocketAddr) {
        let Some(mut socket) = self.open(address).await else { return };
        match next(&mut socket, WELCOME).await {
            Some(LeaderMessage::Welcome) => self.connect(address, socket).await,
            Some(LeaderMessage::NotLeader { leader }) => {
                self.leader.set(leader.filter(|leader| *leader != address));
            }
            _ => {}
        }
    }

    async fn open(&self, address: SocketAddr) -> Option<Socket> {
        let stream = socket::connect(address, CONNECT).await.ok()?;
        let mut socket = Framed::new(stream, frames());
        let Member { node, data_centre, depot, address, replica, .. } = self.member.clone();
        let store = depot.map(|depot| Depot { identity: depot.identity(), address });
        let hello = Hello::Member { node, data_centre, store, replica, clock: clock::now() };
        socket.send(encode(&hello)).await.ok()?;
        Some(socket)
    }

    async fn connect(&self, address: SocketAddr, socket: Socket) {
        tracing::info!(event = "leader_found", %address, silent_ms = self.silent_ms());
        let (up, calls) = mpsc::channel(CALLS);
        let (sink, mut stream) = socket.split();
        *self.up.borrow_mut() = Some(up.clone());
        self.connections.set(self.connections.get() + 1);
        self.heard.set(clock::now());
        if let Some(runner) = &self.member.runner {
            runner.attach(up);
        }
        let sending = send(sink, calls);
        let reading = async {
            loop {
                let frame = tokio::time::timeout(SILENCE, stream.next()).await;
                let Ok(Some(Ok(frame))) = frame else { return };
                let Ok(down) = decode::<LeaderMessage>(&frame) else { return };
                self.heard.set(clock::now());
                if !self.take(down) {
                    return;
                }
            }
        };
        tokio::select! {
            () = sending => {}
            () = reading => {}
        }
    }

    /// Takes what the leader sends; tells whether it still leads.
    fn take(&self, down: LeaderMessage) -> bool {
        match down {
            LeaderMessage::Everything(all) => {
                all.into_iter().for_each(|news| self.view.apply(news));
                self.connected.send_replace(true);
            }
            LeaderMessage::News(news) => self.view.apply(news),
            LeaderMessage::Answer { number, answer } => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
                    // Whoever waited may have left.
                    let _ = waiting.send(answer);
                }
            }
            LeaderMessage::Ask { number, ask } => self.tell(number, ask),
            LeaderMessage::Work { heard, work } => {
                if let Some(runner) = &self.member.runner {
                    runner.record_leader_sign(heard);
                    runner.handle_order(work, clock::now().since(heard));
                }
            }
            LeaderMessage::Alive { heard, wall } => {
                if let Some(wall) = wall {
                    self.view.set_wall_clock(wall);
                }
                if let Some(runner) = &self.member.runner {
                    runner.record_leader_sign(heard);
                }
            }
            LeaderMessage::Welcome => {}
            LeaderMessage::NotLeader { leader } => {
                self.leader.set(leader);
                return false;
            }
        }
        true
    }

    /// Answers what the leader asks of this process's depot.
    fn tell(&self, number: u64, ask: StoreRequest) {
        let (Some(depot), Some(up)) = (self.member.depot.clone(), self.up.borrow().clone()) else {
            return;
        };
        actix_rt::spawn(async move {
            let told = match ask {
                StoreRequest::Put(part, bytes) => {
                    if depot.put(part, bytes).await {
                        StoreReply::Kept
                    } else {
                        StoreReply::Failed
                    }
                }
                StoreRequest::Get(part) => StoreReply::Part(depot.get(part).await),
                StoreRequest::Keep(wanted) => {
                    depot.keep(wanted);
                    return;
                }
            };
            // Without the answer the leader asks another store.
            let _ = up.send(MemberMessage::Told { number, told }).await;
        });
    }

    fn disconnect(&self, address: SocketAddr) {
        if self.up.borrow_mut().take().is_some() {
            let unanswered = self.waiting.borrow().len();
            tracing::warn!(event = "leader_lost", %address, unanswered);
        }
        self.connected.send_replace(false);
        if let Some(runner) = &self.member.runner {
            runner.detach();
        }
        self.waiting.borrow_mut().clear();
    }
}

/// Forgets a call when its caller no longer waits for it.
struct Waiting<'a> {
    link: &'a Link,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.link.waiting.borrow_mut().remove(&self.number);
    }
}

async fn send(mut sink: SplitSink<Socket, Bytes>, mut calls: mpsc::Receiver<MemberMessage>) {
    loop {
        let up = match tokio::time::timeout(ALIVE, calls.recv()).await {
            Ok(Some(up)) => up,
            Ok(None) => return,
            Err(_) => MemberMessage::Alive(clock::wall()),
        };
        if sink.feed(encode(&up)).await.is_err() {
            return;
        }
        while let Ok(up) = calls.try_recv() {
            if sink.feed(encode(&up)).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

async fn next(socket: &mut Socket, limit: Duration) -> Option<LeaderMessage> {
    let frame = tokio::time::timeout(limit, socket.next()).await.ok()??;
    decode(&frame.ok()?).ok()
}
