//! Claims: the right to run a call that may not be repeated (docs/CLAIMS.md).
//!
//! A caller who loses the answer sends the call again, through another entry, after a crash of
//! the first. The claim on (workspace, key) is decided here, by a majority of control processes,
//! before any attempt leaves an entry, so a second entry learns of the first. The memory of
//! claims is bounded by a window on the key's own time of issue: an older key is refused, never
//! taken for new.

use std::collections::BTreeMap;

use chicoryford_types::Attempt;
use chicoryford_types::Digest;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::RequestId;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;
use serde::Deserialize;
use serde::Serialize;

use crate::command::AgentAssignment;
use crate::command::ClaimEnd;
use crate::command::Refusal;
use crate::command::Reply;
use crate::key::issued;

/// Milliseconds for which a key may be used after its issue.
pub const CLAIM_WINDOW_MS: u64 = 60 * 60 * 1_000;
/// Milliseconds by which a key's time of issue may lie ahead of the leader's clock.
pub const MAX_KEY_CLOCK_SKEW_MS: u64 = 5 * 60 * 1_000;
/// Claims that are kept at most; past it new ones are refused, which is truly "not run".
pub const CLAIMS: usize = 100_000;
/// Bytes of stored answers at most.
pub const ANSWERS: usize = 32 << 20;
/// Bytes of one stored answer at most; a longer one is kept as [`ClaimEnd::Unknown`].
pub const ANSWER: usize = 256 << 10;

/// The claims within the window.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Claims {
    bytes: usize,
    held: BTreeMap<Key, Claim>,
}

/// Time of issue first, so that the oldest claims stand first.
type Key = (Unix, Workspace, IdempotencyKey);

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
struct Claim {
    digest: Digest,
    attempt: Attempt,
    request: RequestId,
    to: AgentAssignment,
    end: Option<ClaimEnd>,
}

impl Claims {
    /// Counts the claims kept.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Grants a claim to the first request that asks, and to it again if it asks again.
    pub(crate) fn claim(
        &mut self,
        now: Unix,
        workspace: Workspace,
        key: IdempotencyKey,
        digest: Digest,
        by: (RequestId, AgentAssignment),
    ) -> Reply {
        self.expire(now);
        let key = match self.key(now, workspace, key) {
            Ok(key) => key,
            Err(refusal) => return refusal.into(),
        };
        if let Some(claim) = self.held.get(&key) {
            return claim.answer(digest, &by);
        }
        if self.held.len() >= CLAIMS || self.bytes >= ANSWERS {
            return Refusal::Full.into();
        }
        let (request, to) = by;
        let attempt = Attempt(1);
        self.held.insert(key, Claim { digest, attempt, request, to, end: None });
        Reply::Granted { attempt }
    }

    /// Moves a claim on after its attempt certainly did not run: a compare-and-set on the
    /// attempt, so that of two entries that both try, one wins.
    pub(crate) fn reassign(
        &mut self,
        now: Unix,
        workspace: Workspace,
        key: IdempotencyKey,
        after: Attempt,
        by: (RequestId, AgentAssignment),
    ) -> Reply {
        self.expire(now);
        let claim = match self.find(now, workspace, key) {
            Ok(claim) => claim,
            Err(refusal) => return refusal.into(),
        };
        if let Some(end) = &claim.end {
            return Reply::Ended(end.clone());
        }
        let is_resend = claim.attempt == after.next() && claim.is_by(&by);
        if claim.attempt != after && !is_resend {
            return Refusal::Moved.into();
        }
        if !is_resend {
            claim.attempt = after.next();
            (claim.request, claim.to) = by;
        }
        Reply::Granted { attempt: claim.attempt }
    }

    /// Ends a claim; the first end stands.
    pub(crate) fn settle(
        &mut self,
        now: Unix,
        workspace: Workspace,
        key: IdempotencyKey,
        attempt: Attempt,
        end: ClaimEnd,
    ) -> Reply {
        self.expire(now);
        let end = bounded(end);
        let size = size(&end);
        let claim = match self.find(now, workspace, key) {
            Ok(claim) => claim,
            Err(refusal) => return refusal.into(),
        };
        if claim.attempt != attempt {
            return Refusal::Moved.into();
        }
        match &claim.end {
            Some(first) if *first == end => Reply::Done,
            Some(first) => Reply::Ended(first.clone()),
            None => {
                claim.end = Some(end);
                self.bytes += size;
                Reply::Done
            }
        }
    }

    fn key(&self, now: Unix, workspace: Workspace, key: IdempotencyKey) -> Result<Key, Refusal> {
        let issued = issued(key.as_str()).ok_or(Refusal::KeyExpired)?;
        let is_old = issued.0.saturating_add(CLAIM_WINDOW_MS) <= now.0;
        let is_ahead = issued.0 > now.0.saturating_add(MAX_KEY_CLOCK_SKEW_MS);
        if is_old || is_ahead {
            return Err(Refusal::KeyExpired);
        }
        Ok((issued, workspace, key))
    }

    fn find(
        &mut self,
        now: Unix,
        workspace: Workspace,
        key: IdempotencyKey,
    ) -> Result<&mut Claim, Refusal> {
        let key = self.key(now, workspace, key)?;
        self.held.get_mut(&key).ok_or(Refusal::Missing)
    }

    /// Forgets claims whose keys are refused from now on.
    fn expire(&mut self, now: Unix) {
        while let Some(first) = self.held.first_entry()
            && first.key().0.0.saturating_add(CLAIM_WINDOW_MS) <= now.0
        {
            self.bytes -= first.remove().end.as_ref().map_or(0, size);
        }
    }
}

impl Claim {
    fn is_by(&self, by: &(RequestId, AgentAssignment)) -> bool {
        self.request == by.0 && self.to == by.1
    }

    fn answer(&self, digest: Digest, by: &(RequestId, AgentAssignment)) -> Reply {
        if self.digest != digest {
            return Refusal::KeyReused.into();
        }
        if let Some(end) = &self.end {
            return Reply::Ended(end.clone());
        }
        if self.is_by(by) {
            return Reply::Granted { attempt: self.attempt };
        }
        Reply::Held { request: self.request, attempt: self.attempt, to: self.to.clone() }
    }
}

fn bounded(end: ClaimEnd) -> ClaimEnd {
    if size(&end) > ANSWER { ClaimEnd::Unknown } else { end }
}

fn size(end: &ClaimEnd) -> usize {
    match end {
        ClaimEnd::Answered(answer) => answer.body.len() + answer.media.len(),
        ClaimEnd::NotRun | ClaimEnd::Unknown => 0,
    }
}
