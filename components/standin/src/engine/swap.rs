//! Weight swaps: the fetch, the wait, the faults.

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

const FETCH: Duration = Duration::from_secs(60);

/// Loads a version, and answers when it is in use.
pub async fn load(engine: &Arc<Engine>, wanted: Weights) -> Reply {
    if let Some(refusal) = fenced(engine, wanted.fence) {
        return refusal;
    }
    let _swapping = Swapping::new(engine);
    carry_out(engine, &wanted).await
}

/// Counts a swap in progress, also if whoever ordered it is gone before its end.
struct Swapping(Arc<Engine>);

impl Swapping {
    fn new(engine: &Arc<Engine>) -> Self {
        engine.state().swapping += 1;
        Self(engine.clone())
    }
}

impl Drop for Swapping {
    fn drop(&mut self) {
        self.0.state().swapping -= 1;
    }
}

/// Refuses an old fencing number, unless the engine is one that ignores it.
pub fn fenced(engine: &Arc<Engine>, fence: u64) -> Option<Reply> {
    let mut state = engine.state();
    if engine.settings.fencing && fence < state.fence {
        return Some(http::error(409, "the fencing number is old"));
    }
    state.fence = state.fence.max(fence);
    None
}

async fn carry_out(engine: &Arc<Engine>, wanted: &Weights) -> Reply {
    let fault = engine.state().fault.take();
    if fault == Some(Fault::SwapSilent) {
        return pending().await;
    }
    let mut size = 0;
    if !wanted.source.is_empty() {
        size = match fetch(wanted).await {
            Ok(size) => size,
            Err(error) => return http::error(502, &error),
        };
    }
    tokio::time::sleep(Duration::from_millis(engine.settings.swap_ms)).await;
    if fault != Some(Fault::SwapLost) && fault != Some(Fault::SwapFail) {
        let mut state = engine.state();
        state.models.insert(wanted.model.clone(), wanted.version);
        state.sizes.insert(wanted.model.clone(), size);
    }
    let how = fault.map_or("done", |_| "fault");
    let instance = engine.instance();
    engine.records.write(&Line {
        event: "swap",
        model: &wanted.model,
        count: wanted.version,
        how,
        ..Line::new(&instance)
    });
    match fault {
        Some(Fault::SwapFail | Fault::SwapTorn) => http::error(500, "the swap failed"),
        _ => reply::json(200, &serde_json::json!({ "loaded": wanted.version })),
    }
}

/// Fetches the weights and counts their bytes.
async fn fetch(wanted: &Weights) -> Result<usize, String> {
    let url = format!("{}/weights/{}/{}", wanted.source, wanted.model, wanted.version);
    let client = awc::Client::builder().timeout(FETCH).finish();
    let sent = client.get(&url).send().await;
    let answer = sent.map_err(|error| format!("{url}: {error}"))?;
    let mut answer = answer.timeout(FETCH);
    if !answer.status().is_success() {
        return Err(format!("{url}: status {}", answer.status().as_u16()));
    }
    let body = answer.body().limit(usize::MAX).await;
    Ok(body.map_err(|error| format!("{url}: {error}"))?.len())
}
