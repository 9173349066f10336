//! The replicated state of the fleet, which every replica computes from the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_types::Fingerprint;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::copies::PartId;
use crate::copies::Placement;
use crate::copies::StoreId;
use crate::crashes;
use crate::crashes::Crash;
use crate::duty::Holding;
use crate::endpoint::Endpoint;
use crate::run::Cost;
use crate::speeds::SpeedChanges;
use crate::speeds::SpeedState;
use crate::step::ListedResult;
use crate::step::StepSummary;
use crate::step_access::Submission;
use crate::usage::Totals;
use crate::usage::UsageState;
use crate::workspace::split_step_id;

/// Milliseconds for which the cost of a sample is kept. If its trainer submits it again, it does so
/// in one of its next steps.
pub const COST_TTL_MS: u64 = 120_000;

/// Milliseconds for which the departure of an endpoint is kept. Its announcements may be late by
/// seconds, but not by tens of seconds.
pub const DEPARTED_TTL_MS: u64 = 12_000;

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Command {
    /// Submits a configuration. The one with the highest version is in force.
    Configure(Arc<Config>),
    /// Publishes a version of the weights of a model. The highest version counts.
    Publish {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// Submits a step whose samples are stored in a part.
    Submit {
        /// The step.
        step: Arc<StepSummary>,
        /// Where the part is stored.
        placement: Placement,
    },
    /// Lists results of a step. A sample that is already listed keeps its result.
    List {
        /// The step.
        step: String,
        /// The part that holds their texts and where it is stored, or `None` without texts.
        part: Option<(PartId, Placement)>,
        /// The results, in the order of their positions.
        results: Vec<Arc<ListedResult>>,
    },
    /// Records a part that holds checkpoints of samples of a step.
    Note {
        /// The step.
        step: String,
        /// The part.
        part: PartId,
        /// Where the part is stored.
        placement: Placement,
    },
    /// Records changes of the known endpoints, for a leader that finds no other process that knows
    /// them. If all endpoints were recorded each time, the acknowledgement of one of 3,000
    /// endpoints that stops would wait until half a megabyte is on the disks of a majority.
    Know {
        /// Endpoints that are new or differ from their record.
        live: Vec<Endpoint>,
        /// Endpoints that must not get work any more.
        gone: Vec<String>,
    },
    /// Records that copies of a part are stored elsewhere now.
    Move {
        /// The part.
        part: PartId,
        /// The stores that hold it.
        stores: BTreeSet<StoreId>,
    },
    /// Ends a step. None of its samples run any more.
    End {
        /// The step.
        step: String,
    },
    /// Removes steps that can no longer be requested.
    Forget {
        /// The steps.
        steps: Vec<String>,
    },
    /// Acquires or renews the duty to call the platform.
    Hold(Holding),
    /// Records the usage of workspaces as counted by entries.
    Use(Vec<Totals>),
    /// Closes a window of usage and all windows before it. Usage that entries report for them later
    /// is dropped.
    CloseWindow {
        /// The window.
        window: u64,
        /// The newest window that the platform is known to have accepted together with all windows
        /// before it.
        accepted: Option<u64>,
    },
    /// Records what samples have cost, by sample id. It is recorded before a host may rely on it,
    /// and before a sample that may be submitted again leaves its step.
    Spend(Vec<(String, Cost)>),
    /// Records that an endpoint crashed while it ran a request with this content.
    Crash(Crash),
    /// Records that a request with a suspected content completed.
    Clear(Fingerprint),
    /// Records that the parts on a store VM are to be moved elsewhere.
    Retire {
        /// The VM.
        node: String,
    },
    /// Records the speeds of engines that differ from the median.
    Speeds(SpeedChanges),
    /// Binds a step that was submitted without a workspace to the first one that claims it.
    Claim {
        /// The step.
        step: String,
        /// The workspace.
        workspace: String,
    },
    /// Records that an endpoint leaves: it must not get work any more, whatever announcement of it
    /// arrives late.
    Depart {
        /// The id of the endpoint.
        id: String,
        /// When it started, by its own clock; a later start under its id has not left.
        started_ms: u64,
    },
}

/// A command stamped with the fleet clock when the leader proposed it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Stamped {
    /// Milliseconds of the fleet clock, which advances while there is a leader. Clocks of different
    /// VMs cannot be compared, so each leader continues from the last stamp in the log.
    pub at: u64,
    /// The command.
    pub command: Command,
}

