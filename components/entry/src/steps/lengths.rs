//! Learned answer lengths, used to start the longest samples of a step first.
//!
//! A step waits for its last sample. A long sample that starts last also ends last while the
//! trainer idles; if it starts first, it overlaps with the short ones.

use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryford_types::Fingerprint;

/// Maximum number of prompts whose lengths are remembered.
const MAX_PROMPTS: usize = 65_536;
/// Weight of a new length in the exponentially weighted mean of a prompt.
const SMOOTHING: f64 = 0.3;

/// Learned answer lengths by prompt.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    means: HashMap<Fingerprint, f64>,
    order: VecDeque<Fingerprint>,
}

impl Lengths {
    /// Records the length of an answer in tokens. When the table is full, the prompt that was added
    /// first is evicted.
    pub fn record(&mut self, prompt: Fingerprint, tokens: u32) {
        if let Some(mean) = self.means.get_mut(&prompt) {
            *mean += SMOOTHING * (f64::from(tokens) - *mean);
            return;
        }
        if self.order.len() >= MAX_PROMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.means.remove(&oldest);
        }
        self.order.push_back(prompt);
        self.means.insert(prompt, f64::from(tokens));
    }

    /// Sorts `items` by expected length, longest first. Unknown prompts come first, because a wrong
    /// guess costs least when the sample starts early.
    pub fn sort<T>(&self, items: &mut [T], prompt: impl Fn(&T) -> Fingerprint) {
        let expected = |item: &T| {
            let mean = self.means.get(&prompt(item)).copied();
            mean.map_or(u64::MAX, |mean| mean as u64)
        };
        items.sort_by_key(|item| std::cmp::Reverse(expected(item)));
    }
}
