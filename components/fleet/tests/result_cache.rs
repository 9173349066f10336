//! Results that were read before are given again as they were, and only those.

use chicoryford_fleet::SampleResult;
use chicoryford_fleet::result_cache::ResultCache;
use quickcheck::TestResult;
use quickcheck::quickcheck;

/// Room for all that a test reads, where it is not about the bound.
const ROOM: usize = 1 << 20;

fn result(place: u64) -> (String, SampleResult) {
    let verdict = SampleResult::Completed {
        text: format!("text {place}"),
        versions: vec![place],
        score: Some(format!("score {place}")),
    };
    (format!("sample {place}"), verdict)
}

fn results(places: std::ops::Range<u64>) -> Vec<(String, SampleResult)> {
    places.map(result).collect()
}

/// The places that are given from one on.
fn places(recent: &mut ResultCache, step: &str, after: u64) -> Vec<u64> {
    let Some(read) = recent.get(step, after) else { return Vec::new() };
    let given = (after..).zip(read.results);
    given
        .map(|(place, (sample, verdict))| {
            let expected = result(place);
            assert_eq!((sample, verdict), (expected.0.as_str(), &expected.1));
            place
        })
        .collect()
}

#[test]
fn what_was_read_is_given_again_from_any_place() {
    let mut recent = ResultCache::new(ROOM);
    recent.put("a", 9, 0, results(0..3));
    recent.put("a", 9, 3, results(3..5));

    assert_eq!(places(&mut recent, "a", 0), [0, 1, 2, 3, 4]);
    assert_eq!(places(&mut recent, "a", 4), [4]);
    assert_eq!(recent.get("a", 0).unwrap().total, 9);
}

/// Symptom: a reader who begins at the first place each time sees no result that was listed after its
/// first read. Sequence: it reads some; more are listed; it reads from the same place. Cause: what was
/// known was taken for all there is.
#[test]
fn what_is_known_is_not_taken_for_all_there_is() {
    let mut recent = ResultCache::new(ROOM);
    recent.put("a", 5, 0, results(0..3));
    assert!(!recent.get("a", 0).unwrap().full, "two may have been listed since");
    recent.put("a", 5, 3, results(3..5));
    assert!(recent.get("a", 0).unwrap().full);
    assert!(recent.get("a", 4).unwrap().full);
}

#[test]
fn what_does_not_fit_into_a_reply_is_not_asked_for() {
    let long = |place: u64| {
        let verdict =
            SampleResult::Completed { text: "x".repeat(500_000), versions: vec![1], score: None };
        (format!("sample {place}"), verdict)
    };
    let mut recent = ResultCache::new(8 << 20);
    recent.put("a", 9, 0, (0..3).map(long).collect());
    let read = recent.get("a", 0).unwrap();
    assert_eq!((read.results.len(), read.full), (1, true));
}

#[test]
fn what_was_not_read_is_left_to_the_leader() {
    let mut recent = ResultCache::new(ROOM);
    recent.put("a", 9, 2, results(2..4));

    assert!(recent.get("a", 0).is_none());
    assert!(recent.get("a", 4).is_none());
    assert!(recent.get("b", 2).is_none());
}

/// A caller that skipped a place would take the next result for the one at that place.
#[test]
fn a_gap_ends_what_is_given() {
    let mut recent = ResultCache::new(ROOM);
    recent.put("a", 9, 0, results(0..2));
    recent.put("a", 9, 3, results(3..5));

    assert_eq!(places(&mut recent, "a", 0), [0, 1]);
}

#[test]
fn the_step_used_least_lately_goes_first() {
    let each = 2 * (256 + "sample 0".len() + "text 0".len());
    let mut recent = ResultCache::new(2 * each);
    recent.put("a", 9, 0, results(0..2));
    recent.put("b", 9, 0, results(0..2));
    recent.get("a", 0);
    recent.put("c", 9, 0, results(0..2));

    assert_eq!(places(&mut recent, "a", 0), [0, 1]);
    assert_eq!(places(&mut recent, "c", 0), [0, 1]);
    assert!(recent.get("b", 0).is_none());
}

quickcheck! {
    // Whatever is read in whatever order, nothing is given that was not read, or at another place.
    fn any_order_of_reads_gives_only_what_was_read(reads: Vec<(u8, u8)>, after: u8) -> TestResult {
        let mut recent = ResultCache::new(ROOM);
        let mut known = std::collections::BTreeSet::new();
        for (from, count) in reads {
            let range = u64::from(from)..u64::from(from) + u64::from(count % 16);
            known.extend(range.clone());
            recent.put("a", 300, range.start, results(range));
        }
        let after = u64::from(after);
        let row: Vec<u64> = (after..).take_while(|place| known.contains(place)).collect();
        TestResult::from_bool(places(&mut recent, "a", after) == row)
    }
}
