//! Which version produced which tokens of an answer, over all its attempts.

use chicoryford_types::Sample;
use chicoryford_types::Span;
use chicoryford_types::Version;
use chicoryford_types::frame::Tokens;
use serde::Serialize;

/// A run of tokens of one version, or of one that the engine did not say.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct VersionRun {
    /// The first token.
    pub from: u32,
    /// The token after the last.
    pub to: u32,
    /// The version; none if the engine did not say.
    pub version: Option<Version>,
}

/// What an answer consists of so far.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// The text.
    pub text: String,
    /// How many tokens it has.
    pub tokens: u32,
    /// The versions by run of tokens.
    pub runs: Vec<VersionRun>,
    /// Log-probabilities, one a token.
    pub logprobs: Vec<f32>,
}

impl Output {
    /// Adds some tokens.
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

    /// Gives the spans, or none if the version of some token is not known: such a sample must
    /// not be delivered, because a guessed version would mislead its trainer.
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
