//! The JSON that an engine takes and gives (docs/STANDINS.md).

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// `POST /v1/completions`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Completion {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Text generated earlier, to be continued.
    pub prefix: String,
    /// Tokens at most, those of `prefix` included.
    pub max_tokens: u32,
    /// The sampling seed.
    pub seed: u64,
    /// The sampling temperature.
    pub temperature: f64,
    /// Whether log-probabilities are wanted.
    pub logprobs: bool,
    /// Names the request, for the record and for `/cancel`.
    pub request: String,
    /// Which try of the request it is.
    pub attempt: u32,
}

/// One chunk of a streamed completion.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Chunk {
    /// The tokens' text.
    pub text: String,
    /// How many tokens.
    pub count: u32,
    /// The weight version that produced them.
    pub version: u64,
    /// Their log-probabilities, if wanted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub logprobs: Vec<f32>,
}

/// The last event of a streamed completion.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Last {
    /// `stop`, `length` or `cancelled`.
    pub finish_reason: String,
    /// Tokens generated, those of the prefix not counted.
    pub tokens: u32,
}

/// `POST /weights`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Weights {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// Where to fetch it: `http://address` of a store or holder; empty to fetch nothing.
    pub source: String,
    /// The fencing number of the order.
    pub fence: u64,
}

/// `POST /role`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Role {
    /// The role, in the engine's words.
    pub role: String,
    /// The fencing number of the order.
    pub fence: u64,
}

/// `POST /cancel`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Cancel {
    /// The request.
    pub request: String,
    /// The attempt.
    pub attempt: u32,
}

/// The answer to `POST /cancel`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Cancelled {
    /// Whether the request waited or ran until now; it does no longer.
    pub stopped: bool,
}

/// The answer to `GET /load`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Load {
    /// Completions running.
    pub running: u32,
    /// Completions waiting.
    pub waiting: u32,
    /// Tokens a second, over the last seconds.
    pub rate: u32,
    /// Cache memory in use, in thousandths.
    pub memory: u32,
    /// Prefill capacity in use, in thousandths.
    pub prefill: u32,
    /// Transfer link in use, in thousandths.
    pub link: u32,
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
    /// Prefix hashes that entered the cache since the last question.
    pub cached: Vec<u64>,
    /// Prefix hashes that left it.
    pub evicted: Vec<u64>,
    /// The version in use of each model.
    pub versions: BTreeMap<String, u64>,
}

/// The answer to `GET /health`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Health {
    /// Drawn anew at each start, so that a restart is noticed.
    pub instance: String,
    /// The version in use of each model.
    pub models: BTreeMap<String, u64>,
    /// Whether the engine can serve.
    pub healthy: bool,
    /// Where it gives its weights to other engines; none if it does not offer that.
    pub gives: Option<String>,
}

/// `POST /fault`: what goes wrong from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// Connections open now never get another byte; new ones work.
    Silent,
    /// The next swap is refused with an error; the old version stays.
    SwapFail,
    /// The next swap reports success, but the old version stays.
    SwapLost,
    /// The next swap reports an error, but the new version is in use.
    SwapTorn,
    /// The next swap is never answered and changes nothing; later ones work.
    SwapSilent,
    /// The engine crashes now.
    Crash,
    /// The engine reports itself unhealthy (`on`) or healthy again.
    Unhealthy {
        /// Whether it is unhealthy.
        on: bool,
    },
    /// Tokens take this many times as long.
    Slow {
        /// The factor.
        times: u64,
    },
}
