//! `chicoryford explain`: the history of a request, sample or step from processes' logs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::io::Read;
use std::path::PathBuf;

use crate::error::CmdError;

/// Gaps longer than this many seconds are printed. Most waits of a process are shorter, so a longer
/// gap means that lines are missing or that a wait was unusually long.
const MIN_GAP_S: f64 = 1.0;

/// One line of a log.
struct Line {
    time: f64,
    source: String,
    event: String,
    fields: BTreeMap<String, String>,
    order: Vec<String>,
}

/// Prints the lines about an id in chronological order.
///
/// # Errors
///
/// Returns [`CmdError::ReadLog`] if a file cannot be read, and [`CmdError::Missing`] if no line
/// contains the id.
pub fn run(id: &str, files: &[PathBuf]) -> Result<(), CmdError> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read(file).map_err(|source| CmdError::ReadLog(file.clone(), source))?;
        let name = file.file_stem().map(|name| name.to_string_lossy().into_owned());
        parse_lines(&String::from_utf8_lossy(&text), &name.unwrap_or_default(), &mut lines);
    }
    if files.is_empty() {
        let mut text = Vec::new();
        let read_all = std::io::stdin().read_to_end(&mut text);
        read_all.map_err(|source| CmdError::ReadLog(PathBuf::from("-"), source))?;
        parse_lines(&String::from_utf8_lossy(&text), "", &mut lines);
    }
    let selected = select(id, lines);
    if selected.is_empty() {
        return Err(CmdError::Missing { kind: "request, sample or step", name: id.to_owned() });
    }
    print(&selected);
    Ok(())
}

/// Parses log lines. The word before `time=`, if any, is the name of the process.
fn parse_lines(text: &str, file: &str, lines: &mut Vec<Line>) {
    for line in text.lines() {
        let Some(start) = line.find("time=") else { continue };
        let before = line[..start].split_whitespace().next_back().unwrap_or(file);
        let (fields, order) = parse_fields(&line[start..]);
        let time = fields.get("time").and_then(|time| time.parse().ok());
        let (Some(time), Some(event)) = (time, fields.get("event").cloned()) else { continue };
        lines.push(Line { time, source: before.to_owned(), event, fields, order });
    }
}

/// Splits a line into its fields. Values with spaces are quoted.
fn parse_fields(line: &str) -> (BTreeMap<String, String>, Vec<String>) {
    let (mut fields, mut order) = (BTreeMap::new(), Vec::new());
    let mut rest = line;
    while let Some((name, after)) = rest.split_once('=') {
        let name = name.trim().to_owned();
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => split_quoted(quoted),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        order.push(name.clone());
        fields.insert(name, value.to_owned());
        rest = left;
    }
    (fields, order)
}

fn split_quoted(text: &str) -> (&str, &str) {
    let mut escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !escaped => return (&text[..at], &text[at + 1..]),
            '\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    (text, "")
}

/// Selects the lines that contain the id, and for a sample also those that identify it by its step
/// and its index there.
fn select(id: &str, lines: Vec<Line>) -> Vec<Line> {
    // Where keys are required, a step's id is prefixed with its workspace. The id on the command
    // line may be the one that the trainer chose, without the prefix.
    let matches =
        |value: &String| value == id || value.rsplit_once('/').is_some_and(|(_, end)| end == id);
    let contains_id = |line: &Line| line.fields.values().any(matches);
    let place = |line: &Line| {
        let step = line.fields.get("step")?;
        Some((step.clone(), line.fields.get("index")?.clone()))
    };
    let sample = |line: &&Line| line.fields.get("sample").is_some_and(|sample| sample == id);
    let places: BTreeSet<(String, String)> =
        lines.iter().filter(sample).filter_map(place).collect();
    let steps: BTreeSet<&String> = places.iter().map(|(step, _)| step).collect();
    let about_step = |line: &Line| {
        let step = line.fields.get("step").is_some_and(|step| steps.contains(step));
        step && !line.fields.contains_key("index") && !line.fields.contains_key("sample")
    };
    let is_selected = |line: &Line| {
        contains_id(line)
            || place(line).is_some_and(|place| places.contains(&place))
            || about_step(line)
    };
    let keep: Vec<bool> = lines.iter().map(is_selected).collect();
    let kept = lines.into_iter().zip(keep).filter(|(_, keep)| *keep);
    let mut selected: Vec<Line> = kept.map(|(line, _)| line).collect();
    selected.sort_by(|a, b| a.time.total_cmp(&b.time));
    selected
}

fn print(lines: &[Line]) {
    let start = lines.first().map_or(0.0, |line| line.time);
    let mut previous = start;
    for line in lines {
        if line.time - previous > MIN_GAP_S {
            println!("            (nothing for {:.1} s)", line.time - previous);
        }
        previous = line.time;
        let known = ["time", "level", "target", "event"];
        let rest: Vec<String> = line
            .order
            .iter()
            .filter(|name| !known.contains(&name.as_str()))
            .map(|name| format!("{name}={}", line.fields[name]))
            .collect();
        let (after, source) = (line.time - start, &line.source);
        println!("+{after:>9.3} s  {source:<24} {:<20} {}", line.event, rest.join(" "));
    }
}
