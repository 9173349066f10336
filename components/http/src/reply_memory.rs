//! Bounds the bytes of replies that a process reads at the same time.
//!
//! An endpoint in trouble may send a body without end. A limit for each reply is not one for the
//! process: with a few dozen such replies at once it would exceed its memory. All connections of a
//! process share one thread (docs/STYLE.md), so the bytes are counted for each thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;

use chicoryford_ingress::Ingress;
use chicoryford_ingress::Reservation;

/// The limit in bytes unless one is set.
const DEFAULT_LIMIT: usize = 64 << 20;

thread_local! {
    static LIMIT: Cell<usize> = const { Cell::new(DEFAULT_LIMIT) };
    static HELD: Cell<usize> = const { Cell::new(0) };
    static REPLIES: Cell<usize> = const { Cell::new(0) };
    static INGRESS: RefCell<Option<Arc<Ingress>>> = const { RefCell::new(None) };
}

/// Sets the bytes from which on only small replies may grow. All replies together hold at most twice
/// as many.
pub fn set_limit(bytes: usize) {
    LIMIT.set(bytes);
}

/// Sets the memory from which replies are taken in addition, because it is shared with what is held for
/// clients.
pub fn set_ingress(ingress: Arc<Ingress>) {
    INGRESS.with_borrow_mut(|slot| *slot = Some(ingress));
}

/// Returns the bytes of the replies that are being read.
pub fn held_bytes() -> usize {
    HELD.get()
}

/// The bytes of a reply that is being read. They count until this is dropped.
pub(crate) struct HeldReply {
    bytes: usize,
    /// Bytes for which memory was reserved before they were received.
    prepared: usize,
    reservation: Option<Reservation>,
}

impl HeldReply {
    pub(crate) fn new() -> Self {
        REPLIES.set(REPLIES.get() + 1);
        let reservation = INGRESS.with_borrow(|slot| slot.as_ref().and_then(|one| one.reserve(0)));
        Self { bytes: 0, prepared: 0, reservation }
    }

    /// Reserves memory for a reply of known length. Returns whether there is enough. Waiting for it would
    /// occupy the endpoint.
    pub(crate) fn prepare(&mut self, bytes: usize) -> bool {
        self.prepared = bytes;
        self.reservation.as_mut().is_none_or(|one| one.grow(bytes as u64))
    }

    /// Adds received bytes. Returns false if the limit is exceeded and the reply holds more than its
    /// equal share, so that replies without end give way to the others.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        HELD.set(HELD.get() + bytes);
        let share = LIMIT.get() / REPLIES.get().max(1);
        let is_within = HELD.get() <= LIMIT.get() || self.bytes <= share;
        let is_prepared = self.reservation.is_some() && self.bytes <= self.prepared;
        // A body of unknown length moves to a buffer of twice the size when it grows.
        let needed = 2 * bytes as u64;
        let mut reserves = || self.reservation.as_mut().is_none_or(|one| one.grow(needed));
        is_prepared || is_within && reserves()
    }
}

impl Drop for HeldReply {
    fn drop(&mut self) {
        HELD.set(HELD.get() - self.bytes);
        REPLIES.set(REPLIES.get() - 1);
    }
}
