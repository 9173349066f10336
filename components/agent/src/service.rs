//! The adapter to plain services, which answer each call with one response.

use std::time::Duration;

use chicoryford_kernel::run_time;
use chicoryford_types::Work;
use chicoryford_types::request::ServiceCall;
use chicoryford_types::request::StoredAnswer;
use chicoryford_wire::Client;
use chicoryford_wire::client::send_error;

use crate::engine::EngineError;

/// The maximum size of an answer, which the agent and the entry buffer as a whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const KEY_HEADER: &str = "idempotency-key";
const REQUEST_HEADER: &str = "x-request-id";

/// Calls the service and reads the whole answer. A response with any status is an answer.
///
/// `client` must open a new connection for each call. On a reused connection that the service is
/// just closing, the call would fail without any way to determine whether it ran.
///
/// # Errors
///
/// [`EngineError`], whose variant shows whether the service can have received the call.
pub async fn call(
    client: &Client,
    address: &str,
    work: &Work,
    task: &ServiceCall,
) -> Result<StoredAnswer, EngineError> {
    let path = task.path.trim_start_matches('/');
    let url = client.url(address, &format!("/{path}"));
    let request = client.post(&url).content_type(task.media.as_str());
    let request = request.insert_header((REQUEST_HEADER, work.request.to_string()));
    let request = match &work.key {
        Some(key) => request.insert_header((KEY_HEADER, key.as_str())),
        None => request,
    };
    let sent = request.send_body(task.body.clone()).await;
    let mut response =
        sent.map_err(|error| EngineError::from_call_error(send_error(&url, &error)))?;
    let status = response.status().as_u16();
    let media = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let media = media.unwrap_or_default().to_owned();
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| EngineError::Broken(error.to_string()))?;
    Ok(StoredAnswer { status, media, body })
}

/// Returns whether the service answers HTTP at all, with any status, because a plain service need
/// not have a health path.
pub async fn answers(client: &Client, address: &str) -> bool {
    let url = client.url(address, "/health");
    let sent = run_time::timeout(PROBE_TIMEOUT, client.get(&url).send()).await;
    matches!(sent, Ok(Ok(_)))
}
