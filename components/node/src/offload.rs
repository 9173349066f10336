//! Work on large messages, away from the thread of the process.
//!
//! On the thread of a leader, decoding a step of many samples would delay its heartbeats, so that it
//! is deposed. Entries decode on their own thread: the memory that an allocator keeps for each thread
//! is more than they can spare.

use std::panic;

use tokio::task;

/// Size in bytes above which work on a message is moved to another thread. Below, that costs more
/// than the work.
pub const LARGE_BYTES: usize = 1 << 20;

/// Does work on `bytes` bytes, on another thread if they are many.
pub async fn run<T: Send + 'static>(bytes: usize, work: impl FnOnce() -> T + Send + 'static) -> T {
    if bytes <= LARGE_BYTES {
        return work();
    }
    match task::spawn_blocking(work).await {
        Ok(done) => done,
        // It is not cancelled, so it has panicked.
        Err(failure) => panic::resume_unwind(failure.into_panic()),
    }
}
