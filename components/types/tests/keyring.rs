//! Keys are known by their digests alone.

use chicoryford_types::Digest;
use chicoryford_types::Keyring;

fn ring(keys: &[(&str, u32)]) -> Keyring<u32> {
    Keyring::new(keys.iter().map(|(key, holder)| (Digest::of(key.as_bytes()), *holder)))
}

#[test]
fn finds_the_holder_of_each_key_and_of_no_other() {
    let keys: Vec<String> = (0..1_000).map(|number| format!("key-{number}")).collect();
    let ring = Keyring::new(keys.iter().zip(0..).map(|(key, n)| (Digest::of(key.as_bytes()), n)));
    for (key, number) in keys.iter().zip(0..) {
        assert_eq!(ring.holder(key), Some(&number));
    }
    for unknown in ["", "key", "key-1000", "KEY-1", "key-1 "] {
        assert_eq!(ring.holder(unknown), None);
    }
}

#[test]
fn shows_no_key() {
    let shown = format!("{:?}", ring(&[("a-secret", 1)]));
    assert!(!shown.contains("a-secret"), "{shown}");
}
