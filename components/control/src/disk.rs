//! The duty that writes and syncs, so that the replica never waits for the disk.
//!
//! A disk without room is like one that stalls: nothing is acknowledged until there is room again,
//! other replicas commit without this one, and it gives no vote. Ending the process would only
//! bring it back before the same full disk.

use std::time::Duration;

use chicoryford_agreement::Snapshot;
use chicoryford_agreement::Write;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageError;

use crate::convert;

/// Pause before what the disk had no room for is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// One thing to write.
#[derive(Clone, Debug)]
pub enum Job {
    /// What the replica wants kept.
    Write(Write),
    /// A snapshot that this process took itself.
    SaveSnapshot(Snapshot),
}

/// What this duty and that of the snapshots tell the replica.
#[derive(Clone, Debug)]
pub enum Report {
    /// All writes up to this one are on the disk.
    Synced {
        /// The last write.
        write: u64,
        /// The log's size in bytes.
        bytes: u64,
    },
    /// A state is encoded and waits to be kept.
    SnapshotEncoded(Snapshot),
    /// The snapshot is on the disk.
    SnapshotSaved(Snapshot),
    /// A write or sync failed; nothing is written any more.
    Failed(StorageError),
}

/// Takes jobs until their ring closes; once one has failed, it drops the others.
///
/// All jobs that wait are written before one sync serves them together (group commit), at most
/// `max_batch` of them, so that a measurement can compare with a sync for each.
pub fn run(
    mut storage: Storage,
    mut jobs: Receiver<Job>,
    reports: &Sender<Report>,
    max_batch: usize,
) {
    let mut failed = false;
    while let Some(first) = jobs.next_blocking() {
        let mut batch = vec![first];
        while batch.len() < max_batch {
            let Some(job) = jobs.take() else { break };
            batch.push(job);
        }
        if failed {
            continue;
        }
        let done = match write_batch(&mut storage, batch, || jobs.is_closed()) {
            Ok(done) => done,
            Err(error) => vec![Report::Failed(error)],
        };
        for report in done {
            failed |= matches!(report, Report::Failed(_));
            if reports.send_blocking(report).is_err() {
                return;
            }
        }
    }
}

fn write_batch(
    storage: &mut Storage,
    batch: Vec<Job>,
    ending: impl Fn() -> bool,
) -> Result<Vec<Report>, StorageError> {
    let mut last = None;
    let mut done = Vec::new();
    for job in batch {
        match job {
            Job::Write(write) => {
                last = Some(write.number);
                when_there_is_room(&ending, || write_one(storage, &write))?;
            }
            Job::SaveSnapshot(snapshot) => {
                let kept = convert::snapshot(&snapshot);
                when_there_is_room(&ending, || storage.save_snapshot(&kept))?;
                done.push(Report::SnapshotSaved(snapshot));
            }
        }
    }
    storage.sync()?;
    if let Some(write) = last {
        done.insert(0, Report::Synced { write, bytes: storage.bytes() });
    }
    Ok(done)
}

/// Tries a write until the disk has room for it, or nobody waits for it any more. Each write may be
/// tried again from its beginning.
fn when_there_is_room(
    ending: &impl Fn() -> bool,
    mut write: impl FnMut() -> Result<(), StorageError>,
) -> Result<(), StorageError> {
    let mut full = false;
    loop {
        match write() {
            Err(error) if error.is_full() && !ending() => {
                if !full {
                    tracing::error!(event = "disk_full", %error);
                }
                full = true;
                std::thread::sleep(FULL_PAUSE);
            }
            done => {
                if full {
                    tracing::info!(event = "disk_has_room", written = done.is_ok());
                }
                return done;
            }
        }
    }
}

fn write_one(storage: &mut Storage, write: &Write) -> Result<(), StorageError> {
    if let Some(hard) = &write.hard {
        storage.save_hard_state(&convert::hard_state(hard.clone()))?;
    }
    if let Some(snapshot) = &write.snapshot {
        storage.save_snapshot(&convert::snapshot(snapshot))?;
    }
    if let Some(from) = write.truncate {
        storage.truncate(from)?;
    }
    let entries: Vec<_> = write.entries.iter().map(convert::entry).collect();
    storage.append(&entries)
}
