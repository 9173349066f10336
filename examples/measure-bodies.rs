//! Measures the cost of a sample for the control processes and the duration of a pull, with the
//! samples' bytes in the replicated log and with the bytes at the entries (docs/STEPS.md).
//!
//! Run it with `cargo build --release && cargo run --release --example measure-bodies`. It starts
//! three control processes, three entries, an agent and a stand-in engine on loopback. With
//! `entry.bodies: 0` every entry refuses to store bodies, so that the bytes stay in the log.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::Recorder;
use chicoryford_standin::engine;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::ports;
use chicoryford_standin::process::Process;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Answer;
use chicoryford_standin::raw::Question;
use chicoryford_wire::paths;
use eyre::OptionExt;
use eyre::Result;
use eyre::ensure;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

const GROUPS: usize = 128;
const SAMPLES: usize = 8;
/// Groups of one pull.
const GROUPS_PER_PULL: usize = 8;
const NODES: usize = 3;
const IDLE: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The most bytes by which the log grows between two polls when a step records no new samples.
const QUIET_GROWTH_BYTES: u64 = 3_000;
/// Consecutive polls without more growth than that after which all samples count as recorded.
const QUIET_POLLS: u32 = 8;
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Microseconds of a clock tick of 10 ms, the unit of the processor times in /proc.
const TICK_US: f64 = 10_000.0;
const KEYS: &str = "process all process\noperator op operator\ntrainer coach trainer\n";
const TEMPLATE: &str = "workspace: desk\nmodels: [model]\ntrainers: [coach]\n";

struct Cluster {
    folder: TempDir,
    controls: Vec<(SocketAddr, Process)>,
    entries: Vec<(SocketAddr, Process)>,
    _agent: Process,
}

fn start_engine(tokens: u32) -> Result<SocketAddr> {
    // With this median even the shortest answer is longer than `tokens`, so that every answer is
    // truncated to that length.
    let settings = EngineSettings {
        length: tokens * 4,
        token_us: 50,
        batch_us: 1,
        slots: 64,
        ..EngineSettings::default()
    };
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            if let Ok((running, _engine)) = engine::start(address, settings, Recorder::default()) {
                let _ = sender.send(running.address);
                std::future::pending::<()>().await;
            }
        });
    });
    Ok(receiver.recv()?)
}

fn program(name: &str) -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folder = executable
        .parent()
        .and_then(Path::parent)
        .ok_or_eyre("the executable has no parent folder")?;
    Ok(folder.join(name))
}

fn launch(folder: &Path, name: &str, address: SocketAddr, rest: &str) -> Result<Process> {
    let settings = format!("node: {name}\nlisten: {address}\nlog: error\n{rest}");
    let file = folder.join(format!("{name}.yaml"));
    std::fs::write(&file, settings)?;
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    Ok(Process::start(folder, name, &program("chicoryfordd")?, &arguments)?)
}

impl Cluster {
    fn start(tokens: u32, bodies: usize) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let path = folder.path();
        std::fs::write(path.join("keys"), KEYS)?;
        std::fs::write(path.join("token"), "process\n")?;
        std::fs::write(path.join("operator"), "operator\n")?;
        std::fs::write(path.join("desk.yaml"), TEMPLATE)?;
        let engine = start_engine(tokens)?;
        let seed = ports::address();
        let addresses: Vec<SocketAddr> = (0..NODES).map(|_| ports::address()).collect();
        let mut replicas = String::new();
        for (number, address) in addresses.iter().enumerate() {
            write!(replicas, "    - node: control-{number}\n      address: {address}\n")?;
        }
        let seeds = format!("seeds: [{seed}]\n");
        let mut controls = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let gossip = if number == 0 { seed } else { ports::address() };
            let rest = format!(
                "gossip: {gossip}\n{seeds}data_centre: dc-{number}\ndata: data-{number}\n\
                 control:\n  replicas:\n{replicas}"
            );
            controls.push((*address, launch(path, &format!("control-{number}"), *address, &rest)?));
        }
        let mut entries = Vec::new();
        for number in 0..NODES {
            let (address, gossip) = (ports::address(), ports::address());
            let rest = format!(
                "gossip: {gossip}\n{seeds}data_centre: dc-{number}\nentry: {{bodies: {bodies}}}\n"
            );
            entries.push((address, launch(path, &format!("entry-{number}"), address, &rest)?));
        }
        let (address, gossip) = (ports::address(), ports::address());
        let rest = format!(
            "gossip: {gossip}\n{seeds}data_centre: dc-0\nagent:\n  endpoint: engine\n  \
             address: {engine}\n  models: [model]\n"
        );
        let agent = launch(path, "agent", address, &rest)?;
        Ok(Self { folder, controls, entries, _agent: agent })
    }

    fn try_apply(&self) -> Result<bool> {
        let path = |name| self.folder.path().join(name).display().to_string();
        let mut command = Command::new(program("chicoryford")?);
        command.args(["--address", &self.controls[0].0.to_string(), "--token", &path("operator")]);
        let output = command.args(["apply", "--wait", &path("desk.yaml")]).output()?;
        if !output.status.success() {
            eprintln!("{}", String::from_utf8_lossy(&output.stderr));
        }
        Ok(output.status.success())
    }

    fn post(&self, entry: usize, path: &str, body: &Value) -> Answer {
        let body = body.to_string();
        let body = body.as_bytes();
        let question = Question { path, token: "trainer", body, ..Question::default() };
        raw::ask(self.entries[entry % NODES].0, &question)
    }

    fn log_bytes(&self) -> Result<u64> {
        let mut sum = 0;
        for number in 0..NODES {
            for file in
                std::fs::read_dir(self.folder.path().join(format!("data-{number}/control/log")))?
            {
                sum += file?.metadata()?.len();
            }
        }
        Ok(sum)
    }

    fn cpu_us(&self) -> Result<f64> {
        let mut ticks = 0.0;
        for (_, process) in &self.controls {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
            let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
            let fields: Vec<&str> = fields.skip(11).take(2).collect();
            for field in fields {
                ticks += field.parse::<f64>()?;
            }
        }
        Ok(ticks * TICK_US)
    }
}

