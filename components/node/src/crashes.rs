//! Watches for requests that crash the endpoints that run them, and tells the leader.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::crashes::Watch;
use chicoryford_http::Broken;
use chicoryford_http::Connection;
use chicoryford_http::Request;
use chicoryford_types::Fingerprint;

use crate::link::Link;
use crate::metrics;

/// How long after a connection broke it is looked whether its endpoint still takes others. A process that
/// dies closes its sockets one after the other.
const LOOK_AFTER: Duration = Duration::from_millis(20);
/// How long a connection may take to come about.
const CONNECT: Duration = Duration::from_millis(250);
/// How often the leader is told. Nearly every request that was in progress at a crash runs to its end
/// elsewhere before that, and is not told of at all.
const TELL: Duration = Duration::from_millis(250);
/// Crashes that wait to be told at most.
const UNTOLD: usize = 1_024;

/// What this process knows of such requests.
#[derive(Default)]
pub struct Crashes {
    watch: RefCell<Watch>,
    untold: RefCell<BTreeSet<Crash>>,
    told: RefCell<BTreeSet<Fingerprint>>,
    cleared: RefCell<BTreeSet<Fingerprint>>,
}

impl Crashes {
    /// Takes in the contents that the fleet refuses.
    pub fn refuse(&self, refused: &BTreeSet<Fingerprint>) {
        self.watch.borrow_mut().refuse(refused.clone());
    }

    /// Tells whether a request is to be refused.
    pub fn refuses(&self, request: &Request, workspace: &str) -> bool {
        let watch = self.watch.borrow();
        !watch.is_empty() && watch.refuses(content(request, workspace))
    }

    /// Finds out whether an endpoint that broke off a request has crashed.
    pub fn look(self: &Rc<Self>, crash: Crash, address: SocketAddr) {
        let this = self.clone();
        actix_rt::spawn(async move {
            if has_crashed(address).await {
                this.crashed(crash);
            }
        });
    }

    fn crashed(&self, crash: Crash) {
        tracing::info!(
            event = "endpoint_crashed",
            endpoint = crash.endpoint,
            content = crash.content.0
        );
        metrics::CRASHES.inc();
        self.watch.borrow_mut().crashed(&crash);
        let mut untold = self.untold.borrow_mut();
        if untold.len() < UNTOLD {
            untold.insert(crash);
        }
    }

    /// Takes in that a request ran to its end.
    pub fn ran(&self, request: &Request, workspace: &str) {
        if self.watch.borrow().is_empty() {
            return;
        }
        let content = content(request, workspace);
        if self.watch.borrow_mut().cleared(content) {
            self.untold.borrow_mut().retain(|crash| crash.content != content);
            if self.told.borrow_mut().remove(&content) {
                self.cleared.borrow_mut().insert(content);
            }
        }
    }

    /// Tells the leader for as long as the process lives.
    pub async fn report_periodically(self: Rc<Self>, link: Rc<Link>) {
        loop {
            tokio::time::sleep(TELL).await;
            self.untold.borrow_mut().retain(|crash| {
                let told = link.report_crash(crash.clone());
                if told {
                    self.told.borrow_mut().insert(crash.content);
                }
                !told
            });
            self.cleared.borrow_mut().retain(|content| !link.report_cleared(*content));
            let mut told = self.told.borrow_mut();
            while told.len() > UNTOLD {
                told.pop_first();
            }
        }
    }
}

/// Tells whether an endpoint whose connection just broke takes no others.
pub async fn has_crashed(address: SocketAddr) -> bool {
    tokio::time::sleep(LOOK_AFTER).await;
    match Connection::open(address, CONNECT).await {
        Err(Broken::NotSent(error)) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Gives the fingerprint of what a request asks for, without what differs each time that it comes.
pub fn content(request: &Request, workspace: &str) -> Fingerprint {
    let host = request.host();
    let head = format!("{} {host} {} {workspace}\n", request.method, request.target);
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&request.body);
    Fingerprint::of(&bytes)
}
