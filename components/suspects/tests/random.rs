//! Randomised tests of the rule: it stays within its limits, is deterministic, and does not convict
//! harmless contents.

use std::collections::BTreeSet;

use chicoryford_suspects::Rule;
use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Fingerprint;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_types::Unix;
use quickcheck::QuickCheck;

const RULE: Rule = Rule {
    isolated_crashes: 3,
    shared_crashes: 6,
    conviction_ms: 10_000,
    max_suspects: 20,
    max_convictions: 5,
};

fn apply(config: &mut Config, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        let at = Position { revision: Revision(config.at.revision.0 + 1), ..config.at };
        assert!(config.apply(at, change));
    }
}

/// Applies crashes, completions and expirations in a random order and checks the limits after each.
fn run(events: &[(u8, u8, u8)]) -> Config {
    let mut config = Config::default();
    for (n, (kind, first, count)) in events.iter().enumerate() {
        let stamp = Unix(n as u64 * 100);
        let content = Fingerprint(u64::from(*first) % 60);
        match kind % 4 {
            0 | 1 => {
                let blamed: Vec<Fingerprint> =
                    (0..=u64::from(count % 8)).map(|m| Fingerprint(content.0 + m)).collect();
                let changes = RULE.on_crash(&config.suspects, &config.convictions, stamp, &blamed);
                apply(&mut config, changes);
            }
            2 => {
                let cleared = RULE.on_completion(&config.suspects, content);
                apply(&mut config, cleared);
                assert!(!config.suspects.contains_key(&content));
            }
            _ => {
                let lapsed = RULE.expired(&config.convictions, stamp);
                apply(&mut config, lapsed);
                assert!(config.convictions.values().all(|c| c.until > stamp));
            }
        }
        assert!(config.suspects.len() <= RULE.max_suspects);
        assert!(config.convictions.len() <= RULE.max_convictions);
        let both: BTreeSet<_> =
            config.suspects.keys().filter(|c| config.convictions.contains_key(c)).collect();
        assert!(both.is_empty(), "both suspected and convicted: {both:?}");
    }
    config
}

#[test]
fn stays_within_limits_and_is_deterministic() {
    fn holds(events: Vec<(u8, u8, u8)>) -> bool {
        run(&events) == run(&events)
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn clears_a_content_that_completes_regardless_of_other_crashes() {
    // Guards against rejecting a harmless request after many unrelated crashes: endpoints crash by
    // coincidence while it is in progress, and it completes each time. Its crashes must not add up
    // over days.
    let mut config = Config::default();
    for n in 0..50 {
        let blamed = [Fingerprint(1), Fingerprint(100 + n)];
        let changes = RULE.on_crash(&config.suspects, &config.convictions, Unix(n), &blamed);
        apply(&mut config, changes);
        let cleared = RULE.on_completion(&config.suspects, Fingerprint(1));
        apply(&mut config, cleared);
    }
    assert!(!config.convictions.contains_key(&Fingerprint(1)));
}
