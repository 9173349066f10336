//! A sample that is being made, perhaps by two attempts at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_types::Endpoint;
use chicoryford_types::Millis;
use tokio::sync::watch;

/// How far the first maker of a sample has come.
#[derive(Debug, Default)]
pub struct Pulse {
    /// When it was let in; none while it waits.
    pub begun: Cell<Option<Millis>>,
    /// Tokens that it has.
    pub tokens: Cell<u32>,
    /// Where it runs.
    pub endpoint: RefCell<Option<Endpoint>>,
}

/// A sample that is being made.
#[derive(Debug)]
pub struct Flight {
    /// How far its first maker has come.
    pub pulse: Rc<Pulse>,
    /// How many makers it has: one, or two once it is hedged.
    pub makers: u32,
    /// Whether it was hedged before; it is not hedged again.
    pub hedged: bool,
    /// Tells the other maker to stop once one has recorded the sample.
    pub stop: watch::Sender<bool>,
}

impl Default for Flight {
    fn default() -> Self {
        Self { pulse: Rc::default(), makers: 1, hedged: false, stop: watch::Sender::new(false) }
    }
}
