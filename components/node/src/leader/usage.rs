//! The leader's accounting of workspace usage: committed to the log, summed up by window, and
//! reported to the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use chicoryford_fleet::ApplyOutcome;
use chicoryford_fleet::Command;
use chicoryford_fleet::duty::DutyAction;
use chicoryford_fleet::duty::Holding;
use chicoryford_fleet::usage::Counts;
use chicoryford_fleet::usage::ReportTracker;
use chicoryford_fleet::usage::Totals;
use chicoryford_fleet::usage::UsageReport;
use chicoryford_fleet::usage::Windows;
use chicoryford_http::Connection;
use chicoryford_http::ExchangeError;
use chicoryford_http::Request;
use chicoryford_kernel::run_time;
use chicoryford_platform::duty;
use chicoryford_platform::duty::CallOutcome;
use chicoryford_types::Millis;

use crate::clock;
use crate::leader::Leader;
use crate::metrics;

/// Interval between checks for usage to commit, windows to close and reports to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between commits of the usage that entries reported. If all processes fail at once, the
/// usage counted since the last commit is lost.
const WRITE_INTERVAL_MS: u64 = 500;
/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one call to the platform, in milliseconds. The platform may be slow; a report is due
/// ten seconds after its window, and the next report waits for it.
const CALL_TIMEOUT_MS: u64 = 2_500;
/// The first and the longest pause after a failed call; the pause doubles with each failure.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Maximum bytes of the platform's reply, of which only the status is used.
const MAX_PLATFORM_REPLY_BYTES: usize = 64 << 10;

/// Usage state of the leader that is not in the log.
pub(super) struct Usage {
    windows: Windows,
    tracker: RefCell<ReportTracker>,
    /// Reports of entries that are not in the log yet.
    pending: RefCell<Vec<UsageReport>>,
    /// The newest window that the platform has accepted; it has also accepted all earlier ones.
    accepted: Cell<Option<u64>>,
}

impl Usage {
    pub(super) fn new(windows: Windows, tracker: ReportTracker) -> Self {
        Self {
            windows,
            tracker: RefCell::new(tracker),
            pending: RefCell::default(),
            accepted: Cell::default(),
        }
    }
}

impl Leader {
    /// Queues the usage that an entry reported.
    pub fn record_usage(&self, report: UsageReport) {
        self.usage.pending.borrow_mut().push(report);
    }

    /// Commits the queued usage reports to the log.
    async fn write_usage(&self) {
        let reports = std::mem::take(&mut *self.usage.pending.borrow_mut());
        if reports.is_empty() {
            return;
        }
        let totals: Vec<Totals> = reports.iter().flat_map(|report| report.totals.clone()).collect();
        let written = totals.is_empty() || self.propose(Command::Use(totals)).await.is_ok();
        if !written {
            // The reports stay queued; their windows must not be closed without them.
            self.usage.pending.borrow_mut().splice(0..0, reports);
            return;
        }
        let mut tracker = self.usage.tracker.borrow_mut();
        reports.iter().for_each(|report| tracker.record(report));
    }

    /// Closes the next window if it is due.
    async fn close_window(&self) {
        let has_workspaces = self.config().is_some_and(|config| !config.workspaces.is_empty());
        let Some(wall) = self.context.followers.wall().filter(|_| has_workspaces) else { return };
        let next = self.context.replica.state().usage.next();
        let accepted = self.usage.accepted.get();
        let Some(window) = next else {
            let window = self.usage.windows.at(wall).saturating_sub(1);
            let outcome = self.propose(Command::CloseWindow { window, accepted }).await;
            tracing::info!(event = "usage_begun", window = window + 1, done = ?outcome);
            return;
        };
        let Some(ended_ms) = self.usage.windows.since_end(window, wall) else { return };
        if !self.usage.tracker.borrow_mut().may_close(window, ended_ms, clock::now()) {
            return;
        }
        let closed = self.propose(Command::CloseWindow { window, accepted }).await;
        if let Ok(ApplyOutcome::Changed) = closed {
            tracing::info!(event = "window_closed", window, ended_ms);
        }
    }

