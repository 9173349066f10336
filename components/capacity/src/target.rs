//! The size that the system has to carry in about two years, from the users' letter, and what a
//! node may spend on control.

/// Processes of the system but for the agents.
pub const NODES: f64 = 390.0;
/// VMs that may be set aside for control.
pub const CONTROLS: f64 = 7.0;
/// Entry processes: all nodes that are no control VMs.
pub const ENTRIES: f64 = NODES - CONTROLS;
/// Samplers, each with an agent.
pub const SAMPLERS: f64 = 1_600.0;
/// All processes.
pub const PROCESSES: f64 = NODES + SAMPLERS;
/// Data centres.
pub const CENTRES: f64 = 10.0;
/// Regions.
pub const REGIONS: f64 = 3.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 28_000.0;
/// Tokens generated a second at the peak.
pub const TOKENS: f64 = 7_700_000.0;
/// Trainers.
pub const TRAINERS: f64 = 21.0;
/// Samples of a step.
pub const STEP: f64 = 4_096.0;
/// Seconds in which a step's samples are whole.
pub const STEP_S: f64 = 300.0;
/// Seconds between two versions of a model's weights.
pub const PUBLISH_S: f64 = 120.0;
/// Seconds in which weights are on all samplers.
pub const WEIGHTS_S: f64 = 24.0;
/// Changes of configuration a day.
pub const CHANGES: f64 = 4_400.0;
/// Changes in one burst; taken for the planning, the letter names only the day's sum.
pub const BURST: f64 = 100.0;
/// Seconds in which a change is in force everywhere.
pub const IN_FORCE_S: f64 = 16.0;
/// VMs that fail on an ordinary day.
pub const FAILURES: f64 = 35.0;
/// VMs that are restarted or replaced a day.
pub const RESTARTS: f64 = 170.0;
/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;

/// Percent of a core that a node may spend on control.
pub const CPU: f64 = 1.5;
/// Mebibytes that a node may hold for control.
pub const MEMORY: f64 = 128.0;
/// Bytes a second that a node may spend on control.
pub const BYTES: f64 = 3_000.0;

/// Samplers of one model in each entry's subset, the default of `entry.subset`.
pub const SUBSET: f64 = 48.0;
/// Entries that read one agent's load reports, if each entry's one subset is spread evenly.
pub const READERS: f64 = ENTRIES * SUBSET / SAMPLERS;
/// Entries that follow one control process.
pub const FOLLOWERS: f64 = ENTRIES / CONTROLS;
