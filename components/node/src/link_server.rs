//! Accepts links: from replicas, which send messages of the agreement, and from members, which
//! follow the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::copies::StoreId;
use chicoryford_http::socket;
use chicoryford_kernel::run_time;
use chicoryford_types::Millis;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::followers::Follower;
use crate::followers::Followers;
use crate::followers::Queued;
use crate::frame::FrameCodec;
use crate::frame::FrameWriter;
use crate::frame::decode;
use crate::frame::encode;
use crate::frame::frames;
use crate::frame::split;
use crate::leader::Leader;
use crate::message::Call;
use crate::message::Depot;
use crate::message::Hello;
use crate::message::LeaderMessage;
use crate::message::MemberMessage;
use crate::message::ReplicaMessage;
use crate::offload;
use crate::replica::LocalReplica;
use crate::traffic::Direction;
use crate::traffic::Traffic;

/// Timeout for the first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of frames queued for one member. A member that reads more slowly is disconnected
/// and has to follow again.
const QUEUE_LENGTH: usize = 4_096;
/// Silence after which a host is considered lost and its runs are moved. Hosts send heartbeats four
/// times a second.
const HOST_TIMEOUT: Duration = Duration::from_millis(650);
/// Silence after which any other member is disconnected. Members send at least twice a second.
/// Without this timeout, a connection that loses only the member's frames would look healthy to
/// both sides.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of acknowledgements to a replica whose messages arrive.
pub const ACK_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of the leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

type Socket = Framed<TcpStream, FrameCodec>;

/// A member that wants to follow, as described in its hello.
struct NewMember {
    node: String,
    data_centre: String,
    depot: Option<Depot>,
    replica: bool,
    clock: Millis,
}

/// Accepts links for as long as the process runs.
pub struct LinkServer {
    /// The replica.
    pub replica: Rc<LocalReplica>,
    /// The leader, while this process leads.
    pub leader: Rc<RefCell<Option<Rc<Leader>>>>,
    /// The connected members.
    pub followers: Rc<Followers>,
    /// Counts the traffic of the links.
    pub traffic: Rc<Traffic>,
}

