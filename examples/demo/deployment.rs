//! The processes of the demonstration. Their settings are the samples in deploy/ with the addresses
//! and files of this run.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use chicoryford_settings::Settings;
use chicoryford_standin::ports;
use chicoryford_standin::process::Process;
use chicoryford_types::EndpointKind;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;

use crate::Args;

/// The sample settings of the agents. Each agent has its own endpoint.
const AGENTS: [&str; 8] = [
    "zadruga/agent-route-1",
    "zadruga/agent-route-2",
    "zadruga/agent-desk-1",
    "zadruga/agent-labels",
    "zadruga/agent-scorer",
    "dela-cruz/agent-style-1",
    "dela-cruz/agent-style-2",
    "dela-cruz/agent-citewise-1",
];
const TEMPLATES: [&str; 2] = ["zadruga/templates.yaml", "dela-cruz/templates.yaml"];
const DAEMON: &str = "embedded/node.yaml";
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The stand-in of an endpoint, and the endpoint's agent.
pub struct DeployedEndpoint {
    /// The endpoint's name.
    pub name: String,
    /// The file in which the stand-in records its requests.
    pub record: PathBuf,
    /// The stand-in's process.
    pub standin: Process,
    /// The agent's process.
    pub agent: Process,
}

/// The processes of the demonstration.
pub struct Deployment {
    /// The folder with settings, logs and records.
    pub folder: PathBuf,
    /// The daemon with the entry and control roles.
    pub daemon: Process,
    /// The daemon's HTTP address.
    pub address: SocketAddr,
    /// The endpoints.
    pub endpoints: Vec<DeployedEndpoint>,
    /// The URL of the weight store.
    pub source: String,
    store: Process,
    client: PathBuf,
}

impl Deployment {
    /// Starts all processes with the sample settings.
    pub fn new(folder: &Path, args: &Args) -> Result<Self> {
        let programs = Programs::find()?;
        write_keys(folder)?;
        let mut settings = load_sample_settings(DAEMON)?;
        localize_settings(&mut settings, folder, None)?;
        if let Some(entry) = &mut settings.entry {
            entry.predict = !args.no_prediction;
            entry.hedge = !args.no_hedging;
        }
        let (address, gossip) = (settings.listen, settings.gossip);
        for replica in settings.control.iter_mut().flat_map(|control| &mut control.replicas) {
            replica.address = address.to_string();
        }
        let daemon = start_daemon(folder, &programs, &settings)?;
        let store_address = ports::address();
        let listen = format!("--listen={store_address}");
        let store =
            Process::start(folder, "store", &programs.standin, &["store".to_owned(), listen])?;
        let endpoint = |name: &&str| start_endpoint(folder, &programs, name, gossip);
        let endpoints = AGENTS.iter().map(endpoint).collect::<Result<Vec<_>>>()?;
        Ok(Self {
            folder: folder.to_owned(),
            daemon,
            address,
            endpoints,
            source: format!("http://{store_address}"),
            store,
            client: programs.client,
        })
    }

