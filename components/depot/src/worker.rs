//! The duty that owns the depot, on a thread of its own, so that a slow disk holds up nothing
//! else of its process.

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

fn run(depot: &mut Depot, queue: &mpsc::Receiver<Job>) -> Result<(), DepotError> {
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
                    depot.put(part, &bytes)?;
                    synced.push(done);
                }
                Job::Get(part, done) => answer(depot, part, done),
                Job::Keep(wanted) => {
                    let forgotten = depot.keep(&wanted)?;
                    if forgotten > 0 {
                        let (parts, bytes) = (depot.count(), depot.bytes());
                        tracing::info!(event = "parts_forgotten", forgotten, parts, bytes);
                    }
                }
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

fn answer(depot: &Depot, part: PartId, done: oneshot::Sender<Option<Bytes>>) {
    let found = depot.get(part).unwrap_or_else(|error| {
        // Other copies hold it too; this one counts as lost.
        tracing::error!(event = "part_unreadable", part = part.0, %error);
        None
    });
    let _ = done.send(found);
}
