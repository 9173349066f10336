//! The task that writes and syncs, so that the replica never waits for the disk.
//!
//! A full disk is treated like a stalled one: nothing is acknowledged until there is free space
//! again, the other replicas commit without this one, and this one casts no vote. Ending the
//! process would not help, since it would restart with the same full disk.

use std::time::Duration;

use chicoryford_agreement::Snapshot;
use chicoryford_agreement::Write;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageError;

use crate::convert;

/// Pause before a write is retried for which the disk had no space.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(100);

/// A write for the disk.
#[derive(Clone, Debug)]
pub enum Job {
    /// A write that the replica requested.
    Write(Write),
    /// A snapshot that this process took itself.
    SaveSnapshot(Snapshot),
}

/// A report of the disk task or the snapshot task to the replica.
#[derive(Clone, Debug)]
pub enum Report {
    /// All writes up to this one are synced.
    Synced {
        /// The number of the last write.
        write: u64,
        /// The log's size in bytes.
        bytes: u64,
    },
    /// A snapshot is encoded but not yet written.
    SnapshotEncoded(Snapshot),
    /// The snapshot is synced.
    SnapshotSaved(Snapshot),
    /// A write or sync failed. Nothing is written after it.
    Failed(StorageError),
}

/// Processes jobs until their queue is closed. After a failure, it drops all further jobs.
///
/// All queued jobs, at most `max_batch`, are written and then synced together (group commit). The
/// limit lets a benchmark compare this with one sync for each job.
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
    is_closed: impl Fn() -> bool,
) -> Result<Vec<Report>, StorageError> {
    let mut last = None;
    let mut done = Vec::new();
    for job in batch {
        match job {
            Job::Write(write) => {
                last = Some(write.number);
                retry_while_full(&is_closed, || apply_write(storage, &write))?;
            }
            Job::SaveSnapshot(snapshot) => {
                let stored = convert::snapshot(&snapshot);
                retry_while_full(&is_closed, || storage.save_snapshot(&stored))?;
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

/// Retries a write until the disk has space for it or the job queue is closed. `write` must be safe
/// to repeat from its beginning.
fn retry_while_full(
    is_closed: &impl Fn() -> bool,
    mut write: impl FnMut() -> Result<(), StorageError>,
) -> Result<(), StorageError> {
    let mut full = false;
    loop {
        match write() {
            Err(error) if error.is_full() && !is_closed() => {
                if !full {
                    tracing::error!(event = "disk_full", %error);
                }
                full = true;
                std::thread::sleep(DISK_FULL_PAUSE);
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

fn apply_write(storage: &mut Storage, write: &Write) -> Result<(), StorageError> {
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
