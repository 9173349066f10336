//! A clock that moves only when nothing but time can change the state of a test.
//!
//! Sockets take a time that depends on the load of the machine. Therefore the clock stands still
//! while bytes are under way, and a test sees the same order of events at any load.

use std::time::Duration;
use std::time::Instant;

use chicoryford_kernel::clock;
use chicoryford_types::Millis;

/// Step of the clock. Timeouts are whole milliseconds.
const STEP: Duration = Duration::from_millis(1);
/// Number of times that all tasks run after a step. A timeout passes through fewer tasks than this
/// before it has its effect.
const RUNS_PER_STEP: usize = 5;
/// Time by the wall clock after which a test that waits for an event fails instead of hanging. The
/// result of a test that does not hang does not depend on it.
const HANG_LIMIT: Duration = Duration::from_secs(120);

/// Runs a future on a clock that is advanced whenever `is_settled` returns true, which means that
/// no bytes are under way. Returns the output and the time that it took by this clock.
pub async fn run<T>(future: impl Future<Output = T>, is_settled: impl Fn() -> bool) -> (T, u64) {
    clock::follow_runtime();
    tokio::time::pause();
    let began = clock::now();
    let advance = async {
        loop {
            run_tasks().await;
            wait_until(&is_settled, began).await;
            tokio::time::advance(STEP).await;
        }
    };
    let output = tokio::select! {
        biased;
        output = future => output,
        () = advance => unreachable!(),
    };
    let ms = clock::now().since(began);
    tokio::time::resume();
    (output, ms)
}

async fn run_tasks() {
    for _ in 0..RUNS_PER_STEP {
        tokio::task::yield_now().await;
    }
}

async fn wait_until(is_settled: impl Fn() -> bool, began: Millis) {
    let waiting_since = Instant::now();
    while !is_settled() {
        let ms = clock::now().since(began);
        assert!(waiting_since.elapsed() < HANG_LIMIT, "no event arrives at {ms} ms");
        tokio::task::yield_now().await;
    }
}
