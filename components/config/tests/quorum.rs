//! The status of the majority as observed by one process.

use std::time::Duration;
use std::time::Instant;

use chicoryford_config::quorum::QUORUM_LOSS_GRACE;
use chicoryford_config::quorum::QuorumStatus;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn all_proposals_are_refused_once_the_first_has_waited() {
    // Guards against calls that each wait for seconds while a region is partitioned. After the
    // first proposal failed, the following ones must not each wait for the full grace period again.
    let (quorum, start) = (QuorumStatus::default(), Instant::now());
    assert_eq!(quorum.remaining_grace(start), None);
    assert!(quorum.record_failure(start), "the first failure starts the probes");
    assert!(!quorum.record_failure(start + SECOND), "one thread probes for all");
    assert_eq!(quorum.remaining_grace(start + SECOND), Some(QUORUM_LOSS_GRACE - SECOND));
    quorum.record_failed_probe(start + SECOND);
    assert!(quorum.is_missing(start + QUORUM_LOSS_GRACE));
    quorum.record_available();
    assert!(!quorum.is_missing(start + QUORUM_LOSS_GRACE));
}

#[test]
fn proposals_are_tried_again_if_the_probes_have_stopped() {
    // Guards against an entry that refuses all calls forever after a partition. The thread that
    // probed the control processes ended, then the majority returned. The last probe result must
    // expire.
    let (quorum, start) = (QuorumStatus::default(), Instant::now());
    assert!(quorum.record_failure(start));
    quorum.record_failed_probe(start + QUORUM_LOSS_GRACE);
    assert!(quorum.is_missing(start + QUORUM_LOSS_GRACE));
    let later = start + QUORUM_LOSS_GRACE + 4 * SECOND;
    assert_eq!(quorum.remaining_grace(later), None);
    assert!(quorum.record_failure(later), "the next failure starts the probes again");
}
