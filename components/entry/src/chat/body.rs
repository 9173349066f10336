//! Parses the request bodies of generations. Unknown fields are ignored, so that existing clients
//! work unchanged.

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Model;
use chicoryford_types::request::Generation;
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

/// Maximum number of tokens of an answer if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// Temperature in thousandths if the request sets none.
const DEFAULT_TEMPERATURE: u32 = 1_000;
/// Maximum temperature.
const MAX_TEMPERATURE: f64 = 2.0;

/// The API that a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApiKind {
    /// Chat completions: messages to a message.
    Chat,
    /// Text completions: a prompt to text.
    Text,
}

/// The request body of a generation.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Body {
    /// The model.
    pub model: Model,
    /// The messages of a chat completion.
    pub messages: Vec<Message>,
    /// The prompt of a text completion.
    pub prompt: Option<Value>,
    /// Maximum number of tokens.
    pub max_tokens: Option<u32>,
    /// Maximum number of tokens, under its newer name.
    pub max_completion_tokens: Option<u32>,
    /// The sampling seed.
    pub seed: Option<u64>,
    /// The sampling temperature.
    pub temperature: Option<f64>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether log-probabilities are requested: `true`, or a count as text completions clients send
    /// it.
    pub logprobs: Option<Value>,
    /// Number of requested answers; only one is supported.
    pub n: Option<u32>,
}

/// A message of a chat.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Message {
    /// The author of the message.
    pub role: String,
    /// The content: text, or a list of parts of type `text`.
    pub content: Value,
}

/// Builds the generation that a body requests, with at most `bound` tokens.
///
/// # Errors
///
/// Returns a failure with [`Code::BadRequest`] that names the field.
pub fn generation(kind: ApiKind, body: &Body, bound: u32) -> Result<Generation, Failure> {
    if body.n.is_some_and(|n| n != 1) {
        return Err(malformed("n must be 1"));
    }
    let max_tokens = body.max_completion_tokens.or(body.max_tokens);
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(bound));
    if max_tokens == 0 || max_tokens > bound {
        return Err(malformed(&format!("max_tokens must be between 1 and {bound}")));
    }
    let prompt = match kind {
        ApiKind::Chat => chat_prompt(&body.messages)?,
        ApiKind::Text => text_prompt(body.prompt.as_ref())?,
    };
    Ok(Generation {
        prompt,
        max_tokens,
        seed: body.seed.unwrap_or_else(|| rand::rng().random()),
        temperature: temperature(body.temperature)?,
        logprobs: wants_logprobs(body.logprobs.as_ref()),
        ..Generation::default()
    })
}

fn malformed(detail: &str) -> Failure {
    Failure::not_run(Code::BadRequest, detail)
}

fn temperature(wanted: Option<f64>) -> Result<u32, Failure> {
    let Some(wanted) = wanted else { return Ok(DEFAULT_TEMPERATURE) };
    if !(0.0..=MAX_TEMPERATURE).contains(&wanted) {
        return Err(malformed("temperature must be between 0 and 2"));
    }
    Ok((wanted * 1_000.0).round() as u32)
}

fn wants_logprobs(wanted: Option<&Value>) -> bool {
    match wanted {
        Some(Value::Bool(wanted)) => *wanted,
        Some(Value::Number(_)) => true,
        _ => false,
    }
}

fn chat_prompt(messages: &[Message]) -> Result<String, Failure> {
    if messages.is_empty() {
        return Err(malformed("messages must not be empty"));
    }
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&text(&message.content)?);
        prompt.push('\n');
    }
    prompt.push_str("assistant: ");
    Ok(prompt)
}

fn text(content: &Value) -> Result<String, Failure> {
    match content {
        Value::String(text) => Ok(text.clone()),
        Value::Array(parts) => {
            let texts = parts.iter().map(|part| part["text"].as_str());
            let texts: Option<Vec<&str>> = texts.collect();
            texts.map(|texts| texts.concat()).ok_or_else(|| malformed("content must be text"))
        }
        Value::Null => Ok(String::new()),
        _ => Err(malformed("content must be text")),
    }
}

fn text_prompt(prompt: Option<&Value>) -> Result<String, Failure> {
    match prompt {
        Some(Value::String(text)) => Ok(text.clone()),
        Some(Value::Array(texts)) if texts.len() == 1 && texts[0].is_string() => {
            Ok(texts[0].as_str().unwrap_or_default().to_owned())
        }
        _ => Err(malformed("prompt must be text or a list with one text")),
    }
}
