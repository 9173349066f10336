//! What workspaces used, at the leader: written into the log, summed up by window, reported to the
//! platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use chicoryford_fleet::Command;
use chicoryford_fleet::Done;
use chicoryford_fleet::duty::Holding;
use chicoryford_fleet::duty::Turn;
use chicoryford_fleet::usage::Counts;
use chicoryford_fleet::usage::Lives;
use chicoryford_fleet::usage::Told;
use chicoryford_fleet::usage::Totals;
use chicoryford_fleet::usage::Windows;
use chicoryford_http::Broken;
use chicoryford_http::Connection;
use chicoryford_http::Request;
use chicoryford_platform::duty;
use chicoryford_platform::duty::Taken;
use chicoryford_types::Millis;

use crate::clock;
use crate::leader::Leader;
use crate::metrics;

/// How often it is looked what is to be written, closed or reported.
const LOOK: Duration = Duration::from_millis(100);
/// Milliseconds between two writes of what entries told. A total loss of all processes loses what was
/// counted since the last one.
const WRITE_MS: u64 = 500;
/// How long a connection to the platform may take to come about.
const CONNECT: Duration = Duration::from_secs(1);
/// How long one call to the platform may take. It may be slow; a report is due ten seconds after its
/// window, and the next one waits for it.
const CALL_MS: u64 = 2_500;
/// The first pause after a call that was not answered well, and the longest; each is twice the one
/// before.
const PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What the leader has of usage that is not in the log.
pub(super) struct Usage {
    windows: Windows,
    lives: RefCell<Lives>,
    /// What entries told and is not in the log yet.
    untold: RefCell<Vec<Told>>,
    /// The newest window that the platform has accepted, with all before it.
    accepted: Cell<Option<u64>>,
}

impl Usage {
    pub(super) fn new(windows: Windows, lives: Lives) -> Self {
        Self {
            windows,
            lives: RefCell::new(lives),
            untold: RefCell::default(),
            accepted: Cell::default(),
        }
    }
}

impl Leader {
    /// Takes in what an entry has counted.
    pub fn record_usage(&self, told: Told) {
        self.usage.untold.borrow_mut().push(told);
    }

    /// Writes what entries told into the log.
    async fn write_usage(&self) {
        let told = std::mem::take(&mut *self.usage.untold.borrow_mut());
        if told.is_empty() {
            return;
        }
        let totals: Vec<Totals> = told.iter().flat_map(|told| told.totals.clone()).collect();
        let written = totals.is_empty() || self.propose(Command::Use(totals)).await.is_ok();
        if !written {
            // It is as good as not told, and its windows are not complete without it.
            self.usage.untold.borrow_mut().splice(0..0, told);
            return;
        }
        let mut lives = self.usage.lives.borrow_mut();
        told.iter().for_each(|told| lives.heard(told));
    }

    /// Closes the next window if that is due.
    async fn close_window(&self) {
        let keyed = self.config().is_some_and(|config| !config.workspaces.is_empty());
        let Some(wall) = self.context.followers.wall().filter(|_| keyed) else { return };
        let next = self.context.replica.state().usage.next();
        let accepted = self.usage.accepted.get();
        let Some(window) = next else {
            let window = self.usage.windows.at(wall).saturating_sub(1);
            let begun = self.propose(Command::CloseWindow { window, accepted }).await;
            tracing::info!(event = "usage_begun", window = window + 1, done = ?begun);
            return;
        };
        let Some(ended_ms) = self.usage.windows.since_end(window, wall) else { return };
        if !self.usage.lives.borrow_mut().may_close(window, ended_ms, clock::now()) {
            return;
        }
        let closed = self.propose(Command::CloseWindow { window, accepted }).await;
        if let Ok(Done::Changed) = closed {
            tracing::info!(event = "window_closed", window, ended_ms);
        }
    }

