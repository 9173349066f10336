//! Tests of the rule.

use std::collections::BTreeMap;

use chicoryford_suspects::Rule;
use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Fingerprint;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_types::Unix;

fn crash(config: &mut Config, blamed: &[u64]) {
    let blamed: Vec<Fingerprint> = blamed.iter().map(|n| Fingerprint(*n)).collect();
    let rule = Rule::default();
    let changes = rule.on_crash(&config.suspects, &config.convictions, Unix(0), &blamed);
    apply(config, changes);
}

fn apply(config: &mut Config, changes: Vec<Change>) {
    for change in changes {
        let at = Position { revision: Revision(config.at.revision.0 + 1), ..config.at };
        assert!(config.apply(at, change));
    }
}

#[test]
fn convicts_only_the_crashing_content_of_a_batch() {
    // Guards against rejecting harmless requests. A request crashes the endpoint on which it runs
    // next to others. All of them are sent again, and it crashes the next endpoints too. All
    // contents of the first crash were treated as equally suspicious.
    let mut config = Config::default();
    crash(&mut config, &[1, 2, 3]);
    assert_eq!(config.suspects.len(), 3);
    let rule = Rule::default();
    for innocent in [1, 3] {
        let cleared = rule.on_completion(&config.suspects, Fingerprint(innocent));
        apply(&mut config, cleared.into_iter().collect());
    }
    crash(&mut config, &[2]);
    crash(&mut config, &[2]);
    assert_eq!(config.convictions.keys().collect::<Vec<_>>(), [&Fingerprint(2)]);
    assert!(config.suspects.is_empty());
}

#[test]
fn keeps_the_number_of_suspects_within_the_limit() {
    let rule = Rule { max_suspects: 2, ..Rule::default() };
    let suspects = BTreeMap::from([(Fingerprint(1), 2), (Fingerprint(2), 1)]);
    let changes = rule.on_crash(&suspects, &BTreeMap::new(), Unix(0), &[Fingerprint(3)]);
    assert_eq!(changes, [Change::Cleared(Fingerprint(2)), Change::Suspected(Fingerprint(3), 1)]);
}
