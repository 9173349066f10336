//! Samples of open steps: what was made of them, and what they are doing.

use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::run::Cost;
use crate::step::Step;

/// What was made of a sample so far.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SampleOutput {
    /// The data of the events, in order.
    pub events: Vec<String>,
    /// The number of the last event.
    pub last_id: Option<String>,
    /// The versions that made them, oldest first.
    pub versions: Vec<u64>,
}

/// What was made of a sample from an event on, as it is noted on the stores.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Checkpoint {
    /// The place of the sample in its step.
    pub index: u32,
    /// The place of the first event.
    pub from: u32,
    /// The events from there on, the number of the last, and all versions so far.
    pub output: SampleOutput,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RunEnd {
    /// The engine answered that it failed.
    Failed,
    /// The engine answered that the sample can never be made.
    Unfit,
    /// The engine is full; it did not run the sample.
    Full,
    /// Another endpoint has the address, or the engine has another version; it did not run.
    Moved,
    /// The connection broke or went silent.
    Broken,
    /// The engine crashed before it had made an event of the sample.
    Crashed,
    /// The planner took the run away from a slow engine.
    Taken,
    /// The order reached the host too late; it did not run.
    Late,
}

/// What becomes of a sample after its run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterRun {
    /// It waits for another run.
    Again,
    /// It is given up.
    GiveUp,
    /// Nothing: its step is over.
    Nothing,
}

/// What follows from a host's report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportAction {
    /// The host goes on with the run.
    Continue,
    /// The host is to stop it: it was begun elsewhere, or it is over.
    Stop,
    /// Nothing yet: the run is of the leader before, and the host is about to tell all of it.
    Defer,
}

/// A sample that is to run now.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The number of the run.
    pub run: u64,
    /// Its step.
    pub step: Arc<Step>,
    /// Its place there.
    pub index: u32,
    /// The incarnation of the engine.
    pub endpoint: String,
    /// The engine's address.
    pub address: SocketAddr,
    /// The version of the model there.
    pub version: u64,
    /// What was made of it so far.
    pub output: SampleOutput,
    /// What it has cost so far.
    pub cost: Cost,
    /// Milliseconds until it is too old.
    pub remaining_ms: u64,
    /// Runs that the engine had already.
    pub other_runs: u32,
    /// When it was assigned.
    pub started: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Waiting,
    Running,
    Scoring,
    Settled,
}

pub(super) struct Progress {
    pub(super) phase: Phase,
    pub(super) engine: Option<String>,
    /// The run, and the VM that hosts it.
    pub(super) run: u64,
    pub(super) host: Option<String>,
    /// An engine that was too slow for it.
    pub(super) avoided_engine: Option<String>,
    /// Whether a host that is not known yet may be running it, as one does that was cut off, or
    /// that was told to by the leader before.
    pub(super) claimable: bool,
    /// Whether its host has told of it since it connected.
    pub(super) reported: bool,
    pub(super) started: Millis,
    pub(super) last_event: Millis,
    pub(super) output: SampleOutput,
    /// Events that are noted on the stores.
    pub(super) checkpointed: usize,
    pub(super) cost: Cost,
    /// When it is too old, as endpoints were told.
    pub(super) deadline: Millis,
    /// Until when it is run nowhere, because it crashes engines.
    pub(super) blocked_until: Millis,
    pub(super) moves: u32,
}

pub(super) struct Work {
    pub(super) step: Arc<Step>,
    /// The samples' places, the longest expected first: a step is over when its last sample is,
    /// and the longest take most of the time that there is.
    pub(super) order: Vec<u32>,
    pub(super) submitted_at: Millis,
    /// Until then its samples wait for hosts that may be running them.
    pub(super) held_until: Millis,
    /// Whether all hosts were asked what they run of it.
    pub(super) hosts_asked: bool,
    pub(super) progress: Vec<Progress>,
    pub(super) waiting: usize,
}
