//! The adapter to the engines' protocol, which docs/STANDINS.md describes. An engine that speaks
//! another one needs another file like this, and nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use bytes::BytesMut;
use chicoryford_types::Attempt;
use chicoryford_types::Class;
use chicoryford_types::Model;
use chicoryford_types::Version;
use chicoryford_types::Work;
use chicoryford_types::frame::Tokens;
use chicoryford_types::request::Generation;
use chicoryford_wire::CallError;
use chicoryford_wire::Client;
use chicoryford_wire::client::send_error;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Time for a short question to the engine.
const SHORT: Duration = Duration::from_secs(2);
/// Time for the load of a version, which fetches the weights.
const LOAD: Duration = Duration::from_secs(120);
/// Bound on one event of a stream.
const EVENT_BOUND: usize = 4 << 20;

/// What an engine says of its health.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Health {
    /// Drawn anew at each start of the engine.
    pub instance: String,
    /// The version in use of each model.
    pub models: BTreeMap<Model, Version>,
    /// Whether it can serve.
    pub healthy: bool,
    /// Where it gives its weights to other engines; none if it does not offer that.
    pub gives: Option<String>,
}

/// What an engine says of its load.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Completions running.
    pub running: u32,
    /// Completions waiting in the engine.
    pub waiting: u32,
    /// Tokens a second.
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
    pub versions: BTreeMap<Model, Version>,
}

/// A part of a completion.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Some tokens.
    Tokens(Tokens),
    /// The explicit end.
    Last {
        /// The engine's count of tokens.
        tokens: u32,
        /// Why it ended.
        reason: String,
    },
}

/// An event of the engine's stream: a chunk of tokens, or the end.
#[derive(Deserialize)]
#[serde(untagged)]
enum Event {
    Last {
        finish_reason: String,
        tokens: u32,
    },
    Chunk {
        text: String,
        count: u32,
        version: Option<Version>,
        #[serde(default)]
        logprobs: Vec<f32>,
    },
}

/// The body of a completion; it borrows the prompt, which can be long.
#[derive(Serialize)]
struct Completion<'a> {
    model: &'a Model,
    prompt: &'a str,
    prefix: &'a str,
    max_tokens: u32,
    seed: u64,
    temperature: f64,
    logprobs: bool,
    stream: bool,
    priority: Class,
    request: String,
    attempt: Attempt,
}

#[derive(Deserialize)]
struct Cancelled {
    stopped: bool,
}

/// How an attempt to reach the engine failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EngineError {
    /// No byte reached the engine.
    #[error("the engine was not reached: {0}")]
    NotReached(String),
    /// The engine refused by its own word, before it did anything.
    #[error("the engine refused with status {0}: {1}")]
    Refused(u16, String),
    /// The connection broke, or what came makes no sense.
    #[error("the connection to the engine broke: {0}")]
    Broken(String),
}

impl EngineError {
    pub(crate) fn of(error: CallError) -> Self {
        match error {
            CallError::NotSent { .. } => Self::NotReached(error.to_string()),
            CallError::Lost { .. } | CallError::Failure(_) => Self::Broken(error.to_string()),
        }
    }
}

/// A completion on its way.
pub struct Chunks {
    stream: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    pending: BytesMut,
}

/// Starts a completion.
///
/// # Errors
///
/// [`EngineError`], which tells whether the engine can have begun.
pub async fn generate(
    client: &Client,
    address: &str,
    work: &Work,
    task: &Generation,
) -> Result<Chunks, EngineError> {
    let url = client.url(address, "/v1/completions");
    let body = Completion {
        model: &work.model,
        prompt: &task.prompt,
        prefix: &task.prefix,
        max_tokens: task.max_tokens,
        seed: task.seed,
        temperature: f64::from(task.temperature) / 1_000.0,
        logprobs: task.logprobs,
        stream: true,
        priority: work.class,
        request: work.request.to_string(),
        attempt: work.attempt,
    };
    let sent = client.post(&url).send_json(&body).await;
    let mut response = sent.map_err(|error| EngineError::of(send_error(&url, &error)))?;
    let status = response.status().as_u16();
    if status >= 400 {
        let body = response.body().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        return Err(refusal(status, text));
    }
    Ok(Chunks { stream: response.boxed_local(), pending: BytesMut::new() })
}

impl Chunks {
    /// Waits for the next part; none when the stream ended without its explicit end.
    ///
    /// # Errors
    ///
    /// [`EngineError::Broken`].
    pub async fn next(&mut self) -> Result<Option<Part>, EngineError> {
        loop {
            if let Some(line) = self.line()? {
                return Ok(Some(read(&line)?));
            }
            match self.stream.next().await {
                Some(Ok(chunk)) => self.pending.extend_from_slice(&chunk),
                Some(Err(error)) => return Err(EngineError::Broken(error.to_string())),
                None => return Ok(None),
            }
        }
    }