impl LinkServer {
    /// Accepts links.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = socket::accept(&listener).await;
            let server = self.clone();
            actix_rt::spawn(async move { server.accept(Framed::new(stream, frames())).await });
        }
    }

    async fn accept(&self, mut socket: Socket) {
        let frame = run_time::timeout(HELLO_TIMEOUT, socket.next()).await;
        let Ok(Some(Ok(frame))) = frame else { return };
        match decode::<Hello>(&frame) {
            Ok(Hello::Replica { data_centre }) => {
                self.receive_replica_messages(socket, &data_centre).await
            }
            Ok(Hello::Member { node, data_centre, store, replica, clock }) => {
                let member = NewMember { node, data_centre, depot: store, replica, clock };
                self.serve_member(socket, member).await;
            }
            Err(error) => tracing::warn!(event = "link_unreadable", %error),
        }
    }

    async fn receive_replica_messages(&self, mut socket: Socket, data_centre: &str) {
        let mut acknowledged = Instant::now();
        while let Some(Ok(frame)) = socket.next().await {
            self.traffic.count("letter", Direction::In, data_centre, frame.len());
            if acknowledged.elapsed() >= ACK_INTERVAL {
                acknowledged = Instant::now();
                if socket.send(Bytes::new()).await.is_err() {
                    return;
                }
            }
            match decode::<ReplicaMessage>(&frame) {
                Ok(message) => self.replica.receive(message),
                Err(error) => {
                    tracing::warn!(event = "link_unreadable", %error);
                    return;
                }
            }
        }
    }

    async fn serve_member(&self, mut socket: Socket, member: NewMember) {
        let NewMember { node, data_centre, depot, replica, clock } = member;
        let leader = self.leader.borrow().clone();
        let Some(leader) = leader.filter(|leader| leader.leads()) else {
            let message = LeaderMessage::NotLeader { leader: self.replica.leader() };
            // If this message is lost, the member tries another process.
            let _ = socket.send(encode(&message)).await;
            return;
        };
        let (frames, mut queue) = mpsc::channel(QUEUE_LENGTH);
        // The queue has just been created, so it has room.
        let _ = frames.try_send(Queued::message(encode(&LeaderMessage::Welcome)));
        let number = self.followers.next_number();
        let store = depot.map(|depot| StoreId { node: node.clone(), identity: depot.identity });
        let disconnect = Rc::new(Notify::new());
        let follower = Follower {
            store: store.clone(),
            data_centre: data_centre.clone(),
            replica,
            clock,
            wall_offset: None,
            frames: frames.clone(),
            disconnect: disconnect.clone(),
        };
        self.followers.add(number, follower);
        if let (Some(store), Some(depot)) = (&store, depot) {
            leader.copies.connected(store.clone(), data_centre.clone(), depot.address);
        }
        let host = store.as_ref().map(|store| store.node.clone());
        if let Some(host) = &host {
            leader.host_connecting(host, number);
        }
        let limit = if host.is_some() { HOST_TIMEOUT } else { MEMBER_TIMEOUT };
        let guard = FollowerGuard {
            followers: self.followers.clone(),
            number,
            store,
            silent: Cell::new(false),
            leader: leader.clone(),
        };
        // The follower's sender is dropped when this process stops leading, which closes the queue.
        // Pending answers hold a sender only while they are being sent.
        let answers = frames.downgrade();
        drop(frames);
        let (writer, stream) = split(socket);
        let reader = MemberReader {
            server: self,
            leader: &leader,
            node: &node,
            host,
            data_centre: &data_centre,
            replica,
            number,
        };
        tokio::select! {
            () = send_frames(writer, &mut queue, &leader, &self.followers, number) => {}
            silent = reader.run(stream, limit, answers) => guard.silent.set(silent),
            () = disconnect.notified() => {}
        }
    }
}

