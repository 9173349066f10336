//! Tells a process that follows a leader only the endpoints that it lacks.
//!
//! After a change of leader, every follower needs the new leader's endpoints, but nearly all of them
//! are already known to it. If the leader sent all endpoints to each follower, its work would grow
//! with the product of both numbers, and followers would lose a leader that is busy with it and
//! start over (docs/SCALE.md). Both sides therefore divide the endpoints into ranges by a hash of
//! their ids and compare a digest of each range. Only ranges that differ are sent, and each is
//! encoded once for all followers.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::ops::RangeInclusive;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::Endpoint;

/// Endpoints per range. A change of one endpoint makes a follower receive its whole range.
const ENDPOINTS_PER_RANGE: usize = 16;
/// Number of the smallest ranges, of which larger ones consist. It is a power of two.
const SMALLEST_RANGES: usize = 4_096;

/// The endpoints of one range.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RangeContent {
    /// The index of the range.
    pub range: u32,
    /// The number of ranges into which the endpoints are divided.
    pub count: u32,
    /// The encoded endpoints, in the order of their ids.
    pub endpoints: Bytes,
}

/// The ids of known endpoints by range, with digests of their state.
///
/// Sequence numbers of announcements are not part of the state: they change every second, and
/// followers are not told.
#[derive(Debug, Default)]
pub struct RangeIndex {
    /// The digest of each endpoint by its smallest range and its id.
    endpoints: BTreeMap<(u16, String), u64>,
    /// The digest of each smallest range; empty while there are no endpoints.
    digests: Vec<u64>,
}

impl RangeIndex {
    /// Adds an endpoint, or replaces its state.
    pub fn insert(&mut self, endpoint: &Endpoint) {
        let key = key(&endpoint.announcement.id);
        let slot = usize::from(key.0);
        let digest = endpoint_digest(endpoint);
        self.digests.resize(SMALLEST_RANGES, 0);
        let before = self.endpoints.insert(key, digest);
        self.digests[slot] ^= before.unwrap_or_default() ^ digest;
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        let key = key(id);
        if let Some(digest) = self.endpoints.remove(&key) {
            self.digests[usize::from(key.0)] ^= digest;
        }
    }

    /// Returns the number of ranges, which grows with the number of endpoints.
    pub fn count(&self) -> usize {
        let wanted = self.endpoints.len() / ENDPOINTS_PER_RANGE;
        wanted.next_power_of_two().min(SMALLEST_RANGES)
    }

    /// Returns the digests of all ranges.
    pub fn digests(&self) -> Vec<u64> {
        self.merged_digests(self.count())
    }

    /// Returns the digests of `count` ranges, which must be a power of two.
    fn merged_digests(&self, count: usize) -> Vec<u64> {
        if self.digests.is_empty() {
            return vec![0; count];
        }
        let merge = |digests: &[u64]| digests.iter().fold(0, |merged, digest| merged ^ digest);
        self.digests.chunks(SMALLEST_RANGES / count).map(merge).collect()
    }

    /// Returns the ranges whose endpoints differ from those of a process with these digests. The
    /// two processes may have different numbers of ranges.
    pub fn differing(&self, theirs: &[u64]) -> Vec<usize> {
        let count = self.count();
        if !theirs.len().is_power_of_two() || theirs.len() > SMALLEST_RANGES {
            return (0..count).collect();
        }
        let common = count.min(theirs.len());
        let own = self.merged_digests(common);
        let merged = theirs.chunks(theirs.len() / common);
        let merged = merged.map(|digests| digests.iter().fold(0, |merged, digest| merged ^ digest));
        let differs: Vec<bool> = own.iter().zip(merged).map(|(own, their)| *own != their).collect();
        (0..count).filter(|range| differs[range * common / count]).collect()
    }

    /// Returns the ids of one of `count` ranges in ascending order.
    pub fn ids(&self, range: usize, count: usize) -> Vec<&str> {
        let Some(slots) = smallest_ranges(range, count) else { return Vec::new() };
        let first = (*slots.start(), String::new());
        let in_range = self.endpoints.range(first..).map(|(key, _)| key);
        let in_range = in_range.take_while(|(slot, _)| slots.contains(slot));
        let mut ids: Vec<&str> = in_range.map(|(_, id)| id.as_str()).collect();
        ids.sort_unstable();
        ids
    }
}

/// The ranges of a leader's endpoints, encoded for its followers.
#[derive(Debug, Default)]
pub struct RangeCache {
    index: RangeIndex,
    /// The encoded ranges that have not changed since.
    encoded: BTreeMap<usize, Bytes>,
    /// The number of ranges in `encoded`.
    count: usize,
}

impl RangeCache {
    /// Adds an endpoint, or replaces its state.
    pub fn insert(&mut self, endpoint: &Endpoint) {
        self.index.insert(endpoint);
        self.invalidate(&endpoint.announcement.id);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        self.index.remove(id);
        self.invalidate(id);
    }

    fn invalidate(&mut self, id: &str) {
        let count = self.index.count();
        if self.count != count {
            self.count = count;
            self.encoded.clear();
        }
        let range = usize::from(key(id).0) * count / SMALLEST_RANGES;
        self.encoded.remove(&range);
    }

    /// Returns the ranges that a follower with these digests lacks. `encode` encodes the endpoints
    /// of a range, given their ids.
    pub fn lacking(
        &mut self,
        theirs: &[u64],
        encode: impl Fn(&[&str]) -> Bytes,
    ) -> Vec<RangeContent> {
        let count = self.index.count();
        let lacking = self.index.differing(theirs).into_iter().map(|range| {
            let encoded = self.encoded.entry(range);
            let endpoints = encoded.or_insert_with(|| encode(&self.index.ids(range, count)));
            RangeContent { range: range as u32, count: count as u32, endpoints: endpoints.clone() }
        });
        lacking.collect()
    }
}

/// Returns the key of an endpoint in an index.
fn key(id: &str) -> (u16, String) {
    let slot = xxh3_64(id.as_bytes()) % SMALLEST_RANGES as u64;
    (slot as u16, id.to_owned())
}

/// Returns the smallest ranges of which one of `count` ranges consists; `None` if there is no such
/// range.
fn smallest_ranges(range: usize, count: usize) -> Option<RangeInclusive<u16>> {
    if !count.is_power_of_two() || count > SMALLEST_RANGES || range >= count {
        return None;
    }
    let width = SMALLEST_RANGES / count;
    Some((range * width) as u16..=(range * width + width - 1) as u16)
}

/// Returns the digest of an endpoint's state.
fn endpoint_digest(endpoint: &Endpoint) -> u64 {
    let mut hasher = Xxh3::new();
    (endpoint.announcement.state(), endpoint.status).hash(&mut hasher);
    hasher.finish()
}
