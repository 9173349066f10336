//! Estimates the speed of engines from the reported gaps between events.
//!
//! Some fleets contain engines of several speeds. The longest samples of a step are then in time
//! only on the fast ones, so the planner must distinguish fast hardware from a slowdown that
//! passes.

use chicoryford_types::Millis;

use super::engine::PACE_HALF_LIFE_MS;

/// An engine is fast if its usual pace is at most this multiple of the median.
const FAST_RATIO: f64 = 0.75;
/// An engine is slow if its usual pace is at least this multiple of the median.
pub(super) const SLOW_CLASS_RATIO: f64 = 1.33;
/// Usual milliseconds between events below which an engine is neither fast nor slow. Hosts report
/// whole milliseconds, rounded down, so at a few milliseconds equal engines seem to differ by half.
const MIN_CLASSED_MS: f64 = 8.0;

/// Milliseconds between two updates of an estimate, and the measured time that an update needs.
/// Hosts report four times a second.
const MIN_MEASURED_MS: f64 = 200.0;
/// Milliseconds after a measurement in which other runs may still report the same events. Hosts
/// report each run every 250 ms, sometimes a few milliseconds early.
const REPEATED_MS: f64 = 240.0;
/// Time constant in milliseconds with which a shorter pace is adopted: within about a second, as
/// an engine cannot be faster than its hardware.
const DOWN_TIME_MS: f64 = 400.0;
/// Time constant in milliseconds of measured time with which a longer pace is adopted. A slowdown
/// usually passes within 8 s.
const UP_TIME_MS: f64 = 20_000.0;
/// A measurement counts as at most this multiple of the usual pace when the usual pace is raised.
/// Without this limit, 8 s at a quarter of the speed would double the usual pace.
const MAX_UP_RATIO: f64 = 1.5;
/// Time constant in milliseconds of the recent slowdown.
const RECENT_TIME_MS: f64 = 800.0;
/// Milliseconds without measurements after which half of the excess of a slow engine's pace over
/// the median is ignored. Slow engines get little work, so a wrong first measurement would
/// otherwise keep them idle indefinitely.
const RETRY_HALF_LIFE_MS: f64 = 30_000.0;

/// How an engine's usual pace compares with the median.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SpeedClass {
    Fast,
    /// Treated as equal to the median.
    Normal,
    Slow,
}

/// The speed of an engine.
#[derive(Clone, Debug)]
pub(super) struct Speed {
    /// Usual milliseconds between events; zero while unknown.
    usual_ms: f64,
    /// The recent pace as a multiple of the usual one, at least 1, at the last measurement.
    slowdown: f64,
    /// The last measurement, if it was below the usual pace. The usual pace is lowered only by two
    /// such measurements in a row, to the larger one: events that arrived together after a pause of
    /// their host look like those of a fast engine once.
    low_ms: Option<f64>,
    /// The first measurement, until there is a second one. The estimate begins with the larger one,
    /// for the same reason.
    first_ms: Option<f64>,
    /// When the estimate was last updated.
    measured_at: Millis,
    /// Milliseconds and events measured since the last update.
    pending_ms: f64,
    pending_events: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            usual_ms: 0.0,
            slowdown: 1.0,
            low_ms: None,
            first_ms: None,
            measured_at: Millis::default(),
            pending_ms: 0.0,
            pending_events: 0.0,
        }
    }
}

impl Speed {
    /// Creates the estimate of an engine whose usual pace was recorded by an earlier leader.
    pub(super) fn restored(usual_ms: f64, now: Millis) -> Self {
        Self { usual_ms, measured_at: now, ..Self::default() }
    }

    /// Returns the usual milliseconds between events, or `None` while they are unknown.
    pub(super) fn usual_ms(&self) -> Option<f64> {
        (self.usual_ms > 0.0).then_some(self.usual_ms)
    }

    /// Records that the last `events` events of a run arrived with a mean gap of `gap_ms`. A gap of
    /// zero is no measurement.
    ///
    /// A burst that several runs report is one measurement: after one that has to be confirmed,
    /// reports are ignored until they cannot contain the same events.
    pub(super) fn record(&mut self, gap_ms: f64, events: usize, now: Millis) {
        let elapsed_ms = now.since(self.measured_at) as f64;
        let is_unconfirmed = self.low_ms.is_some() || self.first_ms.is_some();
        if gap_ms <= 0.0 || events == 0 || (is_unconfirmed && elapsed_ms < REPEATED_MS) {
            return;
        }
        self.pending_ms += gap_ms * events as f64;
        self.pending_events += events as f64;
        let is_first = self.usual_ms == 0.0;
        if self.pending_ms < MIN_MEASURED_MS || elapsed_ms < MIN_MEASURED_MS {
            return;
        }
        let pace_ms = self.pending_ms / self.pending_events;
        if is_first {
            match self.first_ms.take() {
                Some(first_ms) => self.usual_ms = pace_ms.max(first_ms),
                None => self.first_ms = Some(pace_ms),
            }
        } else {
            // Concurrent runs measure the same time.
            self.update(pace_ms, self.pending_ms.min(elapsed_ms), now);
        }
        self.measured_at = now;
        (self.pending_ms, self.pending_events) = (0.0, 0.0);
    }

