//! Timeouts that are measured by the time for which this thread runs.
//!
//! A thread that was stalled has not read what others sent in the meantime. If its timeouts went by
//! the clock, it would consider others silent at the moment it resumes, with their messages unread
//! in its sockets: it would cancel attempts whose answers had arrived, and eject healthy endpoints.
//! Each timeout after which another process counts as silent, slow or lost is therefore measured
//! here. Limits of this process's own rights, such as leases, and deadlines of requests go by the
//! clock.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::Instant;
use chicoryford_types::Millis;
use thiserror::Error;

use crate::clock;
use crate::lag::Lag;
use crate::stall::Stall;
use crate::stall::TICK_INTERVAL;

thread_local! {
    static THREAD: ThreadTime = ThreadTime::default();
}

/// The run time of a thread. Ticks are recorded while there are timers.
struct ThreadTime {
    stall: Rc<Stall>,
    lag: Rc<RefCell<Lag>>,
    timers: Cell<usize>,
    ticks: RefCell<Option<JoinHandle<()>>>,
}

impl Default for ThreadTime {
    fn default() -> Self {
        let stall = Rc::new(Stall::new(clock::now()));
        Self { stall, lag: Rc::default(), timers: Cell::default(), ticks: RefCell::default() }
    }
}

impl ThreadTime {
    fn add_timer(&self) {
        let now = clock::now();
        // A runtime that ended has dropped its task, and another one may use the thread now.
        let is_ticking = self.ticks.borrow().as_ref().is_some_and(|ticks| !ticks.is_finished());
        if is_ticking {
            self.stall.record_tick(now);
            self.lag.borrow_mut().record_tick(now);
        } else {
            self.stall.restart(now);
            self.lag.borrow_mut().restart(now);
            *self.ticks.borrow_mut() = Some(actix_rt::spawn(run_ticks()));
        }
        self.timers.set(self.timers.get() + 1);
    }
}

async fn run_ticks() {
    loop {
        THREAD.with(|thread| thread.lag.borrow_mut().schedule(TICK_INTERVAL.as_millis() as u64));
        actix_rt::time::sleep(TICK_INTERVAL).await;
        let has_timers = THREAD.with(|thread| {
            let now = clock::now();
            thread.stall.record_tick(now);
            thread.lag.borrow_mut().record_scheduled(now);
            thread.timers.get() > 0
        });
        if !has_timers {
            return;
        }
    }
}

/// Measures the time for which this thread runs.
#[derive(Debug)]
pub struct RunTimer {
    started_ms: u64,
    /// A timer belongs to its thread.
    stall: Rc<Stall>,
    lag: Rc<RefCell<Lag>>,
}

impl RunTimer {
    /// Starts a timer. The thread must run an actix runtime.
    pub fn start() -> Self {
        THREAD.with(|thread| {
            thread.add_timer();
            let (stall, lag) = (thread.stall.clone(), thread.lag.clone());
            Self { started_ms: stall.ran_ms(), stall, lag }
        })
    }

    /// Returns the milliseconds for which the thread has run since the start.
    pub fn elapsed_ms(&self) -> u64 {
        self.record_tick();
        self.stall.ran_ms() - self.started_ms
    }

    /// Returns the time left until the thread has run for `limit`, and has read what arrived during
    /// a stall.
    pub fn left(&self, limit: Duration) -> Duration {
        self.record_tick();
        Duration::from_millis(self.stall.left_ms(self.started_ms, limit.as_millis() as u64))
    }

    /// Waits until the thread has run for `limit`, and has read what arrived during a stall.
    pub async fn expired(&self, limit: Duration) {
        loop {
            let left = self.left(limit);
            if left.is_zero() {
                return;
            }
            actix_rt::time::sleep(left).await;
        }
    }

    /// Waits until a time has passed by the clock, and the thread has read what arrived during a
    /// stall. Further stalls do not extend the time to read, so that a deadline holds at a thread
    /// that is stalled again and again.
    pub async fn passed(&self, until: Instant) {
        actix_rt::time::sleep_until(until).await;
        self.record_tick();
        let read_ms = self.stall.read_ms(self.started_ms);
        if read_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(read_ms)).await;
        }
    }

    /// Returns whether what arrived during a stall may be unread.
    pub fn is_reading(&self) -> bool {
        self.record_tick();
        self.stall.read_ms(self.started_ms) > 0
    }

    /// Waits until the thread has read what arrived during a stall, if there was one.
    pub async fn read(&self) {
        self.passed(Instant::now()).await;
    }

    /// Returns the mean delay of this thread's ticks over the last second in milliseconds.
    pub fn lag_ms(&self) -> u64 {
        self.record_tick();
        self.lag.borrow_mut().mean_ms(clock::now())
    }

    /// Returns the milliseconds for which a request that is read now may have waited unread.
    pub fn waited_ms(&self, now: Millis) -> u64 {
        self.stall.waited_ms(now)
    }

    fn record_tick(&self) {
        let now = clock::now();
        self.stall.record_tick(now);
        self.lag.borrow_mut().record_tick(now);
    }
}

impl Drop for RunTimer {
    fn drop(&mut self) {
        // At the end of a thread its run time may be gone before its last timers.
        let _ = THREAD.try_with(|thread| thread.timers.set(thread.timers.get() - 1));
    }
}

/// A wait ended without a result.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no result in time")]
pub struct Expired;

/// Waits for a future until this thread has run for `limit`, and has read what arrived during a
/// stall.
///
/// # Errors
///
/// Returns [`Expired`] if the future was not ready by then.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Expired> {
    let timer = RunTimer::start();
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = timer.expired(limit) => Err(Expired),
    }
}

/// Waits until this thread has run for `limit`, and has read what arrived during a stall.
pub async fn sleep(limit: Duration) {
    RunTimer::start().expired(limit).await;
}

/// Waits for a future until `limit` has passed by the clock, and what arrived during a stall is
/// read.
///
/// # Errors
///
/// Returns [`Expired`] if the future was not ready by then.
pub async fn deadline<F: Future>(limit: Duration, future: F) -> Result<F::Output, Expired> {
    let timer = RunTimer::start();
    let until = Instant::now() + limit;
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = timer.passed(until) => Err(Expired),
    }
}
