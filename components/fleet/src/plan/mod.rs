//! Which sample runs next, and on which engine.
//!
//! The leader plans for the whole fleet: nobody else sends samples, so it knows what each engine
//! has without asking. Hosts carry runs out ([`crate::run`]), and tell the next leader of them.

mod assign;
mod free;
mod gather;
mod moves;
mod notes;
mod reports;
mod seat;
mod takeover;
mod work;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use crate::endpoint::Endpoint;
use crate::policy::Policy;
use crate::run::Cost;
use crate::step::Step;

pub use gather::GATHER_MS;
pub use gather::LAST_MS;
pub use gather::MOST_MS;
pub use seat::Seat;
pub use work::Assignment;
pub use work::Made;
pub use work::Next;
pub use work::Note;
pub use work::RunEnd;
pub use work::Told;

use work::Phase;
use work::Progress;
use work::Work;

/// How many times slower than the usual engine one must be for its runs to go on elsewhere. An
/// engine with all its slots taken is about a tenth slower than an idle one, so this is a fault.
const SLOW: f64 = 2.0;

/// Milliseconds for which the planner remembers what samples of a step that is over have cost. Their trainer
/// submits them again in one of its next steps, if at all.
const PAST_MS: u64 = 120_000;

/// Plans samples' runs.
#[derive(Default)]
pub struct Plan {
    works: BTreeMap<String, Work>,
    seats: BTreeMap<String, Seat>,
    usual_ms: f64,
    /// The longest samples of late, by model.
    longest: BTreeMap<String, gather::Longest>,
    /// The number of the last run.
    run: u64,
    /// Hosts that were asked what they run and have not told yet.
    untold: BTreeSet<String>,
    /// Samples that failed in steps that are over, with what they had cost by when, in case they come again.
    past: BTreeMap<String, (Cost, Millis)>,
    policy: Policy,
}

impl Plan {
    /// Makes the plan of a leader; its runs are numbered apart from those of other epochs.
    pub fn new(epoch: Epoch) -> Self {
        Self { run: epoch.0 << 32, ..Self::default() }
    }

