//! A model engine: continuous batching, a prefix cache, weight swaps, faults on request.

mod batch;
mod cache;
mod generate;
mod give;
mod protocol;
mod routes;
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

/// The content that makes the engine's process exit at once.
pub const CRASH_MARK: &str = "<crash>";

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The models that it serves, each with the version that it starts with.
    pub models: Vec<(String, u64)>,
    /// Completions that run at once; more wait in its queue.
    pub slots: usize,
    /// Time of a token when one completion runs, in microseconds.
    pub token_us: u64,
    /// What each further running completion adds to the time of a token, in microseconds.
    pub batch_us: u64,
    /// Time of a thousand prompt bytes that are not cached, in microseconds.
    pub prefill_us: u64,
    /// Tokens in a chunk of the stream.
    pub chunk: u32,
    /// The median length of a completion, in tokens.
    pub length: u32,
    /// Prefix blocks that the cache holds.
    pub cache: usize,
    /// One cache event in this many is lost; zero for none.
    pub gaps: u64,
    /// Time that a weight swap takes besides the fetch, in milliseconds.
    pub swap_ms: u64,
    /// How many other engines it gives its weights to at once; none if it does not offer that.
    pub feeds: usize,
    /// Bytes a second that it gives to all of them together.
    pub link: u64,
    /// Whether running completions stand still during a swap.
    pub pause: bool,
    /// Whether orders with an old fencing number are refused; some engines ignore it.
    pub fencing: bool,
    /// Whether a crash ends the process; otherwise the engine restarts within it, for tests.
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
/// [`ServeError`] if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    settings: EngineSettings,
    records: Recorder,
) -> Result<(Running, Arc<Engine>), ServeError> {
    let engine = Arc::new(Engine::new(settings, records));
    let held = engine.clone();
    let running = http::open(address, move || {
        let mut routes = Routes::default();
        routes::add(&mut routes, held.clone());
        routes
    })?;
    if engine.settings.feeds > 0 {
        engine.state().gives = Some(format!("http://{}", running.address));
    }
    Ok((running, engine))
}
