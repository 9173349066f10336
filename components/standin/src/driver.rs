//! The HTTP client of trainers and callers, which can send a request to any of several entries.

use std::time::Duration;

use bytes::Bytes;
use chicoryford_types::Failure;
use chicoryford_wire::CallError;
use chicoryford_wire::Client;
use chicoryford_wire::client::read_failure;
use chicoryford_wire::client::send_error;
use chicoryford_wire::reply::JSON;
use serde::Serialize;

/// Maximum size of a response body.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// A client of the entries. Any entry can serve any request.
#[derive(Clone)]
pub struct Entries {
    client: Client,
    addresses: Vec<String>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl Entries {
    /// Creates a client that sends `token` to the entries at `addresses`.
    pub fn new(token: &str, addresses: Vec<String>) -> Self {
        Self { client: Client::new(Some(token.to_owned()), None), addresses }
    }

    /// Posts `payload` as JSON to one entry. `entry_index`, modulo the number of entries, selects
    /// it, so that a retry can go to another entry.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no complete response arrives, or if the response is a failure.
    pub async fn post<Q: Serialize>(
        &self,
        entry_index: usize,
        path: &str,
        headers: &[(&str, String)],
        payload: &Q,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let address = &self.addresses[entry_index % self.addresses.len()];
        let url = self.client.url(address, path);
        let body = serde_json::to_vec(payload).expect("payloads are plain data");
        let exchange = self.exchange(&url, headers, body);
        let answer = actix_rt::time::timeout(timeout, exchange).await.unwrap_or_else(|_| {
            Err(CallError::Lost { url: url.clone(), detail: "timeout".to_owned() })
        })?;
        if answer.status >= 400 {
            return Err(read_failure(&url, answer.status, &answer.body));
        }
        Ok(answer)
    }

    async fn exchange(
        &self,
        url: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<Answer, CallError> {
        let mut request = self.client.post(url).content_type(JSON);
        for (name, value) in headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let sent = request.send_body(body).await;
        let mut response = sent.map_err(|error| send_error(url, &error))?;
        let status = response.status().as_u16();
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| CallError::Lost { url: url.to_owned(), detail: error.to_string() })?;
        Ok(Answer { status, body })
    }
}

/// Returns the failure in the response, or `None` if no response was received.
pub fn failure(error: &CallError) -> Option<&Failure> {
    match error {
        CallError::Failure(failure) => Some(failure),
        CallError::NotSent { .. } | CallError::Lost { .. } => None,
    }
}
