//! The frames in which an agent answers an attempt.
//!
//! A stream of frames is complete only with [`Event::Finished`], whose count of tokens must
//! equal the sum of those before it. A stream that ends without it failed, whatever it carried.

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::LoadReport;
use crate::ids::Attempt;
use crate::ids::RequestId;
use crate::ids::Version;
use crate::outcome::Failure;
use crate::request::StoredAnswer;

/// One frame of an answer; it names its attempt, so that a crossed or late frame is dropped.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Frame {
    /// The request that is answered.
    pub request: RequestId,
    /// The attempt that is answered.
    pub attempt: Attempt,
    /// Counts the attempt's frames from zero; a gap means that the stream is broken.
    pub seq: u32,
    /// What happened.
    pub event: Event,
}

/// What a frame tells.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Event {
    /// The agent took the attempt. Until this arrives, the attempt may still be refused.
    Accepted,
    /// Nothing new; the attempt still runs. Sent each second in which nothing else is.
    Alive,
    /// The engine produced tokens.
    Tokens(Tokens),
    /// A plain service answered in full.
    Answer(StoredAnswer),
    /// The attempt ended well.
    Finished(Finish),
    /// The attempt failed.
    Failed(Failure),
}

/// Some tokens of a generation.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Tokens {
    /// Their text.
    pub text: String,
    /// How many there are.
    pub count: u32,
    /// The weight version that the engine says produced them; none if it did not say.
    pub version: Option<Version>,
    /// Their log-probabilities, one a token, if the engine gives them.
    pub logprobs: Vec<f32>,
}

/// The explicit end of an answer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Finish {
    /// The tokens that this attempt produced, earlier attempts not counted.
    pub tokens: u32,
    /// Why generation ended, in the words of the engine (`stop` or `length`).
    pub reason: String,
    /// The endpoint's load just now; spares a message of its own.
    pub load: Option<LoadReport>,
}
