//! Counts at an entry what workspaces use, and tells the leader.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::usage::Life;
use chicoryford_fleet::usage::Meter;
use chicoryford_fleet::usage::Windows;
use chicoryford_types::Millis;

use crate::link::Link;
use crate::view::View;

/// How often the leader is told; what it was not told is lost with this process.
const TELL: Duration = Duration::from_millis(200);

/// Counts what workspaces use.
pub struct Usage {
    view: Rc<View>,
    windows: Windows,
    meter: RefCell<Meter>,
}

impl Usage {
    /// Starts to count in a new life of this process.
    pub fn new(node: &str, windows: Windows, view: Rc<View>) -> Rc<Self> {
        let life = Life { node: node.to_owned(), number: rand::random() };
        Rc::new(Self { view, windows, meter: RefCell::new(Meter::new(life)) })
    }

    /// Notes that a request of a workspace came.
    pub fn came(self: &Rc<Self>, workspace: &str) -> RequestUsage {
        let came = self.windows.at(self.view.wall());
        self.meter.borrow_mut().came(came);
        RequestUsage { usage: self.clone(), workspace: workspace.to_owned(), came, began: None }
    }

    /// Tells the leader for as long as the process lives.
    pub async fn report_periodically(self: Rc<Self>, link: Rc<Link>) {
        let mut told_on = 0;
        loop {
            tokio::time::sleep(TELL).await;
            let connection = link.connection();
            if !link.is_connected() {
                continue;
            }
            if connection != told_on {
                self.meter.borrow_mut().start_over();
                told_on = connection;
            }
            let told = self.meter.borrow_mut().tell(self.windows.at(self.view.wall()));
            if let Some(told) = told
                && !link.report_usage(told)
            {
                // It is told as on a new connection.
                told_on = 0;
            }
        }
    }
}

/// A request of a workspace that is under way. Dropped, it is counted if it began to run.
pub struct RequestUsage {
    usage: Rc<Usage>,
    workspace: String,
    came: u64,
    began: Option<u64>,
}

impl RequestUsage {
    /// Notes that the request began to run when the steady clock read `at`.
    pub fn began(&mut self, at: Millis) {
        self.began = Some(self.usage.windows.at(self.usage.view.wall_at(at)));
    }
}

impl Drop for RequestUsage {
    fn drop(&mut self) {
        self.usage.meter.borrow_mut().ended(self.came, &self.workspace, self.began);
    }
}