    /// Reports the next window that is closed; gives how it was taken, if there was a call.
    async fn report_usage(&self, platform: SocketAddr) -> Option<Taken> {
        let (window, counts) = self.next_report()?;
        let (node, token) = (&self.context.settings.node, self.epoch.0);
        let held = self.context.replica.state().holding.clone();
        let left_ms = match Holding::turn(held.as_ref(), node, token, self.fleet_now()) {
            Turn::Wait => return None,
            Turn::Take => {
                let next = Holding::taken(node, token, self.fleet_now());
                let done = self.propose(Command::Hold(next)).await;
                tracing::info!(event = "duty_taken", token, before = ?held, ?done);
                return None;
            }
            Turn::Call(left_ms) => left_ms,
        };
        let requests: u64 = counts.values().sum();
        let request = duty::usage(&held?, window, &counts);
        let began = clock::now();
        let limit_ms = left_ms.min(CALL_MS);
        let calling = call(platform, &request, began + limit_ms);
        let answer = tokio::time::timeout(Duration::from_millis(limit_ms), calling).await;
        let taken = match &answer {
            Ok(Ok(taken)) => *taken,
            Ok(Err(_)) | Err(_) => Taken::Unclear,
        };
        let error = match &answer {
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
            Ok(Ok(_)) => String::new(),
        };
        let ms = clock::now().since(began);
        metrics::DUTY_CALLS.with_label_values(&["usage", word(taken)]).inc();
        tracing::info!(event = "usage_reported", window, token, requests, ?taken, ms, error);
        if matches!(taken, Taken::Done | Taken::Unfit) {
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

fn word(taken: Taken) -> &'static str {
    match taken {
        Taken::Done => "done",
        Taken::Fenced => "fenced",
        Taken::Busy => "busy",
        Taken::Unfit => "unfit",
        Taken::Unclear => "unclear",
    }
}

/// Makes one call. Its connection is reset when the call is given up, so that what still waits on the
/// way is not carried out after the time for which the duty is held. A VM that was frozen while it
/// connected sends nothing afterwards: its timers have not noticed the freeze, this clock has.
async fn call(platform: SocketAddr, request: &Request, until: Millis) -> Result<Taken, Broken> {
    let connection = Connection::open(platform, CONNECT).await?;
    if clock::now() >= until {
        return Err(Broken::NotSent(std::io::Error::from(std::io::ErrorKind::TimedOut)));
    }
    let incoming = connection.start(request).await?;
    let (reply, _) = incoming.whole().await?;
    Ok(duty::taken(reply.status))
}

/// Keeps the log's account of usage, for as long as this process leads.
pub(super) async fn keep_book(leader: Weak<Leader>) {
    let mut written = Millis::default();
    loop {
        tokio::time::sleep(LOOK).await;
        let Some(leader) = leader.upgrade() else { return };
        if clock::now().since(written) >= WRITE_MS {
            written = clock::now();
            leader.write_usage().await;
        }
        leader.close_window().await;
    }
}

/// Reports usage, for as long as this process leads and no other has called with a higher token.
pub(super) async fn report(leader: Weak<Leader>, platform: SocketAddr) {
    let mut pause = PAUSE;
    loop {
        tokio::time::sleep(LOOK).await;
        let Some(leader) = leader.upgrade() else { return };
        match leader.report_usage(platform).await {
            None => {}
            Some(Taken::Done | Taken::Unfit) => pause = PAUSE,
            Some(Taken::Fenced) => {
                tracing::error!(event = "duty_lost", token = leader.epoch.0);
                return;
            }
            Some(Taken::Busy | Taken::Unclear) => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Starts what this module does, as far as the settings ask for it.
pub(super) fn start(leader: &Rc<Leader>) -> Vec<tokio::task::JoinHandle<()>> {
    let settings = &leader.context.settings;
    let Some(platform) = settings.usage_address() else { return Vec::new() };
    vec![
        actix_rt::spawn(keep_book(Rc::downgrade(leader))),
        actix_rt::spawn(report(Rc::downgrade(leader), platform)),
    ]
}
