//! One endpoint as this entry sees it.

use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::Incarnation;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Region;
use chicoryford_types::Version;

use crate::limit::AdaptiveLimit;
use crate::settings::Settings;

/// Names an endpoint cheaply within one router. It stays valid while an attempt runs there.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointId(pub u32);

/// How an attempt ended, as far as it tells of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It ran to its end.
    Finished,
    /// The agent refused it, or it was cancelled; this says nothing of the endpoint's health.
    Released,
    /// Its connection went silent, and a new connection found the endpoint well.
    Silent,
    /// The endpoint failed it, or answered no new connection either.
    Failed,
}

/// Where an endpoint is reached.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its agent.
    pub agent: Node,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Where the agent answers HTTP.
    pub address: String,
    /// Where it stands.
    pub region: Region,
    /// Where it stands.
    pub data_centre: DataCentre,
}

/// Spans of time over which own attempts in flight are remembered, to tell how many of them a
/// report has seen.
const HISTORY_SPANS: usize = 64;
/// Milliseconds of one span; a report older than all of them is judged by the oldest.
const SPAN_MS: u64 = 64;
/// The weight of a new observation in a running mean.
const MEAN_WEIGHT: f32 = 0.1;

/// What a router holds of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointState {
    /// Where it is reached.
    pub target: Target,
    /// The version of each of its models.
    pub versions: Vec<(Model, Version)>,
    /// Whether a present member announces it.
    pub present: bool,
    /// Whether one did at the observation before.
    pub was_present: bool,
    /// Whether it leaves.
    pub draining: bool,
    /// Whether it answers its agent.
    pub healthy: bool,
    /// How many attempts it runs at once.
    pub slots: u32,
    /// This entry's attempts in flight there.
    pub own_in_flight: u32,
    /// Tokens that those are still expected to produce.
    pub tokens_due: u64,
    /// The running and waiting attempts of others, by the last report.
    pub others_reported: f32,
    /// When that was so.
    pub reported_at: Option<Millis>,
    /// The number of the last report.
    pub report_seq: u64,
    /// When reports were missing, so that evictions may have been missed.
    pub gap_at: Option<Millis>,
    /// When its cache was last certainly empty.
    pub cache_reset: Millis,
    /// When it last became usable.
    pub usable_since: Millis,
    /// Milliseconds a token, at no load.
    pub token_ms: f32,
    /// Milliseconds a whole attempt.
    pub service_ms: f32,
    /// The share of attempts that failed, of late.
    pub failure_rate: f32,
    /// Failures in a row.
    pub failure_streak: u32,
    /// Until when it is ejected.
    pub ejected_until: Option<Millis>,
    /// Ejections in a row.
    pub ejections: u32,
    /// The least headroom over memory, prefill and link, in thousandths.
    pub headroom: u32,
    /// The adaptive limit of attempts.
    pub limit: AdaptiveLimit,
    /// Added to what is expected there, for its distance.
    pub distance_ms: f32,
    /// When it was last present.
    pub last_present: Millis,
    /// Own attempts in flight when the last report left.
    pub own_reported: u32,
    history: InFlightHistory,
}

/// Own attempts in flight at the end of each of the last spans of time.
#[derive(Clone, Debug)]
struct InFlightHistory {
    own: [u32; HISTORY_SPANS],
    span: u64,
}

impl Default for InFlightHistory {
    fn default() -> Self {
        Self { own: [0; HISTORY_SPANS], span: 0 }
    }
}

impl InFlightHistory {
    fn record(&mut self, now: Millis, before: u32, after: u32) {
        let span = now.0 / SPAN_MS;
        let skipped = span.saturating_sub(self.span).min(HISTORY_SPANS as u64);
        for n in 0..skipped {
            self.own[((span - n) % HISTORY_SPANS as u64) as usize] = before;
        }
        self.span = self.span.max(span);
        self.own[(self.span % HISTORY_SPANS as u64) as usize] = after;
    }

    fn at(&self, then: Millis, now: u32) -> u32 {
        let span = then.0 / SPAN_MS;
        if span >= self.span {
            return now;
        }
        let oldest = (self.span + 1).saturating_sub(HISTORY_SPANS as u64);
        self.own[(span.max(oldest) % HISTORY_SPANS as u64) as usize]
    }
}

impl EndpointState {
    /// Makes the state of an endpoint of which nothing is known yet.
    pub fn unknown() -> Self {
        Self { headroom: 1_000, ..Self::default() }
    }

