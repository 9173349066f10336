//! The adapter to the protocol of the engines, which docs/STANDINS.md describes. To support an
//! engine with another protocol, only another adapter like this is needed.

use std::collections::BTreeMap;
use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use bytes::BytesMut;
use chicoryford_kernel::run_time;
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

/// The timeout of short requests to the engine.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of loading a version, during which the engine fetches the weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// The maximum size of one event of a stream.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// The health that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Health {
    /// A random identifier that changes at each start of the engine.
    pub instance: String,
    /// The version in use of each model.
    pub models: BTreeMap<Model, Version>,
    /// Whether it can serve.
    pub healthy: bool,
    /// The address at which it serves its weights to other engines; `None` if it does not.
    #[serde(rename = "gives")]
    pub weights_address: Option<String>,
}

/// The load that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Running completions.
    pub running: u32,
    /// Completions queued in the engine.
    pub waiting: u32,
    /// Generated tokens per second.
    pub rate: u32,
    /// Cache memory in use, in thousandths.
    pub memory: u32,
    /// Prefill capacity in use, in thousandths.
    pub prefill: u32,
    /// Transfer link in use, in thousandths.
    pub link: u32,
    /// The age of these figures, in milliseconds.
    pub age_ms: u64,
    /// Hashes of the prefixes added to the cache since the last request.
    pub cached: Vec<u64>,
    /// Hashes of the prefixes evicted from the cache since the last request.
    pub evicted: Vec<u64>,
    /// The version in use of each model.
    pub versions: BTreeMap<Model, Version>,
}

/// A part of a completion.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// A chunk of tokens.
    Tokens(Tokens),
    /// The explicit end of the completion.
    Last {
        /// The number of tokens according to the engine.
        tokens: u32,
        /// The reason for the end.
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

/// The request body of a completion. It borrows the prompt, which can be long.
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

/// Why a call to an engine or a service failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EngineError {
    /// No byte reached the engine.
    #[error("the engine was not reached: {0}")]
    NotReached(String),
    /// The engine refused the request before it did anything.
    #[error("the engine refused with status {0}: {1}")]
    Refused(u16, String),
    /// The connection broke, or the response is invalid; the engine may have started.
    #[error("the connection to the engine broke: {0}")]
    Broken(String),
}

impl EngineError {
    pub(crate) fn from_call_error(error: CallError) -> Self {
        match error {
            CallError::NotSent { .. } => Self::NotReached(error.to_string()),
            CallError::Lost { .. } | CallError::Failure(_) => Self::Broken(error.to_string()),
        }
    }
}

/// The response stream of a completion.
pub struct CompletionStream {
    stream: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    pending: BytesMut,
    /// Pending bytes without the end of a line.
    scanned: usize,
    /// Bytes since the last event that belong to no event.
    skipped: usize,
}

/// Starts a completion.
///
/// # Errors
///
/// [`EngineError`], whose variant shows whether the engine can have started.
pub async fn generate(
    client: &Client,
    address: &str,
    work: &Work,
    task: &Generation,
) -> Result<CompletionStream, EngineError> {
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
    let mut response =
        sent.map_err(|error| EngineError::from_call_error(send_error(&url, &error)))?;
    let status = response.status().as_u16();
    if status >= 400 {
        let body = response.body().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        return Err(status_error(status, text));
    }
    Ok(CompletionStream {
        stream: response.boxed_local(),
        pending: BytesMut::new(),
        scanned: 0,
        skipped: 0,
    })
}

impl CompletionStream {
    /// Waits for the next part. Returns `None` if the stream ended without the explicit end.
    ///
    /// # Errors
    ///
    /// [`EngineError::Broken`].
    pub async fn next(&mut self) -> Result<Option<Part>, EngineError> {
        loop {
            if let Some(line) = self.take_event()? {
                return Ok(Some(parse_part(&line)?));
            }
            match self.stream.next().await {
                Some(Ok(chunk)) => self.pending.extend_from_slice(&chunk),
                Some(Err(error)) => return Err(EngineError::Broken(error.to_string())),
                None => return Ok(None),
            }
        }
    }

