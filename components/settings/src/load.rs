//! Reads settings from YAML.

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

/// Names less alike than this get no "did you mean".
const ALIKE: f64 = 0.7;

/// Reads and checks the settings of a process. Relative paths in them are taken from the file's
/// folder, so that a process can be started from anywhere.
///
/// # Errors
///
/// [`SettingsError`], which names the file, the line, the field and what is allowed.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let text =
        std::fs::read_to_string(file).map_err(|e| SettingsError::Read(file.to_owned(), e))?;
    let mut settings = parse(file, &text)?;
    anchor(&mut settings, file.parent().unwrap_or(Path::new("")));
    Ok(settings)
}

/// Checks the text of settings; `file` is only named in errors.
///
/// # Errors
///
/// As [`load`].
pub fn parse(file: &Path, text: &str) -> Result<Settings, SettingsError> {
    let read = serde_yaml_ng::Deserializer::from_str(text);
    let settings: Settings = document(file, read)?;
    let faults = check::settings(&settings);
    refuse(file, text, 1, faults)?;
    Ok(settings)
}

/// Reads one YAML document.
pub(crate) fn document<T: DeserializeOwned>(
    file: &Path,
    read: serde_yaml_ng::Deserializer<'_>,
) -> Result<T, SettingsError> {
    T::deserialize(read).map_err(|error| explain(file, &error))
}

/// Turns faults into an error that tells their lines, looked for from line `from` on.
pub(crate) fn refuse(
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

fn explain(file: &Path, error: &serde_yaml_ng::Error) -> SettingsError {
    let line = error.location().map_or(0, |at| at.line());
    let whole = error.to_string();
    let said = whole.split(" at line ").next().unwrap_or_default();
    let (field, detail) = split_path(said);
    if let Some((name, allowed)) = unknown_field(detail) {
        let nearest = nearest(&name, &allowed);
        // The library's path of an unknown field ends with the field itself.
        let holder = field.strip_suffix(&name).unwrap_or(field).trim_end_matches('.');
        let place = Place { line, field: holder.to_owned() };
        let unknown = UnknownField { file: file.to_owned(), place, name, nearest, allowed };
        return SettingsError::UnknownField(Box::new(unknown));
    }
    let place = Place { line, field: field.to_owned() };
    SettingsError::Malformed { file: file.to_owned(), place, detail: detail.to_owned() }
}

/// The library writes `field.inner: what is wrong`, or only what is wrong.
fn split_path(said: &str) -> (&str, &str) {
    let is_path = |text: &str| {
        !text.is_empty()
            && text.chars().all(|c| c.is_alphanumeric() || matches!(c, '_' | '-' | '.' | '[' | ']'))
    };
    match said.split_once(": ") {
        Some((path, detail)) if is_path(path) => (path, detail),
        _ => ("", said),
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
    (score >= ALIKE).then(|| known.clone())
}

fn anchor(settings: &mut Settings, folder: &Path) {
    let place = |path: &mut std::path::PathBuf| *path = folder.join(&*path);
    place(&mut settings.keys);
    place(&mut settings.token);
    settings.data.as_mut().map(place);
    if let Some(tls) = &mut settings.tls {
        place(&mut tls.certificate);
        place(&mut tls.key);
        place(&mut tls.roots);
    }
}
