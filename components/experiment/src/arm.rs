//! What is compared, and under which faults.

use chicoryford_routing::Rule;

/// One way to decide, measured beside others with the same seed.
#[derive(Clone, Copy, Debug)]
pub struct Arm {
    /// Its name in the table.
    pub name: &'static str,
    /// The rule of routing.
    pub rule: Rule,
    /// How many endpoints are drawn for a decision.
    pub draws: usize,
    /// Whether prompts' prefixes are known to routing.
    pub prefix: bool,
    /// Milliseconds after which half of what a report says is forgotten.
    pub half_ms: u64,
    /// Whether anything is refused or waits at the door.
    pub admission: bool,
    /// Whether failing endpoints are ejected.
    pub eject: bool,
    /// Whether a group's last samples get a second attempt.
    pub hedge: bool,
    /// Whether an urgent request whose stream is silent gets a second attempt before the silence
    /// counts as a failure.
    pub rescue: bool,
    /// Whether an endpoint's limit adapts to its latency.
    pub adapt: bool,
    /// Whether an attempt that was lost is continued from the tokens that had arrived.
    pub resume: bool,
    /// Whether samples expected to be long start first.
    pub longest: bool,
}

/// The simplest: each endpoint in turn, nothing refused.
pub const ROUND_ROBIN: Arm = Arm {
    name: "round-robin",
    rule: Rule::RoundRobin,
    draws: 4,
    prefix: true,
    half_ms: 1_000,
    admission: false,
    eject: false,
    hedge: false,
    rescue: false,
    resume: false,
    adapt: true,
    longest: false,
};
/// The fewest own attempts in flight, nothing refused.
pub const LEAST: Arm = Arm { name: "least-in-flight", rule: Rule::LeastInFlight, ..ROUND_ROBIN };
/// Routing alone.
pub const ROUTED: Arm =
    Arm { name: "least-finish", rule: Rule::LeastFinish, eject: true, ..ROUND_ROBIN };
/// Routing and admission.
pub const ADMITTED: Arm = Arm { name: "+admission", admission: true, ..ROUTED };
/// The same, with silent urgent requests rescued.
pub const RESCUED: Arm = Arm { name: "+rescue", rescue: true, ..ADMITTED };
/// The same, with the last of a group hedged.
pub const HEDGED: Arm = Arm { name: "+hedging", hedge: true, ..RESCUED };
/// The same, with the longest samples first.
pub const LONGEST: Arm = Arm { name: "+longest-first", longest: true, ..HEDGED };

/// The same, with lost attempts continued elsewhere.
pub const RESUMED: Arm = Arm { name: "+resume", resume: true, ..LONGEST };
/// The same, with the limits that agents announce.
pub const FIXED: Arm = Arm { name: "+fixed-limit", adapt: false, ..RESUMED };
/// The arms of the whole table.
pub const ARMS: [Arm; 9] =
    [ROUND_ROBIN, LEAST, ROUTED, ADMITTED, RESCUED, HEDGED, LONGEST, RESUMED, FIXED];

/// The rules of routing beside each other, and variants of the one that is kept.
pub const RULES: [Arm; 12] = [
    ROUND_ROBIN,
    Arm { name: "random", rule: Rule::Random, ..ROUND_ROBIN },
    LEAST,
    Arm { name: "two-choices", rule: Rule::TwoChoices, ..ROUND_ROBIN },
    Arm { name: "probing", rule: Rule::Probing, ..ROUND_ROBIN },
    Arm { name: "finish-no-prefix", rule: Rule::LeastFinish, prefix: false, ..ROUND_ROBIN },
    Arm { name: "finish-2", rule: Rule::LeastFinish, draws: 2, ..ROUND_ROBIN },
    Arm { name: "finish-4", rule: Rule::LeastFinish, ..ROUND_ROBIN },
    Arm { name: "finish-8", rule: Rule::LeastFinish, draws: 8, ..ROUND_ROBIN },
    Arm { name: "finish-half-300", rule: Rule::LeastFinish, half_ms: 300, ..ROUND_ROBIN },
    Arm { name: "finish-half-3000", rule: Rule::LeastFinish, half_ms: 3_000, ..ROUND_ROBIN },
    Arm { name: "finish-no-age", rule: Rule::LeastFinish, half_ms: 1 << 40, ..ROUND_ROBIN },
];

/// A fault that is injected all along a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// One endpoint in twenty crashes, and is down for a while, then another.
    Crash,
    /// One endpoint in twenty makes no progress for a while, then another.
    Freeze,
    /// Load reports arrive late.
    Lag,
    /// One attempt in fifty loses its connection without a sign.
    Silent,
    /// One swap in three fails and is tried again later.
    Swap,
}

/// All faults.
pub const FAULTS: [Fault; 6] =
    [Fault::None, Fault::Crash, Fault::Freeze, Fault::Lag, Fault::Silent, Fault::Swap];
