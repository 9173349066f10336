//! Runs of samples on the VMs that host them: the messages between leader and hosts.
//!
//! The leader schedules runs; a host executes them and calls the scorer. A run survives the loss of
//! the leader: its host continues it and reports to the next leader. The leader keeps the output so
//! far, so a run also survives the loss of its host and resumes on another one after the last
//! reported event.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::grant::Grant;
use crate::open_runs::OpenRuns;
use crate::plan::RunEnd;
use crate::plan::SampleOutput;
use crate::step::Sample;

/// Milliseconds after its last event for which a host keeps a run that has left its engine if no
/// leader asks for it.
pub const FINISHED_RUN_TTL_MS: u64 = 30_000;

/// Consecutive runs that crashed engines or got no answer, from which on they are recorded.
const MIN_RECORDED_RUNS: u32 = 2;

/// The failures of a call so far, over all of its rounds. In each round, the call is tried at one
/// endpoint after another until one answers or the time is up.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CallCost {
    /// Responses that the call failed.
    pub failures: u32,
    /// The endpoints that may have executed the call.
    pub endpoints: BTreeSet<String>,
}

impl CallCost {
    /// Adds the counts of another process.
    pub fn merge(&mut self, other: &Self) {
        self.failures = self.failures.max(other.failures);
        self.endpoints.extend(other.endpoints.iter().cloned());
    }
}

/// The failures of a sample so far. They are sent along with the sample from host to host and
/// reported to the next leader, so that no process starts counting again.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Cost {
    /// Runs that failed.
    pub failures: u32,
    /// Whether an engine responded that the sample can never be generated.
    pub unfit: bool,
    /// Engines that crashed since its last event.
    pub crashes: u32,
    /// Consecutive runs since its last event that ended without an answer.
    #[serde(default)]
    pub losses: u32,
    /// The calls of its scorer.
    pub scorer: CallCost,
    /// What was added to the endpoints that its scorer's call was granted with its step. Reports
    /// contain only the endpoints that a host found to have ended.
    #[serde(default)]
    pub grant: Grant,
    /// Runs that were taken away from their hosts before these reported for the last time.
    #[serde(default)]
    pub open_runs: OpenRuns,
}

impl Cost {
    /// Adds the counts of another process, except for crashes and lost answers, which later events
    /// may have reset.
    pub fn merge(&mut self, other: &Self) {
        self.failures = self.failures.max(other.failures);
        self.open_runs.merge(&other.open_runs);
        self.unfit |= other.unfit;
        self.scorer.merge(&other.scorer);
        self.grant.merge(&other.grant);
    }

    /// Returns whether anything has failed.
    pub fn has_failed(&self) -> bool {
        self.unfit || self.failures + self.crashes + self.losses + self.scorer.failures > 0
    }

    /// Returns whether a leader that does not know of this cost would run the sample or call its
    /// scorer too often. Single crashes and lost answers are too frequent to be recorded one by one.
    pub fn is_limiting(&self) -> bool {
        let failures = self.failures + self.scorer.failures;
        self.unfit || failures > 0 || self.crashes.max(self.losses) >= MIN_RECORDED_RUNS
    }

    /// Returns whether the sample must not run again on a route that allows this many failures.
    pub fn is_exhausted(&self, attempts: u32) -> bool {
        self.unfit || self.failures >= attempts.max(1)
    }
}

/// A run that a host is to execute.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Job {
    /// The id of the run, which distinguishes it from other runs of the same sample. Otherwise, a
    /// report that crosses a stop command would be attributed to the next run, which would then be
    /// stopped.
    pub run: u64,
    /// The step.
    pub step: String,
    /// The index of the sample in the step.
    pub index: u32,
    /// The host of the step's route.
    pub host: String,
    /// The sample.
    pub sample: Sample,
    /// The workspace of the step, if any.
    pub workspace: Option<String>,
    /// The id of the engine.
    pub endpoint: String,
    /// The engine's address.
    pub address: SocketAddr,
    /// The version of the model on the engine.
    pub version: u64,
    /// The oldest version that may generate events.
    pub min_version: u64,
    /// Whether a single version must generate all events.
    pub single_version: bool,
    /// Milliseconds until the sample is too old and no endpoint may work on it any more.
    pub remaining_ms: u64,
    /// The output so far.
    pub output: SampleOutput,
    /// The failures so far.
    pub cost: Cost,
}

