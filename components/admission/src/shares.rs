//! How the limits of a workspace are divided among entries without a message per request.

use chicoryford_types::Node;
use serde::Deserialize;
use serde::Serialize;

/// The part of a workspace's limits that an entry may use until it receives the next lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Lease {
    /// Requests per second.
    pub rate: f32,
    /// Concurrent requests.
    pub running: u32,
}

impl Lease {
    /// Returns the lease that applies until the first template arrives.
    pub fn unset() -> Self {
        Self { rate: 1_000.0, running: 1_000 }
    }
}

/// The demand that an entry received in the last period.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Demand {
    /// The entry.
    pub node: Node,
    /// Requests received, counted before admission.
    pub asked: u64,
}

/// Returns one entry's share of a limit that is divided evenly among `entries`; `rank` is the
/// entry's index among them in the order of their names.
///
/// No message is needed, because every entry has the list of members. While two entries see
/// different members, for the seconds that a change takes to spread, the sum of the shares may
/// exceed the limit.
pub fn even_share(limit: u32, entries: u32, rank: u32) -> u32 {
    let entries = entries.max(1);
    limit / entries + u32::from(rank < limit % entries)
}

/// Divides a limit by demand (max-min fairness): each entry gets its demand if the limit covers all
/// of them; otherwise no entry gets more than another whose demand is not met. The remainder is
/// divided evenly, so that demand which moves to another entry finds capacity there before the next
/// period.
pub fn split_by_demand(limit: u32, demands: &[u64]) -> Vec<u32> {
    let mut shares = vec![0_u32; demands.len()];
    let mut remaining = limit;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| (demands[*index], *index));
    for (done, index) in order.iter().enumerate() {
        let unserved = (demands.len() - done) as u32;
        let even = remaining / unserved;
        shares[*index] = even.min(demands[*index].min(u64::from(u32::MAX)) as u32);
        remaining -= shares[*index];
    }
    let entries = demands.len() as u32;
    for (rank, share) in shares.iter_mut().enumerate() {
        *share += even_share(remaining, entries, rank as u32);
    }
    shares
}
