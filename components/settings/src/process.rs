//! The settings of one process.

use std::net::SocketAddr;
use std::path::PathBuf;

use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointKind;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Region;
use serde::Deserialize;
use serde::Serialize;

/// The settings of one process. The process has a role if the section of the role is present.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of the process, unique within the deployment.
    pub node: Node,
    /// The region in which it runs.
    pub region: Region,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// The address of its HTTP server.
    pub listen: SocketAddr,
    /// The UDP address at which it receives gossip.
    pub gossip: SocketAddr,
    /// The gossip addresses of a few processes that are usually available.
    pub seeds: Vec<SocketAddr>,
    /// The data folder. It is required for a control process; others store their configuration in
    /// it.
    pub data: Option<PathBuf>,
    /// The file with the keys of everyone who may call this process.
    pub keys: PathBuf,
    /// The file with the token that authenticates this process.
    pub token: PathBuf,
    /// The TLS settings; without them, TLS is not used.
    pub tls: Option<TlsSettings>,
    /// The UDP address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// The log filter, in the syntax of `tracing`.
    pub log: String,
    /// The maximum duration of a graceful shutdown, in milliseconds.
    pub grace_ms: u64,
    /// The limits on requests and connections of other processes and callers.
    pub bounds: BoundSettings,
    /// The settings of the entry role.
    pub entry: Option<EntrySettings>,
    /// The settings of the control role.
    pub control: Option<ControlSettings>,
    /// The settings of the agent role.
    pub agent: Option<AgentSettings>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            node: Node::from("node"),
            region: Region::from("region"),
            data_centre: DataCentre::from("data-centre"),
            listen: SocketAddr::from(([127, 0, 0, 1], 7_100)),
            gossip: SocketAddr::from(([127, 0, 0, 1], 7_101)),
            seeds: Vec::new(),
            data: None,
            keys: PathBuf::from("keys"),
            token: PathBuf::from("token"),
            tls: None,
            metrics: None,
            log: "info".to_owned(),
            grace_ms: 30_000,
            bounds: BoundSettings::default(),
            entry: None,
            control: None,
            agent: None,
        }
    }
}

/// The TLS files, all in PEM format.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The certificate chain of this process.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The root certificates that this process trusts when it calls others.
    pub roots: PathBuf,
}

/// The limits on requests and connections of other processes and callers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// The maximum size of a body, in bytes.
    pub body: usize,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The timeout for receiving the headers of a request, and again for its body, in milliseconds.
    pub read_ms: u64,
    /// The number of threads that serve HTTP.
    pub workers: usize,
    /// The memory limit of the process, in MB (10^6 bytes), from which follows how much it holds for
    /// its clients.
    pub memory_mb: u64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self { body: 8 << 20, connections: 20_000, read_ms: 10_000, workers: 2, memory_mb: 1_024 }
    }
}

/// The settings of the entry role.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// The maximum number of requests in progress.
    pub running: usize,
    /// The maximum number of requests that wait for an endpoint.
    pub waiting: usize,
    /// The number of endpoints per model that this entry uses; other entries use the rest
    /// (docs/ARCHITECTURE.md).
    pub subset: usize,
    /// Milliseconds without a frame after which a stream is considered silent.
    pub silence_ms: u64,
    /// Milliseconds without tokens after which an urgent request that may be repeated gets a second
    /// attempt. It applies until enough latencies of the model have been measured (docs/ENTRY.md).
    pub rescue_ms: u64,
    /// Whether the number of versions expected to be published during the run of a sample is
    /// subtracted from its freshness bound in advance.
    pub predict: bool,
    /// Whether the last few samples of a group get a second run if they are late.
    pub hedge: bool,
    /// The maximum size of finished samples that are held in memory for trainers, in bytes
    /// (docs/STEPS.md).
    pub bodies: usize,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            running: 4_096,
            waiting: 4_096,
            subset: 48,
            silence_ms: 3_000,
            rescue_ms: 1_200,
            predict: true,
            hedge: true,
            bodies: 256 << 20,
        }
    }
}

/// The settings of the control role.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// The initial replicas of the deployment, including this one.
    pub replicas: Vec<Replica>,
    /// Whether this process joins replicas that are already running, as a non-voter with an empty
    /// disk.
    pub join: bool,
    /// The data folder of a replica of a deployment that has lost its majority. This process starts
    /// a new deployment from it, as the only replica (docs/CONTROL.md).
    pub restore_from: Option<PathBuf>,
    /// The maximum time without a message from a leader before an election, in milliseconds.
    pub election_ms: u64,
    /// The interval between the heartbeats of a leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Milliseconds after which an entry that does not renew its session loses its steps.
    pub session_ms: u64,
    /// The maximum share of a model's engines that may be out of service while they load new
    /// weights, in percent.
    pub swap_percent: u32,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            join: false,
            restore_from: None,
            election_ms: 1_000,
            heartbeat_ms: 150,
            session_ms: 5_000,
            swap_percent: 25,
        }
    }
}

/// One of the initial replicas.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Its name.
    pub node: Node,
    /// The address of its HTTP server.
    pub address: String,
}

/// The settings of the agent role.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentSettings {
    /// The endpoint's name.
    pub endpoint: Endpoint,
    /// The kind of the endpoint.
    pub kind: EndpointKind,
    /// The address of the endpoint's HTTP server.
    pub address: String,
    /// The models or the service that it offers.
    pub models: Vec<Model>,
    /// How many attempts it can run concurrently.
    pub slots: u32,
    /// How many attempts may be queued at the agent for a slot.
    pub waiting: u32,
    /// The interval between two queries of the endpoint's load, in milliseconds.
    pub report_ms: u64,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            endpoint: Endpoint::default(),
            kind: EndpointKind::Engine,
            address: "127.0.0.1:8000".to_owned(),
            models: Vec::new(),
            slots: 16,
            waiting: 16,
            report_ms: 500,
        }
    }
}
