//! Starts a new deployment, alone, from the data folder of one whose majority is lost.

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

/// By how much the epoch is raised. The lost replicas may have seen epochs that the one whose
/// folder is read has not; an agent that obeyed one of those would refuse the new leader.
const RAISE: u64 = 1_000;

/// Makes the data folder `to` from the one below `from`, with this process as its only voter.
/// Does nothing if `to` is there already, so that the setting may stay after the restore.
///
/// The folder is made under another name and renamed, so that a crash in between does not leave
/// an empty one, with which this process would found an empty deployment.
///
/// # Errors
///
/// [`StartError`] if `from` is damaged or `to` cannot be written; `to` is then not there.
pub fn restore(
    from: &Path,
    to: &Path,
    node: &Node,
    address: &str,
    kept: StorageSettings,
) -> Result<(), StartError> {
    if to.exists() {
        return Ok(());
    }
    let applied = replay(&from.join(FOLDER))?;
    let unfinished = to.with_extension("unfinished");
    if unfinished.exists() {
        fs::remove_dir_all(&unfinished).map_err(StartError::Restore)?;
    }
    write(&unfinished, &applied, node, address, kept)?;
    fs::rename(&unfinished, to).map_err(StartError::Restore)?;
    let folder = to.parent().unwrap_or(Path::new("."));
    fs::File::open(folder).and_then(|f| f.sync_all()).map_err(StartError::Restore)?;
    tracing::warn!(event = "restored", index = applied.mark.index, epoch = applied.mark.epoch.0);
    Ok(())
}

/// Applies all that a folder holds, committed or not: of what it lacks, nothing can be known.
fn replay(from: &Path) -> Result<Applied, StartError> {
    let salvaged = salvage(from)?;
    let found = Recovered {
        snapshot: salvaged.snapshot,
        entries: salvaged.entries,
        ..Recovered::default()
    };
    let saved = convert::saved_state(found)?;
    let mut applied = Applied::new(None);
    if let Some(snapshot) = &saved.snapshot {
        applied.reset(snapshot)?;
    }
    for entry in saved.entries {
        if entry.id.index > applied.mark.index {
            applied.apply(entry)?;
        }
    }
    if applied.mark == EntryId::default() {
        return Err(StartError::NothingToRestore(from.to_owned()));
    }
    Ok(applied)
}

fn write(
    to: &Path,
    applied: &Applied,
    node: &Node,
    address: &str,
    kept: StorageSettings,
) -> Result<(), StartError> {
    let (mut storage, recovered) = Storage::open(to, kept, Disk::default())?;
    let seat = ReplicaInfo { address: address.to_owned(), voter: true, replaces: None };
    let mut members = Membership::default();
    members.replicas.insert(ReplicaId::new(node.clone(), recovered.identity), seat);
    let meta = SnapshotMeta { last: applied.mark, members };
    let data = rmp_serde::to_vec_named(&applied.state).expect("the state is plain data");
    let epoch = Epoch(applied.mark.epoch.0 + RAISE);
    storage.save_hard_state(&HardState { epoch, vote: None })?;
    storage.save_snapshot(&convert::snapshot(&convert::build_snapshot(meta, data)))?;
    Ok(())
}
