//! Operators who race, and changes that are sent again.

use std::thread;

use chicoryford_state::Refusal;
use chicoryford_state::Reply;

use crate::operator::Operator;
use crate::operator::Said;
use crate::operator::apply;
use crate::operator::change_id;
use crate::operator::history;
use crate::operator::insist;
use crate::operator::titled;
use crate::system::System;

#[test]
fn one_of_racing_operators_wins_and_the_others_see_what_it_changed() {
    // Symptom: an operator's change is silently undone. Sequence: several hold the same version,
    // and all send a change of their own at once, each to another process. Cause: the version
    // alone decided, or two processes decided.
    let system = System::start(3);
    let all = system.addresses(&["c1", "c2", "c3"]);
    let mut first = Operator::new();
    first.change(&system, &all, "first");
    for round in 0..5 {
        let (version, template) = first.held.clone().unwrap();
        let race = |i: usize| {
            let title = format!("operator-{i}-of-round-{round}");
            let command = apply(&change_id(&title), titled(&title), Some((version, &template)));
            (title, insist(&system, &all[i % 3..=i % 3], &command))
        };
        let said: Vec<(String, Said)> = thread::scope(|scope| {
            let race = &race;
            let racing: Vec<_> = (0..6).map(|i| scope.spawn(move || race(i))).collect();
            racing.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let won: Vec<_> =
            said.iter().filter(|(_, said)| matches!(said, Said::Accepted(..))).collect();
        assert_eq!(won.len(), 1, "{said:?}");
        let winner = won[0].0.clone();
        for (title, said) in said.iter().filter(|(title, _)| *title != winner) {
            let Said::Refused(reply) = said else { panic!("{title} got {said:?}") };
            let Reply::Refused(Refusal::Conflict { current, diff }) = &**reply else {
                panic!("{title} got {reply:?}")
            };
            assert!(diff.contains(&winner), "{title} got the difference {diff}");
            let current = current.as_ref().unwrap();
            assert_eq!((current.version, &current.template.title), (version + 1, &winner));
        }
        first.held = Some((version + 1, titled(&winner)));
    }
    // One who holds the right number, but another text under it, has not seen what is in force.
    let (version, _) = first.held.clone().unwrap();
    let elsewhere = titled("a text of another day");
    let command = apply(&change_id("stranger"), titled("stranger"), Some((version, &elsewhere)));
    let Said::Refused(reply) = insist(&system, &all, &command) else { panic!("accepted") };
    assert!(matches!(*reply, Reply::Refused(Refusal::Conflict { .. })), "{reply:?}");
    assert_eq!(history(&system, &all).len(), 6);
    system.check_logs();
}

#[test]
fn a_resend_after_the_leader_died_gets_the_first_answer() {
    // Symptom: a change is applied twice, or its resend is told that it conflicts with itself.
    // Sequence: a change is sent, the leader is killed before its answer is read, the change is
    // sent again to others, and once more after it. Cause: the change id did not survive the leader.
    let mut system = System::start(3);
    let names = ["c1", "c2", "c3"];
    let all = system.addresses(&names);
    let mut operator = Operator::new();
    operator.change(&system, &all, "first");
    for round in 0..3 {
        let leader = system.leader(&all).unwrap();
        let title = format!("round-{round}");
        let (version, template) = operator.held.clone().unwrap();
        let id = change_id(&title);
        let command = apply(&id, titled(&title), Some((version, &template)));
        let body = serde_json::to_string(&command).unwrap();
        system.send_and_forget(system.address(&leader), &body);
        system.kill(&leader);
        let left: Vec<_> =
            all.iter().copied().filter(|at| *at != system.address(&leader)).collect();
        let first = insist(&system, &left, &command);
        let Said::Accepted(_, accepted) = &first else { panic!("{first:?}") };
        assert_eq!(*accepted, version + 1);
        operator.held = Some((version + 1, titled(&title)));
        operator.change(&system, &left, &format!("between-{round}"));
        system.restart(&leader);
        assert_eq!(insist(&system, &all, &command), first);
    }
    let kept = history(&system, &all);
    let versions: Vec<u64> = kept.iter().map(|(_, _, held)| held.version).collect();
    assert_eq!(versions, (1..=7).collect::<Vec<u64>>());
    system.check_logs();
}
