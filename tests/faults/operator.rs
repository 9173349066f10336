//! An operator who keeps account of what was accepted.

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

/// What was said of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// It was accepted as this version.
    Accepted(Position, u64),
    /// It was refused by the replicated state.
    Refused(Box<Reply>),
    /// It certainly did not run.
    NotRun(String),
    /// It may have run, or no answer came.
    Unknown,
}

/// Makes a template that is told from others by its title.
pub fn titled(title: &str) -> Template {
    Template {
        workspace: Workspace::from("office"),
        title: title.to_owned(),
        models: vec![Model::from("model")],
        ..Template::default()
    }
}

/// Makes a change id; of a long name it takes the first word.
pub fn change_id(name: &str) -> ChangeId {
    let name = name.split_whitespace().next().unwrap_or_default();
    ChangeId(format!("{}.{name}", chicoryford_kernel::unix().0))
}

/// Makes the command that puts `template` in force after `held`.
pub fn apply(id: &ChangeId, template: Template, held: Option<(u64, &Template)>) -> Command {
    let base = held
        .map_or(Base::default(), |(version, template)| Base { version, digest: template.digest() });
    Command::Apply { change: id.clone(), template: Box::new(template), base }
}

/// Sends a command and gives the answer.
pub fn send(system: &System, at: SocketAddr, command: &Command) -> Said {
    let body = serde_json::to_string(command).unwrap();
    let answer = system.post(at, paths::OPERATE, "operator-token", &body);
    if answer.status == 200 {
        return match serde_json::from_value(answer.json()).unwrap() {
            Reply::Accepted { at, version } => Said::Accepted(at, version),
            other => Said::Refused(Box::new(other)),
        };
    }
    match answer.outcome().as_str() {
        "not_run" => Said::NotRun(answer.code()),
        _ => Said::Unknown,
    }
}

/// Sends a command again, to one address after the other, until it is accepted or refused.
pub fn insist(system: &System, at: &[SocketAddr], command: &Command) -> Said {
    let mut last = Said::Unknown;
    let mut turn = 0;
    system.wait("the change is accepted or refused", || {
        last = send(system, at[turn % at.len()], command);
        turn += 1;
        matches!(last, Said::Accepted(..) | Said::Refused(_))
    });
    last
}

/// An operator who makes one change after the other to one template.
pub struct Operator {
    pub held: Option<(u64, Template)>,
    pub last: Position,
    /// Titles by the version under which they were accepted.
    pub accepted: BTreeMap<u64, String>,
    /// Titles of changes of which it was said that they did not run, and never repeated.
    pub refused: Vec<String>,
}

impl Operator {
    /// Begins with no template in force.
    pub fn new() -> Self {
        let (accepted, refused) = (BTreeMap::new(), Vec::new());
        Self { held: None, last: Position::default(), accepted, refused }
    }

    /// Makes a change and insists until it is accepted.
    pub fn change(&mut self, system: &System, at: &[SocketAddr], title: &str) {
        let template = titled(title);
        let held = self.held.as_ref().map(|(version, template)| (*version, template));
        let command = apply(&change_id(title), template.clone(), held);
        match insist(system, at, &command) {
            Said::Accepted(at, version) => self.accept(at, version, template),
            other => panic!("the change got {other:?}"),
        }
    }

    fn accept(&mut self, at: Position, version: u64, template: Template) {
        assert!(at > self.last, "{at} after {}", self.last);
        self.last = at;
        self.accepted.insert(version, template.title.clone());
        self.held = Some((version, template));
    }

    /// Makes a change without insisting, and keeps account of a refusal.
    pub fn try_change(&mut self, system: &System, at: SocketAddr, title: &str) -> Said {
        let held = self.held.as_ref().map(|(version, template)| (*version, template));
        let command = apply(&change_id(title), titled(title), held);
        let said = send(system, at, &command);
        match &said {
            Said::Accepted(at, version) => self.accept(*at, *version, titled(title)),
            Said::NotRun(_) => self.refused.push(title.to_owned()),
            Said::Refused(_) | Said::Unknown => {}
        }
        said
    }

    /// Reads the version in force, as one does who was told that a change may have run.
    pub fn reread(&mut self, system: &System, at: &[SocketAddr]) {
        let kept = history(system, at);
        let (position, _, newest) = kept[kept.len() - 1].clone();
        self.last = position;
        self.held = Some((newest.version, newest.template));
    }

    /// Checks against the versions that are kept: nothing accepted is missing, and nothing of
    /// which it was said that it did not run is there.
    pub fn check(&self, system: &System, at: &[SocketAddr]) {
        let kept = history(system, at);
        let (oldest, newest) = (kept[0].2.version, kept[kept.len() - 1].2.version);
        for (version, title) in self.accepted.range(oldest..) {
            let found = kept.iter().find(|(_, _, held)| held.version == *version);
            assert_eq!(found.map(|(_, _, held)| &held.template.title), Some(title));
        }
        let highest = self.accepted.keys().next_back().copied().unwrap_or_default();
        assert!(newest >= highest, "version {newest} after {highest}");
        for title in &self.refused {
            let ran = kept.iter().any(|(_, _, held)| held.template.title == *title);
            assert!(!ran, "{title} was refused as not run, but ran");
        }
    }
}

/// Gives the versions of the operator's template that are kept, oldest first.
pub fn history(system: &System, at: &[SocketAddr]) -> Vec<(Position, Unix, Versioned)> {
    let command = Command::History { workspace: Workspace::from("office") };
    match insist(system, at, &command) {
        Said::Refused(reply) => match *reply {
            Reply::History(kept) => kept,
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    }
}

/// Gives the configuration that a daemon has in force: its position, and the template's version.
pub fn in_force(system: &System, at: SocketAddr) -> (Position, u64) {
    let config: Value = system.get(at, paths::CONFIG);
    let position = serde_json::from_value(config["at"].clone()).unwrap_or_default();
    (position, config["templates"]["office"]["version"].as_u64().unwrap_or_default())
}
