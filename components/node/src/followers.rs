//! The members that follow a leader: updates, work and requests sent to them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::walltime;
use chicoryford_fleet::walltime::Offset;
use chicoryford_kernel::run_time;
use chicoryford_types::Millis;
use chicoryford_types::Unix;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::frame::Frame;
use crate::frame::encode;
use crate::frame::encode_with_body;
use crate::frame::is_long;
use crate::message::LeaderMessage;
use crate::message::StoreReply;
use crate::message::StoreRequest;
use crate::message::Update;
use crate::metrics;
use crate::traffic::Direction;
use crate::traffic::Traffic;

/// Milliseconds between evaluations of the members' wall clocks.
const WALL_CLOCK_INTERVAL_MS: u64 = 500;

/// A frame queued for a member.
pub(crate) struct Queued {
    /// The frame.
    pub(crate) frame: Frame,
    /// Whether it is work for a host, which must not be sent after the leadership has ended.
    pub(crate) is_work: bool,
}

impl Queued {
    pub(crate) fn message(frame: impl Into<Frame>) -> Self {
        Self { frame: frame.into(), is_work: false }
    }
}

/// A connected member.
pub(crate) struct Follower {
    /// Its depot, if its VM stores data.
    pub(crate) store: Option<StoreId>,
    /// Its data centre.
    pub(crate) data_centre: String,
    /// Whether it may lead next.
    pub(crate) replica: bool,
    /// Its own clock in its newest message.
    pub(crate) clock: Millis,
    /// How far its wall clock is ahead of this process's clock.
    pub(crate) wall_offset: Option<Offset>,
    /// Its queue.
    pub(crate) frames: mpsc::Sender<Queued>,
    /// Ends its connection, even while a write to it is blocked.
    pub(crate) disconnect: Rc<Notify>,
}

/// The members that follow this process while it leads.
pub struct Followers {
    traffic: Rc<Traffic>,
    next: Cell<u64>,
    members: RefCell<BTreeMap<u64, Follower>>,
    /// The VMs that store data, with the number of each of their connections. Work is sent to them
    /// thousands of times a second, and they are few among the members.
    stores: RefCell<BTreeSet<(String, u64)>>,
    pending_requests: RefCell<BTreeMap<u64, oneshot::Sender<StoreReply>>>,
    /// How far the fleet's wall clock is ahead of this process's clock, and when that was
    /// determined.
    wall_offset: Cell<(Millis, Option<Offset>)>,
}

impl Followers {
    /// Creates an empty set of followers. `traffic` counts what is sent to them.
    pub fn new(traffic: Rc<Traffic>) -> Self {
        Self {
            traffic,
            next: Cell::default(),
            members: RefCell::default(),
            stores: RefCell::default(),
            pending_requests: RefCell::default(),
            wall_offset: Cell::default(),
        }
    }

    /// Sends an update to all members. A member whose queue is full would miss it and stay out of
    /// date, so its connection is ended; when it follows again, it gets the complete state.
    pub fn broadcast(&self, update: &Update) {
        self.broadcast_where(update, |_| true);
    }

    /// Sends an update that only a leader needs to the members that may lead next.
    pub fn broadcast_to_replicas(&self, update: &Update) {
        self.broadcast_where(update, |follower| follower.replica);
    }

    /// Sends an update to the members that do not get all endpoints.
    pub fn broadcast_to_others(&self, update: &Update) {
        self.broadcast_where(update, |follower| !follower.replica);
    }

    fn broadcast_where(&self, update: &Update, wanted: impl Fn(&Follower) -> bool) {
        let frame = encode(&LeaderMessage::News(update.clone()));
        self.members.borrow_mut().retain(|_, follower| {
            if !wanted(follower) {
                return true;
            }
            self.count(update.kind(), &follower.data_centre, frame.len());
            let sent = follower.frames.try_send(Queued::message(frame.clone())).is_ok();
            if !sent {
                follower.disconnect.notify_one();
            }
            sent
        });
    }

    /// Returns the number of connected members.
    pub fn count_members(&self) -> usize {
        self.members.borrow().len()
    }

    /// Sends a request to a store. Returns `None` if the store is not connected or does not answer
    /// in time.
    pub async fn request(
        &self,
        store: &StoreId,
        request: StoreRequest,
        limit: Duration,
    ) -> Option<StoreReply> {
        let number = self.next_number();
        let frames = {
            let all = self.members.borrow();
            let found = self.store_link(store).and_then(|number| all.get(&number));
            found.map(|follower| (follower.frames.clone(), follower.data_centre.clone()))
        };
        let (frames, data_centre) = frames?;
        let (answer, reply) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(number, answer);
        let exchange = async {
            let kind = request.kind();
            let frame = request_frame(number, request);
            self.count(kind, &data_centre, frame.len());
            frames.send(Queued::message(frame)).await.ok()?;
            reply.await.ok()
        };
        let reply = run_time::timeout(limit, exchange).await.ok().flatten();
        self.pending_requests.borrow_mut().remove(&number);
        reply
    }

