//! Whether the control processes have a majority, as one process knows it.

use std::time::Duration;
use std::time::Instant;

use chicoryford_config::quorum::GIVE_UP;
use chicoryford_config::quorum::Quorum;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn gives_up_for_all_once_the_first_has_waited() {
    // Symptom: each label waits for seconds while a region is cut off. Sequence: a proposal
    // fails, more follow. Cause: each of them began to wait anew.
    let (quorum, start) = (Quorum::default(), Instant::now());
    assert_eq!(quorum.patience(start), None);
    assert!(quorum.doubt(start), "the first must look");
    assert!(!quorum.doubt(start + SECOND), "one looks for all");
    assert_eq!(quorum.patience(start + SECOND), Some(GIVE_UP - SECOND));
    quorum.looked(start + SECOND);
    assert!(quorum.is_missing(start + GIVE_UP));
    quorum.found();
    assert!(!quorum.is_missing(start + GIVE_UP));
}

#[test]
fn tries_again_if_nobody_looks_any_more() {
    // Symptom: an entry refuses all labels for ever after a cut. Sequence: the thread that looked
    // for the majority ended, the majority came back. Cause: what it saw last went on to hold.
    let (quorum, start) = (Quorum::default(), Instant::now());
    assert!(quorum.doubt(start));
    quorum.looked(start + GIVE_UP);
    assert!(quorum.is_missing(start + GIVE_UP));
    let later = start + GIVE_UP + 4 * SECOND;
    assert_eq!(quorum.patience(later), None);
    assert!(quorum.doubt(later), "the next one that fails looks anew");
}
