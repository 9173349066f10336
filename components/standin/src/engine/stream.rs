//! A completion on its way: it waits for a place in the batch, then gives chunk after chunk.

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

/// The engine crashed while the completion ran; its connection breaks.
#[derive(Debug, Error)]
#[error("the engine crashed")]
pub struct Crashed;

/// Between two looks at a flag that may change while a completion stands still.
const PAUSE: Duration = Duration::from_millis(2);
/// For ever, as far as a stand-in's life goes.
const FOREVER: Duration = Duration::from_secs(1_000_000);

/// Starts a completion and answers with its stream.
pub fn answer(engine: &Arc<Engine>, peer: Option<SocketAddr>, wanted: Completion) -> Reply {
    let key = (wanted.request.clone(), wanted.attempt);
    let (stop, stopped) = watch::channel(false);
    let instance = engine.instance();
    {
        let mut state = engine.state();
        if !state.models.contains_key(&wanted.model) {
            drop(state);
            return http::error(404, "no such model");
        }
        state.active.insert(key, stop);
    }
    engine.records.write(&Line {
        event: "start",
        request: &wanted.request,
        attempt: wanted.attempt,
        model: &wanted.model,
        ..Line::new(&instance)
    });
    let begun = *engine.crashes.borrow();
    if wanted.prompt.contains(CRASH_MARK) {
        engine.crash();
    }
    let done = generate::count(&wanted.prefix);
    let whole = generate::length(&wanted.prompt, wanted.seed, engine.settings.length);
    let run = Run {
        crashes: engine.crashes.subscribe(),
        begun,
        total: whole.min(wanted.max_tokens).max(done),
        reason: if whole <= wanted.max_tokens { "stop" } else { "length" },
        engine: engine.clone(),
        peer,
        instance,
        next: done,
        done,
        wanted,
        stopped,
        permit: None,
        due: Instant::now(),
        spans: Vec::new(),
        how: "dropped",
        over: false,
    };
    reply::stream(reply::EVENTS, stream::unfold(run, Run::advance))
}

struct Run {
    engine: Arc<Engine>,
    peer: Option<SocketAddr>,
    instance: String,
    wanted: Completion,
    stopped: watch::Receiver<bool>,
    crashes: watch::Receiver<u64>,
    begun: u64,
    permit: Option<OwnedSemaphorePermit>,
    due: Instant,
    done: u32,
    next: u32,
    total: u32,
    reason: &'static str,
    spans: Vec<(u32, u32, u64)>,
    how: &'static str,
    over: bool,
}

type Item = Result<Bytes, Crashed>;

impl Run {
    async fn advance(mut self) -> Option<(Item, Self)> {
        if self.over {
            return None;
        }
        let item = self.item().await;
        if self.engine.is_silent(self.peer) {
            tokio::time::sleep(FOREVER).await;
        }
        Some((item, self))
    }

    async fn item(&mut self) -> Item {
        let (mut stopped, mut crashes, begun) =
            (self.stopped.clone(), self.crashes.clone(), self.begun);
        tokio::select! {
            biased;
            _ = crashes.wait_for(|count| *count != begun) => {
                self.over = true;
                self.how = "crashed";
                Err(Crashed)
            }
            Ok(_) = stopped.wait_for(|stop| *stop) => Ok(self.last("cancelled")),
            chunk = self.chunk() => Ok(chunk),
        }
    }

    async fn chunk(&mut self) -> Bytes {
        if self.permit.is_none() {
            self.begin().await;
        }
        if self.next >= self.total {
            let reason = self.reason;
            return self.last(reason);
        }
        let count = self.engine.settings.chunk.clamp(1, self.total - self.next);
        self.due += self.token_time() * count;
        tokio::time::sleep_until(self.due).await;
        while self.engine.settings.pause && self.engine.state().swapping > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        self.produce(count)
    }

    async fn begin(&mut self) {
        let slots = self.engine.slots.clone();
        let permit = slots.acquire_owned().await.expect("the slots are never closed");
        self.permit = Some(permit);
        let missing = {
            let mut state = self.engine.state();
            state.running += 1;
            state.cache.admit(&self.wanted.prompt)
        };
        let micros = missing as u64 * self.engine.settings.prefill_us / 1_000;
        self.due = Instant::now() + Duration::from_micros(micros);
    }

    fn token_time(&self) -> Duration {
        let settings = &self.engine.settings;
        let state = self.engine.state();
        let others = u64::from(state.running.saturating_sub(1));
        let micros = settings.token_us + settings.batch_us * others;
        Duration::from_micros(micros * state.slow)
    }

    fn produce(&mut self, count: u32) -> Bytes {
        let version = {
            let mut state = self.engine.state();
            state.count(count);
            state.models.get(&self.wanted.model).copied().unwrap_or_default()
        };
        let (model, seed) = (&self.wanted.model, self.wanted.seed);
        let indices = self.next..self.next + count;
        let text = indices.clone().map(|i| generate::token(model, seed, i)).collect();
        let logprobs = if self.wanted.logprobs {
            indices.map(|i| generate::logprob(model, seed, i)).collect()
        } else {
            Vec::new()
        };
        self.extend(count, version);
        event(&Chunk { text, count, version, logprobs })
    }

    fn extend(&mut self, count: u32, version: u64) {
        let from = self.next;
        self.next += count;
        match self.spans.last_mut() {
            Some(last) if last.2 == version => last.1 = self.next,
            _ => self.spans.push((from, self.next, version)),
        }
    }

    fn last(&mut self, reason: &'static str) -> Bytes {
        self.over = true;
        self.how = reason;
        event(&Last { finish_reason: reason.to_owned(), tokens: self.next - self.done })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if self.permit.is_some() {
            state.running = state.running.saturating_sub(1);
        }
        if *self.crashes.borrow() == self.begun {
            state.active.remove(&(self.wanted.request.clone(), self.wanted.attempt));
        }
        drop(state);
        self.engine.records.write(&Line {
            event: "end",
            request: &self.wanted.request,
            attempt: self.wanted.attempt,
            model: &self.wanted.model,
            count: u64::from(self.next - self.done),
            spans: &self.spans,
            how: self.how,
            ..Line::new(&self.instance)
        });
    }
}

fn event<T: Serialize>(data: &T) -> Bytes {
    let json = serde_json::to_string(data).expect("events are plain data");
    Bytes::from(format!("data: {json}\n\n"))
}
