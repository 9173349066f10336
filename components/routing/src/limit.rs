//! The adaptive concurrency limit of one endpoint (docs/ADMISSION.md).

/// The weight of a new observation in the best latency, so that the best slowly follows the present
/// one.
const BEST_WEIGHT: f32 = 0.001;
/// Latency above this multiple of the best is slow and reduces the limit.
const SLOW_FACTOR: f32 = 2.5;
/// The share by which a slow attempt reduces the limit.
const DECREASE_SHARE: f32 = 0.05;
/// The smallest limit, as a share of the slots.
const MIN_SHARE: f32 = 0.25;

/// An AIMD limit: it shrinks by a share on a slow attempt, and otherwise grows by one per limit's
/// worth of attempts.
///
/// The number of slots that an agent announces is a guess, because long prompts fill an engine's
/// memory before its slots. Beyond that point the engine thrashes and every attempt there becomes
/// slow, which only the latency shows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdaptiveLimit {
    current: f32,
    slots: f32,
    best_token_ms: f32,
}

impl AdaptiveLimit {
    /// Sets the largest limit and resets the current one to it if it changed.
    pub fn set_max(&mut self, slots: u32) {
        let slots = slots as f32;
        if self.slots != slots {
            self.slots = slots;
            self.current = slots;
        }
    }

    /// Updates the limit from an attempt that took `token_ms` per token.
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

    /// Returns the limit.
    pub fn get(&self) -> f32 {
        self.current.max(1.0)
    }
}
