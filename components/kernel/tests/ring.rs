//! Tests that rings are bounded.

use chicoryford_kernel::ring;
use chicoryford_kernel::ring::RingError;

#[test]
fn errors_on_a_full_ring_and_returns_the_item() {
    let (sender, mut receiver) = ring(1);
    sender.offer(1).unwrap();
    assert!(matches!(sender.offer(2), Err(RingError::Full(2))));
    assert_eq!(receiver.take(), Some(1));
    drop(receiver);
    assert!(matches!(sender.offer(3), Err(RingError::Closed(3))));
}
