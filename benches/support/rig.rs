//! One daemon with entry and control, agents beside engines that run in this process.

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

/// What a rig consists of.
pub struct Plan<'a> {
    /// The content of the key file, without the processes' own and the operator's.
    pub keys: &'a str,
    /// The templates.
    pub templates: &'a str,
    /// The engines, each beside an agent.
    pub engines: Vec<EngineSettings>,
}

const KEYS: &str = "process all process-token\noperator me operator-token\n";
const TRIES: u32 = 100;
const LOOK: Duration = Duration::from_millis(200);
/// Ticks a second of the processor times in /proc.
const TICKS: f64 = 100.0;

/// A figure of the entry and the sum of the agents'.
pub struct Both<T> {
    /// The entry's, which is the control process as well.
    pub entry: T,
    /// The agents'.
    pub agents: T,
}

/// The processes.
pub struct Rig {
    /// Where the entry answers.
    pub entry: SocketAddr,
    /// Where the engines answer.
    pub engines: Vec<SocketAddr>,
    daemon: Process,
    agents: Vec<Process>,
    _folder: TempDir,
}

impl Rig {
    /// Starts them and waits until a template is in force.
    pub fn start(plan: &Plan) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let at = folder.path().to_owned();
        let at = at.as_path();
        fs::write(at.join("keys"), format!("{KEYS}{}", plan.keys))?;
        fs::write(at.join("process"), "process-token\n")?;
        fs::write(at.join("operator"), "operator-token\n")?;
        fs::write(at.join("templates.yaml"), plan.templates)?;
        let mut settings = sample("node", at)?;
        settings.data = Some(at.join("data"));
        for replica in settings.control.iter_mut().flat_map(|control| &mut control.replicas) {
            replica.address = settings.listen.to_string();
        }
        let (entry, seed) = (settings.listen, settings.gossip);
        let daemon = start(at, &settings)?;
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for (number, engine) in plan.engines.iter().enumerate() {
            let address = start_engine(engine.clone())?;
            engines.push(address);
            let mut settings = sample("agent", at)?;
            settings.node = Node(format!("agent-{number}"));
            settings.seeds = vec![seed];
            let Some(agent) = &mut settings.agent else { bail!("the sample is no agent's") };
            agent.endpoint = Endpoint(format!("engine-{number}"));
            agent.address = address.to_string();
            agent.models = models(engine);
            agent.slots = engine.slots as u32;
            agents.push(start(at, &settings)?);
        }
        let rig = Self { entry, engines, daemon, agents, _folder: folder };
        rig.apply(at.join("templates.yaml").as_path(), at)?;
        Ok(rig)
    }

    fn apply(&self, template: &Path, at: &Path) -> Result<()> {
        let operate = |arguments: &[&str]| -> Result<String> {
            let output = Command::new(env!("CARGO_BIN_EXE_chicoryford"))
                .args(["--address", &self.entry.to_string()])
                .args(["--token", &at.join("operator").display().to_string()])
                .args(arguments)
                .output()?;
            if !output.status.success() {
                return Err(eyre!("{}", String::from_utf8_lossy(&output.stderr).into_owned()));
            }
            Ok(String::from_utf8(output.stdout)?)
        };
        for _ in 0..TRIES {
            std::thread::sleep(LOOK);
            let seen = operate(&["endpoints", "--output", "json"]).unwrap_or_default();
            let seen: Vec<serde_json::Value> = serde_json::from_str(&seen).unwrap_or_default();
            let serves = |seen: &&serde_json::Value| seen["member"]["endpoint"]["healthy"] == true;
            if seen.iter().filter(serves).count() == self.agents.len() {
                operate(&["apply", "--wait", &template.display().to_string()])?;
                return Ok(());
            }
        }
        bail!("the endpoints did not come")
    }

    /// Gives the processor time spent so far, in seconds.
    pub fn spent(&self) -> Result<Both<f64>> {
        Ok(Both { entry: spent(&self.daemon)?, agents: sum(&self.agents, spent)? })
    }

    /// Gives the resident memory, in KB.
    pub fn resident(&self) -> Result<Both<u64>> {
        Ok(Both { entry: resident(&self.daemon)?, agents: sum(&self.agents, resident)? })
    }
}

fn sum<T: std::iter::Sum>(of: &[Process], one: fn(&Process) -> Result<T>) -> Result<T> {
    of.iter().map(one).sum()
}

fn spent(process: &Process) -> Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let (_, fields) = stat.rsplit_once(") ").ok_or_else(|| eyre!("malformed: {stat}"))?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS)
}

fn resident(process: &Process) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let line = line.ok_or_else(|| eyre!("no memory in {status}"))?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Reads a sample of the settings and moves it to this machine.
fn sample(name: &str, folder: &Path) -> Result<Settings> {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/embedded");
    let mut settings = chicoryford_settings::load(&deploy.join(format!("{name}.yaml")))?;
    settings.listen = ports::address();
    settings.gossip = ports::address();
    settings.keys = folder.join("keys");
    settings.token = folder.join("process");
    Ok(settings)
}

fn start(folder: &Path, settings: &Settings) -> Result<Process> {
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

/// Starts an engine on a thread of its own.
fn start_engine(settings: EngineSettings) -> Result<SocketAddr> {
    let (told, address) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let Ok((running, _engine)) = engine::start(any, settings, Recorder::default()) else {
                return;
            };
            let _ = told.send(running.address);
            std::future::pending::<()>().await;
        });
    });
    Ok(address.recv()?)
}
