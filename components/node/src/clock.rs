//! The clock for all that other processes rely on.

use chicoryford_types::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads the time since the VM started, time in which it was frozen included.
///
/// The usual steady clock stands still while a VM is frozen. A leader that thaws would believe in
/// a lease that ran out meanwhile, which shows as two leaders that both answer.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
