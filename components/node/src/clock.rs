//! The clock for all that other processes rely on.

use chicoryford_types::Millis;
use chicoryford_types::Unix;
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

/// Reads this VM's time of day, which may be wrong by seconds; the fleet's is told by the leader
/// ([`crate::view::View::wall`]).
pub fn wall() -> Unix {
    let time = clock_gettime(ClockId::Realtime);
    Unix(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
