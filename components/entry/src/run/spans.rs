//! Tracks which version produced which tokens of an answer, across all its attempts.

use chicoryford_types::Sample;
use chicoryford_types::Span;
use chicoryford_types::Version;
use chicoryford_types::frame::Tokens;
use serde::Serialize;

/// A contiguous range of tokens produced by one version, or by an unknown one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct VersionRun {
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
    /// The version, or `None` if the engine did not report it.
    pub version: Option<Version>,
}

/// Output of a generation so far.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// The text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// The versions by range of tokens.
    pub runs: Vec<VersionRun>,
    /// Log-probabilities, one per token.
    pub logprobs: Vec<f32>,
}

impl Output {
    /// Appends tokens.
    pub fn push(&mut self, tokens: &Tokens) {
        self.text.push_str(&tokens.text);
        self.logprobs.extend_from_slice(&tokens.logprobs);
        if tokens.count == 0 {
            return;
        }
        let from = self.tokens;
        self.tokens += tokens.count;
        let to = self.tokens;
        match self.runs.last_mut() {
            Some(last) if last.version == tokens.version => last.to = to,
            _ => self.runs.push(VersionRun { from, to, version: tokens.version }),
        }
    }

    /// Returns the spans, or `None` if the version of some token is unknown. Such a sample must not
    /// be delivered, because a guessed version would mislead its trainer.
    pub fn spans(&self) -> Option<Vec<Span>> {
        let span = |run: &VersionRun| {
            run.version.map(|version| Span { from: run.from, to: run.to, version })
        };
        let spans: Option<Vec<Span>> = self.runs.iter().map(span).collect();
        let spans = spans?;
        let sample = Sample { spans, tokens: self.tokens, ..Sample::default() };
        if !sample.is_attributed() {
            tracing::error!(event = "promise_broken", promise = "spans cover all tokens");
            return None;
        }
        Some(sample.spans)
    }
}
