//! The figures of failure detection and of the spreading of news.

/// The figures of failure detection and of the spreading of news. All times in milliseconds;
/// docs/MEMBERSHIP.md tells what each costs and what it buys.
#[derive(Clone, Debug, PartialEq)]
pub struct SwimSettings {
    /// The time between two probes.
    pub probe_ms: u64,
    /// How long to wait for a direct answer before others are asked to try.
    pub direct_ms: u64,
    /// How many others are asked to try.
    pub relays: usize,
    /// One probe in this many goes outside the own data centre.
    pub across: u64,
    /// The least time between suspicion and death, as a multiple of `probe_ms` times the decimal
    /// logarithm of the number of members.
    pub suspicion: u64,
    /// The longest time between suspicion and death, as a multiple of the least; independent
    /// confirmations bring it down.
    pub patience: u64,
    /// Independent confirmations that bring the suspicion to its least time.
    pub confirmations: usize,
    /// The highest score of bad local health; timeouts grow by one multiple each point.
    pub health: u64,
    /// A gap between two ticks that means this process itself was frozen.
    pub frozen_ms: u64,
    /// The time between two rounds of news while there are any.
    pub news_ms: u64,
    /// How many members a round of news goes to.
    pub fanout: usize,
    /// How often a piece of news is sent on, as a multiple of one more than the decimal logarithm
    /// of the number of members.
    pub repeats: u64,
    /// The time between two comparisons of digests with a random member.
    pub sync_ms: u64,
    /// How long a dead or departed member is shown.
    pub forget_ms: u64,
    /// How many forgotten members' numbers are remembered.
    pub remembered: usize,
    /// Rising weight versions of one member spread at most once in this time for each member of
    /// the deployment, so that all of them together stay within a fixed rate.
    pub version_ms: u64,
    /// The largest datagram, its authentication code included.
    pub datagram: usize,
    /// Whether others are asked to probe; off only to show that tests notice.
    pub indirect: bool,
    /// Whether accusations are refuted; off only to show that tests notice.
    pub refute: bool,
    /// Whether bad local health slows accusations; off only to show that tests notice.
    pub local_health: bool,
}

impl Default for SwimSettings {
    fn default() -> Self {
        Self {
            probe_ms: 1_000,
            direct_ms: 300,
            relays: 3,
            across: 8,
            suspicion: 3,
            patience: 2,
            confirmations: 3,
            health: 8,
            frozen_ms: 700,
            news_ms: 250,
            fanout: 2,
            repeats: 3,
            sync_ms: 10_000,
            forget_ms: 3_600_000,
            remembered: 8_192,
            version_ms: 4_000,
            datagram: 1_200,
            indirect: true,
            refute: true,
            local_health: true,
        }
    }
}
