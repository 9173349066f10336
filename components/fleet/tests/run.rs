//! Tests of the status of runs.

use chicoryford_fleet::Sample;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::FINISHED_RUN_TTL_MS;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunStatus;

/// Guards against a run that a host of an earlier version cannot read: structs are encoded by
/// position, and a longer one is refused.
#[test]
fn a_run_is_encoded_with_the_fields_that_earlier_hosts_read() {
    const FIELDS: u8 = 14;
    const FIX_ARRAY: u8 = 0x90;
    let job = Job {
        run: 1,
        step: "step".to_owned(),
        index: 0,
        host: "h".to_owned(),
        sample: Sample::default(),
        workspace: None,
        endpoint: "e".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        version: 1,
        min_version: 1,
        single_version: false,
        remaining_ms: 10_000,
        output: SampleOutput::default(),
        cost: Cost::default(),
    };
    assert_eq!(rmp_serde::to_vec(&job).unwrap()[0], FIX_ARRAY | FIELDS);
}

/// Guards against a host that forgets a run while its scorer is called for longer than finished runs
/// are kept. The leader waits for the score, so the sample would never get a result.
#[test]
fn a_run_whose_scorer_is_called_is_kept_until_its_time_limit() {
    assert!(!RunStatus::Scoring.is_forgettable(FINISHED_RUN_TTL_MS, 1));
    assert!(RunStatus::Scoring.is_forgettable(FINISHED_RUN_TTL_MS, 0));
    assert!(!RunStatus::Running.is_forgettable(2 * FINISHED_RUN_TTL_MS, 0));
}

#[test]
fn finished_runs_are_forgotten_after_a_while() {
    let finished =
        [RunStatus::Finished(None), RunStatus::Unscored, RunStatus::Ended(RunEnd::Broken)];
    for status in finished {
        assert!(!status.is_forgettable(FINISHED_RUN_TTL_MS - 1, 0), "{status:?}");
        assert!(status.is_forgettable(FINISHED_RUN_TTL_MS, 1_000), "{status:?}");
    }
}
