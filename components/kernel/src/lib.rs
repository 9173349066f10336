//! The microkernel: a registry of services by name, duties that run on threads of their own, and
//! the bounded rings that connect them. docs/ARCHITECTURE.md lists the duties of each role.

pub mod clock;
pub mod dump;
pub mod duty;
pub mod lag;
pub mod metrics;
pub mod phase;
pub mod registry;
pub mod ring;
pub mod run_time;
pub mod stall;

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

/// Gives a duty access to the rest of the process.
#[derive(Clone)]
pub struct Kernel {
    /// Services by name.
    pub registry: Arc<Registry>,
    /// State dumps by name.
    pub dumps: Arc<Dumps>,
    /// The running duties.
    pub duties: Arc<Duties>,
    /// The phase of the process.
    pub phases: Phases,
    /// The destination of metrics.
    pub metrics: Metrics,
    clock: std::time::Instant,
}

impl Kernel {
    /// Returns the kernel of a process that has no services yet.
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

/// Reads the wall clock. Only displayed times and idempotency keys depend on it.
pub fn unix() -> chicoryford_types::Unix {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    chicoryford_types::Unix(since.map_or(0, |duration| duration.as_millis() as u64))
}
