//! The state shared by the follower duty, the feed and the HTTP threads of a process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use chicoryford_types::Config;
use chicoryford_types::Millis;
use tokio::sync::watch;

use crate::children::Children;
use crate::children::FollowOutcome;
use crate::message::FollowRequest;
use crate::status::FollowerStatus;
use crate::store::Store;

/// The name under which [`SharedState`] is registered for the HTTP threads.
pub const SHARED_STATE: &str = "config_shared";

/// The state shared by the follower duty, the feed and the HTTP threads. Locks are held only for
/// one decision, never during input or output.
pub struct SharedState {
    store: Mutex<Store>,
    children: Mutex<Children>,
    current: watch::Sender<Arc<Config>>,
    subtree_changes: watch::Sender<u64>,
    status: Mutex<FollowerStatus>,
}

impl SharedState {
    /// Creates the state with the configuration loaded from disk.
    pub fn new(store: Store) -> Self {
        let current = watch::Sender::new(store.config());
        Self {
            store: Mutex::new(store),
            children: Mutex::default(),
            current,
            subtree_changes: watch::Sender::new(0),
            status: Mutex::default(),
        }
    }

    /// Updates the store, and notifies the receivers if `update` returns that the configuration
    /// changed. Returns whether it did.
    pub fn update(&self, update: impl FnOnce(&mut Store) -> bool) -> bool {
        let mut store = self.store();
        let is_changed = update(&mut store);
        if is_changed {
            // Sent while the lock is held, so that no older configuration follows a newer one.
            self.current.send_replace(store.config());
        }
        is_changed
    }

    /// Locks the store.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no duty panics while it holds this lock")
    }

    /// Locks the table of children.
    pub fn children(&self) -> MutexGuard<'_, Children> {
        self.children.lock().expect("no duty panics while it holds this lock")
    }

    /// Records a follower's request, and notifies the follower duty if the subtree changed.
    pub fn record_follower(&self, request: &FollowRequest, now: Millis) -> FollowOutcome {
        let outcome = self.children().record(request, now);
        if outcome == FollowOutcome::Changed {
            self.subtree_changes.send_modify(|count| *count += 1);
        }
        outcome
    }

    /// Locks the status of the follower.
    pub fn status(&self) -> MutexGuard<'_, FollowerStatus> {
        self.status.lock().expect("no duty panics while it holds this lock")
    }

    /// Returns a receiver that is notified when the subtree below this process changes.
    pub fn watch_subtree(&self) -> watch::Receiver<u64> {
        self.subtree_changes.subscribe()
    }

    /// Returns a receiver that is notified when the configuration changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.current.subscribe()
    }
}
