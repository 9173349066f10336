//! Seeds for what is spread at random.

use chicoryford_types::Fingerprint;
use chicoryford_types::Member;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Makes a generator that differs from process to process and from start to start, so that
/// processes which lose one parent at once do not all come back in the same millisecond.
pub fn generator(own: &Member) -> SmallRng {
    let seed = Fingerprint::of(own.node.as_str().as_bytes()).0 ^ own.incarnation.0;
    SmallRng::seed_from_u64(seed)
}
