//! Steps from opening to acknowledgement.

use bytes::Bytes;
use chicoryford_ledger::Body;
use chicoryford_ledger::GroupSpec;
use chicoryford_ledger::Ledger;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::StepSpec;
use chicoryford_types::Cursor;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::SampleNo;
use chicoryford_types::Span;
use chicoryford_types::Step;
use chicoryford_types::Version;
use chicoryford_types::Workspace;

fn key() -> StepKey {
    StepKey { workspace: Workspace::from("routes"), step: Step(1) }
}

fn spec() -> StepSpec {
    let groups = vec![GroupSpec::default(); 2];
    let StepKey { workspace, step } = key();
    StepSpec { workspace, step, groups, samples: 2, extra: 1, ..StepSpec::default() }
}

fn record(version: u64, text: u8) -> Record {
    let bytes = Bytes::from(vec![text; 8]);
    let spans = vec![Span { from: 0, to: 4, version: Version(version) }];
    Record { spans, tokens: 4, digest: Digest::of(&bytes), body: Body::Inline(bytes) }
}

fn apply(ledger: &mut Ledger, command: LedgerCommand) -> LedgerReply {
    ledger.apply(command, |_| Version(5))
}

fn done(ledger: &mut Ledger, group: u32, number: u32, record: Record) -> LedgerReply {
    let (group, number) = (Group(group), SampleNo(number));
    apply(ledger, LedgerCommand::Done { key: key(), group, number, session: 7, record })
}

fn pull(ledger: &mut Ledger, cursor: u64, newest: u64) -> LedgerReply {
    let (workspace, cursor) = (key().workspace, Cursor(cursor));
    let newest = Version(newest);
    apply(ledger, LedgerCommand::Pull { workspace, cursor, groups: 9, newest })
}

fn taken() -> Ledger {
    let mut ledger = Ledger::default();
    let open = LedgerCommand::Open { spec: spec(), bound: 2 };
    assert_eq!(apply(&mut ledger, open), LedgerReply::Opened);
    apply(&mut ledger, LedgerCommand::Take { key: key(), session: 7 });
    ledger
}

fn numbers(reply: &LedgerReply) -> Vec<(u32, u32)> {
    let LedgerReply::Batch { samples, .. } = reply else { panic!("{reply:?}") };
    samples.iter().map(|(_, group, number, _)| (group.0, number.0)).collect()
}

#[test]
fn a_group_is_whole_without_its_slowest_samples() {
    let mut ledger = taken();
    assert_eq!(done(&mut ledger, 0, 2, record(5, 1)), LedgerReply::Kept);
    assert_eq!(pull(&mut ledger, 1, 0), LedgerReply::NotReady);
    assert_eq!(done(&mut ledger, 0, 0, record(5, 2)), LedgerReply::Kept);
    assert_eq!(done(&mut ledger, 0, 1, record(5, 3)), LedgerReply::Duplicate);
    assert_eq!(numbers(&pull(&mut ledger, 1, 0)), [(0, 0), (0, 2)]);
}

#[test]
fn a_sample_that_grew_too_old_is_run_again_and_never_handed_out() {
    // Symptom: a trainer is given a sample older than its bound.
    // Sequence: samples of version 5 are done, bound 2; the trainer publishes version 8, which the
    // control processes have not yet heard, and pulls.
    // Cause: the age must be judged in the decision that hands out, by the newest version known
    // to either.
    let mut ledger = taken();
    done(&mut ledger, 0, 0, record(5, 1));
    done(&mut ledger, 0, 1, record(6, 1));
    assert_eq!(pull(&mut ledger, 1, 8), LedgerReply::NotReady);
    let LedgerReply::Progress(progress) =
        apply(&mut ledger, LedgerCommand::Progress { key: key() })
    else {
        panic!("no progress")
    };
    assert_eq!(progress.done, [(Group(0), SampleNo(1))]);
    assert_eq!(done(&mut ledger, 0, 0, record(8, 2)), LedgerReply::Kept);
    assert_eq!(numbers(&pull(&mut ledger, 1, 8)), [(0, 0), (0, 1)]);
    assert_eq!(ledger.violations, 0);
}

