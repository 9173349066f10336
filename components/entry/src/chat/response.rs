//! The parts that streamed and whole answers have in common, and the whole answer.

use chicoryford_types::Model;
use serde_json::Value;
use serde_json::json;

use crate::chat::body::ApiKind;
use crate::run::GenerationStream;

/// What all parts of one answer name alike.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The kind of the request.
    pub kind: ApiKind,
    /// The answer's identifier.
    pub id: String,
    /// When it began, in Unix seconds.
    pub created: u64,
    /// The model.
    pub model: Model,
}

impl ResponseHead {
    /// Makes the head of an answer to `generating`.
    pub fn new(kind: ApiKind, generating: &GenerationStream) -> Self {
        let job = generating.job();
        let prefix = if kind == ApiKind::Chat { "chatcmpl" } else { "cmpl" };
        Self {
            kind,
            id: format!("{prefix}-{}", job.request),
            created: chicoryford_kernel::unix().0 / 1_000,
            model: job.model.clone(),
        }
    }

    /// Makes an answer or a chunk with one choice.
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

/// Gives the usage in the kind that clients read. The count of the prompt's tokens is not
/// known to the system, because only the engine has its tokenizer.
pub fn usage(generating: &GenerationStream) -> Value {
    let tokens = generating.output.tokens;
    json!({"prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens})
}

/// Gives the extension that names the versions which produced the answer. A version that the
/// engine did not say is null; it is never guessed.
pub fn extension(generating: &GenerationStream) -> Value {
    let job = generating.job();
    json!({
        "request": job.request.to_string(),
        "spans": generating.output.runs,
        "attempts": job.attempt,
    })
}

/// Gives the whole answer.
pub fn complete(head: &ResponseHead, generating: &GenerationStream, reason: &str) -> Value {
    let text = &generating.output.text;
    let logprobs = logprobs(&generating.output.logprobs);
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
    let mut answer = head.object(object, choice);
    answer["usage"] = usage(generating);
    answer["chicoryford"] = extension(generating);
    answer
}

/// Gives log-probabilities, or null if there are none.
pub fn logprobs(logprobs: &[f32]) -> Value {
    if logprobs.is_empty() { Value::Null } else { json!({"token_logprobs": logprobs}) }
}
