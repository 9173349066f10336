//! The planner's state of an engine.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::speed::MedianSpeed;
use super::speed::Speed;
use super::speed::SpeedClass;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;

/// Half-life in milliseconds of a measured pace, which decays while there are no new measurements.
pub(super) const PACE_HALF_LIFE_MS: f64 = 2_000.0;

/// Milliseconds by which the last event of a report may be older than its arrival. Hosts report
/// four times a second.
const MAX_REPORT_AGE_MS: u64 = 250;

/// Milliseconds after an order of an earlier leader in which its load may last. A leader repeats an
/// order after 5 s, so a later load has a later order.
const INHERITED_LOAD_MS: u64 = 5_000;

/// A load of weights that an earlier leader ordered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum InheritedLoad {
    /// There is none, or it has ended.
    #[default]
    None,
    /// It was ordered at this time, and the versions have not changed since.
    Ordered(Millis),
    /// The versions have changed since the last report about a run on the engine.
    Loaded,
}

/// What the planner knows about an engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The endpoint as last announced.
    pub endpoint: Endpoint,
    /// Active runs by model.
    pub running: BTreeMap<String, u32>,
    /// The model whose weights are being loaded or are about to be.
    pub loading: Option<String>,
    /// When the last load of weights ended.
    pub(super) loaded_at: Option<Millis>,
    /// The load that an earlier leader ordered, which delays measurements until it has ended.
    pub(super) inherited_load: InheritedLoad,
    /// Moving average of the milliseconds between events; zero before the first measurement.
    pub(super) pace_ms: f64,
    /// When the pace was last measured.
    pub(super) paced_at: Millis,
    /// The speed of its hardware, measured only with `engine_speeds`.
    pub(super) speed: Speed,
    /// Consecutive failures.
    pub(super) failures: u32,
    /// No runs are assigned before this time.
    pub(super) blocked_until: Millis,
    /// The announcement sequence at which the engine turned out not to be there: its address refuses
    /// connections or belongs to another endpoint. It gets nothing until a newer announcement.
    pub(super) absent_sequence: Option<u64>,
}

impl EngineState {
    /// Creates the state of an engine without runs.
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.clone(),
            running: BTreeMap::new(),
            loading: None,
            loaded_at: None,
            inherited_load: InheritedLoad::None,
            pace_ms: 0.0,
            paced_at: Millis::default(),
            speed: Speed::default(),
            failures: 0,
            blocked_until: Millis::default(),
            absent_sequence: None,
        }
    }

    /// Records that the load of weights ended, successfully or not.
    pub fn end_load(&mut self, now: Millis) {
        self.loading = None;
        self.inherited_load = InheritedLoad::None;
        self.loaded_at = Some(now);
    }

    /// Updates the endpoint of the same incarnation. New versions end a load that an earlier leader
    /// ordered.
    pub(super) fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let has_new_versions = self.endpoint.announcement.models != endpoint.announcement.models;
        if has_new_versions && self.inherited_load != InheritedLoad::None {
            self.inherited_load = InheritedLoad::Loaded;
        }
        self.endpoint = endpoint.clone();
    }

    /// Returns whether events that were reported now, and took so many milliseconds, may have
    /// waited for a load of weights. A load pauses the runs of an engine for about a second, which
    /// says nothing about its speed.
    pub(super) fn has_paused_for_load(&mut self, measured_ms: u64, now: Millis) -> bool {
        let reported_ms = measured_ms + MAX_REPORT_AGE_MS;
        match self.inherited_load {
            InheritedLoad::Ordered(at) if now.since(at) < INHERITED_LOAD_MS + reported_ms => {
                return true;
            }
            InheritedLoad::Loaded => {
                self.inherited_load = InheritedLoad::None;
                self.loaded_at = Some(now);
            }
            InheritedLoad::Ordered(_) | InheritedLoad::None => {}
        }
        let since_load_ms = self.loaded_at.map(|at| now.since(at));
        self.loading.is_some() || since_load_ms.is_some_and(|since_ms| since_ms < reported_ms)
    }

    /// Returns the number of active runs.
    pub fn load(&self) -> u32 {
        self.running.values().sum()
    }

    /// Returns whether the engine may be assigned runs.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.is_serving() && now >= self.blocked_until
    }

    /// Returns whether the engine can work, now or after a short pause. The others are kept so that
    /// their late announcements are recognised. They must not count where engines are divided,
    /// limited or compared: each would take the place of one that can work.
    pub fn is_serving(&self) -> bool {
        let announced_since =
            self.absent_sequence.is_none_or(|since| self.endpoint.announcement.sequence > since);
        self.endpoint.status == EndpointStatus::Ready && announced_since
    }

    /// Returns the number of slots without a run.
    pub(super) fn free_slots(&self) -> u32 {
        self.endpoint.announcement.slots.saturating_sub(self.load())
    }

    /// Returns the models that runs may use, and their versions. Weights that are being loaded are
    /// not usable.
    pub(super) fn usable_models(&self) -> impl Iterator<Item = (&str, u64)> {
        let models = self.endpoint.announcement.models.iter();
        let models = models.filter(|(model, _)| self.loading.as_ref() != Some(*model));
        models.map(|(model, version)| (model.as_str(), *version))
    }

    /// Returns the decayed pace in milliseconds between events.
    pub(super) fn pace(&self, now: Millis) -> f64 {
        self.pace_ms * 0.5_f64.powf(now.since(self.paced_at) as f64 / PACE_HALF_LIFE_MS)
    }
}

/// What engines are compared with when they are ranked.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankBasis {
    /// The median of the recent paces; zero if these are not used.
    pub(super) pace_ms: f64,
    /// The median of the usual paces, if some engines are fast or slow.
    pub(super) speed: Option<MedianSpeed>,
    /// When the engines are ranked.
    pub(super) now: Millis,
}

impl RankBasis {
    /// Returns whether an engine is fast and therefore meant for long samples.
    pub(super) fn is_fast(&self, engine: &EngineState) -> bool {
        self.speed.is_some_and(|median| engine.speed.class(median.ms) == SpeedClass::Fast)
    }
}

/// Ranks an engine for another run, lower is better: by its load, multiplied by how much slower it
/// is than the median. Without `engine_speeds`, and if all engines are alike, no engine counts as
/// faster than the median: its recent pace would be noise.
pub(super) fn rank(engine: &EngineState, basis: &RankBasis) -> f64 {
    let slots = f64::from(engine.endpoint.announcement.slots.max(1));
    let load = f64::from(engine.load()) / slots;
    let ratio = match basis.speed {
        Some(median) => engine.speed.expected_ratio(median.ms, basis.now),
        None if basis.pace_ms > 0.0 => (engine.pace(basis.now) / basis.pace_ms).max(1.0),
        None => 1.0,
    };
    (1.0 + load) * ratio
}
