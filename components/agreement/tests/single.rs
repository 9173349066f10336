//! Tests of a deployment with a single replica.

use bytes::Bytes;
use chicoryford_agreement::Action;
use chicoryford_agreement::Event;
use chicoryford_agreement::Founder;
use chicoryford_agreement::Payload;
use chicoryford_agreement::Proposal;
use chicoryford_agreement::Refusal;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Saved;
use chicoryford_agreement::Settings;
use chicoryford_agreement::Token;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;

fn single_replica() -> Replica {
    let founder = Founder { node: "a".into(), address: "a:1".to_owned() };
    let id = ReplicaId::new("a", Incarnation(7));
    let settings = Settings { id, founders: vec![founder], ..Settings::default() };
    Replica::new(settings, Saved::default(), 1)
}

fn step(replica: &mut Replica, now: u64, event: Event) -> Vec<Action> {
    replica.handle(Millis(now), event)
}

fn write_number(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Persist(write) => Some(write.number),
        _ => None,
    })
}

fn committed(actions: &[Action]) -> Vec<(u64, Option<Token>)> {
    let mut found = Vec::new();
    for action in actions {
        if let Action::Commit(entries) = action {
            found.extend(entries.iter().map(|c| (c.entry.id.index, c.token)));
        }
    }
    found
}

fn lead(replica: &mut Replica) -> u64 {
    let mut write = write_number(&step(replica, 10, Event::Tick)).unwrap();
    for now in 11..20 {
        let actions = step(replica, now, Event::Synced { write });
        if actions.iter().any(|action| matches!(action, Action::BecameLeader { .. })) {
            return write;
        }
        write = write_number(&actions).unwrap_or(write);
    }
    panic!("a single replica is not elected");
}

#[test]
fn can_lead_alone_once_its_vote_is_synced() {
    let mut replica = single_replica();
    lead(&mut replica);
    assert!(replica.holds_lease(Millis(25)));
    assert_eq!(replica.violations(), 0);
}

#[test]
fn commits_a_proposal_only_after_its_sync() {
    let mut replica = single_replica();
    lead(&mut replica);
    let proposal = Proposal { token: Token(5), data: Bytes::from_static(b"x") };
    let actions = step(&mut replica, 30, Event::Propose(vec![proposal]));
    assert!(committed(&actions).is_empty());
    let write = write_number(&actions).unwrap();
    let actions = step(&mut replica, 31, Event::Synced { write });
    assert_eq!(committed(&actions), vec![(3, Some(Token(5)))]);
}

#[test]
fn answers_a_read_as_single_replica() {
    let mut replica = single_replica();
    lead(&mut replica);
    let actions = step(&mut replica, 30, Event::Read { token: Token(9) });
    assert!(matches!(actions[..], [Action::ReadReady { token: Token(9), index: 2 }]));
}

#[test]
fn refuses_everything_after_its_disk_failed() {
    // Guards against a replica that acknowledges entries which are missing after its restart: a
    // sync fails and the next one succeeds. After a failed sync the page cache marks pages as clean
    // although they never reached the disk.
    let mut replica = single_replica();
    let write = lead(&mut replica);
    step(&mut replica, 30, Event::StorageFailed);
    let proposal = Proposal { token: Token(5), data: Bytes::new() };
    let actions = step(&mut replica, 31, Event::Propose(vec![proposal]));
    let reason = Refusal::StorageFailed;
    assert!(matches!(&actions[..], [Action::Refuse { reason: w, .. }] if *w == reason));
    assert!(step(&mut replica, 32, Event::Synced { write }).is_empty());
    assert!(step(&mut replica, 9_000, Event::Tick).is_empty());
}

#[test]
fn restarts_with_the_state_on_its_disk() {
    let mut replica = single_replica();
    let mut saved = Saved::default();
    for now in 10..40 {
        let event = if now % 2 == 0 { Event::Tick } else { Event::Synced { write: now } };
        for action in step(&mut replica, now, event) {
            if let Action::Persist(write) = action {
                saved.hard = write.hard.unwrap_or(saved.hard);
                saved.entries.extend(write.entries);
            }
        }
    }
    assert!(matches!(saved.entries[0].payload, Payload::Members(_)));
    let settings = Settings { id: replica.id().clone(), ..Settings::default() };
    let mut restarted = Replica::new(settings, saved, 2);
    lead(&mut restarted);
    assert!(restarted.epoch() > replica.epoch());
}
