//! The adaptive limit of attempts at one endpoint (docs/ADMISSION.md).

/// Milliseconds a token that an endpoint took at its best fade into the present this slowly.
const FADE: f32 = 0.001;
/// Latency of this multiple of the best still lets the limit grow.
const TOLERANCE: f32 = 2.5;
/// The share that a slow attempt takes off the limit.
const BACK: f32 = 0.05;
/// The least share of the slots to which a limit falls.
const LEAST: f32 = 0.25;

/// A limit that falls by a share when attempts are slow and grows by one in a round when not.
///
/// The number of slots that an agent announces is a guess: long prompts fill an engine's memory
/// before its slots. An engine past that point thrashes, every attempt at it gets slow, and
/// nothing but the latency shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    now: f32,
    slots: f32,
    best: f32,
}

impl Limit {
    /// Sets the most that the limit may grow to.
    pub fn cap(&mut self, slots: u32) {
        let slots = slots as f32;
        if self.slots != slots {
            self.slots = slots;
            self.now = slots;
        }
    }

    /// Learns from an attempt that took `token_ms` for each token.
    pub fn learn(&mut self, token_ms: f32) {
        if self.best == 0.0 || token_ms < self.best {
            self.best = token_ms;
        } else {
            self.best += FADE * (token_ms - self.best);
        }
        if token_ms > TOLERANCE * self.best {
            self.now = (self.now * (1.0 - BACK)).max((self.slots * LEAST).max(1.0));
        } else {
            self.now = (self.now + 1.0 / self.now.max(1.0)).min(self.slots);
        }
    }

    /// Gives the limit.
    pub fn get(&self) -> f32 {
        self.now.max(1.0)
    }
}