    fn update(&mut self, pace_ms: f64, measured_ms: f64, now: Millis) {
        let before = self.slowdown(now);
        if pace_ms < self.usual_ms {
            if let Some(low_ms) = self.low_ms.replace(pace_ms) {
                let lower_ms = pace_ms.max(low_ms);
                self.usual_ms -= (self.usual_ms - lower_ms) * weight(measured_ms, DOWN_TIME_MS);
            }
        } else {
            self.low_ms = None;
            let higher_ms = pace_ms.min(self.usual_ms * MAX_UP_RATIO);
            self.usual_ms += (higher_ms - self.usual_ms) * weight(measured_ms, UP_TIME_MS);
        }
        let recent = (pace_ms / self.usual_ms).max(1.0);
        self.slowdown = before + (recent - before) * weight(measured_ms, RECENT_TIME_MS);
    }

    /// Returns the recent pace as a multiple of the usual one, at least 1. It decays towards 1
    /// without measurements, so an engine that was slow for a while is tried again.
    pub(super) fn slowdown(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.measured_at) as f64;
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(age_ms / PACE_HALF_LIFE_MS)
    }

    /// Returns how the usual pace compares with the median. An unknown one counts as the median.
    pub(super) fn class(&self, median_ms: f64) -> SpeedClass {
        let is_classed = median_ms > 0.0 && self.usual_ms >= MIN_CLASSED_MS;
        let ratio = if is_classed { self.usual_ms / median_ms } else { 0.0 };
        match ratio {
            0.0 => SpeedClass::Normal,
            ..=FAST_RATIO => SpeedClass::Fast,
            SLOW_CLASS_RATIO.. => SpeedClass::Slow,
            _ => SpeedClass::Normal,
        }
    }

    /// Returns the expected pace as a multiple of the median.
    pub(super) fn expected_ratio(&self, median_ms: f64, now: Millis) -> f64 {
        let usual = match self.class(median_ms) {
            SpeedClass::Normal => 1.0,
            SpeedClass::Fast => self.usual_ms / median_ms,
            SpeedClass::Slow => {
                let age_ms = now.since(self.measured_at) as f64;
                let excess = self.usual_ms / median_ms - 1.0;
                1.0 + excess * 0.5_f64.powf(age_ms / RETRY_HALF_LIFE_MS)
            }
        };
        usual * self.slowdown(now)
    }
}

/// Returns the weight of a measurement of so many milliseconds in an average with a time constant.
fn weight(measured_ms: f64, time_ms: f64) -> f64 {
    1.0 - (-measured_ms / time_ms).exp()
}

/// The median speed of the engines, and how many differ from it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MedianSpeed {
    /// Milliseconds between events; zero before the first measurement.
    pub(super) ms: f64,
    /// The median that an earlier leader recorded; zero if it did not record one.
    pub(super) restored_ms: f64,
    /// Engines that are fast.
    pub(super) fast: usize,
    /// Engines that are slow.
    pub(super) slow: usize,
}

impl MedianSpeed {
    /// Recomputes the median from the engines that may get work. After a change of leader, those
    /// without measurements count as the recorded median: recorded are only the others.
    pub(super) fn update<'a>(&mut self, speeds: impl Iterator<Item = &'a Speed> + Clone) {
        let restored = Some(self.restored_ms).filter(|restored| *restored > 0.0);
        let mut paces: Vec<f64> =
            speeds.clone().filter_map(|speed| speed.usual_ms().or(restored)).collect();
        let middle = paces.len() / 2;
        if paces.is_empty() {
            return;
        }
        let (_, median, _) = paces.select_nth_unstable_by(middle, f64::total_cmp);
        self.ms = *median;
        (self.fast, self.slow) = (0, 0);
        for speed in speeds {
            match speed.class(self.ms) {
                SpeedClass::Fast => self.fast += 1,
                SpeedClass::Slow => self.slow += 1,
                SpeedClass::Normal => {}
            }
        }
    }

    /// Returns whether some engine is fast or slow. Otherwise the speeds influence no decision.
    pub(super) fn differs(&self) -> bool {
        self.fast + self.slow > 0
    }

    /// Returns whether long samples are to run on an engine of this class. Where no engine is fast,
    /// any engine that is not slow is one of the fastest.
    pub(super) fn is_fastest(&self, class: SpeedClass) -> bool {
        if self.fast > 0 { class == SpeedClass::Fast } else { class != SpeedClass::Slow }
    }
}
