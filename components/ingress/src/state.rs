//! The connections and the memory in use. Decisions take the time as a parameter.

use std::collections::BTreeMap;

use crate::limits::Limits;
use crate::order::Candidate;
use crate::order::Pressure;
use crate::order::to_close;

/// The divisor of the limit of connections for the number that is closed at once, so that connections
/// are not examined for each new one.
const CLOSE_DIVISOR: usize = 32;

/// Milliseconds after a search for memory that found nothing.
const SEARCH_INTERVAL_MS: u64 = 5;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Nothing of a request was received.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// The request is complete and being served.
    Serving,
    /// The reply is being sent.
    Reply,
    /// The rest of a refused request is being dropped.
    Closing,
}

#[derive(Clone, Debug)]
struct Connection {
    phase: Phase,
    answered: bool,
    since_ms: u64,
    progress_ms: u64,
    received: u64,
    held: u64,
    class: Class,
}

/// What a connection holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Class {
    /// A small request or reply.
    #[default]
    Small,
    /// A large request.
    Body,
    /// A large reply.
    Reply,
}

impl Connection {
    /// Returns whether a client uses the connection as intended: it has sent a complete request.
    fn is_used(&self) -> bool {
        let is_active = matches!(self.phase, Phase::Serving | Phase::Reply);
        is_active || self.answered && self.phase != Phase::Closing
    }
}

/// The connections and the memory in use.
#[derive(Clone, Debug, Default)]
pub struct State {
    limits: Limits,
    connections: BTreeMap<u64, Connection>,
    last_id: u64,
    /// Bytes of all connections and reservations.
    held: u64,
    /// The part of `held` that is large bodies.
    large_bodies: u64,
    /// The part of `held` that is large requests, large replies and reservations.
    large: u64,
    /// The connections and reservations that hold anything large.
    large_holders: usize,
    /// The connections on which a complete request was sent.
    used: usize,
    /// When memory is searched for again, for large and for small requests: a search examines all
    /// connections, and one that found nothing is not repeated at once.
    next_search_ms: [u64; 2],
}

impl State {
    /// Starts without connections.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections on which a complete request was sent. The others are closed
    /// before they keep anyone out.
    pub fn used_connections(&self) -> usize {
        self.used
    }

    /// Returns the bytes in use.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Adds a connection. Returns its id, or none if there are too many and none of them may be closed;
    /// and the connections to close.
    pub fn open(&mut self, now_ms: u64) -> (Option<u64>, Vec<u64>) {
        let count = self.connections.len();
        let limit = self.limits.connections.unwrap_or(usize::MAX);
        let batch = (limit / CLOSE_DIVISOR).max(1);
        let pressure = if count >= self.limits.hard_connections() {
            Some(Pressure::HardConnections { count: batch, is_full: count >= limit })
        } else if count >= self.limits.soft_connections() && count.is_multiple_of(batch) {
            Some(Pressure::SoftConnections { count: batch })
        } else {
            None
        };
        let closed = pressure.map(|pressure| self.close_for(pressure, now_ms, None));
        let closed = closed.unwrap_or_default();
        if self.connections.len() >= limit {
            return (None, closed);
        }
        self.last_id += 1;
        let connection = Connection {
            phase: Phase::Idle,
            answered: false,
            since_ms: now_ms,
            progress_ms: now_ms,
            received: 0,
            held: 0,
            class: Class::Small,
        };
        self.connections.insert(self.last_id, connection);
        (Some(self.last_id), closed)
    }

    /// Removes a connection, unless it was chosen to be closed before.
    pub fn close(&mut self, id: u64) {
        self.set_held(id, 0, Class::Small);
        let removed = self.connections.remove(&id);
        self.used -= usize::from(removed.is_some_and(|connection| connection.is_used()));
    }

    /// Begins a phase of a connection.
    pub fn begin(&mut self, id: u64, phase: Phase, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let was_used = connection.is_used();
        connection.answered |= connection.phase == Phase::Reply;
        connection.phase = phase;
        self.used = self.used + usize::from(connection.is_used()) - usize::from(was_used);
        connection.since_ms = now_ms;
        connection.progress_ms = now_ms;
        connection.received = 0;
    }

    /// Returns the phase of a connection, unless it was chosen to be closed.
    pub fn phase(&self, id: u64) -> Option<Phase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Records that a client has sent or read bytes.
    pub fn record_progress(&mut self, id: u64, bytes: u64, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.received += bytes;
        connection.progress_ms = now_ms;
    }

