//! The clock of this VM.

use chicoryford_types::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM started, including time in which it was frozen.
///
/// The usual monotonic clock stops while a VM is frozen. With it, a leader that resumes would still
/// trust a lease that has expired in the meantime, and two leaders would answer.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
