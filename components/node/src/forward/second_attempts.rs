//! Second attempts of a request: when one is due, whether it is permitted, and how it ends.

use chicoryford_fleet::hedge::HedgeDecision;
use chicoryford_fleet::hedge::RouteTimes;
use chicoryford_fleet::pick::Target;

use super::dispatch::Dispatch;
use crate::metrics;

/// Multiple of the usual response time after which a second attempt starts concurrently. An
/// endpoint that becomes slow takes about four times as long; about one attempt in a hundred takes
/// three times as long by chance.
const HEDGE_FACTOR: f64 = 3.0;
/// Minimum time before a second attempt in milliseconds, also used while the usual response time is
/// unknown.
const MIN_HEDGE_MS: u64 = 60;

impl Dispatch<'_> {
    pub(super) fn hedge_ms(&self) -> u64 {
        let usual = self.forwarder.picker.borrow().median_ms(self.route);
        usual.map_or(MIN_HEDGE_MS, |ms| ((ms * HEDGE_FACTOR) as u64).max(MIN_HEDGE_MS))
    }

    /// Decides whether a second attempt that is due is made. Returns its endpoint if it needs a new
    /// connection.
    pub(super) fn hedge(&mut self) -> Option<Target> {
        let decision = if self.forwarder.policy.second_attempts {
            self.forwarder.hedging.borrow_mut().decide(self.service, self.route_times())
        } else {
            HedgeDecision::Off
        };
        self.hedge = Some(decision);
        let withheld = match decision {
            HedgeDecision::Send => None,
            HedgeDecision::Limit => Some("withheld_limit"),
            HedgeDecision::Slow => Some("withheld_slow"),
            HedgeDecision::Off => return None,
        };
        if let Some(withheld) = withheld {
            metrics::SECOND_ATTEMPTS.with_label_values(&[self.service, withheld]).inc();
            return None;
        }
        self.attempts.permit();
        if self.attempts.gate.borrow().held() > 0 {
            return None;
        }
        self.picks_second.set(true);
        let target = self.pick_endpoint().ok();
        self.picks_second.set(false);
        if target.is_none() && self.attempts.gate.borrow().live() <= 1 {
            self.hedge = None;
            self.refund();
        }
        target
    }

    fn route_times(&self) -> RouteTimes {
        let picker = self.forwarder.picker.borrow();
        let (median_ms, baseline_ms) =
            (picker.median_ms(self.route), picker.baseline_ms(self.route));
        RouteTimes { median_ms, baseline_ms }
    }

    /// Returns whether a second attempt that is due now would be sent.
    pub(super) fn would_hedge(&self) -> bool {
        self.forwarder.policy.second_attempts
            && self.forwarder.hedging.borrow().preview(self.service, self.route_times())
                == HedgeDecision::Send
    }

    /// Returns the credit of a second attempt that was permitted and not sent.
    pub(super) fn refund(&self) {
        if self.attempts.gate.borrow_mut().withdraw() {
            self.forwarder.hedging.borrow_mut().refund(self.service);
        }
    }

    /// Counts the second attempts that won and those that were wasted, and returns the credit of
    /// one that was not sent.
    pub(super) fn record_seconds(&self) {
        self.refund();
        for second in self.attempts.gate.borrow().seconds() {
            let outcome = if self.winner == Some(*second) { "won" } else { "wasted" };
            metrics::SECOND_ATTEMPTS.with_label_values(&[self.service, outcome]).inc();
        }
    }
}
