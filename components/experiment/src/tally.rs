//! What a run measured.

use chicoryford_types::Class;
use hdrhistogram::Histogram;

/// What became of one class's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct PerClass {
    /// Requests that arrived.
    pub asked: u64,
    /// Requests answered in time.
    pub on_time: u64,
    /// Requests answered late, or failed after they ran.
    pub late: u64,
    /// Requests refused with "not run".
    pub refused: u64,
}

/// What a run measured.
#[derive(Clone, Debug)]
pub struct Tally {
    /// By class: batch, normal, urgent.
    pub class: [PerClass; 3],
    /// Tokens produced.
    pub tokens: f64,
    /// Tokens produced in vain.
    pub wasted: f64,
    /// The share of time that trainers waited.
    pub idle: f64,
    /// The mean staleness of delivered samples.
    pub lag: f64,
    /// The greatest.
    pub lag_most: u64,
    /// Steps delivered.
    pub steps: u64,
    /// Second attempts.
    pub hedges: u64,
    /// Broken promises.
    pub broken: u64,
    /// Attempts that found their prefix cached.
    pub hits: u64,
    /// Attempts that ran.
    pub runs: u64,
    /// Milliseconds that answers of callers took, normal and urgent.
    pub took: [Histogram<u64>; 2],
}

impl Default for Tally {
    fn default() -> Self {
        let empty = || Histogram::new_with_max(600_000, 2).expect("the bounds are sound");
        Self {
            class: Default::default(),
            tokens: 0.0,
            wasted: 0.0,
            idle: 0.0,
            lag: 0.0,
            lag_most: 0,
            steps: 0,
            hedges: 0,
            broken: 0,
            hits: 0,
            runs: 0,
            took: [empty(), empty()],
        }
    }
}

impl Tally {
    /// Gives the counts of a class.
    pub fn of(&mut self, class: Class) -> &mut PerClass {
        &mut self.class[class as usize]
    }

    /// Takes in how long an answer took.
    pub fn took(&mut self, class: Class, ms: u64) {
        if class > Class::Batch {
            self.took[class as usize - 1].saturating_record(ms.max(1));
        }
    }

    /// Gives the share of a class's requests that were answered in time.
    pub fn on_time(&self, class: Class) -> f64 {
        let counts = &self.class[class as usize];
        let ended = counts.on_time + counts.late + counts.refused;
        counts.on_time as f64 / ended.max(1) as f64
    }
}
