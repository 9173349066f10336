//! The duty that encodes snapshots, so that neither the replica nor the disk waits for it.

use chicoryford_agreement::SnapshotMeta;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_state::State;

use crate::convert;
use crate::disk::Job;

/// A state to be encoded.
pub struct Take {
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// The state after its last entry.
    pub state: Box<State>,
}

/// Encodes states until their ring closes.
pub fn run(mut takes: Receiver<Take>, jobs: &Sender<Job>) {
    while let Some(Take { meta, state }) = takes.next_blocking() {
        let data = rmp_serde::to_vec_named(&*state).expect("the state is plain data");
        tracing::info!(event = "snapshot_encoded", index = meta.mark.index, bytes = data.len());
        if jobs.send_blocking(Job::Keep(convert::join(meta, data))).is_err() {
            return;
        }
    }
}
