//! What a record must be before the ledger keeps it.

use chicoryford_types::Digest;
use chicoryford_types::Span;
use chicoryford_types::Version;

use crate::command::Body;
use crate::command::Record;
use crate::holders::HELD_BODY_SIZE;
use crate::holders::has_enough_holders;

impl Record {
    /// Gives the oldest version that produced any of the tokens.
    pub fn oldest(&self) -> Option<Version> {
        Span::oldest(&self.spans)
    }

    /// Tells whether the spans name a version for each token, without gap or overlap, and there
    /// is at least one token: a sample of which no version is known has no known age.
    pub fn is_attributed(&self) -> bool {
        Span::cover(&self.spans, self.tokens) && self.tokens > 0
    }

    /// Tells whether the bytes, if they are here, are those of which the digest was taken, and
    /// if they are not, whether enough processes hold them.
    pub fn is_intact(&self) -> bool {
        match &self.body {
            Body::Inline(bytes) => Digest::of(bytes) == self.digest,
            Body::Held(holders) => has_enough_holders(holders),
        }
    }

    /// Counts what the sample takes of the ledger's bound, in bytes.
    pub fn size(&self) -> usize {
        match &self.body {
            Body::Inline(bytes) => bytes.len(),
            Body::Held(_) => HELD_BODY_SIZE,
        }
    }
}

/// Tells whether a sample whose oldest token came from `oldest` is too old for a trainer that
/// has published `newest`, under a bound in versions.
pub fn is_stale(oldest: Version, newest: Version, bound: u64) -> bool {
    oldest.0.saturating_add(bound) < newest.0
}
