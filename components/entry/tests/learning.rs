//! Tests of what the steps duty learns (answer lengths, publication intervals) and of its sample
//! limits.

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
fn the_longest_expected_samples_start_first() {
    // Symptom: a trainer waits for one sample while all engines idle.
    // Sequence: the longest sample of a step starts last.
    // Cause: samples start in the order of their groups.
    let mut lengths = Lengths::default();
    lengths.record(Fingerprint(1), 10);
    lengths.record(Fingerprint(2), 500);
    lengths.record(Fingerprint(3), 90);
    let mut order = [1, 2, 3, 4];
    lengths.sort(&mut order, |n| Fingerprint(*n));
    assert_eq!(order, [4, 2, 3, 1], "an unknown prompt counts as the longest");
}

#[test]
fn samples_leave_capacity_for_callers_of_their_workspace() {
    // Symptom: callers of a workspace are refused while one of its steps is running.
    // Sequence: a trainer opens a step with thousands of samples.
    // Cause: samples use up the limit that they share with callers.
    let limits = Limits { running: 100, ..Limits::default() };
    let sample_limits = SampleLimits::default();
    let workspace = Workspace::from("desk");
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 1).available_permits(), 75);
    let permits =
        sample_limits.semaphore(&workspace, &limits, 1).try_acquire_many_owned(70).unwrap();
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 1).available_permits(), 5);
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 4).available_permits(), 18);
    drop(permits);
    assert_eq!(sample_limits.semaphore(&workspace, &limits, 4).available_permits(), 18);
}

#[test]
fn versions_expected_during_a_sample_reduce_its_bound() {
    // Symptom: samples are discarded as stale when they finish.
    // Sequence: a sample of 25 s starts at the limit of a bound of 3 versions, with one version
    // published every 10 s.
    // Cause: freshness is checked against the version that is current when the sample starts.
    let model = Model::from("m");
    let mut predictor = StalenessPredictor::default();
    assert_eq!(predictor.floor(&model, Version(9), 3), Version(6), "nothing is learned yet");
    for version in 1..=4 {
        predictor.record_version(&model, Version(version), Millis(version * 10_000));
        predictor.record_version(&model, Version(version), Millis(version * 10_000 + 5_000));
    }
    assert_eq!(predictor.expected_versions(&model), 0);
    predictor.record_sample(&model, 25_000);
    assert_eq!(predictor.expected_versions(&model), 2);
    assert_eq!(predictor.floor(&model, Version(9), 3), Version(8));
    assert_eq!(predictor.floor(&model, Version(9), 1), Version(9), "at most the newest version");
}