    /// Takes the data of the next whole event.
    fn line(&mut self) -> Result<Option<BytesMut>, EngineError> {
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line = self.pending.split_to(end + 1);
            if let Some(data) = line.strip_prefix(b"data:") {
                return Ok(Some(BytesMut::from(data)));
            }
        }
        if self.pending.len() > EVENT_BOUND {
            return Err(EngineError::Broken("an event exceeds the bound".to_owned()));
        }
        Ok(None)
    }
}

/// Stops a completion, and tells whether it was there to be stopped; either way it does not run
/// when this returns.
///
/// # Errors
///
/// [`EngineError`]; whether it runs is not known then.
pub async fn cancel(client: &Client, address: &str, work: &Work) -> Result<bool, EngineError> {
    let body = json!({ "request": work.request.to_string(), "attempt": work.attempt });
    let answer: Cancelled = post(client, address, "/cancel", &body, SHORT).await?;
    Ok(answer.stopped)
}

/// Asks for the engine's health.
///
/// # Errors
///
/// [`EngineError`].
pub async fn health(client: &Client, address: &str) -> Result<Health, EngineError> {
    get(client, address, "/health").await
}

/// Asks for the engine's load.
///
/// # Errors
///
/// [`EngineError`].
pub async fn load(client: &Client, address: &str) -> Result<Load, EngineError> {
    get(client, address, "/load").await
}

/// Tells the engine to load a version. Its success is not to be trusted; ask [`health`] after.
///
/// # Errors
///
/// [`EngineError`].
pub async fn load_weights(
    client: &Client,
    address: &str,
    model: &Model,
    version: Version,
    source: &str,
    fence: u64,
) -> Result<(), EngineError> {
    let body = json!({ "model": model, "version": version, "source": source, "fence": fence });
    let _: serde_json::Value = post(client, address, "/weights", &body, LOAD).await?;
    Ok(())
}

/// Tells the engine to change its role.
///
/// # Errors
///
/// [`EngineError`].
pub async fn role(
    client: &Client,
    address: &str,
    role: &str,
    fence: u64,
) -> Result<(), EngineError> {
    let body = json!({ "role": role, "fence": fence });
    let _: serde_json::Value = post(client, address, "/role", &body, SHORT).await?;
    Ok(())
}

async fn get<A: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
) -> Result<A, EngineError> {
    let url = client.url(address, path);
    let exchange = async {
        let sent = client.get(&url).send().await;
        let response = sent.map_err(|error| EngineError::of(send_error(&url, &error)))?;
        whole(response).await
    };
    within(SHORT, exchange).await
}

async fn post<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    question: &Q,
    timeout: Duration,
) -> Result<A, EngineError> {
    let url = client.url(address, path);
    let exchange = async {
        let sent = client.post(&url).send_json(question).await;
        let response = sent.map_err(|error| EngineError::of(send_error(&url, &error)))?;
        whole(response).await
    };
    within(timeout, exchange).await
}

async fn within<A>(
    timeout: Duration,
    exchange: impl Future<Output = Result<A, EngineError>>,
) -> Result<A, EngineError> {
    let broken = |_| Err(EngineError::Broken("timeout".to_owned()));
    actix_rt::time::timeout(timeout, exchange).await.unwrap_or_else(broken)
}

async fn whole<A, S>(mut response: awc::ClientResponse<S>) -> Result<A, EngineError>
where
    A: DeserializeOwned,
    S: futures_util::Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let broken = |detail: String| EngineError::Broken(detail);
    let status = response.status().as_u16();
    let body = response.body().await.map_err(|error| broken(error.to_string()))?;
    if status >= 400 {
        return Err(refusal(status, String::from_utf8_lossy(&body).into_owned()));
    }
    serde_json::from_slice(&body).map_err(|error| broken(error.to_string()))
}

/// An engine's status below 500, and 503, say that it did not begin; any other may come late.
fn refusal(status: u16, text: String) -> EngineError {
    if status < 500 || status == 503 {
        return EngineError::Refused(status, text);
    }
    EngineError::Broken(format!("status {status}: {text}"))
}

fn read(line: &[u8]) -> Result<Part, EngineError> {
    let event = serde_json::from_slice(line).map_err(|e| EngineError::Broken(e.to_string()))?;
    Ok(match event {
        Event::Last { finish_reason: reason, tokens } => Part::Last { tokens, reason },
        Event::Chunk { text, count, version, logprobs } => {
            Part::Tokens(Tokens { text, count, version, logprobs })
        }
    })
}
