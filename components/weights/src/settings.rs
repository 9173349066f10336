//! The bounds within which weights are spread.

/// The bounds within which weights are spread.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// The share of a model's samplers that may be out of service for new weights, in percent.
    pub swap_percent: u32,
    /// How many fetches the weight store bears at once.
    pub store_fetches: usize,
    /// How many others a holder of the version feeds at once.
    pub feeds: usize,
    /// Whether holders feed others at all.
    pub relay: bool,
    /// How long an order may take, in milliseconds, before it counts as lost.
    pub order_ms: u64,
    /// The time between two questions how an order goes, in milliseconds.
    pub poll_ms: u64,
    /// The wait after a first failure, in milliseconds; it doubles with each further one.
    pub backoff_ms: u64,
    /// How long a new leader orders no fetches from the store, in milliseconds, because those that
    /// the leader before it ordered may still run; about the time of one load.
    pub settle_ms: u64,
    /// How long a success counts that the announcements do not show, in milliseconds.
    pub trust_ms: u64,
    /// Failures of one version at one endpoint after which the endpoint is given up.
    pub failures: u32,
    /// What is switched off in the run that shows that it is needed.
    pub protections: Protections,
}

/// The rules that keep a rollout harmless. All hold but in tests, which switch one off and must
/// notice it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// At most a share of a model's samplers is out of service.
    pub share: bool,
    /// No version is loaded that is older than the one held, or published after a newer one.
    pub newer: bool,
    /// An endpoint has one order at a time.
    pub single: bool,
    /// The store serves a bounded number of fetches at once.
    pub store: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self { share: true, newer: true, single: true, store: true }
    }
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            swap_percent: 25,
            store_fetches: 8,
            feeds: 1,
            relay: true,
            order_ms: 8_000,
            poll_ms: 200,
            backoff_ms: 500,
            settle_ms: 3_000,
            trust_ms: 10_000,
            failures: 6,
            protections: Protections::default(),
        }
    }
}
