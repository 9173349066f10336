//! Claims: the right to run a call that may not be repeated (docs/CLAIMS.md).
//!
//! A caller that loses the answer sends the call again, possibly through another entry after the
//! first one crashed. The claim on (workspace, key) is decided here by a majority of control
//! processes before any attempt leaves an entry, so a second entry is informed of the first. Claims
//! are only stored within a window on the key's own time of issue: an older key is refused and
//! never mistaken for a new one.

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
use crate::key::issue_time;

/// Milliseconds for which a key may be used after its time of issue.
pub const CLAIM_WINDOW_MS: u64 = 60 * 60 * 1_000;
/// Maximum milliseconds by which a key's time of issue may be ahead of the leader's clock.
pub const MAX_KEY_CLOCK_SKEW_MS: u64 = 5 * 60 * 1_000;
/// Maximum number of stored claims. Beyond it new claims are refused, so their calls are known not
/// to have run.
pub const MAX_CLAIMS: usize = 100_000;
/// Maximum bytes of stored answers.
pub const MAX_ANSWERS_BYTES: usize = 32 << 20;
/// Maximum bytes of one stored answer. A larger one is stored as [`ClaimEnd::Unknown`].
pub const MAX_ANSWER_BYTES: usize = 256 << 10;

/// The claims within the window.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Claims {
    bytes: usize,
    held: BTreeMap<Key, Claim>,
}

/// The time of issue comes first, so that the oldest claims sort first.
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
    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Grants a claim to the first request, and again to the same request if it asks again.
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
            return claim.reply(digest, &by);
        }
        if self.held.len() >= MAX_CLAIMS || self.bytes >= MAX_ANSWERS_BYTES {
            return Refusal::Full.into();
        }
        let (request, to) = by;
        let attempt = Attempt(1);
        self.held.insert(key, Claim { digest, attempt, request, to, end: None });
        Reply::Granted { attempt }
    }

    /// Moves a claim to its next attempt after the current one did not run. This is a
    /// compare-and-set on the attempt, so that of two entries that both try, one succeeds.
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
        let is_resend = claim.attempt == after.next() && claim.belongs_to(&by);
        if claim.attempt != after && !is_resend {
            return Refusal::Moved.into();
        }
        if !is_resend {
            claim.attempt = after.next();
            (claim.request, claim.to) = by;
        }
        Reply::Granted { attempt: claim.attempt }
    }

    /// Ends a claim. The first outcome is final.
    pub(crate) fn settle(
        &mut self,
        now: Unix,
        workspace: Workspace,
        key: IdempotencyKey,
        attempt: Attempt,
        end: ClaimEnd,
    ) -> Reply {
        self.expire(now);
        let end = limit_size(end);
        let bytes = answer_size(&end);
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
                self.bytes += bytes;
                Reply::Done
            }
        }
    }

    fn key(&self, now: Unix, workspace: Workspace, key: IdempotencyKey) -> Result<Key, Refusal> {
        let issued = issue_time(key.as_str()).ok_or(Refusal::KeyExpired)?;
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

    /// Evicts claims whose keys are refused from now on.
    fn expire(&mut self, now: Unix) {
        while let Some(first) = self.held.first_entry()
            && first.key().0.0.saturating_add(CLAIM_WINDOW_MS) <= now.0
        {
            self.bytes -= first.remove().end.as_ref().map_or(0, answer_size);
        }
    }
}

impl Claim {
    fn belongs_to(&self, by: &(RequestId, AgentAssignment)) -> bool {
        self.request == by.0 && self.to == by.1
    }

    fn reply(&self, digest: Digest, by: &(RequestId, AgentAssignment)) -> Reply {
        if self.digest != digest {
            return Refusal::KeyReused.into();
        }
        if let Some(end) = &self.end {
            return Reply::Ended(end.clone());
        }
        if self.belongs_to(by) {
            return Reply::Granted { attempt: self.attempt };
        }
        Reply::Held { request: self.request, attempt: self.attempt, to: self.to.clone() }
    }
}

fn limit_size(end: ClaimEnd) -> ClaimEnd {
    if answer_size(&end) > MAX_ANSWER_BYTES { ClaimEnd::Unknown } else { end }
}

fn answer_size(end: &ClaimEnd) -> usize {
    match end {
        ClaimEnd::Answered(answer) => answer.body.len() + answer.media.len(),
        ClaimEnd::NotRun | ClaimEnd::Unknown => 0,
    }
}
