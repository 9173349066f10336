//! The task that encodes snapshots, so that neither the replica nor the disk waits for it.

use chicoryford_agreement::SnapshotMeta;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_state::State;

use crate::convert;
use crate::disk::Report;

/// A state to be encoded as a snapshot.
pub struct SnapshotJob {
    /// The metadata of the snapshot.
    pub meta: SnapshotMeta,
    /// The state after the last entry that the snapshot covers.
    pub state: Box<State>,
}

/// Encodes states until their queue is closed.
///
/// A snapshot is sent to the replica, which queues it after the entries that it covers. If it were
/// sent directly to the disk, it could overtake entries that wait for capacity in the disk's queue;
/// the log would then be cleared to start after the snapshot, and those entries would no longer
/// follow its last entry.
pub fn run(mut jobs: Receiver<SnapshotJob>, reports: &Sender<Report>) {
    while let Some(SnapshotJob { meta, state }) = jobs.next_blocking() {
        let data = rmp_serde::to_vec_named(&*state).expect("the state is plain data");
        tracing::info!(event = "snapshot_encoded", index = meta.last.index, bytes = data.len());
        if reports
            .send_blocking(Report::SnapshotEncoded(convert::build_snapshot(meta, data)))
            .is_err()
        {
            return;
        }
    }
}
