//! What links carry is counted by kind of message, and apart for what crosses data centres.

use chicoryford_node::traffic::Direction;
use chicoryford_node::traffic::Traffic;

/// Bytes that each message takes beside its content.
const FRAME: u64 = 4;

#[test]
fn bytes_between_data_centres_are_told_apart_from_those_within_one() {
    let traffic = Traffic::new("ston");
    traffic.count("report", Direction::In, "novigrad", 100);
    traffic.count("report", Direction::In, "novigrad", 50);
    traffic.count("report", Direction::In, "ston", 1_000);
    traffic.count("work", Direction::Out, "split", 7);

    let (far, near) = traffic.take();

    assert_eq!(far.get("report"), Some(&(150 + 2 * FRAME)));
    assert_eq!(far.get("work"), Some(&(7 + FRAME)));
    assert_eq!(near, 1_000 + FRAME);
}

#[test]
fn what_was_taken_is_not_told_again() {
    let traffic = Traffic::new("ston");
    traffic.count("work", Direction::Out, "split", 7);
    traffic.take();

    let (far, near) = traffic.take();

    assert!(far.is_empty());
    assert_eq!(near, 0);
}
