//! Both errors of the rule on requests that crash endpoints: harmless contents that are
//! convicted, and crashes until a guilty one is.

use std::collections::BTreeSet;

use chicoryford_suspects::Rule;
use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Fingerprint;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_types::Unix;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Contents in progress at an endpoint.
const BATCH: usize = 16;
/// Batches in a run.
const BATCHES: usize = 200_000;
/// Batches after which another guilty content turns up.
const EVERY: usize = BATCHES / GUILTY as usize;
/// Guilty contents, each sent again until it is convicted or gives up.
const GUILTY: u64 = 40;
/// Times that a caller sends a content whose endpoint crashed.
const RESENDS: u32 = 30;

struct Errors {
    innocents: usize,
    convicted: usize,
    crashes: u64,
    chance: u64,
    suspected: usize,
}

/// Prints both errors for several settings.
pub fn run(seed: u64) {
    println!(
        "{:<28} {:>8} {:>10} {:>9} {:>10} {:>12} {:>10}",
        "rule", "chance", "innocents", "guilty", "of", "crashes each", "suspects"
    );
    for chance in [0.0001, 0.001, 0.01] {
        let counted =
            |crowd| Rule { isolated_crashes: u32::MAX, shared_crashes: crowd, ..Rule::default() };
        line("counted, 2 crashes", counted(2), false, chance, seed);
        line("counted, 3 crashes", counted(3), false, chance, seed);
        for apart in [2, 3, 4] {
            let rule = Rule { isolated_crashes: apart, ..Rule::default() };
            line(&format!("apart, {apart} crashes"), rule, true, chance, seed);
        }
    }
}

fn line(name: &str, rule: Rule, apart: bool, chance: f64, seed: u64) {
    let errors = simulate(rule, apart, chance, seed);
    let each = (errors.crashes - errors.chance) as f64 / GUILTY as f64;
    println!(
        "{name:<28} {chance:>8} {:>10} {:>9} {GUILTY:>10} {each:>12.2} {:>10}",
        errors.innocents, errors.convicted, errors.suspected
    );
}

/// Runs batches; in each, every content that was lost to a crash comes back until it finishes.
/// Endpoints also crash by chance. `apart` runs suspects one at an endpoint.
fn simulate(rule: Rule, apart: bool, chance: f64, seed: u64) -> Errors {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut config = Config::default();
    let mut errors = Errors { innocents: 0, convicted: 0, crashes: 0, chance: 0, suspected: 0 };
    let mut again: Vec<(Fingerprint, u32)> = Vec::new();
    let mut next = GUILTY;
    let mut convicted = BTreeSet::new();
    for n in 0..BATCHES {
        if n % EVERY == 0 {
            again.push((Fingerprint((n / EVERY) as u64), 0));
        }
        let mut batch: Vec<(Fingerprint, u32)> = Vec::new();
        let mut suspect = false;
        let mut kept = Vec::new();
        while let Some((content, sent)) = again.pop() {
            let is_suspect = config.suspects.contains_key(&content);
            if config.convictions.contains_key(&content) || sent >= RESENDS {
                continue;
            }
            // An agent runs one suspect at a time, beside contents that nobody suspects.
            let room = batch.len() < BATCH && !(apart && is_suspect && suspect);
            // Callers send again at different times: about one in eight arrives in this batch.
            if room && rng.random_range(0..8) == 0 {
                suspect |= is_suspect;
                batch.push((content, sent + 1));
            } else {
                kept.push((content, sent));
            }
        }
        again = kept;
        while batch.len() < BATCH {
            batch.push((Fingerprint(next), 1));
            next += 1;
        }
        let guilty = batch.iter().any(|(content, _)| content.0 < GUILTY);
        let by_chance = rng.random_bool(chance);
        if !guilty && !by_chance {
            for (content, _) in &batch {
                let cleared = rule.on_completion(&config.suspects, *content);
                apply(&mut config, cleared);
            }
            continue;
        }
        errors.crashes += 1;
        errors.chance += u64::from(!guilty);
        let known = |content: &Fingerprint| config.suspects.contains_key(content);
        let mut blamed: Vec<Fingerprint> = batch.iter().map(|(content, _)| *content).collect();
        if apart && blamed.iter().any(known) {
            blamed.retain(known);
        }
        let changes = rule.on_crash(&config.suspects, &config.convictions, Unix(0), &blamed);
        for change in &changes {
            if let Change::Convicted(content, _) = change {
                convicted.insert(*content);
            }
        }
        apply(&mut config, changes);
        errors.suspected = errors.suspected.max(config.suspects.len());
        again.extend(batch);
    }
    errors.innocents = convicted.iter().filter(|content| content.0 >= GUILTY).count();
    errors.convicted = convicted.len() - errors.innocents;
    errors
}

fn apply(config: &mut Config, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        let at = Position { revision: Revision(config.at.revision.0 + 1), ..config.at };
        config.apply(at, change);
    }
}
