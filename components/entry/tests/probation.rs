//! Tests of how samples with convicted prompts are paced.

use chicoryford_entry::steps::probation::PROBATION_INTERVAL_MS;
use chicoryford_entry::steps::probation::Probation;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;

const CONTENT: Fingerprint = Fingerprint(1);
const NOW: Millis = Millis(1_000);

/// Guards against a prompt that takes down one engine after another, because each sample of its
/// group runs as soon as an engine is there.
#[test]
fn one_sample_with_a_convicted_prompt_runs_in_an_interval() {
    let mut probation = Probation::default();
    let starts =
        (0..40_000).step_by(100).filter(|ms| probation.start(CONTENT, NOW + *ms).is_none());
    assert_eq!(starts.count() as u64, 40_000 / PROBATION_INTERVAL_MS);
    assert_eq!(probation.start(Fingerprint(2), NOW), None, "another prompt does not wait");
}

#[test]
fn a_convicted_prompt_with_which_a_sample_completes_is_not_delayed_until_one_fails() {
    let mut probation = Probation::default();
    assert_eq!(probation.start(CONTENT, NOW), None);
    probation.record_completion(CONTENT);
    assert_eq!((probation.start(CONTENT, NOW), probation.start(CONTENT, NOW)), (None, None));
    probation.record_failure(CONTENT);
    assert_eq!(probation.start(CONTENT, NOW + 1), Some(PROBATION_INTERVAL_MS - 1));
}
