//! The leader's side of sessions, in virtual time.

use chicoryford_control::sessions::Sessions;
use chicoryford_types::Millis;

#[test]
fn closes_only_what_was_not_renewed() {
    let mut sessions = Sessions::new(1_000);
    sessions.adopt([1, 2].into_iter(), Millis(0));
    assert!(sessions.renew(1, Millis(900)));
    assert!(!sessions.renew(3, Millis(900)));
    assert!(sessions.lapsed(Millis(1_000)).is_empty());
    assert_eq!(sessions.lapsed(Millis(1_101)), [2]);
}

#[test]
fn refuses_to_renew_what_is_being_closed() {
    // Symptom: two entries run the same step. Sequence: a session lapses, its end is proposed,
    // its entry renews before that is committed, another entry takes the steps. Cause: the
    // leader answers that the session holds although its end is on its way.
    let mut sessions = Sessions::new(1_000);
    sessions.adopt([1].into_iter(), Millis(0));
    assert_eq!(sessions.lapsed(Millis(1_200)), [1]);
    assert!(!sessions.renew(1, Millis(1_201)));
    assert!(sessions.lapsed(Millis(1_300)).is_empty());
    assert_eq!(sessions.lapsed(Millis(2_400)), [1]);
}

#[test]
fn gives_a_whole_period_after_a_change_of_leaders() {
    // Symptom: all steps change hands when the leader does. Sequence: a new leader is elected and
    // knows of no renewals. Cause: it counts what it has not seen as not renewed.
    let mut sessions = Sessions::new(1_000);
    sessions.adopt([1].into_iter(), Millis(0));
    sessions.clear();
    sessions.adopt([1].into_iter(), Millis(50_000));
    assert!(sessions.lapsed(Millis(51_000)).is_empty());
    assert_eq!(sessions.lapsed(Millis(51_101)), [1]);
}
