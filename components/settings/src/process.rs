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

/// The settings of one process; its roles are the sections that are present.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The process's name, unique over the deployment.
    pub node: Node,
    /// The region in which it runs.
    pub region: Region,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// Where it answers HTTP.
    pub listen: SocketAddr,
    /// Where it takes gossip, by UDP.
    pub gossip: SocketAddr,
    /// Gossip addresses of a few processes that are usually there.
    pub seeds: Vec<SocketAddr>,
    /// The data folder; a control process needs one, others keep their configuration in it.
    pub data: Option<PathBuf>,
    /// The file with the keys of all who may call this process.
    pub keys: PathBuf,
    /// The file with the token by which this process presents itself.
    pub token: PathBuf,
    /// TLS, if it is to be used.
    pub tls: Option<TlsSettings>,
    /// Where metrics go, by UDP.
    pub metrics: Option<SocketAddr>,
    /// What is logged, in the words of `tracing`'s filter.
    pub log: String,
    /// How long a graceful shutdown may take, in milliseconds.
    pub grace_ms: u64,
    /// Bounds on what others may make this process hold.
    pub bounds: BoundSettings,
    /// The entry role.
    pub entry: Option<EntrySettings>,
    /// The control role.
    pub control: Option<ControlSettings>,
    /// The agent role.
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

/// TLS files, all PEM.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The certificate chain of this process.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The roots that this process trusts when it calls others.
    pub roots: PathBuf,
}

/// Bounds on what others may make a process hold.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Bytes of a body.
    pub body: usize,
    /// Connections open at once.
    pub connections: usize,
    /// Milliseconds in which a client must send its headers, and again its body.
    pub read_ms: u64,
    /// Threads that serve HTTP.
    pub workers: usize,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self { body: 8 << 20, connections: 20_000, read_ms: 10_000, workers: 2 }
    }
}

/// The entry role.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Requests in progress at once.
    pub running: usize,
    /// Requests that wait for an endpoint at once.
    pub waiting: usize,
    /// Endpoints of one model that this entry uses; others serve the rest (docs/ARCHITECTURE.md).
    pub subset: usize,
    /// Milliseconds without a frame after which a stream counts as silent.
    pub silence_ms: u64,
    /// Milliseconds without tokens after which an urgent request that may be repeated gets a second
    /// attempt, until its model's times are learned (docs/ENTRY.md).
    pub rescue_ms: u64,
    /// Whether versions that are expected while a sample runs are taken from its bound beforehand.
    pub predict: bool,
    /// Whether the last few samples of a group that run late get a second maker.
    pub hedge: bool,
    /// Bytes of finished samples held for trainers, in memory (docs/STEPS.md).
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

/// The control role.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// The replicas with which the deployment first starts, this one included.
    pub replicas: Vec<Replica>,
    /// Whether this process joins replicas that already run, as a non-voter with an empty disk.
    pub join: bool,
    /// The data folder of a replica of a deployment whose majority is lost, from which this
    /// process starts a new one, alone (docs/CONTROL.md).
    pub restore_from: Option<PathBuf>,
    /// The longest time without word from a leader before an election, in milliseconds.
    pub election_ms: u64,
    /// The time between a leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Milliseconds after which an entry that does not renew its session loses its steps.
    pub session_ms: u64,
    /// The share of a model's samplers that may be out of service for new weights, in percent.
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

/// One of the first replicas.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Its name.
    pub node: Node,
    /// Where it answers HTTP.
    pub address: String,
}

/// The agent role.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentSettings {
    /// The endpoint's name.
    pub endpoint: Endpoint,
    /// What it is.
    pub kind: EndpointKind,
    /// Where it answers HTTP.
    pub address: String,
    /// The models or the service that it offers.
    pub models: Vec<Model>,
    /// How many attempts it can run at once.
    pub slots: u32,
    /// How many attempts may wait at the agent for a slot.
    pub waiting: u32,
    /// Milliseconds between two questions for its load.
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