#[test]
fn the_same_cursor_gives_the_same_batch_until_it_is_acknowledged() {
    // Symptom: a trainer trains twice on one group, or never on another.
    // Sequence: the answer to a pull is lost; meanwhile another group is done and a version is
    // published; the trainer pulls the same cursor through another entry.
    // Cause: a cursor's batch must be fixed when it is first handed out.
    let mut ledger = taken();
    done(&mut ledger, 1, 0, record(5, 1));
    done(&mut ledger, 1, 1, record(5, 1));
    let first = pull(&mut ledger, 1, 0);
    done(&mut ledger, 0, 0, record(5, 1));
    done(&mut ledger, 0, 1, record(5, 1));
    let bytes = rmp_serde::to_vec_named(&ledger).unwrap();
    let mut restored: Ledger = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(pull(&mut restored, 1, 9), first);
    assert_eq!(pull(&mut restored, 2, 0), LedgerReply::BadCursor { expected: Cursor(1) });
    let ack = LedgerCommand::Ack { workspace: key().workspace, cursor: Cursor(1) };
    assert_eq!(apply(&mut restored, ack.clone()), LedgerReply::Acked);
    assert_eq!(apply(&mut restored, ack), LedgerReply::Acked);
    assert_eq!(pull(&mut restored, 1, 0), LedgerReply::BadCursor { expected: Cursor(2) });
    assert_eq!(numbers(&pull(&mut restored, 2, 0)), [(0, 0), (0, 1)]);
    let ack = LedgerCommand::Ack { workspace: key().workspace, cursor: Cursor(2) };
    apply(&mut restored, ack);
    assert_eq!((restored.open_steps(), restored.bytes()), (0, 0));
    let again = LedgerCommand::Open { spec: spec(), bound: 2 };
    assert_eq!(apply(&mut restored, again), LedgerReply::Opened);
    assert_eq!(restored.open_steps(), 0);
}

#[test]
fn errors_on_samples_whose_versions_or_bytes_are_not_known() {
    let mut ledger = taken();
    let gap = Record { tokens: 5, ..record(5, 1) };
    let empty = Record { tokens: 0, spans: Vec::new(), ..record(5, 1) };
    let garbled = Record { digest: Digest::default(), ..record(5, 1) };
    let nowhere = Record { body: Body::Held(Vec::new()), ..record(5, 1) };
    for wrong in [gap, empty, garbled, nowhere, record(2, 1)] {
        assert_eq!(done(&mut ledger, 0, 0, wrong), LedgerReply::Undeliverable);
    }
    assert_eq!(done(&mut ledger, 0, 3, record(5, 1)), LedgerReply::Missing);
    assert_eq!(done(&mut ledger, 2, 0, record(5, 1)), LedgerReply::Missing);
}

#[test]
fn a_session_that_lost_its_step_records_nothing() {
    // Symptom: an entry that was cut off records samples beside the new owner's.
    // Sequence: its session is closed, another takes the step, the first comes back.
    // Cause: each record must name the session, and only the present owner's counts.
    let mut ledger = taken();
    ledger.release(7);
    assert_eq!(ledger.orphans(), [key()]);
    assert_eq!(done(&mut ledger, 0, 0, record(5, 1)), LedgerReply::Fenced);
    apply(&mut ledger, LedgerCommand::Take { key: key(), session: 8 });
    assert_eq!(done(&mut ledger, 0, 0, record(5, 1)), LedgerReply::Fenced);
    let take = LedgerCommand::Take { key: key(), session: 7 };
    assert_eq!(apply(&mut ledger, take), LedgerReply::Owned(8));
}
