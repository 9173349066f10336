//! The state of one endpoint, as estimated by this entry.

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

/// Identifies an endpoint within one router by an index. It stays valid while an attempt runs
/// there.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointId(pub u32);

/// How an attempt ended, as far as it concerns the health of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It ran to completion.
    Finished,
    /// The agent refused it or it was cancelled, which does not concern the endpoint's health.
    Released,
    /// Its connection went silent, but the endpoint answered on a new connection.
    Silent,
    /// The endpoint failed it, or did not answer on a new connection either.
    Failed,
}

/// The address and location of an endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Target {
    /// The name of the endpoint.
    pub endpoint: Endpoint,
    /// Its agent.
    pub agent: Node,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The HTTP address of the agent.
    pub address: String,
    /// The region of the agent.
    pub region: Region,
    /// The data centre of the agent.
    pub data_centre: DataCentre,
}

/// The number of time spans in the history of own attempts in flight. The history determines how
/// many own attempts a load report includes.
const HISTORY_SPANS: usize = 64;
/// The length of one span in milliseconds. A report from before the oldest span is matched with the
/// oldest one.
const SPAN_MS: u64 = 64;
/// The weight of a new observation in a running mean.
const MEAN_WEIGHT: f32 = 0.1;

/// What a router records about an endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointState {
    /// Its address and location.
    pub target: Target,
    /// Its models, each with its weight version.
    pub versions: Vec<(Model, Version)>,
    /// Whether a member that is present announces it.
    pub present: bool,
    /// Whether it was present at the previous update of the members.
    pub was_present: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it answers its agent.
    pub healthy: bool,
    /// Attempts that it can run concurrently.
    pub slots: u32,
    /// This entry's attempts in flight there.
    pub own_in_flight: u32,
    /// Tokens that those attempts are still expected to generate.
    pub tokens_due: u64,
    /// Running and waiting attempts of other entries, from the last report.
    pub others_reported: f32,
    /// When the last report was sent.
    pub reported_at: Option<Millis>,
    /// The sequence number of the last report.
    pub report_seq: u64,
    /// When a gap in the reports was detected; cache evictions may have been missed before.
    pub gap_at: Option<Millis>,
    /// When its cache was last known to be empty.
    pub cache_reset: Millis,
    /// When it last became usable.
    pub usable_since: Millis,
    /// When its announcement last made it usable again after it was absent, unhealthy, draining or
    /// restarted.
    pub returned_at: Millis,
    /// Mean milliseconds per token without load.
    pub token_ms: f32,
    /// Mean milliseconds per attempt.
    pub service_ms: f32,
    /// The running mean of the share of failed attempts.
    pub failure_rate: f32,
    /// Consecutive failures.
    pub failure_streak: u32,
    /// The end of its ejection.
    pub ejected_until: Option<Millis>,
    /// Ejections, less one for each attempt that finished.
    pub ejections: u32,
    /// The smallest headroom among memory, prefill and link, in thousandths.
    pub headroom: u32,
    /// The adaptive concurrency limit.
    pub limit: AdaptiveLimit,
    /// Milliseconds added to the expected duration for its distance.
    pub distance_ms: f32,
    /// When it was last present.
    pub last_present: Millis,
    /// This entry's own attempts in flight when the last report was sent.
    pub own_reported: u32,
    history: InFlightHistory,
}

