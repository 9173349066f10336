//! The micro-kernel: services find each other by name, duties run on threads of their own, and
//! bounded rings join them. docs/ARCHITECTURE.md shows which duties each role has.

pub mod dump;
pub mod duty;
pub mod metrics;
pub mod phase;
pub mod registry;
pub mod ring;

use std::sync::Arc;

pub use dump::Dumps;
pub use duty::Duties;
pub use metrics::Metrics;
pub use phase::Phase;
pub use phase::Phases;
pub use registry::Registry;
pub use ring::Receiver;
pub use ring::Sender;
pub use ring::ring;

/// What a duty is given at its start: the ways to find the rest of the process.
#[derive(Clone)]
pub struct Kernel {
    /// Services by name.
    pub registry: Arc<Registry>,
    /// State dumps by name.
    pub dumps: Arc<Dumps>,
    /// The duties that run.
    pub duties: Arc<Duties>,
    /// Whether the process runs, drains or stops.
    pub phases: Phases,
    /// Where metrics go.
    pub metrics: Metrics,
    clock: std::time::Instant,
}

impl Kernel {
    /// Makes the kernel of a process that has no services yet.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            registry: Arc::new(Registry::default()),
            dumps: Arc::new(Dumps::default()),
            duties: Arc::new(Duties::default()),
            phases: Phases::new(),
            metrics,
            clock: std::time::Instant::now(),
        }
    }

    /// Reads the process's monotonic clock.
    pub fn now(&self) -> chicoryford_types::Millis {
        chicoryford_types::Millis(self.clock.elapsed().as_millis() as u64)
    }
}

/// Reads the wall clock, which only people and idempotency keys depend on.
pub fn unix() -> chicoryford_types::Unix {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    chicoryford_types::Unix(since.map_or(0, |d| d.as_millis() as u64))
}
