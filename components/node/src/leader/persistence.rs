//! Periodically writes what the leader has learned to the stores and the log.

use std::rc::Weak;
use std::time::Duration;

use crate::clock;
use crate::leader::Leader;

/// Interval between checks for run progress to write as checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks whether the logged endpoints still match the registry.
const PERSIST_ENDPOINTS_INTERVAL_MS: u64 = 2_000;

/// Persists run progress, known endpoints and speeds of engines, which would otherwise be lost if
/// all processes failed at once.
pub(super) async fn run_persistence(leader: Weak<Leader>) {
    let mut last_persisted = clock::now();
    loop {
        tokio::time::sleep(CHECKPOINT_INTERVAL).await;
        let Some(leader) = leader.upgrade() else { return };
        leader.write_checkpoints().await;
        if clock::now().since(last_persisted) >= PERSIST_ENDPOINTS_INTERVAL_MS {
            last_persisted = clock::now();
            leader.persist_endpoints().await;
            leader.persist_speeds().await;
        }
    }
}
