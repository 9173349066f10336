//! The settings of one process of a fleet.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use chicoryford_fleet::Policy;
use chicoryford_fleet::StaleKeyPolicy;
use chicoryford_fleet::hedge::SecondAttempts;
use chicoryford_fleet::overload::Limits;
use chicoryford_fleet::usage::Windows;
use chicoryford_ingress as ingress;
use serde::Deserialize;
use thiserror::Error;

/// Descriptors that a process without callers needs for its files and links.
const OWN_DESCRIPTORS: usize = 256;

/// A call to the platform that must be made by one VM at a time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Reports of what workspaces used.
    Usage,
    /// Orders that scale the number of endpoints.
    Scaling,
}

/// The settings, as docs/SETTINGS.md lists them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name.
    pub node: String,
    /// The VM's address.
    pub ip: IpAddr,
    /// The address on which this process listens, if others reach it at `ip` through a proxy or
    /// translation; `ip` by default.
    pub listen_ip: Option<IpAddr>,
    /// Its data centre.
    pub data_centre: String,
    /// The port for links between processes of the fleet; the same on all VMs.
    pub link_port: u16,
    /// Addresses of control processes that were known when the file was written.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, with empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// The data folder. A process that has one and serves `control` is a replica.
    pub data: Option<PathBuf>,
    /// Where callers and trainers are served.
    pub entry: Option<SocketAddr>,
    /// Where readiness checks are served.
    pub ready: Option<SocketAddr>,
    /// Where endpoints and operators are served.
    pub control: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Number of VMs with data that may be lost at once.
    #[serde(default = "one")]
    pub tolerated: u32,
    /// Milliseconds between the stop signal and the kill.
    #[serde(default = "eight_seconds")]
    pub grace_ms: u64,
    /// Milliseconds within which two leaders must not both send orders to the same engine.
    #[serde(default = "three_seconds")]
    pub lease_ms: u64,
    /// Whether engines reject orders with an older epoch than the newest that they have seen.
    #[serde(default)]
    pub fenced: bool,
    /// Whether an entry without a leader refuses callers with keys, after
    /// [`Settings::revocation_ms`].
    #[serde(default)]
    pub strict_keys: bool,
    /// Milliseconds of the leader's silence after which keys may have been revoked without this
    /// entry receiving it.
    #[serde(default = "five_seconds")]
    pub revocation_ms: u64,
    /// Where the platform receives calls made on behalf of the fleet.
    pub platform: Option<SocketAddr>,
    /// Which of these calls the platform expects.
    #[serde(default)]
    pub duties: Vec<Duty>,
    /// Length of a usage window in seconds.
    #[serde(default = "five")]
    pub usage_window_s: u64,
    /// Seconds after its submission for which a step's results are kept.
    #[serde(default = "two_minutes")]
    pub keep_s: u64,
    /// Memory limit of the process in MB (10^6 bytes). Without it, or with zero, memory is not
    /// limited.
    pub memory_mb: Option<u64>,
    /// File descriptor limit of the process. Without it, or with zero, descriptors are not limited.
    pub descriptors: Option<u64>,
    /// Limits on what the process holds for its clients. Its memory and its connections follow from
    /// the limits above unless they are set here.
    #[serde(default)]
    pub clients: ingress::Limits,
    /// Mechanisms that are switched off in order to measure their effect.
    #[serde(default)]
    pub policy: Policy,
    /// Limits of second attempts per service.
    #[serde(default)]
    pub second_attempts: SecondAttempts,
    /// What is logged.
    #[serde(default = "info")]
    pub log: String,
}

fn one() -> u32 {
    1
}

fn eight_seconds() -> u64 {
    8_000
}

fn three_seconds() -> u64 {
    3_000
}

fn five() -> u64 {
    5
}

fn five_seconds() -> u64 {
    5_000
}

fn two_minutes() -> u64 {
    120
}

fn info() -> String {
    "info".to_owned()
}

/// The settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {0}")]
    Read(PathBuf, #[source] std::io::Error),
    /// The file is not a valid settings file.
    #[error("{0} is no settings file")]
    Parse(PathBuf, #[source] serde_yaml_ng::Error),
}

/// Reads a settings file.
///
/// # Errors
///
/// [`SettingsError`], which names the file, and the field if one is invalid.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.to_owned(), e))?;
    serde_yaml_ng::from_str(&text).map_err(|e| SettingsError::Parse(path.to_owned(), e))
}

impl Settings {
    /// Returns the link address of a control process with this control address.
    pub fn link_address(&self, control: SocketAddr) -> SocketAddr {
        SocketAddr::new(control.ip(), self.link_port)
    }

    /// Returns the link addresses of the seeds.
    pub fn seed_link_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| self.link_address(*seed)).collect()
    }

    /// Returns how long keys are accepted without a leader.
    pub fn stale_key_policy(&self) -> StaleKeyPolicy {
        StaleKeyPolicy { strict: self.strict_keys, limit_ms: self.revocation_ms }
    }

    /// Returns the address to which usage is reported, if it is.
    pub fn usage_address(&self) -> Option<SocketAddr> {
        self.platform.filter(|_| self.duties.contains(&Duty::Usage))
    }

    /// Returns the usage windows.
    pub fn windows(&self) -> Windows {
        Windows { length_ms: self.usage_window_s.max(1) * 1_000 }
    }

    /// Returns the limits of this process.
    pub fn limits(&self) -> Limits {
        let limit = |limit: Option<u64>| limit.filter(|limit| *limit > 0);
        Limits { memory_mb: limit(self.memory_mb), descriptors: limit(self.descriptors) }
    }

    /// Returns the limits on what this process holds for its clients. An entry needs half of its
    /// descriptors for endpoints, stores and files, another process a few for files and links.
    /// Without overload protection, connections are not limited.
    pub fn client_limits(&self) -> ingress::Limits {
        let Limits { memory_mb, descriptors } = self.limits();
        let memory_bytes = memory_mb.map(|memory| memory * 1_000_000);
        let descriptors = descriptors.filter(|_| self.policy.overload_protection);
        let connections = descriptors.map(|descriptors| match self.entry {
            Some(_) => descriptors as usize / 2,
            None => (descriptors as usize).saturating_sub(OWN_DESCRIPTORS),
        });
        ingress::Limits {
            memory_bytes: self.clients.memory_bytes.or(memory_bytes),
            connections: self.clients.connections.or(connections),
            ..self.clients
        }
    }

    /// Returns the address to listen on for an address at which others reach this process.
    pub fn listen_address(&self, reached: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.listen_ip.unwrap_or(reached.ip()), reached.port())
    }

    /// Returns the link address of this process.
    pub fn own_link_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.link_port)
    }
}
