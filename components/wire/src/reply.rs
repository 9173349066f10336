//! Replies of the HTTP server of a process.

use actix_http::ConnectionType;
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

/// A reply.
pub type Reply = Response<BoxBody>;

/// The media type of MessagePack bodies.
pub const MSGPACK: &str = "application/msgpack";
/// The media type of JSON bodies.
pub const JSON: &str = "application/json";
/// The media type of server-sent events.
pub const EVENTS: &str = "text/event-stream";

/// Builds a reply with a body of the given media type.
pub fn bytes(status: u16, media: &str, body: impl Into<Bytes>) -> Reply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = Response::with_body(status, BoxBody::new(body.into()));
    if let Ok(value) = HeaderValue::from_str(media) {
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    reply
}

/// Builds a JSON reply.
pub fn json<T: Serialize + ?Sized>(status: u16, body: &T) -> Reply {
    bytes(status, JSON, serde_json::to_vec(body).expect("replies can be serialized"))
}

/// Builds a MessagePack reply.
pub fn msgpack<T: Serialize + ?Sized>(body: &T) -> Reply {
    bytes(200, MSGPACK, rmp_serde::to_vec_named(body).expect("replies can be serialized"))
}

/// Builds a failure reply to a process, whose client returns it as `CallError::Failure`.
pub fn peer_failure(failure: &Failure) -> Reply {
    let body = rmp_serde::to_vec_named(failure).expect("failures can be serialized");
    let mut reply = bytes(failure.code.status(), MSGPACK, body);
    set_retry_after(&mut reply, failure);
    reply
}

/// Builds a failure reply to a caller or operator, in the format of the completions API:
/// `{"error": {"code", "outcome", "message", "retry_ms"}}`.
pub fn failure(failure: &Failure) -> Reply {
    let mut reply = json(failure.code.status(), &failure_json(failure));
    set_retry_after(&mut reply, failure);
    reply
}

/// Returns a failure in the format of the completions API.
pub fn failure_json(failure: &Failure) -> serde_json::Value {
    serde_json::json!({"error": {
        "type": "chicoryford",
        "code": failure.code,
        "outcome": failure.outcome,
        "message": failure.detail,
        "retry_ms": failure.retry_ms,
    }})
}

/// Builds a reply with a stream of unknown length.
pub fn stream<S, E>(media: &'static str, body: S) -> Reply
where
    S: Stream<Item = Result<Bytes, E>> + 'static,
    E: Into<Box<dyn std::error::Error>> + 'static,
{
    let mut reply = Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(body)));
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
    reply
}

fn set_retry_after(reply: &mut Reply, failure: &Failure) {
    if let Some(ms) = failure.retry_ms {
        let value = HeaderValue::from(ms.div_ceil(1_000));
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Closes the connection after the reply.
pub(crate) fn close(mut reply: Reply) -> Reply {
    reply.head_mut().set_connection_type(ConnectionType::Close);
    reply
}
