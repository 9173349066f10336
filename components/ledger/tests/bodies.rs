//! Tests of bodies outside the ledger: their holders, repair and loss.

use chicoryford_ledger::Audit;
use chicoryford_ledger::Body;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::GroupSpec;
use chicoryford_ledger::Holder;
use chicoryford_ledger::Ledger;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::StepSpec;
use chicoryford_types::Cursor;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::SampleNo;
use chicoryford_types::Span;
use chicoryford_types::Step;
use chicoryford_types::Version;
use chicoryford_types::Workspace;

fn key() -> StepKey {
    StepKey { workspace: Workspace::from("routes"), step: Step(1) }
}

fn holder(number: u64) -> Holder {
    Holder { node: Node(format!("entry-{number}")), incarnation: Incarnation(1) }
}

fn holders(numbers: [u64; 3]) -> Vec<Holder> {
    numbers.map(holder).to_vec()
}

fn name() -> BodyName {
    let (group, number) = (Group(0), SampleNo(0));
    BodyName { key: key(), group, number, digest: Digest::of(b"bytes") }
}

fn apply(ledger: &mut Ledger, command: LedgerCommand) -> LedgerReply {
    ledger.apply(command, |_| Version(0))
}

fn record_done(ledger: &mut Ledger, holders: Vec<Holder>) -> LedgerReply {
    let spans = vec![Span { from: 0, to: 4, version: Version(0) }];
    let BodyName { key, group, number, digest } = name();
    let record = Record { spans, tokens: 4, digest, body: Body::Held(holders) };
    apply(ledger, LedgerCommand::Done { key, group, number, session: 7, record })
}

fn ledger_with_held_body() -> Ledger {
    let mut ledger = Ledger::default();
    let StepKey { workspace, step } = key();
    let groups = vec![GroupSpec::default()];
    let spec = StepSpec { workspace, step, groups, samples: 1, ..StepSpec::default() };
    apply(&mut ledger, LedgerCommand::Open { spec, bound: 2 });
    apply(&mut ledger, LedgerCommand::Take { key: key(), session: 7 });
    assert_eq!(record_done(&mut ledger, holders([1, 2, 3])), LedgerReply::Kept);
    ledger
}

fn rehold(ledger: &mut Ledger, from: [u64; 3], to: [u64; 3]) -> LedgerReply {
    let (from, to) = (holders(from), holders(to));
    apply(ledger, LedgerCommand::Rehold { name: name(), from, to })
}

fn report_lost(ledger: &mut Ledger, from: [u64; 3]) -> LedgerReply {
    apply(ledger, LedgerCommand::Lost { name: name(), from: holders(from) })
}

fn pull(ledger: &mut Ledger) -> LedgerReply {
    let (workspace, cursor) = (key().workspace, Cursor(1));
    apply(ledger, LedgerCommand::Pull { workspace, cursor, groups: 9, newest: Version(0) })
}

fn lacking(ledger: &Ledger, session: u64, node: u64, present: &[u64]) -> usize {
    let present = present.iter().copied().map(holder).collect();
    let audit = Audit { node: holder(node).node, session, present, ..Audit::default() };
    ledger.audit(&audit).lacking.len()
}

#[test]
fn errors_on_a_body_with_two_holders() {
    // Guards against the loss of a recorded sample with two VMs: an entry records it with two
    // holders, or with one of them named twice, and both fail. The ledger must require three
    // different holders itself, not only the entry.
    let mut ledger = ledger_with_held_body();
    assert_eq!(report_lost(&mut ledger, [1, 2, 3]), LedgerReply::Reopened);
    assert_eq!(record_done(&mut ledger, vec![holder(1), holder(2)]), LedgerReply::Undeliverable);
    assert_eq!(record_done(&mut ledger, holders([1, 2, 2])), LedgerReply::Undeliverable);
    assert_eq!(record_done(&mut ledger, holders([1, 2, 4])), LedgerReply::Kept);
}

