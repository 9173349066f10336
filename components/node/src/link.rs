//! A process's connection to the leader, which sends updates and answers calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_depot::Worker;
use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::heartbeats::Heartbeat;
use chicoryford_fleet::reachability::Report;
use chicoryford_fleet::reachability::UnreachableSet;
use chicoryford_fleet::usage;
use chicoryford_http::socket;
use chicoryford_kernel::run_time;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use futures_util::SinkExt;
use futures_util::StreamExt;
use rand::seq::SliceRandom;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::codec::Framed;

use crate::clock;
use crate::frame::FrameCodec;
use crate::frame::FrameWriter;
use crate::frame::decode;
use crate::frame::encode;
use crate::frame::frames;
use crate::frame::split;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Depot;
use crate::message::Hello;
use crate::message::LeaderMessage;
use crate::message::MemberMessage;
use crate::message::StoreReply;
use crate::message::StoreRequest;
use crate::message::Update;
use crate::runner::Runner;
use crate::view::View;

/// Timeout for connecting to a control process. Round trips take a few milliseconds; a VM without
/// power does not answer at all, and other processes can be tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the first reply.
const WELCOME_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence after which the leader is considered lost. It sends heartbeats five times a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without other messages after which a member sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);
/// Pause between attempts to find the leader, and between attempts of a call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The same pause while the leader has been silent for less than [`RECENT_LEADER_MS`]. Callers wait
/// for the next leader during this time, which is elected within 40 ms after a restart of all
/// processes; an attempt costs a control process less than a millisecond of processor time.
const SHORT_RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Milliseconds of silence after which the leader is searched for less often.
const RECENT_LEADER_MS: u64 = 1_000;
/// Maximum number of messages queued for the leader.
const QUEUE_LENGTH: usize = 1_024;

type Socket = Framed<TcpStream, FrameCodec>;

/// Why a call failed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// No leader is known; the call was not sent.
    #[error("no leader is known")]
    NoLeader,
    /// The connection was lost after the call was sent; it may have been executed.
    #[error("the leader was lost")]
    Lost,
    /// The call timed out; it may have been executed.
    #[error("the leader did not answer in time")]
    Late,
}

/// A process as the leader sees it.
#[derive(Clone)]
pub struct Member {
    /// Its VM.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it accepts links.
    pub address: SocketAddr,
    /// Whether it is a replica of the log, which may lead next.
    pub replica: bool,
    /// The depot of a VM that stores data.
    pub depot: Option<Rc<Worker>>,
    /// The runner, on a VM that hosts runs.
    pub runner: Option<Rc<Runner>>,
}

/// The connection to the leader.
pub struct Link {
    member: Member,
    view: Rc<View>,
    seeds: RefCell<Vec<SocketAddr>>,
    leader: Cell<Option<SocketAddr>>,
    sender: RefCell<Option<mpsc::Sender<MemberMessage>>>,
    pending_calls: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    next_number: Cell<u64>,
    last_message: Cell<Millis>,
    connected: watch::Sender<bool>,
    connections: Cell<u64>,
}

