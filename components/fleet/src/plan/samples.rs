//! Samples of open steps: their output and their state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::run::Cost;
use crate::step::Step;

/// The output of a sample so far.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SampleOutput {
    /// The data of the events, in order.
    pub events: Vec<String>,
    /// The id of the last event.
    pub last_id: Option<String>,
    /// The versions that generated the events, oldest first.
    pub versions: Vec<u64>,
}

impl SampleOutput {
    /// Returns a digest of the first `count` events, which tells whether two outputs begin with the
    /// same ones.
    pub(super) fn digest(&self, count: usize) -> u64 {
        let mut hasher = Xxh3::new();
        for event in &self.events[..count] {
            hasher.update(&(event.len() as u64).to_le_bytes());
            hasher.update(event.as_bytes());
        }
        hasher.digest()
    }
}

/// The output of a sample from an event on, as stored in a checkpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Checkpoint {
    /// The index of the sample in its step.
    pub index: u32,
    /// The index of the first event.
    pub from: u32,
    /// The events from there on, the id of the last one, and all versions so far.
    pub output: SampleOutput,
    /// The digest of the events before. `None` in checkpoints of releases that did not record it;
    /// these are restored only if they begin with the first event.
    #[serde(default)]
    pub continues: Option<u64>,
}

impl Checkpoint {
    /// Returns whether it continues the output restored so far. Checkpoints of several runs of a
    /// sample follow each other, some may be missing, and events of two runs must not be joined
    /// (docs/PLATFORM.md).
    pub(super) fn fits(&self, restored: &SampleOutput) -> bool {
        let from = self.from as usize;
        let digest = (from <= restored.events.len()).then(|| restored.digest(from));
        from == 0 || (digest.is_some() && digest == self.continues)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RunEnd {
    /// The engine responded that the run failed.
    Failed,
    /// The engine responded that the sample can never be generated.
    Unfit,
    /// The engine is full and did not start the run.
    Full,
    /// The address belongs to another endpoint or the engine has another version; the run was not
    /// started.
    Moved,
    /// The connection broke or timed out.
    Broken,
    /// The engine crashed before it generated an event of the sample.
    Crashed,
    /// The engine received the run and is alive, but no event of it arrived.
    Unanswered,
    /// The planner moved the run away from a slow engine.
    Taken,
    /// The order reached the host too late; the run was not started.
    Late,
}

/// What follows for a sample when its run has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterRun {
    /// It waits for another run.
    Again,
    /// It is given up.
    GiveUp,
    /// Nothing, because its step is over.
    Nothing,
}

/// How a host proceeds with a run that it reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportAction {
    /// The host continues the run.
    Continue,
    /// The host stops the run: it was started elsewhere, or the sample is finished.
    Stop,
    /// Undecided: the run was started under the previous leader and the host has not yet sent its
    /// complete output.
    Defer,
}

/// A sample that starts now on an engine.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The id of the run.
    pub run: u64,
    /// The step of the sample.
    pub step: Arc<Step>,
    /// The index of the sample in its step.
    pub index: u32,
    /// The id of the engine, which identifies its incarnation.
    pub endpoint: String,
    /// The engine's address.
    pub address: SocketAddr,
    /// The version of the model on the engine.
    pub version: u64,
    /// The output so far.
    pub output: SampleOutput,
    /// Number of events that were discarded because the engine has another version.
    pub discarded: usize,
    /// The cost so far.
    pub cost: Cost,
    /// Milliseconds until the sample is too old.
    pub remaining_ms: u64,
    /// Runs that the engine already had.
    pub other_runs: u32,
    /// When the run was assigned.
    pub started: Millis,
}

/// What is being done for a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It waits for a run.
    Waiting,
    /// An engine generates it.
    Running,
    /// Its scorer is being called.
    Scoring,
    /// It has a result.
    Settled,
}

/// The state of a sample in an open step.
pub(super) struct Progress {
    pub(super) phase: Phase,
    pub(super) engine: Option<String>,
    /// The id of the current run.
    pub(super) run: u64,
    /// The VM that hosts the run.
    pub(super) host: Option<String>,
    /// An engine that was too slow for the sample.
    pub(super) avoided_engine: Option<String>,
    /// Whether an unknown host may be running the sample: one that was disconnected, or one that
    /// got the run from the previous leader.
    pub(super) claimable: bool,
    /// Whether the host has reported the run since it last connected.
    pub(super) reported: bool,
    /// Whether a scorer is called for the sample.
    pub(super) has_scorer: bool,
    /// Whether an earlier leader may have ordered a run that this one does not know.
    pub(super) inherited: bool,
    /// The endpoints that were known to have been called when the current run was ordered.
    pub(super) called_before: BTreeSet<String>,
    /// The number of further endpoints that the current run has reported to call.
    pub(super) calls_reported: usize,
    /// Whether the host has reported the current run for the last time, or never got it.
    pub(super) run_closed: bool,
    /// When the current run was assigned.
    pub(super) started: Millis,
    /// When the last new event was reported.
    pub(super) last_event: Millis,
    pub(super) output: SampleOutput,
    /// The number of events of the output that are in checkpoints on the stores.
    pub(super) checkpointed: usize,
    /// The number of events of the output at the last attempt to write a checkpoint.
    pub(super) attempted: usize,
    pub(super) cost: Cost,
    /// The failures of the sample before its current run, as known to the host. The cost may count the
    /// failure of this run already, if it was recorded by the previous leader.
    pub(super) failures_before: u32,
    /// When the sample is too old, as communicated to endpoints.
    pub(super) deadline: Millis,
    /// The sample is not run before this time, because it crashes engines or gets no answer.
    pub(super) blocked_until: Millis,
    /// How often the sample was moved to another engine.
    pub(super) moves: u32,
    /// A faster engine with a free slot for the next run.
    pub(super) reserved_engine: Option<String>,
}

/// The schedule of an open step.
pub(super) struct StepPlan {
    pub(super) step: Arc<Step>,
    /// The sample indices, longest expected sample first: a step ends with its last sample, and the
    /// longest samples take most of the available time.
    pub(super) order: Vec<u32>,
    pub(super) submitted_at: Millis,
    /// Until this time samples wait for reports of hosts that may be running them.
    pub(super) held_until: Millis,
    /// Whether all hosts were asked for their runs of the step.
    pub(super) hosts_asked: bool,
    /// Whether its end is being committed.
    pub(super) ending: bool,
    pub(super) progress: Vec<Progress>,
    /// The number of waiting samples.
    pub(super) waiting: usize,
}
