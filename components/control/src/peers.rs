//! The task that sends the agreement's messages to other replicas.

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

/// Maximum number of queued messages for one replica. Beyond it the oldest are dropped, as a
/// network may drop them.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Maximum number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 64;
/// Maximum size in bytes of the entries and snapshots in one call, unless a single message is
/// larger. The receiver refuses the whole body if it exceeds its limit.
const MAX_BATCH_BYTES: usize = 2 << 20;
/// Maximum number of concurrent calls to one replica. With a single call, a stalled connection
/// would block heartbeats until the call's timeout, and another leader would be elected.
const MAX_CONCURRENT_CALLS: usize = 3;

/// A message and its destination.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The HTTP address of the receiver.
    pub address: String,
    /// The message.
    pub message: Message,
}

/// Sends messages, with a queue for each replica.
pub struct MessageSender {
    caller: Caller,
    own: String,
    timeout: Duration,
    can_reach: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    queues: RefCell<BTreeMap<String, PeerQueue>>,
}

impl MessageSender {
    /// Creates a sender with the own address `own` and `timeout` for each call. Messages to an
    /// address for which `can_reach` returns false are dropped.
    pub fn new(
        caller: Caller,
        own: String,
        timeout: Duration,
        can_reach: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    ) -> Self {
        Self { caller, own, timeout, can_reach, queues: RefCell::default() }
    }
}

struct PeerQueue {
    messages: VecDeque<Message>,
    calls_in_flight: usize,
    client: Client,
}

/// Sends messages until their queue is closed.
pub async fn run(sender: MessageSender, mut outgoing: Receiver<Outgoing>) {
    let sender = Rc::new(sender);
    while let Some(first) = outgoing.next().await {
        let mut touched = BTreeSet::new();
        let mut next = Some(first);
        while let Some(Outgoing { address, message }) = next {
            enqueue(&sender, &address, message);
            touched.insert(address);
            next = outgoing.take();
        }
        for address in touched {
            start_call(&sender, &address);
        }
    }
}

fn enqueue(sender: &MessageSender, address: &str, message: Message) {
    if !(sender.can_reach)(address) {
        return;
    }
    let mut queues = sender.queues.borrow_mut();
    if !queues.contains_key(address) {
        let peer_queue = PeerQueue {
            messages: VecDeque::new(),
            calls_in_flight: 0,
            client: sender.caller.client(),
        };
        queues.insert(address.to_owned(), peer_queue);
    }
    let Some(peer_queue) = queues.get_mut(address) else { return };
    if peer_queue.messages.len() >= MAX_QUEUED_MESSAGES {
        peer_queue.messages.pop_front();
    }
    peer_queue.messages.push_back(message);
}

fn start_call(sender: &Rc<MessageSender>, address: &str) {
    let Some((messages, client)) = take_batch(sender, address) else { return };
    let (sender, address) = (sender.clone(), address.to_owned());
    actix_rt::spawn(async move {
        let envelope = Envelope { address: sender.own.clone(), messages };
        let call = client.call(&address, paths::AGREEMENT, &envelope, sender.timeout);
        let result: Result<(), _> = call.await;
        if let Err(error) = &result {
            tracing::debug!(event = "peer_call_failed", address, %error);
        }
        end_call(&sender, &address, result.is_err());
        start_call(&sender, &address);
    });
}

fn take_batch(sender: &MessageSender, address: &str) -> Option<(Vec<Message>, Client)> {
    let mut queues = sender.queues.borrow_mut();
    let peer_queue = queues.get_mut(address)?;
    if peer_queue.calls_in_flight >= MAX_CONCURRENT_CALLS || peer_queue.messages.is_empty() {
        return None;
    }
    peer_queue.calls_in_flight += 1;
    let (mut batch, mut bytes) = (Vec::new(), 0);
    while batch.len() < MAX_BATCH_MESSAGES && bytes < MAX_BATCH_BYTES {
        let Some(message) = peer_queue.messages.pop_front() else { break };
        bytes += payload_bytes(&message);
        batch.push(message);
    }
    Some((batch, peer_queue.client.clone()))
}

fn payload_bytes(message: &Message) -> usize {
    match &message.body {
        Body::Append { entries, .. } => entries.iter().map(|e| e.payload.size()).sum(),
        Body::SnapshotChunk { data, .. } => data.len(),
        _ => 0,
    }
}

fn end_call(sender: &MessageSender, address: &str, failed: bool) {
    let mut queues = sender.queues.borrow_mut();
    let Some(peer_queue) = queues.get_mut(address) else { return };
    peer_queue.calls_in_flight -= 1;
    if failed {
        // The client's connection may be stalled permanently; a new client opens a new one.
        peer_queue.client = sender.caller.client();
    }
}
