//! Tests of the wait of a request for the decision about its own crashes, as an order of events
//! without a network.

use chicoryford_entry::run::crash_wait::CrashStep;
use chicoryford_entry::run::crash_wait::CrashWait;
use chicoryford_entry::run::crash_wait::MAX_WAIT_MS;
use chicoryford_entry::run::crash_wait::unanswered;
use chicoryford_types::Code;
use chicoryford_types::Config;
use chicoryford_types::Epoch;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use chicoryford_types::Outcome;
use chicoryford_types::Position;
use chicoryford_types::Unix;
use chicoryford_types::config::Conviction;
use chicoryford_types::ids::Revision;
use chicoryford_types::request::CrashDecision;
use chicoryford_wire::CallError;

const CONTENT: Fingerprint = Fingerprint(7);
const START: Millis = Millis(1_000);
const DEADLINE: Millis = Millis(61_000);
const LIMIT: Millis = Millis(START.0 + MAX_WAIT_MS);
const RETRY: CrashStep = CrashStep::Retry { isolated: false, expired: false };

fn position(revision: u64) -> Position {
    Position { epoch: Epoch(1), revision: Revision(revision) }
}

/// Returns a configuration in which the content has crashed so many endpoints.
fn config(revision: u64, crashes: u32) -> Config {
    let mut config = Config { at: position(revision), ..Config::default() };
    if crashes > 0 {
        config.suspects.insert(CONTENT, crashes);
    }
    config
}

fn wait(attempts: usize) -> CrashWait {
    CrashWait::new(attempts, START, DEADLINE)
}

#[test]
fn a_request_waits_until_its_crash_is_reported_committed_and_applied() {
    // Guards against a request that crashes one endpoint after another while the reports of its
    // crashes are still being committed, or have not reached the entry.
    let mut wait = wait(1);
    let waits = CrashStep::Wait(LIMIT);
    assert_eq!(wait.next(CONTENT, &config(4, 0), START), waits, "before the report");
    wait.record(0, CrashDecision::Committed(position(6)));
    assert_eq!(wait.next(CONTENT, &config(5, 0), Millis(1_300)), waits, "before it is applied");
    assert_eq!(wait.next(CONTENT, &config(6, 1), Millis(1_400)), RETRY);
}

#[test]
fn a_suspect_waits_for_the_decision_of_each_further_crash() {
    // Guards against a request that is retried because its content is already a known suspect, and
    // against retries beside others after the second crash, which would blame those others too.
    let mut wait = wait(1);
    assert_eq!(wait.next(CONTENT, &config(6, 1), START), CrashStep::Wait(LIMIT));
    wait.record(0, CrashDecision::Committed(position(7)));
    let isolated = CrashStep::Retry { isolated: true, expired: false };
    assert_eq!(wait.next(CONTENT, &config(7, 2), START), isolated);
}

#[test]
fn a_convicted_content_is_not_retried() {
    // Guards against a further crash by a request that was admitted before its content was
    // convicted, whether or not its own crash is decided.
    let mut convicted = config(8, 0);
    convicted.convictions.insert(CONTENT, Conviction { crashes: 3, until: Unix(1) });
    for attempts in [0, 1] {
        let step = wait(attempts).next(CONTENT, &convicted, START);
        let CrashStep::Convicted(failure) = step else { panic!("{step:?}") };
        assert_eq!(failure.code, Code::Convicted);
    }
}

#[test]
fn a_request_that_crashed_nothing_does_not_wait() {
    // Guards against delays of requests without a broken attempt, or whose agent has found the
    // endpoint alive.
    assert_eq!(wait(0).next(CONTENT, &config(4, 0), START), RETRY);
    let mut wait = wait(1);
    wait.record(0, CrashDecision::NotBlamed);
    assert_eq!(wait.next(CONTENT, &config(4, 0), START), RETRY);
}

#[test]
fn a_request_waits_for_all_its_broken_attempts() {
    // Guards against a retry while one of two concurrent attempts may have crashed its endpoint.
    let mut wait = wait(2);
    wait.record(1, CrashDecision::NotBlamed);
    assert_eq!(wait.next(CONTENT, &config(4, 0), START), CrashStep::Wait(LIMIT));
    wait.record(0, CrashDecision::Committed(position(4)));
    assert_eq!(wait.next(CONTENT, &config(4, 1), START), RETRY);
}

#[test]
fn without_a_decision_only_contents_that_are_not_suspected_are_retried() {
    // Guards against requests that wait for ever without a leader, and against a suspect that goes
    // on crashing endpoints meanwhile. The failure must not say that the request did not run.
    let expired = CrashStep::Retry { isolated: false, expired: true };
    let undecided = wait(1);
    let before = Millis(LIMIT.0 - 1);
    assert_eq!(undecided.next(CONTENT, &config(4, 0), before), CrashStep::Wait(LIMIT));
    assert_eq!(undecided.next(CONTENT, &config(4, 0), LIMIT), expired);
    let mut not_applied = wait(1);
    not_applied.record(0, CrashDecision::Committed(position(9)));
    for (wait, crashes) in [(undecided, 1), (not_applied, 0)] {
        let step = wait.next(CONTENT, &config(4, crashes), LIMIT);
        let CrashStep::Undecided(failure) = step else { panic!("{step:?}") };
        assert_eq!((failure.code, failure.outcome), (Code::EndpointFailed, Outcome::Unknown));
    }
}

#[test]
fn the_wait_leaves_half_of_the_remaining_time() {
    // Guards against a request that waits until its deadline, although a retry could answer it.
    let wait = CrashWait::new(1, START, Millis(START.0 + 600));
    assert_eq!(wait.next(CONTENT, &config(4, 0), START), CrashStep::Wait(Millis(START.0 + 300)));
}

#[test]
fn only_an_agent_that_cannot_report_a_crash_needs_no_decision() {
    // Guards against a request that is retried without a decision because one query failed, and
    // against a wait until the limit for an agent that has ended or is of the previous release.
    let (url, detail) = (String::new(), String::new());
    let failure = |code| CallError::Failure(Failure::not_run(code, ""));
    let not_sent =
        |refused| CallError::NotSent { url: url.clone(), detail: detail.clone(), refused };
    for error in [failure(Code::NotFound), not_sent(true)] {
        assert_eq!(unanswered(&error), CrashDecision::NotBlamed, "{error}");
    }
    let lost = CallError::Lost { url: url.clone(), detail: detail.clone() };
    for error in [failure(Code::Overloaded), failure(Code::Internal), not_sent(false), lost] {
        assert_eq!(unanswered(&error), CrashDecision::Pending, "{error}");
    }
}
