//! A model of hosts that carry a scorer's call, with random orders of losses, reports, changes of
//! leader and ends of steps. What the leader counts is compared with what the hosts have called.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Scorer;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::State;
use chicoryford_fleet::Step;
use chicoryford_fleet::open_runs::allowed_calls;
use chicoryford_fleet::open_runs::unreported_calls;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::ReportAction;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::CallCost;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use quickcheck::QuickCheck;

use support::announcement;
use support::steps_config;

/// Number of endpoints that hosts may call, enough for several hosts to call different ones.
const ENDPOINTS: u8 = 8;
/// Milliseconds for which a leader holds the steps of the previous one.
const HOLD_MS: u64 = 500;
/// Milliseconds after which an engine that failed gets runs again.
const PENALTY_MS: u64 = 4_000;

/// A run at its host.
#[derive(Debug)]
struct HostedRun {
    step: String,
    /// The cost with which it was ordered.
    cost: Cost,
    called: BTreeSet<String>,
    /// The endpoints in the last report that the leader got.
    reported: BTreeSet<String>,
    /// The endpoints that the host knows to be in the log.
    recorded: BTreeSet<String>,
    /// Whether the host still has the run.
    is_active: bool,
    /// Whether a leader got the last report.
    is_closed: bool,
}

struct Model {
    planner: Planner,
    state: State,
    epoch: u64,
    /// The open step, and how many there were.
    step: Arc<Step>,
    steps: u32,
    now: Millis,
    runs: BTreeMap<u64, HostedRun>,
}

/// Returns a planner with two engines, as a sample avoids one from which it was moved.
fn planner(epoch: u64) -> Planner {
    let mut planner = Planner::new(Epoch(epoch));
    for id in ["e", "e2"] {
        let announcement = Announcement { service: "engines".to_owned(), ..announcement(id, 1) };
        planner.update_engine(&Endpoint { announcement, status: EndpointStatus::Ready });
    }
    planner
}

fn step(number: u32) -> Arc<Step> {
    let endpoints = (0..ENDPOINTS).map(|id| format!("d{id}")).collect();
    let scorer = Scorer { id: "c".to_owned(), endpoints, ..Scorer::default() };
    let sample = Sample {
        id: "s".to_owned(),
        path: "/s/1".to_owned(),
        scorer: Some(scorer),
        ..Sample::default()
    };
    Arc::new(Step {
        id: format!("step{number}"),
        host: "h".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        age_ms: u64::from(u32::MAX),
        attempts: 3,
        samples: vec![sample],
        ..Step::default()
    })
}