/// The effect of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// It changed the state.
    Changed,
    /// The state already contained it or something newer.
    Held,
    /// It refers to an unknown step.
    Unknown,
}

/// A step and its results.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StepState {
    /// The step.
    pub step: Arc<StepSummary>,
    /// When it was submitted, on the fleet clock.
    pub submitted_at: u64,
    /// The results, in the order in which they were listed.
    pub results: Vec<Arc<ListedResult>>,
    /// The indices of the samples with results.
    pub listed: BTreeSet<u32>,
    /// Parts with checkpoints of samples without results, oldest first.
    pub checkpoints: Vec<PartId>,
    /// When it was ended, on the fleet clock.
    pub ended_at: Option<u64>,
    /// The workspace that it was bound to after it had been submitted without one
    /// ([`crate::step_access`]).
    #[serde(default)]
    pub owner: Option<String>,
}

impl StepState {
    /// Returns whether samples of the step are still to be generated.
    pub fn is_open(&self) -> bool {
        self.ended_at.is_none() && self.results.len() < self.step.samples as usize
    }

    /// Returns whether a sample has a result.
    pub fn is_listed(&self, index: u32) -> bool {
        self.listed.contains(&index)
    }
}

/// A stored part of a step.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Part {
    /// The step.
    pub step: String,
    /// Where the part is stored.
    pub placement: Placement,
}

/// What a sample has cost, and when that was recorded last, on the fleet clock.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SampleCost {
    /// The cost.
    pub cost: Cost,
    /// When it was recorded.
    pub at: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct State {
    /// The highest stamp of an applied command.
    pub clock: u64,
    /// The configuration in force.
    pub config: Option<Arc<Config>>,
    /// The newest published version of each model.
    pub versions: BTreeMap<String, u64>,
    /// The steps.
    pub steps: BTreeMap<String, StepState>,
    /// The parts of steps and where they are stored.
    pub parts: BTreeMap<PartId, Part>,
    /// Store VMs whose parts are to be moved elsewhere.
    pub retired: BTreeSet<String>,
    /// The recently known endpoints.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// The holder of the duty to call the platform; `None` before the first one.
    pub holding: Option<Holding>,
    /// The usage of workspaces.
    pub usage: UsageState,
    /// Contents of requests that crash endpoints.
    pub crashes: crashes::CrashState,
    /// The costs of samples that have failed, or that may be submitted again.
    #[serde(default)]
    pub costs: BTreeMap<String, SampleCost>,
    /// The speeds of engines that differ from the median.
    #[serde(default)]
    pub speeds: SpeedState,
    /// Endpoints that have left recently.
    #[serde(default)]
    pub departed: BTreeMap<String, Departed>,
}

/// An endpoint that has left.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Departed {
    /// When it started, by its own clock.
    pub started_ms: u64,
    /// When its departure was recorded, on the fleet clock.
    pub at: u64,
}

impl State {
    /// Applies a command and returns its effect.
    pub fn apply(&mut self, stamped: Stamped) -> ApplyOutcome {
        let Stamped { at, command } = stamped;
        self.clock = self.clock.max(at);
        match command {
            Command::Configure(config) => self.configure(config),
            Command::Publish { model, version } => self.publish(model, version),
            Command::Submit { step, placement } => self.submit(step, placement),
            Command::List { step, part, results } => self.list(&step, part, results),
            Command::Note { step, part, placement } => {
                self.record_checkpoint(&step, part, placement)
            }
            Command::Know { live, gone } => self.update_endpoints(live, &gone),
            Command::Move { part, stores } => self.move_part(part, stores),
            Command::End { step } => self.end(&step),
            Command::Forget { steps } => self.forget(&steps),
            Command::Hold(holding) => self.hold(holding),
            Command::Use(totals) => self.merge_usage(totals),
            Command::CloseWindow { window, accepted } => {
                changed(self.usage.close(window, accepted))
            }
            Command::Spend(costs) => self.record_costs(costs),
            Command::Crash(crash) => changed(self.crashes.record_crash(crash, self.clock)),
            Command::Clear(content) => changed(self.crashes.clear_suspect(content)),
            Command::Retire { node } => changed(self.retired.insert(node)),
            Command::Speeds(changes) => changed(self.speeds.record(changes, &self.endpoints)),
            Command::Claim { step, workspace } => self.claim(&step, workspace),
            Command::Depart { id, started_ms } => self.depart(id, started_ms),
        }
    }

