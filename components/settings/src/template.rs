//! Loading of templates from YAML files. A file may contain several, separated by `---`.

use std::collections::BTreeSet;
use std::path::Path;

use chicoryford_types::Template;

use crate::check::DAY_MS;
use crate::check::Faults;
use crate::error::Fault;
use crate::error::Problem;
use crate::error::SettingsError;
use crate::load;

/// Reads and validates the templates of a file.
///
/// # Errors
///
/// Returns [`SettingsError`] with the file, the line, the field and the allowed values.
pub fn load_templates(file: &Path) -> Result<Vec<Template>, SettingsError> {
    let text =
        std::fs::read_to_string(file).map_err(|e| SettingsError::Read(file.to_owned(), e))?;
    parse_templates(file, &text)
}

/// Parses and validates the text of templates. `file` is used only in error messages.
///
/// # Errors
///
/// Returns the errors of [`load_templates`].
pub fn parse_templates(file: &Path, text: &str) -> Result<Vec<Template>, SettingsError> {
    let mut templates = Vec::new();
    for parsed in parse_each(file, text) {
        let (from, template, faults) = parsed?;
        load::reject_faults(file, text, from, faults)?;
        templates.push(template);
    }
    Ok(templates)
}

/// A template with the first line of its document and its faults.
pub(crate) type Parsed = (usize, Template, Vec<Fault>);

/// Parses all templates of a file, also those after one with faults.
pub(crate) fn parse_all(file: &Path, text: &str) -> Result<Vec<Parsed>, SettingsError> {
    parse_each(file, text).collect()
}

fn parse_each(file: &Path, text: &str) -> impl Iterator<Item = Result<Parsed, SettingsError>> {
    let starts = document_starts(text);
    let mut seen = BTreeSet::new();
    let documents = serde_yaml_ng::Deserializer::from_str(text).enumerate();
    documents.map(move |(index, deserializer)| {
        let template: Template = load::parse_document(file, deserializer)?;
        let mut faults = check(&template);
        if !seen.insert(template.workspace.clone()) {
            let duplicate = Problem::Twice(template.workspace.0.clone());
            faults.push(Fault { field: "workspace".to_owned(), problem: duplicate });
        }
        let from = starts.get(index).copied().unwrap_or(1);
        Ok((from, template, faults))
    })
}

/// Returns all faults of a template.
pub fn check(template: &Template) -> Vec<Fault> {
    let mut faults = Faults::default();
    faults.name("workspace", template.workspace.as_str());
    check_names(&mut faults, template);
    faults.range("limits.rate", template.limits.rate.into(), 1, 1_000_000);
    faults.range("limits.running", template.limits.running.into(), 1, 1_000_000);
    faults.range("limits.tokens", template.limits.tokens.into(), 1, 10_000_000);
    faults.range("retries.attempts", template.retries.attempts.into(), 1, 10);
    faults.range("retries.percent", template.retries.percent.into(), 0, 100);
    faults.range("freshness.versions", template.freshness.versions, 0, 1_000_000);
    faults.range("weight", template.weight.into(), 1, 1_000);
    faults.range("deadline_ms", template.deadline_ms, 1, DAY_MS);
    faults.0
}

fn check_names(faults: &mut Faults, template: &Template) {
    if template.models.is_empty() {
        let needed = "a workspace uses at least one model or service";
        faults.add("models", Problem::Missing(needed));
    }
    let mut seen = BTreeSet::new();
    for (index, model) in template.models.iter().enumerate() {
        faults.name(format!("models.{index}"), model.as_str());
        if !seen.insert(model) {
            faults.add(format!("models.{index}"), Problem::Twice(model.0.clone()));
        }
    }
    for caller in template.callers.keys() {
        faults.name(format!("callers.{caller}"), caller.as_str());
    }
    let mut seen = BTreeSet::new();
    for (index, trainer) in template.trainers.iter().enumerate() {
        faults.name(format!("trainers.{index}"), trainer.as_str());
        if !seen.insert(trainer) {
            faults.add(format!("trainers.{index}"), Problem::Twice(trainer.0.clone()));
        }
    }
    template.scorer.iter().for_each(|scorer| faults.name("scorer", scorer.as_str()));
}

/// Returns the first line of each document, counted from one.
fn document_starts(text: &str) -> Vec<usize> {
    let mut starts = Vec::new();
    let mut has_content = false;
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            has_content = false;
            starts.push(index + 2);
            continue;
        }
        let content = !line.trim().is_empty() && !line.trim_start().starts_with('#');
        if content && !has_content {
            has_content = true;
            if starts.is_empty() {
                starts.push(1);
            }
        }
    }
    starts
}
