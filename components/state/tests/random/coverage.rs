//! Counts the replies of a run by kind. A run that never reaches a case does not test it.

use std::collections::BTreeMap;
use std::sync::Mutex;

use chicoryford_state::Reply;

static SEEN: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// Replies that a run must produce.
const REQUIRED_REPLIES: [&str; 22] = [
    "Accepted",
    "Conflict",
    "IdReused",
    "IdExpired",
    "NotNewer",
    "Granted",
    "Held",
    "Ended",
    "KeyExpired",
    "KeyReused",
    "Moved",
    "Session",
    "Opened",
    "Taken",
    "Owned",
    "Kept",
    "Duplicate",
    "Fenced",
    "Undeliverable",
    "Batch",
    "BadCursor",
    "NotReady",
];

/// Counts a reply.
pub fn count(reply: &Reply) {
    let text = format!("{reply:?}");
    let mut words = text.split(|letter: char| !letter.is_alphanumeric());
    let kind = words.find(|word| !["Ledger", "Refused"].contains(word));
    let mut seen = SEEN.lock().unwrap();
    *seen.entry(kind.unwrap_or_default().to_owned()).or_default() += 1;
}

/// Prints the counts, and panics if a required kind is missing.
pub fn report() {
    let seen = SEEN.lock().unwrap();
    println!("answers={seen:?}");
    let missed: Vec<_> =
        REQUIRED_REPLIES.iter().filter(|kind| !seen.contains_key(**kind)).collect();
    assert!(missed.is_empty(), "never answered: {missed:?}");
}
