//! The JSON messages of an engine's HTTP interface (docs/STANDINS.md).

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// The request `POST /v1/completions`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Completion {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Text that was generated earlier and is continued.
    pub prefix: String,
    /// Maximum number of tokens, including those of `prefix`.
    pub max_tokens: u32,
    /// The sampling seed.
    pub seed: u64,
    /// The sampling temperature.
    pub temperature: f64,
    /// Whether log-probabilities are requested.
    pub logprobs: bool,
    /// Identifies the request in the records and for `/cancel`.
    pub request: String,
    /// The attempt of the request.
    pub attempt: u32,
}

/// One chunk of a streamed completion.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Chunk {
    /// The text of the tokens.
    pub text: String,
    /// The number of tokens.
    pub count: u32,
    /// The weight version that generated them.
    pub version: u64,
    /// Their log-probabilities, if requested.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub logprobs: Vec<f32>,
}

/// The last event of a streamed completion.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Last {
    /// `stop`, `length` or `cancelled`.
    pub finish_reason: String,
    /// The number of tokens generated, excluding those of the prefix.
    pub tokens: u32,
}

/// The request `POST /weights`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Weights {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// The source as `http://address` of a store or of an engine that has the version; empty to
    /// fetch nothing.
    pub source: String,
    /// The fencing number of the order.
    pub fence: u64,
}

/// The request `POST /role`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Role {
    /// The role, as the engine names it.
    pub role: String,
    /// The fencing number of the order.
    pub fence: u64,
}

/// The request `POST /cancel`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Cancel {
    /// The request.
    pub request: String,
    /// The attempt.
    pub attempt: u32,
}

/// The response to `POST /cancel`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Cancelled {
    /// Whether the request was queued or running and has been stopped.
    pub stopped: bool,
}

/// The response to `GET /load`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Load {
    /// Completions running.
    pub running: u32,
    /// Completions waiting.
    pub waiting: u32,
    /// Tokens per second, averaged over the last seconds.
    pub rate: u32,
    /// Cache memory in use, in thousandths.
    pub memory: u32,
    /// Prefill capacity in use, in thousandths.
    pub prefill: u32,
    /// Transfer link in use, in thousandths.
    pub link: u32,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Prefix hashes that were inserted into the cache since the last request.
    pub cached: Vec<u64>,
    /// Prefix hashes that were evicted from it since then.
    pub evicted: Vec<u64>,
    /// The version in use of each model.
    pub versions: BTreeMap<String, u64>,
}

/// The response to `GET /health`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Health {
    /// Identifies the start of the engine, so that a restart is detected.
    pub instance: String,
    /// The version in use of each model.
    pub models: BTreeMap<String, u64>,
    /// Whether the engine can serve.
    pub healthy: bool,
    /// The URL from which other engines fetch weights; `None` if the engine does not serve them.
    pub gives: Option<String>,
}

/// The request `POST /fault`: a fault to inject.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// Connections that are open now receive no further bytes; new ones work.
    Silent,
    /// The next swap reports an error, and the old version stays in use.
    SwapFail,
    /// The next swap reports success, but the old version stays in use.
    SwapLost,
    /// The next swap reports an error, but the new version is in use.
    SwapTorn,
    /// The next swap gets no response and changes nothing; later ones work.
    SwapSilent,
    /// The engine crashes now.
    Crash,
    /// The engine reports itself as unhealthy, or as healthy again.
    Unhealthy {
        /// Whether it reports itself as unhealthy.
        on: bool,
    },
    /// Tokens take longer by a factor.
    Slow {
        /// The factor.
        times: u64,
    },
}