/// A command to a host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HostCommand {
    /// Execute a run, replacing another run of the same sample.
    Run(Box<Job>),
    /// Report all runs completely again, because the leader may not have known their steps.
    Tell,
    /// Continue the scorer's call of a run with what the log has recorded of it.
    Grant {
        /// The step.
        step: String,
        /// The index of the sample in the step.
        index: u32,
        /// The id of the run.
        run: u64,
        /// All endpoints that were added since the step was accepted.
        grant: Grant,
        /// The failures of the call.
        failures: u32,
    },
    /// The log has recorded that the scorer's call of a run was sent to these endpoints, so that it may
    /// be sent to another one.
    Recorded {
        /// The step.
        step: String,
        /// The index of the sample in the step.
        index: u32,
        /// The id of the run.
        run: u64,
        /// The endpoints.
        endpoints: BTreeSet<String>,
    },
    /// Stop a run, or drop one that has ended.
    Stop {
        /// The step.
        step: String,
        /// The index of the sample in the step.
        index: u32,
        /// The id of the run; another run of the same sample continues.
        run: u64,
    },
    /// The number of hosts that share the slots for scorers' calls. It is not part of [`Job`]
    /// because structs are encoded by position: a host of an earlier version could not read a
    /// longer one.
    HostCount(u32),
}

/// The status of a run.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RunStatus {
    /// Events are being generated.
    Running,
    /// All events have arrived and the scorer is being called.
    Scoring,
    /// The run ended without completing the sample.
    Ended(RunEnd),
    /// The sample is complete, with its score if it has a scorer.
    Finished(Option<String>),
    /// The scorer failed too often.
    Unscored,
}

impl RunStatus {
    /// Returns whether the run has ended at its host, which calls nothing for it any more.
    pub fn is_final(&self) -> bool {
        match self {
            Self::Running | Self::Scoring => false,
            Self::Ended(_) | Self::Finished(_) | Self::Unscored => true,
        }
    }

    /// Returns whether a host may forget a run that no leader has asked for, `idle_ms` after its last
    /// event. While its scorer is being called, the run is wanted until its time limit has passed.
    pub fn is_forgettable(&self, idle_ms: u64, left_ms: u64) -> bool {
        let is_active = match self {
            Self::Running => true,
            Self::Scoring => left_ms > 0,
            Self::Ended(_) | Self::Finished(_) | Self::Unscored => false,
        };
        !is_active && idle_ms >= FINISHED_RUN_TTL_MS
    }
}

/// A report of a host about a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunReport {
    /// The id of the run.
    pub run: u64,
    /// The step.
    pub step: String,
    /// The index of the sample in the step.
    pub index: u32,
    /// The id of the engine.
    pub endpoint: String,
    /// The status of the run.
    pub status: RunStatus,
    /// The index of the first event in this report.
    pub from: u32,
    /// The events from there on, the id of the last one, and all versions so far.
    pub output: SampleOutput,
    /// Mean milliseconds between the events in this report; zero if there are too few.
    pub gap_ms: u32,
    /// The failures of the sample before this run ended.
    pub cost: Cost,
    /// Milliseconds until the sample is too old, as communicated to the host. The next leader may
    /// have less information on when it was submitted.
    pub remaining_ms: u64,
}

impl RunReport {
    /// Appends the reported events to the known output, replacing overlapping events. Returns how
    /// many of the known events are unchanged, or `None` if there is a gap.
    pub fn append_to(&self, known: &mut SampleOutput) -> Option<usize> {
        let from = self.from as usize;
        let overlap = known.events.get(from..)?.iter().zip(&self.output.events);
        let unchanged = from + overlap.take_while(|(known, event)| known == event).count();
        known.events.truncate(from);
        known.events.extend(self.output.events.iter().cloned());
        known.last_id.clone_from(&self.output.last_id);
        known.versions.clone_from(&self.output.versions);
        Some(unchanged)
    }
}
