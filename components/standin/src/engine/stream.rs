//! Streams a completion: it waits for a slot in the batch and then yields one chunk after another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_wire::Reply;
use chicoryford_wire::reply;
use futures_util::stream;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::watch;
use tokio::time::Instant;

use super::CRASH_MARK;
use super::batch::Engine;
use super::batch::Line;
use super::generate;
use super::protocol::Chunk;
use super::protocol::Completion;
use super::protocol::Last;
use crate::http;

/// The error that breaks the connection when the engine crashes during a completion.
#[derive(Debug, Error)]
#[error("the engine crashed")]
pub struct Crashed;

/// Interval at which a completion that pauses during a swap checks whether the swap has ended.
const SWAP_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longer than any stand-in runs.
const FOREVER: Duration = Duration::from_secs(1_000_000);

/// Starts a completion and returns its stream as the response.
pub fn answer(engine: &Arc<Engine>, peer: Option<SocketAddr>, request: Completion) -> Reply {
    let key = (request.request.clone(), request.attempt);
    let (stop, stopped) = watch::channel(false);
    let instance = engine.instance();
    {
        let mut state = engine.state();
        if !state.models.contains_key(&request.model) {
            drop(state);
            return http::error(404, "no such model");
        }
        state.active.insert(key, stop);
    }
    engine.records.write(&Line {
        event: "start",
        request: &request.request,
        attempt: request.attempt,
        model: &request.model,
        ..Line::new(&instance)
    });
    let crashes_at_start = *engine.crashes.borrow();
    if request.prompt.contains(CRASH_MARK) {
        engine.crash();
    }
    let prefix_tokens = generate::count(&request.prefix);
    let full_length = generate::length(&request.prompt, request.seed, engine.settings.length);
    let run = RunningCompletion {
        crashes: engine.crashes.subscribe(),
        crashes_at_start,
        total: full_length.min(request.max_tokens).max(prefix_tokens),
        reason: if full_length <= request.max_tokens { "stop" } else { "length" },
        engine: engine.clone(),
        peer,
        instance,
        next: prefix_tokens,
        prefix_tokens,
        request,
        stopped,
        permit: None,
        due: Instant::now(),
        spans: Vec::new(),
        how: "dropped",
        is_finished: false,
    };
    reply::stream(reply::EVENTS, stream::unfold(run, RunningCompletion::advance))
}

/// A completion that waits or runs. Its end is recorded when it is dropped.
struct RunningCompletion {
    engine: Arc<Engine>,
    peer: Option<SocketAddr>,
    instance: String,
    request: Completion,
    stopped: watch::Receiver<bool>,
    crashes: watch::Receiver<u64>,
    /// The crash count of the engine when the completion started.
    crashes_at_start: u64,
    permit: Option<OwnedSemaphorePermit>,
    /// When the next chunk is due.
    due: Instant,
    prefix_tokens: u32,
    /// The index of the next token.
    next: u32,
    /// The number of tokens at the end, including those of the prefix.
    total: u32,
    reason: &'static str,
    spans: Vec<(u32, u32, u64)>,
    how: &'static str,
    is_finished: bool,
}

type Item = Result<Bytes, Crashed>;

impl RunningCompletion {
    async fn advance(mut self) -> Option<(Item, Self)> {
        if self.is_finished {
            return None;
        }
        let item = self.next_item().await;
        if self.engine.is_silent(self.peer) {
            tokio::time::sleep(FOREVER).await;
        }
        Some((item, self))
    }

    async fn next_item(&mut self) -> Item {
        let (mut stopped, mut crashes, crashes_at_start) =
            (self.stopped.clone(), self.crashes.clone(), self.crashes_at_start);
        tokio::select! {
            biased;
            _ = crashes.wait_for(|count| *count != crashes_at_start) => {
                self.is_finished = true;
                self.how = "crashed";
                Err(Crashed)
            }
            Ok(_) = stopped.wait_for(|stop| *stop) => Ok(self.finish("cancelled")),
            chunk = self.next_chunk() => Ok(chunk),
        }
    }

    async fn next_chunk(&mut self) -> Bytes {
        if self.permit.is_none() {
            self.join_batch().await;
        }
        if self.next >= self.total {
            let reason = self.reason;
            return self.finish(reason);
        }
        let count = self.engine.settings.chunk.clamp(1, self.total - self.next);
        self.due += self.token_time() * count;
        tokio::time::sleep_until(self.due).await;
        while self.engine.settings.pause && self.engine.state().swapping > 0 {
            tokio::time::sleep(SWAP_POLL_INTERVAL).await;
        }
        self.generate_chunk(count)
    }

    /// Waits for a slot in the batch, and schedules the first chunk after the prefill.
    async fn join_batch(&mut self) {
        let slots = self.engine.slots.clone();
        let permit = slots.acquire_owned().await.expect("the slots are never closed");
        self.permit = Some(permit);
        let uncached = {
            let mut state = self.engine.state();
            state.running += 1;
            state.cache.admit(&self.request.prompt)
        };
        let micros = uncached as u64 * self.engine.settings.prefill_us / 1_000;
        self.due = Instant::now() + Duration::from_micros(micros);
    }

    fn token_time(&self) -> Duration {
        let settings = &self.engine.settings;
        let state = self.engine.state();
        let others = u64::from(state.running.saturating_sub(1));
        let micros = settings.token_us + settings.batch_us * others;
        Duration::from_micros(micros * state.slow)
    }

    fn generate_chunk(&mut self, count: u32) -> Bytes {
        let version = {
            let mut state = self.engine.state();
            state.count(count);
            state.models.get(&self.request.model).copied().unwrap_or_default()
        };
        let (model, seed) = (&self.request.model, self.request.seed);
        let indices = self.next..self.next + count;
        let text = indices.clone().map(|i| generate::token(model, seed, i)).collect();
        let logprobs = if self.request.logprobs {
            indices.map(|i| generate::logprob(model, seed, i)).collect()
        } else {
            Vec::new()
        };
        self.extend_spans(count, version);
        event(&Chunk { text, count, version, logprobs })
    }

    fn extend_spans(&mut self, count: u32, version: u64) {
        let from = self.next;
        self.next += count;
        match self.spans.last_mut() {
            Some(last) if last.2 == version => last.1 = self.next,
            _ => self.spans.push((from, self.next, version)),
        }
    }

    fn finish(&mut self, reason: &'static str) -> Bytes {
        self.is_finished = true;
        self.how = reason;
        event(&Last { finish_reason: reason.to_owned(), tokens: self.next - self.prefix_tokens })
    }
}

impl Drop for RunningCompletion {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if self.permit.is_some() {
            state.running = state.running.saturating_sub(1);
        }
        if *self.crashes.borrow() == self.crashes_at_start {
            state.active.remove(&(self.request.request.clone(), self.request.attempt));
        }
        drop(state);
        self.engine.records.write(&Line {
            event: "end",
            request: &self.request.request,
            attempt: self.request.attempt,
            model: &self.request.model,
            count: u64::from(self.next - self.prefix_tokens),
            spans: &self.spans,
            how: self.how,
            ..Line::new(&self.instance)
        });
    }
}

/// Formats a server-sent event.
fn event<T: Serialize>(data: &T) -> Bytes {
    let json = serde_json::to_string(data).expect("events are plain data");
    Bytes::from(format!("data: {json}\n\n"))
}
