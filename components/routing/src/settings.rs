//! The settings of routing; docs/TUNING.md describes which to change and when.

use chicoryford_types::DataCentre;
use chicoryford_types::Node;
use chicoryford_types::Region;
use serde::Deserialize;
use serde::Serialize;

/// The location of the entry that routes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Location {
    /// The entry.
    pub node: Node,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The rule by which an endpoint is chosen. The others are kept as baselines for the default one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// In turn.
    RoundRobin,
    /// At random.
    Random,
    /// The endpoint of the subset with the fewest own attempts in flight.
    LeastInFlight,
    /// The less loaded of two random endpoints, by own attempts and the last report.
    TwoChoices,
    /// The fastest of a few random endpoints, among those that are not heavily loaded.
    Probing,
    /// The endpoint with the earliest expected finish, of a few random ones and those that have
    /// cached the prefix.
    #[default]
    LeastFinish,
}

/// The settings of routing.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The rule.
    pub rule: Rule,
    /// The number of random endpoints per decision.
    pub draws: usize,
    /// The number of endpoints of a model that this entry uses.
    pub subset: usize,
    /// The half-life of the load of other entries in a report, in milliseconds.
    pub half_ms: u64,
    /// The relative increase of the time per token at a full endpoint over an empty one.
    pub slowdown: f32,
    /// Milliseconds per prompt token that is not cached.
    pub prefill_ms: f32,
    /// Milliseconds per generated token until measurements are available.
    pub token_ms: f32,
    /// Milliseconds added for an endpoint in another data centre.
    pub away_ms: f32,
    /// Milliseconds added for an endpoint in another region.
    pub far_ms: f32,
    /// The multiple of the mean load up to which an endpoint that has cached the prefix is
    /// preferred.
    pub bound: f32,
    /// The capacity of the prefix directory.
    pub prefixes: usize,
    /// Milliseconds after which an entry of the prefix directory is ignored.
    pub believe_ms: u64,
    /// Milliseconds over which the load of a newly usable endpoint grows to its full share.
    pub warm_ms: u64,
    /// Consecutive failures after which an endpoint is ejected.
    pub failures: u32,
    /// Milliseconds of a first ejection; doubles with each further one, up to 32 times.
    pub eject_ms: u64,
    /// The largest share of a pool that may be ejected at the same time.
    pub eject_cap: f32,
    /// One endpoint in this many runs the requests that are suspected of crashing endpoints.
    pub apart: usize,
    /// Milliseconds for which a departed endpoint is remembered.
    pub forget_ms: u64,
    /// The headroom among memory, prefill and link, in thousandths, below which an endpoint counts
    /// as full.
    pub headroom: u32,
    /// Whether to assume that other entries started as many attempts as this one since the last
    /// reports.
    pub mirror: bool,
    /// Whether an endpoint's limit adapts to its latency.
    pub adapt: bool,
    /// Which protections are enabled; only tests disable one.
    #[serde(skip)]
    pub protections: Protections,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rule: Rule::LeastFinish,
            draws: 4,
            subset: 48,
            half_ms: 1_000,
            slowdown: 1.0,
            prefill_ms: 0.2,
            token_ms: 20.0,
            away_ms: 2.0,
            far_ms: 60.0,
            bound: 1.25,
            prefixes: 65_536,
            believe_ms: 120_000,
            warm_ms: 10_000,
            failures: 3,
            eject_ms: 5_000,
            eject_cap: 0.3,
            apart: 8,
            forget_ms: 600_000,
            headroom: 50,
            mirror: true,
            adapt: false,
            protections: Protections::default(),
        }
    }
}

/// Protections that tests disable one at a time, to verify that the checks detect the loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Draining endpoints receive no attempts.
    pub drain: bool,
    /// Endpoints below the required version receive no attempts.
    pub floor: bool,
    /// Ejected endpoints receive no attempts.
    pub eject: bool,
    /// At most a share of a pool is ejected.
    pub cap: bool,
    /// Excluded endpoints receive no attempts.
    pub exclude: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self { drain: true, floor: true, eject: true, cap: true, exclude: true }
    }
}
