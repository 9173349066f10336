//! Key files: rotation of tokens, and errors on malformed lines.

use std::fs;
use std::time::SystemTime;

use chicoryford_types::Principal;
use chicoryford_wire::Keys;
use chicoryford_wire::keys::Kind;
use chicoryford_wire::keys::read_holders;

#[test]
fn can_rotate_tokens_without_a_restart() {
    let file = tempfile::NamedTempFile::new().unwrap();
    fs::write(file.path(), "caller desk old-token\n").unwrap();
    let keys = Keys::load(file.path()).unwrap();
    assert_eq!(keys.identify("old-token").unwrap().principal, Principal::from("desk"));
    assert_eq!(keys.identify("new-token"), None);
    fs::write(file.path(), "# both hold\ncaller desk new-token # rotated\n").unwrap();
    let later = SystemTime::now() + std::time::Duration::from_secs(5);
    file.as_file().set_modified(later).unwrap();
    assert!(keys.refresh().unwrap());
    assert_eq!(keys.identify("old-token"), None);
    assert!(keys.identify("new-token").is_some());
}

#[test]
fn errors_on_a_malformed_line_without_showing_it() {
    let file = tempfile::NamedTempFile::new().unwrap();
    fs::write(file.path(), "caller desk\n").unwrap();
    let error = Keys::load(file.path()).err().unwrap().to_string();
    let rest = error.strip_prefix(&file.path().display().to_string()).unwrap();
    assert_eq!(rest, ":1: a key reads `<caller|trainer|operator|process> <name> <token>`");
}

/// Guards against a check of templates that prints tokens or reports callers with a key as unknown.
#[test]
fn can_read_holders_without_tokens() {
    let file = tempfile::NamedTempFile::new().unwrap();
    fs::write(file.path(), "caller desk secret-token\ntrainer coach other-token\n").unwrap();
    let holders = read_holders(file.path()).unwrap();
    let kinds: Vec<_> = holders.iter().map(|h| (h.kind, h.principal.as_str())).collect();
    assert_eq!(kinds, [(Kind::Caller, "desk"), (Kind::Trainer, "coach")]);
    assert!(!format!("{holders:?}").contains("token"));
}
