//! Who may call the platform on the fleet's behalf.
//!
//! Such calls are the duty of one VM at a time, with a token that rises with each change of holder.
//! The leader takes the duty by a command in the log, and its epoch is the token, so no two VMs can
//! ever have the same. A leader that was replaced may not know it yet: it may be frozen or cut off,
//! and a platform that checks no tokens would carry out what it says. So it holds the duty for a
//! limited time by its own steady clock, and the next leader takes it only when that time and a
//! margin are over by the fleet's clock, which never runs ahead of the clock of the holder before.

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds for which the duty is held without another word in the log.
///
/// Two holders must not act by turns within the lease of the platform, three seconds: whoever takes
/// the duty back waits for this long and the margin since the other took it.
const HOLD_MS: u64 = 3_000;
/// Milliseconds between the end of a holder's time and the beginning of the next one's: a call that
/// left at the last moment is still on its way, and two steady clocks differ by some milliseconds.
const MARGIN_MS: u64 = 700;
/// Milliseconds that must be left of the time for a call to begin.
const LEAST_MS: u64 = 200;

/// Who holds the duty, as the log says.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Holding {
    /// The holder's VM.
    pub holder: String,
    /// The token of its calls.
    pub token: u64,
    /// The fleet's clock until which nobody else may take the duty.
    pub until: u64,
}

/// What one who wants to call does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyAction {
    /// It calls, and abandons the call after so many milliseconds.
    Call(u64),
    /// It writes into the log that it holds the duty.
    Acquire,
    /// It waits: another may still be calling.
    Wait,
}

impl Holding {
    /// Makes the holding of one who takes the duty when the fleet's clock reads `now`.
    pub fn new(holder: &str, token: u64, now: u64) -> Self {
        Self { holder: holder.to_owned(), token, until: now + HOLD_MS + MARGIN_MS }
    }

    /// Tells whether another one may come after this one, in a command of this time.
    pub fn can_pass_to(&self, next: &Self, at: u64) -> bool {
        next.token >= self.token && (next.holder == self.holder || at >= self.until)
    }

    /// Decides what the VM does that has this token.
    pub fn next_action(held: Option<&Self>, holder: &str, token: u64, now: u64) -> DutyAction {
        let Some(held) = held else { return DutyAction::Acquire };
        if held.holder == holder && held.token == token {
            let left = held.until.saturating_sub(MARGIN_MS).saturating_sub(now);
            return if left >= LEAST_MS { DutyAction::Call(left) } else { DutyAction::Acquire };
        }
        let next = Self::new(holder, token, now);
        if held.can_pass_to(&next, now) { DutyAction::Acquire } else { DutyAction::Wait }
    }
}
