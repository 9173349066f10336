//! Which connections are closed first. A pure decision.

use crate::limits::Limits;
use crate::state::Phase;

/// Milliseconds without progress after which a reply may be given up. Replies that are ready are given
/// up last.
const STALLED_REPLY_MS: u64 = 5_000;
/// Milliseconds for which a new connection is left alone: a client that behaves has sent its request by
/// then.
const GRACE_MS: u64 = 100;
/// The divisor of the memory for clients for what is freed at once, if there is as much to free.
const BATCH_DIVISOR: u64 = 32;
/// How many times more than a small request another one must hold to give way to it.
const LARGER_FACTOR: u64 = 4;

/// A connection that may be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Identifies the connection.
    pub id: u64,
    /// What it does.
    pub phase: Phase,
    /// Whether a request was answered on it.
    pub answered: bool,
    /// Milliseconds since the phase began.
    pub age_ms: u64,
    /// Milliseconds since its client last sent or read anything in this phase.
    pub stalled_ms: u64,
    /// Bytes received in this phase.
    pub received: u64,
    /// Bytes that it holds.
    pub held: u64,
}

/// What is short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pressure {
    /// Connections, so that some that are old should be closed.
    SoftConnections {
        /// How many to close.
        count: usize,
    },
    /// Connections, so that some must be closed.
    HardConnections {
        /// How many to close.
        count: usize,
        /// Whether there are as many as there may be.
        is_full: bool,
    },
    /// Memory.
    Memory {
        /// The bytes that are missing.
        missing: u64,
        /// The bytes of the small request that needs them; `None` if a large one does.
        small: Option<u64>,
    },
}

/// Returns the connections to close, in this order. It may free less than what is short. A connection
/// whose request is being served is never closed.
///
/// A client that behaves sends a small request in a few packets, so the clients that have taken the
/// longest without completing their request come first. A body that arrives at a fair rate is left
/// alone, however long it takes.
pub fn to_close(candidates: &[Candidate], limits: &Limits, pressure: Pressure) -> Vec<u64> {
    match pressure {
        Pressure::SoftConnections { count } => {
            let old = |one: &Candidate| is_overdue(one, limits) && one.age_ms >= limits.stall_ms;
            oldest(candidates, old).into_iter().take(count).map(|one| one.id).collect()
        }
        Pressure::HardConnections { count, is_full } => {
            // If clients come so fast that all are new, the first of them have had the most time.
            let grace_ms = if is_full { 0 } else { GRACE_MS };
            let overdue = |one: &Candidate| {
                one.age_ms >= grace_ms && (is_overdue(one, limits) || is_slow_so_far(one, limits))
            };
            let mut chosen = oldest(candidates, overdue);
            if chosen.len() < count {
                chosen.extend(oldest(candidates, |one| one.phase == Phase::Idle && one.answered));
            }
            if chosen.len() < count {
                let is_stalled = |one: &Candidate| {
                    one.phase == Phase::Reply && one.stalled_ms >= limits.stall_ms
                };
                chosen.extend(oldest(candidates, is_stalled));
            }
            chosen.into_iter().take(count).map(|one| one.id).collect()
        }
        Pressure::Memory { missing, small } => for_memory(candidates, limits, missing, small),
    }
}

fn for_memory(
    candidates: &[Candidate],
    limits: &Limits,
    missing: u64,
    small: Option<u64>,
) -> Vec<u64> {
    let holds = |one: &Candidate| one.held > 0;
    let overdue = |one: &Candidate| one.age_ms >= GRACE_MS && is_overdue(one, limits);
    let mut chosen = oldest(candidates, |one| holds(one) && overdue(one));
    let mut replies: Vec<&Candidate> = candidates
        .iter()
        .filter(|one| one.phase == Phase::Reply && one.stalled_ms >= STALLED_REPLY_MS)
        .collect();
    replies.sort_by_key(|one| std::cmp::Reverse(one.held));
    chosen.extend(replies);
    if let Some(bytes) = small {
        let is_larger = |one: &&Candidate| {
            matches!(one.phase, Phase::Head | Phase::Body)
                && (LARGER_FACTOR * bytes..=limits.small_bytes).contains(&one.held)
        };
        let mut larger: Vec<&Candidate> = candidates.iter().filter(is_larger).collect();
        larger.sort_by_key(|one| std::cmp::Reverse(one.held));
        chosen.extend(larger);
    }
    let mut freed = 0;
    let mut ids = Vec::new();
    for one in chosen {
        // Frees more than is missing, so that the next request needs no search.
        if freed >= missing.max(limits.client_bytes() / BATCH_DIVISOR) {
            break;
        }
        if !ids.contains(&one.id) {
            freed += one.held;
            ids.push(one.id);
        }
    }
    // Closing connections that do not free enough would serve nobody.
    if freed >= missing { ids } else { Vec::new() }
}

/// Returns whether a client has not sent a complete request, and is slow with its body.
fn is_overdue(one: &Candidate, limits: &Limits) -> bool {
    match one.phase {
        Phase::Idle => !one.answered,
        Phase::Head | Phase::Closing => true,
        Phase::Body => is_slow(one, limits),
        Phase::Serving | Phase::Reply => false,
    }
}

fn is_slow(one: &Candidate, limits: &Limits) -> bool {
    one.stalled_ms >= limits.stall_ms || one.age_ms >= limits.stall_ms && has_low_rate(one, limits)
}

/// Returns whether a body has been slow, although it may have begun only recently.
fn is_slow_so_far(one: &Candidate, limits: &Limits) -> bool {
    one.phase == Phase::Body && has_low_rate(one, limits)
}

fn has_low_rate(one: &Candidate, limits: &Limits) -> bool {
    one.received.saturating_mul(1_000) / one.age_ms.max(1) < limits.slow_bytes_per_s
}

fn oldest(candidates: &[Candidate], is_chosen: impl Fn(&Candidate) -> bool) -> Vec<&Candidate> {
    let mut chosen: Vec<&Candidate> = candidates.iter().filter(|one| is_chosen(one)).collect();
    chosen.sort_by_key(|one| std::cmp::Reverse(one.age_ms));
    chosen
}
