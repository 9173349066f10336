//! Tests of bodies that are stored at other entries.

mod support;

use bytes::Bytes;
use chicoryford_entry::bodies::fetch;
use chicoryford_entry::bodies::handle::HeldBody;
use chicoryford_entry::bodies::repair;
use chicoryford_entry::bodies::replicate;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::Holder;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::UnderReplicated;
use chicoryford_state::Command;
use chicoryford_types::Code;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::SampleNo;
use chicoryford_types::Step;
use chicoryford_types::Workspace;
use support::Fixture;
use support::WORKSPACE;

const BYTES: &[u8] = b"a sample that three entries held";
/// An address at which nothing listens.
const CLOSED: &str = "127.0.0.1:9";

fn name() -> BodyName {
    let key = StepKey { workspace: Workspace::from(WORKSPACE), step: Step(1) };
    BodyName { key, group: Group(0), number: SampleNo(0), digest: Digest::of(BYTES) }
}

/// Returns a body whose recorded holders are all gone.
fn orphaned() -> HeldBody {
    let holder = |number: u32| Holder {
        node: Node::from(format!("gone-{number}").as_str()),
        incarnation: Incarnation(1),
    };
    (name(), (1..=3).map(holder).collect())
}

fn reopened(fixture: &Fixture) -> bool {
    let is_lost = |command: &Command| match command {
        Command::Ledger(command) => matches!(**command, LedgerCommand::Lost { .. }),
        _ => false,
    };
    fixture.control.proposed.lock().unwrap().iter().any(is_lost)
}

/// Guards against a sample that is reported as lost, or generated again, although an entry
/// has its bytes: the owner of the step was killed after it had stored a copy there, and before it
/// had recorded the new holder.
#[test]
fn a_copy_that_is_not_recorded_is_found_when_all_recorded_holders_are_gone() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(Vec::new()).await;
        fixture.add_entry("entry-2");
        let third = fixture.add_entry("entry-3");
        let bytes = Bytes::from_static(BYTES);
        third.store.lock().unwrap().put(name(), bytes.clone(), Millis(0)).unwrap();
        let fetched = fetch::fetch(&fixture.context(), &[orphaned()]).await;
        assert_eq!(fetched, Ok(vec![bytes]));
    });
}

/// Guards against a sample that counts as lost while an entry that may have it does not answer.
#[test]
fn a_body_is_not_lost_while_a_live_entry_does_not_answer() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(Vec::new()).await;
        fixture.add_entry("entry-2");
        fixture.add_entry_at("entry-3", CLOSED.to_owned());
        let failure = fetch::fetch(&fixture.context(), &[orphaned()]).await.unwrap_err();
        assert_eq!(failure.code, Code::NoEndpoint);
        let (name, from) = orphaned();
        let lacking = UnderReplicated { name, from, sealed: false };
        repair::repair(fixture.context(), vec![lacking]).await;
        assert!(!reopened(&fixture));
    });
}

/// Guards against a trainer that retries for ever because nobody says that a sample is lost.
#[test]
fn a_body_that_no_live_entry_has_is_lost() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(Vec::new()).await;
        fixture.add_entry("entry-2");
        let failure = fetch::fetch(&fixture.context(), &[orphaned()]).await.unwrap_err();
        assert_eq!(failure.code, Code::SampleLost);
        let (name, from) = orphaned();
        let lacking = UnderReplicated { name, from, sealed: false };
        repair::repair(fixture.context(), vec![lacking]).await;
        assert!(reopened(&fixture));
    });
}

/// Guards against copies that stay for minutes, because a process was killed after it had stored
/// them and before it had recorded their holder, or because a second run made other bytes.
#[test]
fn the_bodies_of_an_acknowledged_batch_are_dropped_at_every_live_entry() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(Vec::new()).await;
        let (second, context) = (fixture.add_entry("entry-2"), fixture.context());
        let other_bytes = Bytes::from_static(b"the same sample of a second run");
        let other = BodyName { digest: Digest::of(&other_bytes), ..name() };
        let unfinished = BodyName { group: Group(1), ..name() };
        let bytes = Bytes::from_static(BYTES);
        for (name, bytes) in [(name(), &bytes), (other, &other_bytes), (unfinished.clone(), &bytes)]
        {
            second.store.lock().unwrap().put(name.clone(), bytes.clone(), Millis(0)).unwrap();
            context.bodies.store().put(name, bytes.clone(), Millis(0)).unwrap();
        }
        replicate::discard(context.clone(), vec![orphaned()]).await;
        for store in [&*second.store.lock().unwrap(), &*context.bodies.store()] {
            assert_eq!((store.len(), store.get(&unfinished)), (1, Some(bytes.clone())));
        }
    });
}
