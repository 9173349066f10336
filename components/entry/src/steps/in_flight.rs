//! A sample in progress, with one run or, once it is hedged, two concurrent runs.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_kernel::run_time::RunTimer;
use chicoryford_types::Endpoint;
use tokio::sync::watch;

/// Progress of the first run of a sample.
#[derive(Debug, Default)]
pub struct SampleProgress {
    /// Measures the run from its admission; `None` while it waits and once it is generated. It does
    /// not include stalls of this process, during which nothing that the endpoint sent was read.
    pub timer: RefCell<Option<RunTimer>>,
    /// Number of tokens generated so far.
    pub tokens: Cell<u32>,
    /// Endpoint of the current attempt.
    pub endpoint: RefCell<Option<Endpoint>>,
}

/// A sample in progress.
#[derive(Debug)]
pub struct InFlight {
    /// Progress of the first run.
    pub first_run: Rc<SampleProgress>,
    /// Number of concurrent runs: one, or two once the sample is hedged.
    pub runs: u32,
    /// Whether the sample has been hedged; it is hedged at most once.
    pub hedged: bool,
    /// Stops the other run once one run has recorded the sample.
    pub stop: watch::Sender<bool>,
}

impl Default for InFlight {
    fn default() -> Self {
        Self { first_run: Rc::default(), runs: 1, hedged: false, stop: watch::Sender::new(false) }
    }
}
