//! Loading of settings from YAML files.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::check;
use crate::error::Fault;
use crate::error::Located;
use crate::error::Place;
use crate::error::SettingsError;
use crate::error::UnknownField;
use crate::locate;
use crate::process::Settings;

/// The minimum similarity of a known name to be suggested with "did you mean".
const MIN_SIMILARITY: f64 = 0.7;

/// Reads and validates the settings of a process. Relative paths in them are resolved against the
/// folder of the file, so that a process can be started from any folder.
///
/// # Errors
///
/// Returns [`SettingsError`] with the file, the line, the field and the allowed values.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let text =
        std::fs::read_to_string(file).map_err(|e| SettingsError::Read(file.to_owned(), e))?;
    let mut settings = parse(file, &text)?;
    resolve_paths(&mut settings, file.parent().unwrap_or(Path::new("")));
    Ok(settings)
}

/// Parses and validates the text of settings. `file` is used only in error messages.
///
/// # Errors
///
/// Returns the errors of [`load`].
pub fn parse(file: &Path, text: &str) -> Result<Settings, SettingsError> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    let settings: Settings = parse_document(file, deserializer)?;
    let faults = check::settings(&settings);
    reject_faults(file, text, 1, faults)?;
    Ok(settings)
}

/// Parses one YAML document.
pub(crate) fn parse_document<T: DeserializeOwned>(
    file: &Path,
    deserializer: serde_yaml_ng::Deserializer<'_>,
) -> Result<T, SettingsError> {
    T::deserialize(deserializer).map_err(|error| convert_error(file, &error))
}

/// Returns an error with the positions of the faults, if there are any. Their lines are searched
/// from line `from` on.
pub(crate) fn reject_faults(
    file: &Path,
    text: &str,
    from: usize,
    faults: Vec<Fault>,
) -> Result<(), SettingsError> {
    if faults.is_empty() {
        return Ok(());
    }
    let locate = |fault: Fault| {
        let line = locate::line(text, from, &fault.field).unwrap_or(from);
        Located { place: Place { line, field: fault.field }, problem: fault.problem }
    };
    let faults = faults.into_iter().map(locate).collect();
    Err(SettingsError::Unusable { file: file.to_owned(), faults })
}

fn convert_error(file: &Path, error: &serde_yaml_ng::Error) -> SettingsError {
    let line = error.location().map_or(0, |at| at.line());
    let message = error.to_string();
    let message = message.split(" at line ").next().unwrap_or_default();
    let (field, detail) = split_path(message);
    if let Some((name, allowed)) = unknown_field(detail) {
        let nearest = nearest(&name, &allowed);
        // The path that the library reports for an unknown field includes the field itself.
        let parent = field.strip_suffix(&name).unwrap_or(field).trim_end_matches('.');
        let place = Place { line, field: parent.to_owned() };
        let unknown = UnknownField { file: file.to_owned(), place, name, nearest, allowed };
        return SettingsError::UnknownField(Box::new(unknown));
    }
    let place = Place { line, field: field.to_owned() };
    SettingsError::Malformed { file: file.to_owned(), place, detail: detail.to_owned() }
}

/// Splits a message of the library into the path of the field, if any, and the detail. The format
/// is `field.inner: detail` or just `detail`.
fn split_path(message: &str) -> (&str, &str) {
    let is_path = |text: &str| {
        !text.is_empty()
            && text.chars().all(|c| c.is_alphanumeric() || matches!(c, '_' | '-' | '.' | '[' | ']'))
    };
    match message.split_once(": ") {
        Some((path, detail)) if is_path(path) => (path, detail),
        _ => ("", message),
    }
}

fn unknown_field(detail: &str) -> Option<(String, Vec<String>)> {
    let rest = detail.strip_prefix("unknown field `")?;
    let (name, rest) = rest.split_once('`')?;
    let allowed = rest.split('`').skip(1).step_by(2).map(str::to_owned).collect();
    Some((name.to_owned(), allowed))
}

fn nearest(name: &str, allowed: &[String]) -> Option<String> {
    let scored = allowed.iter().map(|known| (strsim::jaro_winkler(name, known), known));
    let (score, known) = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (score >= MIN_SIMILARITY).then(|| known.clone())
}

fn resolve_paths(settings: &mut Settings, folder: &Path) {
    let resolve = |path: &mut std::path::PathBuf| *path = folder.join(&*path);
    resolve(&mut settings.keys);
    resolve(&mut settings.token);
    settings.data.as_mut().map(resolve);
    if let Some(tls) = &mut settings.tls {
        resolve(&mut tls.certificate);
        resolve(&mut tls.key);
        resolve(&mut tls.roots);
    }
}
