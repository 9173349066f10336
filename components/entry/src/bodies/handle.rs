//! The bodies stored in this process, shared by its threads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use chicoryford_bodies::Store;
use chicoryford_kernel::Kernel;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::Holder;
use chicoryford_settings::Settings;
use chicoryford_types::Cursor;
use chicoryford_types::Workspace;
use serde_json::json;

/// Registry name of [`Bodies`].
pub const SERVICE: &str = "bodies";

/// A body and its holders.
pub type HeldBody = (BodyName, Vec<Holder>);

/// Handle of the bodies stored in this process.
#[derive(Clone)]
pub struct Bodies(Arc<Inner>);

struct Inner {
    store: Mutex<Store>,
    /// The bodies of the last batch pulled here by workspace, to drop them once it is acknowledged.
    batches: Mutex<BTreeMap<Workspace, (Cursor, Vec<HeldBody>)>>,
}

/// Registers an empty store.
pub fn start(kernel: &Kernel, settings: &Settings) {
    let bound = settings.entry.clone().unwrap_or_default().bodies;
    let inner = Inner { store: Mutex::new(Store::new(bound)), batches: Mutex::default() };
    let bodies = Bodies(Arc::new(inner));
    kernel.registry.offer(SERVICE, bodies.clone());
    kernel.dumps.add("entry.bodies", move || {
        let bodies = bodies.clone();
        async move {
            let store = bodies.store();
            json!({"bodies": store.len(), "bytes": store.bytes(), "bound": bound})
        }
    });
}

impl Bodies {
    /// Locks the store. The lock must be held only for a lookup or an insertion, never across a
    /// wait.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.0.store.lock().expect("the lock is not poisoned")
    }

    /// Records the bodies of a pulled batch.
    pub fn record_batch(&self, workspace: Workspace, cursor: Cursor, held: Vec<HeldBody>) {
        self.batches().insert(workspace, (cursor, held));
    }

    /// Removes and returns the bodies of an acknowledged batch, if it was pulled here.
    pub fn take_batch(&self, workspace: &Workspace, cursor: Cursor) -> Vec<HeldBody> {
        let mut batches = self.batches();
        match batches.get(workspace) {
            Some((pulled, _)) if *pulled == cursor => {
                batches.remove(workspace).map(|(_, held)| held).unwrap_or_default()
            }
            _ => Vec::new(),
        }
    }

    fn batches(&self) -> MutexGuard<'_, BTreeMap<Workspace, (Cursor, Vec<HeldBody>)>> {
        self.0.batches.lock().expect("the lock is not poisoned")
    }
}
