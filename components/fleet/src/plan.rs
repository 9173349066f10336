//! Which sample runs next, and on which engine.
//!
//! The leader plans for the whole fleet: nobody else sends samples, so it knows what each engine
//! has without asking. What is lost with a leader are runs of a second or so, which the next one
//! begins again.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_types::Millis;

use crate::config::Config;
use crate::endpoint::Endpoint;
use crate::endpoint::Standing;
use crate::step::Sample;
use crate::step::Step;

/// Milliseconds for which an engine is left alone after a failure; doubled for each further one.
const PENALTY_MS: u64 = 200;
/// Doublings of the penalty at most, which makes it 3.2 s.
const DOUBLINGS: u32 = 4;
/// Milliseconds for which an engine that says it is full is left alone.
const FULL_MS: u64 = 100;
/// The weight of the newest measurement of an engine's pace: about the last ten events count.
const NEWEST: f64 = 0.1;
/// How many times slower than the usual engine one must be for its runs to go on elsewhere. An
/// engine with all its slots taken is about a tenth slower than an idle one, so this is a fault.
const SLOW: f64 = 2.0;
/// Milliseconds without news of a pace after which half of it is forgotten.
const HALF_MS: f64 = 2_000.0;
/// Runs that may be moved in one look.
const MOVES: usize = 16;
/// Milliseconds of silence, in multiples of the usual pace, after which a run counts as slow.
const LAG: f64 = 6.0;

/// What was made of a sample so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Made {
    /// The data of the events, in order.
    pub events: Vec<String>,
    /// The number of the last event.
    pub last: Option<String>,
    /// The versions that made them, oldest first.
    pub versions: Vec<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// All events came.
    Whole,
    /// The engine answered that it failed.
    Failed,
    /// The engine answered that the sample can never be made.
    Unfit,
    /// The engine is full; it did not run the sample.
    Full,
    /// Another endpoint has the address, or the engine has another version; it did not run.
    Moved,
    /// The connection broke or went silent.
    Broken,
    /// The planner took the run away from a slow engine.
    Taken,
}

/// What becomes of a sample after its run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Its scorer is called.
    Score,
    /// It waits for another run.
    Again,
    /// It is given up.
    GiveUp,
    /// Nothing: its step is over.
    Nothing,
}

/// A sample that is to run now.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Its step.
    pub step: Arc<Step>,
    /// Its place there.
    pub index: u32,
    /// The incarnation of the engine.
    pub endpoint: String,
    /// The engine's address.
    pub address: SocketAddr,
    /// The version of the model there.
    pub version: u64,
    /// What was made of it so far.
    pub made: Made,
    /// Runs that the engine had already.
    pub beside: u32,
    /// When it was assigned.
    pub began: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    Running,
    Scoring,
    Settled,
}

struct Progress {
    phase: Phase,
    seat: Option<String>,
    began: Millis,
    heard: Millis,
    made: Made,
    failures: u32,
    moved: u32,
}

struct Work {
    step: Arc<Step>,
    /// The samples' places, the longest expected first: a step is over when its last sample is,
    /// and the longest take most of the time that there is.
    order: Vec<u32>,
    at: Millis,
    progress: Vec<Progress>,
    waiting: usize,
}

/// What the planner knows of an engine.
#[derive(Clone, Debug)]
pub struct Seat {
    /// What the engine announced.
    pub endpoint: Endpoint,
    /// Runs there, by model.
    pub running: BTreeMap<String, u32>,
    /// The model that is being loaded there, or is about to be.
    pub loading: Option<String>,
    pace_ms: f64,
    paced: Millis,
    failures: u32,
    until: Millis,
    moved: Option<u64>,
}

impl Seat {
    /// Counts the runs there.
    pub fn load(&self) -> u32 {
        self.running.values().sum()
    }

    /// Tells whether it may be given work.
    pub fn is_ready(&self, now: Millis) -> bool {
        let heard_again = self.moved.is_none_or(|since| self.endpoint.said.sequence > since);
        self.endpoint.standing == Standing::Ready && now >= self.until && heard_again
    }

