//! Which endpoints of a model an entry uses (docs/ROUTING.md).
//!
//! If each of 390 entries used all 1,600 samplers, each sampler would hold 390 connections and send
//! its reports over all of them, which exceeds the traffic budget. Each entry therefore uses a
//! subset. It computes the subsets of all entries from the members alone, without a message.

use std::collections::BTreeMap;

use chicoryford_types::DataCentre;
use xxhash_rust::xxh3::xxh3_64;

/// How many subsets an endpoint may be ahead of its fair share.
const MAX_AHEAD: usize = 1;

/// An endpoint that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
}

/// Returns the indices in `candidates` of the endpoints that the entry `own` uses, at most about
/// `size`.
///
/// Every entry ranks the endpoints by a hash of both names, which changes little when members join
/// or leave. Ranking alone would put some endpoints in twice as many subsets as others. The entries
/// therefore choose one after the other, in the order of the hashes of their names, and skip an
/// endpoint that is ahead of its fair share. The fair share so far follows from the entry's hash
/// and not from its position in that order, because the positions of all later entries shift when
/// one leaves. Data centres get a share of the subset by the number of their endpoints, at least
/// one each, so that an entry keeps most of its subset when a data centre is lost.
pub fn select_subset(
    own: &str,
    entries: &[&str],
    candidates: &[Candidate<'_>],
    size: usize,
) -> Vec<usize> {
    if candidates.len() <= size || entries.is_empty() {
        return (0..candidates.len()).collect();
    }
    let groups = group_by_data_centre(candidates, size);
    let keys: Vec<u64> =
        candidates.iter().map(|candidate| xxh3_64(candidate.name.as_bytes())).collect();
    let mut order: Vec<(u64, &str)> =
        entries.iter().map(|name| (xxh3_64(name.as_bytes()), *name)).collect();
    order.sort_unstable();
    let mut selected_by = vec![0_usize; candidates.len()];
    let fair_share = (entries.len() * size) as f64 / candidates.len() as f64;
    for (hash, name) in order {
        let max_selected = (hash as f64 / u64::MAX as f64 * fair_share).ceil() as usize + MAX_AHEAD;
        let selected = select(hash, &groups, &keys, &mut selected_by, max_selected);
        if name == own {
            return selected;
        }
    }
    select(xxh3_64(own.as_bytes()), &groups, &keys, &mut selected_by, usize::MAX)
}

struct DataCentreGroup {
    candidates: Vec<usize>,
    quota: usize,
}

fn group_by_data_centre(candidates: &[Candidate<'_>], size: usize) -> Vec<DataCentreGroup> {
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<usize>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        by_data_centre.entry(candidate.data_centre).or_default().push(index);
    }
    let quota = |count: usize| (count * size + candidates.len() / 2) / candidates.len();
    by_data_centre
        .into_values()
        .map(|candidates| DataCentreGroup { quota: quota(candidates.len()).max(1), candidates })
        .collect()
}

fn select(
    hash: u64,
    groups: &[DataCentreGroup],
    keys: &[u64],
    selected_by: &mut [usize],
    max_selected: usize,
) -> Vec<usize> {
    let mut selected = Vec::new();
    let mut ranked = Vec::new();
    for group in groups {
        ranked.clear();
        let available = group.candidates.iter().filter(|index| selected_by[**index] < max_selected);
        ranked.extend(available.map(|index| (mix_hashes(hash, keys[*index]), *index)));
        if ranked.len() < group.quota {
            // An uneven subset is better than one without this data centre.
            ranked.clear();
            ranked.extend(
                group.candidates.iter().map(|index| (mix_hashes(hash, keys[*index]), *index)),
            );
        }
        let quota = group.quota.min(ranked.len());
        if quota < ranked.len() && quota > 0 {
            ranked.select_nth_unstable(quota);
        }
        for (_, index) in &ranked[..quota] {
            selected_by[*index] += 1;
            selected.push(*index);
        }
    }
    selected.sort_unstable();
    selected
}

/// Mixes two hashes into one that is practically independent of both.
pub fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
