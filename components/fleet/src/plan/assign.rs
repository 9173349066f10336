//! Which samples start now, and on which engines.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::Plan;
use super::seat::Seat;
use super::seat::rank;
use super::work::Assignment;
use super::work::Made;
use super::work::Phase;
use super::work::Progress;
use crate::config::Config;
use crate::config::Route;
use crate::step::Step;

impl Plan {
    /// Chooses the samples that start now: steps by rank and by the time at which they are due,
    /// of each the longest samples first, on the engine with the fewest runs. Each run beside it
    /// makes a sample half a percent slower (measured), which for the longest is time that its step
    /// does not have; to read a prompt once more takes 1 to 3 ms. So an engine that has read the
    /// group's prompt is preferred only among those with as few runs.
    pub fn assign(&mut self, config: &Config, now: Millis) -> Vec<Assignment> {
        let mut free: u32 =
            self.seats.values().filter(|seat| seat.is_ready(now)).map(Seat::room).sum();
        let mut chosen = Vec::new();
        let waiting = self.works.values().filter(|work| work.waiting > 0 && work.held <= now);
        let mut order: Vec<(u32, Millis, String)> = waiting
            .map(|work| (work.step.priority, work.at + work.step.due_ms, work.step.id.clone()))
            .collect();
        order.sort();
        for (_, _, id) in order {
            if free == 0 {
                break;
            }
            let before = chosen.len();
            self.assign_step(&id, config, now, &mut chosen);
            free = free.saturating_sub((chosen.len() - before) as u32);
        }
        chosen
    }

    fn assign_step(
        &mut self,
        id: &str,
        config: &Config,
        now: Millis,
        chosen: &mut Vec<Assignment>,
    ) {
        let Some(work) = self.works.get_mut(id) else { return };
        let step = work.step.clone();
        let mut homes: BTreeMap<&str, String> = BTreeMap::new();
        for place in 0..work.order.len() {
            let index = work.order[place] as usize;
            let sample = &step.samples[index];
            let progress = &mut work.progress[index];
            if progress.phase != Phase::Waiting {
                if let (Some(seat), false) = (&progress.seat, sample.group.is_empty()) {
                    homes.entry(&sample.group).or_insert_with(|| seat.clone());
                }
                continue;
            }
            let Some(route) = config.find(&step.host, &sample.path) else { continue };
            let avoid = progress.avoid.as_deref();
            let usual = if self.policy.engine_paces { self.usual_ms } else { 0.0 };
            let search = Search { step: &step, route, avoid, usual, now };
            let home = homes.get(sample.group.as_str()).map(String::as_str);
            let home = home.filter(|_| self.policy.group_homes);
            let Some(seat) = search.choose(&self.seats, home) else { continue };
            self.run += 1;
            work.waiting -= 1;
            let mut assignment = Assignment {
                run: self.run,
                step: step.clone(),
                index: index as u32,
                endpoint: seat.endpoint.said.id.clone(),
                address: seat.endpoint.said.address,
                version: seat.endpoint.said.models.get(&step.model).copied().unwrap_or_default(),
                made: Made::default(),
                beside: seat.load(),
                began: now,
            };
            progress.begin(&mut assignment);
            homes.insert(&sample.group, assignment.endpoint.clone());
            if let Some(seat) = self.seats.get_mut(&assignment.endpoint) {
                *seat.running.entry(step.model.clone()).or_default() += 1;
            }
            chosen.push(assignment);
        }
    }
}

impl Progress {
    /// Notes that the sample runs, and adds to the assignment what was made of it before.
    fn begin(&mut self, assignment: &mut Assignment) {
        let version = assignment.version;
        if assignment.step.single && self.made.versions.first().is_some_and(|v| *v != version) {
            self.made = Made::default();
        }
        assignment.made = self.made.clone();
        self.phase = Phase::Running;
        self.seat = Some(assignment.endpoint.clone());
        self.run = assignment.run;
        self.host = None;
        self.claimable = false;
        self.began = assignment.began;
        self.heard = assignment.began;
    }
}

/// What an engine is wanted for.
struct Search<'a> {
    step: &'a Step,
    route: &'a Route,
    /// An engine that was too slow for the sample.
    avoid: Option<&'a str>,
    usual: f64,
    now: Millis,
}

impl Search<'_> {
    /// Chooses the engine with the fewest runs: the one that has read the group's prompt, `home`, if
    /// it has as few.
    fn choose<'s>(
        &self,
        seats: &'s BTreeMap<String, Seat>,
        home: Option<&str>,
    ) -> Option<&'s Seat> {
        let fitting = seats.values().filter(|seat| self.fits(seat));
        let best = fitting.min_by(|a, b| self.rank(a).total_cmp(&self.rank(b)))?;
        let home = home.and_then(|id| seats.get(id)).filter(|seat| self.fits(seat));
        home.filter(|home| self.rank(home) <= self.rank(best)).or(Some(best))
    }

    fn rank(&self, seat: &Seat) -> f64 {
        rank(seat, self.usual, self.now)
    }

    fn fits(&self, seat: &Seat) -> bool {
        let said = &seat.endpoint.said;
        let version = said.models.get(&self.step.model);
        seat.is_ready(self.now)
            && seat.room() > 0
            && seat.loading.as_deref() != Some(&self.step.model)
            && self.avoid != Some(&said.id)
            && self.route.leads_to(&said.service)
            && version.is_some_and(|version| *version >= self.step.least)
    }
}
