//! The requests of callers and the samples of trainers.

use chicoryford_types::Class;
use chicoryford_types::RequestId;
use chicoryford_types::Version;
use rand::Rng;
use rand::rngs::SmallRng;

/// Prefixes of callers' prompts.
const PREFIXES: u64 = 200;

/// Which sample of a trainer's step a request produces.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SampleOf {
    /// The trainer.
    pub trainer: usize,
    /// The step.
    pub step: u64,
    /// The group.
    pub group: usize,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// How urgent it is.
    pub class: Class,
    /// The number of its model: zero for callers, and one for each trainer.
    pub model: usize,
    /// Tokens that it produces.
    pub tokens: f32,
    /// Tokens that it is expected to produce.
    pub expected: u32,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// The prefix of its prompt.
    pub prefix: u64,
    /// When its answer is worthless.
    pub deadline: u64,
    /// Milliseconds between its arrival and that.
    pub patience: u64,
    /// The sample, if it is one.
    pub sample: Option<SampleOf>,
    /// Tokens that arrived from attempts that were lost, and the oldest version among them.
    pub produced: Option<(f32, Version)>,
    /// Attempts so far.
    pub attempts: u32,
}

/// Draws a number of tokens: log-normal with the given mean, cut off at `most`.
pub fn tokens(rng: &mut SmallRng, mean: f32, sigma: f32, most: f32) -> f32 {
    let normal: f32 = (0..12).map(|_| rng.random::<f32>()).sum::<f32>() - 6.0;
    let mu = mean.ln() - sigma * sigma / 2.0;
    (mu + sigma * normal).exp().clamp(8.0, most)
}

/// Draws a prefix, few of them popular.
pub fn prefix(rng: &mut SmallRng) -> u64 {
    let u: f32 = rng.random();
    (PREFIXES as f32 * u * u * u) as u64
}