#[test]
fn the_slower_of_two_repairers_changes_nothing() {
    // Guards against a record that names a holder which has dropped its copy: two entries repair
    // the same body, and the second one's command arrives late or twice. Holders may be replaced
    // only if they are the ones that the repairer expects.
    let mut ledger = ledger_with_held_body();
    assert_eq!(rehold(&mut ledger, [1, 2, 3], [1, 2, 4]), LedgerReply::Reheld);
    assert_eq!(rehold(&mut ledger, [1, 2, 3], [1, 2, 5]), LedgerReply::Moved);
    assert_eq!(rehold(&mut ledger, [1, 2, 3], [1, 2, 4]), LedgerReply::Reheld);
    assert_eq!(report_lost(&mut ledger, [1, 2, 3]), LedgerReply::Moved);
    let first = pull(&mut ledger);
    assert_eq!(rehold(&mut ledger, [1, 2, 4], [2, 4, 5]), LedgerReply::Reheld);
    let LedgerReply::Batch { samples, .. } = pull(&mut ledger) else { panic!("{first:?}") };
    assert_eq!(samples[0].3.body, Body::Held(holders([2, 4, 5])));
    assert_eq!(ledger.violations, 0, "a change of holders does not change the batch");
}

#[test]
fn a_lost_sample_runs_again_unless_it_was_delivered() {
    // Guards against two different samples at a trainer for the same position: a batch is
    // delivered, and then all holders of one of its bodies are lost. A delivered sample must not be
    // run again.
    let mut ledger = ledger_with_held_body();
    assert_eq!(report_lost(&mut ledger, [1, 2, 3]), LedgerReply::Reopened);
    assert_eq!((pull(&mut ledger), ledger.bytes()), (LedgerReply::NotReady, 0));
    record_done(&mut ledger, holders([4, 5, 6]));
    pull(&mut ledger);
    assert_eq!(report_lost(&mut ledger, [4, 5, 6]), LedgerReply::Missing);
    let ack = LedgerCommand::Ack { workspace: key().workspace, cursor: Cursor(1) };
    assert_eq!(apply(&mut ledger, ack), LedgerReply::Acked);
    assert_eq!((ledger.open_steps(), ledger.bytes()), (0, 0));
}

#[test]
fn an_audit_lists_the_bodies_that_an_entry_should_repair() {
    let mut ledger = ledger_with_held_body();
    assert_eq!(lacking(&ledger, 7, 9, &[1, 2, 3, 9]), 0);
    assert_eq!(lacking(&ledger, 7, 9, &[1, 2, 9]), 1);
    assert_eq!(lacking(&ledger, 7, 9, &[1, 2]), 0, "no other process can hold a copy");
    assert_eq!(lacking(&ledger, 8, 9, &[1, 2, 9]), 0, "another session owns the step");
    pull(&mut ledger);
    let closed = LedgerCommand::Close { key: key() };
    assert_eq!(apply(&mut ledger, closed), LedgerReply::Closed);
    assert_eq!(lacking(&ledger, 7, 2, &[2, 3, 9]), 1, "the batch outlives its step");
    assert_eq!(lacking(&ledger, 7, 3, &[2, 3, 9]), 0);
}

#[test]
fn an_audit_lists_the_groups_that_are_still_needed() {
    let mut ledger = ledger_with_held_body();
    let needed = |ledger: &Ledger| {
        let audit = Audit { holds: vec![key()], ..Audit::default() };
        ledger.audit(&audit).wanted[0].contains(Group(0))
    };
    assert!(needed(&ledger));
    pull(&mut ledger);
    apply(&mut ledger, LedgerCommand::Close { key: key() });
    assert!(needed(&ledger), "the trainer may pull the batch again");
    apply(&mut ledger, LedgerCommand::Ack { workspace: key().workspace, cursor: Cursor(1) });
    assert!(!needed(&ledger));
}

#[test]
fn an_audit_lists_the_bodies_that_need_a_leaving_holder() {
    // Guards against samples lost in a rolling restart of all entries: a holder leaves while
    // another, which has just restarted, has no copies yet. An entry must ask before it leaves
    // which of its copies are still needed.
    let ledger = ledger_with_held_body();
    let lacking_count = |present: &[u64]| {
        let present = present.iter().copied().map(holder).collect();
        let audit = Audit { node: holder(3).node, present, leaving: true, ..Audit::default() };
        ledger.audit(&audit).lacking.len()
    };
    assert_eq!(lacking_count(&[1, 2]), 0, "no other process can hold a copy");
    assert_eq!(lacking_count(&[1, 9]), 1);
    assert_eq!(lacking_count(&[1, 2, 9]), 1);
    assert_eq!(lacking_count(&[]), 0);
}
