//! What may be set of routing; docs/TUNING.md tells operators which to touch and when.

use chicoryford_types::DataCentre;
use chicoryford_types::Node;
use chicoryford_types::Region;
use serde::Deserialize;
use serde::Serialize;

/// Where the entry that routes stands.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Location {
    /// The entry.
    pub node: Node,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// By which rule an endpoint is chosen. All but the default are kept to be measured against it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each in turn.
    RoundRobin,
    /// Any, at random.
    Random,
    /// The one with the fewest own attempts in flight, over all of the subset.
    LeastInFlight,
    /// The lesser loaded, by own attempts and the last report, of two drawn at random.
    TwoChoices,
    /// Of a few drawn at random, the quickest of those that are not among the most loaded.
    Probing,
    /// Of a few drawn at random and those that hold the prefix, the one expected to finish first.
    #[default]
    LeastFinish,
}

/// What may be set of routing.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The rule.
    pub rule: Rule,
    /// How many endpoints are drawn at random for a decision.
    pub draws: usize,
    /// How many endpoints of a model this entry uses.
    pub subset: usize,
    /// Milliseconds after which half of what a load report says of others is forgotten.
    pub half_ms: u64,
    /// How much longer a token takes at a full endpoint than at an empty one, as a share.
    pub slowdown: f32,
    /// Milliseconds that a token of an uncached prompt takes.
    pub prefill_ms: f32,
    /// Milliseconds that a generated token takes until it is learned.
    pub token_ms: f32,
    /// Milliseconds added for an endpoint in another data centre.
    pub away_ms: f32,
    /// Milliseconds added for an endpoint in another region.
    pub far_ms: f32,
    /// A holder of the prefix is preferred only up to this multiple of the mean load.
    pub bound: f32,
    /// Prefixes that the directory of caches remembers at most.
    pub prefixes: usize,
    /// Milliseconds after which a remembered prefix is no longer believed.
    pub believe_ms: u64,
    /// Milliseconds over which a fresh endpoint's share of work grows to the whole.
    pub warm_ms: u64,
    /// Failures in a row that eject an endpoint.
    pub failures: u32,
    /// Milliseconds of a first ejection; each next one is twice as long, up to 32 times.
    pub eject_ms: u64,
    /// The share of a pool that may be ejected at once.
    pub eject_cap: f32,
    /// One endpoint in this many takes the requests suspected of crashing endpoints.
    pub apart: usize,
    /// Milliseconds for which an endpoint that left is remembered.
    pub forget_ms: u64,
    /// The least headroom over memory, prefill and link, in thousandths, below which an endpoint
    /// counts as full.
    pub headroom: u32,
    /// Whether other entries are assumed to have started as much as this one since the reports.
    pub mirror: bool,
    /// Whether an endpoint's limit adapts to its latency.
    pub adapt: bool,
    /// Which protections are on; only tests turn one off.
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

/// Protections that tests turn off one at a time, to see that the checks notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Leaving endpoints get no work.
    pub drain: bool,
    /// Endpoints below the wanted version get no work.
    pub floor: bool,
    /// Ejected endpoints get no work.
    pub eject: bool,
    /// Only a share of a pool is ejected.
    pub cap: bool,
    /// Excluded endpoints get no work.
    pub exclude: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self { drain: true, floor: true, eject: true, cap: true, exclude: true }
    }
}
