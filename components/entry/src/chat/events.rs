//! Streamed responses as server-sent events.
//!
//! A stream that ends without `[DONE]` is incomplete. A failure during the stream is sent as an
//! event with an `error` object, after which the stream ends.

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

struct EventStream {
    head: ResponseHead,
    generation: GenerationStream,
    first: Option<Piece>,
    ended: bool,
}

/// Streams a response whose first piece has been received already.
pub fn events(
    head: ResponseHead,
    generation: GenerationStream,
    first: Piece,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let events = EventStream { head, generation, first: Some(first), ended: false };
    stream::unfold(events, |mut events| async move {
        if events.ended {
            return None;
        }
        let bytes = events.next().await;
        Some((Ok(bytes), events))
    })
}

impl EventStream {
    async fn next(&mut self) -> Bytes {
        let piece = match self.first.take() {
            Some(piece) => Ok(piece),
            None => self.generation.next().await,
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
        last["usage"] = response::usage(&self.generation);
        last["chicoryford"] = response::extension(&self.generation);
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
