//! Tests of concurrent, resent and rolled back changes.

use chicoryford_state::Base;
use chicoryford_state::Command;
use chicoryford_state::Refusal;
use chicoryford_state::Reply;
use chicoryford_state::State;
use chicoryford_state::change_id;
use chicoryford_state::changes::CHANGE_WINDOW_MS;
use chicoryford_state::changes::MAX_CHANGES;
use chicoryford_types::ChangeId;
use chicoryford_types::Epoch;
use chicoryford_types::Position;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;

const NOW: u64 = 1_700_000_000_000;

fn template(name: &str, title: &str) -> Template {
    Template { workspace: Workspace::from(name), title: title.to_owned(), ..Template::default() }
}

fn base(state: &State, name: &str) -> Base {
    let current = state.config.templates.get(&Workspace::from(name));
    current.map_or_else(Base::default, |versioned| Base {
        version: versioned.version,
        digest: versioned.template.digest(),
    })
}

fn put(change: ChangeId, template: Template, base: Base) -> Command {
    Command::Apply { change, template: Box::new(template), base }
}

fn apply(state: &mut State, after_ms: u64, command: Command) -> Reply {
    let at = Position { epoch: Epoch(1 + after_ms / 1_000), ..Position::default() };
    state.apply(at, Unix(NOW + after_ms), command)
}

/// Accepts `count` changes with ids of their own, all issued at `after_ms`.
fn accept(state: &mut State, after_ms: u64, count: u64) {
    for number in 0..count {
        let change = change_id(Unix(NOW + after_ms), number);
        let command = put(change, template("other", &number.to_string()), base(state, "other"));
        let reply = apply(state, after_ms, command);
        assert!(matches!(reply, Reply::Accepted { .. }), "{reply:?}");
    }
}

#[test]
fn refuses_the_second_of_two_operators_with_equal_versions_and_shows_the_difference() {
    // Guards against an accepted change that is overwritten: two operators have version 1; one
    // changes the title; the other, whose text under number 1 differs because an earlier change of
    // theirs was refused, submits a change based on it. The version number alone does not identify
    // what an operator saw, so the digest must be compared as well.
    let mut state = State::default();
    let first = template("desk", "first");
    apply(&mut state, 0, put(change_id(Unix(NOW), 1), first.clone(), Base::default()));
    let seen = base(&state, "desk");
    let accepted =
        apply(&mut state, 1, put(change_id(Unix(NOW), 2), template("desk", "won"), seen));
    assert!(matches!(accepted, Reply::Accepted { version: 2, .. }));

    let refused =
        apply(&mut state, 2, put(change_id(Unix(NOW), 3), template("desk", "lost"), seen));
    let Reply::Refused(Refusal::Conflict { current, diff }) = refused else {
        panic!("{refused:?}")
    };
    assert_eq!(current.unwrap().template.title, "won");
    assert!(diff.contains("-  \"title\": \"first\"") && diff.contains("+  \"title\": \"won\""));

    let forged = Base { digest: first.digest(), ..base(&state, "desk") };
    let again = put(change_id(Unix(NOW), 4), template("desk", "again"), forged);
    assert!(matches!(apply(&mut state, 3, again), Reply::Refused(Refusal::Conflict { .. })));
    assert_eq!(state.config.templates[&Workspace::from("desk")].template.title, "won");
}

#[test]
fn a_resend_gets_the_first_reply_after_hundreds_of_changes_and_a_new_leader() {
    // Guards against a change that takes effect again after others replaced it: an operator loses
    // the reply and sends the change again after 700 other changes, a new leader and a restore from
    // a snapshot. The first reply must be stored with the state and returned again, whether the
    // change was accepted or refused.
    let mut state = State::default();
    let accepted = put(change_id(Unix(NOW), 1), template("desk", "first"), Base::default());
    let refused = put(change_id(Unix(NOW), 2), template("desk", "late"), Base::default());
    let first = [apply(&mut state, 0, accepted.clone()), apply(&mut state, 0, refused.clone())];
    accept(&mut state, 5_000, 700);
    let snapshot = rmp_serde::to_vec_named(&state).unwrap();
    let mut state: State = rmp_serde::from_slice(&snapshot).unwrap();
    let at = state.config.at;
    assert_eq!([apply(&mut state, 9_000, accepted), apply(&mut state, 9_000, refused)], first);
    assert_eq!(state.config.at, at);
    let other = put(change_id(Unix(NOW), 1), template("desk", "other"), Base::default());
    assert_eq!(apply(&mut state, 9_000, other), Reply::Refused(Refusal::IdReused));
}

#[test]
fn an_id_outside_the_window_is_refused_and_never_applied_again() {
    // Guards against a change that is applied a second time on the next day: a script resends it
    // after its id was evicted, by age or by number. An evicted id must not be mistaken for a new
    // one, which its time of issue makes possible.
    let expired = Reply::Refused(Refusal::IdExpired);
    let old = put(change_id(Unix(NOW), 0), template("desk", "old"), Base::default());
    let mut by_age = State::default();
    apply(&mut by_age, 0, old.clone());
    assert_eq!(apply(&mut by_age, CHANGE_WINDOW_MS + 1, old.clone()), expired);
    // A new leader whose clock is behind does not reopen the window.
    assert_eq!(apply(&mut by_age, 0, old.clone()), expired);

    let mut by_number = State::default();
    apply(&mut by_number, 0, old.clone());
    accept(&mut by_number, 1, MAX_CHANGES as u64);
    assert_eq!(apply(&mut by_number, 2, old), expired);
    for malformed in ["", "x.y", "17.", ".17", "+1.x", "99999999999999999999.x"] {
        let change = ChangeId::from(malformed);
        let command = put(change, template("desk", "x"), Base::default());
        assert_eq!(apply(&mut by_number, 3, command), expired, "{malformed}");
    }
}

#[test]
fn rollback_creates_a_new_version_and_numbers_continue_after_removal() {
    let mut state = State::default();
    let workspace = Workspace::from("desk");
    for (number, title) in [(1, "one"), (2, "two")] {
        let seen = base(&state, "desk");
        apply(&mut state, 0, put(change_id(Unix(NOW), number), template("desk", title), seen));
    }
    let change = change_id(Unix(NOW), 3);
    let seen = base(&state, "desk");
    let back = Command::Rollback { change, workspace: workspace.clone(), to: 1, base: seen };
    assert!(matches!(apply(&mut state, 0, back), Reply::Accepted { version: 3, .. }));
    assert_eq!(state.config.templates[&workspace].template.title, "one");

    let change = change_id(Unix(NOW), 4);
    let seen = base(&state, "desk");
    apply(&mut state, 0, Command::Remove { change, workspace: workspace.clone(), base: seen });
    let added = put(change_id(Unix(NOW), 5), template("desk", "anew"), Base::default());
    assert!(matches!(apply(&mut state, 0, added), Reply::Accepted { version: 4, .. }));
    let Reply::History(kept) = apply(&mut state, 0, Command::History { workspace }) else {
        panic!("no history")
    };
    assert_eq!(kept.iter().map(|(_, _, kept)| kept.version).collect::<Vec<_>>(), [1, 2, 3, 4]);
    assert!(kept.windows(2).all(|pair| pair[0].0 < pair[1].0));
}
