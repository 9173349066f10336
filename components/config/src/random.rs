//! Random numbers for jitter and load spreading.

use chicoryford_types::Fingerprint;
use chicoryford_types::Member;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Creates a generator with a seed that differs between processes and between starts of a process,
/// so that processes that lose the same parent do not all reconnect in the same millisecond.
pub fn generator(own: &Member) -> SmallRng {
    let seed = Fingerprint::of(own.node.as_str().as_bytes()).0 ^ own.incarnation.0;
    SmallRng::seed_from_u64(seed)
}
