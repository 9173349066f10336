//! What hosts tell of runs, and what follows from it.

use chicoryford_types::Millis;

use super::Plan;
use super::work::Next;
use super::work::Phase;
use super::work::Progress;
use super::work::RunEnd;
use super::work::Told;
use crate::config::Config;
use crate::run;
use crate::run::Report;
use crate::step::Sample;

/// Milliseconds for which an engine is left alone after a failure; doubled for each further one.
const PENALTY_MS: u64 = 200;
/// Doublings of the penalty at most, which makes it 3.2 s.
const DOUBLINGS: u32 = 4;
/// Milliseconds for which an engine that says it is full is left alone.
const FULL_MS: u64 = 100;
/// The weight of the newest measurement of an engine's pace. Hosts tell the mean of some events
/// of each run four times a second, so the last second or so counts.
const NEWEST: f64 = 0.15;

/// Crashes after which a sample is run again only after a rest.
const SUSPECTED: u32 = 3;
/// Crashes after which it is not run again.
const CONVICTED: u32 = 6;
/// Milliseconds of the rest: an engine that crashed is back by then.
const REST_MS: u64 = 4_000;

/// Gives the milliseconds for which a sample rests that has crashed so many engines. It is not given up: only
/// an engine's answer, or its age, allows that.
fn rest_ms(crashes: u32) -> u64 {
    match crashes {
        0..SUSPECTED => 0,
        SUSPECTED..CONVICTED => REST_MS,
        _ => u64::MAX,
    }
}

impl Plan {
    /// Takes in what a host tells of a run, and tells what follows.
    pub fn told(&mut self, host: &str, report: &Report, now: Millis) -> Told {
        let Some(work) = self.works.get_mut(&report.step) else { return Told::Stop };
        let Some(progress) = work.progress.get_mut(report.index as usize) else {
            return Told::Stop;
        };
        progress.cost.merge(&report.cost);
        progress.until = progress.until.min(now + report.left_ms);
        let live = matches!(progress.phase, Phase::Running | Phase::Scoring);
        let same = progress.host.as_deref() == Some(host) && progress.run == report.run;
        let claimed = progress.phase == Phase::Waiting && progress.claimable;
        if claimed && report.from > 0 {
            // It was sent before the host was asked to tell all of it. Stopped for this, the run
            // would begin anew, and with it all that it has made.
            return Told::Later;
        }
        if claimed {
            // The leader did not know of this run: it was begun under the leader before.
            work.waiting -= 1;
            progress.phase = Phase::Running;
            progress.seat = Some(report.endpoint.clone());
            progress.host = Some(host.to_owned());
            progress.run = report.run;
            progress.cost.crashes = report.cost.crashes;
            progress.began = now;
            if let Some(seat) = self.seats.get_mut(&report.endpoint) {
                *seat.running.entry(work.step.model.clone()).or_default() += 1;
            }
        } else if !live || !same {
            return Told::Stop;
        }
        progress.told = true;
        let before = progress.made.events.len();
        if !report.add_to(&mut progress.made) {
            return Told::Stop;
        }
        progress.noted = progress.noted.min(progress.made.events.len());
        if progress.made.events.len() > before {
            progress.heard = now;
            progress.cost.crashes = 0;
        }
        if report.standing == run::Standing::Scoring && progress.phase == Phase::Running {
            progress.phase = Phase::Scoring;
            let seat = progress.seat.take();
            let model = work.step.model.clone();
            let events = progress.made.events.len();
            self.free(seat.as_deref(), &model);
            self.note_length(&model, events);
        }
        if report.gap_ms > 0 {
            self.pace(&report.endpoint, f64::from(report.gap_ms), now);
        }
        Told::GoOn
    }

    pub(super) fn pace(&mut self, seat: &str, gap: f64, now: Millis) {
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
        self.orphan_if(host, |_| true)
    }

    /// Notes that a host has connected anew and is about to tell of its runs.
    pub fn mark_untold(&mut self, host: &str) {
        let all = self.works.values_mut().flat_map(|work| &mut work.progress);
        all.filter(|progress| progress.host.as_deref() == Some(host)).for_each(|p| p.told = false);
    }

