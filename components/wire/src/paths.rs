//! The paths of the HTTP servers of processes; docs/API.md describes the public ones.

/// Generations with the chat completions API.
pub const CHAT: &str = "/v1/chat/completions";
/// Generations with the completions API.
pub const COMPLETIONS: &str = "/v1/completions";
/// Calls of plain services; the name of the service and the path follow.
pub const SERVICES: &str = "/v1/services/";

/// Opens a step.
pub const STEP_OPEN: &str = "/trainer/v1/open";
/// Pulls finished groups.
pub const STEP_PULL: &str = "/trainer/v1/pull";
/// Acknowledges a pulled batch.
pub const STEP_ACK: &str = "/trainer/v1/ack";

/// Publishes a version of a model's weights.
pub const PUBLISH: &str = "/trainer/v1/publish";

/// Submits an operator's command (`chicoryford_state::Command`) as JSON.
pub const OPERATE: &str = "/operator/v1/command";
/// Returns the accepted configuration as JSON.
pub const CONFIG: &str = "/operator/v1/config";
/// Returns, at a control process, the accepted configuration as JSON, including every change that
/// was accepted before the request. It is refused if no majority confirms the leader.
pub const CURRENT: &str = "/operator/v1/current";
/// Returns which revision each process has in force, as JSON.
pub const IN_FORCE: &str = "/operator/v1/in-force";
/// Returns the members and endpoints as JSON.
pub const MEMBERS: &str = "/operator/v1/members";
/// Returns the leader, the epoch and the replicas as JSON.
pub const CONTROL_STATUS: &str = "/operator/v1/control";

/// Proposes a command to the control processes.
pub const PROPOSE: &str = "/peer/v1/propose";
/// Receives messages of the consensus protocol between control processes.
pub const AGREEMENT: &str = "/peer/v1/agreement";
/// Returns the configuration changes after a position to a follower. It is a long poll.
pub const FOLLOW: &str = "/peer/v1/follow";
/// Returns, at a control process, what the processes that follow it have in force.
pub const SUBTREE: &str = "/peer/v1/subtree";
/// Returns, at a control process, the highest epoch that it has seen.
pub const EPOCH: &str = "/peer/v1/epoch";

/// Renews an entry's session with the leader (`chicoryford_state::SessionRenewal`).
pub const RENEW: &str = "/peer/v1/renew";

/// Stores the body of a sample at an entry (`chicoryford_bodies::message::Put`).
pub const BODY_PUT: &str = "/peer/v1/body/put";
/// Returns the bodies of samples that an entry stores.
pub const BODY_GET: &str = "/peer/v1/body/get";
/// Deletes the bodies of samples that are no longer needed from an entry.
pub const BODY_DROP: &str = "/peer/v1/body/drop";

/// Streams load reports to an entry, in the framing that docs/ARCHITECTURE.md describes.
pub const REPORTS: &str = "/agent/v1/reports";
/// Runs an attempt; the answer is a stream of frames.
pub const WORK: &str = "/agent/v1/work";
/// Returns the state of an attempt, and revokes it if the agent has never received it.
pub const ATTEMPT: &str = "/agent/v1/attempt";
/// Returns whether an attempt is blamed for a crash of its endpoint. It is a long poll.
pub const CRASH: &str = "/agent/v1/crash";
/// Receives an order of the leader.
pub const ORDER: &str = "/agent/v1/order";
/// Returns whether the agent and its endpoint respond. Used to distinguish a silent connection from
/// a failed endpoint.
pub const PROBE: &str = "/agent/v1/probe";

/// Returns whether the process is alive.
pub const HEALTH: &str = "/healthz";
/// Returns whether the process accepts work.
pub const READY: &str = "/readyz";
/// Returns the state dump of the process as JSON.
pub const DUMP: &str = "/dump";
