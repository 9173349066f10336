//! The clock of this VM.

use std::cell::Cell;

use actix_rt::time::Instant;
use chicoryford_types::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

thread_local! {
    /// A time of this VM's clock and the same time of the runtime's clock, if this thread follows it.
    static FOLLOWED: Cell<Option<(Millis, Instant)>> = const { Cell::new(None) };
}

/// Makes the clock of this thread follow the clock of its runtime from now on. Tests pause and
/// advance that one, so that what depends on time does not depend on the load of the machine.
pub fn follow_runtime() {
    FOLLOWED.set(Some((now(), Instant::now())));
}

/// Returns the time since the VM started, including time in which it was frozen.
///
/// The usual monotonic clock stops while a VM is frozen. With it, a leader that resumes would still
/// trust a lease that has expired in the meantime, and two leaders would answer.
pub fn now() -> Millis {
    if let Some((started, instant)) = FOLLOWED.get() {
        return started + instant.elapsed().as_millis() as u64;
    }
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
