//! The interface by which other services of a process read the member view and change the process's
//! own announcement.

use std::sync::Arc;

use chicoryford_types::Member;
use chicoryford_types::Members;
use tokio::sync::watch;

/// The name under which [`Handle`] is registered.
pub const SERVICE: &str = "members";

/// Access to the member view and to this process's own announcement.
#[derive(Clone)]
pub struct Handle {
    view: watch::Receiver<Arc<Members>>,
    own: Arc<watch::Sender<Member>>,
}

impl Handle {
    /// Creates a handle from the two channels that the membership task uses.
    pub fn new(view: watch::Receiver<Arc<Members>>, own: Arc<watch::Sender<Member>>) -> Self {
        Self { view, own }
    }

    /// Returns the current member view.
    pub fn view(&self) -> Arc<Members> {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified when the view changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Members>> {
        self.view.clone()
    }

    /// Returns this process's own announcement.
    pub fn own(&self) -> Member {
        self.own.borrow().clone()
    }

    /// Changes this process's own announcement. The change is announced only if it makes a
    /// difference.
    pub fn announce(&self, change: impl FnOnce(&mut Member)) {
        self.own.send_if_modified(|own| {
            let before = own.clone();
            change(own);
            let differs = before != *own;
            if differs {
                own.announced += 1;
            }
            differs
        });
    }
}
