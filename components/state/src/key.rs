//! Keys that contain their time of issue, so that an expired key can be refused without being
//! stored.

use chicoryford_types::Unix;

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Returns the time of issue of a key of the form `<Unix ms>.<anything>`.
pub fn issue_time(key: &str) -> Option<Unix> {
    let (time, rest) = key.split_once('.')?;
    let is_number = !time.is_empty() && time.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || rest.is_empty() || key.len() > MAX_KEY_BYTES {
        return None;
    }
    time.parse().ok().map(Unix)
}
