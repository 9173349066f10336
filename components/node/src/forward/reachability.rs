//! Connects to endpoints, and reports to the leader which of them cannot be connected to.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::pick::Target;
use chicoryford_fleet::reachability::Report;
use chicoryford_http::Connection;
use chicoryford_http::ExchangeError;
use chicoryford_kernel::run_time;
use chicoryford_types::Millis;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;

use super::CONNECT_TIMEOUT;
use super::dispatch::Dispatch;
use super::pacing::Pacing;
use crate::clock;
use crate::link::Link;

/// Time after which a connection that is not established is reported. Round trips take a few
/// milliseconds, and callers of other processes would fail during the rest of the timeout. If the
/// connection is established after all, that is reported too.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Interval between checks of the connection to the leader.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether the endpoints of the attempts in flight have become unreachable,
/// for requests that are not paced.
const CUT_OFF_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of reports that wait for the leader.
const MAX_UNREPORTED: usize = 1_024;

/// Connects to endpoints and reports the results.
pub(super) struct Reporter {
    picker: Rc<RefCell<Picker>>,
    /// Wakes the paced calls that depend on endpoints which become reachable.
    pacing: Option<Rc<Pacing>>,
    unreported: RefCell<Vec<Report>>,
    /// Notified when there is a report.
    added: Notify,
}

impl Reporter {
    /// Creates a reporter without reports.
    pub(super) fn new(picker: Rc<RefCell<Picker>>, pacing: Option<Rc<Pacing>>) -> Self {
        Self { picker, pacing, unreported: RefCell::default(), added: Notify::new() }
    }

    /// Returns whether an endpoint is known to be unreachable.
    pub(super) fn is_unreachable(&self, id: &str) -> bool {
        self.picker.borrow().is_unreachable(id, clock::now())
    }

    /// Connects to an endpoint.
    ///
    /// If reachability is shared, the connection attempt continues when the caller drops this
    /// future. A second attempt that is answered first would otherwise hide that the endpoint is
    /// unreachable.
    pub(super) async fn connect(
        self: &Rc<Self>,
        target: &Target,
    ) -> Result<Connection, ExchangeError> {
        let Some(started_ms) = self.reported_start(&target.id) else {
            return Connection::open(target.address, CONNECT_TIMEOUT).await;
        };
        let (this, id, address) = (self.clone(), target.id.clone(), target.address);
        let opening = actix_rt::spawn(async move { this.open(&id, started_ms, address).await });
        opening.await.unwrap_or_else(|error| Err(ExchangeError::NotSent(io::Error::other(error))))
    }

    /// Returns the start time of an endpoint, or `None` if its reachability is not shared.
    fn reported_start(&self, id: &str) -> Option<u64> {
        let mut picker = self.picker.borrow_mut();
        if picker.reachability().is_enabled() { picker.started_ms(id) } else { None }
    }

    async fn open(
        &self,
        id: &str,
        started_ms: u64,
        address: SocketAddr,
    ) -> Result<Connection, ExchangeError> {
        let mut opening = pin!(Connection::open(address, CONNECT_TIMEOUT));
        // If this thread was delayed, the connection may have been established in time.
        let opened = tokio::select! {
            biased;
            opened = &mut opening => opened,
            () = run_time::sleep(REPORT_DELAY) => {
                self.record_failure(id, started_ms);
                opening.await
            }
        };
        match &opened {
            Ok(_) => {
                let report = self.picker.borrow_mut().reachability().record_success(id, started_ms);
                self.record_marks();
                self.add(report);
            }
            Err(error) if shows_unreachable(error) => self.record_failure(id, started_ms),
            Err(_) => {}
        }
        opened
    }

    fn record_failure(&self, id: &str, started_ms: u64) {
        let mut picker = self.picker.borrow_mut();
        let report = picker.reachability().record_failure(id, started_ms, clock::now());
        self.add(report);
    }

    /// Wakes the paced calls that depend on endpoints whose mark has changed.
    fn record_marks(&self) {
        if let Some(pacing) = &self.pacing {
            pacing.record_marks(self.picker.borrow_mut().reachability().marked(clock::now()));
        }
    }

    fn add(&self, report: Option<Report>) {
        let mut unreported = self.unreported.borrow_mut();
        if let Some(report) = report
            && unreported.len() < MAX_UNREPORTED
        {
            unreported.push(report);
            self.added.notify_one();
        }
    }

    /// Sends the reports to the leader for as long as the process runs. Without a leader, they are
    /// dropped: those that still matter are sent to the next one when it is connected.
    pub(super) async fn run(self: Rc<Self>, link: Rc<Link>) {
        if !self.picker.borrow_mut().reachability().is_enabled() {
            return;
        }
        let mut connection = link.connection();
        loop {
            let _ = tokio::time::timeout(LINK_CHECK_INTERVAL, self.added.notified()).await;
            let now = clock::now();
            let mut reports = self.unreported.take();
            let heard = Millis(now.0.saturating_sub(link.silent_ms()));
            self.picker.borrow_mut().reachability().record_leader(heard);
            // The marks lapse some time after the leader's last message.
            self.record_marks();
            let mut picker = self.picker.borrow_mut();
            if link.is_connected() && link.connection() != connection {
                connection = link.connection();
                reports.extend(picker.reachability().reports_for_new_leader(now));
            }
            for report in reports {
                link.report_reachability(report);
            }
        }
    }
}

impl Dispatch<'_> {
    /// Returns whether all attempts in flight are at endpoints that have become unreachable, and
    /// another endpoint can be tried. Such attempts are not answered, and those on pooled
    /// connections do not fail either.
    pub(super) fn is_cut_off(&self) -> bool {
        let gate = self.attempts.gate.borrow();
        if self.attempts_left == 0 || gate.in_flight() == 0 || gate.in_flight() < gate.live() {
            return false;
        }
        let reporter = &self.forwarder.reporter;
        let records = self.attempts.records.borrow();
        let mut in_flight = records.iter().filter(|record| record.end.is_none());
        if !in_flight.all(|record| reporter.is_unreachable(&record.target.id)) {
            return false;
        }
        // A paced call joins the queue of the windows, so full ones are no reason to stay.
        if let Some(wanted) = self.paced_endpoints() {
            return wanted.iter().any(|id| !reporter.is_unreachable(id));
        }
        let fits = |id: &str| self.may_try(id) && !reporter.is_unreachable(id);
        self.forwarder.picker.borrow().has_ready(self.service, fits)
    }

    /// Abandons the attempts of a request that is cut off. A paced call may return to their
    /// endpoints, because the windows of all others may be full until its pass ends.
    pub(super) fn abandon_attempts<F>(&mut self, running: &mut FuturesUnordered<F>) {
        if self.paced_endpoints().is_some() {
            let (records, gate) = (self.attempts.records.borrow(), self.attempts.gate.borrow());
            let ids = gate.live_attempts().map(|index| records[index].target.id.clone());
            self.abandoned.extend(ids);
        }
        running.clear();
    }

    /// Waits until it must be checked whether the request is cut off.
    pub(super) async fn cut_off_check(&self) {
        if !self.paced_cut_off().await {
            run_time::sleep(CUT_OFF_CHECK_INTERVAL).await;
        }
    }
}

/// Returns whether an error shows that an endpoint cannot be connected to. Others, such as a lack
/// of file descriptors, are faults of this process.
fn shows_unreachable(error: &ExchangeError) -> bool {
    let ExchangeError::NotSent(error) = error else { return false };
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::TimedOut
    )
}
