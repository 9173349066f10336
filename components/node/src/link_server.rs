//! Takes links: messages of replicas, and members that follow the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::copies::StoreId;
use chicoryford_http::socket;
use chicoryford_types::Millis;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::followers::Follower;
use crate::followers::Followers;
use crate::followers::Queued;
use crate::frame::decode;
use crate::frame::encode;
use crate::frame::frames;
use crate::leader::Leader;
use crate::message::Call;
use crate::message::Depot;
use crate::message::Hello;
use crate::message::LeaderMessage;
use crate::message::MemberMessage;
use crate::message::ReplicaMessage;
use crate::replica::LocalReplica;
use crate::traffic::Direction;
use crate::traffic::Traffic;

/// How long the first frame may take.
const HELLO: Duration = Duration::from_secs(2);
/// Frames that may wait for one member; one that reads so slowly follows anew.
const QUEUE: usize = 4_096;
/// Silence after which a host is taken for lost, and its runs go on elsewhere. It speaks four times
/// a second.
const HOST_SILENCE: Duration = Duration::from_millis(650);
/// Silence after which another member's connection is closed. They speak at least twice a second; a
/// connection on which only their words get lost would otherwise look well to both sides.
const MEMBER_SILENCE: Duration = Duration::from_millis(1_500);
/// Time between two words to a replica that its messages arrive.
pub const SEEN: Duration = Duration::from_millis(150);
/// Time between two words that the leader lives.
const ALIVE: Duration = Duration::from_millis(200);

type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// A member that wants to follow, as it says.
struct Caller {
    node: String,
    data_centre: String,
    depot: Option<Depot>,
    replica: bool,
    clock: Millis,
}

/// Takes links for as long as the process lives.
pub struct LinkServer {
    /// The replica.
    pub replica: Rc<LocalReplica>,
    /// The leader's duties, while this process leads.
    pub leader: Rc<RefCell<Option<Rc<Leader>>>>,
    /// The members that follow.
    pub followers: Rc<Followers>,
    /// Counts what the links carry.
    pub traffic: Rc<Traffic>,
}

impl LinkServer {
    /// Accepts links.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = socket::accept(&listener).await;
            let server = self.clone();
            actix_rt::spawn(async move { server.take(Framed::new(stream, frames())).await });
        }
    }

    async fn take(&self, mut socket: Socket) {
        let frame = tokio::time::timeout(HELLO, socket.next()).await;
        let Ok(Some(Ok(frame))) = frame else { return };
        match decode::<Hello>(&frame) {
            Ok(Hello::Replica { data_centre }) => self.take_letters(socket, &data_centre).await,
            Ok(Hello::Member { node, data_centre, store, replica, clock }) => {
                let caller = Caller { node, data_centre, depot: store, replica, clock };
                self.serve(socket, caller).await;
            }
            Err(error) => tracing::warn!(event = "link_unreadable", %error),
        }
    }

    async fn take_letters(&self, mut socket: Socket, data_centre: &str) {
        let mut said = Instant::now();
        while let Some(Ok(frame)) = socket.next().await {
            self.traffic.count("letter", Direction::In, data_centre, frame.len());
            if said.elapsed() >= SEEN {
                said = Instant::now();
                if socket.send(Bytes::new()).await.is_err() {
                    return;
                }
            }
            match decode::<ReplicaMessage>(&frame) {
                Ok(letter) => self.replica.receive(letter),
                Err(error) => {
                    tracing::warn!(event = "link_unreadable", %error);
                    return;
                }
            }
        }
    }

    async fn serve(&self, mut socket: Socket, caller: Caller) {
        let Caller { node, data_centre, depot, replica, clock } = caller;
        let leader = self.leader.borrow().clone();
        let Some(leader) = leader.filter(|leader| leader.leads()) else {
            let down = LeaderMessage::NotLeader { leader: self.replica.leader() };
            // The member asks another process if it does not hear this.
            let _ = socket.send(encode(&down)).await;
            return;
        };
        let first =
            [LeaderMessage::Welcome, LeaderMessage::Everything(leader.initial_updates(replica))];
        let (frames, mut queue) = mpsc::channel(QUEUE + first.len());
        for down in first {
            let frame = encode(&down);
            self.traffic.count("news_first", Direction::Out, &data_centre, frame.len());
            // There is room for all of them.
            let _ = frames.try_send(Queued::message(frame));
        }
        let number = self.followers.next_number();
        let store = depot.map(|depot| StoreId { node, identity: depot.identity });
        let cut = Rc::new(Notify::new());
        let follower = Follower {
            store: store.clone(),
            data_centre: data_centre.clone(),
            replica,
            clock,
            wall: None,
            frames: frames.clone(),
            cut: cut.clone(),
        };
        self.followers.add(number, follower);
        if let (Some(store), Some(depot)) = (&store, depot) {
            leader.copies.connected(store.clone(), data_centre.clone(), depot.address);
        }
        let host = store.as_ref().map(|store| store.node.clone());
        if let Some(host) = &host {
            leader.host_connecting(host, number);
        }
        let limit = if host.is_some() { HOST_SILENCE } else { MEMBER_SILENCE };
        let following = Following {
            followers: self.followers.clone(),
            number,
            store,
            silent: Cell::new(false),
            leader: leader.clone(),
        };
        // The follower's own sender is dropped when this process stops leading, which ends the
        // queue; answers still under way hold theirs only for as long as they take.
        let answers = frames.downgrade();
        drop(frames);
        let (sink, stream) = socket.split();
        let reading =
            Reading { server: self, leader: &leader, host, data_centre: &data_centre, number };
        tokio::select! {
            () = send_frames(sink, &mut queue, &leader, &self.followers, number) => {}
            silent = reading.run(stream, limit, answers) => following.silent.set(silent),
            () = cut.notified() => {}
        }
    }
}

