//! Creates a new deployment with a single replica from the data folder of a deployment that lost
//! its majority.

use std::fs;
use std::path::Path;

use chicoryford_agreement::EntryId;
use chicoryford_agreement::Membership;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::ReplicaInfo;
use chicoryford_agreement::SnapshotMeta;
use chicoryford_storage::Disk;
use chicoryford_storage::HardState;
use chicoryford_storage::Recovered;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageSettings;
use chicoryford_storage::salvage;
use chicoryford_types::Epoch;
use chicoryford_types::Node;

use crate::apply::Applied;
use crate::convert;
use crate::error::StartError;
use crate::start::FOLDER;

/// The amount by which the epoch is raised. The lost replicas may have seen higher epochs than the
/// one whose folder is read; an agent that accepted orders of such an epoch would refuse the new
/// leader.
const EPOCH_INCREMENT: u64 = 1_000;

/// Creates the data folder `to` from the one below `from`, with this process as its only voter.
/// Does nothing if `to` already exists, so that the setting may remain after the restore.
///
/// The folder is created under another name and then renamed, so that a crash in between does not
/// leave an empty folder, with which this process would found an empty deployment.
///
/// # Errors
///
/// Returns [`StartError`] if `from` is damaged or `to` cannot be written; `to` does not exist then.
pub fn restore(
    from: &Path,
    to: &Path,
    node: &Node,
    address: &str,
    storage_settings: StorageSettings,
) -> Result<(), StartError> {
    if to.exists() {
        return Ok(());
    }
    let applied = replay(&from.join(FOLDER))?;
    let unfinished = to.with_extension("unfinished");
    if unfinished.exists() {
        fs::remove_dir_all(&unfinished).map_err(StartError::Restore)?;
    }
    write(&unfinished, &applied, node, address, storage_settings)?;
    fs::rename(&unfinished, to).map_err(StartError::Restore)?;
    let folder = to.parent().unwrap_or(Path::new("."));
    fs::File::open(folder).and_then(|f| f.sync_all()).map_err(StartError::Restore)?;
    tracing::warn!(event = "restored", index = applied.last.index, epoch = applied.last.epoch.0);
    Ok(())
}

/// Applies all entries of a folder, committed or not. Without the lost majority it cannot be
/// determined which entries were committed, or which ones the folder lacks.
fn replay(from: &Path) -> Result<Applied, StartError> {
    let salvaged = salvage(from)?;
    let recovered = Recovered {
        snapshot: salvaged.snapshot,
        entries: salvaged.entries,
        ..Recovered::default()
    };
    let saved = convert::saved_state(recovered)?;
    let mut applied = Applied::new(None);
    if let Some(snapshot) = &saved.snapshot {
        applied.reset(snapshot)?;
    }
    for entry in saved.entries {
        if entry.id.index > applied.last.index {
            applied.apply(entry)?;
        }
    }
    if applied.last == EntryId::default() {
        return Err(StartError::NothingToRestore(from.to_owned()));
    }
    Ok(applied)
}

fn write(
    to: &Path,
    applied: &Applied,
    node: &Node,
    address: &str,
    storage_settings: StorageSettings,
) -> Result<(), StartError> {
    let (mut storage, recovered) = Storage::open(to, storage_settings, Disk::default())?;
    let seat = ReplicaInfo { address: address.to_owned(), voter: true, replaces: None };
    let mut members = Membership::default();
    members.replicas.insert(ReplicaId::new(node.clone(), recovered.identity), seat);
    let meta = SnapshotMeta { last: applied.last, members };
    let data = rmp_serde::to_vec_named(&applied.state).expect("the state is plain data");
    let epoch = Epoch(applied.last.epoch.0 + EPOCH_INCREMENT);
    storage.save_hard_state(&HardState { epoch, vote: None })?;
    storage.save_snapshot(&convert::snapshot(&convert::build_snapshot(meta, data)))?;
    Ok(())
}
