//! Parameters of failure detection and gossip.

/// Parameters of failure detection and gossip. All times are in milliseconds. docs/MEMBERSHIP.md
/// describes the costs and benefits of each.
#[derive(Clone, Debug, PartialEq)]
pub struct SwimSettings {
    /// The interval between two probes.
    pub probe_ms: u64,
    /// How long to wait for a direct reply before other members are asked to probe.
    pub ping_timeout_ms: u64,
    /// How many other members are asked to probe.
    pub ping_requests: usize,
    /// One probe in this many goes to another data centre.
    pub remote_probe_interval: u64,
    /// The shortest time from suspicion to death, as a multiple of `probe_ms` times the decimal
    /// logarithm of the number of members.
    pub suspicion_multiplier: u64,
    /// The longest time from suspicion to death, as a multiple of the shortest. Independent
    /// confirmations reduce it.
    pub max_suspicion_multiplier: u64,
    /// The number of independent confirmations that reduce the time to the shortest.
    pub confirmations: usize,
    /// The highest local health score, where zero is healthy. Each point extends timeouts by one
    /// multiple.
    pub max_health_score: u64,
    /// A gap between two ticks that indicates that this process itself was suspended.
    pub pause_ms: u64,
    /// The interval between two rounds of gossip while updates are queued.
    pub gossip_ms: u64,
    /// How many members each round of gossip is sent to.
    pub fanout: usize,
    /// How often an update is sent, as a multiple of one more than the decimal logarithm of the
    /// number of members.
    pub retransmit_multiplier: u64,
    /// The interval between two digest comparisons with a random member.
    pub sync_ms: u64,
    /// How long a dead or departed member stays in the view.
    pub dead_retention_ms: u64,
    /// The maximum number of tombstones, which store the sequence numbers of removed members.
    pub max_tombstones: usize,
    /// Increased weight versions of one member are announced at most once in this time multiplied
    /// by the number of members, so that all members together stay within a fixed rate.
    pub version_interval_ms: u64,
    /// The largest datagram in bytes, including its authentication code.
    pub max_datagram_bytes: usize,
    /// Whether other members are asked to probe. Only disabled by mutation tests.
    pub indirect_probes: bool,
    /// Whether a process refutes suspicions against itself. Only disabled by mutation tests.
    pub refutation: bool,
    /// Whether a poor local health score delays suspicions. Only disabled by mutation tests.
    pub local_health: bool,
}

impl Default for SwimSettings {
    fn default() -> Self {
        Self {
            probe_ms: 1_000,
            ping_timeout_ms: 300,
            ping_requests: 3,
            remote_probe_interval: 8,
            suspicion_multiplier: 3,
            max_suspicion_multiplier: 2,
            confirmations: 3,
            max_health_score: 8,
            pause_ms: 700,
            gossip_ms: 250,
            fanout: 2,
            retransmit_multiplier: 3,
            sync_ms: 10_000,
            dead_retention_ms: 3_600_000,
            max_tombstones: 8_192,
            version_interval_ms: 4_000,
            max_datagram_bytes: 1_200,
            indirect_probes: true,
            refutation: true,
            local_health: true,
        }
    }
}
