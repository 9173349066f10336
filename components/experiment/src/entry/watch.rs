//! Attempts that went silent, and samples that hold up their group.

use chicoryford_admission::Straggler;
use chicoryford_routing::AttemptOutcome;
use chicoryford_routing::EndpointId;
use chicoryford_types::Class;
use chicoryford_types::Outcome;
use chicoryford_types::Version;

use super::Entry;
use super::Flight;
use super::World;
use crate::request::Request;

/// Milliseconds without a frame after which a stream counts as silent.
const SILENCE_MS: u64 = 3_000;
/// Milliseconds without a frame after which an urgent request is rescued.
const RESCUE_MS: u64 = 1_200;

impl Entry {
    /// Looks for streams that went silent, and for samples that hold up their group.
    pub fn watch(&mut self, now: u64, floors: &[Version], world: &mut World<'_>) {
        for flight in &mut self.flights {
            let engine = &world.engines[flight.seat.0 as usize];
            let silent = engine.frozen > now || world.is_silent(flight);
            if !silent {
                flight.heard = now;
            }
        }
        let mut n = 0;
        while n < self.flights.len() {
            let flight = &self.flights[n];
            let quiet = now - flight.heard;
            if quiet < SILENCE_MS {
                n += 1;
                continue;
            }
            let frozen = world.engines[flight.seat.0 as usize].frozen > now;
            let ending = if frozen { AttemptOutcome::Failed } else { AttemptOutcome::Silent };
            self.lose(now, n, ending, Outcome::Unknown, world);
        }
        if self.arm.rescue {
            self.rescue(now, floors, world);
        }
        if self.arm.hedge {
            self.hedge(now, floors, world);
        }
    }

    /// Gives an urgent request that may run twice a second attempt after a second without a
    /// frame, for its deadline may be over before the silence counts as a failure.
    fn rescue(&mut self, now: u64, floors: &[Version], world: &mut World<'_>) {
        let quiet: Vec<(Request, EndpointId)> = self
            .flights
            .iter()
            .filter(|f| f.request.class == Class::Urgent && now - f.heard >= RESCUE_MS)
            .filter(|f| self.alone(f))
            .map(|f| (f.request.clone(), f.seat))
            .collect();
        for (request, seat) in quiet {
            let floor = floors[request.model];
            world.tally.hedges += 1;
            self.launch(now, request, floor, true, &[seat], world);
        }
    }

    fn alone(&self, flight: &Flight) -> bool {
        let same = |other: &&Flight| other.request.id == flight.request.id;
        self.flights.iter().filter(same).count() == 1
    }

    fn hedge(&mut self, now: u64, floors: &[Version], world: &mut World<'_>) {
        let seconds = self.flights.iter().filter(|f| f.second && f.request.sample.is_some());
        let most = self.flights.len().div_ceil(20);
        if seconds.count() >= most {
            return;
        }
        let mut found = None;
        for flight in &self.flights {
            let Some(sample) = flight.request.sample else { continue };
            let left = world.missing(sample);
            let ran_ms = now - flight.started;
            if left > 2 || ran_ms < flight.expected_ms || !self.alone(flight) {
                continue;
            }
            let (done, rate) = world.progress(flight, ran_ms);
            let remaining = (flight.request.expected as f32 * 1.5 - done).max(0.0);
            let straggler = Straggler {
                group_size: crate::trainer::SAMPLES as u32,
                unfinished: left,
                elapsed_ms: ran_ms,
                expected_ms: flight.expected_ms,
                second_ms: flight.expected_ms,
                remaining_ms: (remaining / rate.max(0.001)) as u64,
                capacity: self.room(now, flight.request.model),
            };
            found = Some((straggler, flight.request.clone(), flight.seat));
            break;
        }
        let Some((straggler, request, seat)) = found else { return };
        if self.admission.may_hedge(&straggler) {
            world.tally.hedges += 1;
            let floor = floors[request.model];
            self.launch(now, request, floor, true, &[seat], world);
        }
    }
}