fn wait(what: &str, mut done: impl FnMut() -> Result<bool>) -> Result<()> {
    let started = Instant::now();
    while !done()? {
        ensure!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn mean(times: &[f64]) -> f64 {
    times.iter().sum::<f64>() / times.len() as f64
}

fn run(name: &str, tokens: u32, bodies: usize) -> Result<()> {
    let cluster = Cluster::start(tokens, bodies)?;
    wait("the template is in force", || cluster.try_apply())?;
    let spec = json!({
        "workspace": "desk", "step": 1, "model": "model", "samples": SAMPLES, "seed": 1,
        "max_tokens": tokens, "logprobs": true, "budget_ms": 300_000,
        "groups": (0..GROUPS).map(|n| json!({"prompt": format!("route {n}")})).collect::<Vec<_>>(),
    });
    thread::sleep(IDLE);
    let before = cluster.cpu_us()?;
    thread::sleep(IDLE);
    let idle = (cluster.cpu_us()? - before) / IDLE.as_secs_f64();
    let (log, cpu, started) = (cluster.log_bytes()?, cluster.cpu_us()?, Instant::now());
    wait("the step is open", || Ok(cluster.post(0, paths::STEP_OPEN, &spec).status == 200))?;
    let (mut last, mut quiet_polls) = (0, 0);
    wait("all samples are recorded", || {
        let size = cluster.log_bytes()?;
        quiet_polls = if size - last < QUIET_GROWTH_BYTES && size > log + 100_000 {
            quiet_polls + 1
        } else {
            0
        };
        last = size;
        Ok(quiet_polls >= QUIET_POLLS)
    })?;
    let count = (GROUPS * SAMPLES) as f64;
    let log_per_sample = (cluster.log_bytes()? - log) as f64 / count / NODES as f64;
    let net = cluster.cpu_us()? - cpu - idle * started.elapsed().as_secs_f64();
    let (mut first, mut again, mut bytes, mut samples) = (Vec::new(), Vec::new(), 0, 0);
    for cursor in 1..=(GROUPS / GROUPS_PER_PULL) {
        let pull = json!({"workspace": "desk", "cursor": cursor, "groups": GROUPS_PER_PULL});
        let timed = |times: &mut Vec<f64>, entry| {
            let started = Instant::now();
            let answer = cluster.post(entry, paths::STEP_PULL, &pull);
            times.push(started.elapsed().as_secs_f64() * 1_000.0);
            answer
        };
        let answer = timed(&mut first, cursor);
        ensure!(answer.status == 200, "{answer:?}");
        ensure!(
            timed(&mut again, cursor + 1).body == answer.body,
            "the second pull returned another batch"
        );
        bytes += answer.body.len();
        samples += answer.json()["samples"].as_array().map_or(0, Vec::len);
        let ack = json!({"workspace": "desk", "cursor": cursor});
        ensure!(cluster.post(cursor, paths::STEP_ACK, &ack).status == 200);
    }
    ensure!(samples == GROUPS * SAMPLES, "{samples} samples were delivered");
    let (body, cpu_per_sample) = (bytes as f64 / count, net / count);
    let (first, again) = (mean(&first), mean(&again));
    println!(
        "bodies={name} samples={samples} body_bytes={body:.0} log_bytes_a_replica={log_per_sample:.0} \
         control_cpu_us_of_3={cpu_per_sample:.0} idle_cpu_us_a_second={idle:.0} pull_ms={first:.1} \
         pull_again_ms={again:.1}"
    );
    Ok(())
}

fn main() -> Result<()> {
    let store = 256 << 20;
    for tokens in [530, 2_150] {
        run("inline", tokens, 0)?;
        run("held", tokens, store)?;
    }
    Ok(())
}
