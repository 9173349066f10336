//! Tracks runs that were taken away from their hosts, until these report for the last time.
//!
//! A host reports each endpoint that it calls, but the report may be lost or still on its way when the
//! run is taken away. The endpoints that it may have called meanwhile count against the limit of the
//! call ([`crate::open_runs`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Millis;

use super::PastCost;
use super::Planner;
use super::samples::Phase;
use super::samples::Progress;
use crate::open_runs::MAX_UNREPORTED_CALLS;
use crate::open_runs::OpenRuns;
use crate::open_runs::unreported_calls;
use crate::run::Cost;
use crate::run::RunReport;
use crate::run::RunStatus;
use crate::step::Sample;

/// The maximum number of costs in one command. After a change of leader, thousands of samples may
/// wait, and larger commands would delay the others.
const MAX_LOGGED_COSTS: usize = 1_000;

/// A run that was taken away from its host, which may still report what it called.
pub(super) struct OpenRun {
    /// The id of the sample, which may be part of another step by then.
    pub(super) sample: String,
    /// The endpoints that were known to have been called when the run was ordered.
    pub(super) called_before: BTreeSet<String>,
    /// When the run was ordered, or when this leader learned of it.
    pub(super) known_since: Millis,
}

impl OpenRun {
    /// Returns how many endpoints the run may have called without having reported so. The report
    /// contains all endpoints that it has called, and those that it knew of before.
    fn unreported_calls(&self, report: &RunReport) -> u32 {
        if report.status.is_final() {
            return 0;
        }
        unreported_calls(report.cost.scorer.endpoints.difference(&self.called_before).count())
    }
}

impl Progress {
    /// Returns the id of the run that the sample has now, if any.
    fn current_run(&self) -> Option<u64> {
        let is_active = matches!(self.phase, Phase::Running | Phase::Scoring);
        is_active.then_some(self.run)
    }

    /// Records what the current run has reported about its calls.
    pub(super) fn record_calls(&mut self, report: &RunReport) {
        let called = report.cost.scorer.endpoints.difference(&self.called_before).count();
        self.calls_reported = self.calls_reported.max(called);
        self.run_closed |= report.status.is_final();
        if self.run_closed && self.cost.open_runs.contains(self.run) {
            self.cost.open_runs.limit(self.run, 0);
        }
    }

    /// Returns whether the host of the newest run may call endpoints without having reported so.
    fn is_run_open(&self) -> bool {
        self.has_scorer && self.phase != Phase::Waiting && self.run > 0 && !self.run_closed
    }

    /// Takes the newest run away from its host. Returns it if the host may have called endpoints
    /// without having reported so.
    pub(super) fn take_run(&mut self, sample: &str) -> Option<(u64, OpenRun)> {
        if !self.is_run_open() {
            return None;
        }
        self.cost.open_runs.limit(self.run, unreported_calls(self.calls_reported));
        let (called_before, known_since) = (self.called_before.clone(), self.started);
        Some((self.run, OpenRun { sample: sample.to_owned(), called_before, known_since }))
    }

    /// Returns whether a report reveals the run that an earlier leader ordered last. The log contains
    /// all open runs before the next one is ordered, so it contains none that is newer. A run that has
    /// ended at its host may have been followed by another one.
    fn is_inherited(&self, report: &RunReport, marker: u64) -> bool {
        self.inherited
            && report.run < marker
            && !matches!(report.status, RunStatus::Ended(_))
            && self.cost.open_runs.newest_except(marker).is_none_or(|newest| newest < report.run)
    }

    /// Records whether a report reveals the run that an earlier leader ordered last. Returns whether it
    /// does.
    pub(super) fn find_inherited(&mut self, report: &RunReport, marker: u64) -> bool {
        if !self.is_inherited(report, marker) {
            return false;
        }
        self.inherited = false;
        if self.cost.open_runs.contains(marker) {
            self.cost.open_runs.limit(marker, 0);
        }
        true
    }

    /// Makes a run of an earlier leader, or one whose host was disconnected, the current run.
    pub(super) fn adopt_run(&mut self, host: &str, report: &RunReport, called: BTreeSet<String>) {
        self.phase = Phase::Running;
        self.engine = Some(report.endpoint.clone());
        self.host = Some(host.to_owned());
        self.run = report.run;
        self.called_before = called;
        self.calls_reported = 0;
        self.run_closed = false;
        self.cost.crashes = report.cost.crashes;
        self.cost.losses = report.cost.losses;
        self.failures_before = report.cost.failures;
    }
}

