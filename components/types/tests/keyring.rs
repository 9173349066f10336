//! Keyrings find the holders of keys and store only digests.

use chicoryford_types::Digest;
use chicoryford_types::Keyring;

fn keyring(keys: &[(&str, u32)]) -> Keyring<u32> {
    Keyring::new(keys.iter().map(|(key, holder)| (Digest::of(key.as_bytes()), *holder)))
}

#[test]
fn finds_the_holder_of_each_key_and_of_no_other() {
    let keys: Vec<String> = (0..1_000).map(|number| format!("key-{number}")).collect();
    let keyring =
        Keyring::new(keys.iter().zip(0..).map(|(key, n)| (Digest::of(key.as_bytes()), n)));
    for (key, number) in keys.iter().zip(0..) {
        assert_eq!(keyring.holder(key), Some(&number));
    }
    for unknown in ["", "key", "key-1000", "KEY-1", "key-1 "] {
        assert_eq!(keyring.holder(unknown), None);
    }
}

#[test]
fn debug_output_contains_no_key() {
    let output = format!("{:?}", keyring(&[("a-secret", 1)]));
    assert!(!output.contains("a-secret"), "{output}");
}
