//! The engines and the network as the experiment plays them.

use chicoryford_types::Version;

use super::Flight;
use crate::engine::Engine;
use crate::engine::Job;
use crate::request::Request;
use crate::request::SampleOf;
use crate::tally::Tally;

/// What the entries share only because the experiment plays the network for them.
pub struct World<'a> {
    /// The engines.
    pub engines: &'a mut Vec<Engine>,
    /// What is measured.
    pub tally: &'a mut Tally,
    /// Samples that finished.
    pub done: &'a mut Vec<(SampleOf, Version, f32)>,
    /// The missing samples of each trainer's groups.
    pub missing: &'a [Vec<u32>],
    /// One attempt in this many loses its connection; zero for none.
    pub silent: u64,
}

impl World<'_> {
    pub(super) fn job(&mut self, entry: usize, attempt: u32, request: &Request) -> Job {
        let draw = request.id.1.wrapping_mul(31).wrapping_add(u64::from(attempt) * 7);
        Job {
            entry,
            id: request.id,
            attempt,
            class: request.class,
            model: request.model,
            tokens: request.tokens,
            done: request.produced.map_or(0.0, |(tokens, _)| tokens),
            prompt: request.prompt + request.produced.map_or(0, |(tokens, _)| tokens as u32),
            prefix: request.prefix,
            prefill: 0.0,
            version: request.produced.map_or(Version(u64::MAX), |(_, version)| version),
            silent: self.silent > 0 && draw.is_multiple_of(self.silent),
        }
    }

    pub(super) fn find(&self, flight: &Flight) -> Option<&Job> {
        let engine = &self.engines[flight.seat.0 as usize];
        let same = |job: &&Job| job.id == flight.request.id && job.attempt == flight.attempt;
        engine.running.iter().chain(&engine.queue).find(same)
    }

    pub(super) fn is_silent(&self, flight: &Flight) -> bool {
        self.find(flight).is_none_or(|job| job.silent)
    }

    pub(super) fn progress(&self, flight: &Flight, ran_ms: u64) -> (f32, f32) {
        let done = self.find(flight).map_or(0.0, |job| job.done);
        (done, done / ran_ms.max(1) as f32)
    }

    pub(super) fn missing(&self, sample: SampleOf) -> u32 {
        self.missing[sample.trainer].get(sample.group).copied().unwrap_or(0)
    }
}