/// Returns whether the log contains all calls of a sample's scorer that are known or possible, so that
/// the sample may be ordered. `marker` is the run that stands for an unknown one.
pub(super) fn are_calls_logged(
    sample: &Sample,
    progress: &Progress,
    past_costs: &BTreeMap<String, PastCost>,
    marker: u64,
) -> bool {
    if progress.inherited && !progress.cost.open_runs.contains(marker) {
        return false;
    }
    let cost = &progress.cost;
    let mut open = cost.open_runs.open().peekable();
    if !progress.has_scorer || (open.peek().is_none() && cost.scorer.endpoints.is_empty()) {
        return true;
    }
    past_costs.get(&sample.id).is_some_and(|past| {
        open.all(|run| past.logged.open_runs.contains(run))
            && past.logged.scorer.endpoints.is_superset(&cost.scorer.endpoints)
    })
}

impl Planner {
    /// Returns the id that stands for a run of an earlier leader until its host reports it. It is older
    /// than the runs of this leader and newer than those of earlier ones.
    pub(super) fn inherited_run(&self) -> u64 {
        self.epoch.0 << 32
    }

    /// Returns whether the current run has called as many endpoints as it may before they are recorded.
    pub fn has_used_calls(&self, step: &str, index: u32) -> bool {
        let planned = self.steps.get(step);
        let progress = planned.and_then(|planned| planned.progress.get(index as usize));
        progress.is_some_and(|one| one.calls_reported >= MAX_UNREPORTED_CALLS as usize)
    }

    /// Returns how many endpoints hosts may have called for a sample without having reported so, not
    /// counting the host of its current run.
    pub fn unreported_calls(&self, step: &str, index: u32) -> usize {
        let planned = self.steps.get(step);
        let Some(progress) = planned.and_then(|planned| planned.progress.get(index as usize))
        else {
            return 0;
        };
        let open = self.all_open_runs(progress);
        open.calls_except(progress.current_run().unwrap_or_default())
    }

    /// Returns the open runs of a sample, including the newest one and one of an earlier leader that is
    /// not known.
    pub(super) fn all_open_runs(&self, progress: &Progress) -> OpenRuns {
        let mut open = progress.cost.open_runs.clone();
        if progress.is_run_open() {
            open.limit(progress.run, unreported_calls(progress.calls_reported));
        }
        if progress.inherited {
            open.limit(self.inherited_run(), MAX_UNREPORTED_CALLS);
        }
        open
    }

    /// Returns the costs of samples that the last assignment held back because the log does not contain
    /// all of their calls. If they were ordered, the next leader might know of this order only.
    pub fn unlogged_costs(&self) -> Vec<(String, Cost)> {
        let costs = self.unlogged_samples.iter().filter_map(|(step, index)| {
            let planned = self.steps.get(step)?;
            let progress = planned.progress.get(*index as usize)?;
            let open_runs = self.all_open_runs(progress);
            let id = planned.step.samples.get(*index as usize)?.id.clone();
            Some((id, Cost { open_runs, ..progress.cost.clone() }))
        });
        costs.take(MAX_LOGGED_COSTS).collect()
    }

    /// Records what a host reports about a run that was taken away from it, also if its step has ended.
    /// Returns the place of the sample in an open step, as step and index: fewer endpoints than before
    /// may have been called without being reported.
    pub fn record_late_calls(&mut self, report: &RunReport) -> Option<(String, u32)> {
        let run = self.open_runs.get(&report.run)?;
        let (sample, calls) = (run.sample.clone(), run.unreported_calls(report));
        if report.status.is_final() {
            self.open_runs.remove(&report.run);
        }
        let record = |cost: &mut Cost| {
            cost.merge(&report.cost);
            cost.open_runs.limit(report.run, calls);
        };
        let past = self.past_costs.get_mut(&sample);
        let newest = past.and_then(|past| {
            record(&mut past.cost);
            past.place.clone()
        });
        let (step, index) = newest.unwrap_or_else(|| (report.step.clone(), report.index));
        let progress = self.steps.get_mut(&step)?.progress.get_mut(index as usize)?;
        record(&mut progress.cost);
        Some((step, index))
    }
}
