//! Trainers: each works through steps, one ahead of the one it trains on.

use chicoryford_types::Class;
use chicoryford_types::RequestId;
use chicoryford_types::Version;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::request::Request;
use crate::request::SampleOf;
use crate::request::tokens;

/// Groups of a step.
pub const GROUPS: usize = 16;
/// Samples of a group.
pub const SAMPLES: usize = 16;
/// The mean tokens of a sample.
pub const MEAN: f32 = 300.0;
/// The most tokens of a sample.
pub const MOST: f32 = 1_000.0;
/// How many versions a sample's oldest may lag.
pub const BOUND: u64 = 2;
/// Milliseconds in which a sample must be done.
const DEADLINE_MS: u64 = 120_000;

/// One trainer.
#[derive(Clone, Debug)]
pub struct Trainer {
    /// Its number; its model's number is one more.
    pub number: usize,
    /// The newest version that it published.
    pub version: Version,
    /// The step that is being collected.
    pub step: u64,
    /// The group and the oldest version of each finished sample of that step.
    pub ready: Vec<(usize, Version)>,
    /// How many samples of each group are missing.
    pub missing: Vec<u32>,
    /// Milliseconds that training on one step takes.
    pub train_ms: u64,
    /// Until when it trains; zero if it waits for samples.
    pub busy: u64,
    /// Milliseconds that it waited.
    pub idle: u64,
    /// Sum of staleness over delivered samples, and how many there were.
    pub lag: (u64, u64),
    /// The greatest staleness of a delivered sample.
    pub lag_most: u64,
    opened: bool,
}

impl Trainer {
    /// Makes a trainer that waits for its first step.
    pub fn new(number: usize, train_ms: u64) -> Self {
        Self {
            number,
            version: Version(1),
            step: 0,
            ready: Vec::new(),
            missing: Vec::new(),
            train_ms,
            busy: 0,
            idle: 0,
            lag: (0, 0),
            lag_most: 0,
            opened: false,
        }
    }

    /// Opens the next step, if it is time; gives its samples.
    pub fn open(&mut self, now: u64, rng: &mut SmallRng, longest: bool) -> Vec<Request> {
        if self.opened {
            return Vec::new();
        }
        self.opened = true;
        self.step += 1;
        self.ready.clear();
        self.missing = vec![SAMPLES as u32; GROUPS];
        let mut samples = Vec::with_capacity(GROUPS * SAMPLES);
        for group in 0..GROUPS {
            // The samples of one prompt are alike in length, which is what makes it learnable.
            let mean = tokens(rng, MEAN, 0.6, MOST);
            for _ in 0..SAMPLES {
                samples.push(self.sample(now, rng, group, mean));
            }
        }
        if longest {
            samples.sort_by_key(|sample| std::cmp::Reverse(sample.expected));
        }
        samples
    }

    fn sample(&self, now: u64, rng: &mut SmallRng, group: usize, mean: f32) -> Request {
        Request {
            id: RequestId(rng.random(), rng.random()),
            class: Class::Batch,
            model: self.number + 1,
            tokens: tokens(rng, mean, 0.4, MOST),
            expected: mean as u32,
            prompt: 500,
            prefix: (self.step * GROUPS as u64 + group as u64) << 8 | 1,
            deadline: now + DEADLINE_MS,
            patience: DEADLINE_MS,
            sample: Some(SampleOf { trainer: self.number, step: self.step, group }),
            produced: None,
            attempts: 0,
        }
    }

    /// Takes in a finished sample.
    pub fn take(&mut self, group: usize, oldest: Version) {
        self.missing[group] -= 1;
        self.ready.push((group, oldest));
    }

    /// Tells whether the training of a step is over, and publishes a version if so.
    pub fn publish(&mut self, now: u64) -> bool {
        let over = self.busy != 0 && now >= self.busy;
        if over {
            self.busy = 0;
            self.version = self.version.next();
        }
        over
    }

    /// Lets `ms` milliseconds pass: trains on the step if it is whole, else waits.
    pub fn tick(&mut self, now: u64, ms: u64) {
        let whole = self.ready.len() == GROUPS * SAMPLES;
        if self.busy == 0 && whole && self.opened {
            self.deliver();
            self.busy = now + self.train_ms;
            self.opened = false;
        }
        if self.busy == 0 {
            self.idle += ms;
        }
    }

    /// Throws out samples that are too stale to be delivered; gives new ones in their place.
    pub fn expel(&mut self, now: u64, rng: &mut SmallRng) -> Vec<Request> {
        let version = self.version.0;
        let stale = |oldest: Version| version > oldest.0 + BOUND;
        let groups: Vec<usize> =
            self.ready.iter().filter(|(_, v)| stale(*v)).map(|(group, _)| *group).collect();
        self.ready.retain(|(_, v)| !stale(*v));
        let mut again = Vec::new();
        for group in groups {
            self.missing[group] += 1;
            again.push(self.sample(now, rng, group, MEAN));
        }
        again
    }

    fn deliver(&mut self) {
        for (_, oldest) in &self.ready {
            let lag = self.version.0 - oldest.0.min(self.version.0);
            self.lag.0 += lag;
            self.lag.1 += 1;
            self.lag_most = self.lag_most.max(lag);
        }
    }
}
