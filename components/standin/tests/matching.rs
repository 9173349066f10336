//! Tests of the comparison of callers' and trainers' records with those of the engines.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use chicoryford_standin::matching;
use chicoryford_standin::records::Ran;
use chicoryford_standin::records::RanAttempt;
use chicoryford_standin::records::Span;
use tempfile::TempDir;

/// Returns a request with these attempts: what each generated, and how it ended. They run
/// concurrently, or each long after the end of the one before.
fn ran_with(attempts: &[(&[Span], &str)], concurrent: bool) -> Ran {
    let attempt = |(number, (spans, how)): (usize, &(&[Span], &str))| {
        let started = if concurrent { number as u64 } else { 10_000 * number as u64 };
        let (ended, spans, how) = (started + 100, spans.to_vec(), how.to_string());
        (number as u32, RanAttempt { started, ended, spans, how })
    };
    let attempts = attempts.iter().enumerate().map(attempt).collect();
    Ran { model: "model".to_owned(), attempts }
}

fn ran(attempts: &[(&[Span], &str)]) -> Ran {
    ran_with(attempts, true)
}

fn write(folder: &TempDir, line: &str) -> PathBuf {
    let file = folder.path().join("records.jsonl");
    fs::write(&file, format!("{line}\n")).unwrap();
    file
}

/// Writes samples of these versions.
fn write_samples(folder: &TempDir, versions: &[u64]) -> PathBuf {
    let sample = |version: &u64| {
        format!(
            r#"{{"event":"sample","tokens":2,"spans":[{{"from":0,"to":2,"version":{version}}}],"step":1,"group":1,"number":1,"score":null}}"#
        )
    };
    let lines: Vec<String> = versions.iter().map(sample).collect();
    write(folder, &lines.join("\n"))
}

/// Returns how many of one caller's answers of a version are misattributed.
fn misattributed_call(ran: Ran, version: u64) -> u64 {
    let folder = TempDir::new().unwrap();
    let answer = format!(
        r#"{{"request":"r","spans":[{{"from":0,"to":2,"version":{version}}}],"attempts":2}}"#
    );
    let line = format!(r#"{{"key":"","at":1,"code":"","fate":"ok","answer":{answer}}}"#);
    let file = write(&folder, &line);
    let requests = BTreeMap::from([("r".to_owned(), ran)]);
    let matches = matching::calls(&requests, &file).unwrap();
    assert_eq!(matches.checked, 1);
    matches.misattributed
}

/// Guards against a check that expects the answer of the attempt that ended last. A request may be
/// rescued by a second attempt; the caller gets the one that generated tokens first, and the other
/// may complete before its cancellation arrives.
#[test]
fn a_rescued_request_may_have_the_answer_of_either_completed_attempt() {
    let both = || ran(&[(&[(0, 2, 1)], "stop"), (&[(0, 2, 2)], "stop")]);
    assert_eq!((misattributed_call(both(), 1), misattributed_call(both(), 2)), (0, 0));
    assert_eq!(misattributed_call(both(), 3), 1, "no attempt had this version");
    let cancelled = ran(&[(&[(0, 2, 1)], "cancelled"), (&[(0, 2, 2)], "stop")]);
    assert_eq!(misattributed_call(cancelled, 1), 1, "this attempt was not completed");
}

/// Guards against two samples that are delivered from the two attempts of one request.
#[test]
fn a_request_with_two_completed_attempts_matches_one_sample() {
    let folder = TempDir::new().unwrap();
    let file = write_samples(&folder, &[1, 2]);
    let both = ran(&[(&[(0, 2, 1)], "stop"), (&[(0, 2, 2)], "stop")]);
    let matches = matching::samples(&mut vec![both.answers()], "model", &file).unwrap();
    assert_eq!((matches.checked, matches.misattributed), (2, 1));
}

/// Guards against an answer of an attempt that the entry had given up before it started the next
/// one.
#[test]
fn only_the_last_of_consecutive_attempts_may_be_the_answer() {
    let both = || ran_with(&[(&[(0, 2, 1)], "stop"), (&[(0, 2, 2)], "stop")], false);
    assert_eq!((misattributed_call(both(), 1), misattributed_call(both(), 2)), (1, 0));
}

/// Guards against a false alarm: a sample is compared with a request of which it has one of two
/// answers, and leaves none for the sample that has the other.
#[test]
fn samples_are_assigned_so_that_each_has_an_answer() {
    let folder = TempDir::new().unwrap();
    let file = write_samples(&folder, &[1, 2]);
    let both = ran(&[(&[(0, 2, 1)], "stop"), (&[(0, 2, 2)], "stop")]);
    let single = ran(&[(&[(0, 2, 1)], "stop")]);
    let mut requests = vec![both.answers(), single.answers()];
    let matches = matching::samples(&mut requests, "model", &file).unwrap();
    assert_eq!((matches.checked, matches.misattributed, requests.len()), (2, 0, 0));
}
