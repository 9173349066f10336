//! Weight swaps: the fetch, the wait, the faults.

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
    engine.state().swapping += 1;
    let answer = carry_out(engine, &wanted).await;
    engine.state().swapping -= 1;
    answer
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
    if !wanted.source.is_empty() && !fetch(wanted).await {
        return http::error(502, "the weights could not be fetched");
    }
    tokio::time::sleep(Duration::from_millis(engine.settings.swap_ms)).await;
    let fault = engine.state().fault.take();
    if fault != Some(Fault::SwapLost) && fault != Some(Fault::SwapFail) {
        engine.state().models.insert(wanted.model.clone(), wanted.version);
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

async fn fetch(wanted: &Weights) -> bool {
    let url = format!("{}/weights/{}/{}", wanted.source, wanted.model, wanted.version);
    let client = awc::Client::builder().timeout(FETCH).finish();
    let Ok(mut answer) = client.get(url).send().await else { return false };
    let whole = answer.body().limit(usize::MAX).await;
    answer.status().is_success() && whole.is_ok()
}
