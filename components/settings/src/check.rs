//! Validation of settings that are syntactically correct.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::error::Fault;
use crate::error::Problem;
use crate::process::AgentSettings;
use crate::process::ControlSettings;
use crate::process::EntrySettings;
use crate::process::Settings;

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// One day, the longest duration that settings may have, in milliseconds.
pub(crate) const DAY_MS: u64 = 86_400_000;
/// The minimum ratio of the election timeout to the heartbeat interval. With a lower one, a few
/// lost heartbeats would start an election under a healthy leader.
const MIN_ELECTION_HEARTBEATS: u64 = 3;
/// The maximum number of replicas of the control log.
const MAX_REPLICAS: usize = 7;

/// A collection of the faults found so far.
#[derive(Default)]
pub(crate) struct Faults(pub(crate) Vec<Fault>);

impl Faults {
    pub(crate) fn add(&mut self, field: impl Into<String>, problem: Problem) {
        self.0.push(Fault { field: field.into(), problem });
    }

    pub(crate) fn name(&mut self, field: impl Into<String>, name: &str) {
        if !is_name(name) {
            self.add(field, Problem::Name(name.to_owned()));
        }
    }

    fn location(&mut self, field: &str, name: &str) {
        if !is_location(name) {
            self.add(field, Problem::Name(name.to_owned()));
        }
    }

    pub(crate) fn range(&mut self, field: impl Into<String>, value: u64, least: u64, most: u64) {
        if !(least..=most).contains(&value) {
            self.add(field, Problem::Range { value, least, most });
        }
    }

    fn address(&mut self, field: impl Into<String>, address: &str) {
        if address.parse::<SocketAddr>().is_err() {
            self.add(field, Problem::Address(address.to_owned()));
        }
    }
}

/// Returns whether `name` is a valid name of a region or data centre. These names are for display
/// and are not sent in headers, so they may contain letters of any alphabet.
pub fn is_location(name: &str) -> bool {
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

/// Returns whether `name` is a valid name: neither empty nor too long, and without other characters
/// than names may have.
pub fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

/// Returns all faults of the settings.
pub fn settings(settings: &Settings) -> Vec<Fault> {
    let mut faults = Faults::default();
    faults.name("node", settings.node.as_str());
    faults.location("region", settings.region.as_str());
    faults.location("data_centre", settings.data_centre.as_str());
    faults.range("grace_ms", settings.grace_ms, 0, DAY_MS);
    faults.range("bounds.body", settings.bounds.body as u64, 1 << 10, 1 << 30);
    faults.range("bounds.connections", settings.bounds.connections as u64, 1, 1 << 20);
    faults.range("bounds.read_ms", settings.bounds.read_ms, 100, DAY_MS);
    faults.range("bounds.workers", settings.bounds.workers as u64, 1, 256);
    faults.range("bounds.memory_mb", settings.bounds.memory_mb, 64, 1 << 20);
    if settings.entry.is_none() && settings.control.is_none() && settings.agent.is_none() {
        let needed = "the process has no role; allowed: a section `entry`, `control` or `agent`";
        faults.add("", Problem::Missing(needed));
    }
    settings.entry.iter().for_each(|e| entry(&mut faults, e));
    settings.control.iter().for_each(|c| control(&mut faults, settings, c));
    settings.agent.iter().for_each(|a| agent(&mut faults, a));
    faults.0
}

fn entry(faults: &mut Faults, entry: &EntrySettings) {
    faults.range("entry.running", entry.running as u64, 1, 1 << 20);
    faults.range("entry.waiting", entry.waiting as u64, 0, 1 << 20);
    faults.range("entry.subset", entry.subset as u64, 1, 4_096);
    faults.range("entry.silence_ms", entry.silence_ms, 1_500, DAY_MS);
    faults.range("entry.rescue_ms", entry.rescue_ms, 50, DAY_MS);
    faults.range("entry.bodies", entry.bodies as u64, 0, 1 << 36);
}

fn control(faults: &mut Faults, settings: &Settings, control: &ControlSettings) {
    if settings.data.is_none() {
        let needed = "a control process needs a data folder: set `data` to one that survives";
        faults.add("control", Problem::Missing(needed));
    }
    faults.range("control.heartbeat_ms", control.heartbeat_ms, 10, DAY_MS);
    faults.range("control.election_ms", control.election_ms, 50, DAY_MS);
    faults.range("control.session_ms", control.session_ms, 500, DAY_MS);
    faults.range("control.swap_percent", control.swap_percent.into(), 1, 100);
    if control.election_ms < control.heartbeat_ms.saturating_mul(MIN_ELECTION_HEARTBEATS) {
        let rule = "must be at least three times `heartbeat_ms`";
        faults.add("control.election_ms", Problem::Clash(rule));
    }
    replicas(faults, settings, control);
}

fn replicas(faults: &mut Faults, settings: &Settings, control: &ControlSettings) {
    let count = control.replicas.len();
    if count > MAX_REPLICAS {
        let (value, most) = (count as u64, MAX_REPLICAS as u64);
        faults.add("control.replicas", Problem::Range { value, least: 0, most });
    }
    let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for (index, replica) in control.replicas.iter().enumerate() {
        let field = format!("control.replicas.{index}");
        faults.name(format!("{field}.node"), replica.node.as_str());
        faults.address(format!("{field}.address"), &replica.address);
        if !names.insert(&replica.node) {
            faults.add(format!("{field}.node"), Problem::Twice(replica.node.0.clone()));
        }
        if !addresses.insert(&replica.address) {
            faults.add(format!("{field}.address"), Problem::Twice(replica.address.clone()));
        }
    }
    if count > 0 && !control.join && !names.contains(&settings.node) {
        let needed = "the replicas must include this process, or `join` must be true";
        faults.add("control.replicas", Problem::Missing(needed));
    }
}

fn agent(faults: &mut Faults, agent: &AgentSettings) {
    faults.name("agent.endpoint", agent.endpoint.as_str());
    faults.address("agent.address", &agent.address);
    faults.range("agent.slots", agent.slots.into(), 1, 1 << 16);
    faults.range("agent.waiting", agent.waiting.into(), 0, 1 << 16);
    faults.range("agent.report_ms", agent.report_ms, 50, DAY_MS);
    if agent.models.is_empty() {
        let needed = "an endpoint offers at least one model or service";
        faults.add("agent.models", Problem::Missing(needed));
    }
    let mut seen = BTreeSet::new();
    for (index, model) in agent.models.iter().enumerate() {
        faults.name(format!("agent.models.{index}"), model.as_str());
        if !seen.insert(model) {
            faults.add(format!("agent.models.{index}"), Problem::Twice(model.0.clone()));
        }
    }
}
