//! Requests and replies as the rest of the system sees them: whole, with headers in order.

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;

pub use actix_http::Method;
pub use actix_http::StatusCode;

/// Headers that concern one connection only and are never passed on.
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

/// The headers of a message; a name may stand more than once.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub(crate) HeaderMap);

impl Headers {
    /// Gives a header's first value, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).and_then(|value| value.to_str().ok())
    }

    /// Gives a header's value as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name).and_then(|value| value.trim().parse().ok())
    }

    /// Sets a header, in place of those of the same name. A name or value that HTTP does not
    /// allow is left out with a log line, because the message would otherwise not be readable.
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

    /// Copies the headers that are meant for whoever receives the message in the end.
    #[must_use]
    pub fn end_to_end(&self) -> Self {
        let mut copy = HeaderMap::with_capacity(self.0.len());
        let named: Vec<String> = self
            .get("connection")
            .map(|list| list.split(',').map(|name| name.trim().to_ascii_lowercase()).collect())
            .unwrap_or_default();
        for (name, value) in &self.0 {
            let hop = HOP_BY_HOP.contains(&name.as_str());
            if !hop && !named.iter().any(|other| other == name.as_str()) {
                copy.append(name.clone(), value.clone());
            }
        }
        Self(copy)
    }
}

fn parse(name: &str, value: &str) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    let value = HeaderValue::from_str(value).ok()?;
    Some((name, value))
}

/// A request, read whole.
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
    /// Makes a request without headers.
    pub fn new(method: Method, target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method, target: target.into(), headers: Headers::default(), body: body.into() }
    }

    /// Gives the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Gives the query, empty if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Gives a field of the query, as it stands there.
    pub fn query_field(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query().split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Gives the host without a port, in lower case.
    pub fn host(&self) -> String {
        let host = self.headers.get("host").unwrap_or_default();
        host.split(':').next().unwrap_or_default().to_ascii_lowercase()
    }
}

/// A reply, whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers; length and connection are added when it is sent.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Makes a reply without headers.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, headers: Headers::default(), body: body.into() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.set(name, value);
        self
    }
}
