//! What hosts tell of runs, and what follows from it.

use chicoryford_types::Millis;

use super::Planner;
use super::samples::AfterRun;
use super::samples::Phase;
use super::samples::Progress;
use super::samples::ReportAction;
use super::samples::RunEnd;
use crate::config::Config;
use crate::run;
use crate::run::RunReport;
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

impl Planner {
    /// Takes in what a host tells of a run, and tells what follows.
    pub fn record_report(&mut self, host: &str, report: &RunReport, now: Millis) -> ReportAction {
        let Some(work) = self.steps.get_mut(&report.step) else { return ReportAction::Stop };
        let Some(progress) = work.progress.get_mut(report.index as usize) else {
            return ReportAction::Stop;
        };
        progress.cost.merge(&report.cost);
        progress.deadline = progress.deadline.min(now + report.remaining_ms);
        let live = matches!(progress.phase, Phase::Running | Phase::Scoring);
        let same = progress.host.as_deref() == Some(host) && progress.run == report.run;
        let claimed = progress.phase == Phase::Waiting && progress.claimable;
        if claimed && report.from > 0 {
            // It was sent before the host was asked to tell all of it. Stopped for this, the run
            // would begin anew, and with it all that it has made.
            return ReportAction::Defer;
        }
        if claimed {
            // The leader did not know of this run: it was begun under the leader before.
            work.waiting -= 1;
            progress.phase = Phase::Running;
            progress.engine = Some(report.endpoint.clone());
            progress.host = Some(host.to_owned());
            progress.run = report.run;
            progress.cost.crashes = report.cost.crashes;
            progress.started = now;
            if let Some(seat) = self.engines.get_mut(&report.endpoint) {
                *seat.running.entry(work.step.model.clone()).or_default() += 1;
            }
        } else if !live || !same {
            return ReportAction::Stop;
        }
        progress.reported = true;
        let before = progress.output.events.len();
        if !report.append_to(&mut progress.output) {
            return ReportAction::Stop;
        }
        progress.checkpointed = progress.checkpointed.min(progress.output.events.len());
        if progress.output.events.len() > before {
            progress.last_event = now;
            progress.cost.crashes = 0;
        }
        if report.status == run::RunStatus::Scoring && progress.phase == Phase::Running {
            progress.phase = Phase::Scoring;
            let seat = progress.engine.take();
            let model = work.step.model.clone();
            let events = progress.output.events.len();
            self.release_slot(seat.as_deref(), &model);
            self.record_length(&model, events);
        }
        if report.gap_ms > 0 {
            self.record_pace(&report.endpoint, f64::from(report.gap_ms), now);
        }
        ReportAction::Continue
    }

    pub(super) fn record_pace(&mut self, seat: &str, gap: f64, now: Millis) {
        let Some(seat) = self.engines.get_mut(seat) else { return };
        let pace = seat.pace_ms;
        seat.pace_ms = if pace > 0.0 { pace + NEWEST * (gap - pace) } else { gap };
        seat.paced_at = now;
        seat.failures = 0;
        if self.median_pace_ms == 0.0 {
            self.median_pace_ms = gap;
        }
    }

    /// Takes the runs of a host away: it is lost. They go on elsewhere after the last event told.
    pub fn orphan_runs(&mut self, host: &str) -> usize {
        self.orphan_runs_if(host, |_| true)
    }

    /// Notes that a host has connected anew and is about to tell of its runs.
    pub fn mark_unreported(&mut self, host: &str) {
        let all = self.steps.values_mut().flat_map(|work| &mut work.progress);
        all.filter(|progress| progress.host.as_deref() == Some(host))
            .for_each(|p| p.reported = false);
    }

    /// Takes the runs of a host away of which it did not tell since it connected: its process is
    /// another one than that which had them.
    pub fn orphan_unreported_runs(&mut self, host: &str) -> usize {
        self.orphan_runs_if(host, |progress| !progress.reported)
    }

    fn orphan_runs_if(&mut self, host: &str, lost: impl Fn(&Progress) -> bool) -> usize {
        let mut orphaned = Vec::new();
        for work in self.steps.values_mut() {
            for progress in &mut work.progress {
                let live = matches!(progress.phase, Phase::Running | Phase::Scoring);
                if !live || progress.host.as_deref() != Some(host) || !lost(progress) {
                    continue;
                }
                let ran = progress.phase == Phase::Running;
                orphaned.push((ran, progress.engine.take(), work.step.model.clone()));
                progress.phase = Phase::Waiting;
                progress.host = None;
                progress.claimable = true;
                work.waiting += 1;
            }
        }
        for (_, seat, model) in orphaned.iter().filter(|(ran, _, _)| *ran) {
            self.release_slot(seat.as_deref(), model);
        }
        orphaned.len()
    }

