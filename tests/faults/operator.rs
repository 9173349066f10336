//! An operator that records which of its changes were accepted.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryford_state::Base;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::ChangeId;
use chicoryford_types::Model;
use chicoryford_types::Position;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;
use chicoryford_wire::paths;
use serde_json::Value;

use crate::system::System;

/// The outcome of a change as reported to the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// Accepted at this position as this version.
    Accepted(Position, u64),
    /// Refused by the replicated state.
    Refused(Box<Reply>),
    /// Not run, with the error code.
    NotRun(String),
    /// May have run, or no answer arrived.
    Unknown,
}

/// Returns a template that is identified by its title.
pub fn template_titled(title: &str) -> Template {
    Template {
        workspace: Workspace::from("office"),
        title: title.to_owned(),
        models: vec![Model::from("model")],
        ..Template::default()
    }
}

/// Returns a change id made of the current time and the first word of `name`.
pub fn change_id(name: &str) -> ChangeId {
    let name = name.split_whitespace().next().unwrap_or_default();
    ChangeId(format!("{}.{name}", chicoryford_kernel::unix().0))
}

/// Returns the command that applies `template` on top of `base`, a version and its template.
pub fn apply_command(id: &ChangeId, template: Template, base: Option<(u64, &Template)>) -> Command {
    let base = base
        .map_or(Base::default(), |(version, template)| Base { version, digest: template.digest() });
    Command::Apply { change: id.clone(), template: Box::new(template), base }
}

/// Sends a command once and returns its outcome.
pub fn send_command(system: &System, at: SocketAddr, command: &Command) -> ChangeOutcome {
    let body = serde_json::to_string(command).unwrap();
    let answer = system.post(at, paths::OPERATE, "operator-token", &body);
    if answer.status == 200 {
        return match serde_json::from_value(answer.json()).unwrap() {
            Reply::Accepted { at, version } => ChangeOutcome::Accepted(at, version),
            other => ChangeOutcome::Refused(Box::new(other)),
        };
    }
    match answer.outcome().as_str() {
        "not_run" => ChangeOutcome::NotRun(answer.code()),
        _ => ChangeOutcome::Unknown,
    }
}

/// Sends a command to one address after the other until it is accepted or refused.
pub fn send_until_decided(system: &System, at: &[SocketAddr], command: &Command) -> ChangeOutcome {
    let mut last = ChangeOutcome::Unknown;
    let mut turn = 0;
    system.wait("the change is accepted or refused", || {
        last = send_command(system, at[turn % at.len()], command);
        turn += 1;
        matches!(last, ChangeOutcome::Accepted(..) | ChangeOutcome::Refused(_))
    });
    last
}

/// An operator that changes one template repeatedly.
pub struct Operator {
    /// The version and template that the next change is based on.
    pub held: Option<(u64, Template)>,
    /// The position of the last accepted change.
    pub last: Position,
    /// Titles of accepted changes by version.
    pub accepted: BTreeMap<u64, String>,
    /// Titles of changes that were reported as not run and were not sent again.
    pub refused: Vec<String>,
}

impl Operator {
    /// Creates an operator with no template in force.
    pub fn new() -> Self {
        let (accepted, refused) = (BTreeMap::new(), Vec::new());
        Self { held: None, last: Position::default(), accepted, refused }
    }

    /// Sends a change until it is accepted.
    pub fn change(&mut self, system: &System, at: &[SocketAddr], title: &str) {
        let template = template_titled(title);
        let held = self.held.as_ref().map(|(version, template)| (*version, template));
        let command = apply_command(&change_id(title), template.clone(), held);
        match send_until_decided(system, at, &command) {
            ChangeOutcome::Accepted(at, version) => self.record_accepted(at, version, template),
            other => panic!("the change was not accepted: {other:?}"),
        }
    }

    fn record_accepted(&mut self, at: Position, version: u64, template: Template) {
        assert!(at > self.last, "{at} after {}", self.last);
        self.last = at;
        self.accepted.insert(version, template.title.clone());
        self.held = Some((version, template));
    }

    /// Sends a change once, and records whether it was accepted or reported as not run.
    pub fn try_change(&mut self, system: &System, at: SocketAddr, title: &str) -> ChangeOutcome {
        let held = self.held.as_ref().map(|(version, template)| (*version, template));
        let command = apply_command(&change_id(title), template_titled(title), held);
        let outcome = send_command(system, at, &command);
        match &outcome {
            ChangeOutcome::Accepted(at, version) => {
                self.record_accepted(*at, *version, template_titled(title))
            }
            ChangeOutcome::NotRun(_) => self.refused.push(title.to_owned()),
            ChangeOutcome::Refused(_) | ChangeOutcome::Unknown => {}
        }
        outcome
    }

    /// Reads the version in force, as an operator does after a change with an unknown outcome.
    pub fn read_newest(&mut self, system: &System, at: &[SocketAddr]) {
        let versions = history(system, at);
        let (position, _, newest) = versions[versions.len() - 1].clone();
        self.last = position;
        self.held = Some((newest.version, newest.template));
    }

    /// Checks against the stored history that no accepted change is missing, and that no change
    /// reported as not run is present.
    pub fn check(&self, system: &System, at: &[SocketAddr]) {
        let versions = history(system, at);
        let (oldest, newest) = (versions[0].2.version, versions[versions.len() - 1].2.version);
        for (version, title) in self.accepted.range(oldest..) {
            let found = versions.iter().find(|(_, _, versioned)| versioned.version == *version);
            assert_eq!(found.map(|(_, _, versioned)| &versioned.template.title), Some(title));
        }
        let highest = self.accepted.keys().next_back().copied().unwrap_or_default();
        assert!(newest >= highest, "version {newest} after {highest}");
        for title in &self.refused {
            let ran = versions.iter().any(|(_, _, versioned)| versioned.template.title == *title);
            assert!(!ran, "{title} was reported as not run but ran");
        }
    }
}

/// Returns the stored versions of the operator's template, oldest first.
pub fn history(system: &System, at: &[SocketAddr]) -> Vec<(Position, Unix, Versioned)> {
    let command = Command::History { workspace: Workspace::from("office") };
    match send_until_decided(system, at, &command) {
        ChangeOutcome::Refused(reply) => match *reply {
            Reply::History(versions) => versions,
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    }
}

/// Returns the position of a daemon's configuration and the version of the operator's template.
pub fn in_force(system: &System, at: SocketAddr) -> (Position, u64) {
    let config: Value = system.get(at, paths::CONFIG);
    let position = serde_json::from_value(config["at"].clone()).unwrap_or_default();
    (position, config["templates"]["office"]["version"].as_u64().unwrap_or_default())
}