    /// Sends work to a host. Returns whether the host is connected and has room in its queue. A
    /// host whose queue is full would miss an order to stop a run, so its connection is ended; when
    /// it follows again, it reports all its runs, and is told to stop the unwanted ones.
    pub fn send_work(&self, host: &str, work: HostCommand) -> bool {
        let mut all = self.members.borrow_mut();
        let found = self.links(host).into_iter().rev().find(|number| all.contains_key(number));
        let Some(number) = found else { return false };
        let follower = &all[&number];
        let frame = encode(&LeaderMessage::Work { member_clock: follower.clock, work });
        self.count("work", &follower.data_centre, frame.len());
        let sent = follower.frames.try_send(Queued { frame: frame.into(), is_work: true }).is_ok();
        if !sent {
            tracing::warn!(event = "queue_full", host);
            follower.disconnect.notify_one();
            all.remove(&number);
        }
        sent
    }

    /// Returns the connected hosts, including those that have not reported all their runs yet.
    pub fn hosts(&self) -> BTreeSet<String> {
        let (all, stores) = (self.members.borrow(), self.stores.borrow());
        let connected = stores.iter().filter(|(_, number)| all.contains_key(number));
        connected.map(|(node, _)| node.clone()).collect()
    }

    /// Returns the connections of a VM that stores data, the newest last. Some may have ended.
    fn links(&self, node: &str) -> Vec<u64> {
        let stores = self.stores.borrow();
        let links = stores.range((node.to_owned(), 0)..=(node.to_owned(), u64::MAX));
        links.map(|(_, number)| *number).collect()
    }

    /// Returns the connection of a store.
    fn store_link(&self, store: &StoreId) -> Option<u64> {
        let all = self.members.borrow();
        let is_store =
            |number: &u64| all.get(number).is_some_and(|f| f.store.as_ref() == Some(store));
        self.links(&store.node).into_iter().find(is_store)
    }

    /// Sends a request without a reply to a store.
    pub fn notify_store(&self, store: &StoreId, request: StoreRequest) {
        let all = self.members.borrow();
        let found = self.store_link(store).and_then(|number| all.get(&number));
        if let Some(follower) = found {
            // The request is repeated later.
            let frame = encode(&LeaderMessage::Ask { number: 0, request });
            let _ = follower.frames.try_send(Queued::message(frame));
        }
    }

    /// Delivers a store's reply to the waiting request.
    pub(crate) fn complete_request(&self, number: u64, reply: StoreReply) {
        if let Some(requester) = self.pending_requests.borrow_mut().remove(&number) {
            // The requester may have stopped waiting.
            let _ = requester.send(reply);
        }
    }

    /// Records a follower's clock.
    pub(crate) fn record_clock(&self, number: u64, clock: Millis) {
        if let Some(follower) = self.members.borrow_mut().get_mut(&number) {
            follower.clock = clock;
        }
    }

    /// Records a follower's wall clock.
    pub(crate) fn record_wall_clock(&self, number: u64, wall: Unix) {
        if let Some(follower) = self.members.borrow_mut().get_mut(&number) {
            follower.wall_offset = Some(Offset::of(wall, clock::now()));
        }
    }

    /// Returns the fleet's wall clock time; `None` while too few members have sent theirs.
    pub fn wall(&self) -> Option<Unix> {
        let now = clock::now();
        let (at, mut offset) = self.wall_offset.get();
        if offset.is_none() || now.since(at) >= WALL_CLOCK_INTERVAL_MS {
            let all = self.members.borrow();
            let read = || all.values().filter_map(|follower| follower.wall_offset);
            let enough = read().count() * 2 > all.len();
            offset = walltime::median(read()).filter(|_| enough);
            metrics::WALL_ERROR
                .set(offset.map_or(0, |offset| walltime::error_ms(read(), offset)) as i64);
            self.wall_offset.set((now, offset));
        }
        offset.map(|offset| offset.at(now))
    }

    /// Returns a follower's clock in its newest message.
    pub(crate) fn clock(&self, number: u64) -> Millis {
        self.members.borrow().get(&number).map(|follower| follower.clock).unwrap_or_default()
    }

    /// Counts a frame that is sent to a data centre.
    pub(crate) fn count(&self, kind: &'static str, data_centre: &str, bytes: usize) {
        self.traffic.count(kind, Direction::Out, data_centre, bytes);
    }

    /// Returns a number that no other follower or request has.
    pub(crate) fn next_number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Adds a member.
    pub(crate) fn add(&self, number: u64, follower: Follower) {
        if let Some(store) = &follower.store {
            self.stores.borrow_mut().insert((store.node.clone(), number));
        }
        self.members.borrow_mut().insert(number, follower);
    }

    /// Removes a member whose connection has ended.
    pub(crate) fn remove(&self, number: u64) {
        self.members.borrow_mut().remove(&number);
        self.stores.borrow_mut().retain(|(_, other)| *other != number);
    }

    /// Closes all connections.
    pub fn clear(&self) {
        self.members.borrow_mut().clear();
        self.stores.borrow_mut().clear();
        self.pending_requests.borrow_mut().clear();
    }
}

/// Encodes a request to a store. All stores of a large part share its bytes.
fn request_frame(number: u64, request: StoreRequest) -> Frame {
    match request {
        StoreRequest::Put(part, bytes) if is_long(bytes.len()) => {
            let request = StoreRequest::Put(part, Bytes::new());
            encode_with_body(&LeaderMessage::Ask { number, request }, &bytes)
        }
        request => encode(&LeaderMessage::Ask { number, request }).into(),
    }
}