fn host_of(run: u64) -> String {
    format!("h{run}")
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            planner: planner(1),
            state: State::default(),
            epoch: 1,
            step: step(0),
            steps: 1,
            now: Millis(1_000),
            runs: BTreeMap::new(),
        };
        model.planner.open_step(model.step.clone(), model.now, Millis::default(), |_| false);
        model
    }

    fn log(&mut self, costs: Vec<(String, Cost)>) {
        let at = self.now.0;
        self.state.apply(Stamped { at, command: Command::Spend(costs.clone()) });
        self.planner.restore_costs(&costs, self.now);
    }

    fn plan(&mut self, may_log: bool) {
        let assigned = self.planner.assign(&steps_config(), self.now);
        for one in assigned {
            self.planner.set_host(&one.step.id, 0, &host_of(one.run));
            let run = HostedRun {
                step: one.step.id.clone(),
                called: BTreeSet::new(),
                reported: BTreeSet::new(),
                recorded: BTreeSet::new(),
                is_active: true,
                is_closed: false,
                cost: one.cost,
            };
            self.runs.insert(one.run, run);
        }
        let unlogged = self.planner.unlogged_costs();
        if may_log && !unlogged.is_empty() {
            self.log(unlogged);
        }
    }

    /// Returns one of the runs that hosts have, if any.
    fn active_run(&self, choice: u8) -> Option<u64> {
        let active: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.is_active).map(|(id, _)| *id).collect();
        active.get(usize::from(choice) % active.len().max(1)).copied()
    }

    fn call(&mut self, id: u64, choice: u8) {
        let run = self.runs.get_mut(&id).unwrap();
        let endpoint = format!("d{}", choice % ENDPOINTS);
        let is_known = run.cost.scorer.endpoints.contains(&endpoint);
        if !is_known && run.called.len() < allowed_calls(run.recorded.len()) {
            run.called.insert(endpoint);
        }
    }

    fn report(&mut self, id: u64, status: RunStatus) -> ReportAction {
        let run = self.runs.get_mut(&id).unwrap();
        run.reported.clone_from(&run.called);
        run.is_closed = status.is_final();
        let endpoints = run.called.union(&run.cost.scorer.endpoints).cloned().collect();
        let scorer = CallCost { endpoints, ..CallCost::default() };
        let report = RunReport {
            run: id,
            step: run.step.clone(),
            index: 0,
            endpoint: "e".to_owned(),
            status,
            from: 0,
            output: SampleOutput::default(),
            gap_ms: 0,
            cost: Cost { scorer, ..run.cost.clone() },
            remaining_ms: 1_000_000,
        };
        let action = self.planner.record_report(&host_of(id), &report, self.now);
        self.planner.record_late_calls(&report);
        action
    }

    /// Makes a host stop a run. Its last report may be lost.
    fn stop(&mut self, id: u64, is_reported: bool) {
        self.runs.get_mut(&id).unwrap().is_active = false;
        if is_reported {
            self.report(id, RunStatus::Ended(RunEnd::Taken));
        }
    }

    /// Ends the step, and submits its sample again in another one.
    fn end_step(&mut self, choice: u8) {
        let id = self.step.id.clone();
        let costs = self.planner.unfinished_costs(&id);
        self.log(costs);
        let hosted = self.planner.close_step(&id, self.now);
        for (_, _, run) in hosted {
            // The order to stop the run may be lost.
            if choice.is_multiple_of(2) && self.runs[&run].is_active {
                self.stop(run, choice.is_multiple_of(4));
            }
        }
        self.step = step(self.steps);
        self.steps += 1;
        self.planner.open_step(self.step.clone(), self.now, Millis::default(), |_| false);
    }

    fn change_leader(&mut self) {
        self.epoch += 1;
        self.planner = planner(self.epoch);
        let costs = self.state.costs.iter().map(|(id, known)| (id.clone(), known.cost.clone()));
        let costs: Vec<(String, Cost)> = costs.collect();
        self.planner.restore_costs(&costs, self.now);
        let held = self.now + HOLD_MS;
        self.planner.open_step(self.step.clone(), self.now, held, |_| false);
    }

    fn apply(&mut self, event: u8, choice: u8) {
        match event % 10 {
            0 | 1 => self.plan(!choice.is_multiple_of(8)),
            2 => self.active_run(choice).into_iter().for_each(|run| self.call(run, choice / 8)),
            3 => {
                let newest = self.runs.iter().rfind(|(_, run)| run.is_active);
                let newest = newest.map(|(id, _)| *id);
                newest.into_iter().for_each(|run| self.call(run, choice));
            }
            4 | 5 => {
                let Some(run) = self.active_run(choice) else { return };
                let status = if choice > 50 { RunStatus::Scoring } else { RunStatus::Running };
                if self.report(run, status) == ReportAction::Stop {
                    self.stop(run, choice.is_multiple_of(2));
                }
            }
            6 => {
                // The host of a run is disconnected, and lost for good or not.
                let Some((host, run)) = self.planner.host(&self.step.id, 0) else { return };
                self.planner.orphan_runs(&host);
                if choice.is_multiple_of(2) {
                    self.runs.get_mut(&run).unwrap().is_active = false;
                }
            }
            7 => self.now = self.now + PENALTY_MS,
            8 if choice.is_multiple_of(3) => self.change_leader(),
            8 if choice % 3 == 1 => self.end_step(choice / 3),
            8 => {
                let cost = self.planner.scorer(&self.step.id, 0).map(|(_, cost)| cost.clone());
                self.log(cost.map(|cost| ("s".to_owned(), cost)).into_iter().collect());
                let current = self.planner.host(&self.step.id, 0);
                let run = current.and_then(|(_, run)| self.runs.get_mut(&run));
                // The message to the host may be lost.
                if let Some(run) = run.filter(|_| choice.is_multiple_of(2)) {
                    run.recorded.clone_from(&run.reported);
                }
            }
            _ => {
                let Some((_, run)) = self.planner.host(&self.step.id, 0) else { return };
                self.planner.record_run_end(&self.step.id, 0, RunEnd::Taken, self.now);
                let moved = self.planner.host(&self.step.id, 0).is_none();
                if moved && self.runs[&run].is_active {
                    self.stop(run, choice.is_multiple_of(2));
                }
            }
        }
    }

    /// Returns why the leader's count is wrong, if it is.
    fn fault(&self) -> Option<String> {
        let counted = self.planner.unreported_calls(&self.step.id, 0);
        let known = &self.planner.scorer(&self.step.id, 0)?.1.scorer.endpoints;
        let current = self.planner.host(&self.step.id, 0).map(|(_, run)| run);
        let others = || self.runs.iter().filter(|(id, _)| Some(**id) != current);
        let called: BTreeSet<&String> = others().flat_map(|(_, run)| &run.called).collect();
        let unknown = called.iter().filter(|id| !known.contains(**id)).count();
        if unknown > counted {
            return Some(format!("{unknown} calls are not known, {counted} are counted"));
        }
        let open = others().filter(|(_, run)| !run.is_closed);
        let most: u32 = open.map(|(_, run)| unreported_calls(run.reported.len())).sum();
        // A leader that has taken over may not know all reports.
        (self.epoch == 1 && counted > most as usize)
            .then(|| format!("{counted} calls are counted, {most} are possible"))
    }
}

/// Plays events, each with a choice, and returns whether the leader counted right after each of them,
/// and orders the sample in the end.
fn is_counted(events: Vec<(u8, u8)>) -> bool {
    let mut model = Model::new();
    for (number, (event, choice)) in events.iter().enumerate() {
        model.apply(*event, *choice);
        if let Some(fault) = model.fault() {
            println!("after event {number}: {fault}");
            println!("{:?}", &events[..=number]);
            model.runs.iter().for_each(|(id, run)| println!("{id}: {run:?}"));
            return false;
        }
    }
    for _ in 0..3 {
        model.now = model.now + 2 * PENALTY_MS;
        model.plan(true);
    }
    model.planner.host(&model.step.id, 0).is_some()
}

/// Guards against orders of events in which hosts have called more endpoints than the leader counts,
/// and against a sample that is not ordered any more or whose count exceeds what is possible.
#[test]
fn what_hosts_may_have_called_is_counted_in_any_order_of_events() {
    QuickCheck::new().tests(3_000).quickcheck(is_counted as fn(Vec<(u8, u8)>) -> bool);
}
