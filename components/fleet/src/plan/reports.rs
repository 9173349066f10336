//! Processes what hosts report about runs.

use chicoryford_types::Millis;

use super::Planner;
use super::open_runs::OpenRun;
use super::samples::AfterRun;
use super::samples::Phase;
use super::samples::Progress;
use super::samples::ReportAction;
use super::samples::RunEnd;
use crate::config::Config;
use crate::run;
use crate::run::RunReport;
use crate::step::Sample;

/// Milliseconds for which an engine gets no runs after a failure, doubled for each consecutive
/// failure.
const FAILURE_PENALTY_MS: u64 = 200;
/// Maximum number of doublings of the penalty, which limits it to 3.2 s.
const MAX_DOUBLINGS: u32 = 4;
/// Milliseconds for which an engine that reported to be full gets no runs.
const FULL_PENALTY_MS: u64 = 100;
/// Weight of the newest measurement in the moving average of an engine's pace. Hosts report the
/// mean over some events of each run four times a second, so the average covers about the last
/// second.
const NEWEST_WEIGHT: f64 = 0.15;

/// Engine crashes after which a sample is run again only after a delay.
const DELAYED_CRASHES: u32 = 3;
/// The delay in milliseconds; a crashed engine has restarted by then. It does not grow with further
/// crashes: a sample that waits for five seconds while engines have room is lost to its trainer.
const CRASH_DELAY_MS: u64 = 4_000;

/// Runs without an answer after which a sample is run again only after a delay.
const DELAYED_LOSSES: u32 = 3;
/// The first delay in milliseconds. It doubles with each further run without an answer.
const LOSS_DELAY_MS: u64 = 500;
/// Maximum number of doublings of the delay, which limits it to four seconds as after crashes.
const MAX_LOSS_DOUBLINGS: u32 = 3;

/// Returns the milliseconds to wait before a sample runs again after that many consecutive runs
/// without an answer. The engines are alive, so the sample may be at fault; without a delay, it
/// would be run for as long as its step lasts, as often as engines can receive it.
fn loss_delay_ms(losses: u32) -> u64 {
    match losses.checked_sub(DELAYED_LOSSES) {
        None => 0,
        Some(more) => LOSS_DELAY_MS << more.min(MAX_LOSS_DOUBLINGS),
    }
}

/// Returns the milliseconds to wait before a sample runs again after that many engines crashed under
/// it. However many did, the sample is still owed: engines crash for other reasons as well, and only
/// an engine's response or its age permits to give it up. The delay bounds how many engines a sample
/// that is at fault takes down.
fn crash_delay_ms(crashes: u32) -> u64 {
    if crashes < DELAYED_CRASHES { 0 } else { CRASH_DELAY_MS }
}

impl Planner {
    /// Records a report of a host about a run and returns how the host proceeds.
    pub fn record_report(&mut self, host: &str, report: &RunReport, now: Millis) -> ReportAction {
        let marker = self.inherited_run();
        let Some(planned) = self.steps.get_mut(&report.step) else { return ReportAction::Stop };
        let Some(progress) = planned.progress.get_mut(report.index as usize) else {
            return ReportAction::Stop;
        };
        let active = matches!(progress.phase, Phase::Running | Phase::Scoring);
        let same_run = progress.host.as_deref() == Some(host) && progress.run == report.run;
        let unclaimed = progress.phase == Phase::Waiting && progress.claimable;
        let is_deferred = unclaimed && report.from > 0;
        if !is_deferred && progress.find_inherited(report, marker) {
            let open = OpenRun {
                sample: planned.step.samples[report.index as usize].id.clone(),
                called_before: progress.cost.scorer.endpoints.clone(),
                known_since: now,
            };
            self.open_runs.insert(report.run, open);
        }
        let known_calls = unclaimed.then(|| progress.cost.scorer.endpoints.clone());
        progress.cost.merge(&report.cost);
        progress.deadline = progress.deadline.min(now + report.remaining_ms);
        if is_deferred {
            // The report was sent before the host was asked for its complete output. Stopping the
            // run now would make it start again and lose its output.
            return ReportAction::Defer;
        }
        if let Some(known_calls) = known_calls {
            // The run was started under the previous leader and is new to this one.
            planned.waiting -= 1;
            let known = self.open_runs.remove(&report.run).map(|run| run.called_before);
            progress.adopt_run(host, report, known.unwrap_or(known_calls));
            progress.started = now;
            if let Some(engine) = self.engines.get_mut(&report.endpoint) {
                *engine.running.entry(planned.step.model.clone()).or_default() += 1;
            }
        } else if !active || !same_run {
            return ReportAction::Stop;
        }
        progress.record_calls(report);
        progress.reported = true;
        let known_events = progress.output.events.len();
        let Some(unchanged) = report.append_to(&mut progress.output) else {
            return ReportAction::Stop;
        };
        progress.keep_checkpointed(unchanged);
        if progress.output.events.len() > known_events {
            progress.last_event = now;
            progress.cost.crashes = 0;
            progress.cost.losses = 0;
        }
        if report.status == run::RunStatus::Scoring && progress.phase == Phase::Running {
            progress.phase = Phase::Scoring;
            let engine = progress.engine.take();
            let model = planned.step.model.clone();
            let events = progress.output.events.len();
            let expected = planned.step.samples[report.index as usize].expected_tokens;
            self.release_slot(engine.as_deref(), &model);
            self.record_length(&model, events);
            if self.policy.engine_speeds {
                self.lengths.entry(model).or_default().record(expected, events, now);
            }
        }
        if report.gap_ms > 0 && !self.has_paused_for_load(report, now) {
            self.record_pace(&report.endpoint, f64::from(report.gap_ms), now);
            self.record_speed(report, now);
        }
        ReportAction::Continue
    }

