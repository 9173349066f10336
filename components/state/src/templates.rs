//! Templates: compare-and-set on version and content, history, rollback.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryford_types::Change;
use chicoryford_types::Position;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;
use serde::Deserialize;
use serde::Serialize;
use similar::TextDiff;

use crate::command::Base;
use crate::command::Refusal;
use crate::command::Reply;
use crate::machine::State;

/// Maximum number of stored versions per template, for rollback and for the diffs of conflicts.
pub const MAX_VERSIONS: usize = 32;
/// Maximum number of workspaces with a template or the history of one.
pub const MAX_WORKSPACES: usize = 4_096;
/// Maximum bytes of the diff in a conflict.
const MAX_DIFF_BYTES: usize = 16 << 10;

/// The stored versions of each template, including removed templates.
///
/// The history outlives the template, so that version numbers continue if a template is removed and
/// added again. Otherwise an operator who still has the first text under number 1 would find that
/// version in force again.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Histories(BTreeMap<Workspace, VecDeque<(Position, Unix, Versioned)>>);

impl Histories {
    fn last_version(&self, workspace: &Workspace) -> u64 {
        let history = self.0.get(workspace);
        history.and_then(|h| h.back()).map_or(0, |(_, _, versioned)| versioned.version)
    }

    fn has_room(&self, workspace: &Workspace) -> bool {
        self.0.len() < MAX_WORKSPACES || self.0.contains_key(workspace)
    }

    fn find(&self, workspace: &Workspace, version: u64) -> Option<&Versioned> {
        let mut kept = self.0.get(workspace)?.iter().map(|(_, _, versioned)| versioned);
        kept.find(|versioned| versioned.version == version)
    }

    fn find_base(&self, workspace: &Workspace, base: Base) -> Option<&Template> {
        let mut kept = self.0.get(workspace)?.iter().map(|(_, _, versioned)| versioned);
        let found = kept.find(|versioned| versioned.template.digest() == base.digest);
        found.map(|versioned| &versioned.template)
    }

    fn record(&mut self, at: Position, stamp: Unix, versioned: Versioned) {
        let workspace = versioned.template.workspace.clone();
        let history = self.0.entry(workspace).or_default();
        history.push_back((at, stamp, versioned));
        if history.len() > MAX_VERSIONS {
            history.pop_front();
        }
    }
}

impl State {
    pub(crate) fn apply_template(&mut self, template: Template, base: Base) -> Reply {
        match self.check_base(&template.workspace, base) {
            Ok(()) => self.put_template(template),
            Err(refusal) => refusal.into(),
        }
    }

    pub(crate) fn remove_template(&mut self, workspace: Workspace, base: Base) -> Reply {
        if let Err(refusal) = self.check_base(&workspace, base) {
            return refusal.into();
        }
        if !self.config.templates.contains_key(&workspace) {
            return Refusal::Missing.into();
        }
        let version = self.histories.last_version(&workspace);
        let at = self.accept(Change::TemplateRemoved(workspace));
        Reply::Accepted { at, version }
    }

    pub(crate) fn roll_back(&mut self, workspace: Workspace, to: u64, base: Base) -> Reply {
        if let Err(refusal) = self.check_base(&workspace, base) {
            return refusal.into();
        }
        match self.histories.find(&workspace, to) {
            Some(versioned) => self.put_template(versioned.template.clone()),
            None => Refusal::Missing.into(),
        }
    }

    pub(crate) fn history(&self, workspace: &Workspace) -> Reply {
        match self.histories.0.get(workspace) {
            Some(history) => Reply::History(history.iter().cloned().collect()),
            None => Refusal::Missing.into(),
        }
    }

    fn put_template(&mut self, template: Template) -> Reply {
        if !self.histories.has_room(&template.workspace) {
            return Refusal::Full.into();
        }
        let version = self.histories.last_version(&template.workspace) + 1;
        let versioned = Versioned { version, template };
        let at = self.accept(Change::Template(Box::new(versioned.clone())));
        self.histories.record(at, self.now, versioned);
        Reply::Accepted { at, version }
    }

    /// Accepts a change only if it is based on what is in force: the version and the content.
    ///
    /// Two concurrent operators can have different texts under the same number, one of which was
    /// never accepted. By the number alone, the second operator could overwrite a change that they
    /// never saw.
    fn check_base(&self, workspace: &Workspace, base: Base) -> Result<(), Refusal> {
        let current = self.config.templates.get(workspace);
        let in_force = current.map_or_else(Base::default, |versioned| Base {
            version: versioned.version,
            digest: versioned.template.digest(),
        });
        if base == in_force {
            return Ok(());
        }
        let diff = self.diff_to_base(workspace, base, current);
        Err(Refusal::Conflict { current: current.cloned().map(Box::new), diff })
    }

    /// Returns the diff between an operator's base and what is in force.
    fn diff_to_base(
        &self,
        workspace: &Workspace,
        base: Base,
        current: Option<&Versioned>,
    ) -> String {
        let known = self.histories.find_base(workspace, base);
        let old = known.map(to_text).unwrap_or_default();
        let new = current.map(|versioned| to_text(&versioned.template)).unwrap_or_default();
        let old_name = match known {
            Some(_) => format!("base (version {})", base.version),
            None => format!("base (version {}, content {}, not kept)", base.version, base.digest),
        };
        let new_name = match current {
            Some(versioned) => format!("in force (version {})", versioned.version),
            None => "in force (none)".to_owned(),
        };
        let lines = TextDiff::from_lines(&old, &new);
        let diff = lines.unified_diff().header(&old_name, &new_name).to_string();
        truncate(diff, MAX_DIFF_BYTES)
    }
}

fn to_text(template: &Template) -> String {
    let mut text = serde_json::to_string_pretty(template).expect("a template is plain data");
    text.push('\n');
    text
}

fn truncate(mut text: String, max_bytes: usize) -> String {
    if text.len() > max_bytes {
        let end = (0..=max_bytes).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
        text.truncate(end);
        text.push_str("\n(cut)\n");
    }
    text
}
