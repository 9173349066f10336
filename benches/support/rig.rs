//! A daemon with the entry and control roles, and agents for engines that run in this process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::mpsc;
use std::time::Duration;

use chicoryford_settings::Settings;
use chicoryford_standin::Recorder;
use chicoryford_standin::engine;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::ports;
use chicoryford_standin::process::Process;
use chicoryford_types::Endpoint;
use chicoryford_types::Model;
use chicoryford_types::Node;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use tempfile::TempDir;

/// The settings of a [`Rig`].
pub struct RigSettings<'a> {
    /// The lines of the key file, without those of the processes and the operator.
    pub keys: &'a str,
    /// The templates to apply, in YAML.
    pub templates: &'a str,
    /// The engines. Each gets its own agent.
    pub engines: Vec<EngineSettings>,
}

const KEYS: &str = "process all process-token\noperator me operator-token\n";
const MAX_POLLS: u32 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Clock ticks per second of the processor times in /proc.
const TICKS_PER_SECOND: f64 = 100.0;

/// A figure of the entry, and the sum of the same figure over the agents.
pub struct Usage<T> {
    /// The figure of the entry's process, which also has the control role.
    pub entry: T,
    /// The sum over the agents.
    pub agents: T,
}

/// The processes of a benchmark.
pub struct Rig {
    /// The address of the entry.
    pub entry: SocketAddr,
    /// The addresses of the engines.
    pub engines: Vec<SocketAddr>,
    daemon: Process,
    agents: Vec<Process>,
    _folder: TempDir,
}

impl Rig {
    /// Starts the processes and waits until the templates are in force.
    pub fn start(settings: &RigSettings) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let path = folder.path().to_owned();
        let path = path.as_path();
        fs::write(path.join("keys"), format!("{KEYS}{}", settings.keys))?;
        fs::write(path.join("process"), "process-token\n")?;
        fs::write(path.join("operator"), "operator-token\n")?;
        fs::write(path.join("templates.yaml"), settings.templates)?;
        let mut node = load_sample_settings("node", path)?;
        node.data = Some(path.join("data"));
        for replica in node.control.iter_mut().flat_map(|control| &mut control.replicas) {
            replica.address = node.listen.to_string();
        }
        let (entry, seed) = (node.listen, node.gossip);
        let daemon = start_daemon(path, &node)?;
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for (number, engine) in settings.engines.iter().enumerate() {
            let address = start_engine(engine.clone())?;
            engines.push(address);
            let mut settings = load_sample_settings("agent", path)?;
            settings.node = Node(format!("agent-{number}"));
            settings.seeds = vec![seed];
            let Some(agent) = &mut settings.agent else {
                bail!("the sample settings have no agent role")
            };
            agent.endpoint = Endpoint(format!("engine-{number}"));
            agent.address = address.to_string();
            agent.models = models(engine);
            agent.slots = engine.slots as u32;
            agents.push(start_daemon(path, &settings)?);
        }
        let rig = Self { entry, engines, daemon, agents, _folder: folder };
        rig.apply(path.join("templates.yaml").as_path(), path)?;
        Ok(rig)
    }

    fn apply(&self, template: &Path, folder: &Path) -> Result<()> {
        let operate = |arguments: &[&str]| -> Result<String> {
            let output = Command::new(env!("CARGO_BIN_EXE_chicoryford"))
                .args(["--address", &self.entry.to_string()])
                .args(["--token", &folder.join("operator").display().to_string()])
                .args(arguments)
                .output()?;
            if !output.status.success() {
                return Err(eyre!("{}", String::from_utf8_lossy(&output.stderr).into_owned()));
            }
            Ok(String::from_utf8(output.stdout)?)
        };
        for _ in 0..MAX_POLLS {
            std::thread::sleep(POLL_INTERVAL);
            let seen = operate(&["endpoints", "--output", "json"]).unwrap_or_default();
            let seen: Vec<serde_json::Value> = serde_json::from_str(&seen).unwrap_or_default();
            let is_healthy =
                |seen: &&serde_json::Value| seen["member"]["endpoint"]["healthy"] == true;
            if seen.iter().filter(is_healthy).count() == self.agents.len() {
                operate(&["apply", "--wait", &template.display().to_string()])?;
                return Ok(());
            }
        }
        bail!("the entry does not see all endpoints as healthy")
    }

    /// Returns the processor time used so far, in seconds.
    pub fn cpu_seconds(&self) -> Result<Usage<f64>> {
        Ok(Usage { entry: cpu_seconds(&self.daemon)?, agents: sum(&self.agents, cpu_seconds)? })
    }

    /// Returns the resident memory, in KB.
    pub fn resident_kb(&self) -> Result<Usage<u64>> {
        Ok(Usage { entry: resident_kb(&self.daemon)?, agents: sum(&self.agents, resident_kb)? })
    }
}

fn sum<T: std::iter::Sum>(processes: &[Process], figure: fn(&Process) -> Result<T>) -> Result<T> {
    processes.iter().map(figure).sum()
}

fn cpu_seconds(process: &Process) -> Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let (_, fields) =
        stat.rsplit_once(") ").ok_or_else(|| eyre!("malformed process status: {stat}"))?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_kb(process: &Process) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let line = line.ok_or_else(|| eyre!("no resident memory in {status}"))?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Reads sample settings from deploy/embedded and replaces their addresses and files.
fn load_sample_settings(name: &str, folder: &Path) -> Result<Settings> {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/embedded");
    let mut settings = chicoryford_settings::load(&deploy.join(format!("{name}.yaml")))?;
    settings.listen = ports::address();
    settings.gossip = ports::address();
    settings.keys = folder.join("keys");
    settings.token = folder.join("process");
    Ok(settings)
}

fn start_daemon(folder: &Path, settings: &Settings) -> Result<Process> {
    let name = settings.node.as_str();
    let file = folder.join(format!("{name}.yaml"));
    fs::write(&file, serde_yaml_ng::to_string(settings)?)?;
    let program = Path::new(env!("CARGO_BIN_EXE_chicoryfordd"));
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    Ok(Process::start(folder, name, program, &arguments)?)
}

fn models(engine: &EngineSettings) -> Vec<Model> {
    engine.models.iter().map(|(model, _)| Model::from(model.as_str())).collect()
}

/// Starts an engine on a new thread and returns its address.
fn start_engine(settings: EngineSettings) -> Result<SocketAddr> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let Ok((running, _engine)) = engine::start(any, settings, Recorder::default()) else {
                return;
            };
            let _ = sender.send(running.address);
            std::future::pending::<()>().await;
        });
    });
    Ok(receiver.recv()?)
}
