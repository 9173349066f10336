//! The leader's record of sessions, in virtual time.

use chicoryford_control::sessions::Sessions;
use chicoryford_types::Millis;

#[test]
fn closes_only_sessions_that_were_not_renewed() {
    let mut sessions = Sessions::new(1_000);
    sessions.set_open([1, 2].into_iter(), Millis(0));
    assert!(sessions.renew(1, Millis(900)));
    assert!(!sessions.renew(3, Millis(900)));
    assert!(sessions.expired(Millis(1_000)).is_empty());
    assert_eq!(sessions.expired(Millis(1_101)), [2]);
}

#[test]
fn refuses_to_renew_a_session_that_is_being_closed() {
    // Guards against two entry processes that run the same step. A session expires, its closing is
    // proposed, and its entry process renews it before the proposal is committed. If the leader
    // reports the session as valid, another entry process takes over the steps of a running one.
    let mut sessions = Sessions::new(1_000);
    sessions.set_open([1].into_iter(), Millis(0));
    assert_eq!(sessions.expired(Millis(1_200)), [1]);
    assert!(!sessions.renew(1, Millis(1_201)));
    assert!(sessions.expired(Millis(1_300)).is_empty());
    assert_eq!(sessions.expired(Millis(2_400)), [1]);
}

#[test]
fn grants_a_whole_period_after_a_change_of_leaders() {
    // Guards against a change of leaders that moves all steps to other entry processes. A new
    // leader has no renewals; it must not count the renewals that it did not receive as missing.
    let mut sessions = Sessions::new(1_000);
    sessions.set_open([1].into_iter(), Millis(0));
    sessions.clear();
    sessions.set_open([1].into_iter(), Millis(50_000));
    assert!(sessions.expired(Millis(51_000)).is_empty());
    assert_eq!(sessions.expired(Millis(51_101)), [1]);
}
