//! What the fleet agrees on: the state that every replica of the log computes alike.

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
use crate::step::ListedResult;
use crate::step::StepSummary;
use crate::usage::Totals;
use crate::usage::UsageState;

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Command {
    /// Submits a configuration; the highest version is in force.
    Configure(Arc<Config>),
    /// Names a version of a model's weights; the highest counts.
    Publish {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// Submits a step, whose samples lie in a part.
    Submit {
        /// The step.
        step: Arc<StepSummary>,
        /// Where the part lies.
        place: Placement,
    },
    /// Lists results of a step. A sample that is listed already stays as it is.
    List {
        /// The step.
        step: String,
        /// The part that holds their texts, and where it lies; none if there are no texts.
        part: Option<(PartId, Placement)>,
        /// The results, in the order of their places.
        results: Vec<Arc<ListedResult>>,
    },
    /// Notes that a part holds what was made so far of some samples of a step.
    Note {
        /// The step.
        step: String,
        /// The part.
        part: PartId,
        /// Where it lies.
        place: Placement,
    },
    /// Notes what has changed of the endpoints that are known, for a leader that finds nobody who knows
    /// them. Were all noted each time, one of 3,000 endpoints that leaves would wait for half a
    /// megabyte to be on the disks of a majority before its word is acknowledged.
    Know {
        /// Endpoints that are new or otherwise than noted.
        live: Vec<Endpoint>,
        /// Endpoints to which no work may go any more.
        gone: Vec<String>,
    },
    /// Notes that copies of a part lie elsewhere now.
    Move {
        /// The part.
        part: PartId,
        /// The stores that hold it.
        stores: BTreeSet<StoreId>,
    },
    /// Ends a step: nothing of it runs any more.
    End {
        /// The step.
        step: String,
    },
    /// Forgets steps that nobody may ask for any more.
    Forget {
        /// The steps.
        steps: Vec<String>,
    },
    /// Takes the duty to call the platform, or holds it for longer.
    Hold(Holding),
    /// Notes what entries have counted of workspaces' usage.
    Use(Vec<Totals>),
    /// Closes a window of usage and those before it: what entries tell of them from now on comes too
    /// late.
    CloseWindow {
        /// The window.
        window: u64,
        /// The newest window that the platform is known to have accepted, with all before it.
        accepted: Option<u64>,
    },
    /// Notes that an endpoint crashed while it ran a content.
    Crash(Crash),
    /// Notes that a content which was suspected ran to its end.
    Clear(Fingerprint),
    /// Notes that a store VM is to be emptied.
    Retire {
        /// The VM.
        node: String,
    },
}

/// A command with the fleet's clock at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Stamped {
    /// Milliseconds of the fleet's clock, which counts while a leader leads. Clocks of VMs cannot
    /// be compared, so each leader goes on from the last stamp in the log.
    pub at: u64,
    /// The command.
    pub command: Command,
}

/// What a command did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// It changed the state.
    Changed,
    /// The state held it already, or something newer.
    Held,
    /// It is about a step that is not known.
    Unknown,
}

/// A step and what became of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StepState {
    /// The step.
    pub step: Arc<StepSummary>,
    /// When it was submitted, by the fleet's clock.
    pub at: u64,
    /// The results at their places.
    pub results: Vec<Arc<ListedResult>>,
    /// The samples that have a result.
    pub listed: BTreeSet<u32>,
    /// Parts with what was made so far of samples without results, oldest first.
    pub notes: Vec<PartId>,
    /// When it was ended.
    pub ended: Option<u64>,
}

impl StepState {
    /// Tells whether samples of it are still to be made.
    pub fn is_open(&self) -> bool {
        self.ended.is_none() && self.results.len() < self.step.samples as usize
    }

    /// Tells whether a sample has its result.
    pub fn is_listed(&self, index: u32) -> bool {
        self.listed.contains(&index)
    }
}

/// A part of a step.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Part {
    /// The step.
    pub step: String,
    /// Where it lies.
    pub place: Placement,
}

/// The state.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct State {
    /// The highest stamp that was applied.
    pub clock: u64,
    /// The configuration in force.
    pub config: Option<Arc<Config>>,
    /// The newest version that was named of each model.
    pub versions: BTreeMap<String, u64>,
    /// The steps.
    pub steps: BTreeMap<String, StepState>,
    /// Where the parts of steps lie.
    pub parts: BTreeMap<PartId, Part>,
    /// Store VMs that are to be emptied.
    pub retired: BTreeSet<String>,
    /// Endpoints that were known lately.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Who may call the platform; nobody before the first.
    pub holding: Option<Holding>,
    /// What workspaces have used.
    pub usage: UsageState,
    /// Contents that crash endpoints.
    pub crashes: crashes::CrashState,
}

