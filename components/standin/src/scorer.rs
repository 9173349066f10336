//! A stand-in of a scoring service. It returns the same score each time for the same prompt and
//! text.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::reply;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::ServeError;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::http;

/// A request to score a text.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Question {
    /// The prompt.
    pub prompt: String,
    /// The generated text.
    pub text: String,
}

/// A score.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Score {
    /// The score, between 0 and 1.
    pub score: f64,
}

/// Computes the score of a text.
pub fn score(request: &Question) -> Score {
    let hash = xxh3_64(request.prompt.as_bytes()) ^ xxh3_64(request.text.as_bytes());
    Score { score: (hash % 1_000) as f64 / 1_000.0 }
}

/// Starts a scorer within the caller's actix system.
///
/// # Errors
///
/// Returns [`ServeError`] if the address cannot be bound.
pub fn start(address: SocketAddr, delay_ms: u64) -> Result<Running, ServeError> {
    http::open(address, move || {
        let mut routes = Routes::default();
        routes.add("/health", &[], |_| async { reply::json(200, "ok") });
        routes.add("/score", &[], move |call| answer(call, delay_ms));
        routes
    })
}

async fn answer(call: Call, delay_ms: u64) -> Reply {
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    match call.json::<Question>() {
        Ok(request) => reply::json(200, &score(&request)),
        Err(failure) => reply::failure(&failure),
    }
}
