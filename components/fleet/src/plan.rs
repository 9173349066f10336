//! Which sample runs next, and on which engine.
//!
//! The leader plans for the whole fleet: nobody else sends samples, so it knows what each engine
//! has without asking. What is lost with a leader are runs of a second or so, which the next one
//! begins again.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::endpoint::Endpoint;
use crate::endpoint::Standing;
use crate::run;
use crate::run::Report;
use crate::step::Sample;
use crate::step::Step;

/// Milliseconds for which an engine is left alone after a failure; doubled for each further one.
const PENALTY_MS: u64 = 200;
/// Doublings of the penalty at most, which makes it 3.2 s.
const DOUBLINGS: u32 = 4;
/// Milliseconds for which an engine that says it is full is left alone.
const FULL_MS: u64 = 100;
/// The weight of the newest measurement of an engine's pace. Hosts tell the mean of some events
/// of each run four times a second, so the last second or so counts.
const NEWEST: f64 = 0.15;
/// How many times slower than the usual engine one must be for its runs to go on elsewhere. An
/// engine with all its slots taken is about a tenth slower than an idle one, so this is a fault.
const SLOW: f64 = 2.0;
/// Milliseconds without news of a pace after which half of it is forgotten.
const HALF_MS: f64 = 2_000.0;
/// How many times slower than usual an engine may be to be given a run that was slow elsewhere.
const FAST: f64 = 1.4;
/// Times that one run may be moved.
const MOVED: u32 = 4;
/// Milliseconds of silence after which a run counts as slow, whatever its engine's pace. The first
/// event comes after the prompt was read, and hosts tell four times a second, so half a second is
/// usual; a change of weights takes about one.
const LAG_MS: u64 = 1_400;
/// Milliseconds between the end of a step's longest sample and its due time below which no step
/// counts for more: about what engines need to take new weights and scorers to answer.
const SPARE_MS: f64 = 1_500.0;
/// Events of a run after which it is noted on the stores. That is about a second, which is what
/// the loss of all processes at once costs the longest runs; most runs are over before.
const NOTED: usize = 24;
/// Milliseconds of silence after which a run is begun anew: hosts give up a silent engine before.
const LOST_MS: u64 = 4_000;

/// What was made of a sample so far.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Made {
    /// The data of the events, in order.
    pub events: Vec<String>,
    /// The number of the last event.
    pub last: Option<String>,
    /// The versions that made them, oldest first.
    pub versions: Vec<u64>,
}

/// What was made of a sample from an event on, as it is noted on the stores.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Note {
    /// The place of the sample in its step.
    pub index: u32,
    /// The place of the first event.
    pub from: u32,
    /// The events from there on, the number of the last, and all versions so far.
    pub made: Made,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RunEnd {
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
    /// The number of the run.
    pub run: u64,
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
    /// The run, and the VM that hosts it.
    run: u64,
    host: Option<String>,
    /// An engine that was too slow for it.
    avoid: Option<String>,
    /// Whether a host that is not known yet may be running it, as one does that was cut off, or
    /// that was told to by the leader before.
    claimable: bool,
    began: Millis,
    heard: Millis,
    made: Made,
    /// Events that are noted on the stores.
    noted: usize,
    failures: u32,
    moved: u32,
}

struct Work {
    step: Arc<Step>,
    /// The samples' places, the longest expected first: a step is over when its last sample is,
    /// and the longest take most of the time that there is.
    order: Vec<u32>,
    at: Millis,
    /// Until then its samples wait for hosts that may be running them.
    held: Millis,
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
    /// The number of the last run.
    run: u64,
}

