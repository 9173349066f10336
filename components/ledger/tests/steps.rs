//! Tests of steps, from opening to acknowledgement.

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

fn record_done(ledger: &mut Ledger, group: u32, number: u32, record: Record) -> LedgerReply {
    let (group, number) = (Group(group), SampleNo(number));
    apply(ledger, LedgerCommand::Done { key: key(), group, number, session: 7, record })
}

fn pull(ledger: &mut Ledger, cursor: u64, newest: u64) -> LedgerReply {
    let (workspace, cursor) = (key().workspace, Cursor(cursor));
    let newest = Version(newest);
    apply(ledger, LedgerCommand::Pull { workspace, cursor, groups: 9, newest })
}

fn ledger_with_owned_step() -> Ledger {
    let mut ledger = Ledger::default();
    let open = LedgerCommand::Open { spec: spec(), bound: 2 };
    assert_eq!(apply(&mut ledger, open), LedgerReply::Opened);
    apply(&mut ledger, LedgerCommand::Take { key: key(), session: 7 });
    ledger
}

fn sample_numbers(reply: &LedgerReply) -> Vec<(u32, u32)> {
    let LedgerReply::Batch { samples, .. } = reply else { panic!("{reply:?}") };
    samples.iter().map(|(_, group, number, _)| (group.0, number.0)).collect()
}

#[test]
fn a_group_is_complete_without_its_slowest_samples() {
    let mut ledger = ledger_with_owned_step();
    assert_eq!(record_done(&mut ledger, 0, 2, record(5, 1)), LedgerReply::Kept);
    assert_eq!(pull(&mut ledger, 1, 0), LedgerReply::NotReady);
    assert_eq!(record_done(&mut ledger, 0, 0, record(5, 2)), LedgerReply::Kept);
    assert_eq!(record_done(&mut ledger, 0, 1, record(5, 3)), LedgerReply::Duplicate);
    assert_eq!(sample_numbers(&pull(&mut ledger, 1, 0)), [(0, 0), (0, 2)]);
}

#[test]
fn a_stale_sample_is_run_again_and_never_delivered() {
    // Guards against a sample older than its bound in a batch: samples of version 5 are recorded
    // with a bound of 2, and the trainer publishes version 8 and pulls before the control processes
    // observe the publication. The pull itself must check the age, with the newer of both versions.
    let mut ledger = ledger_with_owned_step();
    record_done(&mut ledger, 0, 0, record(5, 1));
    record_done(&mut ledger, 0, 1, record(6, 1));
    assert_eq!(pull(&mut ledger, 1, 8), LedgerReply::NotReady);
    let LedgerReply::Progress(progress) =
        apply(&mut ledger, LedgerCommand::Progress { key: key() })
    else {
        panic!("the reply is not the progress")
    };
    assert_eq!(progress.done, [(Group(0), SampleNo(1))]);
    assert_eq!(record_done(&mut ledger, 0, 0, record(8, 2)), LedgerReply::Kept);
    assert_eq!(sample_numbers(&pull(&mut ledger, 1, 8)), [(0, 0), (0, 1)]);
    assert_eq!(ledger.violations, 0);
}

#[test]
fn the_same_cursor_delivers_the_same_batch_until_it_is_acknowledged() {
    // Guards against a group that is delivered twice or never: the reply to a pull is lost, another
    // group completes and a version is published, and the trainer pulls the same cursor through
    // another entry. The batch of a cursor must be fixed at its first delivery.
    let mut ledger = ledger_with_owned_step();
    record_done(&mut ledger, 1, 0, record(5, 1));
    record_done(&mut ledger, 1, 1, record(5, 1));
    let first = pull(&mut ledger, 1, 0);
    record_done(&mut ledger, 0, 0, record(5, 1));
    record_done(&mut ledger, 0, 1, record(5, 1));
    let bytes = rmp_serde::to_vec_named(&ledger).unwrap();
    let mut restored: Ledger = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(pull(&mut restored, 1, 9), first);
    assert_eq!(pull(&mut restored, 2, 0), LedgerReply::BadCursor { expected: Cursor(1) });
    let ack = LedgerCommand::Ack { workspace: key().workspace, cursor: Cursor(1) };
    assert_eq!(apply(&mut restored, ack.clone()), LedgerReply::Acked);
    assert_eq!(apply(&mut restored, ack), LedgerReply::Acked);
    assert_eq!(pull(&mut restored, 1, 0), LedgerReply::BadCursor { expected: Cursor(2) });
    assert_eq!(sample_numbers(&pull(&mut restored, 2, 0)), [(0, 0), (0, 1)]);
    let ack = LedgerCommand::Ack { workspace: key().workspace, cursor: Cursor(2) };
    apply(&mut restored, ack);
    assert_eq!((restored.open_steps(), restored.bytes()), (0, 0));
    let reopened = LedgerCommand::Open { spec: spec(), bound: 2 };
    assert_eq!(apply(&mut restored, reopened), LedgerReply::Opened);
    assert_eq!(restored.open_steps(), 0);
}

#[test]
fn errors_on_samples_with_unknown_versions_or_bytes() {
    let mut ledger = ledger_with_owned_step();
    let without_version = Record { tokens: 5, ..record(5, 1) };
    let without_tokens = Record { tokens: 0, spans: Vec::new(), ..record(5, 1) };
    let wrong_digest = Record { digest: Digest::default(), ..record(5, 1) };
    let without_holders = Record { body: Body::Held(Vec::new()), ..record(5, 1) };
    for invalid in [without_version, without_tokens, wrong_digest, without_holders, record(2, 1)] {
        assert_eq!(record_done(&mut ledger, 0, 0, invalid), LedgerReply::Undeliverable);
    }
    assert_eq!(record_done(&mut ledger, 0, 3, record(5, 1)), LedgerReply::Missing);
    assert_eq!(record_done(&mut ledger, 2, 0, record(5, 1)), LedgerReply::Missing);
}

#[test]
fn a_session_that_lost_its_step_records_nothing() {
    // Guards against a partitioned entry that records samples concurrently with the new owner: its
    // session is closed, another session takes the step, and the first entry returns. Each record
    // names its session, and only the current owner's is accepted.
    let mut ledger = ledger_with_owned_step();
    ledger.release(7);
    assert_eq!(ledger.orphans(), [key()]);
    assert_eq!(record_done(&mut ledger, 0, 0, record(5, 1)), LedgerReply::Fenced);
    apply(&mut ledger, LedgerCommand::Take { key: key(), session: 8 });
    assert_eq!(record_done(&mut ledger, 0, 0, record(5, 1)), LedgerReply::Fenced);
    let take = LedgerCommand::Take { key: key(), session: 7 };
    assert_eq!(apply(&mut ledger, take), LedgerReply::Owned(8));
}
