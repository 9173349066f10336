//! Generates the tokens of completions. A token is a function of model, seed and index, so that a
//! completion that another engine continues with the same seed can be checked token by token.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "ston", "lagoon", "ferry", "crate", "quay", "route", "tide", "ice", "page", "volume", "author",
    "issue", "press", "note", "range", "year",
];

/// Shape parameter of the Pareto distribution of lengths. The tail is heavier for smaller values.
const PARETO_SHAPE: f64 = 1.6;
/// Maximum length of a completion, as a multiple of the median.
const MAX_MEDIANS: f64 = 40.0;

/// Returns the text of token `index`.
pub fn token(model: &str, seed: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(model.as_bytes(), seed ^ u64::from(index).rotate_left(32));
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{} ", (hash >> 8) % 100)
}

/// Returns the log-probability of token `index`.
pub fn logprob(model: &str, seed: u64, index: u32) -> f32 {
    let hash = xxh3_64_with_seed(model.as_bytes(), !seed ^ u64::from(index).rotate_left(32));
    -((hash % 4_000) as f32) / 1_000.0
}

/// Returns the length of a completion in tokens. Lengths have the given median and a heavy tail,
/// and are the same for the same prompt and seed.
pub fn length(prompt: &str, seed: u64, median: u32) -> u32 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    let scale = f64::from(median) / 2_f64.powf(1.0 / PARETO_SHAPE);
    let length = scale * uniform.powf(-1.0 / PARETO_SHAPE);
    length.min(f64::from(median) * MAX_MEDIANS).max(1.0) as u32
}

/// Counts the tokens of a text that [`token`] produced.
pub fn count(text: &str) -> u32 {
    text.split_whitespace().count() as u32
}
