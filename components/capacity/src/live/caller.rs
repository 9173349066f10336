//! Calls an entry, or the engine itself, as many times a second as wanted.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use chicoryford_wire::Client;
use futures_util::StreamExt;
use serde_json::json;

const TURN: Duration = Duration::from_millis(10);
const PATIENCE: Duration = Duration::from_secs(300);

/// Calls that are made until this is dropped.
pub struct Calls {
    ended: Rc<Cell<u64>>,
    failed: Rc<Cell<u64>>,
    stop: Rc<Cell<bool>>,
}

impl Calls {
    /// Calls `address` at a steady rate for `tokens` tokens each.
    pub fn steady(address: SocketAddr, rate: f64, tokens: u32) -> Self {
        let calls = Self::none();
        let (ended, failed, stop) = (calls.ended.clone(), calls.failed.clone(), calls.stop.clone());
        actix_rt::spawn(async move {
            let client = client();
            let begun = Instant::now();
            let mut sent = 0_u64;
            while !stop.get() {
                while (sent as f64) < begun.elapsed().as_secs_f64() * rate {
                    sent += 1;
                    let (ended, failed) = (ended.clone(), failed.clone());
                    let client = client.clone();
                    actix_rt::spawn(async move {
                        let counter =
                            if one(&client, address, sent, tokens).await { ended } else { failed };
                        counter.set(counter.get() + 1);
                    });
                }
                actix_rt::time::sleep(TURN).await;
            }
        });
        calls
    }

    /// Opens `count` streams at once that stay open.
    pub fn resting(address: SocketAddr, count: u64, tokens: u32) -> Self {
        let calls = Self::none();
        let client = client();
        for number in 0..count {
            let (client, failed, stop) = (client.clone(), calls.failed.clone(), calls.stop.clone());
            actix_rt::spawn(async move {
                let call = one(&client, address, number, tokens);
                rest(call, stop, failed).await;
            });
        }
        calls
    }

    fn none() -> Self {
        Self { ended: Rc::default(), failed: Rc::default(), stop: Rc::default() }
    }

    /// Gives how many calls ended whole.
    pub fn ended(&self) -> u64 {
        self.ended.get()
    }

    /// Gives how many calls failed.
    pub fn failed(&self) -> u64 {
        self.failed.get()
    }
}

impl Drop for Calls {
    fn drop(&mut self) {
        self.stop.set(true);
    }
}

/// Reads a stream until it ends, which it should not, or until it is no longer wanted.
async fn rest(call: impl Future<Output = bool>, stop: Rc<Cell<bool>>, failed: Rc<Cell<u64>>) {
    let unwanted = async {
        while !stop.get() {
            actix_rt::time::sleep(20 * TURN).await;
        }
    };
    let (call, unwanted) = (std::pin::pin!(call), std::pin::pin!(unwanted));
    if let futures_util::future::Either::Left((whole, _)) =
        futures_util::future::select(call, unwanted).await
        && !whole
    {
        failed.set(failed.get() + 1);
    }
}

fn client() -> Client {
    Client::new(Some("caller-token".to_owned()), None)
}

/// Makes one call and tells whether its whole answer came.
async fn one(client: &Client, address: SocketAddr, number: u64, tokens: u32) -> bool {
    let url = client.url(&address.to_string(), "/v1/completions");
    let body = json!({
        "model": "model", "prompt": format!("prompt {number}"), "max_tokens": tokens,
        "seed": number, "stream": true, "logprobs": true,
        "request": format!("direct-{number}"), "attempt": 1,
    });
    let request = client.post(&url).timeout(PATIENCE);
    let request = request.insert_header(("chicoryford-workspace", "workspace-000"));
    let Ok(mut answer) = request.send_json(&body).await else { return false };
    if !answer.status().is_success() {
        return false;
    }
    let mut tail = Vec::new();
    while let Some(chunk) = answer.next().await {
        let Ok(chunk) = chunk else { return false };
        tail = chunk.to_vec();
    }
    // An entry ends a stream with the first, the stand-in engine with the second.
    let text = String::from_utf8_lossy(&tail);
    text.contains("[DONE]") || text.contains("finish_reason")
}
