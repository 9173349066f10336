//! A request as a route's handler gets it.

use std::net::SocketAddr;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use serde::de::DeserializeOwned;

use crate::keys::Identity;

/// A request, whole.
#[derive(Debug)]
pub struct Call {
    /// Who sent it; none only on routes that are open to all.
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
    /// Where it came from.
    pub peer: Option<SocketAddr>,
}

impl Call {
    /// Gives a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// A failure with [`Code::BadRequest`] that says where the JSON is wrong.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Failure::not_run(Code::BadRequest, format!("malformed JSON: {error}")))
    }

    /// Reads the body as MessagePack.
    ///
    /// # Errors
    ///
    /// A failure with [`Code::BadRequest`].
    pub fn msgpack<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        rmp_serde::from_slice(&self.body).map_err(|error| {
            Failure::not_run(Code::BadRequest, format!("malformed MessagePack: {error}"))
        })
    }
}
