//! The clocks of this process.

use chicoryford_types::Unix;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

pub use chicoryford_kernel::clock::now;

/// Returns this VM's wall clock time, which may be wrong by seconds. The leader distributes the
/// fleet's wall clock time ([`crate::view::View::wall`]).
pub fn wall() -> Unix {
    let time = clock_gettime(ClockId::Realtime);
    Unix(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
