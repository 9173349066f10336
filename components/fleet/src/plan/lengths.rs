//! Learns how long the samples of a model become, from its completed samples.

use chicoryford_types::Millis;

/// Factor by which earlier samples count less with each completed one. The last 200 samples, about
/// two steps, have most of the weight.
const DECAY: f64 = 0.995;
/// Milliseconds after which a new period of the longest sample begins. The longest sample of the
/// last two periods counts. Periods do not follow the steps, because several trainers may submit
/// steps of a model within a tenth of a second.
const PERIOD_MS: u64 = 30_000;
/// Completed samples in the last two periods from which on the longest one limits what is expected.
/// The short samples of a step are completed first, so a few say nothing about the longest: about
/// 8 in 100 samples are several times as long as the others.
const MIN_COMPLETED: usize = 100;

/// The lengths of the completed samples of a model.
#[derive(Clone, Debug, Default)]
pub(super) struct SampleLengths {
    /// Decaying sum of the tokens that were expected of completed samples.
    tokens: f64,
    /// Decaying sum of their events.
    events: f64,
    /// The most events in a sample of the current period and of the one before.
    longest: [usize; 2],
    /// The number of samples completed in these periods.
    completed: [usize; 2],
    /// When the current period began.
    period_began: Millis,
}

impl SampleLengths {
    /// Records a completed sample. One without an expectation says nothing about how many tokens
    /// make an event.
    pub(super) fn record(&mut self, expected_tokens: u64, events: usize, now: Millis) {
        if expected_tokens > 0 {
            self.tokens = self.tokens * DECAY + expected_tokens as f64;
            self.events = self.events * DECAY + events as f64;
        }
        if now.since(self.period_began) >= PERIOD_MS {
            self.longest = [0, self.longest[0]];
            self.completed = [0, self.completed[0]];
            self.period_began = now;
        }
        self.longest[0] = self.longest[0].max(events);
        self.completed[0] += 1;
    }

    /// Returns the most events in a recent sample.
    pub(super) fn longest(&self) -> usize {
        self.longest[0].max(self.longest[1])
    }

    /// Returns the most events to expect of a sample, or `None` if too few samples were completed.
    fn limit(&self) -> Option<usize> {
        let is_known = self.completed[0] + self.completed[1] >= MIN_COMPLETED;
        is_known.then(|| self.longest())
    }

    /// Returns the number of events expected of a sample, or `None` if nothing was expected of it
    /// or of any completed sample.
    pub(super) fn expected_events(&self, expected_tokens: u64) -> Option<f64> {
        (self.tokens > 0.0 && expected_tokens > 0)
            .then(|| expected_tokens as f64 * self.events / self.tokens)
    }

    /// Returns the number of events still expected of a sample that has `produced` some. Hints are
    /// often far off, so a sample that is longer than expected is assumed to continue for half of
    /// its events so far. No recent sample of the model being longer limits that, unless this
    /// sample itself is already as long.
    pub(super) fn remaining_events(&self, expected_tokens: u64, produced: usize) -> f64 {
        let expected = self.expected_events(expected_tokens).unwrap_or_default();
        let remaining = (expected - produced as f64).max(produced as f64 / 2.0);
        match self.limit().and_then(|limit| limit.checked_sub(produced)) {
            None | Some(0) => remaining,
            Some(limit) => remaining.min(limit as f64),
        }
    }
}
