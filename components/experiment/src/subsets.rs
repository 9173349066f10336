//! Ways to draw subsets: how even, over how many data centres, and how much changes when a member
//! comes or goes.

use std::collections::BTreeSet;
use std::time::Instant;

use chicoryford_routing::subset::Candidate;
use chicoryford_routing::subset::mix_hashes;
use chicoryford_routing::subset::select_subset;
use chicoryford_types::DataCentre;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

const ENTRIES: usize = 390;
const ENDPOINTS: usize = 1_600;
const SIZE: usize = 48;

type Draw = fn(&str, &[&str], &[Candidate<'_>]) -> Vec<usize>;

/// Prints the ways beside each other.
pub fn run() {
    println!(
        "{:<22} {:>5} {:>5} {:>6} {:>4} {:>14} {:>14} {:>9}",
        "way", "least", "most", "spread", "dcs", "endpoint gone", "entry gone", "ms each"
    );
    show("rounds", rounds);
    show("ranked by hash", ranked);
    show("ranked, bounded", |own, entries, sites| select_subset(own, entries, sites, SIZE));
}

fn show(name: &str, draw: Draw) {
    let entries: Vec<String> = (0..ENTRIES).map(|n| format!("entry-{n}")).collect();
    let endpoints: Vec<String> = (0..ENDPOINTS).map(|n| format!("endpoint-{n}")).collect();
    let centres: Vec<DataCentre> = (0..10).map(|n| DataCentre(format!("dc-{n}"))).collect();
    let names: Vec<&str> = entries.iter().map(String::as_str).collect();
    let sites: Vec<Candidate<'_>> = endpoints
        .iter()
        .enumerate()
        .map(|(n, name)| Candidate { name, data_centre: &centres[n % 10] })
        .collect();
    let started = Instant::now();
    let before = all(draw, &names, &names, &sites);
    let ms = started.elapsed().as_secs_f64() * 1_000.0 / ENTRIES as f64;
    let mut counts = vec![0_usize; ENDPOINTS];
    let mut centres_least = usize::MAX;
    for picked in &before {
        let seen: BTreeSet<usize> = picked.iter().map(|n| n % 10).collect();
        centres_least = centres_least.min(seen.len());
        for n in picked {
            counts[*n] += 1;
        }
    }
    let least = counts.iter().min().copied().unwrap_or(0);
    let most = counts.iter().max().copied().unwrap_or(0);
    let mean = counts.iter().sum::<usize>() as f64 / ENDPOINTS as f64;
    let square: f64 = counts.iter().map(|c| (*c as f64 - mean).powi(2)).sum();
    let spread = (square / ENDPOINTS as f64).sqrt() / mean;

    let fewer: Vec<Candidate<'_>> =
        sites.iter().copied().filter(|site| site.name != "endpoint-777").collect();
    let after = all(draw, &names, &names, &fewer);
    let gone = changed(&before, &sites, &after, &fewer, Some("endpoint-777"));
    let others: Vec<&str> = names.iter().copied().filter(|name| *name != "entry-77").collect();
    let after = all(draw, &others, &others, &sites);
    let mut kept = before.clone();
    kept.remove(77);
    let entry = changed(&kept, &sites, &after, &sites, None);
    println!(
        "{name:<22} {least:>5} {most:>5} {spread:>6.3} {centres_least:>4} {gone:>14} {entry:>14} {ms:>9.2}"
    );
}

fn all(draw: Draw, owns: &[&str], names: &[&str], sites: &[Candidate<'_>]) -> Vec<Vec<usize>> {
    owns.iter().map(|own| draw(own, names, sites)).collect()
}

/// Counts the endpoints that entries newly use, over all entries.
fn changed(
    before: &[Vec<usize>],
    old: &[Candidate<'_>],
    after: &[Vec<usize>],
    new: &[Candidate<'_>],
    gone: Option<&str>,
) -> usize {
    let mut count = 0;
    for (b, a) in before.iter().zip(after) {
        let had: BTreeSet<&str> = b.iter().map(|n| old[*n].name).collect();
        count += a.iter().filter(|n| !had.contains(new[**n].name)).count();
    }
    let _ = gone;
    count
}

/// Rounds: the endpoints are shuffled anew for each round of entries, and each entry of a round
/// takes the next ones. Even, but each change of a number moves everything.
fn rounds(own: &str, entries: &[&str], sites: &[Candidate<'_>]) -> Vec<usize> {
    let place = entries.iter().position(|name| *name == own).unwrap_or(0);
    let each = sites.len() / SIZE;
    let mut order: Vec<usize> = (0..sites.len()).collect();
    order.shuffle(&mut SmallRng::seed_from_u64((place / each) as u64));
    let from = place % each * SIZE;
    order[from..from + SIZE].to_vec()
}

/// The highest of a hash of both names. Changes little, but is uneven.
fn ranked(own: &str, _: &[&str], sites: &[Candidate<'_>]) -> Vec<usize> {
    let hash = |text: &str| {
        text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    let own = mix_hashes(hash(own), 1);
    let mut keys: Vec<(u64, usize)> = sites
        .iter()
        .enumerate()
        .map(|(n, s)| (mix_hashes(own, mix_hashes(hash(s.name), 2)), n))
        .collect();
    keys.select_nth_unstable(SIZE);
    keys.truncate(SIZE);
    keys.into_iter().map(|(_, n)| n).collect()
}
