//! The adaptive limit of attempts at one endpoint (docs/ADMISSION.md).

/// Milliseconds a token that an endpoint took at its best fade into the present this slowly.
const BEST_WEIGHT: f32 = 0.001;
/// Latency of this multiple of the best still lets the limit grow.
const SLOW_FACTOR: f32 = 2.5;
/// The share that a slow attempt takes off the limit.
const DECREASE_SHARE: f32 = 0.05;
/// The least share of the slots to which a limit falls.
const MIN_SHARE: f32 = 0.25;

/// A limit that falls by a share when attempts are slow and grows by one in a round when not.
///
/// The number of slots that an agent announces is a guess: long prompts fill an engine's memory
/// before its slots. An engine past that point thrashes, every attempt at it gets slow, and
/// nothing but the latency shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdaptiveLimit {
    current: f32,
    slots: f32,
    best_token_ms: f32,
}

impl AdaptiveLimit {
    /// Sets the most that the limit may grow to.
    pub fn set_max(&mut self, slots: u32) {
        let slots = slots as f32;
        if self.slots != slots {
            self.slots = slots;
            self.current = slots;
        }
    }

    /// Learns from an attempt that took `token_ms` for each token.
    pub fn record(&mut self, token_ms: f32) {
        if self.best_token_ms == 0.0 || token_ms < self.best_token_ms {
            self.best_token_ms = token_ms;
        } else {
            self.best_token_ms += BEST_WEIGHT * (token_ms - self.best_token_ms);
        }
        if token_ms > SLOW_FACTOR * self.best_token_ms {
            self.current =
                (self.current * (1.0 - DECREASE_SHARE)).max((self.slots * MIN_SHARE).max(1.0));
        } else {
            self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.slots);
        }
    }

    /// Gives the limit.
    pub fn get(&self) -> f32 {
        self.current.max(1.0)
    }
}
