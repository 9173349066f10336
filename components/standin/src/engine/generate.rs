//! The tokens of a completion: a function of model, seed and index, so that a completion that is
//! continued elsewhere with the same seed can be checked token by token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "ston", "lagoon", "ferry", "crate", "quay", "route", "tide", "ice", "page", "volume", "author",
    "issue", "press", "note", "range", "year",
];

/// The shape of the lengths' distribution: a Pareto tail, heavier the smaller it is.
const TAIL: f64 = 1.6;
/// A completion is at most this many times the median long.
const LONGEST: f64 = 40.0;

/// Gives the text of token `index`.
pub fn token(model: &str, seed: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(model.as_bytes(), seed ^ u64::from(index).rotate_left(32));
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{} ", (hash >> 8) % 100)
}

/// Gives the log-probability of token `index`.
pub fn logprob(model: &str, seed: u64, index: u32) -> f32 {
    let hash = xxh3_64_with_seed(model.as_bytes(), !seed ^ u64::from(index).rotate_left(32));
    -((hash % 4_000) as f32) / 1_000.0
}

/// Gives the length of a completion in tokens: heavy-tailed around `median`, the same for the
/// same prompt and seed.
pub fn length(prompt: &str, seed: u64, median: u32) -> u32 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    let scale = f64::from(median) / 2_f64.powf(1.0 / TAIL);
    let drawn = scale * uniform.powf(-1.0 / TAIL);
    drawn.min(f64::from(median) * LONGEST).max(1.0) as u32
}

/// Counts the tokens of a text that [`token`] produced.
pub fn count(text: &str) -> u32 {
    text.split_whitespace().count() as u32
}