/// Sends a member what is queued for it, and that the leader lives.
async fn send_frames(
    mut sink: SplitSink<Socket, Bytes>,
    queue: &mut mpsc::Receiver<Queued>,
    leader: &Leader,
    followers: &Followers,
    number: u64,
) {
    let mut alive = tokio::time::interval(ALIVE);
    loop {
        let first = tokio::select! {
            queued = queue.recv() => queued,
            _ = alive.tick() => {
                let leads = leader.leads();
                let heard = followers.clock(number);
                let alive = LeaderMessage::Alive { heard, wall: followers.wall() };
                let word = if leads { alive } else { LeaderMessage::NotLeader { leader: None } };
                Some(Queued::message(encode(&word)))
            }
        };
        let Some(first) = first else { return };
        let mut next = Some(first);
        while let Some(Queued { frame, work }) = next {
            // What waited while the leadership ended is given by nobody any more: the next leader
            // may have ended the step. Answers and news still go out, they were true. A lease that
            // runs out for a moment is no such end: a word to stop that was dropped then would not
            // be said again, and how old an order may be is judged by the host.
            let given = !work || !leader.has_ended();
            if given && sink.feed(frame).await.is_err() {
                return;
            }
            next = queue.try_recv().ok();
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

/// Reads what one member says.
struct Reading<'a> {
    server: &'a LinkServer,
    leader: &'a Rc<Leader>,
    host: Option<String>,
    data_centre: &'a str,
    number: u64,
}

impl Reading<'_> {
    /// Reads until the connection ends; tells whether that is because nothing was heard.
    async fn run(
        self,
        mut stream: SplitStream<Socket>,
        limit: Duration,
        answers: mpsc::WeakSender<Queued>,
    ) -> bool {
        loop {
            let Ok(frame) = tokio::time::timeout(limit, stream.next()).await else { return true };
            let Some(Ok(frame)) = frame else { return false };
            let Ok(up) = decode::<MemberMessage>(&frame) else { return false };
            self.server.traffic.count(up.kind(), Direction::In, self.data_centre, frame.len());
            self.take(up, &answers);
        }
    }

    fn take(&self, up: MemberMessage, answers: &mpsc::WeakSender<Queued>) {
        match (up, &self.host) {
            (MemberMessage::Call { number, call }, _) => self.answer(number, call, answers.clone()),
            (MemberMessage::Told { number, told }, _) => {
                self.server.followers.complete_request(number, told)
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
            (MemberMessage::Used(told), _) => self.leader.record_usage(told),
            (MemberMessage::Crashed(crash), _) => self.leader.record_crash(crash),
            (MemberMessage::Cleared(content), _) => self.leader.record_cleared(content),
            (MemberMessage::Heard(signs), _) => self.leader.record_signs(&signs),
            (MemberMessage::Alive(wall), _) => {
                self.server.followers.record_wall_clock(self.number, wall)
            }
        }
    }

    fn answer(&self, number: u64, call: Call, answers: mpsc::WeakSender<Queued>) {
        let leader = self.leader.clone();
        let (traffic, there) = (self.server.traffic.clone(), self.data_centre.to_owned());
        actix_rt::spawn(async move {
            let answer = leader.answer(call).await;
            let Some(answers) = answers.upgrade() else { return };
            let kind = answer.kind();
            let frame = encode(&LeaderMessage::Answer { number, answer });
            traffic.count(kind, Direction::Out, &there, frame.len());
            // Without the answer the member does not know what became of its call, and asks again.
            let _ = answers.send(Queued::message(frame)).await;
        });
    }
}

/// Forgets a follower when its connection ends.
struct Following {
    followers: Rc<Followers>,
    number: u64,
    store: Option<StoreId>,
    /// Whether it ended because nothing was heard for too long.
    silent: Cell<bool>,
    leader: Rc<Leader>,
}

impl Drop for Following {
    fn drop(&mut self) {
        self.followers.remove(self.number);
        if let Some(store) = &self.store {
            self.leader.copies.disconnected(store);
            self.leader.host_disconnected(&store.node, self.number, self.silent.get());
        }
    }
}
