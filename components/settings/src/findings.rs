//! Findings about the templates of a file before they are applied: what would be refused, what can
//! never be used, and which limits contradict each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use chicoryford_types::Model;
use chicoryford_types::Principal;
use chicoryford_types::Template;
use thiserror::Error;

use crate::error::Place;
use crate::error::Problem;
use crate::error::SettingsError;
use crate::locate;
use crate::template;

/// The names that exist. Those of which nothing is known are not checked.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// The callers that have a key.
    pub callers: Option<BTreeSet<Principal>>,
    /// The trainers that have a key.
    pub trainers: Option<BTreeSet<Principal>>,
    /// The models and services that endpoints offer or of which weights are published.
    pub models: Option<BTreeSet<Model>>,
}

/// What is wrong with a template.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TemplateProblem {
    /// The template would be refused.
    #[error(transparent)]
    Refused(#[from] Problem),
    /// A caller has no key.
    #[error("caller {0} has no key")]
    UnknownCaller(Principal),
    /// A trainer has no key.
    #[error("trainer {0} has no key")]
    UnknownTrainer(Principal),
    /// No endpoint offers a model, and no weights of it are published.
    #[error("model {0} is offered by no endpoint and has no published weights")]
    UnknownModel(Model),
    /// The template has neither callers nor trainers.
    #[error("nobody can use the workspace: it has no callers and no trainers")]
    Unused,
    /// A scorer is called for samples of trainers only.
    #[error("the scorer is never called: the workspace has no trainers")]
    UnusedScorer,
    /// Several attempts are allowed, but no retries.
    #[error("{attempts} attempts are allowed, but retries.percent is 0")]
    NoRetries {
        /// The attempts.
        attempts: u32,
    },
}

impl TemplateProblem {
    /// Returns whether the template would be refused.
    pub fn is_error(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// Returns the name of the kind of problem, for programs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::UnknownCaller(_) => "unknown_caller",
            Self::UnknownTrainer(_) => "unknown_trainer",
            Self::UnknownModel(_) => "unknown_model",
            Self::Unused => "unused_template",
            Self::UnusedScorer => "unused_scorer",
            Self::NoRetries { .. } => "no_retries",
        }
    }
}

/// A finding about a template.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TemplateFinding {
    /// The position in the file.
    pub place: Place,
    /// What is wrong.
    pub problem: TemplateProblem,
}

/// Parses the text of templates and returns them with all findings about them. `file` is used only
/// in error messages.
///
/// # Errors
///
/// Returns [`SettingsError`] if the text is not YAML, or has a field that templates do not have.
pub fn check_templates(
    file: &Path,
    text: &str,
    known: &KnownNames,
) -> Result<(Vec<Template>, Vec<TemplateFinding>), SettingsError> {
    let mut templates = Vec::new();
    let mut findings = Vec::new();
    for (from, template, faults) in template::parse_all(file, text)? {
        let refused = faults.into_iter().map(|fault| (fault.field, fault.problem.into()));
        for (field, problem) in refused.chain(warnings(&template, known)) {
            let line = locate::line(text, from, &field).unwrap_or(from);
            findings.push(TemplateFinding { place: Place { line, field }, problem });
        }
        templates.push(template);
    }
    Ok((templates, findings))
}

/// Returns what is suspicious about a template that would be accepted, with the fields.
pub fn warnings(template: &Template, known: &KnownNames) -> Vec<(String, TemplateProblem)> {
    let mut warnings = Vec::new();
    for caller in template.callers.keys().filter(|caller| is_unknown(&known.callers, caller)) {
        let problem = TemplateProblem::UnknownCaller(caller.clone());
        warnings.push((format!("callers.{caller}"), problem));
    }
    for (index, trainer) in template.trainers.iter().enumerate() {
        if is_unknown(&known.trainers, trainer) {
            let problem = TemplateProblem::UnknownTrainer(trainer.clone());
            warnings.push((format!("trainers.{index}"), problem));
        }
    }
    let models = template.models.iter().enumerate();
    let models = models.map(|(index, model)| (format!("models.{index}"), model));
    let scorer = template.scorer.iter().map(|scorer| ("scorer".to_owned(), scorer));
    for (field, model) in models.chain(scorer).filter(|(_, model)| is_unknown(&known.models, model))
    {
        warnings.push((field, TemplateProblem::UnknownModel(model.clone())));
    }
    if template.callers.is_empty() && template.trainers.is_empty() {
        warnings.push(("callers".to_owned(), TemplateProblem::Unused));
    } else if template.scorer.is_some() && template.trainers.is_empty() {
        warnings.push(("scorer".to_owned(), TemplateProblem::UnusedScorer));
    }
    let attempts = template.retries.attempts;
    if attempts > 1 && template.retries.percent == 0 {
        warnings.push(("retries.percent".to_owned(), TemplateProblem::NoRetries { attempts }));
    }
    warnings
}

fn is_unknown<T: Ord>(known: &Option<BTreeSet<T>>, name: &T) -> bool {
    known.as_ref().is_some_and(|known| !known.contains(name))
}

/// A field in which two templates differ. The values are for display; an absent one is empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TemplateDifference {
    /// The path of the field.
    pub field: String,
    /// The value in the old template.
    pub before: String,
    /// The value in the new template.
    pub after: String,
}

/// Returns the fields in which two templates differ, without entries of lists as separate fields.
pub fn differences(before: &Template, after: &Template) -> Vec<TemplateDifference> {
    let (old, new) = (fields(before), fields(after));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let value = |all: &Fields, name: &str| all.get(name).cloned().unwrap_or_default();
    let differing = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    let difference = |name: &String| TemplateDifference {
        field: name.clone(),
        before: value(&old, name),
        after: value(&new, name),
    };
    differing.map(difference).collect()
}

type Fields = BTreeMap<String, String>;

fn fields(template: &Template) -> Fields {
    let mut fields = Fields::new();
    // A template can always be represented as YAML.
    let value = serde_yaml_ng::to_value(template).unwrap_or_default();
    collect_fields("", &value, &mut fields);
    fields
}

fn collect_fields(path: &str, value: &serde_yaml_ng::Value, fields: &mut Fields) {
    match value {
        serde_yaml_ng::Value::Mapping(mapping) => {
            for (key, value) in mapping {
                let key = key.as_str().unwrap_or_default();
                let path = if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
                collect_fields(&path, value, fields);
            }
        }
        other => {
            fields.insert(path.to_owned(), display(other));
        }
    }
}

fn display(value: &serde_yaml_ng::Value) -> String {
    match value {
        serde_yaml_ng::Value::Null => String::new(),
        serde_yaml_ng::Value::Sequence(items) => {
            items.iter().map(display).collect::<Vec<_>>().join(" ")
        }
        serde_yaml_ng::Value::String(text) => text.clone(),
        other => serde_yaml_ng::to_string(other).unwrap_or_default().trim_end().to_owned(),
    }
}