    /// Waits until the daemon sees every endpoint as healthy.
    pub fn wait_for_endpoints(&mut self) -> Result<()> {
        let started = Instant::now();
        loop {
            let seen = self.operate(&["endpoints", "--output", "json"]).unwrap_or_default();
            let seen: Vec<serde_json::Value> = serde_json::from_str(&seen).unwrap_or_default();
            let is_healthy = |known: &&serde_json::Value| {
                known["member"]["endpoint"]["healthy"] == true && known["standing"] == "alive"
            };
            if seen.iter().filter(is_healthy).count() == self.endpoints.len() {
                println!("{} endpoints after {:.1} s", seen.len(), started.elapsed().as_secs_f64());
                return Ok(());
            }
            if let Some(name) = self.find_ended_process()? {
                bail!("{name} ended unexpectedly; see its log");
            }
            if started.elapsed() > START_TIMEOUT {
                bail!(
                    "only {} endpoints after {START_TIMEOUT:?}; see {}",
                    seen.len(),
                    self.folder.display()
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Applies the sample templates with the operators' client and waits until they are in force
    /// everywhere.
    pub fn apply_templates(&self) -> Result<()> {
        for file in TEMPLATES {
            let path = deploy_path(file);
            let started = Instant::now();
            self.operate(&["apply", "--wait", &path.display().to_string()])?;
            let seconds = started.elapsed().as_secs_f64();
            println!("{file} in force everywhere after {seconds:.1} s");
        }
        Ok(())
    }

    /// Runs the operators' client and returns its output.
    pub fn operate(&self, arguments: &[&str]) -> Result<String> {
        let output = Command::new(&self.client)
            .args(["--address", &self.address.to_string()])
            .args(["--token", &self.folder.join("operator").display().to_string()])
            .args(arguments)
            .output()?;
        if !output.status.success() {
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(eyre!("chicoryford {}: {} {error}", arguments.join(" "), output.status));
        }
        Ok(String::from_utf8(output.stdout)?)
    }

    /// Stops all processes, those of the service gracefully. Returns the names of those that did not
    /// exit with code 0.
    pub fn stop(&mut self) -> Result<Vec<String>> {
        let mut failed = Vec::new();
        let agents = self.endpoints.iter_mut().map(|endpoint| &mut endpoint.agent);
        for process in std::iter::once(&mut self.daemon).chain(agents) {
            if !process.stop(STOP_TIMEOUT)? {
                failed.push(process.name.clone());
            }
        }
        for endpoint in &mut self.endpoints {
            endpoint.standin.kill()?;
        }
        self.store.kill()?;
        Ok(failed)
    }

    /// Returns the name of a process that has ended unexpectedly, if any.
    fn find_ended_process(&mut self) -> Result<Option<String>> {
        let endpoints = self.endpoints.iter_mut();
        let processes = endpoints.flat_map(|endpoint| [&mut endpoint.standin, &mut endpoint.agent]);
        for process in [&mut self.daemon, &mut self.store].into_iter().chain(processes) {
            if process.has_ended()? {
                return Ok(Some(process.name.clone()));
            }
        }
        Ok(None)
    }

    /// Returns the endpoint with a name.
    pub fn endpoint_mut(&mut self, name: &str) -> Result<&mut DeployedEndpoint> {
        let found = self.endpoints.iter_mut().find(|endpoint| endpoint.name == name);
        found.ok_or_else(|| eyre!("no endpoint {name}"))
    }
}

struct Programs {
    daemon: PathBuf,
    client: PathBuf,
    standin: PathBuf,
}

impl Programs {
    /// Finds the programs in the target folder of this one.
    fn find() -> Result<Self> {
        let executable = std::env::current_exe()?;
        let examples = executable.parent().ok_or_else(|| eyre!("this program has no folder"))?;
        let target = examples.parent().ok_or_else(|| eyre!("this program has no folder"))?;
        let programs = Self {
            daemon: target.join("chicoryfordd"),
            client: target.join("chicoryford"),
            standin: examples.join("standin"),
        };
        for program in [&programs.daemon, &programs.client, &programs.standin] {
            if !program.exists() {
                bail!("{} is not built; run scripts/demo", program.display());
            }
        }
        Ok(programs)
    }
}

fn deploy_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(file)
}

fn load_sample_settings(file: &str) -> Result<Settings> {
    Ok(chicoryford_settings::load(&deploy_path(file))?)
}

/// Writes the keys of both sample deployments into one file, because one daemon serves both here,
/// and copies the tokens of one deployment's processes and operator.
fn write_keys(folder: &Path) -> Result<()> {
    let zadruga = fs::read_to_string(deploy_path("zadruga/keys"))?;
    let dela_cruz = fs::read_to_string(deploy_path("dela-cruz/keys"))?;
    fs::write(folder.join("keys"), format!("{zadruga}{dela_cruz}"))?;
    fs::copy(deploy_path("zadruga/tokens/process"), folder.join("process"))?;
    fs::copy(deploy_path("zadruga/tokens/operator"), folder.join("operator"))?;
    Ok(())
}

/// Replaces the addresses and files of sample settings, and nothing else.
fn localize_settings(
    settings: &mut Settings,
    folder: &Path,
    seed: Option<SocketAddr>,
) -> Result<()> {
    settings.listen = ports::address();
    settings.gossip = ports::address();
    settings.seeds = seed.into_iter().collect();
    settings.keys = folder.join("keys");
    settings.token = folder.join("process");
    settings.data = settings.data.as_ref().map(|_| folder.join("data"));
    Ok(())
}

fn start_daemon(folder: &Path, programs: &Programs, settings: &Settings) -> Result<Process> {
    let name = settings.node.as_str();
    let file = folder.join(format!("{name}.yaml"));
    fs::write(&file, serde_yaml_ng::to_string(settings)?)?;
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    Ok(Process::start(folder, name, &programs.daemon, &arguments)?)
}

/// Starts a stand-in and its agent with the sample settings `name`.
fn start_endpoint(
    folder: &Path,
    programs: &Programs,
    name: &str,
    seed: SocketAddr,
) -> Result<DeployedEndpoint> {
    let mut settings = load_sample_settings(&format!("{name}.yaml"))?;
    localize_settings(&mut settings, folder, Some(seed))?;
    let agent = settings.agent.as_mut().ok_or_else(|| eyre!("{name} has no agent role"))?;
    agent.address = ports::address().to_string();
    let endpoint = agent.endpoint.0.clone();
    let record = folder.join(format!("{endpoint}.jsonl"));
    let mut arguments = vec![
        format!("--record={}", record.display()),
        standin_role(agent.kind, &endpoint).to_owned(),
        format!("--listen={}", agent.address),
    ];
    if agent.kind == EndpointKind::Engine {
        arguments.extend(agent.models.iter().map(|model| format!("--model={model}=1")));
        arguments.push(format!("--slots={}", agent.slots));
    }
    let standin = Process::start(folder, &endpoint, &programs.standin, &arguments)
        .wrap_err_with(|| format!("starting the stand-in of {endpoint}"))?;
    let agent = start_daemon(folder, programs, &settings)?;
    Ok(DeployedEndpoint { name: endpoint, record, standin, agent })
}

fn standin_role(kind: EndpointKind, endpoint: &str) -> &'static str {
    match kind {
        EndpointKind::Engine => "engine",
        EndpointKind::Service if endpoint.contains("scorer") => "scorer",
        EndpointKind::Service => "service",
    }
}
