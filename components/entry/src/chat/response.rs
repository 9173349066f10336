//! Complete responses, and the parts that they share with streamed ones.

use chicoryford_types::Model;
use serde_json::Value;
use serde_json::json;

use crate::chat::body::ApiKind;
use crate::run::GenerationStream;

/// Fields that are equal in all chunks of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The API of the request.
    pub kind: ApiKind,
    /// The identifier of the response.
    pub id: String,
    /// Creation time in Unix seconds.
    pub created: u64,
    /// The model.
    pub model: Model,
}

impl ResponseHead {
    /// Creates the head of a response to `generation`.
    pub fn new(kind: ApiKind, generation: &GenerationStream) -> Self {
        let job = generation.job();
        let prefix = if kind == ApiKind::Chat { "chatcmpl" } else { "cmpl" };
        Self {
            kind,
            id: format!("{prefix}-{}", job.request),
            created: chicoryford_kernel::unix().0 / 1_000,
            model: job.model.clone(),
        }
    }

    /// Builds a response or a chunk with one choice.
    pub fn object(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

/// Returns the usage object. The number of prompt tokens is reported as zero, because it is
/// unknown: only the engine has the tokenizer.
pub fn usage(generation: &GenerationStream) -> Value {
    let tokens = generation.output.tokens;
    json!({"prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens})
}

/// Returns the extension object with the versions that produced the response. A version that the
/// engine did not report is null; it is never guessed.
pub fn extension(generation: &GenerationStream) -> Value {
    let job = generation.job();
    json!({
        "request": job.request.to_string(),
        "spans": generation.output.runs,
        "attempts": job.attempt,
    })
}

/// Returns the complete response.
pub fn complete(head: &ResponseHead, generation: &GenerationStream, reason: &str) -> Value {
    let text = &generation.output.text;
    let logprobs = logprobs(&generation.output.logprobs);
    let (object, choice) = match head.kind {
        ApiKind::Chat => {
            let message = json!({"role": "assistant", "content": text});
            let choice = json!({
                "index": 0, "message": message, "logprobs": logprobs, "finish_reason": reason,
            });
            ("chat.completion", choice)
        }
        ApiKind::Text => {
            let choice = json!({
                "index": 0, "text": text, "logprobs": logprobs, "finish_reason": reason,
            });
            ("text_completion", choice)
        }
    };
    let mut response = head.object(object, choice);
    response["usage"] = usage(generation);
    response["chicoryford"] = extension(generation);
    response
}

/// Returns the log-probabilities, or null if there are none.
pub fn logprobs(logprobs: &[f32]) -> Value {
    if logprobs.is_empty() { Value::Null } else { json!({"token_logprobs": logprobs}) }
}
