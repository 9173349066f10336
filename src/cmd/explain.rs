//! `chicoryford explain`: the story of one request, sample or step from processes' logs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::io::Read;
use std::path::PathBuf;

use crate::error::CmdError;

/// Seconds without a line after which the gap is named: most things that a process waits for
/// take less, so something is missing there, or was waited for.
const GAP: f64 = 1.0;

/// One line of a log.
struct Line {
    time: f64,
    source: String,
    event: String,
    fields: BTreeMap<String, String>,
    order: Vec<String>,
}

/// Prints the lines about an identity, in order of time.
///
/// # Errors
///
/// [`CmdError::ReadLog`] if a file cannot be read, [`CmdError::Missing`] if no line names the
/// identity.
pub fn run(id: &str, files: &[PathBuf]) -> Result<(), CmdError> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read(file).map_err(|source| CmdError::ReadLog(file.clone(), source))?;
        let name = file.file_stem().map(|name| name.to_string_lossy().into_owned());
        read(&String::from_utf8_lossy(&text), &name.unwrap_or_default(), &mut lines);
    }
    if files.is_empty() {
        let mut text = Vec::new();
        let read_all = std::io::stdin().read_to_end(&mut text);
        read_all.map_err(|source| CmdError::ReadLog(PathBuf::from("-"), source))?;
        read(&String::from_utf8_lossy(&text), "", &mut lines);
    }
    let story = choose(id, lines);
    if story.is_empty() {
        return Err(CmdError::Missing { kind: "request, sample or step", name: id.to_owned() });
    }
    print(&story);
    Ok(())
}

/// Reads log lines. What stands before `time=` names the process, if anything does.
fn read(text: &str, file: &str, lines: &mut Vec<Line>) {
    for line in text.lines() {
        let Some(begin) = line.find("time=") else { continue };
        let before = line[..begin].split_whitespace().next_back().unwrap_or(file);
        let (fields, order) = pairs(&line[begin..]);
        let time = fields.get("time").and_then(|time| time.parse().ok());
        let (Some(time), Some(event)) = (time, fields.get("event").cloned()) else { continue };
        lines.push(Line { time, source: before.to_owned(), event, fields, order });
    }
}

/// Splits a line into its pairs; a value with spaces stands in quotes.
fn pairs(line: &str) -> (BTreeMap<String, String>, Vec<String>) {
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

/// Chooses the lines that name the identity, and for a sample those that name it by its step and
/// its place there.
fn choose(id: &str, lines: Vec<Line>) -> Vec<Line> {
    // A step's identity has its workspace before it where keys are needed; whoever asks may know
    // only what the trainer gave.
    let is =
        |value: &String| value == id || value.rsplit_once('/').is_some_and(|(_, end)| end == id);
    let names = |line: &Line| line.fields.values().any(is);
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
    let chosen = |line: &Line| {
        names(line) || place(line).is_some_and(|place| places.contains(&place)) || about_step(line)
    };
    let keep: Vec<bool> = lines.iter().map(chosen).collect();
    let kept = lines.into_iter().zip(keep).filter(|(_, keep)| *keep);
    let mut story: Vec<Line> = kept.map(|(line, _)| line).collect();
    story.sort_by(|a, b| a.time.total_cmp(&b.time));
    story
}

fn print(story: &[Line]) {
    let begin = story.first().map_or(0.0, |line| line.time);
    let mut before = begin;
    for line in story {
        if line.time - before > GAP {
            println!("            (nothing for {:.1} s)", line.time - before);
        }
        before = line.time;
        let known = ["time", "level", "target", "event"];
        let rest: Vec<String> = line
            .order
            .iter()
            .filter(|name| !known.contains(&name.as_str()))
            .map(|name| format!("{name}={}", line.fields[name]))
            .collect();
        let (after, source) = (line.time - begin, &line.source);
        println!("+{after:>9.3} s  {source:<24} {:<20} {}", line.event, rest.join(" "));
    }
}