    /// Returns whether the events of a report are no measurement of the engine's speed, because it
    /// loaded weights meanwhile. Moving its runs would cost more than the load.
    fn has_paused_for_load(&mut self, report: &RunReport, now: Millis) -> bool {
        if !self.policy.engine_speeds {
            return false;
        }
        let Some(engine) = self.engines.get_mut(&report.endpoint) else { return false };
        let measured_ms = u64::from(report.gap_ms) * report.output.events.len() as u64;
        let has_paused = engine.has_paused_for_load(measured_ms, now);
        if has_paused {
            // Events show that the engine works, whatever their pace.
            engine.failures = 0;
        }
        has_paused
    }

    /// Updates an engine's pace with the mean milliseconds between events of a run.
    pub(super) fn record_pace(&mut self, engine: &str, gap: f64, now: Millis) {
        let Some(engine) = self.engines.get_mut(engine) else { return };
        let pace = engine.pace_ms;
        engine.pace_ms = if pace > 0.0 { pace + NEWEST_WEIGHT * (gap - pace) } else { gap };
        engine.paced_at = now;
        engine.failures = 0;
        if self.median_pace_ms == 0.0 {
            self.median_pace_ms = gap;
        }
    }

    /// Updates the estimate of an engine's speed.
    fn record_speed(&mut self, report: &RunReport, now: Millis) {
        if !self.policy.engine_speeds {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&report.endpoint) {
            engine.speed.record(f64::from(report.gap_ms), report.output.events.len(), now);
        }
    }

    /// Returns all runs of a lost host to the queue and returns their number. They resume elsewhere
    /// after the last reported event.
    pub fn orphan_runs(&mut self, host: &str) -> usize {
        self.orphan_runs_if(host, |_| true)
    }

    /// Records that a host has reconnected and is about to report its runs.
    pub fn mark_unreported(&mut self, host: &str) {
        let all = self.steps.values_mut().flat_map(|planned| &mut planned.progress);
        all.filter(|progress| progress.host.as_deref() == Some(host))
            .for_each(|p| p.reported = false);
    }

    /// Returns those runs of a host to the queue that it has not reported since it connected, and
    /// returns their number. The host's process has restarted without them.
    pub fn orphan_unreported_runs(&mut self, host: &str) -> usize {
        self.orphan_runs_if(host, |progress| !progress.reported)
    }

    /// Returns the active runs of a host for which `is_lost` is true to the queue.
    fn orphan_runs_if(&mut self, host: &str, is_lost: impl Fn(&Progress) -> bool) -> usize {
        let mut orphaned = Vec::new();
        for planned in self.steps.values_mut() {
            for (sample, progress) in planned.step.samples.iter().zip(&mut planned.progress) {
                let active = matches!(progress.phase, Phase::Running | Phase::Scoring);
                if !active || progress.host.as_deref() != Some(host) || !is_lost(progress) {
                    continue;
                }
                let was_running = progress.phase == Phase::Running;
                self.open_runs.extend(progress.take_run(&sample.id));
                orphaned.push((was_running, progress.engine.take(), planned.step.model.clone()));
                progress.phase = Phase::Waiting;
                progress.host = None;
                progress.claimable = true;
                planned.waiting += 1;
            }
        }
        for (_, engine, model) in orphaned.iter().filter(|(was_running, _, _)| *was_running) {
            self.release_slot(engine.as_deref(), model);
        }
        orphaned.len()
    }

