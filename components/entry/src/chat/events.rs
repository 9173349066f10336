//! The streamed answer, as server-sent events.
//!
//! A stream that ends without `[DONE]` is not a whole answer; a failure on the way is an event
//! with an `error` object, after which the stream ends.

use std::convert::Infallible;

use bytes::Bytes;
use chicoryford_types::frame::Tokens;
use chicoryford_wire::reply;
use futures_util::Stream;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;

use crate::chat::body::ApiKind;
use crate::chat::response;
use crate::chat::response::ResponseHead;
use crate::run::GenerationStream;
use crate::run::Piece;

struct Streaming {
    head: ResponseHead,
    generating: GenerationStream,
    first: Option<Piece>,
    ended: bool,
}

/// Streams an answer whose first piece is there already.
pub fn events(
    head: ResponseHead,
    generating: GenerationStream,
    first: Piece,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let streaming = Streaming { head, generating, first: Some(first), ended: false };
    stream::unfold(streaming, |mut streaming| async move {
        if streaming.ended {
            return None;
        }
        let bytes = streaming.next().await;
        Some((Ok(bytes), streaming))
    })
}

impl Streaming {
    async fn next(&mut self) -> Bytes {
        let piece = match self.first.take() {
            Some(piece) => Ok(piece),
            None => self.generating.next().await,
        };
        match piece {
            Ok(Piece::Tokens(tokens)) => event(&self.chunk(&tokens)),
            Ok(Piece::Finished(reason)) => {
                self.ended = true;
                let last = event(&self.last(&reason));
                Bytes::from([&last[..], b"data: [DONE]\n\n"].concat())
            }
            Err(failure) => {
                self.ended = true;
                event(&reply::failure_json(&failure))
            }
        }
    }

    fn chunk(&self, tokens: &Tokens) -> Value {
        let logprobs = response::logprobs(&tokens.logprobs);
        self.object(json!({"content": tokens.text}), &tokens.text, logprobs, Value::Null)
    }

    fn last(&self, reason: &str) -> Value {
        let mut last = self.object(json!({}), "", Value::Null, json!(reason));
        last["usage"] = response::usage(&self.generating);
        last["chicoryford"] = response::extension(&self.generating);
        last
    }

    fn object(&self, delta: Value, text: &str, logprobs: Value, reason: Value) -> Value {
        let (object, choice) = match self.head.kind {
            ApiKind::Chat => {
                let choice = json!({
                    "index": 0, "delta": delta, "logprobs": logprobs, "finish_reason": reason,
                });
                ("chat.completion.chunk", choice)
            }
            ApiKind::Text => {
                let choice = json!({
                    "index": 0, "text": text, "logprobs": logprobs, "finish_reason": reason,
                });
                ("text_completion", choice)
            }
        };
        self.head.object(object, choice)
    }
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}
