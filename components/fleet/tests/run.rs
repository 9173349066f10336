//! Tests of the status of runs.

use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::FINISHED_RUN_TTL_MS;
use chicoryford_fleet::run::RunStatus;

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
