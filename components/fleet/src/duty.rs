//! The duty: a lease on calling the platform on behalf of the fleet.
//!
//! One VM at a time holds the duty. Its calls carry a token that increases with every change of
//! holder. The leader acquires the duty with a command in the log and uses its epoch as the token,
//! so two VMs never have the same token. A leader that was replaced may not have noticed, because
//! it is paused or disconnected, and a platform that does not check tokens would execute its calls.
//! The holder therefore keeps the duty only for a limited time by its own monotonic clock. The next
//! leader acquires it only after this time and a margin have passed on the fleet clock, which never
//! runs ahead of the previous holder's clock.

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds for which the duty is held without renewal in the log.
///
/// Two holders must not alternate within the lease of the platform, which is three seconds. A VM
/// that acquires the duty again waits at least for this time plus the margin after the other VM
/// acquired it.
const LEASE_MS: u64 = 3_000;
/// Milliseconds between the end of a holder's lease and the earliest acquisition by another VM. A
/// call sent at the last moment may still be in transit, and two monotonic clocks differ by some
/// milliseconds.
const MARGIN_MS: u64 = 700;
/// Minimum remaining milliseconds of the lease for a call to start.
const MIN_CALL_MS: u64 = 200;

/// The current holder of the duty according to the log.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// The VM that holds the duty.
    pub holder: String,
    /// The token of its calls.
    pub token: u64,
    /// The fleet clock at which another VM may acquire the duty.
    pub until: u64,
}

/// What a VM that wants to call the platform does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyAction {
    /// Call the platform, with a timeout of this many milliseconds.
    Call(u64),
    /// Acquire or renew the duty in the log.
    Acquire,
    /// Wait, because the holder may still be calling.
    Wait,
}

impl Holding {
    /// Creates the holding of a VM that acquires the duty at `now` of the fleet clock.
    pub fn new(holder: &str, token: u64, now: u64) -> Self {
        Self { holder: holder.to_owned(), token, until: now + LEASE_MS + MARGIN_MS }
    }

    /// Returns whether `next` may replace this holding in a command stamped `at`.
    pub fn can_pass_to(&self, next: &Self, at: u64) -> bool {
        next.token >= self.token && (next.holder == self.holder || at >= self.until)
    }

    /// Returns what the VM `holder` with this token does at `now` of the fleet clock.
    pub fn next_action(current: Option<&Self>, holder: &str, token: u64, now: u64) -> DutyAction {
        let Some(current) = current else { return DutyAction::Acquire };
        if current.holder == holder && current.token == token {
            let remaining_ms = current.until.saturating_sub(MARGIN_MS).saturating_sub(now);
            return if remaining_ms >= MIN_CALL_MS {
                DutyAction::Call(remaining_ms)
            } else {
                DutyAction::Acquire
            };
        }
        let next = Self::new(holder, token, now);
        if current.can_pass_to(&next, now) { DutyAction::Acquire } else { DutyAction::Wait }
    }
}