    /// Removes the data of the next complete event from the buffer.
    fn take_event(&mut self) -> Result<Option<BytesMut>, EngineError> {
        let line_end = |pending: &[u8], from: usize| {
            pending[from..].iter().position(|byte| *byte == b'\n').map(|end| from + end)
        };
        while let Some(end) = line_end(&self.pending, self.scanned) {
            let line = self.pending.split_to(end + 1);
            self.scanned = 0;
            if let Some(data) = line.strip_prefix(b"data:") {
                self.skipped = 0;
                return Ok(Some(BytesMut::from(data)));
            }
            self.skipped += line.len();
        }
        self.scanned = self.pending.len();
        if self.pending.len() + self.skipped > MAX_EVENT_BYTES {
            return Err(EngineError::Broken("an event exceeds the size limit".to_owned()));
        }
        Ok(None)
    }
}

/// Stops a completion. Returns whether it was running; in either case it no longer runs when this
/// returns.
///
/// # Errors
///
/// [`EngineError`]; it is then unknown whether the completion runs.
pub async fn cancel(client: &Client, address: &str, work: &Work) -> Result<bool, EngineError> {
    let body = json!({ "request": work.request.to_string(), "attempt": work.attempt });
    let reply: Cancelled = post(client, address, "/cancel", &body, SHORT_TIMEOUT).await?;
    Ok(reply.stopped)
}

/// Requests the engine's health.
///
/// # Errors
///
/// [`EngineError`].
pub async fn health(client: &Client, address: &str) -> Result<Health, EngineError> {
    get(client, address, "/health").await
}

/// Requests the engine's load.
///
/// # Errors
///
/// [`EngineError`].
pub async fn load(client: &Client, address: &str) -> Result<Load, EngineError> {
    get(client, address, "/load").await
}

/// Orders the engine to load a version. The reported success is not reliable; check the version
/// with [`health`] afterwards.
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
    let _: serde_json::Value = post(client, address, "/weights", &body, LOAD_TIMEOUT).await?;
    Ok(())
}

/// Orders the engine to change its role.
///
/// # Errors
///
/// [`EngineError`].
pub async fn set_role(
    client: &Client,
    address: &str,
    role: &str,
    fence: u64,
) -> Result<(), EngineError> {
    let body = json!({ "role": role, "fence": fence });
    let _: serde_json::Value = post(client, address, "/role", &body, SHORT_TIMEOUT).await?;
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
        let response =
            sent.map_err(|error| EngineError::from_call_error(send_error(&url, &error)))?;
        read_response(response).await
    };
    with_timeout(SHORT_TIMEOUT, exchange).await
}

async fn post<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    request: &Q,
    timeout: Duration,
) -> Result<A, EngineError> {
    let url = client.url(address, path);
    let exchange = async {
        let sent = client.post(&url).send_json(request).await;
        let response =
            sent.map_err(|error| EngineError::from_call_error(send_error(&url, &error)))?;
        read_response(response).await
    };
    with_timeout(timeout, exchange).await
}

async fn with_timeout<A>(
    timeout: Duration,
    exchange: impl Future<Output = Result<A, EngineError>>,
) -> Result<A, EngineError> {
    let broken = |_| Err(EngineError::Broken("timeout".to_owned()));
    run_time::timeout(timeout, exchange).await.unwrap_or_else(broken)
}

/// Reads a response to its end and parses it.
async fn read_response<A, S>(mut response: awc::ClientResponse<S>) -> Result<A, EngineError>
where
    A: DeserializeOwned,
    S: futures_util::Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let broken = |detail: String| EngineError::Broken(detail);
    let status = response.status().as_u16();
    let body = response.body().await.map_err(|error| broken(error.to_string()))?;
    if status >= 400 {
        return Err(status_error(status, String::from_utf8_lossy(&body).into_owned()));
    }
    serde_json::from_slice(&body).map_err(|error| broken(error.to_string()))
}

/// Converts an error status. A status below 500, or 503, means that the engine did not start; any
/// other may be sent after it started.
fn status_error(status: u16, text: String) -> EngineError {
    if status < 500 || status == 503 {
        return EngineError::Refused(status, text);
    }
    EngineError::Broken(format!("status {status}: {text}"))
}

fn parse_part(line: &[u8]) -> Result<Part, EngineError> {
    let event = serde_json::from_slice(line).map_err(|e| EngineError::Broken(e.to_string()))?;
    Ok(match event {
        Event::Last { finish_reason: reason, tokens } => Part::Last { tokens, reason },
        Event::Chunk { text, count, version, logprobs } => {
            Part::Tokens(Tokens { text, count, version, logprobs })
        }
    })
}
