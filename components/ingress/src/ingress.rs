//! The state that all listeners of a process share, and the handles of its parts.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::limits::Limits;
use crate::state::Phase;
use crate::state::State;

/// What a process holds for its clients. The listeners may run on several threads.
pub struct Ingress {
    shared: Mutex<Shared>,
    started: Instant,
    /// Connections that were closed for others.
    closed: AtomicU64,
    /// Requests that were refused because of memory.
    refused: AtomicU64,
    /// The right to do work of unlimited amount.
    turn: Semaphore,
}

struct Shared {
    state: State,
    signals: BTreeMap<u64, Arc<Notify>>,
}

impl Default for Ingress {
    fn default() -> Self {
        Self::with_limits(Limits::default())
    }
}

impl Ingress {
    fn with_limits(limits: Limits) -> Self {
        Self {
            shared: Mutex::new(Shared { state: State::new(limits), signals: BTreeMap::new() }),
            started: Instant::now(),
            closed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            turn: Semaphore::new(1),
        }
    }

    /// Starts without connections.
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self::with_limits(limits))
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        // The state is consistent after each call, so a panic elsewhere does not matter.
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        *self.lock().state.limits()
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.lock().state.connections()
    }

    /// Returns the number of connections on which a complete request was sent.
    pub fn used_connections(&self) -> usize {
        self.lock().state.used_connections()
    }

    /// Returns the bytes in use.
    pub fn held_bytes(&self) -> u64 {
        self.lock().state.held()
    }

    /// Returns how many connections were closed for others.
    pub fn closed_connections(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns how many requests and reservations were refused because of memory.
    pub fn refused_requests(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a new connection, and closes others if there are too many. Returns none if none of them
    /// may be closed; the new one must be closed then.
    pub fn open(self: &Arc<Self>) -> Option<Slot> {
        let closing = Arc::new(Notify::new());
        let mut shared = self.lock();
        let (id, closed) = shared.state.open(self.now_ms());
        self.signal(&mut shared, &closed);
        let Some(id) = id else {
            self.closed.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        shared.signals.insert(id, closing.clone());
        Some(Slot { ingress: self.clone(), id, closing })
    }

    fn signal(&self, shared: &mut Shared, closed: &[u64]) {
        for id in closed {
            if let Some(signal) = shared.signals.remove(id) {
                signal.notify_one();
            }
        }
        self.closed.fetch_add(closed.len() as u64, Ordering::Relaxed);
    }

    /// Takes bytes that belong to no connection until the reservation is dropped. Returns none if
    /// there is no memory for them.
    pub fn reserve(self: &Arc<Self>, bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation { ingress: self.clone(), bytes: 0 };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Waits for the right to do work that a client may ask for without limit: pipelined requests, long
    /// bodies and heads, and what is dropped of refused requests. Connections take turns, and all others
    /// are served between two turns, so many such clients together do not keep the thread busy.
    pub async fn turn(&self) {
        // The semaphore is never closed.
        let _turn = self.turn.acquire().await;
        tokio::task::yield_now().await;
    }
}

/// A connection. It counts until this is dropped.
pub struct Slot {
    ingress: Arc<Ingress>,
    id: u64,
    closing: Arc<Notify>,
}

impl Slot {
    /// Begins a phase.
    pub fn begin(&self, phase: Phase) {
        let now_ms = self.ingress.now_ms();
        self.ingress.lock().state.begin(self.id, phase, now_ms);
    }

    /// Records that the client has sent or read bytes.
    pub fn record_progress(&self, bytes: usize) {
        let now_ms = self.ingress.now_ms();
        self.ingress.lock().state.record_progress(self.id, bytes as u64, now_ms);
    }

    /// Records received bytes on a connection whose phases are not known exactly. Returns whether they
    /// begin a request.
    pub fn record_received(&self, bytes: usize) -> bool {
        let now_ms = self.ingress.now_ms();
        let mut shared = self.ingress.lock();
        let begins = shared.state.phase(self.id) == Some(Phase::Idle);
        if begins {
            shared.state.begin(self.id, Phase::Head, now_ms);
        }
        shared.state.record_progress(self.id, bytes as u64, now_ms);
        begins
    }

    /// Holds bytes of a request that no handler reads: it does not run yet, and will hold them itself,
    /// or it has ended before. Returns false if there is no memory for them.
    #[must_use]
    pub fn hold_received(&self, bytes: u64) -> bool {
        let phase = self.ingress.lock().state.phase(self.id);
        match phase {
            Some(Phase::Head | Phase::Closing) => self.hold(bytes),
            _ => true,
        }
    }

    /// Sets the bytes that are held for a request. Returns false if there is no memory for them; the
    /// request must be refused then.
    #[must_use]
    pub fn hold(&self, bytes: u64) -> bool {
        let mut shared = self.ingress.lock();
        let (is_granted, closed) = shared.state.hold(self.id, bytes, self.ingress.now_ms());
        self.ingress.signal(&mut shared, &closed);
        if !is_granted {
            self.ingress.refused.fetch_add(1, Ordering::Relaxed);
        }
        is_granted
    }

    /// Sets the bytes of a reply, which are in memory already.
    pub fn hold_reply(&self, bytes: u64) {
        self.ingress.lock().state.hold_reply(self.id, bytes);
    }

    /// Waits until the connection must be closed.
    pub fn closing(&self) -> impl Future<Output = ()> + use<> {
        let closing = self.closing.clone();
        async move { closing.notified().await }
    }

    /// Returns the state that the connection belongs to.
    pub fn ingress(&self) -> &Arc<Ingress> {
        &self.ingress
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut shared = self.ingress.lock();
        shared.state.close(self.id);
        shared.signals.remove(&self.id);
    }
}

/// Bytes that belong to no connection. They count until this is dropped.
pub struct Reservation {
    ingress: Arc<Ingress>,
    bytes: u64,
}

impl Reservation {
    /// Takes further bytes. Returns whether there is memory for them.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        let is_granted = self.ingress.lock().state.reserve(bytes, self.bytes);
        if is_granted {
            self.bytes += bytes;
        } else {
            self.ingress.refused.fetch_add(1, Ordering::Relaxed);
        }
        is_granted
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.ingress.lock().state.release(self.bytes);
    }
}
