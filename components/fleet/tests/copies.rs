//! Tests of the placement of copies and of which copies count.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chicoryford_fleet::copies::Placement;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::copies::StoreShortage;
use chicoryford_fleet::copies::Stores;
use chicoryford_types::Millis;

/// The address of a store, for tests in which it does not matter.
fn address() -> SocketAddr {
    "10.0.0.1:7".parse().unwrap()
}

fn id(node: &str, identity: u64) -> StoreId {
    StoreId { node: node.to_owned(), identity }
}

fn stores() -> Stores {
    stores_near("elsewhere")
}

fn stores_near(data_centre: &str) -> Stores {
    let mut stores = Stores::new(data_centre, Millis(0));
    for (node, store_data_centre) in [("a", "x"), ("b", "x"), ("c", "y"), ("d", "z")] {
        stores.connected(id(node, 1), store_data_centre.to_owned(), address(), Millis(0));
    }
    stores
}

fn nodes(ids: &[StoreId]) -> Vec<&str> {
    ids.iter().map(|id| id.node.as_str()).collect()
}

#[test]
fn copies_go_to_different_data_centres_first_and_evenly() {
    let mut stores = stores();
    let chosen = stores.choose(&BTreeSet::new(), &BTreeSet::new());
    assert_eq!(nodes(&chosen), ["a", "c", "d", "b"]);
    stores.record_put(&id("a", 1));
    let chosen = stores.choose(&BTreeSet::from([id("c", 1)]), &BTreeSet::from(["d".to_owned()]));
    assert_eq!(nodes(&chosen), ["b", "a"]);
}

/// Each part is stored in two of three data centres. With an even distribution, two of three copies
/// are sent to another data centre; where this traffic is charged, one local copy saves one of
/// them.
#[test]
fn one_copy_is_stored_near_the_leader_and_the_others_elsewhere() {
    let mut stores = stores_near("y");
    for _ in 0..10 {
        let chosen = stores.choose(&BTreeSet::new(), &BTreeSet::new());
        assert_eq!(chosen[0], id("c", 1), "regardless of how many copies it has");
        chosen[..2].iter().for_each(|id| stores.record_put(id));
    }
    let second = stores.choose(&BTreeSet::from([id("c", 1)]), &BTreeSet::new());
    assert!(!nodes(&second[..1]).contains(&"c"));
}

#[test]
fn the_nearest_connected_holder_is_first() {
    let mut stores = stores_near("y");
    let holders = BTreeSet::from([id("a", 1), id("c", 1), id("d", 2)]);
    assert_eq!(nodes(&stores.holders(&holders)), ["c", "a"], "d has a new disk");
    stores.disconnected(&id("c", 1), Millis(1));
    assert_eq!(nodes(&stores.holders(&holders)), ["a"]);
}

/// Guards against losing accepted data with the second lost disk: a store lost its disk and came
/// back, but still counted as a holder of its old parts when the store of the other copy lost its
/// disk.
#[test]
fn a_store_that_lost_its_disk_is_another_store() {
    let mut stores = stores();
    let placement = Placement::Stores(BTreeSet::from([id("a", 1), id("c", 1)]));
    assert_eq!(stores.counted_copies(&placement, &BTreeSet::new(), Millis(1)).len(), 2);
    stores.disconnected(&id("a", 1), Millis(10));
    stores.connected(id("a", 2), "x".to_owned(), address(), Millis(20));
    let counted = stores.counted_copies(&placement, &BTreeSet::new(), Millis(20));
    assert_eq!(nodes(&counted.iter().cloned().collect::<Vec<_>>()), ["c"]);
    let chosen = stores.choose(&counted, &BTreeSet::new());
    assert!(chosen.contains(&id("a", 2)), "its new disk can store a copy");
    stores.disconnected(&id("a", 1), Millis(30));
    assert!(
        stores.is_connected(&id("a", 2)),
        "the end of the old connection does not affect the new one"
    );
}

#[test]
fn a_store_that_is_briefly_disconnected_still_counts() {
    let mut stores = stores();
    stores.disconnected(&id("a", 1), Millis(1_000));
    assert!(stores.is_counted(&id("a", 1), Millis(3_400)));
    assert!(!stores.is_counted(&id("a", 1), Millis(3_500)));
    assert!(!stores.is_connected(&id("a", 1)));
    let unseen = id("e", 1);
    assert!(
        stores.is_counted(&unseen, Millis(2_400)),
        "it may not have connected to this leader yet"
    );
    assert!(!stores.is_counted(&unseen, Millis(2_500)));
}

#[test]
fn a_store_that_is_to_be_emptied_does_not_count() {
    let stores = stores();
    let placement = Placement::Stores(BTreeSet::from([id("a", 1), id("c", 1)]));
    let leaving = BTreeSet::from(["a".to_owned()]);
    assert_eq!(stores.counted_copies(&placement, &leaving, Millis(1)).len(), 1);
    assert_eq!(stores.count(|node| node != "a"), 3);
    assert!(stores.counted_copies(&Placement::Inline("x".into()), &leaving, Millis(1)).is_empty());
}

/// Many entries in several data centres read the same results. Texts sent through the leader cross
/// to another data centre for each of them; a local copy does not.
#[test]
fn a_part_is_read_in_the_data_centre_of_its_reader_if_a_copy_is_there() {
    let mut stores = Stores::new("x", Millis(0));
    let addresses: Vec<SocketAddr> =
        (1..=3).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect();
    for (index, (node, data_centre)) in [("a", "x"), ("b", "y"), ("c", "z")].iter().enumerate() {
        stores.connected(id(node, 1), (*data_centre).to_owned(), addresses[index], Millis(0));
    }
    let placement = Placement::Stores(BTreeSet::from([id("a", 1), id("b", 1), id("c", 2)]));

    assert_eq!(stores.address_in(&placement, "y"), Some(addresses[1]));
    assert_eq!(stores.address_in(&placement, "z"), None, "it has a new disk");
    assert_eq!(stores.address_in(&placement, "w"), None, "no copy is stored there");
    assert_eq!(stores.address_in(&Placement::Inline("text".into()), "y"), None);
    stores.disconnected(&id("b", 1), Millis(1));
    assert_eq!(stores.address_in(&placement, "y"), None, "it is not connected");
}

/// Guards against a fleet that is left with fewer stores than copies of each part, and against a
/// retirement that is refused although enough stores remain.
#[test]
fn a_store_is_retired_only_if_enough_others_run() {
    for tolerated in 0..4 {
        let needed = tolerated as usize + 1;
        for left in 0..needed {
            let shortage = StoreShortage { left, needed };
            assert_eq!(StoreShortage::after_retirement(left, tolerated), Some(shortage));
        }
        assert_eq!(StoreShortage::after_retirement(needed, tolerated), None);
        assert_eq!(StoreShortage::after_retirement(needed + 1, tolerated), None);
    }
}