    /// Sets the bytes that a connection holds for a request. Returns whether it may hold them, and the
    /// connections to close for that. Fewer bytes than before are always granted.
    pub fn hold(&mut self, id: u64, bytes: u64, now_ms: u64) -> (bool, Vec<u64>) {
        let Some(connection) = self.connections.get(&id) else { return (false, Vec::new()) };
        let before = connection.held;
        let is_small = bytes <= self.limits.small_bytes;
        let class = if is_small { Class::Small } else { Class::Body };
        if bytes <= before {
            self.set_held(id, bytes, class);
            return (true, Vec::new());
        }
        let missing = self.missing_bytes(connection, bytes);
        let mut closed = Vec::new();
        if missing > 0 {
            if now_ms < self.next_search_ms[usize::from(is_small)] {
                return (false, closed);
            }
            let small = is_small.then_some(bytes);
            closed = self.close_for(Pressure::Memory { missing, small }, now_ms, Some(id));
            if closed.is_empty() {
                self.next_search_ms[usize::from(is_small)] = now_ms + SEARCH_INTERVAL_MS;
                return (false, closed);
            }
        }
        self.set_held(id, bytes, class);
        (true, closed)
    }

    /// Returns the bytes that are missing for a connection to hold this many for its request.
    fn missing_bytes(&self, connection: &Connection, bytes: u64) -> u64 {
        let part = |class: bool| if class { connection.held } else { 0 };
        let missing =
            (self.held - connection.held + bytes).saturating_sub(self.limits.client_bytes());
        if bytes <= self.limits.small_bytes {
            return missing;
        }
        let was_large = connection.class != Class::Small;
        // One request of any size is served if there is nothing else large.
        if self.large_holders == usize::from(was_large) {
            return 0;
        }
        let bodies = self.large_bodies - part(connection.class == Class::Body) + bytes;
        let large = self.large - part(was_large) + bytes;
        missing
            .max(bodies.saturating_sub(self.limits.large_body_bytes()))
            .max(large.saturating_sub(self.limits.large_bytes()))
    }

    /// Sets the bytes of a reply that a connection holds. They are in memory already.
    pub fn hold_reply(&mut self, id: u64, bytes: u64) {
        let is_small = bytes <= self.limits.small_bytes;
        self.set_held(id, bytes, if is_small { Class::Small } else { Class::Reply });
    }

    fn set_held(&mut self, id: u64, bytes: u64, class: Class) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (before, before_class) = (connection.held, connection.class);
        connection.held = bytes;
        connection.class = class;
        self.held = self.held - before + bytes;
        if before_class != Class::Small {
            self.large -= before;
            self.large_holders -= 1;
        }
        if class != Class::Small {
            self.large += bytes;
            self.large_holders += 1;
        }
        if before_class == Class::Body {
            self.large_bodies -= before;
        }
        if class == Class::Body {
            self.large_bodies += bytes;
        }
    }

    /// Takes bytes that belong to no connection, such as decoded values and replies of endpoints, in
    /// addition to those that the same reservation has. Returns whether they are granted. A small
    /// reservation may use the memory that is kept for small requests, and one for the only large
    /// request may use what the allocator needs otherwise.
    pub fn reserve(&mut self, bytes: u64, before: u64) -> bool {
        let is_small = before + bytes <= self.limits.small_bytes;
        let was_large = before > self.limits.small_bytes;
        let limit = if is_small {
            self.limits.client_bytes()
        } else if self.large_holders <= 1 + usize::from(was_large) {
            self.limits.single_bytes()
        } else {
            self.limits.large_bytes()
        };
        let is_granted = self.held + bytes <= limit;
        if is_granted {
            self.held += bytes;
            if !is_small {
                self.large += if was_large { bytes } else { before + bytes };
                self.large_holders += usize::from(!was_large);
            }
        }
        is_granted
    }

    /// Gives back a reservation of this many bytes.
    pub fn release(&mut self, bytes: u64) {
        self.held -= bytes;
        if bytes > self.limits.small_bytes {
            self.large -= bytes;
            self.large_holders -= 1;
        }
    }

    fn close_for(&mut self, pressure: Pressure, now_ms: u64, except: Option<u64>) -> Vec<u64> {
        let candidates: Vec<Candidate> = self
            .connections
            .iter()
            .filter(|(id, _)| Some(**id) != except)
            .map(|(id, connection)| Candidate {
                id: *id,
                phase: connection.phase,
                answered: connection.answered,
                age_ms: now_ms.saturating_sub(connection.since_ms),
                stalled_ms: now_ms.saturating_sub(connection.progress_ms),
                received: connection.received,
                held: connection.held,
            })
            .collect();
        let closed = to_close(&candidates, &self.limits, pressure);
        closed.iter().for_each(|id| self.close(*id));
        closed
    }
}
