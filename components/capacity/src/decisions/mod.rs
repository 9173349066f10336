//! Measures the decision code within this process: real sizes of messages and state, virtual time.

mod fleet;
mod gossip;
mod ledger;
mod routing;
mod spread;

use crate::data::Data;

/// Seeds of the repeats, counted from the run's seed.
const REPEATS: u64 = 3;

/// Measures all of them.
pub fn measure(data: &mut Data) {
    gossip::measure(data);
    ledger::measure(data);
    spread::measure(data);
    routing::measure(data);
    fleet::measure(data);
}
