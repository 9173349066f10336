//! The members that follow a leader: what they are told and asked.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::run::Work;
use chicoryford_fleet::walltime;
use chicoryford_fleet::walltime::Offset;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::frame::encode;
use crate::message::LeaderMessage;
use crate::message::StoreReply;
use crate::message::StoreRequest;
use crate::message::Update;
use crate::metrics;
use crate::traffic::Direction;
use crate::traffic::Traffic;

/// Milliseconds between two looks at what members' times of day read.
const WALL_MS: u64 = 500;

/// A frame that waits for a member.
pub(crate) struct Queued {
    /// The frame.
    pub(crate) frame: Bytes,
    /// Whether it is work for a host, which nobody may give who no longer leads.
    pub(crate) work: bool,
}

impl Queued {
    pub(crate) fn message(frame: Bytes) -> Self {
        Self { frame, work: false }
    }
}

/// A member that follows.
pub(crate) struct Follower {
    /// Its depot, if its VM stores data.
    pub(crate) store: Option<StoreId>,
    /// Its data centre.
    pub(crate) data_centre: String,
    /// Whether it may lead next.
    pub(crate) replica: bool,
    /// Its own clock in the newest of its words.
    pub(crate) clock: Millis,
    /// How far its time of day is ahead of this process's clock.
    pub(crate) wall: Option<Offset>,
    /// Its queue.
    pub(crate) frames: mpsc::Sender<Queued>,
    /// Ends its connection, also while that waits for it to read.
    pub(crate) cut: Rc<Notify>,
}

/// The members that follow this process while it leads.
pub struct Followers {
    traffic: Rc<Traffic>,
    next: Cell<u64>,
    all: RefCell<BTreeMap<u64, Follower>>,
    asked: RefCell<BTreeMap<u64, oneshot::Sender<StoreReply>>>,
    /// How far the fleet's time of day is ahead of this process's clock, and when that was found.
    offset: Cell<(Millis, Option<Offset>)>,
}

impl Followers {
    /// Starts without any; what is sent to them is counted.
    pub fn new(traffic: Rc<Traffic>) -> Self {
        Self {
            traffic,
            next: Cell::default(),
            all: RefCell::default(),
            asked: RefCell::default(),
            offset: Cell::default(),
        }
    }

    /// Tells all members something. One whose queue is full would believe what is out of date from
    /// then on, so its connection ends, and it is told all there is when it follows anew.
    pub fn broadcast(&self, news: &Update) {
        self.broadcast_where(news, |_| true);
    }

    /// Tells the members that may lead next something that only a leader needs.
    pub fn broadcast_to_replicas(&self, news: &Update) {
        self.broadcast_where(news, |follower| follower.replica);
    }

    /// Tells the members that were not told of all endpoints something.
    pub fn broadcast_to_others(&self, news: &Update) {
        self.broadcast_where(news, |follower| !follower.replica);
    }

    fn broadcast_where(&self, news: &Update, wanted: impl Fn(&Follower) -> bool) {
        let frame = encode(&LeaderMessage::News(news.clone()));
        self.all.borrow_mut().retain(|_, follower| {
            if !wanted(follower) {
                return true;
            }
            self.count(news.kind(), &follower.data_centre, &frame);
            let sent = follower.frames.try_send(Queued::message(frame.clone())).is_ok();
            if !sent {
                follower.cut.notify_one();
            }
            sent
        });
    }

    /// Asks a store; none if it does not answer in time or is not connected.
    pub async fn request(
        &self,
        store: &StoreId,
        ask: StoreRequest,
        limit: Duration,
    ) -> Option<StoreReply> {
        let number = self.next_number();
        let frames = {
            let all = self.all.borrow();
            let found = all.values().find(|follower| follower.store.as_ref() == Some(store));
            found.map(|follower| (follower.frames.clone(), follower.data_centre.clone()))
        };
        let (frames, data_centre) = frames?;
        let (answer, told) = oneshot::channel();
        self.asked.borrow_mut().insert(number, answer);
        let asking = async {
            let kind = ask.kind();
            let frame = encode(&LeaderMessage::Ask { number, ask });
            self.count(kind, &data_centre, &frame);
            frames.send(Queued::message(frame)).await.ok()?;
            told.await.ok()
        };
        let told = tokio::time::timeout(limit, asking).await.ok().flatten();
        self.asked.borrow_mut().remove(&number);
        told
    }