impl Link {
    /// Creates a link that is not connected yet.
    pub fn new(member: Member, view: Rc<View>, seeds: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Self {
            member,
            view,
            seeds: RefCell::new(seeds),
            leader: Cell::default(),
            sender: RefCell::default(),
            pending_calls: RefCell::default(),
            next_number: Cell::default(),
            last_message: Cell::new(clock::now()),
            connected: watch::Sender::new(false),
            connections: Cell::default(),
        })
    }

    /// Replaces the addresses that are tried in addition to the known control processes.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Returns whether the leader is connected.
    pub fn is_connected(&self) -> bool {
        *self.connected.borrow()
    }

    /// Returns the milliseconds since the last message from the leader.
    pub fn silent_ms(&self) -> u64 {
        clock::now().since(self.last_message.get())
    }

    /// Waits for a connection to the leader, at most for `limit`. Returns whether there is one.
    pub async fn wait_connected(&self, limit: Duration) -> bool {
        let mut connected = self.connected.subscribe();
        let wait = connected.wait_for(|connected| *connected);
        tokio::time::timeout(limit, wait).await.is_ok()
    }

    /// Calls the leader.
    ///
    /// # Errors
    ///
    /// [`CallError`], which shows whether the call may have been executed.
    pub async fn call(&self, call: Call, limit: Duration) -> Result<Answer, CallError> {
        let sender = self.sender.borrow().clone().ok_or(CallError::NoLeader)?;
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        let (answer, answered) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(number, answer);
        let _pending = PendingCall { link: self, number };
        sender.try_send(MemberMessage::Call { number, call }).map_err(|_| CallError::NoLeader)?;
        match run_time::deadline(limit, answered).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CallError::Lost),
            Err(_) => Err(CallError::Late),
        }
    }

    /// Reports the heartbeats of endpoints that this process has received. Returns whether the
    /// report was queued.
    pub fn report_heartbeats(&self, heartbeats: Vec<Heartbeat>) -> bool {
        self.send(MemberMessage::Heard(heartbeats))
    }

    /// Reports the usage of workspaces. Returns whether the report was queued.
    pub fn report_usage(&self, report: usage::UsageReport) -> bool {
        self.send(MemberMessage::Used(report))
    }

    /// Reports that an endpoint crashed. Returns whether the report was queued.
    pub fn report_crash(&self, crash: Crash) -> bool {
        self.send(MemberMessage::Crashed(crash))
    }

    /// Reports that a request with this content completed. Returns whether the report was queued.
    pub fn report_cleared(&self, content: Fingerprint) -> bool {
        self.send(MemberMessage::Cleared(content))
    }

    /// Reports whether an endpoint could be connected to. Returns whether the report was queued.
    pub fn report_reachability(&self, report: Report) -> bool {
        let Report { endpoint, started_ms, reached } = report;
        self.send(if reached {
            MemberMessage::Reachable { endpoint, started_ms }
        } else {
            MemberMessage::Unreachable { endpoint, started_ms }
        })
    }

    fn send(&self, message: MemberMessage) -> bool {
        let sender = self.sender.borrow();
        sender.as_ref().is_some_and(|sender| sender.try_send(message).is_ok())
    }

    /// Returns the number of the current connection to the leader, starting with one. Reports on an
    /// earlier connection may not have arrived.
    pub fn connection(&self) -> u64 {
        self.connections.get()
    }

    /// Calls the leader, and the next leader if this one is lost, until `limit` has passed. Only
    /// for idempotent calls.
    ///
    /// # Errors
    ///
    /// [`CallError`] of the last attempt; [`CallError::NoLeader`] only if no attempt can have
    /// arrived.
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
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Finds the leader, follows it, and searches for the next one when it is lost. Never returns.
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
            // Two processes may name each other as the leader; without a pause, this loop would use
            // the whole processor.
            tokio::time::sleep(self.pause()).await;
        }
    }

    fn pause(&self) -> Duration {
        if self.silent_ms() < RECENT_LEADER_MS { SHORT_RETRY_PAUSE } else { RETRY_PAUSE }
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
        match read_message(&mut socket, WELCOME_TIMEOUT).await {
            Some(LeaderMessage::Welcome) => self.run_connection(address, socket).await,
            Some(LeaderMessage::NotLeader { leader }) => {
                self.leader.set(leader.filter(|leader| *leader != address));
            }
            _ => {}
        }
    }

    async fn open(&self, address: SocketAddr) -> Option<Socket> {
        let stream = socket::connect(address, CONNECT_TIMEOUT).await.ok()?;
        let mut socket = Framed::new(stream, frames());
        let Member { node, data_centre, depot, address, replica, .. } = self.member.clone();
        let store = depot.map(|depot| Depot { identity: depot.identity(), address });
        let hello = Hello::Member { node, data_centre, store, replica, clock: clock::now() };
        socket.send(encode(&hello)).await.ok()?;
        Some(socket)
    }

    async fn run_connection(&self, address: SocketAddr, socket: Socket) {
        tracing::info!(event = "leader_found", %address, silent_ms = self.silent_ms());
        let (sender, messages) = mpsc::channel(QUEUE_LENGTH);
        let (writer, mut stream) = split(socket);
        *self.sender.borrow_mut() = Some(sender.clone());
        self.connections.set(self.connections.get() + 1);
        self.last_message.set(clock::now());
        // The queue has just been created, so it has room.
        let _ = sender.try_send(MemberMessage::Known(self.view.digests()));
        if let Some(runner) = &self.member.runner {
            runner.attach(sender);
        }
        let sending = send_messages(writer, messages);
        let reading = async {
            loop {
                let frame = run_time::timeout(LEADER_TIMEOUT, stream.next()).await;
                let Ok(Some(Ok(frame))) = frame else { return };
                let Ok(message) = decode::<LeaderMessage>(&frame) else { return };
                self.last_message.set(clock::now());
                if !self.handle(message) {
                    return;
                }
            }
        };
        tokio::select! {
            () = sending => {}
            () = reading => {}
        }
    }

    /// Returns the number of endpoints that this process knows.
    pub fn known_endpoints(&self) -> usize {
        self.view.endpoint_count()
    }

    /// Handles a message from the leader. Returns whether the sender still leads.
    fn handle(&self, message: LeaderMessage) -> bool {
        match message {
            LeaderMessage::Ranges(ranges) => {
                let mut endpoints = 0;
                for content in &ranges {
                    match self.view.replace_range(content) {
                        Ok(received) => endpoints += received,
                        Err(error) => {
                            tracing::warn!(event = "link_unreadable", %error);
                            return false;
                        }
                    }
                }
                let known = self.known_endpoints();
                tracing::info!(event = "endpoints_received", endpoints, known);
            }
            LeaderMessage::Everything(mut all) => {
                // A leader that shares no reachability sends no set, and would never change the one
                // of its predecessor.
                if !all.iter().any(|update| matches!(update, Update::Unreachable(_))) {
                    all.insert(0, Update::Unreachable(UnreachableSet::default()));
                }
                all.into_iter().for_each(|update| self.view.apply(update));
                self.connected.send_replace(true);
            }
            LeaderMessage::News(update) => self.view.apply(update),
            LeaderMessage::Answer { number, answer } => {
                if let Some(caller) = self.pending_calls.borrow_mut().remove(&number) {
                    // The caller may have stopped waiting.
                    let _ = caller.send(answer);
                }
            }
            LeaderMessage::Ask { number, request } => self.handle_request(number, request),
            LeaderMessage::Work { member_clock, work } => {
                if let Some(runner) = &self.member.runner {
                    runner.record_confirmation(member_clock);
                    runner.handle_order(work, clock::now().since(member_clock));
                }
            }
            LeaderMessage::Alive { member_clock, wall } => {
                if let Some(wall) = wall {
                    self.view.set_wall_clock(wall);
                }
                if let Some(runner) = &self.member.runner {
                    runner.record_confirmation(member_clock);
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

    /// Executes a request of the leader on this process's depot.
    fn handle_request(&self, number: u64, request: StoreRequest) {
        let (Some(depot), Some(sender)) = (self.member.depot.clone(), self.sender.borrow().clone())
        else {
            return;
        };
        actix_rt::spawn(async move {
            let reply = match request {
                StoreRequest::Put(part, bytes) => {
                    if depot.put(part, bytes).await {
                        StoreReply::Kept
                    } else {
                        StoreReply::Failed
                    }
                }
                StoreRequest::Get(part) => StoreReply::Part(depot.get(part).await),
                StoreRequest::Keep(wanted) => {
                    depot.retain(wanted);
                    return;
                }
            };
            // Without the reply, the leader asks another store.
            let _ = sender.send(MemberMessage::Told { number, reply }).await;
        });
    }

    fn disconnect(&self, address: SocketAddr) {
        if self.sender.borrow_mut().take().is_some() {
            let unanswered = self.pending_calls.borrow().len();
            tracing::warn!(event = "leader_lost", %address, unanswered);
        }
        self.connected.send_replace(false);
        if let Some(runner) = &self.member.runner {
            runner.detach();
        }
        self.pending_calls.borrow_mut().clear();
    }
}

/// Removes a call when its caller no longer waits for it.
struct PendingCall<'a> {
    link: &'a Link,
    number: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.link.pending_calls.borrow_mut().remove(&self.number);
    }
}

async fn send_messages(mut writer: FrameWriter, mut messages: mpsc::Receiver<MemberMessage>) {
    loop {
        let message = match tokio::time::timeout(HEARTBEAT_INTERVAL, messages.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => MemberMessage::Alive(clock::wall()),
        };
        if writer.feed(&encode(&message).into()).await.is_err() {
            return;
        }
        while let Ok(message) = messages.try_recv() {
            if writer.feed(&encode(&message).into()).await.is_err() {
                return;
            }
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}

async fn read_message(socket: &mut Socket, limit: Duration) -> Option<LeaderMessage> {
    let frame = run_time::timeout(limit, socket.next()).await.ok()??;
    decode(&frame.ok()?).ok()
}
