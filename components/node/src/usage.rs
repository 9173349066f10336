//! Counts the usage of workspaces at an entry, and reports it to the leader.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::usage::EntryProcess;
use chicoryford_fleet::usage::Meter;
use chicoryford_fleet::usage::Windows;
use chicoryford_types::Millis;

use crate::link::Link;
use crate::view::View;

/// Interval of reports to the leader. Unreported usage is lost with this process.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Counts the usage of workspaces.
pub struct Usage {
    view: Rc<View>,
    windows: Windows,
    meter: RefCell<Meter>,
}

impl Usage {
    /// Starts counting in a new incarnation of this process.
    pub fn new(node: &str, windows: Windows, view: Rc<View>) -> Rc<Self> {
        let life = EntryProcess { node: node.to_owned(), number: rand::random() };
        Rc::new(Self { view, windows, meter: RefCell::new(Meter::new(life)) })
    }

    /// Records that a request of a workspace has arrived.
    pub fn start_request(self: &Rc<Self>, workspace: &str) -> RequestUsage {
        let window = self.windows.at(self.view.wall());
        self.meter.borrow_mut().begin_request(window);
        RequestUsage {
            usage: self.clone(),
            workspace: workspace.to_owned(),
            arrival_window: window,
            start_window: None,
        }
    }

    /// Reports to the leader for as long as the process runs.
    pub async fn report_periodically(self: Rc<Self>, link: Rc<Link>) {
        let mut reported_connection = 0;
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let connection = link.connection();
            if !link.is_connected() {
                continue;
            }
            if connection != reported_connection {
                self.meter.borrow_mut().resend_all();
                reported_connection = connection;
            }
            let report = self.meter.borrow_mut().next_report(self.windows.at(self.view.wall()));
            if let Some(report) = report
                && !link.report_usage(report)
            {
                // Everything is reported again, as on a new connection.
                reported_connection = 0;
            }
        }
    }
}

/// A request of a workspace in progress. When dropped, it is counted if it began to run.
pub struct RequestUsage {
    usage: Rc<Usage>,
    workspace: String,
    arrival_window: u64,
    start_window: Option<u64>,
}

impl RequestUsage {
    /// Records that the request began to run when the monotonic clock read `at`.
    pub fn record_start(&mut self, at: Millis) {
        self.start_window = Some(self.usage.windows.at(self.usage.view.wall_at(at)));
    }
}

impl Drop for RequestUsage {
    fn drop(&mut self) {
        self.usage.meter.borrow_mut().end_request(
            self.arrival_window,
            &self.workspace,
            self.start_window,
        );
    }
}
