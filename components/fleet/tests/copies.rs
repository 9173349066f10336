//! Where copies of parts lie, and when one counts no more.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chicoryford_fleet::copies::Placement;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::copies::Stores;
use chicoryford_types::Millis;

/// Where a store gives parts; the same for all where it does not matter.
fn address() -> SocketAddr {
    "10.0.0.1:7".parse().unwrap()
}

fn id(node: &str, identity: u64) -> StoreId {
    StoreId { node: node.to_owned(), identity }
}

fn stores() -> Stores {
    seen_from("elsewhere")
}

fn seen_from(here: &str) -> Stores {
    let mut stores = Stores::new(here, Millis(0));
    for (node, place) in [("a", "x"), ("b", "x"), ("c", "y"), ("d", "z")] {
        stores.connected(id(node, 1), place.to_owned(), address(), Millis(0));
    }
    stores
}

fn nodes(ids: &[StoreId]) -> Vec<&str> {
    ids.iter().map(|id| id.node.as_str()).collect()
}

#[test]
fn copies_lie_in_different_data_centres_first_and_evenly() {
    let mut stores = stores();
    let chosen = stores.choose(&BTreeSet::new(), &BTreeSet::new());
    assert_eq!(nodes(&chosen), ["a", "c", "d", "b"]);
    stores.record_put(&id("a", 1));
    let chosen = stores.choose(&BTreeSet::from([id("c", 1)]), &BTreeSet::from(["d".to_owned()]));
    assert_eq!(nodes(&chosen), ["b", "a"]);
}

/// Pattern: each part goes to two of three data centres. Spread evenly, two of three copies cross to
/// another one; where each byte between data centres is paid for, one near is one less.
#[test]
fn one_copy_lies_near_the_leader_and_the_others_elsewhere() {
    let mut stores = seen_from("y");
    for _ in 0..10 {
        let chosen = stores.choose(&BTreeSet::new(), &BTreeSet::new());
        assert_eq!(chosen[0], id("c", 1), "however many copies it has");
        chosen[..2].iter().for_each(|id| stores.record_put(id));
    }
    let second = stores.choose(&BTreeSet::from([id("c", 1)]), &BTreeSet::new());
    assert!(!nodes(&second[..1]).contains(&"c"));
}

#[test]
fn the_nearest_holder_that_is_connected_is_asked_first() {
    let mut stores = seen_from("y");
    let holders = BTreeSet::from([id("a", 1), id("c", 1), id("d", 2)]);
    assert_eq!(nodes(&stores.holders(&holders)), ["c", "a"], "d has another disk now");
    stores.disconnected(&id("c", 1), Millis(1));
    assert_eq!(nodes(&stores.holders(&holders)), ["a"]);
}

/// Symptom: what was accepted is gone after the second loss.
/// Sequence: a store loses its disk and comes back; the other copy's store loses its disk.
/// Cause: the first store still counted as holding what its lost disk held.
#[test]
fn a_store_that_lost_its_disk_is_another_store() {
    let mut stores = stores();
    let place = Placement::Stores(BTreeSet::from([id("a", 1), id("c", 1)]));
    assert_eq!(stores.counted_copies(&place, &BTreeSet::new(), Millis(1)).len(), 2);
    stores.disconnected(&id("a", 1), Millis(10));
    stores.connected(id("a", 2), "x".to_owned(), address(), Millis(20));
    let counted = stores.counted_copies(&place, &BTreeSet::new(), Millis(20));
    assert_eq!(nodes(&counted.iter().cloned().collect::<Vec<_>>()), ["c"]);
    let chosen = stores.choose(&counted, &BTreeSet::new());
    assert!(chosen.contains(&id("a", 2)), "its new disk can take a copy");
    stores.disconnected(&id("a", 1), Millis(30));
    assert!(stores.is_connected(&id("a", 2)), "an old connection's end says nothing of the new");
}

#[test]
fn a_store_that_is_away_for_a_moment_still_counts() {
    let mut stores = stores();
    stores.disconnected(&id("a", 1), Millis(1_000));
    assert!(stores.is_counted(&id("a", 1), Millis(3_400)));
    assert!(!stores.is_counted(&id("a", 1), Millis(3_500)));
    assert!(!stores.is_connected(&id("a", 1)));
    let unseen = id("e", 1);
    assert!(stores.is_counted(&unseen, Millis(2_400)), "it may not have found this leader yet");
    assert!(!stores.is_counted(&unseen, Millis(2_500)));
}

#[test]
fn a_store_that_is_to_be_emptied_counts_no_more() {
    let stores = stores();
    let place = Placement::Stores(BTreeSet::from([id("a", 1), id("c", 1)]));
    let leaving = BTreeSet::from(["a".to_owned()]);
    assert_eq!(stores.counted_copies(&place, &leaving, Millis(1)).len(), 1);
    assert_eq!(stores.count(|node| node != "a"), 3);
    assert!(stores.counted_copies(&Placement::Inline("x".into()), &leaving, Millis(1)).is_empty());
}

/// Pattern: many entries of several data centres read the same results. Texts that come through the
/// leader cross to each of them; a copy nearby need not cross at all.
#[test]
fn a_part_is_read_beside_its_reader_where_a_copy_lies() {
    let mut stores = Stores::new("x", Millis(0));
    let addresses: Vec<SocketAddr> =
        (1..=3).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect();
    for (place, (node, data_centre)) in [("a", "x"), ("b", "y"), ("c", "z")].iter().enumerate() {
        stores.connected(id(node, 1), (*data_centre).to_owned(), addresses[place], Millis(0));
    }
    let place = Placement::Stores(BTreeSet::from([id("a", 1), id("b", 1), id("c", 2)]));

    assert_eq!(stores.address_in(&place, "y"), Some(addresses[1]));
    assert_eq!(stores.address_in(&place, "z"), None, "its disk is another one");
    assert_eq!(stores.address_in(&place, "w"), None, "no copy lies there");
    assert_eq!(stores.address_in(&Placement::Inline("text".into()), "y"), None);
    stores.disconnected(&id("b", 1), Millis(1));
    assert_eq!(stores.address_in(&place, "y"), None, "it may be gone");
}
