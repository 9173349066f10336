//! Tests of the stand-in engine: deterministic tokens, lengths and prefix hashes, and a crash.

use chicoryford_standin::Recorder;
use chicoryford_standin::engine::Engine;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Fault;
use chicoryford_standin::engine::length;
use chicoryford_standin::engine::prefix_hashes;
use chicoryford_standin::engine::token;
use chicoryford_standin::scorer::Question;
use chicoryford_standin::scorer::score;

#[test]
fn tokens_depend_on_model_seed_and_index_alone() {
    assert_eq!(token("m", 1, 7), token("m", 1, 7));
    assert_ne!(token("m", 1, 7), token("m", 2, 7));
    assert_eq!(token("m", 1, 7).split_whitespace().count(), 1);
}

#[test]
fn lengths_have_a_heavy_tail_around_the_median() {
    let mut lengths: Vec<u32> = (0..10_001).map(|seed| length("prompt", seed, 100)).collect();
    lengths.sort_unstable();
    assert!((90..=110).contains(&lengths[5_000]), "{}", lengths[5_000]);
    assert!(lengths[9_900] > 800, "{}", lengths[9_900]);
    assert!(lengths[10_000] <= 4_000);
}

#[test]
fn common_prefixes_have_equal_hashes() {
    let common = "x".repeat(512);
    let (one, two) =
        (format!("{common}{}", "a".repeat(256)), format!("{common}{}", "b".repeat(256)));
    let (one, two) = (prefix_hashes(&one), prefix_hashes(&two));
    assert_eq!(one[..2], two[..2]);
    assert_ne!(one[2], two[2]);
}

#[test]
fn a_crash_starts_a_new_instance_with_the_initial_weights() {
    let engine = Engine::new(EngineSettings::default(), Recorder::default());
    let before = engine.health();
    engine.state().models.insert("model".to_owned(), 5);
    engine.fail(Fault::Crash);
    let after = engine.health();
    assert_ne!(before.instance, after.instance);
    assert_eq!(before.models, after.models);
}

#[test]
fn scores_are_the_same_each_time() {
    let request = Question { prompt: "p".to_owned(), text: "t".to_owned() };
    assert_eq!(score(&request), score(&request));
}
