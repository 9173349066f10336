//! The limits of a process, and what follows from them.

use serde::Deserialize;

/// Bytes that the process itself needs: program, configuration, caches and idle connections.
const PROCESS_BYTES: u64 = 32_000_000;
/// The divisor of the memory for the part that the allocator may lose to fragmentation.
const FRAGMENTATION_DIVISOR: u64 = 4;
/// The smallest memory for clients, so that a small VM still serves requests.
const MIN_CLIENT_BYTES: u64 = 4_000_000;
/// Percentages of the memory for clients: large bodies may take the first part, and everything large
/// together the second one. The rest is for small requests.
const LARGE_BODIES_PERCENT: u64 = 50;
const LARGE_PERCENT: u64 = 85;
/// The divisor of the memory for clients for the part that open steps may take at their leader. A new
/// leader reads all of them from the stores at once, which takes twice as much.
const OPEN_STEPS_DIVISOR: u64 = 3;
/// Percentages of the connections from which on connections are closed: those without a complete
/// request that are old enough, and any that may be closed.
const SOFT_CONNECTIONS_PERCENT: usize = 75;
const HARD_CONNECTIONS_PERCENT: usize = 92;

/// Limits on what a process holds for its clients. The defaults bound nothing but slow bodies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory limit of the process in bytes, if there is one.
    pub memory_bytes: Option<u64>,
    /// Maximum number of connections of clients, if there is one.
    pub connections: Option<usize>,
    /// Bytes that the open steps may take at their leader; a third of the memory for clients by default.
    pub step_bytes: Option<u64>,
    /// Bytes that a request may hold and still use the memory kept for small requests.
    pub small_bytes: u64,
    /// Bytes per second below which a client counts as slow. A slow client loses its connection when
    /// others need its memory or descriptor.
    pub slow_bytes_per_s: u64,
    /// Milliseconds without progress after which a client counts as slow.
    pub stall_ms: u64,
    /// Milliseconds after which a body that is still incomplete is refused.
    pub body_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_bytes: None,
            connections: None,
            step_bytes: None,
            small_bytes: 256 << 10,
            slow_bytes_per_s: 16 << 10,
            stall_ms: 1_000,
            body_timeout_ms: 60_000,
        }
    }
}

impl Limits {
    /// Returns the bytes that all clients together may hold.
    pub fn client_bytes(&self) -> u64 {
        let Some(memory) = self.memory_bytes else { return u64::MAX };
        let left = memory.saturating_sub(PROCESS_BYTES + memory / FRAGMENTATION_DIVISOR);
        left.max(MIN_CLIENT_BYTES)
    }

    /// Returns the bytes that all clients together may hold if only one of them has a large request.
    pub fn single_bytes(&self) -> u64 {
        let Some(memory) = self.memory_bytes else { return u64::MAX };
        memory.saturating_sub(PROCESS_BYTES).max(MIN_CLIENT_BYTES)
    }

    /// Returns the bytes that large bodies may hold.
    pub fn large_body_bytes(&self) -> u64 {
        self.client_bytes() / 100 * LARGE_BODIES_PERCENT
    }

    /// Returns the bytes that everything large may hold.
    pub fn large_bytes(&self) -> u64 {
        self.client_bytes() / 100 * LARGE_PERCENT
    }

    /// Returns the bytes that the open steps may take at their leader, if they are limited.
    pub fn open_step_bytes(&self) -> Option<u64> {
        let default = self.memory_bytes.map(|_| self.client_bytes() / OPEN_STEPS_DIVISOR);
        self.step_bytes.or(default)
    }

    /// Returns the bytes that a step may take while it is submitted and no other large one is open, if
    /// they are limited.
    pub fn largest_step_bytes(&self) -> Option<u64> {
        self.memory_bytes.map(|_| self.client_bytes())
    }

    /// Returns the number of connections from which on old ones without a complete request are closed.
    pub fn soft_connections(&self) -> usize {
        self.connections.map_or(usize::MAX, |limit| limit * SOFT_CONNECTIONS_PERCENT / 100)
    }

    /// Returns the number of connections from which on any that may be closed are closed.
    pub fn hard_connections(&self) -> usize {
        self.connections.map_or(usize::MAX, |limit| limit * HARD_CONNECTIONS_PERCENT / 100)
    }
}
