//! Samples, as trainers receive them.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Group;
use crate::ids::SampleNo;
use crate::ids::Step;
use crate::ids::Version;

/// A contiguous range of tokens that one weight version produced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Span {
    /// The index of the first token.
    pub from: u32,
    /// The index after the last token.
    pub to: u32,
    /// The version, as the engine reported it with the tokens.
    pub version: Version,
}

impl Span {
    /// Returns the oldest version that produced any of the tokens.
    pub fn oldest(spans: &[Self]) -> Option<Version> {
        spans.iter().map(|span| span.version).min()
    }

    /// Returns whether the spans cover `tokens` tokens in order, without gaps or overlaps.
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
    /// Which version produced which tokens. The spans cover all tokens without gaps or overlaps.
    pub spans: Vec<Span>,
    /// Log-probabilities, one per token; empty if an engine did not provide them.
    pub logprobs: Vec<f32>,
    /// The number of attempts that were needed.
    pub attempts: u32,
    /// The score from the scoring service, if the template specifies one.
    pub score: Option<f64>,
    /// Milliseconds from the start of the step to the completion of the sample.
    pub age_ms: u64,
}

impl Sample {
    /// Returns the oldest version that produced any of the tokens.
    pub fn oldest(&self) -> Option<Version> {
        Span::oldest(&self.spans)
    }

    /// Returns whether the spans cover all tokens without gaps or overlaps.
    pub fn is_attributed(&self) -> bool {
        Span::cover(&self.spans, self.tokens)
    }
}