impl Plan {
    /// Makes the plan of a leader; its runs are numbered apart from those of other epochs.
    pub fn new(epoch: Epoch) -> Self {
        Self { run: epoch.0 << 32, ..Self::default() }
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
            let phase = if listed(index) { Phase::Settled } else { Phase::Waiting };
            Progress {
                phase,
                seat: None,
                run: 0,
                host: None,
                avoid: None,
                claimable: held > Millis::default(),
                began: at,
                heard: at,
                made: Made::default(),
                noted: 0,
                failures: 0,
                moved: 0,
            }
        });
        let progress: Vec<Progress> = progress.collect();
        let waiting = progress.iter().filter(|p| p.phase == Phase::Waiting).count();
        let id = step.id.clone();
        let mut order: Vec<u32> = (0..step.samples.len() as u32).collect();
        order.sort_by_key(|index| Reverse(step.samples[*index as usize].expected));
        self.works.insert(id, Work { step, order, at, held, progress, waiting });
    }

    /// Adds what was noted of samples of a step that was taken over.
    pub fn recall(&mut self, step: &str, notes: Vec<Note>) {
        let Some(work) = self.works.get_mut(step) else { return };
        for note in notes {
            let Some(progress) = work.progress.get_mut(note.index as usize) else { continue };
            let from = note.from as usize;
            if progress.phase == Phase::Waiting && from <= progress.made.events.len() {
                progress.made.events.truncate(from);
                progress.made.events.extend(note.made.events);
                progress.made.last = note.made.last;
                progress.made.versions = note.made.versions;
                progress.noted = progress.made.events.len();
            }
        }
    }

    /// Gives what is to be noted: runs that have made much since they were noted last.
    pub fn to_note(&mut self) -> Vec<(String, Vec<Note>)> {
        let mut all = Vec::new();
        for (id, work) in &mut self.works {
            let mut notes = Vec::new();
            for (index, progress) in work.progress.iter_mut().enumerate() {
                let made = &progress.made;
                let more = made.events.len().saturating_sub(progress.noted);
                if progress.phase != Phase::Running || more < NOTED {
                    continue;
                }
                let from = progress.noted;
                progress.noted = made.events.len();
                let events = made.events[from..].to_vec();
                let (last, versions) = (made.last.clone(), made.versions.clone());
                let made = Made { events, last, versions };
                notes.push(Note { index: index as u32, from: from as u32, made });
            }
            if !notes.is_empty() {
                all.push((id.clone(), notes));
            }
        }
        all
    }

    /// Forgets a step: it is over. Gives the runs that hosts still have: host, sample, run.
    pub fn close(&mut self, step: &str) -> Vec<(String, u32, u64)> {
        let Some(work) = self.works.remove(step) else { return Vec::new() };
        let mut hosted = Vec::new();
        for (index, progress) in work.progress.into_iter().enumerate() {
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

    /// Gives what the open steps of a model ask for, in tokens that they are expected to take. A
    /// step whose longest sample takes most of its time counts for more: its samples must all
    /// start at once, while others can wait for a second turn.
    pub fn demand(&self, model: &str, stride: u64) -> u64 {
        let works = self.works.values().filter(|work| work.step.model == model);
        works.map(|work| self.weight(&work.step, stride)).sum()
    }

    fn weight(&self, step: &Step, stride: u64) -> u64 {
        let tokens: u64 = step.samples.iter().map(|sample| sample.expected).sum();
        let longest = step.samples.iter().map(|sample| sample.tokens).max().unwrap_or_default();
        let events = longest as f64 / stride.max(1) as f64;
        let spare_ms = step.due_ms as f64 - events * self.usual_ms;
        let factor = step.due_ms as f64 / spare_ms.max(SPARE_MS);
        (tokens as f64 * factor) as u64
    }

    /// Chooses the samples that start now: steps by rank and by the time at which they are due,
    /// of each the longest samples first, those of a group on one engine where it has room.
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
            let avoid = progress.avoid.clone();
            let fits = |seat: &Seat| {
                let version = seat.endpoint.said.models.get(&step.model);
                let loading = seat.loading.as_deref() == Some(&step.model);
                seat.is_ready(now)
                    && seat.room() > 0
                    && !loading
                    && avoid.as_ref() != Some(&seat.endpoint.said.id)
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
            self.run += 1;
            progress.run = self.run;
            progress.host = None;
            progress.claimable = false;
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
            let run = self.run;
            chosen.push(Assignment {
                run,
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

    /// Notes which VM hosts a run.
    pub fn hosted(&mut self, step: &str, index: u32, host: &str) {
        if let Some(work) = self.works.get_mut(step) {
            work.progress[index as usize].host = Some(host.to_owned());
        }
    }

    /// Gives the VM that hosts a sample's run, and the run.
    pub fn host(&self, step: &str, index: u32) -> Option<(String, u64)> {
        let progress = self.works.get(step)?.progress.get(index as usize)?;
        Some((progress.host.clone()?, progress.run))
    }

    /// Takes in what a host tells of a run. Tells whether the host is to go on with it: a run that
    /// was begun elsewhere, or that is over, is to be stopped.
    pub fn told(&mut self, host: &str, report: &Report, now: Millis) -> bool {
        let Some(work) = self.works.get_mut(&report.step) else { return false };
        let Some(progress) = work.progress.get_mut(report.index as usize) else { return false };
        let live = matches!(progress.phase, Phase::Running | Phase::Scoring);
        let same = progress.host.as_deref() == Some(host) && progress.run == report.run;
        if progress.phase == Phase::Waiting && progress.claimable && report.from == 0 {
            // The leader did not know of this run: it was begun under the leader before.
            work.waiting -= 1;
            progress.phase = Phase::Running;
            progress.seat = Some(report.endpoint.clone());
            progress.host = Some(host.to_owned());
            progress.run = report.run;
            progress.began = now;
            if let Some(seat) = self.seats.get_mut(&report.endpoint) {
                *seat.running.entry(work.step.model.clone()).or_default() += 1;
            }
        } else if !live || !same {
            return false;
        }
        let before = progress.made.events.len();
        if !report.add_to(&mut progress.made) {
            return false;
        }
        progress.noted = progress.noted.min(progress.made.events.len());
        if progress.made.events.len() > before {
            progress.heard = now;
        }
        if report.standing == run::Standing::Scoring && progress.phase == Phase::Running {
            progress.phase = Phase::Scoring;
            let seat = progress.seat.take();
            let model = work.step.model.clone();
            self.free(seat.as_deref(), &model);
        }
        if report.gap_ms > 0 {
            self.pace(&report.endpoint, f64::from(report.gap_ms), now);
        }
        true
    }

    fn pace(&mut self, seat: &str, gap: f64, now: Millis) {
        let Some(seat) = self.seats.get_mut(seat) else { return };
        let pace = seat.pace_ms;
        seat.pace_ms = if pace > 0.0 { pace + NEWEST * (gap - pace) } else { gap };
        seat.paced = now;
        seat.failures = 0;
        if self.usual_ms == 0.0 {
            self.usual_ms = gap;
        }
    }

    /// Takes the runs of a host away: it is lost. They go on elsewhere after the last event told.
    pub fn orphan(&mut self, host: &str) -> usize {
        let mut freed = Vec::new();
        for work in self.works.values_mut() {
            for progress in &mut work.progress {
                let live = matches!(progress.phase, Phase::Running | Phase::Scoring);
                if !live || progress.host.as_deref() != Some(host) {
                    continue;
                }
                if progress.phase == Phase::Running {
                    freed.push((progress.seat.take(), work.step.model.clone()));
                }
                progress.phase = Phase::Waiting;
                progress.host = None;
                progress.claimable = true;
                work.waiting += 1;
            }
        }
        for (seat, model) in &freed {
            self.free(seat.as_deref(), model);
        }
        freed.len()
    }

    /// Finds runs on slow engines that would go faster elsewhere. Any engine can go on after the
    /// last event, so moving a run costs one reading of its prompt. A run is moved only if an
    /// engine that may run it has room; it would come back otherwise, and lose time at each turn.
    pub fn slow_runs(&mut self, now: Millis) -> Vec<(String, u32)> {
        self.learn_usual(now);
        let usual = self.usual_ms;
        let mut slow = Vec::new();
        if usual <= 0.0 {
            return slow;
        }
        let fast = |seat: &&Seat| seat.is_ready(now) && seat.pace(now) < FAST * usual;
        let mut rooms: BTreeMap<&str, u32> = BTreeMap::new();
        for seat in self.seats.values().filter(fast) {
            rooms.insert(&seat.endpoint.said.id, seat.room());
        }
        for (id, work) in &self.works {
            let model = &work.step.model;
            for (index, progress) in work.progress.iter().enumerate() {
                let Some(seat) = progress.seat.as_ref().and_then(|id| self.seats.get(id)) else {
                    continue;
                };
                // A change of weights holds its runs up for a moment; they go on by themselves.
                let loading = seat.loading.as_ref() == Some(model);
                let live = progress.phase == Phase::Running && !loading;
                if !live || progress.moved >= MOVED || !is_slow(progress, seat, usual, now) {
                    continue;
                }
                let better = self.seats.values().filter(fast).find(|other| {
                    let said = &other.endpoint.said;
                    let version = said.models.get(model).copied().unwrap_or_default();
                    said.id != seat.endpoint.said.id
                        && other.loading.as_ref() != Some(model)
                        && version >= work.step.least
                        && rooms.get(said.id.as_str()).is_some_and(|room| *room > 0)
                });
                let Some(better) = better else { continue };
                if let Some(room) = rooms.get_mut(better.endpoint.said.id.as_str()) {
                    *room -= 1;
                }
                slow.push((id.clone(), index as u32));
            }
        }
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

    /// Gives what was made of a sample.
    pub fn made(&self, step: &str, index: u32) -> Option<&Made> {
        Some(&self.works.get(step)?.progress.get(index as usize)?.made)
    }

    /// Takes in how a run ended.
    pub fn ended(&mut self, step: &str, index: u32, end: RunEnd, now: Millis) -> Next {
        let Some(work) = self.works.get_mut(step) else { return Next::Nothing };
        let attempts = work.step.attempts.max(1);
        let model = work.step.model.clone();
        let progress = &mut work.progress[index as usize];
        if progress.phase != Phase::Running {
            return Next::Nothing;
        }
        let seat = progress.seat.take();
        progress.host = None;
        progress.avoid = None;
        let next = match end {
            RunEnd::Unfit => Next::GiveUp,
            RunEnd::Failed => {
                progress.failures += 1;
                if progress.failures >= attempts { Next::GiveUp } else { Next::Again }
            }
            RunEnd::Taken => {
                progress.moved += 1;
                progress.avoid.clone_from(&seat);
                Next::Again
            }
            RunEnd::Full | RunEnd::Moved | RunEnd::Broken => Next::Again,
        };
        progress.phase = match next {
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
            RunEnd::Failed | RunEnd::Unfit | RunEnd::Taken => {}
        }
    }

    /// Notes that a sample's verdict is on its way into the log. Gives the sample's identity; none
    /// if its step is over, or it had a verdict before.
    pub fn settled(&mut self, step: &str, index: u32) -> Option<String> {
        let work = self.works.get_mut(step)?;
        let progress = &mut work.progress[index as usize];
        let before = std::mem::replace(&mut progress.phase, Phase::Settled);
        let (seat, model) = (progress.seat.take(), work.step.model.clone());
        let sample = work.step.samples[index as usize].id.clone();
        work.waiting -= usize::from(before == Phase::Waiting);
        if before == Phase::Running {
            self.free(seat.as_deref(), &model);
        }
        (before != Phase::Settled).then_some(sample)
    }

    /// Finds runs of which nothing was heard for so long that they cannot be going on.
    pub fn lost_runs(&self, now: Millis) -> Vec<(String, u32)> {
        let mut lost = Vec::new();
        for (id, work) in &self.works {
            for (index, progress) in work.progress.iter().enumerate() {
                let silent = now.since(progress.heard.max(progress.began)) >= LOST_MS;
                if progress.phase == Phase::Running && silent {
                    lost.push((id.clone(), index as u32));
                }
            }
        }
        lost
    }

    /// Gives the samples that have become too old, or whose route is gone.
    pub fn too_old(&self, config: &Config, now: Millis) -> Vec<(String, u32)> {
        let mut lost = Vec::new();
        for (id, work) in &self.works {
            let old = now.since(work.at) >= work.step.age_ms;
            let gone = |sample: &Sample| config.find(&work.step.host, &sample.path).is_none();
            for (index, progress) in work.progress.iter().enumerate() {
                let waits = progress.phase == Phase::Waiting;
                let over = old || (waits && gone(&work.step.samples[index]));
                if progress.phase != Phase::Settled && over {
                    lost.push((id.clone(), index as u32));
                }
            }
        }
        lost
    }

    fn free(&mut self, seat: Option<&str>, model: &str) {
        let Some(seat) = seat.and_then(|id| self.seats.get_mut(id)) else { return };
        if let Some(running) = seat.running.get_mut(model) {
            *running = running.saturating_sub(1);
        }
    }
}

/// Tells whether a run is slow: its engine is, or nothing is heard of it.
fn is_slow(progress: &Progress, seat: &Seat, usual: f64, now: Millis) -> bool {
    let paced = seat.pace(now) > SLOW * usual;
    paced || now.since(progress.heard.max(progress.began)) > LAG_MS
}

/// Ranks an engine for one more run: the least loaded first, a slow one by how slow it is.
fn rank(seat: &Seat, usual: f64, now: Millis) -> f64 {
    let slots = f64::from(seat.endpoint.said.slots.max(1));
    let load = f64::from(seat.load()) / slots;
    let slow = if usual > 0.0 { (seat.pace(now) / usual).max(1.0) } else { 1.0 };
    (1.0 + load) * slow
}
