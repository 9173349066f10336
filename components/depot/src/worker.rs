//! The duty that owns the depot, on a thread of its own, so that a slow disk does not block the
//! rest of the process.
//!
//! While the disk is full, parts are refused at once, so that they go to other stores, and existing
//! parts are still read.

use std::collections::BTreeSet;
use std::sync::mpsc;

use bytes::Bytes;
use chicoryford_fleet::copies::PartId;
use tokio::sync::oneshot;

use crate::depot::Depot;
use crate::depot::DepotError;

/// The most jobs per sync.
const MAX_JOBS_PER_SYNC: usize = 64;

enum Job {
    Put(PartId, Bytes, oneshot::Sender<bool>),
    Get(PartId, oneshot::Sender<Option<Bytes>>),
    Retain(BTreeSet<PartId>),
}

/// A handle to the depot's thread.
pub struct Worker {
    jobs: mpsc::Sender<Job>,
    identity: u64,
}

impl Worker {
    /// Starts the thread. `failed` is called if the disk fails; the depot stores nothing after
    /// that.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start(
        mut depot: Depot,
        failed: impl FnOnce(DepotError) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (jobs, queue) = mpsc::channel();
        let identity = depot.identity();
        let body = move || {
            if let Err(error) = run(&mut depot, &queue) {
                failed(error);
            }
        };
        std::thread::Builder::new().name("depot".to_owned()).spawn(body)?;
        Ok(Self { jobs, identity })
    }

    /// Returns the identity of the depot's folder.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Stores a part. Returns whether it is on the disk.
    pub async fn put(&self, part: PartId, bytes: Bytes) -> bool {
        let (replier, reply) = oneshot::channel();
        // A thread that has ended drops the sender, which counts as not stored.
        let _ = self.jobs.send(Job::Put(part, bytes, replier));
        reply.await.unwrap_or(false)
    }

    /// Reads a part.
    pub async fn get(&self, part: PartId) -> Option<Bytes> {
        let (replier, reply) = oneshot::channel();
        let _ = self.jobs.send(Job::Get(part, replier));
        reply.await.unwrap_or(None)
    }

    /// Drops all parts except `wanted` and recent ones.
    pub fn retain(&self, wanted: BTreeSet<PartId>) {
        let _ = self.jobs.send(Job::Retain(wanted));
    }
}

/// Logs when the disk becomes full and when it has space again, once each.
#[derive(Default)]
struct DiskSpace {
    full: bool,
}

impl DiskSpace {
    /// Records the result of a write. Returns whether it succeeded; passes on errors other than a
    /// full disk.
    fn record(&mut self, write: Result<(), DepotError>) -> Result<bool, DepotError> {
        match write {
            Err(error) if error.is_full() => {
                if !self.full {
                    tracing::error!(event = "disk_full", %error);
                }
                self.full = true;
                Ok(false)
            }
            Err(error) => Err(error),
            Ok(()) => {
                if self.full {
                    tracing::info!(event = "disk_has_room", written = true);
                }
                self.full = false;
                Ok(true)
            }
        }
    }
}

fn run(depot: &mut Depot, queue: &mpsc::Receiver<Job>) -> Result<(), DepotError> {
    let mut space = DiskSpace::default();
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        while jobs.len() < MAX_JOBS_PER_SYNC {
            let Ok(job) = queue.try_recv() else { break };
            jobs.push(job);
        }
        let mut awaiting_sync = Vec::new();
        for job in jobs {
            match job {
                Job::Put(part, bytes, replier) => {
                    if space.record(depot.put(part, &bytes))? {
                        awaiting_sync.push(replier);
                    } else {
                        // The caller may have stopped waiting.
                        let _ = replier.send(false);
                    }
                }
                Job::Get(part, replier) => send_part(depot, part, replier),
                Job::Retain(wanted) => drop_parts(depot, &wanted, &mut space)?,
            }
        }
        if !awaiting_sync.is_empty() {
            depot.sync()?;
        }
        for replier in awaiting_sync {
            // The caller may have stopped waiting.
            let _ = replier.send(true);
        }
    }
    Ok(())
}

/// Drops parts. If the disk is too full to record it, their files are removed with the next dropped
/// parts.
fn drop_parts(
    depot: &mut Depot,
    wanted: &BTreeSet<PartId>,
    space: &mut DiskSpace,
) -> Result<(), DepotError> {
    let before = depot.count();
    let result = depot.retain(wanted);
    if space.record(result.map(drop))? && depot.count() < before {
        let (forgotten, parts, bytes) = (before - depot.count(), depot.count(), depot.bytes());
        tracing::info!(event = "parts_forgotten", forgotten, parts, bytes);
    }
    Ok(())
}

fn send_part(depot: &Depot, part: PartId, replier: oneshot::Sender<Option<Bytes>>) {
    let part_bytes = depot.get(part).unwrap_or_else(|error| {
        // Other copies exist; this one counts as lost.
        tracing::error!(event = "part_unreadable", part = part.0, %error);
        None
    });
    let _ = replier.send(part_bytes);
}