    /// Gives a host work; tells whether it is connected and has room for it. One whose queue is full
    /// would never hear of a run that it is to stop, so its connection ends; it tells of all its runs
    /// when it follows anew, and is told to stop those that nobody wants then.
    pub fn send_work(&self, host: &str, work: Work) -> bool {
        let mut all = self.all.borrow_mut();
        let hosts = |f: &Follower| f.store.as_ref().is_some_and(|store| store.node == host);
        let found = all.iter().rev().find(|(_, follower)| hosts(follower));
        let Some((number, follower)) = found else { return false };
        let frame = encode(&LeaderMessage::Work { heard: follower.clock, work });
        self.count("work", &follower.data_centre, &frame);
        let sent = follower.frames.try_send(Queued { frame, work: true }).is_ok();
        if !sent {
            let number = *number;
            tracing::warn!(event = "queue_full", host);
            follower.cut.notify_one();
            all.remove(&number);
        }
        sent
    }

    /// Gives the hosts that are connected, those included that are still telling of their runs.
    pub fn hosts(&self) -> BTreeSet<String> {
        let all = self.all.borrow();
        all.values().filter_map(|follower| Some(follower.store.as_ref()?.node.clone())).collect()
    }

    /// Tells a store something that it does not answer.
    pub fn notify_store(&self, store: &StoreId, ask: StoreRequest) {
        let all = self.all.borrow();
        let found = all.values().find(|follower| follower.store.as_ref() == Some(store));
        if let Some(follower) = found {
            // It is told again later.
            let frame = encode(&LeaderMessage::Ask { number: 0, ask });
            let _ = follower.frames.try_send(Queued::message(frame));
        }
    }

    /// Takes in what a store answered.
    pub(crate) fn complete_request(&self, number: u64, told: StoreReply) {
        if let Some(asked) = self.asked.borrow_mut().remove(&number) {
            // Whoever asked may have left.
            let _ = asked.send(told);
        }
    }

    /// Notes a follower's clock.
    pub(crate) fn record_clock(&self, number: u64, clock: Millis) {
        if let Some(follower) = self.all.borrow_mut().get_mut(&number) {
            follower.clock = clock;
        }
    }

    /// Notes what a follower's time of day reads.
    pub(crate) fn record_wall_clock(&self, number: u64, wall: Unix) {
        if let Some(follower) = self.all.borrow_mut().get_mut(&number) {
            follower.wall = Some(Offset::of(wall, clock::now()));
        }
    }

    /// Gives the fleet's time of day; none while too few members have told theirs.
    pub fn wall(&self) -> Option<Unix> {
        let now = clock::now();
        let (at, mut offset) = self.offset.get();
        if offset.is_none() || now.since(at) >= WALL_MS {
            let all = self.all.borrow();
            let read = || all.values().filter_map(|follower| follower.wall);
            let enough = read().count() * 2 > all.len();
            offset = walltime::median(read()).filter(|_| enough);
            metrics::WALL_ERROR
                .set(offset.map_or(0, |offset| walltime::error_ms(read(), offset)) as i64);
            self.offset.set((now, offset));
        }
        offset.map(|offset| offset.at(now))
    }

    /// Gives a follower's clock in the newest of its words.
    pub(crate) fn clock(&self, number: u64) -> Millis {
        self.all.borrow().get(&number).map(|follower| follower.clock).unwrap_or_default()
    }

    /// Counts what is sent to a data centre.
    pub(crate) fn count(&self, kind: &'static str, there: &str, frame: &Bytes) {
        self.traffic.count(kind, Direction::Out, there, frame.len());
    }

    /// Draws a number that no other follower or question has.
    pub(crate) fn next_number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Adds a member.
    pub(crate) fn add(&self, number: u64, follower: Follower) {
        self.all.borrow_mut().insert(number, follower);
    }

    /// Forgets a member whose connection has ended.
    pub(crate) fn remove(&self, number: u64) {
        self.all.borrow_mut().remove(&number);
    }

    /// Closes all connections.
    pub fn clear(&self) {
        self.all.borrow_mut().clear();
        self.asked.borrow_mut().clear();
    }
}
