//! The leader's runs: assignment to hosts, and handling of the hosts' reports.

use std::rc::Rc;

use chicoryford_fleet::SampleResult;
use chicoryford_fleet::plan::AfterRun;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::ReportAction;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;

use crate::clock;
use crate::leader::Leader;
use crate::leader::steps::HOST_REPORTS_WAIT_MS;
use crate::listing::SampleVerdict;
use crate::metrics;

impl Leader {
    pub(super) fn start_run(self: &Rc<Self>, assignment: Assignment) {
        let Assignment {
            run,
            step,
            index,
            endpoint,
            address,
            version,
            output,
            discarded,
            other_runs: beside,
            ..
        } = assignment;
        let (cost, left_ms) = (assignment.cost, assignment.remaining_ms);
        let data_centre = self.data_centre(&endpoint);
        let sample = step.samples[index as usize].clone();
        let host = self.hosts.choose(&data_centre);
        tracing::info!(
            event = "run_started",
            step = step.id,
            index,
            sample = sample.id,
            run,
            endpoint,
            version,
            after = output.events.len(),
            discarded,
            beside,
            host,
            failures = cost.failures,
            crashes = cost.crashes,
            losses = cost.losses,
            scorer_failures = cost.scorer.failures,
            unreported = cost.open_runs.calls_except(run)
        );
        let job = Job {
            run,
            step: step.id.clone(),
            index,
            host: step.host.clone(),
            sample,
            workspace: step.workspace.clone(),
            endpoint,
            address,
            version,
            min_version: step.min_version,
            single_version: step.single_version,
            remaining_ms: left_ms,
            output,
            cost,
        };
        self.plan.borrow_mut().set_host(&step.id, index, &host);
        if !self.hosts.send_run(&host, Box::new(job), self.host_count()) {
            // The next planning round assigns the run to another host. Planning again at once would
            // choose the same host repeatedly until its connection has ended.
            self.hosts.mark_overloaded(&host);
            self.finish_run(&step.id, index, RunEnd::Late);
        }
    }

    /// Returns the number of hosts that share the slots for scorers' calls, if calls are paced. A
    /// new leader does not know it before the hosts have reported: until then, they keep the last
    /// known number, because too low a number would let them fill the queues of endpoints. A host
    /// that does not report within the time for which steps wait for it is not counted.
    fn host_count(&self) -> Option<u32> {
        let is_paced = self.context.settings.policy.paced_scorers;
        let is_complete = || {
            clock::now().since(self.began) >= HOST_REPORTS_WAIT_MS
                || self.hosts.all_reported(self.context.replica.state().store_nodes())
        };
        (is_paced && is_complete()).then(|| self.hosts.count())
    }

    /// Ends a run at the leader's initiative: its host is told to stop it, and the sample waits for
    /// another run.
    pub(super) fn end_run(self: &Rc<Self>, step: &str, index: u32, end: RunEnd) {
        self.finish_run(step, index, end);
        self.wake_planner.notify_one();
    }

    fn finish_run(self: &Rc<Self>, step: &str, index: u32, end: RunEnd) {
        self.release(step, index);
        let (next, events) = {
            let mut plan = self.plan.borrow_mut();
            let next = plan.record_run_end(step, index, end, clock::now());
            (next, plan.output(step, index).map_or(0, |output| output.events.len()))
        };
        metrics::RUNS.with_label_values(&[outcome_label(end)]).inc();
        tracing::info!(event = "run_ended", step, index, ?end, ?next, events);
        if next == AfterRun::GiveUp {
            self.settle(step, index, SampleResult::GivenUp);
        } else if matches!(end, RunEnd::Failed | RunEnd::Crashed | RunEnd::Unanswered) {
            self.record_cost(step, index);
        }
    }

    /// Makes the host of a sample's run stop or forget it.
    pub(super) fn release(&self, step: &str, index: u32) {
        let host = self.plan.borrow().host(step, index);
        if let Some((host, run)) = host {
            self.hosts.stop(&host, step, index, run);
            self.hosts.release_run(&host);
        }
    }

    /// Records that a host has connected but has not reported its runs yet.
    pub fn host_connecting(&self, host: &str, link: u64) {
        self.hosts.connecting(host, link);
        self.plan.borrow_mut().mark_unreported(host);
    }

