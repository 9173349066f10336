//! The duty that owns the depot, on a thread of its own, so that a slow disk holds up nothing
//! else of its process.
//!
//! While the disk has no room, parts are refused at once, so that they go to other stores, and
//! those that are there are still given.

use std::collections::BTreeSet;
use std::sync::mpsc;

use bytes::Bytes;
use chicoryford_fleet::copies::PartId;
use tokio::sync::oneshot;

use crate::depot::Depot;
use crate::depot::DepotError;

/// Jobs that one sync serves at most.
const GROUP: usize = 64;

enum Job {
    Put(PartId, Bytes, oneshot::Sender<bool>),
    Get(PartId, oneshot::Sender<Option<Bytes>>),
    Keep(BTreeSet<PartId>),
}

/// The way to the depot's thread.
pub struct Worker {
    jobs: mpsc::Sender<Job>,
    identity: u64,
}

impl Worker {
    /// Starts the thread. `failed` is told when the disk fails; nothing is kept any more then.
    ///
    /// # Errors
    ///
    /// Why there is no thread.
    pub fn start(
        mut depot: Depot,
        failed: impl FnOnce(DepotError) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (jobs, queue) = mpsc::channel();
        let identity = depot.identity();
        let work = move || {
            if let Err(error) = run(&mut depot, &queue) {
                failed(error);
            }
        };
        std::thread::Builder::new().name("depot".to_owned()).spawn(work)?;
        Ok(Self { jobs, identity })
    }

    /// Gives the identity of the depot's folder.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Keeps a part; tells whether it is on the disk.
    pub async fn put(&self, part: PartId, bytes: Bytes) -> bool {
        let (done, told) = oneshot::channel();
        // A thread that has ended drops the sender, which reads as not kept.
        let _ = self.jobs.send(Job::Put(part, bytes, done));
        told.await.unwrap_or(false)
    }

    /// Reads a part.
    pub async fn get(&self, part: PartId) -> Option<Bytes> {
        let (done, told) = oneshot::channel();
        let _ = self.jobs.send(Job::Get(part, done));
        told.await.unwrap_or(None)
    }

    /// Forgets all parts but these.
    pub fn keep(&self, wanted: BTreeSet<PartId>) {
        let _ = self.jobs.send(Job::Keep(wanted));
    }
}

/// Tells of a disk that is full, and of one that has room again, once each.
#[derive(Default)]
struct Room {
    full: bool,
}

impl Room {
    /// Notes what became of a write; tells whether it was done. Other errors are handed on.
    fn note(&mut self, written: Result<(), DepotError>) -> Result<bool, DepotError> {
        match written {
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
    let mut room = Room::default();
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        while jobs.len() < GROUP {
            let Ok(job) = queue.try_recv() else { break };
            jobs.push(job);
        }
        let mut synced = Vec::new();
        for job in jobs {
            match job {
                Job::Put(part, bytes, done) => {
                    if room.note(depot.put(part, &bytes))? {
                        synced.push(done);
                    } else {
                        // Whoever asked may have left.
                        let _ = done.send(false);
                    }
                }
                Job::Get(part, done) => answer(depot, part, done),
                Job::Keep(wanted) => forget(depot, &wanted, &mut room)?,
            }
        }
        if !synced.is_empty() {
            depot.sync()?;
        }
        for done in synced {
            // Whoever asked may have left.
            let _ = done.send(true);
        }
    }
    Ok(())
}

/// Forgets parts. If the disk has no room to note it, their files go with the next that are forgotten.
fn forget(depot: &mut Depot, wanted: &BTreeSet<PartId>, room: &mut Room) -> Result<(), DepotError> {
    let before = depot.count();
    let kept = depot.keep(wanted);
    if room.note(kept.map(drop))? && depot.count() < before {
        let (forgotten, parts, bytes) = (before - depot.count(), depot.count(), depot.bytes());
        tracing::info!(event = "parts_forgotten", forgotten, parts, bytes);
    }
    Ok(())
}

fn answer(depot: &Depot, part: PartId, done: oneshot::Sender<Option<Bytes>>) {
    let found = depot.get(part).unwrap_or_else(|error| {
        // Other copies hold it too; this one counts as lost.
        tracing::error!(event = "part_unreadable", part = part.0, %error);
        None
    });
    let _ = done.send(found);
}
