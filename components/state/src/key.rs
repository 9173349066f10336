//! Keys that carry their time of issue, so that an old one is refused instead of forgotten.

use chicoryford_types::Unix;

/// Longest key that is kept.
const LENGTH: usize = 256;

/// Reads the time of issue from a key of the form `<Unix ms>.<anything>`.
pub fn issued(key: &str) -> Option<Unix> {
    let (time, rest) = key.split_once('.')?;
    let is_number = !time.is_empty() && time.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || rest.is_empty() || key.len() > LENGTH {
        return None;
    }
    time.parse().ok().map(Unix)
}