    /// Records that a host has reported all its runs. The host may be given work from now on.
    pub fn host_ready(&self, host: &str, data_centre: &str, link: u64) {
        if !self.hosts.reported(host, data_centre, link) {
            return;
        }
        let orphaned = self.plan.borrow_mut().orphan_unreported_runs(host);
        self.plan.borrow_mut().record_host_reported(host);
        tracing::info!(event = "host_found", host, orphaned);
        self.wake_planner.notify_one();
    }

    /// Records that the connection to a host has ended. `silent` means that it was closed because
    /// the host had been silent for too long.
    pub fn host_disconnected(&self, host: &str, link: u64, silent: bool) {
        self.hosts.disconnected(host, link, silent);
        self.wake_planner.notify_one();
    }

    /// Handles a host's report about a run.
    pub fn handle_report(self: &Rc<Self>, host: &str, report: &RunReport) {
        let (step, index) = (&report.step, report.index);
        self.record_ended(report);
        let was_scoring = self.plan.borrow().is_scoring(step, index);
        let action = self.plan.borrow_mut().record_report(host, report, clock::now());
        let late = self.plan.borrow_mut().record_late_calls(report);
        if let Some((step, index)) = late {
            self.extend_grant(&step, index);
        }
        match action {
            ReportAction::Continue => {}
            ReportAction::Stop => {
                // If the step is open but has not been read from the stores yet, the host is asked
                // to report again later. A step that has ended is never read: without a stop here,
                // its run would go on and its scorer would be called until it answers.
                let open =
                    self.context.replica.state().steps.get(step).is_some_and(|s| s.is_open());
                let unread = open && self.unread.borrow().contains(step);
                let (run, standing) = (report.run, &report.status);
                tracing::info!(event = "report_refused", step, index, run, host, ?standing, unread);
                // A host that reports this has stopped the run.
                let is_stopped = report.status == RunStatus::Ended(RunEnd::Taken);
                if !unread && !is_stopped {
                    self.hosts.stop(host, step, index, report.run);
                }
                return;
            }
            ReportAction::Defer => return,
        }
        match &report.status {
            RunStatus::Running => {}
            RunStatus::Scoring if was_scoring => {
                self.extend_grant(step, index);
                self.confirm_failures(step, index);
                self.confirm_calls(step, index);
            }
            RunStatus::Scoring => {
                // Its host may lack what an earlier leader added to the grant.
                self.send_grant(step, index);
                self.extend_grant(step, index);
                self.confirm_failures(step, index);
                self.confirm_calls(step, index);
                let events = report.from as usize + report.output.events.len();
                let endpoint = &report.endpoint;
                metrics::RUNS.with_label_values(&["whole"]).inc();
                tracing::info!(event = "run_whole", step, index, endpoint, events, host);
                self.wake_planner.notify_one();
            }
            RunStatus::Ended(end) => {
                if *end == RunEnd::Late {
                    self.hosts.mark_overloaded(host);
                }
                self.end_run(step, index, *end);
            }
            RunStatus::Unscored => {
                tracing::info!(event = "sample_given_up", step, index, why = "scorer");
                self.settle(step, index, SampleResult::GivenUp);
            }
            RunStatus::Finished(score) => {
                let output = self.plan.borrow().output(step, index).cloned().unwrap_or_default();
                let verdict = SampleResult::Completed {
                    text: output.events.join("\n"),
                    versions: output.versions,
                    score: score.clone(),
                };
                self.settle(step, index, verdict);
                self.wake_planner.notify_one();
            }
        }
    }

    /// Queues the verdict of a sample for listing.
    pub(super) fn settle(&self, step: &str, index: u32, verdict: SampleResult) {
        let sample = self.plan.borrow_mut().settle(step, index);
        if let Some(sample) = sample {
            self.outbox.put(step, SampleVerdict { index, sample, verdict });
        }
    }
}

pub(super) fn outcome_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Failed => "failed",
        RunEnd::Unfit => "unfit",
        RunEnd::Full => "full",
        RunEnd::Moved => "moved",
        RunEnd::Broken => "broken",
        RunEnd::Crashed => "crashed",
        RunEnd::Unanswered => "unanswered",
        RunEnd::Taken => "taken",
        RunEnd::Late => "late",
    }
}
