//! A sample that is being made, perhaps by two attempts at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_types::Endpoint;
use chicoryford_types::Millis;
use tokio::sync::watch;

/// How far the first maker of a sample has come.
#[derive(Debug, Default)]
pub struct SampleProgress {
    /// When it was let in; none while it waits.
    pub begun: Cell<Option<Millis>>,
    /// Tokens that it has.
    pub tokens: Cell<u32>,
    /// Where it runs.
    pub endpoint: RefCell<Option<Endpoint>>,
}

/// A sample that is being made.
#[derive(Debug)]
pub struct InFlight {
    /// How far its first maker has come.
    pub run_progress: Rc<SampleProgress>,
    /// How many runs it has: one, or two once it is hedged.
    pub runs: u32,
    /// Whether it was hedged before; it is not hedged again.
    pub hedged: bool,
    /// Tells the other maker to stop once one has recorded the sample.
    pub stop: watch::Sender<bool>,
}

impl Default for InFlight {
    fn default() -> Self {
        Self {
            run_progress: Rc::default(),
            runs: 1,
            hedged: false,
            stop: watch::Sender::new(false),
        }
    }
}
