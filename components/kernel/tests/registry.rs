//! Tests that services are found by name and type.

use chicoryford_kernel::Registry;
use chicoryford_kernel::registry::MissingService;

#[test]
fn can_find_a_registered_service() {
    let registry = Registry::default();
    registry.offer("answer", 42_u32);
    assert_eq!(*registry.find::<u32>("answer").unwrap(), 42);
    assert_eq!(registry.find::<u64>("answer"), Err(MissingService("answer")));
    assert_eq!(registry.find::<u32>("question"), Err(MissingService("question")));
}
