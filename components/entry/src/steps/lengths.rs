//! Learned lengths of answers, by which the longest samples begin first.
//!
//! A step waits for its last sample. A long sample that begins last ends last, and the trainer
//! idles meanwhile; begun first, it overlaps with the short ones.

use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryford_types::Fingerprint;

/// Prompts whose lengths are remembered at most.
const PROMPTS: usize = 65_536;
/// The weight of a new length in a prompt's mean.
const LEARN: f64 = 0.3;

/// Learned lengths of answers, by prompt.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    means: HashMap<Fingerprint, f64>,
    order: VecDeque<Fingerprint>,
}

impl Lengths {
    /// Takes in the length of an answer, in tokens.
    pub fn learn(&mut self, prompt: Fingerprint, tokens: u32) {
        if let Some(mean) = self.means.get_mut(&prompt) {
            *mean += LEARN * (f64::from(tokens) - *mean);
            return;
        }
        if self.order.len() >= PROMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.means.remove(&oldest);
        }
        self.order.push_back(prompt);
        self.means.insert(prompt, f64::from(tokens));
    }

    /// Orders `items` by expected length, longest first. A prompt that is not known counts as
    /// the longest, because a wrong guess costs least when its sample begins early.
    pub fn sort<T>(&self, items: &mut [T], prompt: impl Fn(&T) -> Fingerprint) {
        let expected = |item: &T| {
            let mean = self.means.get(&prompt(item)).copied();
            mean.map_or(u64::MAX, |mean| mean as u64)
        };
        items.sort_by_key(|item| std::cmp::Reverse(expected(item)));
    }
}
