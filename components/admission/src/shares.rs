//! How the limits of a workspace are shared over entries without a message a request.

use chicoryford_types::Node;
use serde::Deserialize;
use serde::Serialize;

/// What an entry may use of a workspace's limits, until it gets another lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Lease {
    /// Requests a second.
    pub rate: f32,
    /// Requests in progress.
    pub running: u32,
}

impl Lease {
    /// Gives what holds until the first template is seen.
    pub fn unset() -> Self {
        Self { rate: 1_000.0, running: 1_000 }
    }
}

/// What an entry was asked for in the last period.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Demand {
    /// The entry.
    pub node: Node,
    /// Requests, counted before any was refused.
    pub asked: u64,
}

/// Splits a limit evenly over `entries`; `rank` is the place of this entry among them by name.
///
/// This holds without any message: all entries know the members. While two entries see different
/// members, for the seconds that news takes, the shares may add up to more.
pub fn even_share(limit: u32, entries: u32, rank: u32) -> u32 {
    let entries = entries.max(1);
    limit / entries + u32::from(rank < limit % entries)
}

/// Splits a limit by demand: each entry gets what it asked for if all fit, and else none gets
/// more than the others that still want more (max-min fairness). What is left is split evenly,
/// so that a demand that moves to another entry finds room there before the next period.
pub fn split_by_demand(limit: u32, demands: &[u64]) -> Vec<u32> {
    let mut given = vec![0_u32; demands.len()];
    let mut left = limit;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|n| (demands[*n], *n));
    for (done, n) in order.iter().enumerate() {
        let others = (demands.len() - done) as u32;
        let fair = left / others;
        given[*n] = fair.min(demands[*n].min(u64::from(u32::MAX)) as u32);
        left -= given[*n];
    }
    let entries = demands.len() as u32;
    for (rank, share) in given.iter_mut().enumerate() {
        *share += even_share(left, entries, rank as u32);
    }
    given
}