    /// Takes in what the agent announces. Returns whether the endpoint became usable by this.
    pub fn apply_announcement(&mut self, now: Millis, target: Target, info: &EndpointInfo) {
        let restarted = self.target.incarnation != target.incarnation;
        let was = self.was_present && self.healthy && !self.draining && !restarted;
        self.target = target;
        for (model, version) in &info.models {
            self.update_version(model, *version, restarted);
        }
        self.versions.retain(|(model, _)| info.models.contains_key(model));
        if restarted {
            self.report_seq = 0;
        }
        self.slots = info.slots.max(1);
        self.draining = info.draining;
        self.healthy = info.healthy;
        self.present = true;
        self.last_present = now;
        self.limit.set_max(self.slots);
        if !was && info.healthy && !info.draining {
            self.usable_since = now;
            self.cache_reset = now;
        }
    }

    /// Takes in a version. A report travels faster than an announcement, so the newer of both
    /// holds; only a restart, after which an engine may run older weights again, takes it back.
    pub fn update_version(&mut self, model: &Model, version: Version, exact: bool) {
        match self.versions.iter_mut().find(|(known, _)| known == model) {
            Some((_, known)) if exact || version > *known => *known = version,
            Some(_) => {}
            None => self.versions.push((model.clone(), version)),
        }
    }

    /// Takes in a report; a late one is dropped, because it would undo a newer one.
    pub fn apply_report(&mut self, now: Millis, report: &LoadReport) -> bool {
        if report.seq <= self.report_seq && self.report_seq != 0 {
            return false;
        }
        if self.report_seq != 0 && report.seq > self.report_seq + 1 {
            self.gap_at = Some(now);
        }
        self.report_seq = report.seq;
        let left = Millis(now.0.saturating_sub(report.age_ms));
        let own = self.history.at(left, self.own_in_flight);
        self.own_reported = own;
        self.others_reported = (report.running + report.waiting).saturating_sub(own) as f32;
        self.reported_at = Some(left);
        let used = report.memory.max(report.prefill).max(report.link);
        self.headroom = 1_000_u32.saturating_sub(used);
        for (model, version) in &report.versions {
            // An endpoint's own word is exact, also when it went back after a failed swap.
            self.update_version(model, *version, true);
        }
        true
    }

    /// Counts an attempt as started.
    pub fn started(&mut self, now: Millis, tokens: u32) {
        self.history.record(now, self.own_in_flight, self.own_in_flight + 1);
        self.own_in_flight += 1;
        self.tokens_due += u64::from(tokens);
    }

    /// Counts an attempt as ended; `left` of its tokens will not come.
    pub fn ended(&mut self, now: Millis, left: u32) {
        self.history.record(now, self.own_in_flight, self.own_in_flight - 1);
        self.own_in_flight -= 1;
        self.tokens_due = if self.own_in_flight == 0 {
            0
        } else {
            self.tokens_due.saturating_sub(u64::from(left))
        };
    }

    /// Learns from a finished attempt how quick the endpoint is.
    pub fn record_duration(&mut self, settings: &Settings, ms: u64, tokens: u32, load: f32) {
        let slow = 1.0 + settings.slowdown * (load / self.slots as f32).min(1.0);
        let ms = ms as f32;
        update_mean(&mut self.service_ms, ms);
        if tokens > 0 {
            update_mean(&mut self.token_ms, ms / slow / tokens as f32);
        }
    }

    /// Estimates the attempts of others there.
    ///
    /// What a report says fades towards the mean of the pool as it ages. Without that, all
    /// entries send to the endpoint that looked empty in the last report until the next one
    /// shows it full, then to another: load swings from endpoint to endpoint.
    pub fn estimate_others(&self, now: Millis, half_ms: u64, mean: f32) -> f32 {
        let Some(seen) = self.reported_at else {
            return mean * self.slots as f32;
        };
        let trust = (-(now.since(seen) as f32) / half_ms as f32).exp2();
        let mean = mean * self.slots as f32;
        mean + (self.others_reported - mean) * trust
    }

    /// Gives the version of a model, if it is served.
    pub fn version(&self, model: &Model) -> Option<Version> {
        self.versions.iter().find(|(known, _)| known == model).map(|(_, version)| *version)
    }

    /// Gives the share of work that an endpoint of this freshness may take.
    pub fn warmup_share(&self, now: Millis, warm_ms: u64) -> f32 {
        let age = now.since(self.usable_since) as f32;
        (age / warm_ms.max(1) as f32).clamp(0.1, 1.0)
    }
}

/// Moves a running mean; the first observation sets it.
pub fn update_mean(mean: &mut f32, value: f32) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += MEAN_WEIGHT * (value - *mean);
    }
}