    fn room(&self) -> u32 {
        self.endpoint.said.slots.saturating_sub(self.load())
    }

    fn pace(&self, now: Millis) -> f64 {
        self.pace_ms * 0.5_f64.powf(now.since(self.paced) as f64 / HALF_MS)
    }
}

/// Plans samples' runs.
#[derive(Default)]
pub struct Plan {
    works: BTreeMap<String, Work>,
    seats: BTreeMap<String, Seat>,
    usual_ms: f64,
}

impl Plan {
    /// Takes in a step that is open. `listed` tells which samples have their results, and `at`
    /// when it was submitted.
    pub fn open(&mut self, step: Arc<Step>, at: Millis, listed: impl Fn(u32) -> bool) {
        if self.works.contains_key(&step.id) {
            return;
        }
        let progress = (0..step.samples.len() as u32).map(|index| {
            let phase = if listed(index) { Phase::Settled } else { Phase::Waiting };
            Progress {
                phase,
                seat: None,
                began: at,
                heard: at,
                made: Made::default(),
                failures: 0,
                moved: 0,
            }
        });
        let progress: Vec<Progress> = progress.collect();
        let waiting = progress.iter().filter(|p| p.phase == Phase::Waiting).count();
        let id = step.id.clone();
        let mut order: Vec<u32> = (0..step.samples.len() as u32).collect();
        order.sort_by_key(|index| Reverse(step.samples[*index as usize].expected));
        self.works.insert(id, Work { step, order, at, progress, waiting });
    }

    /// Forgets a step: it is over. Its runs are to be stopped by the caller.
    pub fn close(&mut self, step: &str) {
        let Some(work) = self.works.remove(step) else { return };
        for progress in &work.progress {
            if progress.phase == Phase::Running {
                self.free(progress.seat.as_deref(), &work.step.model);
            }
        }
    }

    /// Tells whether a step is planned.
    pub fn has(&self, step: &str) -> bool {
        self.works.contains_key(step)
    }

    /// Takes in what is known of an engine.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        match self.seats.get_mut(&endpoint.said.id) {
            Some(seat) => seat.endpoint = endpoint.clone(),
            None => {
                let seat = Seat {
                    endpoint: endpoint.clone(),
                    running: BTreeMap::new(),
                    loading: None,
                    pace_ms: 0.0,
                    paced: Millis::default(),
                    failures: 0,
                    until: Millis::default(),
                    moved: None,
                };
                self.seats.insert(endpoint.said.id.clone(), seat);
            }
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

    /// Gives the tokens that open steps of a model ask for: its share of the engines.
    pub fn demand(&self, model: &str) -> u64 {
        let works = self.works.values().filter(|work| work.step.model == model);
        works.flat_map(|work| &work.step.samples).map(|sample| sample.tokens).sum()
    }

