//! Weight swaps: fetch the weights, wait for the configured time, apply an injected fault.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_wire::Reply;
use chicoryford_wire::reply;

use super::batch::Engine;
use super::batch::Line;
use super::protocol::Fault;
use super::protocol::Weights;
use crate::http;

const FETCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Loads a version. The response is sent when the version is in use.
pub async fn load(engine: &Arc<Engine>, order: Weights) -> Reply {
    if let Some(refusal) = refuse_if_fenced(engine, order.fence) {
        return refusal;
    }
    let _guard = SwapGuard::new(engine);
    run_swap(engine, &order).await
}

/// Counts a swap as in progress until it is dropped, which also happens if the client disconnects
/// before the end.
struct SwapGuard(Arc<Engine>);

impl SwapGuard {
    fn new(engine: &Arc<Engine>) -> Self {
        engine.state().swapping += 1;
        Self(engine.clone())
    }
}

impl Drop for SwapGuard {
    fn drop(&mut self) {
        self.0.state().swapping -= 1;
    }
}

/// Returns a refusal if the fencing number is older than one seen before, unless the engine is
/// configured to ignore fencing numbers.
pub fn refuse_if_fenced(engine: &Arc<Engine>, fence: u64) -> Option<Reply> {
    let mut state = engine.state();
    if engine.settings.fencing && fence < state.fence {
        return Some(http::error(409, "the fencing number is old"));
    }
    state.fence = state.fence.max(fence);
    None
}

async fn run_swap(engine: &Arc<Engine>, order: &Weights) -> Reply {
    let fault = engine.state().fault.take();
    if fault == Some(Fault::SwapSilent) {
        return pending().await;
    }
    let mut size = 0;
    if !order.source.is_empty() {
        size = match fetch(order).await {
            Ok(size) => size,
            Err(error) => return http::error(502, &error),
        };
    }
    tokio::time::sleep(Duration::from_millis(engine.settings.swap_ms)).await;
    if fault != Some(Fault::SwapLost) && fault != Some(Fault::SwapFail) {
        let mut state = engine.state();
        state.models.insert(order.model.clone(), order.version);
        state.sizes.insert(order.model.clone(), size);
    }
    let how = fault.map_or("done", |_| "fault");
    let instance = engine.instance();
    engine.records.write(&Line {
        event: "swap",
        model: &order.model,
        count: order.version,
        how,
        ..Line::new(&instance)
    });
    match fault {
        Some(Fault::SwapFail | Fault::SwapTorn) => http::error(500, "the swap failed"),
        _ => reply::json(200, &serde_json::json!({ "loaded": order.version })),
    }
}

/// Fetches the weights and returns their size in bytes.
async fn fetch(order: &Weights) -> Result<usize, String> {
    let url = format!("{}/weights/{}/{}", order.source, order.model, order.version);
    let client = awc::Client::builder().timeout(FETCH_TIMEOUT).finish();
    let sent = client.get(&url).send().await;
    let answer = sent.map_err(|error| format!("{url}: {error}"))?;
    let mut answer = answer.timeout(FETCH_TIMEOUT);
    if !answer.status().is_success() {
        return Err(format!("{url}: status {}", answer.status().as_u16()));
    }
    let body = answer.body().limit(usize::MAX).await;
    Ok(body.map_err(|error| format!("{url}: {error}"))?.len())
}
