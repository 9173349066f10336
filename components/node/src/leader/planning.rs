//! The planner's rounds: ends runs that need another engine, and starts runs on hosts.

use std::rc::Rc;
use std::rc::Weak;

use chicoryford_fleet::SampleResult;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_types::Millis;

use crate::clock;
use crate::leader::LOG_TARGET;
use crate::leader::Leader;
use crate::leader::PLAN_INTERVAL;
use crate::metrics;
use crate::orders;

/// Interval between checks for expired steps.
const EXPIRE_STEPS_INTERVAL_MS: u64 = 5_000;

impl Leader {
    /// Runs one planning round: ends lost, slow and hopeless runs, and starts new ones.
    fn plan_round(self: &Rc<Self>) {
        if !self.leads() {
            return;
        }
        let Some(config) = self.config() else { return };
        let now = clock::now();
        orders::start_due_loads(self, &config, now);
        for host in self.hosts.take_expired() {
            let orphaned = self.plan.borrow_mut().orphan_runs(&host);
            tracing::warn!(target: LOG_TARGET, event = "host_lost", host, orphaned);
        }
        let old = self.plan.borrow().expired_samples(&config, now);
        for (step, index) in old {
            tracing::info!(target: LOG_TARGET, event = "sample_given_up", step, index, why = "age");
            self.settle(&step, index, SampleResult::GivenUp);
        }
        let failed = self.plan.borrow().exhausted_samples();
        for (step, index) in failed {
            tracing::info!(target: LOG_TARGET, event = "sample_given_up", step, index, why = "failed before");
            self.settle(&step, index, SampleResult::GivenUp);
        }
        let is_check_due = now.since(self.runs_checked.get()) >= PLAN_INTERVAL.as_millis() as u64;
        if is_check_due {
            self.runs_checked.set(now);
            self.end_lost_and_slow_runs(now);
        }
        let mut assigned = self.plan.borrow_mut().assign(&config, now);
        if is_check_due && self.move_to_faster_engines(&config, now) {
            assigned.extend(self.plan.borrow_mut().assign(&config, now));
        }
        self.record_open_runs();
        for assignment in assigned {
            self.start_run(assignment);
        }
    }

    /// Ends runs that need another engine. They are noticed by the time that passes, so events need
    /// no additional check: it examines every engine.
    fn end_lost_and_slow_runs(self: &Rc<Self>, now: Millis) {
        let lost = self.plan.borrow().lost_runs(now);
        for (step, index) in lost {
            self.end_run(&step, index, RunEnd::Broken);
        }
        let slow = self.plan.borrow_mut().slow_runs(now);
        for (step, index) in slow {
            metrics::MOVED_RUNS.with_label_values(&["slow"]).inc();
            self.end_run(&step, index, RunEnd::Taken);
        }
    }
}

/// Runs planning rounds, periodic checks of the registry, and the removal of what has expired, until
/// the term ends.
pub(super) async fn run_planner(leader: Weak<Leader>) {
    let mut last_expiry = clock::now();
    let mut last_tick = Millis::default();
    let timer = RunTimer::start();
    loop {
        timer.read().await;
        let Some(leader) = leader.upgrade() else { return };
        leader.plan_round();
        if clock::now().since(last_tick) >= PLAN_INTERVAL.as_millis() as u64 {
            last_tick = clock::now();
            leader.tick_registry();
        }
        if clock::now().since(last_expiry) >= EXPIRE_STEPS_INTERVAL_MS {
            last_expiry = clock::now();
            leader.forget_expired_steps().await;
            leader.pool.borrow_mut().sweep(|_| true);
            leader.context.forwarder.sweep();
        }
        tokio::select! {
            () = leader.wake_planner.notified() => {}
            () = tokio::time::sleep(PLAN_INTERVAL) => {}
        }
    }
}
