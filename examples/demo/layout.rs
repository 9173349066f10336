//! Which processes run, with which settings: the samples in deploy/, moved to this machine.

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

/// The settings of the agents, each beside an endpoint of its own.
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
const START: Duration = Duration::from_secs(30);
const STOP: Duration = Duration::from_secs(40);
const LOOK: Duration = Duration::from_millis(200);

/// An endpoint, its stand-in and its agent.
pub struct Place {
    /// The endpoint's name.
    pub endpoint: String,
    /// Where its stand-in appends its record.
    pub record: PathBuf,
    /// The stand-in.
    pub standin: Process,
    /// The agent beside it.
    pub agent: Process,
}

/// The processes of the demonstration.
pub struct Layout {
    /// Where settings, logs and records are.
    pub folder: PathBuf,
    /// The daemon with the entry and control roles.
    pub daemon: Process,
    /// Where the daemon answers HTTP.
    pub address: SocketAddr,
    /// The endpoints.
    pub places: Vec<Place>,
    /// Where the weight store answers.
    pub source: String,
    store: Process,
    client: PathBuf,
}

impl Layout {
    /// Starts all processes with the sample settings moved to this machine.
    pub fn new(folder: &Path, args: &Args) -> Result<Self> {
        let programs = Programs::find()?;
        write_keys(folder)?;
        let mut settings = sample(DAEMON)?;
        move_here(&mut settings, folder, None)?;
        if let Some(entry) = &mut settings.entry {
            entry.predict = !args.no_prediction;
            entry.hedge = !args.no_hedging;
        }
        let (address, gossip) = (settings.listen, settings.gossip);
        for replica in settings.control.iter_mut().flat_map(|control| &mut control.replicas) {
            replica.address = address.to_string();
        }
        let daemon = daemon(folder, &programs, &settings)?;
        let store_address = ports::address();
        let listen = format!("--listen={store_address}");
        let store =
            Process::start(folder, "store", &programs.standin, &["store".to_owned(), listen])?;
        let place = |name: &&str| start_place(folder, &programs, name, gossip);
        let places = AGENTS.iter().map(place).collect::<Result<Vec<_>>>()?;
        Ok(Self {
            folder: folder.to_owned(),
            daemon,
            address,
            places,
            source: format!("http://{store_address}"),
            store,
            client: programs.client,
        })
    }

