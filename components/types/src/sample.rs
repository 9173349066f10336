//! Samples as trainers receive them.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Group;
use crate::ids::SampleNo;
use crate::ids::Step;
use crate::ids::Version;

/// A run of tokens that one weight version produced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Span {
    /// The first token of the run, counted from zero.
    pub from: u32,
    /// The token after the last.
    pub to: u32,
    /// The version, as the engine reported it with the tokens.
    pub version: Version,
}

impl Span {
    /// Gives the oldest version that produced any of the tokens.
    pub fn oldest(spans: &[Self]) -> Option<Version> {
        spans.iter().map(|span| span.version).min()
    }

    /// Tells whether the spans name a version for each of `tokens`, without gap or overlap.
    pub fn cover(spans: &[Self], tokens: u32) -> bool {
        let mut next = 0;
        for span in spans {
            if span.from != next || span.to <= span.from {
                return false;
            }
            next = span.to;
        }
        next == tokens
    }
}

/// A finished sample.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Sample {
    /// The step it belongs to.
    pub step: Step,
    /// The group it belongs to.
    pub group: Group,
    /// Its number within the group.
    pub number: SampleNo,
    /// The generated text.
    pub text: String,
    /// How many tokens the text has.
    pub tokens: u32,
    /// Which versions produced which tokens; the spans cover all tokens without gap or overlap.
    pub spans: Vec<Span>,
    /// Log-probabilities, one a token, or none if an engine did not give them.
    pub logprobs: Vec<f32>,
    /// How many attempts it took.
    pub attempts: u32,
    /// The scoring service's score, where the template asks for one.
    pub score: Option<f64>,
    /// Milliseconds from the opening of the step to the end of the sample.
    pub age_ms: u64,
}

impl Sample {
    /// Gives the oldest version that produced any of the tokens.
    pub fn oldest(&self) -> Option<Version> {
        Span::oldest(&self.spans)
    }

    /// Tells whether the spans cover all tokens without gap or overlap.
    pub fn is_attributed(&self) -> bool {
        Span::cover(&self.spans, self.tokens)
    }
}
