//! How the other services of a process see the members and change its own announcement.

use std::sync::Arc;

use chicoryford_types::Member;
use chicoryford_types::Members;
use tokio::sync::watch;

/// The name under which [`Handle`] is offered.
pub const SERVICE: &str = "members";

/// The view of members, and this process's own announcement.
#[derive(Clone)]
pub struct Handle {
    view: watch::Receiver<Arc<Members>>,
    own: Arc<watch::Sender<Member>>,
}

impl Handle {
    /// Joins the two ends that the membership duty holds.
    pub fn new(view: watch::Receiver<Arc<Members>>, own: Arc<watch::Sender<Member>>) -> Self {
        Self { view, own }
    }

    /// Gives the members as last known.
    pub fn view(&self) -> Arc<Members> {
        self.view.borrow().clone()
    }

    /// Gives a receiver that tells when the view changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Members>> {
        self.view.clone()
    }

    /// Gives this process's own announcement.
    pub fn own(&self) -> Member {
        self.own.borrow().clone()
    }

    /// Changes this process's own announcement; it spreads if it differs.
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
