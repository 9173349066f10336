//! Bounds the bytes of replies that a process reads at the same time.
//!
//! An endpoint in trouble may send a body without end. A limit for each reply is not one for the
//! process: with a few dozen such replies at once it would exceed its memory. All connections of a
//! process share one thread (docs/STYLE.md), so the bytes are counted for each thread.

use std::cell::Cell;

/// The limit in bytes unless one is set.
const DEFAULT_LIMIT: usize = 64 << 20;

thread_local! {
    static LIMIT: Cell<usize> = const { Cell::new(DEFAULT_LIMIT) };
    static HELD: Cell<usize> = const { Cell::new(0) };
    static REPLIES: Cell<usize> = const { Cell::new(0) };
}

/// Sets the bytes from which on only small replies may grow. All replies together hold at most twice
/// as many.
pub fn set_limit(bytes: usize) {
    LIMIT.set(bytes);
}

/// Returns the bytes of the replies that are being read.
pub fn held_bytes() -> usize {
    HELD.get()
}

/// The bytes of a reply that is being read. They count until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldReply {
    bytes: usize,
}

impl HeldReply {
    pub(crate) fn new() -> Self {
        REPLIES.set(REPLIES.get() + 1);
        Self { bytes: 0 }
    }

    /// Adds received bytes. Returns false if the limit is exceeded and the reply holds more than its
    /// equal share, so that replies without end give way to the others.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        HELD.set(HELD.get() + bytes);
        let share = LIMIT.get() / REPLIES.get().max(1);
        HELD.get() <= LIMIT.get() || self.bytes <= share
    }
}

impl Drop for HeldReply {
    fn drop(&mut self) {
        HELD.set(HELD.get() - self.bytes);
        REPLIES.set(REPLIES.get() - 1);
    }
}
