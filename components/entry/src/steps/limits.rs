//! How many samples of a workspace run at once at this entry.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_types::Workspace;
use chicoryford_types::template::Limits;
use tokio::sync::Semaphore;

/// The share of a workspace's limit that its samples may fill, in percent.
///
/// Samples and callers of one workspace count against the same limit. A step has thousands of
/// samples; without a share of their own they would fill the limit as soon as the step is
/// opened, and every caller of the workspace would be refused until it is done.
const SHARE: u32 = 75;

/// Bounds the samples of each workspace.
#[derive(Debug, Default)]
pub struct SampleLimits(RefCell<BTreeMap<Workspace, WorkspaceLimit>>);

#[derive(Debug)]
struct WorkspaceLimit {
    size: u32,
    places: Arc<Semaphore>,
}

impl SampleLimits {
    /// Gives the places of a workspace at this entry, one of `entries`. When the limit or the
    /// number of entries changes, new samples count in a new room; those that run end in the old
    /// one.
    pub fn semaphore(
        &self,
        workspace: &Workspace,
        limits: &Limits,
        entries: u32,
    ) -> Arc<Semaphore> {
        let own = u64::from(limits.running) / u64::from(entries.max(1));
        let size = (own * u64::from(SHARE) / 100).max(1) as u32;
        let mut rooms = self.0.borrow_mut();
        let fresh = || WorkspaceLimit { size, places: Arc::new(Semaphore::new(size as usize)) };
        let room = rooms.entry(workspace.clone()).or_insert_with(fresh);
        if room.size != size {
            *room = fresh();
        }
        room.places.clone()
    }
}
