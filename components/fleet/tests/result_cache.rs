//! Tests that exactly the results that were read are returned from the cache.

use chicoryford_fleet::Config;
use chicoryford_fleet::SampleResult;
use chicoryford_fleet::Workspace;
use chicoryford_fleet::result_cache::ResultCache;
use quickcheck::TestResult;
use quickcheck::quickcheck;

mod support;

/// A size sufficient for all results of a test, for tests that do not depend on it.
const LARGE_SIZE: usize = 1 << 20;

fn result(position: u64) -> (String, SampleResult) {
    let result = SampleResult::Completed {
        text: format!("text {position}"),
        versions: vec![position],
        score: Some(format!("score {position}")),
    };
    (format!("sample {position}"), result)
}

fn results(positions: std::ops::Range<u64>) -> Vec<(String, SampleResult)> {
    positions.map(result).collect()
}

/// Returns the positions of the cached results from `after` on.
fn positions(cache: &mut ResultCache, step: &str, after: u64) -> Vec<u64> {
    let Some(read) = cache.get(step, after) else { return Vec::new() };
    let returned = (after..).zip(read.results);
    returned
        .map(|(position, (sample, cached))| {
            let expected = result(position);
            assert_eq!((sample, cached), (expected.0.as_str(), &expected.1));
            position
        })
        .collect()
}

#[test]
fn cached_results_are_returned_from_any_position() {
    let mut cache = ResultCache::new(LARGE_SIZE);
    cache.put("a", 9, 0, results(0..3));
    cache.put("a", 9, 3, results(3..5));

    assert_eq!(positions(&mut cache, "a", 0), [0, 1, 2, 3, 4]);
    assert_eq!(positions(&mut cache, "a", 4), [4]);
    assert_eq!(cache.get("a", 0).unwrap().total, 9);
}

/// Guards against a caller that always reads from the first position and never gets results listed
/// after its first read, because the cached results were considered complete.
#[test]
fn cached_results_are_not_considered_complete() {
    let mut cache = ResultCache::new(LARGE_SIZE);
    cache.put("a", 5, 0, results(0..3));
    assert!(!cache.get("a", 0).unwrap().full, "two may have been listed since");
    cache.put("a", 5, 3, results(3..5));
    assert!(cache.get("a", 0).unwrap().full);
    assert!(cache.get("a", 4).unwrap().full);
}

#[test]
fn a_reply_is_full_when_the_next_result_does_not_fit() {
    let long = |position: u64| {
        let result =
            SampleResult::Completed { text: "x".repeat(500_000), versions: vec![1], score: None };
        (format!("sample {position}"), result)
    };
    let mut cache = ResultCache::new(8 << 20);
    cache.put("a", 9, 0, (0..3).map(long).collect());
    let read = cache.get("a", 0).unwrap();
    assert_eq!((read.results.len(), read.full), (1, true));
}

#[test]
fn results_that_were_not_read_are_not_cached() {
    let mut cache = ResultCache::new(LARGE_SIZE);
    cache.put("a", 9, 2, results(2..4));

    assert!(cache.get("a", 0).is_none());
    assert!(cache.get("a", 4).is_none());
    assert!(cache.get("b", 2).is_none());
}

/// A caller would attribute the result after a gap to the position of the gap.
#[test]
fn results_end_at_a_gap() {
    let mut cache = ResultCache::new(LARGE_SIZE);
    cache.put("a", 9, 0, results(0..2));
    cache.put("a", 9, 3, results(3..5));

    assert_eq!(positions(&mut cache, "a", 0), [0, 1]);
}

#[test]
fn the_least_recently_used_step_is_evicted_first() {
    let each = 2 * (256 + "sample 0".len() + "text 0".len());
    let mut cache = ResultCache::new(2 * each);
    cache.put("a", 9, 0, results(0..2));
    cache.put("b", 9, 0, results(0..2));
    cache.get("a", 0);
    cache.put("c", 9, 0, results(0..2));

    assert_eq!(positions(&mut cache, "a", 0), [0, 1]);
    assert_eq!(positions(&mut cache, "c", 0), [0, 1]);
    assert!(cache.get("b", 0).is_none());
}

quickcheck! {
    // In any order of reads, only results that were read are returned, and at their own positions.
    fn only_read_results_are_returned_in_any_order_of_reads(reads: Vec<(u8, u8)>, after: u8) -> TestResult {
        let mut cache = ResultCache::new(LARGE_SIZE);
        let mut cached = std::collections::BTreeSet::new();
        for (from, count) in reads {
            let range = u64::from(from)..u64::from(from) + u64::from(count % 16);
            cached.extend(range.clone());
            cache.put("a", 300, range.start, results(range));
        }
        let after = u64::from(after);
        let expected: Vec<u64> = (after..).take_while(|position| cached.contains(position)).collect();
        TestResult::from_bool(positions(&mut cache, "a", after) == expected)
    }
}

/// Guards against results for a caller without a key that were cached before a key was required.
#[test]
fn results_are_discarded_when_the_rules_of_access_change() {
    let workspace = Workspace { name: "w".to_owned(), ..Workspace::default() };
    let with_keys = |version| Config {
        version,
        workspaces: vec![workspace.clone()].into(),
        ..support::steps_config()
    };
    let open = |version| {
        let mut config = with_keys(version);
        config.routes[0].open = true;
        config
    };
    let mut cache = ResultCache::new(LARGE_SIZE);
    cache.follow_config(&support::steps_config());
    for (config, keeps) in [
        (Config { version: 2, ..support::steps_config() }, true),
        (with_keys(3), false),
        (with_keys(4), true),
        (open(5), false),
        (with_keys(6), false),
        (Config { version: 7, ..support::steps_config() }, false),
    ] {
        cache.put("a", 9, 0, results(0..3));
        let generation = cache.generation();
        cache.follow_config(&config);
        assert_eq!(!positions(&mut cache, "a", 0).is_empty(), keeps, "{}", config.version);
        assert_eq!(cache.generation() == generation, keeps, "{}", config.version);
    }
}
