//! Requests and replies with their complete bodies, and headers in order.

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;

pub use actix_http::Method;
pub use actix_http::StatusCode;

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// The headers of a message. A name may occur more than once.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub(crate) HeaderMap);

impl Headers {
    /// Returns a header's first value, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns a header's value as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name).and_then(|value| value.trim().parse().ok())
    }

    /// Sets a header and replaces those of the same name. A name or value that HTTP does not allow
    /// is omitted with a warning in the log, because the message could otherwise not be parsed.
    pub fn set(&mut self, name: &str, value: &str) {
        match parse(name, value) {
            Some((name, value)) => {
                self.0.insert(name, value);
            }
            None => tracing::warn!(event = "header_unfit", name),
        }
    }

    /// Removes all headers of a name.
    pub fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Copies the end-to-end headers, which are intended for the final recipient.
    #[must_use]
    pub fn end_to_end(&self) -> Self {
        let mut headers = HeaderMap::with_capacity(self.0.len());
        let connection_headers: Vec<String> = self
            .get("connection")
            .map(|list| list.split(',').map(|name| name.trim().to_ascii_lowercase()).collect())
            .unwrap_or_default();
        for (name, value) in &self.0 {
            let is_hop_by_hop = HOP_BY_HOP.contains(&name.as_str());
            if !is_hop_by_hop && !connection_headers.iter().any(|other| other == name.as_str()) {
                headers.append(name.clone(), value.clone());
            }
        }
        Self(headers)
    }
}

fn parse(name: &str, value: &str) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    let value = HeaderValue::from_str(value).ok()?;
    Some((name, value))
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query, byte for byte as they were received.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Creates a request without headers.
    pub fn new(method: Method, target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method, target: target.into(), headers: Headers::default(), body: body.into() }
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query, which is empty if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Returns a field of the query, without percent-decoding.
    pub fn query_field(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query().split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the host without a port, in lower case.
    pub fn host(&self) -> String {
        let host = self.headers.get("host").unwrap_or_default();
        host.split(':').next().unwrap_or_default().to_ascii_lowercase()
    }
}

/// A reply with its complete body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers. Those for length and connection are added when the reply is sent.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Creates a reply without headers.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, headers: Headers::default(), body: body.into() }
    }

    /// Sets a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.set(name, value);
        self
    }
}