    /// Takes the runs of a host away of which it did not tell since it connected: its process is
    /// another one than that which had them.
    pub fn orphan_untold(&mut self, host: &str) -> usize {
        self.orphan_if(host, |progress| !progress.told)
    }

    fn orphan_if(&mut self, host: &str, lost: impl Fn(&Progress) -> bool) -> usize {
        let mut orphaned = Vec::new();
        for work in self.works.values_mut() {
            for progress in &mut work.progress {
                let live = matches!(progress.phase, Phase::Running | Phase::Scoring);
                if !live || progress.host.as_deref() != Some(host) || !lost(progress) {
                    continue;
                }
                let ran = progress.phase == Phase::Running;
                orphaned.push((ran, progress.seat.take(), work.step.model.clone()));
                progress.phase = Phase::Waiting;
                progress.host = None;
                progress.claimable = true;
                work.waiting += 1;
            }
        }
        for (_, seat, model) in orphaned.iter().filter(|(ran, _, _)| *ran) {
            self.free(seat.as_deref(), model);
        }
        orphaned.len()
    }

    /// Takes in how a run ended. A sample that is to be given up stands as it did until its verdict is
    /// noted ([`Self::settled`]).
    pub fn ended(&mut self, step: &str, index: u32, end: RunEnd, now: Millis) -> Next {
        let Some(work) = self.works.get_mut(step) else { return Next::Nothing };
        let attempts = work.step.attempts;
        let model = work.step.model.clone();
        let progress = &mut work.progress[index as usize];
        if progress.phase != Phase::Running {
            return Next::Nothing;
        }
        let seat = progress.seat.clone();
        progress.host = None;
        progress.avoid = None;
        match end {
            RunEnd::Unfit => progress.cost.unfit = true,
            RunEnd::Failed => progress.cost.failures += 1,
            RunEnd::Taken => {
                progress.moved += 1;
                progress.avoid.clone_from(&seat);
            }
            RunEnd::Crashed => {
                progress.cost.crashes += 1;
                progress.rests = now + rest_ms(progress.cost.crashes);
            }
            RunEnd::Full | RunEnd::Moved | RunEnd::Broken | RunEnd::Late => {}
        }
        let next = if progress.cost.is_over(attempts) { Next::GiveUp } else { Next::Again };
        if next == Next::Again {
            progress.phase = Phase::Waiting;
            progress.seat = None;
            work.waiting += 1;
            self.free(seat.as_deref(), &model);
        }
        self.judge(seat.as_deref(), end, now);
        next
    }

    pub(super) fn judge(&mut self, seat: Option<&str>, end: RunEnd, now: Millis) {
        let Some(seat) = seat.and_then(|id| self.seats.get_mut(id)) else { return };
        match end {
            RunEnd::Full => seat.until = now + FULL_MS,
            RunEnd::Moved => seat.moved = Some(seat.endpoint.said.sequence),
            // An engine that fails at once is always the idlest. Given work again at once, it has samples
            // of whole steps fail as often as they may; a sample that fails by itself costs a good engine
            // 0.2 s, in which others take what comes.
            RunEnd::Broken | RunEnd::Crashed | RunEnd::Failed => {
                seat.failures += 1;
                let doublings = (seat.failures - 1).min(DOUBLINGS);
                seat.until = now + (PENALTY_MS << doublings);
            }
            RunEnd::Unfit | RunEnd::Taken | RunEnd::Late => {}
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

    /// Gives the waiting samples that have failed as often as they may, in a step before this one.
    pub fn failed_before(&self) -> Vec<(String, u32)> {
        let mut failed = Vec::new();
        for (id, work) in self.works.iter().filter(|(_, work)| work.waiting > 0) {
            for (index, progress) in work.progress.iter().enumerate() {
                let over = progress.cost.is_over(work.step.attempts);
                if progress.phase == Phase::Waiting && over {
                    failed.push((id.clone(), index as u32));
                }
            }
        }
        failed
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
}
