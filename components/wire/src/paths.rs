//! The paths at which processes answer; docs/API.md describes those for outsiders.

/// Generations in the shape of chat completions.
pub const CHAT: &str = "/v1/chat/completions";
/// Generations in the shape of completions.
pub const COMPLETIONS: &str = "/v1/completions";
/// Calls of plain services; the service's name and path follow.
pub const SERVICES: &str = "/v1/services/";

/// Opens a step.
pub const STEP_OPEN: &str = "/trainer/v1/open";
/// Pulls finished groups.
pub const STEP_PULL: &str = "/trainer/v1/pull";
/// Acknowledges what was pulled.
pub const STEP_ACK: &str = "/trainer/v1/ack";

/// Publishes a version of a model's weights.
pub const PUBLISH: &str = "/trainer/v1/publish";

/// Submits one command of an operator (`chicoryford_state::Command`) as JSON.
pub const OPERATE: &str = "/operator/v1/command";
/// Asks for accepted configuration as JSON.
pub const CONFIG: &str = "/operator/v1/config";
/// Asks a control process for accepted configuration, as JSON, that holds every change accepted
/// before the question; refused where no majority confirms who leads.
pub const CURRENT: &str = "/operator/v1/current";
/// Asks for who has which revision in force, as JSON.
pub const IN_FORCE: &str = "/operator/v1/in-force";
/// Asks for members and endpoints, as JSON.
pub const MEMBERS: &str = "/operator/v1/members";
/// Asks for the leader, epoch and replicas, as JSON.
pub const CONTROL_STATUS: &str = "/operator/v1/control";

/// Proposes a command to the control processes.
pub const PROPOSE: &str = "/peer/v1/propose";
/// Carries messages of the agreement between control processes.
pub const AGREEMENT: &str = "/peer/v1/agreement";
/// Asks a parent for configuration beyond a position; the answer waits until there is some.
pub const FOLLOW: &str = "/peer/v1/follow";
/// Asks a control process what the processes that follow it have in force.
pub const SUBTREE: &str = "/peer/v1/subtree";
/// Asks a control process for the highest epoch that it knows.
pub const EPOCH: &str = "/peer/v1/epoch";

/// Renews an entry's session with the leader (`chicoryford_state::SessionRenewal`).
pub const RENEW: &str = "/peer/v1/renew";

/// Has an entry hold a sample's bytes (`chicoryford_bodies::message::Put`).
pub const BODY_PUT: &str = "/peer/v1/body/put";
/// Asks an entry for samples' bytes that it holds.
pub const BODY_GET: &str = "/peer/v1/body/get";
/// Tells an entry that samples' bytes are of no use any more.
pub const BODY_DROP: &str = "/peer/v1/body/drop";

/// Streams load reports to an entry, framed as docs/ARCHITECTURE.md says.
pub const REPORTS: &str = "/agent/v1/reports";
/// Runs an attempt; the answer is a stream of frames.
pub const WORK: &str = "/agent/v1/work";
/// Asks what became of an attempt and revokes it if it was never seen.
pub const ATTEMPT: &str = "/agent/v1/attempt";
/// Gives an order.
pub const ORDER: &str = "/agent/v1/order";
/// Asks whether the agent and its endpoint answer; used to tell a silent connection from a dead
/// endpoint.
pub const PROBE: &str = "/agent/v1/probe";

/// Tells whether the process lives.
pub const HEALTH: &str = "/healthz";
/// Tells whether the process takes work.
pub const READY: &str = "/readyz";
/// Gives the process's state dump as JSON.
pub const DUMP: &str = "/dump";
