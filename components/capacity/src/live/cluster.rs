//! A deployment of real processes on this machine, each with its own ports and folder.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::Recorder;
use chicoryford_standin::engine;
use chicoryford_standin::engine::EngineSettings;
use eyre::Result;
use eyre::ensure;
use eyre::eyre;
use rand::Rng;
use tempfile::TempDir;

use super::operator::Operator;

const KEYS: &str =
    "process all process-token\noperator op operator-token\ncaller desk caller-token\n";
const PORTS: Range<u16> = 10_000..32_000;
const CENTRES: usize = 10;
const REGIONS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(200);

/// What a process is there for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Holds a replica of the log.
    Control,
    /// Stands beside an endpoint.
    Agent,
}

impl Role {
    /// Every role.
    pub const ALL: [Self; 3] = [Self::Entry, Self::Control, Self::Agent];

    /// Gives the name that the settings use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Agent => "agent",
        }
    }
}

/// How many processes of each role.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Control processes.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Agents.
    pub agents: usize,
}

/// One process.
pub struct Process {
    /// What it is there for.
    pub role: Role,
    /// Where it answers HTTP.
    pub address: SocketAddr,
    settings: String,
    log: String,
    child: Child,
}

impl Process {
    /// Gives its number in the operating system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment; its processes end with it.
pub struct Cluster {
    /// The processes.
    pub processes: Vec<Process>,
    /// Talks to it.
    pub operator: Operator,
    /// Where the stand-in engine answers.
    pub engine: SocketAddr,
    daemon: std::path::PathBuf,
    _folder: TempDir,
}

impl Cluster {
    /// Starts a deployment and waits until all know all.
    pub async fn start(daemon: &Path, sizes: Sizes, engine: EngineSettings) -> Result<Self> {
        let engine = start_engine(engine)?;
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("keys"), KEYS)?;
        std::fs::write(folder.path().join("token"), "process-token\n")?;
        let roles = [
            vec![Role::Control; sizes.controls],
            vec![Role::Entry; sizes.entries],
            vec![Role::Agent; sizes.agents],
        ]
        .concat();
        let ports = free_ports(2 * roles.len());
        let place = |n: usize| Place { http: ports[2 * n], gossip: ports[2 * n + 1] };
        let replicas: String = (0..sizes.controls)
            .map(|n| format!("    - {{node: node-{n:03}, address: '{}'}}\n", here(place(n).http)))
            .collect();
        let seeds: Vec<String> =
            (0..sizes.controls).map(|n| here(place(n).gossip).to_string()).collect();
        let mut processes = Vec::new();
        for (n, role) in roles.iter().enumerate() {
            let name = format!("node-{n:03}");
            std::fs::create_dir(folder.path().join(&name))?;
            let section = match role {
                Role::Control => format!("control:\n  replicas:\n{replicas}"),
                Role::Entry => "entry: {}\n".to_owned(),
                Role::Agent => format!(
                    "agent: {{endpoint: sampler-{n:03}, address: '{engine}', models: [model], slots: 4096}}\n"
                ),
            };
            let centre = n % CENTRES;
            let text = format!(
                "node: {name}\nregion: region-{}\ndata_centre: centre-{centre}\nlisten: {}\n\
                 gossip: {}\nseeds: [{}]\ndata: {name}\nkeys: keys\ntoken: token\nlog: warn\n{section}",
                centre % REGIONS,
                here(place(n).http),
                here(place(n).gossip),
                seeds.join(", "),
            );
            let settings = folder.path().join(format!("{name}.yaml")).display().to_string();
            std::fs::write(&settings, text)?;
            let log = folder.path().join(format!("{name}.log")).display().to_string();
            let child = spawn(daemon, &settings, &log)?;
            let address = here(place(n).http);
            processes.push(Process { role: *role, address, settings, log, child });
        }
        let operator = Operator::new(processes[0].address);
        let mut cluster =
            Self { processes, operator, engine, daemon: daemon.to_owned(), _folder: folder };
        cluster.settle().await?;
        Ok(cluster)
    }

    /// Waits until the control process sees everyone and a first change is in force everywhere.
    async fn settle(&mut self) -> Result<()> {
        let begun = Instant::now();
        let wanted = self.processes.len();
        loop {
            if self.operator.present().await.is_ok_and(|present| present == wanted) {
                break;
            }
            self.check(begun)?;
            actix_rt::time::sleep(LOOK).await;
        }
        while self.operator.put("workspace-000").await.is_err() {
            self.check(begun)?;
            actix_rt::time::sleep(LOOK).await;
        }
        while !self.operator.everywhere(wanted).await.unwrap_or(false) {
            self.check(begun)?;
            actix_rt::time::sleep(LOOK).await;
        }
        Ok(())
    }

    fn check(&mut self, begun: Instant) -> Result<()> {
        for process in &mut self.processes {
            if let Some(status) = process.child.try_wait()? {
                let log = std::fs::read_to_string(&process.log).unwrap_or_default();
                return Err(eyre!("a process ended with {status}: {log}"));
            }
        }
        ensure!(begun.elapsed() < PATIENCE, "the deployment did not come up in time");
        Ok(())
    }

    /// Gives the processes of one role.
    pub fn role(&self, role: Role) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(move |process| process.role == role)
    }

    /// Starts a process again that was killed, with the folder that it had.
    pub fn restart(&mut self, at: usize) -> Result<()> {
        let process = &mut self.processes[at];
        process.child = spawn(&self.daemon, &process.settings, &process.log)?;
        Ok(())
    }
}

#[derive(Clone, Copy)]
struct Place {
    http: u16,
    gossip: u16,
}

fn here(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn spawn(daemon: &Path, settings: &str, log: &str) -> Result<Child> {
    Ok(Command::new(daemon).args(["--settings", settings]).stderr(File::create(log)?).spawn()?)
}

/// Finds ports that are free for TCP and UDP, below those that the operating system gives to
/// outgoing connections.
fn free_ports(count: usize) -> Vec<u16> {
    let mut ports = std::collections::BTreeSet::new();
    while ports.len() < count {
        let port = rand::rng().random_range(PORTS);
        let tcp = TcpListener::bind(here(port));
        if tcp.is_ok() && UdpSocket::bind(here(port)).is_ok() {
            ports.insert(port);
        }
    }
    ports.into_iter().collect()
}

/// Starts one stand-in engine on a thread of this process; all agents share it.
fn start_engine(settings: EngineSettings) -> Result<SocketAddr> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let started = engine::start(here(0), settings, Recorder::default());
            let _ = sender.send(started.map(|(running, _engine)| running.address));
            std::future::pending::<()>().await;
        });
    });
    Ok(receiver.recv()??)
}
