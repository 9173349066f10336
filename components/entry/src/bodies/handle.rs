//! The bodies that this process holds, shared by its threads.

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

/// The name under which [`Bodies`] is offered.
pub const SERVICE: &str = "bodies";

/// A body and who holds it.
pub type HeldBody = (BodyName, Vec<Holder>);

/// The bodies that this process holds.
#[derive(Clone)]
pub struct Bodies(Arc<Inner>);

struct Inner {
    store: Mutex<Store>,
    /// What the batch that was pulled here last was made of, to drop it once it is acknowledged.
    pulled: Mutex<BTreeMap<Workspace, (Cursor, Vec<HeldBody>)>>,
}

/// Offers an empty store.
pub fn start(kernel: &Kernel, settings: &Settings) {
    let bound = settings.entry.clone().unwrap_or_default().bodies;
    let inner = Inner { store: Mutex::new(Store::new(bound)), pulled: Mutex::default() };
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
    /// Gives the store. The lock is held for a look-up or an insertion, never while waiting.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.0.store.lock().expect("nothing panics while it holds this lock")
    }

    /// Remembers what a batch was made of.
    pub fn record_batch(&self, workspace: Workspace, cursor: Cursor, held: Vec<HeldBody>) {
        self.batches().insert(workspace, (cursor, held));
    }

    /// Gives what an acknowledged batch was made of, if it was pulled here.
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
        self.0.pulled.lock().expect("nothing panics while it holds this lock")
    }
}
