//! Traffic is counted by kind of message, and separately for traffic between data centres.

use chicoryford_node::traffic::Direction;
use chicoryford_node::traffic::Traffic;

/// Bytes of each message in addition to its content.
const LENGTH_PREFIX_BYTES: u64 = 4;

#[test]
fn traffic_between_data_centres_is_counted_separately() {
    let traffic = Traffic::new("ston");
    traffic.count("report", Direction::In, "novigrad", 100);
    traffic.count("report", Direction::In, "novigrad", 50);
    traffic.count("report", Direction::In, "ston", 1_000);
    traffic.count("work", Direction::Out, "split", 7);

    let (far, near) = traffic.take();

    assert_eq!(far.get("report"), Some(&(150 + 2 * LENGTH_PREFIX_BYTES)));
    assert_eq!(far.get("work"), Some(&(7 + LENGTH_PREFIX_BYTES)));
    assert_eq!(near, 1_000 + LENGTH_PREFIX_BYTES);
}

#[test]
fn taking_the_counts_resets_them() {
    let traffic = Traffic::new("ston");
    traffic.count("work", Direction::Out, "split", 7);
    traffic.take();

    let (far, near) = traffic.take();

    assert!(far.is_empty());
    assert_eq!(near, 0);
}