    /// Takes in how a run ended. A sample that is to be given up stands as it did until its verdict is
    /// noted ([`Self::settled`]).
    pub fn record_run_end(&mut self, step: &str, index: u32, end: RunEnd, now: Millis) -> AfterRun {
        let Some(work) = self.steps.get_mut(step) else { return AfterRun::Nothing };
        let attempts = work.step.attempts;
        let model = work.step.model.clone();
        let progress = &mut work.progress[index as usize];
        if progress.phase != Phase::Running {
            return AfterRun::Nothing;
        }
        let seat = progress.engine.clone();
        progress.host = None;
        progress.avoided_engine = None;
        match end {
            RunEnd::Unfit => progress.cost.unfit = true,
            RunEnd::Failed => progress.cost.failures += 1,
            RunEnd::Taken => {
                progress.moves += 1;
                progress.avoided_engine.clone_from(&seat);
            }
            RunEnd::Crashed => {
                progress.cost.crashes += 1;
                progress.blocked_until = now + rest_ms(progress.cost.crashes);
            }
            RunEnd::Full | RunEnd::Moved | RunEnd::Broken | RunEnd::Late => {}
        }
        let next =
            if progress.cost.is_exhausted(attempts) { AfterRun::GiveUp } else { AfterRun::Again };
        if next == AfterRun::Again {
            progress.phase = Phase::Waiting;
            progress.engine = None;
            work.waiting += 1;
            self.release_slot(seat.as_deref(), &model);
        }
        self.penalize(seat.as_deref(), end, now);
        next
    }

    pub(super) fn penalize(&mut self, seat: Option<&str>, end: RunEnd, now: Millis) {
        let Some(seat) = seat.and_then(|id| self.engines.get_mut(id)) else { return };
        match end {
            RunEnd::Full => seat.blocked_until = now + FULL_MS,
            RunEnd::Moved => seat.moved_sequence = Some(seat.endpoint.announcement.sequence),
            // An engine that fails at once is always the idlest. Given work again at once, it has samples
            // of whole steps fail as often as they may; a sample that fails by itself costs a good engine
            // 0.2 s, in which others take what comes.
            RunEnd::Broken | RunEnd::Crashed | RunEnd::Failed => {
                seat.failures += 1;
                let doublings = (seat.failures - 1).min(DOUBLINGS);
                seat.blocked_until = now + (PENALTY_MS << doublings);
            }
            RunEnd::Unfit | RunEnd::Taken | RunEnd::Late => {}
        }
    }

    /// Notes that a sample's verdict is on its way into the log. Gives the sample's identity; none
    /// if its step is over, or it had a verdict before.
    pub fn settle(&mut self, step: &str, index: u32) -> Option<String> {
        let work = self.steps.get_mut(step)?;
        let progress = &mut work.progress[index as usize];
        let before = std::mem::replace(&mut progress.phase, Phase::Settled);
        let (seat, model) = (progress.engine.take(), work.step.model.clone());
        let sample = work.step.samples[index as usize].id.clone();
        work.waiting -= usize::from(before == Phase::Waiting);
        if before == Phase::Running {
            self.release_slot(seat.as_deref(), &model);
        }
        (before != Phase::Settled).then_some(sample)
    }

    /// Gives the waiting samples that have failed as often as they may, in a step before this one.
    pub fn exhausted_samples(&self) -> Vec<(String, u32)> {
        let mut failed = Vec::new();
        for (id, work) in self.steps.iter().filter(|(_, work)| work.waiting > 0) {
            for (index, progress) in work.progress.iter().enumerate() {
                let over = progress.cost.is_exhausted(work.step.attempts);
                if progress.phase == Phase::Waiting && over {
                    failed.push((id.clone(), index as u32));
                }
            }
        }
        failed
    }

    /// Gives the samples that have become too old, or whose route is gone.
    pub fn expired_samples(&self, config: &Config, now: Millis) -> Vec<(String, u32)> {
        let mut lost = Vec::new();
        for (id, work) in &self.steps {
            let old = now.since(work.submitted_at) >= work.step.age_ms;
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
