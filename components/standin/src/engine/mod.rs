//! A stand-in of a model engine with continuous batching, a prefix cache, weight swaps and faults
//! that can be injected.

mod batch;
mod cache;
mod generate;
mod protocol;
mod routes;
mod serve_weights;
mod stream;
mod swap;

use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_wire::Routes;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::ServeError;

use crate::http;
use crate::record::Recorder;

pub use batch::Engine;
pub use cache::prefix_hashes;
pub use generate::length;
pub use generate::token;
pub use protocol::Completion;
pub use protocol::Fault;
pub use protocol::Health;
pub use protocol::Load;
pub use protocol::Weights;

/// A prompt that contains this text makes the engine crash at once.
pub const CRASH_MARK: &str = "<crash>";

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The models that the engine serves, each with its initial version.
    pub models: Vec<(String, u64)>,
    /// Maximum number of completions that run concurrently; further ones are queued.
    pub slots: usize,
    /// Time to generate a token while only one completion runs, in microseconds.
    pub token_us: u64,
    /// Time that each further running completion adds to that of a token, in microseconds.
    pub batch_us: u64,
    /// Prefill time of a thousand prompt bytes that are not cached, in microseconds.
    pub prefill_us: u64,
    /// Tokens per chunk of the stream.
    pub chunk: u32,
    /// Median length of a completion, in tokens.
    pub length: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache: usize,
    /// One in this many cache events is not reported; zero to report all.
    pub gaps: u64,
    /// Time that a weight swap takes in addition to the fetch, in milliseconds.
    pub swap_ms: u64,
    /// Maximum number of other engines that fetch weights from this one concurrently; zero if it
    /// does not serve its weights.
    pub feeds: usize,
    /// Rate at which it sends weights to all of them together, in bytes per second.
    pub link: u64,
    /// Whether running completions pause during a swap.
    pub pause: bool,
    /// Whether orders with an old fencing number are refused. Some real engines ignore the number.
    pub fencing: bool,
    /// Whether a crash exits the process. If not, the engine restarts within the process, for
    /// tests.
    pub exits: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            models: vec![("model".to_owned(), 1)],
            slots: 16,
            token_us: 2_000,
            batch_us: 100,
            prefill_us: 200,
            chunk: 4,
            length: 48,
            cache: 512,
            gaps: 10,
            swap_ms: 200,
            feeds: 2,
            link: 64 << 20,
            pause: false,
            fencing: true,
            exits: false,
        }
    }
}

/// Starts an engine within the caller's actix system.
///
/// # Errors
///
/// Returns [`ServeError`] if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    settings: EngineSettings,
    records: Recorder,
) -> Result<(Running, Arc<Engine>), ServeError> {
    let engine = Arc::new(Engine::new(settings, records));
    let served_engine = engine.clone();
    let running = http::open(address, move || {
        let mut routes = Routes::default();
        routes::add(&mut routes, served_engine.clone());
        routes
    })?;
    if engine.settings.feeds > 0 {
        engine.state().weights_url = Some(format!("http://{}", running.address));
    }
    Ok((running, engine))
}
