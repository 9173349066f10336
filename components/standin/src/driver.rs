//! What trainers and callers have in common: requests to the entries, one after the other until
//! one answers.

use std::time::Duration;

use bytes::Bytes;
use chicoryford_types::Failure;
use chicoryford_wire::CallError;
use chicoryford_wire::Client;
use chicoryford_wire::client::read_failure;
use chicoryford_wire::client::send_error;
use chicoryford_wire::reply::JSON;
use serde::Serialize;

/// How many bytes of an answer are read at most.
const ANSWER_BOUND: usize = 256 << 20;

/// The way to the entries, of which any can serve any request.
#[derive(Clone)]
pub struct Entries {
    client: Client,
    addresses: Vec<String>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl Entries {
    /// Presents `token` to the entries at `addresses`.
    pub fn new(token: &str, addresses: Vec<String>) -> Self {
        Self { client: Client::new(Some(token.to_owned()), None), addresses }
    }

    /// Posts JSON to one entry; `turn` says which, so that a resend goes to another.
    ///
    /// # Errors
    ///
    /// [`CallError`] if no whole answer came, or it was a failure.
    pub async fn post<Q: Serialize>(
        &self,
        turn: usize,
        path: &str,
        headers: &[(&str, String)],
        question: &Q,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let address = &self.addresses[turn % self.addresses.len()];
        let url = self.client.url(address, path);
        let body = serde_json::to_vec(question).expect("questions are plain data");
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
            .limit(ANSWER_BOUND)
            .await
            .map_err(|error| CallError::Lost { url: url.to_owned(), detail: error.to_string() })?;
        Ok(Answer { status, body })
    }
}

/// Gives the failure that the other side answered, if it did.
pub fn failure(error: &CallError) -> Option<&Failure> {
    match error {
        CallError::Failure(failure) => Some(failure),
        CallError::NotSent { .. } | CallError::Lost { .. } => None,
    }
}
