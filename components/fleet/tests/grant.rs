//! Tests of the endpoints that a scorer's call is granted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_fleet::Grant;
use chicoryford_fleet::Scorer;
use chicoryford_fleet::grant::Standing;
use chicoryford_fleet::run::CallCost;
use chicoryford_fleet::run::Cost;
use quickcheck::quickcheck;

const ATTEMPTS: usize = 3;

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

fn grant(endpoints: &[&str]) -> Grant {
    Grant { endpoints: ids(endpoints), ended: BTreeSet::new() }
}

/// Extends a grant given the standings of all known endpoints.
fn extend(grant: &Grant, known: &BTreeMap<String, Standing>) -> Option<Grant> {
    let standing = |id: &str| known.get(id).copied().unwrap_or(Standing::Ended);
    let ready = known.iter().filter(|(_, standing)| **standing == Standing::Usable);
    grant.extension(ATTEMPTS, standing, ready.map(|(id, _)| id.clone()))
}

fn known(all: &[(&str, Standing)]) -> BTreeMap<String, Standing> {
    all.iter().map(|(id, standing)| ((*id).to_owned(), *standing)).collect()
}

/// Guards against replacing an endpoint that is draining or was not announced for a moment. It may
/// still run the call, and may become ready again.
#[test]
fn endpoints_that_are_not_ready_are_not_replaced() {
    use Standing::*;
    let known = known(&[("a", Unready), ("b", Unready), ("c", Unready), ("d", Usable)]);
    assert_eq!(extend(&grant(&["a", "b", "c"]), &known), None);
}

#[test]
fn endpoints_that_have_ended_are_replaced_if_too_few_are_usable() {
    use Standing::*;
    let all = [("a", Usable), ("b", Ended), ("c", Ended), ("d", Usable), ("e", Usable)];
    let added = extend(&grant(&["a", "b", "c"]), &known(&all)).unwrap();
    assert_eq!(added, Grant { endpoints: ids(&["d", "e"]), ended: ids(&["b", "c"]) });
    let enough = [("a", Usable), ("b", Usable), ("c", Ended), ("d", Usable)];
    assert_eq!(extend(&grant(&["a", "b", "c"]), &known(&enough)), None);
}

#[test]
fn endpoints_that_were_found_to_have_ended_are_not_called_again() {
    let added = Grant { endpoints: ids(&["d"]), ended: ids(&["b"]) };
    let scorer = Scorer { endpoints: ids(&["a", "b"]), ..Scorer::default() };
    let grant = Grant::of(&scorer, &added);
    let allowed: Vec<&str> =
        ["a", "b", "c", "d"].into_iter().filter(|id| grant.allows(id)).collect();
    assert_eq!(allowed, ["a", "d"]);
}

quickcheck! {
    /// Guards against grants that together name more live endpoints than a call may use, whatever
    /// becomes of the endpoints between two extensions.
    fn no_more_endpoints_than_allowed_are_granted_at_any_time(rounds: Vec<Vec<u8>>) -> bool {
        let mut all: BTreeMap<String, Standing> = BTreeMap::new();
        let mut granted = Grant::default();
        for round in rounds {
            for event in round {
                let id = format!("e{}", event % 8);
                let before = all.get(&id).copied();
                // An endpoint that has ended does not come back under its id.
                let next = match (before, event / 8 % 3) {
                    (Some(Standing::Ended), _) => Standing::Ended,
                    (_, 0) => Standing::Usable,
                    (_, 1) => Standing::Unready,
                    _ => Standing::Ended,
                };
                all.insert(id, next);
            }
            if let Some(added) = extend(&granted, &all) {
                granted.merge(&added);
            }
            let live = |id: &&String| all.get(*id).is_some_and(|one| *one != Standing::Ended);
            if granted.endpoints.iter().filter(live).count() > ATTEMPTS {
                return false;
            }
        }
        true
    }
}

/// Guards against a log of an earlier version, without the hosts that were lost, that cannot be
/// read.
#[test]
fn a_cost_without_lost_hosts_is_read() {
    let earlier = (3_u32, false, 2_u32, 1_u32, CallCost::default(), Grant::default());
    let cost: Cost = rmp_serde::from_slice(&rmp_serde::to_vec(&earlier).unwrap()).unwrap();
    assert_eq!(cost, Cost { failures: 3, crashes: 2, losses: 1, ..Cost::default() });
}