    /// Records how a run ended. A sample that is to be given up keeps its state until its result is
    /// recorded ([`Self::settle`]).
    pub fn record_run_end(&mut self, step: &str, index: u32, end: RunEnd, now: Millis) -> AfterRun {
        let Some(planned) = self.steps.get_mut(step) else { return AfterRun::Nothing };
        let attempts = planned.step.attempts;
        let model = planned.step.model.clone();
        let progress = &mut planned.progress[index as usize];
        if progress.phase != Phase::Running {
            return AfterRun::Nothing;
        }
        let engine = progress.engine.clone();
        // An order that came too late was not executed.
        if end != RunEnd::Late {
            let sample = &planned.step.samples[index as usize].id;
            self.open_runs.extend(progress.take_run(sample));
        }
        progress.host = None;
        progress.avoided_engine = None;
        if end != RunEnd::Taken {
            progress.reserved_engine = None;
        }
        match end {
            RunEnd::Unfit => progress.cost.unfit = true,
            RunEnd::Failed => {
                let failures = progress.failures_before + 1;
                progress.cost.failures = progress.cost.failures.max(failures);
            }
            RunEnd::Taken => {
                progress.moves += 1;
                progress.avoided_engine.clone_from(&engine);
            }
            RunEnd::Crashed => {
                progress.cost.crashes += 1;
                progress.blocked_until = now + crash_delay_ms(progress.cost.crashes);
            }
            RunEnd::Unanswered => {
                progress.cost.losses += 1;
                progress.blocked_until = now + loss_delay_ms(progress.cost.losses);
            }
            RunEnd::Full | RunEnd::Moved | RunEnd::Broken | RunEnd::Late => {}
        }
        let next =
            if progress.cost.is_exhausted(attempts) { AfterRun::GiveUp } else { AfterRun::Again };
        if next == AfterRun::Again {
            progress.phase = Phase::Waiting;
            progress.engine = None;
            planned.waiting += 1;
            self.release_slot(engine.as_deref(), &model);
        }
        self.penalize(engine.as_deref(), end, now);
        next
    }

    /// Blocks an engine for some time if a run or an order ended because of the engine.
    pub fn penalize(&mut self, engine: Option<&str>, end: RunEnd, now: Millis) {
        let Some(engine) = engine.and_then(|id| self.engines.get_mut(id)) else { return };
        match end {
            RunEnd::Full => engine.blocked_until = now + FULL_PENALTY_MS,
            RunEnd::Moved => engine.absent_sequence = Some(engine.endpoint.announcement.sequence),
            // An engine that fails immediately always has the lowest load. Without a delay, it
            // would get the samples of whole steps until they reach their failure limit. If a
            // sample itself is at fault, a healthy engine is idle for 0.2 s, during which other
            // engines take its work.
            RunEnd::Broken | RunEnd::Crashed | RunEnd::Unanswered | RunEnd::Failed => {
                engine.failures += 1;
                let doublings = (engine.failures - 1).min(MAX_DOUBLINGS);
                engine.blocked_until = now + (FAILURE_PENALTY_MS << doublings);
            }
            RunEnd::Unfit | RunEnd::Taken | RunEnd::Late => {}
        }
    }

    /// Records that a sample's result is about to be written to the log. Returns the sample's id,
    /// or `None` if the step is closed or the sample had a result already.
    pub fn settle(&mut self, step: &str, index: u32) -> Option<String> {
        let planned = self.steps.get_mut(step)?;
        let progress = &mut planned.progress[index as usize];
        let before = std::mem::replace(&mut progress.phase, Phase::Settled);
        let (engine, model) = (progress.engine.take(), planned.step.model.clone());
        let sample = planned.step.samples[index as usize].id.clone();
        planned.waiting -= usize::from(before == Phase::Waiting);
        if before == Phase::Running {
            self.release_slot(engine.as_deref(), &model);
        }
        (before != Phase::Settled).then_some(sample)
    }

    /// Returns waiting samples that reached their failure limit in a previous step.
    pub fn exhausted_samples(&self) -> Vec<(String, u32)> {
        let mut exhausted = Vec::new();
        for (id, planned) in self.steps.iter().filter(|(_, planned)| planned.waiting > 0) {
            for (index, progress) in planned.progress.iter().enumerate() {
                let is_exhausted = progress.cost.is_exhausted(planned.step.attempts);
                if progress.phase == Phase::Waiting && is_exhausted {
                    exhausted.push((id.clone(), index as u32));
                }
            }
        }
        exhausted
    }

    /// Returns samples that are too old or whose route no longer exists.
    pub fn expired_samples(&self, config: &Config, now: Millis) -> Vec<(String, u32)> {
        let mut expired = Vec::new();
        for (id, planned) in &self.steps {
            let too_old = now.since(planned.submitted_at) >= planned.step.age_ms;
            let route_is_gone =
                |sample: &Sample| config.find(&planned.step.host, &sample.path).is_none();
            for (index, progress) in planned.progress.iter().enumerate() {
                let is_waiting = progress.phase == Phase::Waiting;
                let is_expired =
                    too_old || (is_waiting && route_is_gone(&planned.step.samples[index]));
                if progress.phase != Phase::Settled && is_expired {
                    expired.push((id.clone(), index as u32));
                }
            }
        }
        expired
    }
}
