//! Answers of a process's HTTP server.

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use chicoryford_types::Failure;
use futures_util::Stream;
use serde::Serialize;

/// An answer.
pub type Reply = Response<BoxBody>;

/// Media type of MessagePack bodies.
pub const MSGPACK: &str = "application/msgpack";
/// Media type of JSON bodies.
pub const JSON: &str = "application/json";
/// Media type of server-sent events.
pub const EVENTS: &str = "text/event-stream";

/// Answers with a body of the given media type.
pub fn bytes(status: u16, media: &str, body: impl Into<Bytes>) -> Reply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = Response::with_body(status, BoxBody::new(body.into()));
    if let Ok(value) = HeaderValue::from_str(media) {
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    reply
}

/// Answers with JSON.
pub fn json<T: Serialize + ?Sized>(status: u16, body: &T) -> Reply {
    bytes(status, JSON, serde_json::to_vec(body).expect("answers are plain data"))
}

/// Answers with MessagePack.
pub fn msgpack<T: Serialize + ?Sized>(body: &T) -> Reply {
    bytes(200, MSGPACK, rmp_serde::to_vec_named(body).expect("answers are plain data"))
}

/// Answers a process with a failure; its client gets it as `CallError::Failure`.
pub fn peer_failure(failure: &Failure) -> Reply {
    let body = rmp_serde::to_vec_named(failure).expect("failures are plain data");
    let mut reply = bytes(failure.code.status(), MSGPACK, body);
    retry_header(&mut reply, failure);
    reply
}

/// Answers a caller or operator with a failure, in the shape that completions clients read:
/// `{"error": {"code", "outcome", "message", "retry_ms"}}`.
pub fn failure(failure: &Failure) -> Reply {
    let mut reply = json(failure.code.status(), &failure_json(failure));
    retry_header(&mut reply, failure);
    reply
}

/// Gives a failure in the shape that completions clients read.
pub fn failure_json(failure: &Failure) -> serde_json::Value {
    serde_json::json!({"error": {
        "type": "chicoryford",
        "code": failure.code,
        "outcome": failure.outcome,
        "message": failure.detail,
        "retry_ms": failure.retry_ms,
    }})
}

/// Answers with a stream whose length is not known beforehand.
pub fn stream<S, E>(media: &'static str, body: S) -> Reply
where
    S: Stream<Item = Result<Bytes, E>> + 'static,
    E: Into<Box<dyn std::error::Error>> + 'static,
{
    let mut reply = Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(body)));
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
    reply
}

fn retry_header(reply: &mut Reply, failure: &Failure) {
    if let Some(ms) = failure.retry_ms {
        let value = HeaderValue::from(ms.div_ceil(1_000));
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
