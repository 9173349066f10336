//! Limits how many samples of a workspace run concurrently at this entry.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_types::Workspace;
use chicoryford_types::template::Limits;
use tokio::sync::Semaphore;

/// Percentage of a workspace's limit on running requests that its samples may use.
///
/// Samples and callers of a workspace count against the same limit. A step has thousands of
/// samples, which would otherwise exhaust the limit as soon as the step is opened; every caller of
/// the workspace would then be refused until the step is complete.
const SAMPLE_SHARE_PERCENT: u32 = 75;

/// Limits the concurrent samples of each workspace.
#[derive(Debug, Default)]
pub struct SampleLimits(RefCell<BTreeMap<Workspace, WorkspaceLimit>>);

#[derive(Debug)]
struct WorkspaceLimit {
    size: u32,
    semaphore: Arc<Semaphore>,
}

impl SampleLimits {
    /// Returns the semaphore for the samples of a workspace at this entry, which is one of
    /// `entries`. When the limit or the number of entries changes, new samples use a new
    /// semaphore, while running samples release their permits to the previous one.
    pub fn semaphore(
        &self,
        workspace: &Workspace,
        limits: &Limits,
        entries: u32,
    ) -> Arc<Semaphore> {
        let entry_limit = u64::from(limits.running) / u64::from(entries.max(1));
        let size = (entry_limit * u64::from(SAMPLE_SHARE_PERCENT) / 100).max(1) as u32;
        let mut workspaces = self.0.borrow_mut();
        let new_limit =
            || WorkspaceLimit { size, semaphore: Arc::new(Semaphore::new(size as usize)) };
        let limit = workspaces.entry(workspace.clone()).or_insert_with(new_limit);
        if limit.size != size {
            *limit = new_limit();
        }
        limit.semaphore.clone()
    }
}