    fn record_costs(&mut self, costs: Vec<(String, Cost)>) -> ApplyOutcome {
        let at = self.clock;
        self.costs.retain(|_, known| at.saturating_sub(known.at) < COST_TTL_MS);
        for (sample, cost) in costs {
            let known = self.costs.entry(sample);
            let known = known.or_insert_with(|| SampleCost { cost: Cost::default(), at });
            known.cost.merge(&cost);
            known.cost.crashes = cost.crashes;
            known.cost.losses = cost.losses;
            known.at = at;
        }
        ApplyOutcome::Changed
    }

    fn hold(&mut self, next: Holding) -> ApplyOutcome {
        let accepted = self.holding.as_ref().is_none_or(|held| held.can_pass_to(&next, self.clock));
        if accepted {
            self.holding = Some(next);
        }
        changed(accepted)
    }

    fn merge_usage(&mut self, totals: Vec<Totals>) -> ApplyOutcome {
        let late = self.usage.merge(totals);
        if late > 0 {
            tracing::warn!(event = "usage_late", requests = late);
        }
        ApplyOutcome::Changed
    }

    fn update_endpoints(&mut self, live: Vec<Endpoint>, gone: &[String]) -> ApplyOutcome {
        for id in gone {
            self.endpoints.remove(id);
            self.speeds.remove(id);
        }
        for endpoint in &live {
            self.speeds.record_announcement(&endpoint.announcement);
        }
        // The leader may have proposed this before it received the departure.
        let departed = &self.departed;
        let has_left = |endpoint: &Endpoint| {
            let known = departed.get(&endpoint.announcement.id);
            known.is_some_and(|known| endpoint.announcement.started_ms <= known.started_ms)
        };
        let live = live.into_iter().filter(|endpoint| !has_left(endpoint));
        let live = live.map(|endpoint| (endpoint.announcement.id.clone(), endpoint));
        self.endpoints.extend(live);
        ApplyOutcome::Changed
    }

    fn depart(&mut self, id: String, started_ms: u64) -> ApplyOutcome {
        let at = self.clock;
        self.departed.retain(|_, known| at.saturating_sub(known.at) < DEPARTED_TTL_MS);
        self.endpoints.remove(&id);
        self.speeds.remove(&id);
        self.departed.insert(id, Departed { started_ms, at });
        ApplyOutcome::Changed
    }

    fn configure(&mut self, config: Arc<Config>) -> ApplyOutcome {
        let newer = self.config.as_ref().is_none_or(|held| held.version < config.version);
        if newer {
            self.config = Some(config);
        }
        changed(newer)
    }

    fn publish(&mut self, model: String, version: u64) -> ApplyOutcome {
        let held = self.versions.entry(model).or_default();
        let newer = *held < version;
        *held = version.max(*held);
        changed(newer)
    }

    fn submit(&mut self, step: Arc<StepSummary>, placement: Placement) -> ApplyOutcome {
        match self.find_submission(&step) {
            Submission::New => {}
            Submission::Repeated(id) => {
                let id = id.to_owned();
                if let (Some(workspace), _) = split_step_id(&step.id) {
                    self.claim(&id, workspace.to_owned());
                }
                return ApplyOutcome::Held;
            }
            Submission::Conflict => return ApplyOutcome::Unknown,
        }
        let id = step.id.clone();
        self.parts.insert(step.part, Part { step: id.clone(), placement });
        let state = StepState {
            step,
            submitted_at: self.clock,
            results: Vec::new(),
            listed: BTreeSet::new(),
            checkpoints: Vec::new(),
            ended_at: None,
            owner: None,
        };
        self.steps.insert(id, state);
        ApplyOutcome::Changed
    }

