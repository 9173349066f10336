//! What the follower duty, the feed and the HTTP threads of a process share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use chicoryford_types::Config;
use chicoryford_types::Millis;
use tokio::sync::watch;

use crate::children::Children;
use crate::children::Heard;
use crate::message::Follow;
use crate::standing::Standing;
use crate::store::Store;

/// The name under which [`Shared`] is offered to the HTTP threads.
pub const SHARED: &str = "config_shared";

/// What the follower duty, the feed and the HTTP threads share. The locks are held for the time
/// of one decision, never over input or output.
pub struct Shared {
    store: Mutex<Store>,
    children: Mutex<Children>,
    current: watch::Sender<Arc<Config>>,
    below: watch::Sender<u64>,
    standing: Mutex<Standing>,
}

impl Shared {
    /// Starts from what the disk held.
    pub fn new(store: Store) -> Self {
        let current = watch::Sender::new(store.config());
        Self {
            store: Mutex::new(store),
            children: Mutex::default(),
            current,
            below: watch::Sender::new(0),
            standing: Mutex::default(),
        }
    }

    /// Changes the store and tells all who watch if `change` says that it moved.
    pub fn change(&self, change: impl FnOnce(&mut Store) -> bool) -> bool {
        let mut store = self.store();
        let moved = change(&mut store);
        if moved {
            // Sent under the lock, so that no older configuration is sent after a newer one.
            self.current.send_replace(store.config());
        }
        moved
    }

    /// Locks the store.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no duty panics while it holds this lock")
    }

    /// Locks the table of children.
    pub fn children(&self) -> MutexGuard<'_, Children> {
        self.children.lock().expect("no duty panics while it holds this lock")
    }

    /// Takes a follower's question in, and tells the follower duty if it brought news.
    pub fn hear(&self, follow: &Follow, now: Millis) -> Heard {
        let heard = self.children().hear(follow, now);
        if heard == Heard::News {
            self.below.send_modify(|count| *count += 1);
        }
        heard
    }

    /// Locks what is known of this process's own parent.
    pub fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().expect("no duty panics while it holds this lock")
    }

    /// Gives a receiver that tells when something changed below this process.
    pub fn watch_below(&self) -> watch::Receiver<u64> {
        self.below.subscribe()
    }

    /// Gives a receiver that tells when the configuration changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.current.subscribe()
    }
}