    /// Waits until the daemon sees every endpoint.
    pub fn start(&mut self) -> Result<()> {
        let begun = Instant::now();
        loop {
            let seen = self.operate(&["endpoints", "--output", "json"]).unwrap_or_default();
            let seen: Vec<serde_json::Value> = serde_json::from_str(&seen).unwrap_or_default();
            let serving = |known: &&serde_json::Value| {
                known["member"]["endpoint"]["healthy"] == true && known["standing"] == "alive"
            };
            if seen.iter().filter(serving).count() == self.places.len() {
                println!("{} endpoints after {:.1} s", seen.len(), begun.elapsed().as_secs_f64());
                return Ok(());
            }
            if let Some(name) = self.ended()? {
                bail!("{name} ended by itself; see its log");
            }
            if begun.elapsed() > START {
                bail!(
                    "only {} endpoints after {START:?}; see {}",
                    seen.len(),
                    self.folder.display()
                );
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Applies the sample templates with the operators' client and waits until they are in force
    /// everywhere.
    pub fn apply_templates(&self) -> Result<()> {
        for file in TEMPLATES {
            let path = deploy(file);
            let begun = Instant::now();
            self.operate(&["apply", "--wait", &path.display().to_string()])?;
            let seconds = begun.elapsed().as_secs_f64();
            println!("{file} in force everywhere after {seconds:.1} s");
        }
        Ok(())
    }

    /// Runs the operators' client and gives what it prints.
    pub fn operate(&self, arguments: &[&str]) -> Result<String> {
        let output = Command::new(&self.client)
            .args(["--address", &self.address.to_string()])
            .args(["--token", &self.folder.join("operator").display().to_string()])
            .args(arguments)
            .output()?;
        if !output.status.success() {
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(eyre!("chicoryford {}: {} {said}", arguments.join(" "), output.status));
        }
        Ok(String::from_utf8(output.stdout)?)
    }

    /// Stops everything, the system gracefully, and names the processes that did not stop well.
    pub fn stop(&mut self) -> Result<Vec<String>> {
        let mut failed = Vec::new();
        let agents = self.places.iter_mut().map(|place| &mut place.agent);
        for process in std::iter::once(&mut self.daemon).chain(agents) {
            if !process.stop(STOP)? {
                failed.push(process.name.clone());
            }
        }
        for place in &mut self.places {
            place.standin.kill()?;
        }
        self.store.kill()?;
        Ok(failed)
    }

    /// Names a process that ended by itself.
    fn ended(&mut self) -> Result<Option<String>> {
        let places = self.places.iter_mut();
        let beside = places.flat_map(|place| [&mut place.standin, &mut place.agent]);
        for process in [&mut self.daemon, &mut self.store].into_iter().chain(beside) {
            if process.has_ended()? {
                return Ok(Some(process.name.clone()));
            }
        }
        Ok(None)
    }

    /// Finds the place of an endpoint.
    pub fn place(&mut self, endpoint: &str) -> Result<&mut Place> {
        let found = self.places.iter_mut().find(|place| place.endpoint == endpoint);
        found.ok_or_else(|| eyre!("no endpoint {endpoint}"))
    }
}

struct Programs {
    daemon: PathBuf,
    client: PathBuf,
    standin: PathBuf,
}

impl Programs {
    /// Finds the programs built beside this one.
    fn find() -> Result<Self> {
        let own = std::env::current_exe()?;
        let examples = own.parent().ok_or_else(|| eyre!("this program has no folder"))?;
        let built = examples.parent().ok_or_else(|| eyre!("this program has no folder"))?;
        let programs = Self {
            daemon: built.join("chicoryfordd"),
            client: built.join("chicoryford"),
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

fn deploy(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(file)
}

fn sample(file: &str) -> Result<Settings> {
    Ok(chicoryford_settings::load(&deploy(file))?)
}

/// Puts the keys of both deployments into one file, and one process token into another: here
/// both are served by one daemon.
fn write_keys(folder: &Path) -> Result<()> {
    let zadruga = fs::read_to_string(deploy("zadruga/keys"))?;
    let dela_cruz = fs::read_to_string(deploy("dela-cruz/keys"))?;
    fs::write(folder.join("keys"), format!("{zadruga}{dela_cruz}"))?;
    fs::copy(deploy("zadruga/tokens/process"), folder.join("process"))?;
    fs::copy(deploy("zadruga/tokens/operator"), folder.join("operator"))?;
    Ok(())
}

/// Changes what depends on the machine: addresses, files and nothing else.
fn move_here(settings: &mut Settings, folder: &Path, seed: Option<SocketAddr>) -> Result<()> {
    settings.listen = ports::address();
    settings.gossip = ports::address();
    settings.seeds = seed.into_iter().collect();
    settings.keys = folder.join("keys");
    settings.token = folder.join("process");
    settings.data = settings.data.as_ref().map(|_| folder.join("data"));
    Ok(())
}

fn daemon(folder: &Path, programs: &Programs, settings: &Settings) -> Result<Process> {
    let name = settings.node.as_str();
    let file = folder.join(format!("{name}.yaml"));
    fs::write(&file, serde_yaml_ng::to_string(settings)?)?;
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    Ok(Process::start(folder, name, &programs.daemon, &arguments)?)
}

fn start_place(folder: &Path, programs: &Programs, name: &str, seed: SocketAddr) -> Result<Place> {
    let mut settings = sample(&format!("{name}.yaml"))?;
    move_here(&mut settings, folder, Some(seed))?;
    let agent = settings.agent.as_mut().ok_or_else(|| eyre!("{name} is no agent"))?;
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
        .wrap_err_with(|| format!("the stand-in of {endpoint}"))?;
    let agent = daemon(folder, programs, &settings)?;
    Ok(Place { endpoint, record, standin, agent })
}

fn standin_role(kind: EndpointKind, endpoint: &str) -> &'static str {
    match kind {
        EndpointKind::Engine => "engine",
        EndpointKind::Service if endpoint.contains("scorer") => "scorer",
        EndpointKind::Service => "service",
    }
}