    /// Reports the next closed window to the platform. Returns the outcome of the call if one was
    /// made.
    async fn report_usage(&self, platform: SocketAddr) -> Option<CallOutcome> {
        let (window, counts) = self.next_report()?;
        let (node, token) = (&self.context.settings.node, self.epoch.0);
        let held = self.context.replica.state().holding.clone();
        let left_ms = match Holding::next_action(held.as_ref(), node, token, self.fleet_now()) {
            DutyAction::Wait => return None,
            DutyAction::Acquire => {
                let next = Holding::new(node, token, self.fleet_now());
                let done = self.propose(Command::Hold(next)).await;
                tracing::info!(event = "duty_taken", token, before = ?held, ?done);
                return None;
            }
            DutyAction::Call(left_ms) => left_ms,
        };
        let requests: u64 = counts.values().sum();
        let request = duty::usage_request(&held?, window, &counts);
        let began = clock::now();
        let limit_ms = left_ms.min(CALL_TIMEOUT_MS);
        let calling = call(platform, &request, began + limit_ms);
        let answer = run_time::deadline(Duration::from_millis(limit_ms), calling).await;
        let taken = match &answer {
            Ok(Ok(taken)) => *taken,
            Ok(Err(_)) | Err(_) => CallOutcome::Unclear,
        };
        let error = match &answer {
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
            Ok(Ok(_)) => String::new(),
        };
        let ms = clock::now().since(began);
        metrics::DUTY_CALLS.with_label_values(&["usage", outcome_label(taken)]).inc();
        tracing::info!(event = "usage_reported", window, token, requests, ?taken, ms, error);
        if matches!(taken, CallOutcome::Done | CallOutcome::Unfit) {
            self.usage.accepted.set(Some(window));
        }
        Some(taken)
    }

    fn next_report(&self) -> Option<(u64, Counts)> {
        let state = self.context.replica.state();
        let next = state.usage.unreported(self.usage.accepted.get());
        next.map(|(window, counts)| (window, counts.clone()))
    }
}

fn outcome_label(taken: CallOutcome) -> &'static str {
    match taken {
        CallOutcome::Done => "done",
        CallOutcome::Fenced => "fenced",
        CallOutcome::Busy => "busy",
        CallOutcome::Unfit => "unfit",
        CallOutcome::Unclear => "unclear",
    }
}

/// Makes one call. If the call is abandoned, the connection is reset, so that a request still in
/// transit is not executed after the time for which the duty is held. A VM that was frozen while
/// connecting must not send the request afterwards: its timers have not noticed the freeze, but
/// this clock has.
async fn call(
    platform: SocketAddr,
    request: &Request,
    until: Millis,
) -> Result<CallOutcome, ExchangeError> {
    let connection = Connection::open(platform, CONNECT_TIMEOUT).await?;
    if clock::now() >= until {
        return Err(ExchangeError::NotSent(std::io::Error::from(std::io::ErrorKind::TimedOut)));
    }
    let incoming = connection.start(request).await?;
    let (reply, _) = incoming.read_within(MAX_PLATFORM_REPLY_BYTES).await?;
    Ok(duty::call_outcome(reply.status))
}

/// Commits usage and closes windows for as long as this process leads.
pub(super) async fn run_accounting(leader: Weak<Leader>) {
    let mut last_written = Millis::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(leader) = leader.upgrade() else { return };
        if clock::now().since(last_written) >= WRITE_INTERVAL_MS {
            last_written = clock::now();
            leader.write_usage().await;
        }
        leader.close_window().await;
    }
}

/// Reports usage for as long as this process leads and no other has called with a higher token.
pub(super) async fn run_reports(leader: Weak<Leader>, platform: SocketAddr) {
    let mut pause = RETRY_PAUSE;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(leader) = leader.upgrade() else { return };
        match leader.report_usage(platform).await {
            None => {}
            Some(CallOutcome::Done | CallOutcome::Unfit) => pause = RETRY_PAUSE,
            Some(CallOutcome::Fenced) => {
                tracing::error!(event = "duty_lost", token = leader.epoch.0);
                return;
            }
            Some(CallOutcome::Busy | CallOutcome::Unclear) => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Starts the tasks of this module if the settings enable them.
pub(super) fn start(leader: &Rc<Leader>) -> Vec<tokio::task::JoinHandle<()>> {
    let settings = &leader.context.settings;
    let Some(platform) = settings.usage_address() else { return Vec::new() };
    vec![
        actix_rt::spawn(run_accounting(Rc::downgrade(leader))),
        actix_rt::spawn(run_reports(Rc::downgrade(leader), platform)),
    ]
}
