//! Subsets at the target size: evenly distributed, spread over data centres, and stable.

use std::collections::BTreeSet;

use chicoryford_routing::subset::Candidate;
use chicoryford_routing::subset::select_subset;
use chicoryford_types::DataCentre;

const ENTRIES: usize = 390;
const ENDPOINTS: usize = 1_600;
const SIZE: usize = 48;

fn subsets_of_all(entries: &[&str], candidates: &[Candidate<'_>]) -> Vec<Vec<usize>> {
    entries.iter().map(|own| select_subset(own, entries, candidates, SIZE)).collect()
}

#[test]
fn can_select_even_and_stable_subsets_over_all_data_centres() {
    let entries: Vec<String> = (0..ENTRIES).map(|n| format!("entry-{n}")).collect();
    let names: Vec<&str> = entries.iter().map(String::as_str).collect();
    let endpoints: Vec<String> = (0..ENDPOINTS).map(|n| format!("endpoint-{n}")).collect();
    let centres: Vec<DataCentre> = (0..10).map(|n| DataCentre(format!("dc-{n}"))).collect();
    let candidate = |(n, name)| Candidate { name, data_centre: &centres[n % 10] };
    let candidates: Vec<Candidate<'_>> =
        endpoints.iter().map(String::as_str).enumerate().map(candidate).collect();
    let before = subsets_of_all(&names, &candidates);
    let mut counts = vec![0; ENDPOINTS];
    for subset in &before {
        assert!(subset.len().abs_diff(SIZE) <= 10);
        assert!(subset.iter().map(|n| n % 10).collect::<BTreeSet<_>>().len() >= 3);
        subset.iter().for_each(|n| counts[*n] += 1);
    }
    assert!(counts.iter().all(|count| (6..=14).contains(count)), "{counts:?}");

    let after = subsets_of_all(&names, &candidates[..ENDPOINTS - 1]);
    let changed: usize =
        before.iter().zip(&after).map(|(b, a)| a.iter().filter(|n| !b.contains(n)).count()).sum();
    assert!(changed < ENTRIES, "the loss of one endpoint changed {changed} subset members");
}

#[test]
fn can_use_every_endpoint_of_a_small_deployment() {
    let centre = DataCentre::from("dc");
    let names: Vec<String> = (0..10).map(|n| n.to_string()).collect();
    let candidates: Vec<Candidate<'_>> =
        names.iter().map(|name| Candidate { name, data_centre: &centre }).collect();
    assert_eq!(select_subset("entry-0", &["entry-0", "entry-1"], &candidates, SIZE).len(), 10);
}
