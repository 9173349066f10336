//! Reads the records of the stand-ins.

use std::collections::BTreeMap;
use std::fs;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A line of an engine's record.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct EngineLine {
    /// What happened.
    pub event: String,
    /// When, in Unix milliseconds.
    pub at: u64,
    /// The request.
    pub request: String,
    /// Its attempt.
    pub attempt: u32,
    /// The model.
    pub model: String,
    /// Tokens, or the version of a swap.
    pub count: u64,
    /// Runs of tokens and their versions.
    pub spans: Vec<(u32, u32, u64)>,
    /// How it ended.
    pub how: String,
}

/// A sample in a trainer's record.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct SampleLine {
    /// Always `sample` for these.
    pub event: String,
    /// Tokens.
    pub tokens: u32,
    /// Runs of tokens and their versions.
    pub spans: Vec<SpanLine>,
    /// The step.
    pub step: u64,
    /// The group within the step.
    pub group: u32,
    /// The text.
    pub text: String,
    /// The score, if it was scored.
    pub score: Option<f64>,
}

/// A run of tokens as answers and samples give it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct SpanLine {
    /// The first token.
    pub from: u32,
    /// The token after the last.
    pub to: u32,
    /// The version, if the engine said it.
    pub version: Option<u64>,
}

/// A line of a caller's record.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct CallLine {
    /// The idempotency key, empty for none.
    pub key: String,
    /// Unix milliseconds at the first try.
    pub at: u64,
    /// The code of the last failure.
    pub code: String,
    /// What became of the request.
    pub fate: String,
    /// The answer's extension.
    pub answer: Value,
}

/// A line of a service's record.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ServiceLine {
    /// The idempotency key, empty for none.
    pub key: String,
}

/// Reads a record. The last line of one that was killed may be torn; it is passed over.
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<Vec<T>> {
    if !file.exists() {
        return Ok(Vec::new());
    }
    let text = fs::read_to_string(file)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}

/// A run of tokens: from, to, version.
pub type Span = (u32, u32, u64);

/// What the engines' records say of one request: the attempts that ran, in order.
#[derive(Clone, Debug, Default)]
pub struct Ran {
    /// The model.
    pub model: String,
    /// The attempts' spans and how they ended. An attempt at an engine that was killed is missing.
    pub attempts: BTreeMap<u32, (Vec<Span>, String)>,
}

/// What the engines say a whole answer consists of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Whole {
    /// The model.
    pub model: String,
    /// The token from which on the engines know it; earlier ones came from a killed engine.
    pub from: u32,
    /// The runs from that token on, adjacent ones of the same version joined.
    pub spans: Vec<Span>,
}

/// Collects the requests that engines ran.
pub fn requests(files: &[PathBuf]) -> Result<BTreeMap<String, Ran>> {
    let mut requests: BTreeMap<String, Ran> = BTreeMap::new();
    for file in files {
        for line in read::<EngineLine>(file)?.into_iter().filter(|line| line.event == "end") {
            let ran = requests.entry(line.request).or_default();
            ran.model = line.model;
            ran.attempts.insert(line.attempt, (line.spans, line.how));
        }
    }
    Ok(requests)
}

impl Ran {
    /// Puts together the whole answer that ended with the last attempt that ran to its end.
    pub fn whole(&self) -> Option<Whole> {
        let ended = |how: &str| how == "stop" || how == "length";
        let (last, (spans, _)) = self.attempts.iter().rev().find(|(_, (_, how))| ended(how))?;
        let mut spans = spans.clone();
        let mut from = spans.first()?.0;
        for (earlier, _) in self.attempts.range(..last).rev().map(|(_, attempt)| attempt) {
            if from == 0 {
                break;
            }
            let mut kept = clip(earlier, from);
            if kept.last().is_some_and(|span| span.1 == from) {
                from = kept[0].0;
                kept.extend(spans);
                spans = kept;
            }
        }
        Some(Whole { model: self.model.clone(), from, spans: join(&spans) })
    }
}

/// Keeps what lies before token `end`.
fn clip(spans: &[Span], end: u32) -> Vec<Span> {
    let before = spans.iter().filter(|span| span.0 < end);
    before.map(|span| (span.0, span.1.min(end), span.2)).collect()
}

/// Joins adjacent runs of one version.
pub fn join(spans: &[Span]) -> Vec<Span> {
    let mut joined: Vec<Span> = Vec::new();
    for span in spans {
        match joined.last_mut() {
            Some(last) if last.1 == span.0 && last.2 == span.2 => last.1 = span.1,
            _ => joined.push(*span),
        }
    }
    joined
}

/// Gives the runs of an answer; none if the version of a token is not known.
pub fn known(spans: &[SpanLine]) -> Option<Vec<Span>> {
    let spans: Option<Vec<Span>> =
        spans.iter().map(|span| Some((span.from, span.to, span.version?))).collect();
    Some(join(&spans?))
}

/// Keeps what lies at and after token `from`.
pub fn tail(spans: &[Span], from: u32) -> Vec<Span> {
    let after = spans.iter().filter(|span| span.1 > from);
    after.map(|span| (span.0.max(from), span.1, span.2)).collect()
}
