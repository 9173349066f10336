//! What the steps duty learns: lengths of answers, the predictor of publications.

use chicoryford_entry::steps::lengths::Lengths;
use chicoryford_entry::steps::limits::SampleLimits;
use chicoryford_entry::steps::staleness::StalenessPredictor;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_types::template::Limits;

#[test]
fn the_longest_expected_samples_begin_first() {
    // Symptom: a trainer waits for one sample while all engines idle.
    // Sequence: the longest sample of a step begins last.
    // Cause: samples begun in the order of their groups.
    let mut lengths = Lengths::default();
    lengths.record(Fingerprint(1), 10);
    lengths.record(Fingerprint(2), 500);
    lengths.record(Fingerprint(3), 90);
    let mut order = [1, 2, 3, 4];
    lengths.sort(&mut order, |n| Fingerprint(*n));
    assert_eq!(order, [4, 2, 3, 1], "what is not known counts as the longest");
}

#[test]
fn samples_leave_callers_of_their_workspace_room() {
    // Symptom: callers of a workspace are refused for as long as one of its steps runs.
    // Sequence: a trainer opens a step of thousands of samples.
    // Cause: samples fill the limit that callers share with them.
    let limits = Limits { running: 100, ..Limits::default() };
    let sample_limits = SampleLimits::default();
    let workspace = Workspace::from("desk");
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 1).available_permits(), 75);
    let held = sample_limits.semaphore(&workspace, &limits, 1).try_acquire_many_owned(70).unwrap();
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 1).available_permits(), 5);
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 4).available_permits(), 18);
    drop(held);
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 4).available_permits(), 18);
}

#[test]
fn versions_expected_during_a_sample_are_taken_from_its_bound() {
    // Symptom: samples are thrown away as stale when they end.
    // Sequence: a sample of 25 s begins at the edge of a bound of 3 versions, published every 10 s.
    // Cause: freshness judged by the version in force when the sample began.
    let model = Model::from("m");
    let mut predictor = StalenessPredictor::default();
    assert_eq!(predictor.floor(&model, Version(9), 3), Version(6), "nothing is known yet");
    for version in 1..=4 {
        predictor.record_version(&model, Version(version), Millis(version * 10_000));
        predictor.record_version(&model, Version(version), Millis(version * 10_000 + 5_000));
    }
    assert_eq!(predictor.expected_versions(&model), 0);
    predictor.record_sample(&model, 25_000);
    assert_eq!(predictor.expected_versions(&model), 2);
    assert_eq!(predictor.floor(&model, Version(9), 3), Version(8));
    assert_eq!(predictor.floor(&model, Version(9), 1), Version(9), "never above the newest");
}