/// Sends a member the queued frames and the leader's heartbeats.
async fn send_frames(
    mut writer: FrameWriter,
    queue: &mut mpsc::Receiver<Queued>,
    leader: &Leader,
    followers: &Followers,
    number: u64,
) {
    let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
    loop {
        let first = tokio::select! {
            queued = queue.recv() => queued,
            _ = heartbeats.tick() => {
                let leads = leader.leads();
                let member_clock = followers.clock(number);
                let alive = LeaderMessage::Alive { member_clock, wall: followers.wall() };
                let message = if leads { alive } else { LeaderMessage::NotLeader { leader: None } };
                Some(Queued::message(encode(&message)))
            }
        };
        let Some(first) = first else { return };
        let mut next = Some(first);
        while let Some(Queued { frame, is_work }) = next {
            // Work that was still queued when the leadership ended is dropped: the next leader may
            // have ended the step. Answers and updates are still sent, because they remain valid.
            // An expired lease is not the end of the leadership: an order to stop that was dropped
            // then would not be repeated, and the host itself checks the age of orders.
            let is_valid = !is_work || !leader.has_ended();
            if is_valid && writer.feed(&frame).await.is_err() {
                return;
            }
            next = queue.try_recv().ok();
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}

/// Reads the messages of one member.
struct MemberReader<'a> {
    server: &'a LinkServer,
    leader: &'a Rc<Leader>,
    node: &'a str,
    host: Option<String>,
    data_centre: &'a str,
    replica: bool,
    number: u64,
}

impl MemberReader<'_> {
    /// Reads until the connection ends. Returns whether it was ended because of silence.
    async fn run(
        self,
        mut stream: Framed<OwnedReadHalf, FrameCodec>,
        limit: Duration,
        answers: mpsc::WeakSender<Queued>,
    ) -> bool {
        loop {
            let Ok(frame) = run_time::timeout(limit, stream.next()).await else { return true };
            let Some(Ok(frame)) = frame else { return false };
            let length = frame.len();
            let decoded = offload::run(length, move || decode::<MemberMessage>(&frame)).await;
            let Ok(message) = decoded else { return false };
            self.server.traffic.count(message.kind(), Direction::In, self.data_centre, length);
            self.handle(message, &answers);
        }
    }

    fn handle(&self, message: MemberMessage, answers: &mpsc::WeakSender<Queued>) {
        match (message, &self.host) {
            (MemberMessage::Call { number, call }, _) => self.answer(number, call, answers.clone()),
            (MemberMessage::Told { number, reply }, _) => {
                self.server.followers.complete_request(number, reply)
            }
            (MemberMessage::Report(report), Some(host)) => self.leader.handle_report(host, &report),
            (MemberMessage::Reported, Some(host)) => {
                self.leader.host_ready(host, self.data_centre, self.number);
            }
            (MemberMessage::Report(_) | MemberMessage::Reported, None) => {
                tracing::warn!(event = "link_unreadable", error = "a report of no host");
            }
            (MemberMessage::Beat { clock, wall }, _) => {
                self.server.followers.record_clock(self.number, clock);
                self.server.followers.record_wall_clock(self.number, wall);
            }
            (MemberMessage::Used(report), _) => self.leader.record_usage(report),
            (MemberMessage::Crashed(crash), _) => self.leader.record_crash(crash),
            (MemberMessage::Cleared(content), _) => self.leader.record_cleared(content),
            (MemberMessage::Unreachable { endpoint, started_ms }, _) => {
                self.leader.record_unreachable(self.node, &endpoint, started_ms);
            }
            (MemberMessage::Reachable { endpoint, started_ms }, _) => {
                self.leader.record_reachable(self.node, &endpoint, started_ms);
            }
            (MemberMessage::Heard(heartbeats), _) => {
                self.leader.record_heartbeats(self.node, &heartbeats)
            }
            (MemberMessage::Known(digests), _) => self.send_first_state(&digests, answers),
            (MemberMessage::Alive(wall), _) => {
                self.server.followers.record_wall_clock(self.number, wall)
            }
        }
    }

    /// Brings a new follower up to date. If its queue is full, it gets no more updates either, and
    /// is disconnected with the next one.
    fn send_first_state(&self, digests: &[u64], answers: &mpsc::WeakSender<Queued>) {
        let Some(frames) = answers.upgrade() else { return };
        for frame in self.leader.first_frames(self.replica, digests) {
            self.server.traffic.count("news_first", Direction::Out, self.data_centre, frame.len());
            let _ = frames.try_send(Queued::message(frame));
        }
    }

    fn answer(&self, number: u64, call: Call, answers: mpsc::WeakSender<Queued>) {
        let leader = self.leader.clone();
        let (traffic, data_centre) = (self.server.traffic.clone(), self.data_centre.to_owned());
        actix_rt::spawn(async move {
            let answer = leader.answer(call).await;
            let Some(answers) = answers.upgrade() else { return };
            let kind = answer.kind();
            let frame = encode(&LeaderMessage::Answer { number, answer });
            traffic.count(kind, Direction::Out, &data_centre, frame.len());
            // Without the answer, the member repeats its call.
            let _ = answers.send(Queued::message(frame)).await;
        });
    }
}

/// Removes a follower when its connection ends.
struct FollowerGuard {
    followers: Rc<Followers>,
    number: u64,
    store: Option<StoreId>,
    /// Whether the connection was ended because of silence.
    silent: Cell<bool>,
    leader: Rc<Leader>,
}

impl Drop for FollowerGuard {
    fn drop(&mut self) {
        self.followers.remove(self.number);
        if let Some(store) = &self.store {
            self.leader.copies.disconnected(store);
            self.leader.host_disconnected(&store.node, self.number, self.silent.get());
        }
    }
}