    /// Chooses the samples that start now: steps by rank and by the time at which they are due,
    /// of each the longest samples first, those of a group on one engine where it has room.
    pub fn assign(&mut self, config: &Config, now: Millis) -> Vec<Assignment> {
        let mut free: u32 =
            self.seats.values().filter(|seat| seat.is_ready(now)).map(Seat::room).sum();
        let mut chosen = Vec::new();
        let waiting = self.works.values().filter(|work| work.waiting > 0);
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
            let fits = |seat: &Seat| {
                let version = seat.endpoint.said.models.get(&step.model);
                let loading = seat.loading.as_deref() == Some(&step.model);
                seat.is_ready(now)
                    && seat.room() > 0
                    && !loading
                    && route.leads_to(&seat.endpoint.said.service)
                    && version.is_some_and(|version| *version >= step.least)
            };
            let usual = self.usual_ms;
            let home = homes.get(sample.group.as_str()).and_then(|id| self.seats.get(id));
            let home = home.filter(|seat| fits(seat) && seat.pace(now) < SLOW * usual.max(1.0));
            let seat = home.or_else(|| {
                let fitting = self.seats.values().filter(|seat| fits(seat));
                fitting.min_by(|a, b| rank(a, usual, now).total_cmp(&rank(b, usual, now)))
            });
            let Some(seat) = seat else { continue };
            let said = &seat.endpoint.said;
            let version = said.models.get(&step.model).copied().unwrap_or_default();
            if step.single && progress.made.versions.first().is_some_and(|v| *v != version) {
                progress.made = Made::default();
            }
            let (endpoint, address) = (said.id.clone(), said.address);
            let beside = seat.load();
            progress.phase = Phase::Running;
            progress.seat = Some(endpoint.clone());
            progress.began = now;
            progress.heard = now;
            work.waiting -= 1;
            homes.insert(&sample.group, endpoint.clone());
            if let Some(seat) = self.seats.get_mut(&endpoint) {
                *seat.running.entry(step.model.clone()).or_default() += 1;
            }
            let made = progress.made.clone();
            let (step, index) = (step.clone(), index as u32);
            let began = now;
            chosen.push(Assignment {
                step,
                index,
                endpoint,
                address,
                version,
                made,
                beside,
                began,
            });
        }
    }

    /// Notes that an event of a run came, so many milliseconds after the one before.
    pub fn progressed(&mut self, step: &str, index: u32, gap_ms: u64, now: Millis) {
        let Some(work) = self.works.get_mut(step) else { return };
        let progress = &mut work.progress[index as usize];
        progress.heard = now;
        let Some(seat) = progress.seat.as_ref().and_then(|id| self.seats.get_mut(id)) else {
            return;
        };
        let gap = gap_ms as f64;
        let pace = seat.pace_ms;
        seat.pace_ms = if pace > 0.0 { pace + NEWEST * (gap - pace) } else { gap };
        seat.paced = now;
        seat.failures = 0;
        if self.usual_ms == 0.0 {
            self.usual_ms = gap;
        }
    }

    /// Finds runs on slow engines that would go faster elsewhere. Any engine can go on after the
    /// last event, so moving a run costs one reading of its prompt.
    pub fn slow_runs(&mut self, now: Millis) -> Vec<(String, u32)> {
        self.learn_usual(now);
        let usual = self.usual_ms;
        let room: u32 = self
            .seats
            .values()
            .filter(|seat| seat.is_ready(now) && seat.pace(now) < SLOW * usual)
            .map(Seat::room)
            .sum();
        let mut slow = Vec::new();
        if usual <= 0.0 {
            return slow;
        }
        for (id, work) in &self.works {
            for (index, progress) in work.progress.iter().enumerate() {
                if progress.phase != Phase::Running || progress.moved > 1 {
                    continue;
                }
                let Some(seat) = progress.seat.as_ref().and_then(|id| self.seats.get(id)) else {
                    continue;
                };
                // A change of weights holds its runs up for a moment, and they go on by themselves.
                if seat.loading.as_deref() == Some(&work.step.model) {
                    continue;
                }
                let settled = now.since(progress.began) as f64 > 2.0 * usual;
                let lags = now.since(progress.heard) as f64 > LAG * usual;
                let paced = seat.pace(now) > SLOW * usual;
                if settled && paced || lags {
                    slow.push((id.clone(), index as u32));
                }
            }
        }
        slow.truncate(MOVES.min(room as usize));
        slow
    }

    fn learn_usual(&mut self, now: Millis) {
        let live = self.seats.values().filter(|seat| now.since(seat.paced) < 10_000);
        let mut paces: Vec<f64> =
            live.map(|seat| seat.pace_ms).filter(|pace| *pace > 0.0).collect();
        paces.sort_by(f64::total_cmp);
        if let Some(median) = paces.get(paces.len() / 2) {
            self.usual_ms = *median;
        }
    }

    /// Takes in how a run ended, and what was made until then.
    pub fn ended(&mut self, step: &str, index: u32, end: RunEnd, made: Made, now: Millis) -> Next {
        let Some(work) = self.works.get_mut(step) else { return Next::Nothing };
        let attempts = work.step.attempts.max(1);
        let model = work.step.model.clone();
        let progress = &mut work.progress[index as usize];
        if progress.phase != Phase::Running {
            return Next::Nothing;
        }
        progress.made = made;
        let seat = progress.seat.take();
        let next = match end {
            RunEnd::Whole => Next::Score,
            RunEnd::Unfit => Next::GiveUp,
            RunEnd::Failed => {
                progress.failures += 1;
                if progress.failures >= attempts { Next::GiveUp } else { Next::Again }
            }
            RunEnd::Taken => {
                progress.moved += 1;
                Next::Again
            }
            RunEnd::Full | RunEnd::Moved | RunEnd::Broken => Next::Again,
        };
        progress.phase = match next {
            Next::Score => Phase::Scoring,
            Next::Again => {
                work.waiting += 1;
                Phase::Waiting
            }
            Next::GiveUp | Next::Nothing => Phase::Settled,
        };
        self.free(seat.as_deref(), &model);
        self.judge(seat.as_deref(), end, now);
        next
    }

    fn judge(&mut self, seat: Option<&str>, end: RunEnd, now: Millis) {
        let Some(seat) = seat.and_then(|id| self.seats.get_mut(id)) else { return };
        match end {
            RunEnd::Full => seat.until = now + FULL_MS,
            RunEnd::Moved => seat.moved = Some(seat.endpoint.said.sequence),
            RunEnd::Broken => {
                seat.failures += 1;
                let doublings = (seat.failures - 1).min(DOUBLINGS);
                seat.until = now + (PENALTY_MS << doublings);
            }
            RunEnd::Whole | RunEnd::Failed | RunEnd::Unfit | RunEnd::Taken => {}
        }
    }

    /// Begins a sample anew: what was made of it must not be used.
    pub fn discard(&mut self, step: &str, index: u32) {
        let Some(work) = self.works.get_mut(step) else { return };
        work.progress[index as usize].made = Made::default();
    }

    /// Notes that a sample's verdict is on its way into the log. Gives the sample's identity; none
    /// if its step is over.
    pub fn settled(&mut self, step: &str, index: u32) -> Option<String> {
        let work = self.works.get_mut(step)?;
        work.progress[index as usize].phase = Phase::Settled;
        Some(work.step.samples[index as usize].id.clone())
    }

    /// Gives the samples that have become too old, or whose route is gone, and settles them.
    pub fn give_up(&mut self, config: &Config, now: Millis) -> Vec<(String, u32)> {
        let mut lost = Vec::new();
        for (id, work) in &mut self.works {
            let old = now.since(work.at) >= work.step.age_ms;
            let gone = |sample: &Sample| config.find(&work.step.host, &sample.path).is_none();
            for (index, progress) in work.progress.iter_mut().enumerate() {
                let waits = progress.phase == Phase::Waiting;
                let over = old || (waits && gone(&work.step.samples[index]));
                if progress.phase == Phase::Settled || !over {
                    continue;
                }
                if waits {
                    work.waiting -= 1;
                }
                let ran = progress.phase == Phase::Running;
                progress.phase = Phase::Settled;
                lost.push((id.clone(), index as u32, ran, progress.seat.take()));
            }
        }
        for (id, _, ran, seat) in &lost {
            let model = self.works.get(id).map(|work| work.step.model.clone());
            if let (true, Some(model)) = (*ran, model) {
                self.free(seat.as_deref(), &model);
            }
        }
        lost.into_iter().map(|(id, index, _, _)| (id, index)).collect()
    }

    fn free(&mut self, seat: Option<&str>, model: &str) {
        let Some(seat) = seat.and_then(|id| self.seats.get_mut(id)) else { return };
        if let Some(running) = seat.running.get_mut(model) {
            *running = running.saturating_sub(1);
        }
    }
}

/// Ranks an engine for one more run: the least loaded first, a slow one by how slow it is.
fn rank(seat: &Seat, usual: f64, now: Millis) -> f64 {
    let slots = f64::from(seat.endpoint.said.slots.max(1));
    let load = f64::from(seat.load()) / slots;
    let slow = if usual > 0.0 { (seat.pace(now) / usual).max(1.0) } else { 1.0 };
    (1.0 + load) * slow
}
