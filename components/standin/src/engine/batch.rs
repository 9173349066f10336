//! What an engine holds: its batch, cache, weights and faults.

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
use crate::pace::Meter;
use crate::record::Recorder;

/// Seconds over which the rate of tokens is taken.
const RATE_WINDOW: f64 = 2.0;

/// An engine.
pub struct Engine {
    /// How it behaves.
    pub settings: EngineSettings,
    /// What it ran.
    pub records: Recorder,
    /// The places in the batch, taken in order of arrival.
    pub slots: Arc<Semaphore>,
    /// The places for other engines that fetch its weights.
    pub feeds: Arc<Semaphore>,
    /// Shares the rate at which it gives its weights.
    pub meter: Meter,
    /// Counts crashes; a completion ends when the count is no longer the one it began with.
    pub crashes: watch::Sender<u64>,
    state: Mutex<State>,
}

/// The part of an engine that changes.
#[derive(Default)]
pub struct State {
    /// The version in use of each model.
    pub models: BTreeMap<String, u64>,
    /// The prefix cache.
    pub cache: Cache,
    /// Completions by request and attempt; true tells one to stop.
    pub active: HashMap<(String, u32), watch::Sender<bool>>,
    /// Bytes of the weights of each model, as fetched.
    pub sizes: BTreeMap<String, usize>,
    /// Where it gives its weights to other engines.
    pub gives: Option<String>,
    /// Completions that have a place in the batch.
    pub running: u32,
    /// Swaps in progress.
    pub swapping: u32,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The role.
    pub role: String,
    /// What goes wrong with the next swap.
    pub fault: Option<Fault>,
    /// How many times as long tokens take.
    pub slow: u64,
    /// Whether it reports itself unhealthy.
    pub unhealthy: bool,
    /// Where connections come from that are or were open.
    pub peers: HashSet<SocketAddr>,
    /// Those whose connections never get another byte.
    pub silent: HashSet<SocketAddr>,
    rate: f64,
    counted: Option<Instant>,
    instance: u64,
}

/// One line of the engine's record.
#[derive(Clone, Debug, Serialize)]
pub struct Line<'a> {
    /// `start`, `end`, `swap`, `give`, `crash` or `cancel`.
    pub event: &'a str,
    /// The engine's instance.
    pub instance: &'a str,
    /// Unix milliseconds.
    pub at: u64,
    /// The request, if any.
    pub request: &'a str,
    /// The attempt.
    pub attempt: u32,
    /// The model.
    pub model: &'a str,
    /// Tokens, or the version of a swap.
    pub count: u64,
    /// Runs of tokens and the version that produced each, as from, to, version.
    pub spans: &'a [(u32, u32, u64)],
    /// How it ended.
    pub how: &'a str,
}

impl Engine {
    /// Makes an engine that runs nothing yet.
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
        let meter = Meter::default();
        let crashes = watch::Sender::new(0);
        Self { settings, records, slots, feeds, meter, crashes, state: Mutex::new(state) }
    }

    /// Gives the part that changes.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nothing panics while it holds this lock")
    }

    /// Names this start of the engine.
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
            gives: state.gives.clone(),
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

    /// Brings a fault about.
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

    /// Ends the process, or breaks all that runs and starts anew within it.
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

    /// Tells whether a connection is one that went silent.
    pub fn is_silent(&self, peer: Option<SocketAddr>) -> bool {
        peer.is_some_and(|peer| self.state().silent.contains(&peer))
    }
}

impl State {
    /// Counts generated tokens into the rate.
    pub fn count(&mut self, tokens: u32) {
        let now = Instant::now();
        let gap = self.counted.map_or(0.0, |then| now.duration_since(then).as_secs_f64());
        self.rate *= (-gap / RATE_WINDOW).exp();
        self.rate += f64::from(tokens) / RATE_WINDOW;
        self.counted = Some(now);
    }
}

impl<'a> Line<'a> {
    /// Starts a line; the caller fills in what applies.
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
