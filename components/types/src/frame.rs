//! The frames of an agent's answer to an attempt.
//!
//! A stream of frames is complete only if it ends with [`Event::Finished`], whose number of tokens
//! must equal the total of the preceding frames. A stream that ends without it has failed, whatever
//! it contained.

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::LoadReport;
use crate::ids::Attempt;
use crate::ids::RequestId;
use crate::ids::Version;
use crate::outcome::Failure;
use crate::request::StoredAnswer;

/// One frame of an answer. It identifies its attempt, so that a late frame, or a frame of another
/// attempt, can be dropped.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Frame {
    /// The request that the frame answers.
    pub request: RequestId,
    /// The attempt that the frame belongs to.
    pub attempt: Attempt,
    /// The sequence number within the attempt, from zero. A gap means that the stream is broken.
    pub seq: u32,
    /// What happened.
    pub event: Event,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Event {
    /// The agent accepted the attempt. Before this frame, the attempt may still be refused.
    Accepted,
    /// A keep-alive: the attempt is still running. Sent in each second without another frame.
    Alive,
    /// The engine produced tokens.
    Tokens(Tokens),
    /// The complete answer of a plain service.
    Answer(StoredAnswer),
    /// The attempt succeeded.
    Finished(Finish),
    /// The attempt failed.
    Failed(Failure),
}

/// A chunk of generated tokens.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Tokens {
    /// Their text.
    pub text: String,
    /// The number of tokens.
    pub count: u32,
    /// The weight version that produced them, as reported by the engine; `None` if it did not.
    pub version: Option<Version>,
    /// Their log-probabilities, one per token, if the engine provides them.
    pub logprobs: Vec<f32>,
}

/// The explicit end of an answer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Finish {
    /// The number of tokens that this attempt produced, without earlier attempts.
    pub tokens: u32,
    /// Why generation ended, as reported by the engine (`stop` or `length`).
    pub reason: String,
    /// The endpoint's current load, which saves a separate message.
    pub load: Option<LoadReport>,
}