    /// Plans with these mechanisms.
    pub fn under(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes in a step that is open. `listed` tells which samples have their results, `at` when it
    /// was submitted, and `held` until when hosts may still tell that they run samples of it.
    pub fn open(
        &mut self,
        step: Arc<Step>,
        at: Millis,
        held: Millis,
        listed: impl Fn(u32) -> bool,
    ) {
        if self.works.contains_key(&step.id) {
            return;
        }
        let progress = (0..step.samples.len() as u32).map(|index| {
            let past = self.past.get(&step.samples[index as usize].id);
            let phase = if listed(index) { Phase::Settled } else { Phase::Waiting };
            Progress {
                phase,
                seat: None,
                run: 0,
                host: None,
                avoid: None,
                claimable: held > Millis::default(),
                told: false,
                began: at,
                heard: at,
                made: Made::default(),
                noted: 0,
                cost: past.map(|(cost, _)| cost.clone()).unwrap_or_default(),
                until: at + step.age_ms,
                rests: Millis::default(),
                moved: 0,
            }
        });
        let progress: Vec<Progress> = progress.collect();
        let waiting = progress.iter().filter(|p| p.phase == Phase::Waiting).count();
        self.note_step(&step.model);
        let id = step.id.clone();
        let mut order: Vec<u32> = (0..step.samples.len() as u32).collect();
        if self.policy.longest_first {
            order.sort_by_key(|index| Reverse(step.samples[*index as usize].expected));
        }
        self.works.insert(id, Work { step, order, at, held, asked: false, progress, waiting });
    }

    /// Forgets a step: it is over. Gives the runs that hosts still have: host, sample, run.
    pub fn close(&mut self, step: &str, now: Millis) -> Vec<(String, u32, u64)> {
        let Some(work) = self.works.remove(step) else { return Vec::new() };
        let mut hosted = Vec::new();
        self.past.retain(|_, (_, at)| now.since(*at) < PAST_MS);
        for (index, progress) in work.progress.into_iter().enumerate() {
            if progress.cost.has_failed() {
                let id = work.step.samples[index].id.clone();
                self.past.insert(id, (progress.cost, now));
            }
            if progress.phase == Phase::Running {
                self.free(progress.seat.as_deref(), &work.step.model);
            }
            hosted.extend(progress.host.map(|host| (host, index as u32, progress.run)));
        }
        hosted
    }

    /// Tells whether a step is planned.
    pub fn has(&self, step: &str) -> bool {
        self.works.contains_key(step)
    }

    /// Takes in what is known of an engine.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        match self.seats.get_mut(&endpoint.said.id) {
            // Runs and orders of the start before are still counted, until they end.
            Some(seat) if seat.endpoint.said.born < endpoint.said.born => {
                let running = std::mem::take(&mut seat.running);
                let loading = seat.loading.take();
                *seat = Seat { running, loading, ..Seat::new(endpoint) };
            }
            Some(seat) => seat.endpoint = endpoint.clone(),
            None => {
                self.seats.insert(endpoint.said.id.clone(), Seat::new(endpoint));
            }
        }
    }

    /// Notes that an engine was heard again, with an announcement of this number.
    pub fn heard(&mut self, id: &str, sequence: u64) {
        if let Some(seat) = self.seats.get_mut(id) {
            seat.endpoint.said.sequence = sequence;
        }
    }

    /// Forgets an engine.
    pub fn forget(&mut self, id: &str) {
        self.seats.remove(id);
    }

    /// Gives the engines.
    pub fn seats(&self) -> impl Iterator<Item = &Seat> {
        self.seats.values()
    }

    /// Gives an engine to be changed.
    pub fn seat(&mut self, id: &str) -> Option<&mut Seat> {
        self.seats.get_mut(id)
    }

    /// Counts the waiting samples of a model for which no engine is new enough, and gives the
    /// version that they need.
    pub fn starved(&self, model: &str) -> usize {
        let newest = self.seats.values().filter(|seat| seat.loading.as_deref() != Some(model));
        let newest = newest.filter_map(|seat| seat.endpoint.said.models.get(model)).max();
        let works = self.works.values().filter(|work| {
            work.step.model == model && newest.is_none_or(|version| *version < work.step.least)
        });
        works.map(|work| work.waiting).sum()
    }

    /// Counts the samples of open steps by what they are doing.
    pub fn counts(&self) -> [(&'static str, usize); 4] {
        let all = || self.works.values().flat_map(|work| &work.progress);
        let count = |phase: Phase| all().filter(|progress| progress.phase == phase).count();
        [
            ("waiting", count(Phase::Waiting)),
            ("running", count(Phase::Running)),
            ("scoring", count(Phase::Scoring)),
            ("settled", count(Phase::Settled)),
        ]
    }

    /// Gives the tokens that open steps of a model ask for: its share of the engines.
    pub fn demand(&self, model: &str) -> u64 {
        let works = self.works.values().filter(|work| work.step.model == model);
        works.flat_map(|work| &work.step.samples).map(|sample| sample.tokens).sum()
    }

    /// Counts the samples of a model's open steps.
    pub fn open_samples(&self, model: &str) -> usize {
        let works = self.works.values().filter(|work| work.step.model == model);
        works.map(|work| work.step.samples.len()).sum()
    }

    /// Tells whether samples of a model's open steps must each be made by one version.
    pub fn is_single(&self, model: &str) -> bool {
        self.works.values().any(|work| work.step.model == model && work.step.single)
    }

    /// Notes which VM hosts a run.
    pub fn hosted(&mut self, step: &str, index: u32, host: &str) {
        if let Some(work) = self.works.get_mut(step) {
            let progress = &mut work.progress[index as usize];
            progress.host = Some(host.to_owned());
            progress.told = true;
        }
    }

    /// Gives the VM that hosts a sample's run, and the run.
    pub fn host(&self, step: &str, index: u32) -> Option<(String, u64)> {
        let progress = self.works.get(step)?.progress.get(index as usize)?;
        Some((progress.host.clone()?, progress.run))
    }

    /// Gives what was made of a sample.
    pub fn made(&self, step: &str, index: u32) -> Option<&Made> {
        Some(&self.works.get(step)?.progress.get(index as usize)?.made)
    }

    pub(super) fn free(&mut self, seat: Option<&str>, model: &str) {
        let Some(seat) = seat.and_then(|id| self.seats.get_mut(id)) else { return };
        if let Some(running) = seat.running.get_mut(model) {
            *running = running.saturating_sub(1);
        }
    }
}
