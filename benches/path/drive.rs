//! Sends generations, directly to engines or through the system, and reads them whole.

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

/// The model of the engines that answer at once, which are the first ones.
pub const QUICK: &str = "quick";
/// How many of these there are.
pub const QUICK_ENGINES: usize = 4;
/// The model of the engines that take their time.
pub const SLOW: &str = "slow";
/// The token of the caller.
const TOKEN: &str = "desk-token";

/// Tokens of a short generation, which the engine sends in one chunk.
const TOKENS: u32 = 8;
/// The path at which engines answer.
const ENGINE: &str = "/v1/completions";
/// Streams that one client thread holds.
const HELD: usize = 250;

/// The way that a request takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// To an engine.
    Direct,
    /// Through entry and agent.
    Through,
}

/// Where requests go.
#[derive(Clone)]
struct Sites {
    entry: SocketAddr,
    engines: Vec<SocketAddr>,
}

impl Sites {
    fn of(rig: &Rig) -> Self {
        Self { entry: rig.entry, engines: rig.engines[..QUICK_ENGINES].to_vec() }
    }

    /// Runs one short generation and checks that it is whole.
    async fn run(&self, client: &Client, way: Way, number: usize) {
        let mut body = json!({
            "model": QUICK, "prompt": "which ferry?", "max_tokens": TOKENS, "stream": true,
            "seed": number,
        });
        let engine = self.engines[number % self.engines.len()];
        let url = match way {
            Way::Direct => {
                body["request"] = json!(format!("{number}"));
                body["attempt"] = json!(1);
                client.url(&engine.to_string(), ENGINE)
            }
            Way::Through => client.url(&self.entry.to_string(), paths::COMPLETIONS),
        };
        let request = client.post(&url).insert_header(("chicoryford-workspace", "desk"));
        let mut answer = request.send_json(&body).await.expect("a connection comes about");
        let text = answer.body().await.expect("the answer is whole");
        let end = match way {
            Way::Direct => "finish_reason",
            Way::Through => "[DONE]",
        };
        let text = String::from_utf8_lossy(&text);
        assert!(text.contains(end), "{way:?}: {text}");
    }
}

fn client() -> Client {
    Client::new(Some(TOKEN.to_owned()), None)
}

/// Runs pairs one at a time, in turn directly and through the system; gives their microseconds.
pub fn pairs(rig: &Rig, pairs: usize) -> (Vec<u64>, Vec<u64>) {
    let sites = Sites::of(rig);
    actix_rt::System::new().block_on(async move {
        let client = client();
        let (mut direct, mut through) = (Vec::new(), Vec::new());
        for number in 0..pairs {
            for (way, times) in [(Way::Direct, &mut direct), (Way::Through, &mut through)] {
                let begun = Instant::now();
                sites.run(&client, way, number).await;
                times.push(begun.elapsed().as_micros() as u64);
            }
        }
        (direct, through)
    })
}

/// Runs `requests` with `at_once` of them at any time, over some threads; gives their number.
pub fn flood(rig: &Rig, way: Way, threads: usize, at_once: usize, requests: usize) -> usize {
    let next = Arc::new(AtomicUsize::new(0));
    let handles: Vec<_> = (0..threads)
        .map(|_| {
            let (sites, next) = (Sites::of(rig), next.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let client = client();
                    let one = |_| async {
                        loop {
                            let number = next.fetch_add(1, Ordering::Relaxed);
                            if number >= requests {
                                return;
                            }
                            sites.run(&client, way, number).await;
                        }
                    };
                    join_all((0..at_once / threads).map(one)).await;
                });
            })
        })
        .collect();
    for handle in handles {
        handle.join().expect("a client thread failed");
    }
    requests
}

/// Streams that stay open.
pub struct Resting {
    count: usize,
    over: Arc<AtomicBool>,
}

impl Resting {
    /// Starts with none.
    pub fn new() -> Self {
        Self { count: 0, over: Arc::default() }
    }

    /// Gives how many are open.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Opens streams until there are `wanted`, and waits until each has its first tokens.
    pub fn open(&mut self, rig: &Rig, wanted: usize) {
        let (told, opened) = std::sync::mpsc::channel();
        while self.count < wanted {
            let streams = HELD.min(wanted - self.count);
            self.count += streams;
            let (sites, over, told) = (Sites::of(rig), self.over.clone(), told.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let left = Rc::new(Cell::new(streams));
                    let hold = |number| hold(&sites, number, &left, &told, &over);
                    join_all((0..streams).map(hold)).await;
                });
            });
            opened.recv().expect("a client thread failed");
        }
    }
}

impl Drop for Resting {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

async fn hold(
    sites: &Sites,
    number: usize,
    left: &Cell<usize>,
    told: &std::sync::mpsc::Sender<()>,
    over: &AtomicBool,
) {
    let client = client();
    let url = client.url(&sites.entry.to_string(), paths::COMPLETIONS);
    let body = json!({
        "model": SLOW, "prompt": "which ferry?", "max_tokens": 4_096, "stream": true,
        "seed": number,
    });
    let request = client.post(&url).timeout(Duration::from_secs(600));
    let request = request.insert_header(("chicoryford-workspace", "desk"));
    let request = request.insert_header(("chicoryford-deadline-ms", "600000"));
    let mut answer = request.send_json(&body).await.expect("a connection comes about");
    assert_eq!(answer.status().as_u16(), 200);
    let mut first = true;
    while let Some(Ok(_)) = answer.next().await {
        if first {
            first = false;
            left.set(left.get() - 1);
            if left.get() == 0 {
                let _ = told.send(());
            }
        }
        if over.load(Ordering::Relaxed) {
            return;
        }
    }
}
