//! The state of an engine: its batch, cache, weights and faults.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::EngineSettings;
use super::cache::Cache;
use super::protocol::Fault;
use super::protocol::Health;
use super::protocol::Load;
use crate::rate_limit::RateLimiter;
use crate::record::Recorder;

/// Time constant of the decaying average of the token rate, in seconds.
const RATE_WINDOW_S: f64 = 2.0;

/// A stand-in engine.
pub struct Engine {
    /// The settings.
    pub settings: EngineSettings,
    /// The records of what the engine ran.
    pub records: Recorder,
    /// The slots of the batch, acquired in order of arrival.
    pub slots: Arc<Semaphore>,
    /// The slots for other engines that fetch weights from this one.
    pub feeds: Arc<Semaphore>,
    /// Limits the rate at which weights are sent to other engines.
    pub weights_limiter: RateLimiter,
    /// Counts crashes. A completion ends when the count differs from that at its start.
    pub crashes: watch::Sender<u64>,
    state: Mutex<State>,
}

/// The mutable state of an engine.
#[derive(Default)]
pub struct State {
    /// The version in use of each model.
    pub models: BTreeMap<String, u64>,
    /// The prefix cache.
    pub cache: Cache,
    /// Completions that wait or run, by request and attempt. Sending `true` cancels one.
    pub active: HashMap<(String, u32), watch::Sender<bool>>,
    /// Size of the fetched weights of each model, in bytes.
    pub sizes: BTreeMap<String, usize>,
    /// The URL from which other engines fetch weights, if this engine serves them.
    pub weights_url: Option<String>,
    /// Completions that have a slot in the batch.
    pub running: u32,
    /// Swaps in progress.
    pub swapping: u32,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The role that the last order set.
    pub role: String,
    /// The fault to inject into the next swap.
    pub fault: Option<Fault>,
    /// Factor by which tokens take longer.
    pub slow: u64,
    /// Whether the engine reports itself as unhealthy.
    pub unhealthy: bool,
    /// Remote addresses of the connections that are or were open.
    pub peers: HashSet<SocketAddr>,
    /// Remote addresses whose connections receive no further bytes.
    pub silent: HashSet<SocketAddr>,
    rate: f64,
    rate_updated: Option<Instant>,
    instance: u64,
}

/// One line of the engine's records.
#[derive(Clone, Debug, Serialize)]
pub struct Line<'a> {
    /// The event: `start`, `end`, `swap`, `give`, `crash` or `cancel`.
    pub event: &'a str,
    /// The engine's instance.
    pub instance: &'a str,
    /// The time, in Unix milliseconds.
    pub at: u64,
    /// The request, if any.
    pub request: &'a str,
    /// The attempt.
    pub attempt: u32,
    /// The model.
    pub model: &'a str,
    /// Tokens, or the version of a swap.
    pub count: u64,
    /// Spans of tokens and the weight version that generated each: first token, end (exclusive),
    /// version.
    pub spans: &'a [(u32, u32, u64)],
    /// How the completion, swap or cancellation ended.
    pub how: &'a str,
}

impl Engine {
    /// Creates an engine without completions.
    pub fn new(settings: EngineSettings, records: Recorder) -> Self {
        let state = State {
            models: settings.models.iter().cloned().collect(),
            cache: Cache::new(settings.cache, settings.gaps),
            slow: 1,
            instance: crate::record::unique(),
            ..State::default()
        };
        let slots = Arc::new(Semaphore::new(settings.slots));
        let feeds = Arc::new(Semaphore::new(settings.feeds));
        let weights_limiter = RateLimiter::default();
        let crashes = watch::Sender::new(0);
        Self { settings, records, slots, feeds, weights_limiter, crashes, state: Mutex::new(state) }
    }

    /// Locks the mutable state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nothing panics while it holds this lock")
    }

    /// Returns the identifier of the engine's current instance, which changes with each start.
    pub fn instance(&self) -> String {
        format!("{:016x}", self.state().instance)
    }

    /// Answers `GET /health`.
    pub fn health(&self) -> Health {
        let state = self.state();
        Health {
            instance: format!("{:016x}", state.instance),
            models: state.models.clone(),
            healthy: !state.unhealthy,
            gives: state.weights_url.clone(),
        }
    }

    /// Answers `GET /load`.
    pub fn load(&self) -> Load {
        let mut state = self.state();
        let (cached, evicted) = state.cache.events();
        state.count(0);
        Load {
            running: state.running,
            waiting: state.active.len() as u32 - state.running.min(state.active.len() as u32),
            rate: state.rate as u32,
            memory: state.cache.share(),
            cached,
            evicted,
            versions: state.models.clone(),
            ..Load::default()
        }
    }

    /// Injects a fault.
    pub fn fail(&self, fault: Fault) {
        let mut state = self.state();
        match fault {
            Fault::Silent => state.silent = state.peers.clone(),
            Fault::Unhealthy { on } => state.unhealthy = on,
            Fault::Slow { times } => state.slow = times.max(1),
            Fault::Crash => {
                drop(state);
                self.crash();
            }
            Fault::SwapFail | Fault::SwapLost | Fault::SwapTorn | Fault::SwapSilent => {
                state.fault = Some(fault)
            }
        }
    }

    /// Simulates a crash: exits the process if [`EngineSettings::exits`] is set, otherwise aborts all
    /// completions and restarts the engine within the process.
    pub fn crash(&self) {
        let instance = self.instance();
        self.records.write(&Line { event: "crash", ..Line::new(&instance) });
        if self.settings.exits {
            std::process::exit(3);
        }
        let mut state = self.state();
        state.instance = crate::record::unique();
        state.active.clear();
        state.cache = Cache::new(self.settings.cache, self.settings.gaps);
        state.models = self.settings.models.iter().cloned().collect();
        drop(state);
        self.crashes.send_modify(|count| *count += 1);
    }

    /// Returns whether [`Fault::Silent`] applies to the connection from `peer`.
    pub fn is_silent(&self, peer: Option<SocketAddr>) -> bool {
        peer.is_some_and(|peer| self.state().silent.contains(&peer))
    }
}

impl State {
    /// Adds generated tokens to the token rate.
    pub fn count(&mut self, tokens: u32) {
        let now = Instant::now();
        let elapsed = self.rate_updated.map_or(0.0, |then| now.duration_since(then).as_secs_f64());
        self.rate *= (-elapsed / RATE_WINDOW_S).exp();
        self.rate += f64::from(tokens) / RATE_WINDOW_S;
        self.rate_updated = Some(now);
    }
}

impl<'a> Line<'a> {
    /// Creates a line at the current time whose other fields are empty.
    pub fn new(instance: &'a str) -> Self {
        let at = crate::record::unix();
        Line {
            event: "",
            instance,
            at,
            request: "",
            attempt: 0,
            model: "",
            count: 0,
            spans: &[],
            how: "",
        }
    }
}