impl State {
    /// Applies a command.
    pub fn apply(&mut self, stamped: Stamped) -> ApplyOutcome {
        let Stamped { at, command } = stamped;
        self.clock = self.clock.max(at);
        match command {
            Command::Configure(config) => self.configure(config),
            Command::Publish { model, version } => self.publish(model, version),
            Command::Submit { step, place } => self.submit(step, place),
            Command::List { step, part, results } => self.list(&step, part, results),
            Command::Note { step, part, place } => self.note(&step, part, place),
            Command::Know { live, gone } => self.update_endpoints(live, &gone),
            Command::Move { part, stores } => self.move_part(part, stores),
            Command::End { step } => self.end(&step),
            Command::Forget { steps } => self.forget(&steps),
            Command::Hold(holding) => self.hold(holding),
            Command::Use(totals) => self.merge_usage(totals),
            Command::CloseWindow { window, accepted } => {
                changed(self.usage.close(window, accepted))
            }
            Command::Crash(crash) => changed(self.crashes.record_crash(crash, self.clock)),
            Command::Clear(content) => changed(self.crashes.clear_suspect(content)),
            Command::Retire { node } => changed(self.retired.insert(node)),
        }
    }

    fn hold(&mut self, next: Holding) -> ApplyOutcome {
        let yields = self.holding.as_ref().is_none_or(|held| held.can_pass_to(&next, self.clock));
        if yields {
            self.holding = Some(next);
        }
        changed(yields)
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
        }
        let live = live.into_iter().map(|endpoint| (endpoint.announcement.id.clone(), endpoint));
        self.endpoints.extend(live);
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

    fn submit(&mut self, step: Arc<StepSummary>, place: Placement) -> ApplyOutcome {
        if self.steps.contains_key(&step.id) {
            return ApplyOutcome::Held;
        }
        let id = step.id.clone();
        self.parts.insert(step.part, Part { step: id.clone(), place });
        let state = StepState {
            step,
            at: self.clock,
            results: Vec::new(),
            listed: BTreeSet::new(),
            notes: Vec::new(),
            ended: None,
        };
        self.steps.insert(id, state);
        ApplyOutcome::Changed
    }

    fn list(
        &mut self,
        step: &str,
        part: Option<(PartId, Placement)>,
        results: Vec<Arc<ListedResult>>,
    ) -> ApplyOutcome {
        let Some(state) = self.steps.get_mut(step) else { return ApplyOutcome::Unknown };
        let before = state.results.len();
        for listed in results {
            if listed.index < state.step.samples && state.listed.insert(listed.index) {
                state.results.push(listed);
            }
        }
        let more = state.results.len() > before;
        let needless = if state.is_open() { Vec::new() } else { std::mem::take(&mut state.notes) };
        self.parts.retain(|id, _| !needless.contains(id));
        if let Some((part, place)) = part.filter(|_| more) {
            self.parts.insert(part, Part { step: step.to_owned(), place });
        }
        changed(more)
    }

    fn note(&mut self, step: &str, part: PartId, place: Placement) -> ApplyOutcome {
        let Some(state) = self.steps.get_mut(step).filter(|state| state.is_open()) else {
            return ApplyOutcome::Held;
        };
        state.notes.push(part);
        self.parts.insert(part, Part { step: step.to_owned(), place });
        ApplyOutcome::Changed
    }

    fn move_part(&mut self, part: PartId, stores: BTreeSet<StoreId>) -> ApplyOutcome {
        let Some(known) = self.parts.get_mut(&part) else { return ApplyOutcome::Held };
        known.place = Placement::Stores(stores);
        ApplyOutcome::Changed
    }

    fn end(&mut self, step: &str) -> ApplyOutcome {
        let clock = self.clock;
        let Some(state) = self.steps.get_mut(step) else { return ApplyOutcome::Unknown };
        let first = state.ended.is_none();
        state.ended.get_or_insert(clock);
        let needless = std::mem::take(&mut state.notes);
        self.parts.retain(|id, _| !needless.contains(id));
        changed(first)
    }

    fn forget(&mut self, steps: &[String]) -> ApplyOutcome {
        let before = self.steps.len();
        self.steps.retain(|id, _| !steps.contains(id));
        self.parts.retain(|_, part| !steps.contains(&part.step));
        changed(self.steps.len() < before)
    }

    /// Gives the VMs on which parts lie.
    pub fn store_nodes(&self) -> BTreeSet<String> {
        let places = self.parts.values().map(|part| &part.place);
        let stores = places.filter_map(|place| match place {
            Placement::Stores(stores) => Some(stores),
            Placement::Inline(_) => None,
        });
        stores.flatten().map(|store| store.node.clone()).collect()
    }

    /// Gives the steps that nobody may ask for any more: `keep_ms` have passed since they were
    /// submitted, and nothing of them runs.
    pub fn expired(&self, now: u64, keep_ms: u64) -> Vec<String> {
        let old = self.steps.iter().filter(|(_, state)| {
            !state.is_open() && now.saturating_sub(state.at) >= keep_ms.max(state.step.age_ms)
        });
        old.map(|(id, _)| id.clone()).collect()
    }
}

fn changed(yes: bool) -> ApplyOutcome {
    if yes { ApplyOutcome::Changed } else { ApplyOutcome::Held }
}
