//! Runs of samples on the VMs that host them: what the leader asks for, and what it is told.
//!
//! The leader plans; a host carries a run out and calls the scorer. A run outlives the leader: its
//! host goes on, and tells the next leader. The leader keeps what was made so far, so a run
//! outlives its host as well, and goes on elsewhere after the last event that was told.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::plan::RunEnd;
use crate::plan::SampleOutput;
use crate::step::Sample;

/// What a request has cost so far, over all passes in which it was carried: each goes from endpoint to
/// endpoint until one answers or its time is up.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallCost {
    /// Answers that it failed.
    pub failures: u32,
    /// The endpoints that may have run it.
    pub endpoints: BTreeSet<String>,
}

impl CallCost {
    /// Adds what another process knows.
    pub fn merge(&mut self, other: &Self) {
        self.failures = self.failures.max(other.failures);
        self.endpoints.extend(other.endpoints.iter().cloned());
    }
}

/// What a sample has cost so far. It goes with the sample from host to host, and hosts tell the next
/// leader, so that no process begins to count anew.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Cost {
    /// Runs that failed.
    pub failures: u32,
    /// Whether an engine answered that it can never be made.
    pub unfit: bool,
    /// Engines that crashed since the last event of it was made.
    pub crashes: u32,
    /// The calls of its scorer.
    pub scorer: CallCost,
}

impl Cost {
    /// Adds what another process knows; but for crashes, which events have cleared since.
    pub fn merge(&mut self, other: &Self) {
        self.failures = self.failures.max(other.failures);
        self.unfit |= other.unfit;
        self.scorer.merge(&other.scorer);
    }

    /// Tells whether anything has failed.
    pub fn has_failed(&self) -> bool {
        self.unfit || self.failures + self.crashes + self.scorer.failures > 0
    }

    /// Tells whether the sample is not to run again on a route that allows so many failures.
    pub fn is_exhausted(&self, attempts: u32) -> bool {
        self.unfit || self.failures >= attempts.max(1)
    }
}

/// A run that a host is to carry out.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Job {
    /// Tells this run from others of the same sample. A report that crosses a word to stop would
    /// otherwise be taken for one of the next run, and the next run be stopped for it.
    pub run: u64,
    /// The step.
    pub step: String,
    /// The place of the sample in the step.
    pub index: u32,
    /// The host of the step's route.
    pub host: String,
    /// The sample.
    pub sample: Sample,
    /// The workspace of the step, if it has one.
    pub workspace: Option<String>,
    /// The incarnation of the engine.
    pub endpoint: String,
    /// The engine's address.
    pub address: SocketAddr,
    /// The version of the model there.
    pub version: u64,
    /// The oldest version that may generate.
    pub min_version: u64,
    /// Whether one version must generate all of it.
    pub single_version: bool,
    /// Milliseconds until the sample is too old, and no endpoint is to work for it any more.
    pub remaining_ms: u64,
    /// What was made so far.
    pub output: SampleOutput,
    /// What it has cost so far.
    pub cost: Cost,
}

/// What a host is to do.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HostCommand {
    /// Carry out a run, in place of one of the same sample.
    Run(Box<Job>),
    /// Tell of all runs again: the leader may not have known of their steps.
    Tell,
    /// Stop a run, or forget one that has ended.
    Stop {
        /// The step.
        step: String,
        /// The place of the sample.
        index: u32,
        /// The run; another one of the same sample goes on.
        run: u64,
    },
}

/// How a run stands.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RunStatus {
    /// Events are coming.
    Running,
    /// All events came; the scorer is being called.
    Scoring,
    /// The run came to nothing, or to a part of the sample.
    Ended(RunEnd),
    /// The sample is whole, with its score if it has a scorer.
    Finished(Option<String>),
    /// The scorer failed too often.
    Unscored,
}

/// What a host tells of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunReport {
    /// The run.
    pub run: u64,
    /// The step.
    pub step: String,
    /// The place of the sample in the step.
    pub index: u32,
    /// The incarnation of the engine.
    pub endpoint: String,
    /// How the run stands.
    pub status: RunStatus,
    /// The place of the first event that is told here.
    pub from: u32,
    /// The events from there on, the number of the last, and all versions so far.
    pub output: SampleOutput,
    /// Mean milliseconds between the events told here; zero if there are too few.
    pub gap_ms: u32,
    /// What the sample had cost before this run ended.
    pub cost: Cost,
    /// Milliseconds until the sample is too old, as the host was told; the next leader may know less of how
    /// long ago it was submitted.
    pub remaining_ms: u64,
}

impl RunReport {
    /// Adds what is told to what was known; tells whether they fit together.
    pub fn append_to(&self, known: &mut SampleOutput) -> bool {
        let from = self.from as usize;
        if from > known.events.len() {
            return false;
        }
        known.events.truncate(from);
        known.events.extend(self.output.events.iter().cloned());
        known.last_id.clone_from(&self.output.last_id);
        known.versions.clone_from(&self.output.versions);
        true
    }
}
