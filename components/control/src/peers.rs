//! The duty that sends the agreement's messages to other replicas.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_agreement::Body;
use chicoryford_agreement::Message;
use chicoryford_kernel::Receiver;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::paths;

use crate::handle::Envelope;

/// Messages that wait for one replica; the oldest are dropped beyond it, as a network would.
const QUEUE: usize = 512;
/// Messages in one call.
const BATCH: usize = 64;
/// Bytes of entries and snapshots in one call, unless a single message has more. The receiver
/// refuses bodies beyond its bound whole.
const BATCH_BYTES: usize = 2 << 20;
/// Calls to one replica under way at once. With a single one, a connection that has gone silent
/// would hold back heartbeats until its timeout, and the leader would be voted out.
const CALLS: usize = 3;

/// A message and where it goes.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Where the receiver answers HTTP.
    pub address: String,
    /// The message.
    pub message: Message,
}

/// What the lanes share.
pub struct MessageSender {
    caller: Caller,
    own: String,
    timeout: Duration,
    reach: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    lanes: RefCell<BTreeMap<String, PeerQueue>>,
}

impl MessageSender {
    /// Sends as `own`, with `timeout` for each call, what `reach` lets through.
    pub fn new(
        caller: Caller,
        own: String,
        timeout: Duration,
        reach: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    ) -> Self {
        Self { caller, own, timeout, reach, lanes: RefCell::default() }
    }
}

struct PeerQueue {
    queue: VecDeque<Message>,
    calls: usize,
    client: Client,
}

/// Sends messages until their ring closes.
pub async fn run(post: MessageSender, mut outgoing: Receiver<Outgoing>) {
    let post = Rc::new(post);
    while let Some(first) = outgoing.next().await {
        let mut touched = BTreeSet::new();
        let mut next = Some(first);
        while let Some(Outgoing { address, message }) = next {
            enqueue(&post, &address, message);
            touched.insert(address);
            next = outgoing.take();
        }
        for address in touched {
            start_call(&post, &address);
        }
    }
}

fn enqueue(post: &MessageSender, address: &str, message: Message) {
    if !(post.reach)(address) {
        return;
    }
    let mut lanes = post.lanes.borrow_mut();
    if !lanes.contains_key(address) {
        let lane = PeerQueue { queue: VecDeque::new(), calls: 0, client: post.caller.client() };
        lanes.insert(address.to_owned(), lane);
    }
    let Some(lane) = lanes.get_mut(address) else { return };
    if lane.queue.len() >= QUEUE {
        lane.queue.pop_front();
    }
    lane.queue.push_back(message);
}

fn start_call(post: &Rc<MessageSender>, address: &str) {
    let Some((messages, client)) = take_batch(post, address) else { return };
    let (post, address) = (post.clone(), address.to_owned());
    actix_rt::spawn(async move {
        let envelope = Envelope { address: post.own.clone(), messages };
        let call = client.call(&address, paths::AGREEMENT, &envelope, post.timeout);
        let result: Result<(), _> = call.await;
        if let Err(error) = &result {
            tracing::debug!(event = "peer_call_failed", address, %error);
        }
        end_call(&post, &address, result.is_err());
        start_call(&post, &address);
    });
}

fn take_batch(post: &MessageSender, address: &str) -> Option<(Vec<Message>, Client)> {
    let mut lanes = post.lanes.borrow_mut();
    let lane = lanes.get_mut(address)?;
    if lane.calls >= CALLS || lane.queue.is_empty() {
        return None;
    }
    lane.calls += 1;
    let (mut batch, mut bytes) = (Vec::new(), 0);
    while batch.len() < BATCH && bytes < BATCH_BYTES {
        let Some(message) = lane.queue.pop_front() else { break };
        bytes += size(&message);
        batch.push(message);
    }
    Some((batch, lane.client.clone()))
}

fn size(message: &Message) -> usize {
    match &message.body {
        Body::Append { entries, .. } => entries.iter().map(|e| e.payload.size()).sum(),
        Body::SnapshotChunk { data, .. } => data.len(),
        _ => 0,
    }
}

fn end_call(post: &MessageSender, address: &str, failed: bool) {
    let mut lanes = post.lanes.borrow_mut();
    let Some(lane) = lanes.get_mut(address) else { return };
    lane.calls -= 1;
    if failed {
        // A kept connection may have gone silent for good; a new client opens a new one.
        lane.client = post.caller.client();
    }
}
