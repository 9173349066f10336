//! Reads templates from YAML; a file may hold several, separated by `---`.

use std::collections::BTreeSet;
use std::path::Path;

use chicoryford_types::Template;

use crate::check::DAY_MS;
use crate::check::Faults;
use crate::error::Fault;
use crate::error::Problem;
use crate::error::SettingsError;
use crate::load;

/// Reads and checks the templates of a file.
///
/// # Errors
///
/// [`SettingsError`], which names the file, the line, the field and what is allowed.
pub fn load_templates(file: &Path) -> Result<Vec<Template>, SettingsError> {
    let text =
        std::fs::read_to_string(file).map_err(|e| SettingsError::Read(file.to_owned(), e))?;
    parse_templates(file, &text)
}

/// Checks the text of templates; `file` is only named in errors.
///
/// # Errors
///
/// As [`load_templates`].
pub fn parse_templates(file: &Path, text: &str) -> Result<Vec<Template>, SettingsError> {
    let starts = starts(text);
    let mut templates = Vec::new();
    let mut seen = BTreeSet::new();
    for (index, read) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
        let template: Template = load::document(file, read)?;
        let mut faults = check(&template);
        if !seen.insert(template.workspace.clone()) {
            let twice = Problem::Twice(template.workspace.0.clone());
            faults.push(Fault { field: "workspace".to_owned(), problem: twice });
        }
        let from = starts.get(index).copied().unwrap_or(1);
        load::refuse(file, text, from, faults)?;
        templates.push(template);
    }
    Ok(templates)
}

/// Finds what is wrong with a template.
pub fn check(template: &Template) -> Vec<Fault> {
    let mut faults = Faults::default();
    faults.name("workspace", template.workspace.as_str());
    names(&mut faults, template);
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

fn names(faults: &mut Faults, template: &Template) {
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

/// Finds the first line of each document.
fn starts(text: &str) -> Vec<usize> {
    let mut starts = Vec::new();
    let mut filled = false;
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            filled = false;
            starts.push(index + 2);
            continue;
        }
        let content = !line.trim().is_empty() && !line.trim_start().starts_with('#');
        if content && !filled {
            filled = true;
            if starts.is_empty() {
                starts.push(1);
            }
        }
    }
    starts
}
