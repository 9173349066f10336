//! Concurrent changes by several operators, and changes that are sent again.

use std::thread;

use chicoryford_state::Refusal;
use chicoryford_state::Reply;

use crate::operator::ChangeOutcome;
use crate::operator::Operator;
use crate::operator::apply_command;
use crate::operator::change_id;
use crate::operator::history;
use crate::operator::send_until_decided;
use crate::operator::template_titled;
use crate::system::System;

#[test]
fn one_of_racing_operators_wins_and_the_others_see_what_it_changed() {
    // Guards against an operator's change that is silently overwritten. Several operators hold the
    // same version and send different changes at once, each to another control process. A change is
    // lost if only the version number is compared, or if two processes decide.
    let system = System::start(3);
    let all = system.addresses(&["c1", "c2", "c3"]);
    let mut first = Operator::new();
    first.change(&system, &all, "first");
    for round in 0..5 {
        let (version, template) = first.held.clone().unwrap();
        let race = |i: usize| {
            let title = format!("operator-{i}-of-round-{round}");
            let command = apply_command(
                &change_id(&title),
                template_titled(&title),
                Some((version, &template)),
            );
            (title, send_until_decided(&system, &all[i % 3..=i % 3], &command))
        };
        let outcomes: Vec<(String, ChangeOutcome)> = thread::scope(|scope| {
            let race = &race;
            let threads: Vec<_> = (0..6).map(|i| scope.spawn(move || race(i))).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let accepted: Vec<_> = outcomes
            .iter()
            .filter(|(_, outcome)| matches!(outcome, ChangeOutcome::Accepted(..)))
            .collect();
        assert_eq!(accepted.len(), 1, "{outcomes:?}");
        let winner = accepted[0].0.clone();
        for (title, outcome) in outcomes.iter().filter(|(title, _)| *title != winner) {
            let ChangeOutcome::Refused(reply) = outcome else { panic!("{title} got {outcome:?}") };
            let Reply::Refused(Refusal::Conflict { current, diff }) = &**reply else {
                panic!("{title} got {reply:?}")
            };
            assert!(diff.contains(&winner), "{title} got the diff {diff}");
            let current = current.as_ref().unwrap();
            assert_eq!((current.version, &current.template.title), (version + 1, &winner));
        }
        first.held = Some((version + 1, template_titled(&winner)));
    }
    // An operator with the right version number but another text has not seen the template in
    // force.
    let (version, _) = first.held.clone().unwrap();
    let other_text = template_titled("a text of another day");
    let command = apply_command(
        &change_id("stranger"),
        template_titled("stranger"),
        Some((version, &other_text)),
    );
    let ChangeOutcome::Refused(reply) = send_until_decided(&system, &all, &command) else {
        panic!("a change with another base text was accepted")
    };
    assert!(matches!(*reply, Reply::Refused(Refusal::Conflict { .. })), "{reply:?}");
    assert_eq!(history(&system, &all).len(), 6);
    system.check_logs();
}

#[test]
fn a_resend_after_the_leader_died_gets_the_first_answer() {
    // Guards against a change that is applied twice, and against a resend that is refused as a
    // conflict with itself. The leader is killed before its answer is read, and the change is sent
    // again to the other processes, then once more after a later change. The change id must survive
    // the leader.
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
        let command = apply_command(&id, template_titled(&title), Some((version, &template)));
        let body = serde_json::to_string(&command).unwrap();
        system.send_and_forget(system.address(&leader), &body);
        system.kill(&leader);
        let remaining: Vec<_> =
            all.iter().copied().filter(|at| *at != system.address(&leader)).collect();
        let first = send_until_decided(&system, &remaining, &command);
        let ChangeOutcome::Accepted(_, accepted) = &first else { panic!("{first:?}") };
        assert_eq!(*accepted, version + 1);
        operator.held = Some((version + 1, template_titled(&title)));
        operator.change(&system, &remaining, &format!("between-{round}"));
        system.restart(&leader);
        assert_eq!(send_until_decided(&system, &all, &command), first);
    }
    let stored = history(&system, &all);
    let versions: Vec<u64> = stored.iter().map(|(_, _, versioned)| versioned.version).collect();
    assert_eq!(versions, (1..=7).collect::<Vec<u64>>());
    system.check_logs();
}