    /// Binds a step to a workspace, unless it belongs to one.
    fn claim(&mut self, step: &str, workspace: String) -> ApplyOutcome {
        let Some(state) = self.steps.get_mut(step) else { return ApplyOutcome::Unknown };
        let is_free = state.owner.is_none() && split_step_id(step).0.is_none();
        if is_free {
            state.owner = Some(workspace);
        }
        changed(is_free)
    }

    fn list(
        &mut self,
        step: &str,
        part: Option<(PartId, Placement)>,
        results: Vec<Arc<ListedResult>>,
    ) -> ApplyOutcome {
        let Some(state) = self.steps.get_mut(step) else { return ApplyOutcome::Unknown };
        let count_before = state.results.len();
        for listed in results {
            if listed.index < state.step.samples && state.listed.insert(listed.index) {
                state.results.push(listed);
            }
        }
        let has_new = state.results.len() > count_before;
        let obsolete =
            if state.is_open() { Vec::new() } else { std::mem::take(&mut state.checkpoints) };
        self.parts.retain(|id, _| !obsolete.contains(id));
        if let Some((part, placement)) = part.filter(|_| has_new) {
            self.parts.insert(part, Part { step: step.to_owned(), placement });
        }
        changed(has_new)
    }

    fn record_checkpoint(
        &mut self,
        step: &str,
        part: PartId,
        placement: Placement,
    ) -> ApplyOutcome {
        let Some(state) = self.steps.get_mut(step).filter(|state| state.is_open()) else {
            return ApplyOutcome::Held;
        };
        state.checkpoints.push(part);
        self.parts.insert(part, Part { step: step.to_owned(), placement });
        ApplyOutcome::Changed
    }

    fn move_part(&mut self, part: PartId, stores: BTreeSet<StoreId>) -> ApplyOutcome {
        let Some(known) = self.parts.get_mut(&part) else { return ApplyOutcome::Held };
        known.placement = Placement::Stores(stores);
        ApplyOutcome::Changed
    }

    fn end(&mut self, step: &str) -> ApplyOutcome {
        let clock = self.clock;
        let Some(state) = self.steps.get_mut(step) else { return ApplyOutcome::Unknown };
        let first = state.ended_at.is_none();
        state.ended_at.get_or_insert(clock);
        let obsolete = std::mem::take(&mut state.checkpoints);
        self.parts.retain(|id, _| !obsolete.contains(id));
        changed(first)
    }

    fn forget(&mut self, steps: &[String]) -> ApplyOutcome {
        let before = self.steps.len();
        self.steps.retain(|id, _| !steps.contains(id));
        self.parts.retain(|_, part| !steps.contains(&part.step));
        changed(self.steps.len() < before)
    }

    /// Returns the VMs on which parts are stored.
    pub fn store_nodes(&self) -> BTreeSet<String> {
        let placements = self.parts.values().map(|part| &part.placement);
        let stores = placements.filter_map(|placement| match placement {
            Placement::Stores(stores) => Some(stores),
            Placement::Inline(_) => None,
        });
        stores.flatten().map(|store| store.node.clone()).collect()
    }

    /// Returns the steps that can no longer be requested: `keep_ms` have passed since their
    /// submission and none of their samples run.
    pub fn expired(&self, now: u64, keep_ms: u64) -> Vec<String> {
        let old = self.steps.iter().filter(|(_, state)| {
            !state.is_open()
                && now.saturating_sub(state.submitted_at) >= keep_ms.max(state.step.age_ms)
        });
        old.map(|(id, _)| id.clone()).collect()
    }
}

fn changed(yes: bool) -> ApplyOutcome {
    if yes { ApplyOutcome::Changed } else { ApplyOutcome::Held }
}
