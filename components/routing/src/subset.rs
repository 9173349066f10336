//! Which endpoints of a model an entry uses (docs/ROUTING.md).
//!
//! If 390 entries each used all 1,600 samplers, each sampler would hold 390 connections and send
//! its reports to all of them, past the budget of bytes. Each entry works out the subsets of all
//! entries from the members alone, without a message, and so knows its own.

use std::collections::BTreeMap;

use chicoryford_types::DataCentre;
use xxhash_rust::xxh3::xxh3_64;

/// How many subsets an endpoint may be ahead of its fair number.
const MAX_AHEAD: usize = 1;

/// An endpoint as a subset sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it stands.
    pub data_centre: &'a DataCentre,
}

/// Gives the places in `sites` of the endpoints that entry `own` uses, at most about `size`.
///
/// Every entry ranks the endpoints by a hash of both names, which changes little when members
/// come and go. Ranking alone would leave some endpoints in twice as many subsets as others, so
/// the entries choose one after the other, in the order of their names' hashes, and an endpoint
/// that is ahead of its fair number is passed over. What is fair so far follows from the hash and
/// not from the place in the order, which would shift for all when one entry leaves. Data centres get places by the number of their endpoints, at
/// least one each, so that the loss of one data centre leaves an entry most of its subset.
pub fn select_subset(
    own: &str,
    entries: &[&str],
    sites: &[Candidate<'_>],
    size: usize,
) -> Vec<usize> {
    if sites.len() <= size || entries.is_empty() {
        return (0..sites.len()).collect();
    }
    let groups = group_by_data_centre(sites, size);
    let keys: Vec<u64> = sites.iter().map(|site| xxh3_64(site.name.as_bytes())).collect();
    let mut order: Vec<(u64, &str)> =
        entries.iter().map(|name| (xxh3_64(name.as_bytes()), *name)).collect();
    order.sort_unstable();
    let mut taken = vec![0_usize; sites.len()];
    let fair = (entries.len() * size) as f64 / sites.len() as f64;
    for (hash, name) in order {
        let most = (hash as f64 / u64::MAX as f64 * fair).ceil() as usize + MAX_AHEAD;
        let picked = pick(hash, &groups, &keys, &mut taken, most);
        if name == own {
            return picked;
        }
    }
    pick(xxh3_64(own.as_bytes()), &groups, &keys, &mut taken, usize::MAX)
}

struct Group {
    sites: Vec<usize>,
    quota: usize,
}

fn group_by_data_centre(sites: &[Candidate<'_>], size: usize) -> Vec<Group> {
    let mut by: BTreeMap<&DataCentre, Vec<usize>> = BTreeMap::new();
    for (n, site) in sites.iter().enumerate() {
        by.entry(site.data_centre).or_default().push(n);
    }
    let quota = |count: usize| (count * size + sites.len() / 2) / sites.len();
    by.into_values().map(|sites| Group { quota: quota(sites.len()).max(1), sites }).collect()
}

fn pick(hash: u64, groups: &[Group], keys: &[u64], taken: &mut [usize], most: usize) -> Vec<usize> {
    let mut picked = Vec::new();
    let mut ranked = Vec::new();
    for group in groups {
        ranked.clear();
        let open = group.sites.iter().filter(|n| taken[**n] < most);
        ranked.extend(open.map(|n| (mix_hashes(hash, keys[*n]), *n)));
        if ranked.len() < group.quota {
            // An uneven draw is better than a subset without this data centre.
            ranked.clear();
            ranked.extend(group.sites.iter().map(|n| (mix_hashes(hash, keys[*n]), *n)));
        }
        let quota = group.quota.min(ranked.len());
        if quota < ranked.len() && quota > 0 {
            ranked.select_nth_unstable(quota);
        }
        for (_, n) in &ranked[..quota] {
            taken[*n] += 1;
            picked.push(*n);
        }
    }
    picked.sort_unstable();
    picked
}

/// Mixes two hashes into one that looks independent of both.
pub fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
