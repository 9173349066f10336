//! The settings of weight rollouts.

/// The settings of weight rollouts.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// The share of a model's samplers that may be out of service to load weights, in percent.
    pub swap_percent: u32,
    /// The most concurrent fetches from the weight store.
    pub store_fetches: usize,
    /// The most endpoints that fetch a version from one holder concurrently.
    pub feeds: usize,
    /// Whether endpoints may fetch weights from other holders, and not only from the store.
    pub relay: bool,
    /// The timeout of an order, in milliseconds.
    pub order_ms: u64,
    /// The interval at which the state of an order is polled, in milliseconds.
    pub poll_ms: u64,
    /// The delay after a first failure, in milliseconds; doubles with each further one.
    pub backoff_ms: u64,
    /// How long a new leader orders no fetches from the store, in milliseconds, because fetches
    /// that the previous leader ordered may still run; about the duration of one load.
    pub settle_ms: u64,
    /// How long a version that a reply confirmed counts although it is not announced, in
    /// milliseconds.
    pub trust_ms: u64,
    /// Failures of one version at one endpoint after which the planner gives up on it.
    pub failures: u32,
    /// Which protections are enabled; only tests disable one.
    pub protections: Protections,
}

/// The safety rules of a rollout. Tests disable one at a time, to verify that the checks detect the
/// loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// At most a share of a model's samplers is out of service.
    pub share: bool,
    /// A version is never loaded if it is older than the one in use, or if a newer one was
    /// published before it.
    pub newer: bool,
    /// An endpoint has at most one order at a time.
    pub single: bool,
    /// Concurrent fetches from the store are bounded.
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
