//! Sends requests for generations, directly to engines or through the service, and reads the
//! complete answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryford_wire::Client;
use chicoryford_wire::paths;
use futures_util::StreamExt;
use futures_util::future::join_all;
use serde_json::json;

use crate::rig::Rig;

/// The model of the engines that generate without delay, which are the first ones.
pub const FAST_MODEL: &str = "quick";
/// Number of engines of [`FAST_MODEL`].
pub const FAST_ENGINES: usize = 4;
/// The model of the engines that generate one token per second.
pub const SLOW_MODEL: &str = "slow";
/// The caller's authentication token.
const TOKEN: &str = "desk-token";

/// Tokens of a short generation. The engine sends them in one chunk.
const TOKENS: u32 = 8;
/// The path of the engines' completions.
const ENGINE_PATH: &str = "/v1/completions";
/// Streams of one client thread.
const STREAMS_PER_THREAD: usize = 250;

/// The route of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Directly to an engine.
    Direct,
    /// Through entry and agent.
    ThroughService,
}

/// The addresses to which requests are sent.
#[derive(Clone)]
struct Targets {
    entry: SocketAddr,
    engines: Vec<SocketAddr>,
}

impl Targets {
    fn of(rig: &Rig) -> Self {
        Self { entry: rig.entry, engines: rig.engines[..FAST_ENGINES].to_vec() }
    }

    /// Runs one short generation and checks that its answer is complete.
    async fn run_generation(&self, client: &Client, route: Route, number: usize) {
        let mut body = json!({
            "model": FAST_MODEL, "prompt": "which ferry?", "max_tokens": TOKENS, "stream": true,
            "seed": number,
        });
        let engine = self.engines[number % self.engines.len()];
        let url = match route {
            Route::Direct => {
                body["request"] = json!(format!("{number}"));
                body["attempt"] = json!(1);
                client.url(&engine.to_string(), ENGINE_PATH)
            }
            Route::ThroughService => client.url(&self.entry.to_string(), paths::COMPLETIONS),
        };
        let request = client.post(&url).insert_header(("chicoryford-workspace", "desk"));
        let mut answer = request.send_json(&body).await.expect("the request must be answered");
        let text = answer.body().await.expect("the answer must be complete");
        let end = match route {
            Route::Direct => "finish_reason",
            Route::ThroughService => "[DONE]",
        };
        let text = String::from_utf8_lossy(&text);
        assert!(text.contains(end), "{route:?}: {text}");
    }
}

fn client() -> Client {
    Client::new(Some(TOKEN.to_owned()), None)
}

/// Runs pairs of requests one at a time, alternately direct and through the service. Returns their
/// durations in microseconds.
pub fn measure_pairs(rig: &Rig, pairs: usize) -> (Vec<u64>, Vec<u64>) {
    let targets = Targets::of(rig);
    actix_rt::System::new().block_on(async move {
        let client = client();
        let (mut direct, mut through) = (Vec::new(), Vec::new());
        for number in 0..pairs {
            for (route, times) in
                [(Route::Direct, &mut direct), (Route::ThroughService, &mut through)]
            {
                let started = Instant::now();
                targets.run_generation(&client, route, number).await;
                times.push(started.elapsed().as_micros() as u64);
            }
        }
        (direct, through)
    })
}

/// Runs `requests` requests with at most `concurrency` of them in flight, on `threads` threads.
/// Returns the number of requests.
pub fn run_load(
    rig: &Rig,
    route: Route,
    threads: usize,
    concurrency: usize,
    requests: usize,
) -> usize {
    let next = Arc::new(AtomicUsize::new(0));
    let handles: Vec<_> = (0..threads)
        .map(|_| {
            let (targets, next) = (Targets::of(rig), next.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let client = client();
                    let one = |_| async {
                        loop {
                            let number = next.fetch_add(1, Ordering::Relaxed);
                            if number >= requests {
                                return;
                            }
                            targets.run_generation(&client, route, number).await;
                        }
                    };
                    join_all((0..concurrency / threads).map(one)).await;
                });
            })
        })
        .collect();
    for handle in handles {
        handle.join().expect("a client thread failed");
    }
    requests
}

/// Streams that stay open until this is dropped.
pub struct OpenStreams {
    count: usize,
    stop: Arc<AtomicBool>,
}

impl OpenStreams {
    /// Creates a set without streams.
    pub fn new() -> Self {
        Self { count: 0, stop: Arc::default() }
    }

    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Opens streams until `wanted` of them are open, and waits until each has its first tokens.
    pub fn open(&mut self, rig: &Rig, wanted: usize) {
        let (opened, receiver) = std::sync::mpsc::channel();
        while self.count < wanted {
            let streams = STREAMS_PER_THREAD.min(wanted - self.count);
            self.count += streams;
            let (targets, stop, opened) = (Targets::of(rig), self.stop.clone(), opened.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let pending = Rc::new(Cell::new(streams));
                    let hold = |number| hold_stream(&targets, number, &pending, &opened, &stop);
                    join_all((0..streams).map(hold)).await;
                });
            });
            receiver.recv().expect("a client thread failed");
        }
    }
}

impl Drop for OpenStreams {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Reads a stream until `stop` is set. The last of the thread's streams to get its first tokens
/// sends on `opened`.
async fn hold_stream(
    targets: &Targets,
    number: usize,
    pending: &Cell<usize>,
    opened: &std::sync::mpsc::Sender<()>,
    stop: &AtomicBool,
) {
    let client = client();
    let url = client.url(&targets.entry.to_string(), paths::COMPLETIONS);
    let body = json!({
        "model": SLOW_MODEL, "prompt": "which ferry?", "max_tokens": 4_096, "stream": true,
        "seed": number,
    });
    let request = client.post(&url).timeout(Duration::from_secs(600));
    let request = request.insert_header(("chicoryford-workspace", "desk"));
    let request = request.insert_header(("chicoryford-deadline-ms", "600000"));
    let mut answer = request.send_json(&body).await.expect("the request must be answered");
    assert_eq!(answer.status().as_u16(), 200);
    let mut first = true;
    while let Some(Ok(_)) = answer.next().await {
        if first {
            first = false;
            pending.set(pending.get() - 1);
            if pending.get() == 0 {
                let _ = opened.send(());
            }
        }
        if stop.load(Ordering::Relaxed) {
            return;
        }
    }
}
