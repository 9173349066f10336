//! Detects requests that crash the endpoints that run them, and reports them to the leader.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::crashes::LocalCrashes;
use chicoryford_http::Connection;
use chicoryford_http::Request;
use chicoryford_types::Fingerprint;

use crate::clock;
use crate::link::Link;
use crate::metrics;

/// Delay after a broken connection until its endpoint is probed for accepting others. A crashing
/// process closes its sockets one after the other.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of reports to the leader. Nearly every request that was in progress during a crash
/// completes elsewhere within this time, and is not reported at all.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of unreported crashes.
const MAX_UNREPORTED: usize = 1_024;

/// The crash records of this process.
#[derive(Default)]
pub struct Crashes {
    watch: RefCell<LocalCrashes>,
    unreported: RefCell<BTreeSet<Crash>>,
    reported: RefCell<BTreeSet<Fingerprint>>,
    cleared: RefCell<BTreeSet<Fingerprint>>,
}

impl Crashes {
    /// Replaces the contents that the fleet refuses.
    pub fn refuse(&self, refused: &BTreeSet<Fingerprint>) {
        self.watch.borrow_mut().set_refused(refused.clone());
    }

    /// Replaces the contents that the fleet suspects. If one of their requests completes here, that is
    /// reported, although other processes have seen the crashes.
    pub fn suspect(&self, suspected: &BTreeSet<Fingerprint>) {
        self.watch.borrow_mut().set_suspected(suspected.clone());
    }

    /// Returns whether a request must be refused.
    pub fn refuses(&self, request: &Request, workspace: &str) -> bool {
        let watch = self.watch.borrow();
        !watch.is_empty() && watch.refuses(content_fingerprint(request, workspace))
    }

    /// Checks whether an endpoint whose connection broke during a request has crashed.
    pub fn probe(self: &Rc<Self>, crash: Crash, address: SocketAddr) {
        let this = self.clone();
        actix_rt::spawn(async move {
            if has_crashed(address).await {
                this.record_crash(crash);
            } else {
                this.record_unanswered(crash);
            }
        });
    }

    /// Records that an endpoint crashed while it ran a request. If the same content has completed
    /// recently, it was not the reason.
    fn record_crash(&self, crash: Crash) {
        if self.watch.borrow().has_completed(crash.content, clock::now()) {
            tracing::info!(
                event = "endpoint_ended",
                endpoint = crash.endpoint,
                content = crash.content.0,
                completed_before = true
            );
            return;
        }
        self.watch.borrow_mut().record_crash(&crash);
        self.report(crash);
    }

    /// Records that an attempt got no answer. Its endpoint may have crashed without closing its
    /// connections, and falls silent then.
    pub fn record_unanswered(&self, attempt: Crash) {
        self.watch.borrow_mut().record_unanswered(attempt, clock::now());
    }

    /// Records that an endpoint has fallen silent.
    pub fn record_silence(&self, endpoint: &str) {
        let crashes = self.watch.borrow_mut().record_silence(endpoint, clock::now());
        crashes.into_iter().for_each(|crash| self.report(crash));
    }

    /// Logs a crash, and queues it for the next report to the leader.
    fn report(&self, crash: Crash) {
        tracing::info!(
            event = "endpoint_crashed",
            endpoint = crash.endpoint,
            content = crash.content.0
        );
        metrics::CRASHES.inc();
        let mut unreported = self.unreported.borrow_mut();
        if unreported.len() < MAX_UNREPORTED {
            unreported.insert(crash);
        }
    }

    /// Records that a request completed.
    pub fn record_completion(&self, request: &Request, workspace: &str) {
        let content = content_fingerprint(request, workspace);
        let mut watch = self.watch.borrow_mut();
        watch.record_completion(content, clock::now());
        let (seen, suspected) = (watch.clear_suspect(content), watch.take_suspected(content));
        if seen {
            self.unreported.borrow_mut().retain(|crash| crash.content != content);
        }
        if suspected || (seen && self.reported.borrow_mut().remove(&content)) {
            self.cleared.borrow_mut().insert(content);
        }
    }

    /// Reports to the leader for as long as the process runs.
    pub async fn report_periodically(self: Rc<Self>, link: Rc<Link>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            self.unreported.borrow_mut().retain(|crash| {
                let reported = link.report_crash(crash.clone());
                if reported {
                    self.reported.borrow_mut().insert(crash.content);
                }
                !reported
            });
            self.cleared.borrow_mut().retain(|content| !link.report_cleared(*content));
            let mut reported = self.reported.borrow_mut();
            while reported.len() > MAX_UNREPORTED {
                reported.pop_first();
            }
        }
    }
}

/// Returns whether an endpoint whose connection has just broken refuses new connections.
pub async fn has_crashed(address: SocketAddr) -> bool {
    tokio::time::sleep(PROBE_DELAY).await;
    Connection::open(address, CONNECT_TIMEOUT).await.is_err_and(|error| error.is_refused())
}

/// Returns the fingerprint of a request's content, without the parts that differ each time it is
/// sent.
pub fn content_fingerprint(request: &Request, workspace: &str) -> Fingerprint {
    let host = request.host();
    let head = format!("{} {host} {} {workspace}\n", request.method, request.target);
    Fingerprint::of_parts(&[head.as_bytes(), &request.body])
}