/// This entry's attempts in flight at the end of each recent time span.
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
    /// Returns the state of an endpoint about which nothing is known yet.
    pub fn unknown() -> Self {
        Self { headroom: 1_000, ..Self::default() }
    }

    /// Updates the state from an agent's announcement.
    pub fn apply_announcement(&mut self, now: Millis, target: Target, info: &EndpointInfo) {
        let restarted = self.target.incarnation != target.incarnation;
        let was_usable = self.was_present && self.healthy && !self.draining && !restarted;
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
        if !was_usable && info.healthy && !info.draining {
            self.usable_since = now;
            self.returned_at = now;
            self.cache_reset = now;
        }
    }

    /// Updates the version of a model. Reports arrive faster than announcements, so the newer
    /// version of both is kept. An `exact` version also replaces a newer one: after a restart an
    /// engine may run older weights again.
    pub fn update_version(&mut self, model: &Model, version: Version, exact: bool) {
        match self.versions.iter_mut().find(|(known, _)| known == model) {
            Some((_, known)) if exact || version > *known => *known = version,
            Some(_) => {}
            None => self.versions.push((model.clone(), version)),
        }
    }

    /// Updates the state from a load report. Returns whether the report was applied; one that
    /// arrives after a newer report is dropped.
    pub fn apply_report(&mut self, now: Millis, report: &LoadReport) -> bool {
        if report.seq <= self.report_seq && self.report_seq != 0 {
            return false;
        }
        if self.report_seq != 0 && report.seq > self.report_seq + 1 {
            self.gap_at = Some(now);
        }
        self.report_seq = report.seq;
        let sent_at = Millis(now.0.saturating_sub(report.age_ms));
        let own = self.history.at(sent_at, self.own_in_flight);
        self.own_reported = own;
        self.others_reported = (report.running + report.waiting).saturating_sub(own) as f32;
        self.reported_at = Some(sent_at);
        let used = report.memory.max(report.prefill).max(report.link);
        self.headroom = 1_000_u32.saturating_sub(used);
        for (model, version) in &report.versions {
            // A version that the endpoint reports itself is exact, also when it is older after a
            // failed swap.
            self.update_version(model, *version, true);
        }
        true
    }

    /// Returns whether the agent reported its load, or made the endpoint usable again, after
    /// `since`.
    pub fn was_heard_after(&self, since: Millis) -> bool {
        self.returned_at > since || self.reported_at.is_some_and(|at| at > since)
    }

    /// Counts the start of an attempt.
    pub fn started(&mut self, now: Millis, tokens: u32) {
        self.history.record(now, self.own_in_flight, self.own_in_flight + 1);
        self.own_in_flight += 1;
        self.tokens_due += u64::from(tokens);
    }

    /// Counts the end of an attempt. `unused_tokens` of it will not be generated.
    pub fn ended(&mut self, now: Millis, unused_tokens: u32) {
        self.history.record(now, self.own_in_flight, self.own_in_flight - 1);
        self.own_in_flight -= 1;
        self.tokens_due = if self.own_in_flight == 0 {
            0
        } else {
            self.tokens_due.saturating_sub(u64::from(unused_tokens))
        };
    }

    /// Updates the mean durations from a finished attempt.
    pub fn record_duration(&mut self, settings: &Settings, ms: u64, tokens: u32, load: f32) {
        let load_factor = 1.0 + settings.slowdown * (load / self.slots as f32).min(1.0);
        let ms = ms as f32;
        update_mean(&mut self.service_ms, ms);
        if tokens > 0 {
            update_mean(&mut self.token_ms, ms / load_factor / tokens as f32);
        }
    }

    /// Estimates the attempts of other entries there.
    ///
    /// As a report ages, the estimate converges to the mean of the pool. Otherwise all entries
    /// would send to the endpoint that was empty in the last report until the next report shows it
    /// full, and then to another: load would oscillate between endpoints.
    pub fn estimate_others(&self, now: Millis, half_ms: u64, mean: f32) -> f32 {
        let Some(reported_at) = self.reported_at else {
            return mean * self.slots as f32;
        };
        let weight = (-(now.since(reported_at) as f32) / half_ms as f32).exp2();
        let mean = mean * self.slots as f32;
        mean + (self.others_reported - mean) * weight
    }

    /// Returns the version of a model, if the endpoint serves it.
    pub fn version(&self, model: &Model) -> Option<Version> {
        self.versions.iter().find(|(known, _)| known == model).map(|(_, version)| *version)
    }

    /// Returns the share of load that the endpoint may receive while it warms up.
    pub fn warmup_share(&self, now: Millis, warm_ms: u64) -> f32 {
        let age = now.since(self.usable_since) as f32;
        (age / warm_ms.max(1) as f32).clamp(0.1, 1.0)
    }
}

/// Updates a running mean; the first observation sets it.
pub fn update_mean(mean: &mut f32, value: f32) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += MEAN_WEIGHT * (value - *mean);
    }
}
