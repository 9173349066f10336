//! Requests, as the handlers of routes receive them.

use std::net::SocketAddr;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use serde::de::DeserializeOwned;

use crate::keys::Identity;

/// A complete request.
#[derive(Debug)]
pub struct Call {
    /// The authenticated sender; `None` only on routes that require no token.
    pub identity: Option<Identity>,
    /// The HTTP method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query, without `?`.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The address of the sender.
    pub peer: Option<SocketAddr>,
}

impl Call {
    /// Returns the value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a failure with [`Code::BadRequest`] that describes the position of the error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Failure::not_run(Code::BadRequest, format!("malformed JSON: {error}")))
    }

    /// Parses the body as MessagePack.
    ///
    /// # Errors
    ///
    /// Returns a failure with [`Code::BadRequest`].
    pub fn msgpack<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        rmp_serde::from_slice(&self.body).map_err(|error| {
            Failure::not_run(Code::BadRequest, format!("malformed MessagePack: {error}"))
        })
    }
}
