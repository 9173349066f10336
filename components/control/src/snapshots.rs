//! The duty that encodes snapshots, so that neither the replica nor the disk waits for it.

use chicoryford_agreement::SnapshotMeta;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_state::State;

use crate::convert;
use crate::disk::Report;

/// A state to be encoded.
pub struct SnapshotJob {
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// The state after its last entry.
    pub state: Box<State>,
}

/// Encodes states until their ring closes.
///
/// A snapshot goes back to the replica, which puts it behind the entries that it covers. If it
/// went to the disk from here, it could overtake entries that wait for room in the disk's ring;
/// the log would then start anew after it, and those entries would no longer fit.
pub fn run(mut takes: Receiver<SnapshotJob>, reports: &Sender<Report>) {
    while let Some(SnapshotJob { meta, state }) = takes.next_blocking() {
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
