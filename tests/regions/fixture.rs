//! Three regions with a control process each. Two of them also have an entry, and an engine and a
//! label service with their agents.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::process::Output;
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
use chicoryford_standin::service;
use chicoryford_standin::service::ServiceSettings;
use chicoryford_types::Sample;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use chicoryford_wire::paths;

/// Limit of each wait, long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Groups of a step.
pub const GROUPS: usize = 24;
/// Samples of each group.
pub const SAMPLES: usize = 2;

const KEYS: &str = "\
process all process-token
operator op operator-token
caller desk desk-token
caller harbour harbour-token
caller packing packing-token
trainer coach trainer-token
";
const TEMPLATES: &str = "\
workspace: desk
models: [model]
callers:
  desk: urgent
  harbour: normal
trainers: [coach]
deadline_ms: 20000
---
workspace: packing
models: [labels]
callers:
  packing: urgent
repeatable: false
deadline_ms: 20000
";

/// The processes of one region. They are named `control-<n>`, `entry-<n>` and so on.
pub struct Region {
    pub entry: SocketAddr,
    pub processes: Vec<Process>,
}

/// The processes of three regions, and the record of the printed labels.
pub struct Regions {
    pub folder: TempDir,
    pub regions: Vec<Region>,
    pub labels: Recorder,
}

impl Regions {
    /// Starts all processes, applies the templates, and waits until each entry serves both
    /// workspaces.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("keys"), KEYS).unwrap();
        std::fs::write(folder.path().join("token"), "process-token\n").unwrap();
        std::fs::write(folder.path().join("operator"), "operator-token\n").unwrap();
        std::fs::write(folder.path().join("templates.yaml"), TEMPLATES).unwrap();
        let labels = Recorder::default();
        let controls: Vec<(SocketAddr, SocketAddr)> =
            (0..3).map(|_| (ports::address(), ports::address())).collect();
        let replicas: Vec<Value> = controls
            .iter()
            .enumerate()
            .map(|(n, (address, _))| json!({"node": format!("control-{n}"), "address": address}))
            .collect();
        let seeds: Vec<SocketAddr> = controls.iter().map(|(_, gossip)| *gossip).collect();
        let mut regions = Vec::new();
        for (n, (address, gossip)) in controls.iter().enumerate() {
            let launcher = Launcher { folder: folder.path(), region: n, seeds: &seeds };
            let role = json!({"control": {"replicas": replicas}, "data": format!("data-{n}")});
            let mut processes = vec![launcher.start("control", *address, *gossip, role)];
            let entry = ports::address();
            if n < 2 {
                processes.push(launcher.start(
                    "entry",
                    entry,
                    ports::address(),
                    json!({"entry": {}}),
                ));
                let (engine, service) = start_endpoints(labels.clone());
                let agent = json!({"agent": {"endpoint": format!("engine-{n}"), "address": engine,
                    "models": ["model"]}});
                processes.push(launcher.start("agent", ports::address(), ports::address(), agent));
                let agent = json!({"agent": {"endpoint": format!("labels-{n}"), "kind": "service",
                    "address": service, "models": ["labels"]}});
                processes.push(launcher.start("labels", ports::address(), ports::address(), agent));
            }
            regions.push(Region { entry, processes });
        }
        let all = Self { folder, regions, labels };
        all.wait_until_ready();
        all
    }

    fn wait_until_ready(&self) {
        let file = self.folder.path().join("templates.yaml").display().to_string();
        wait("the templates are in force", || self.client(0, &["apply", &file]).status.success());
        for n in 0..2 {
            wait("each entry serves repeatable work", || {
                self.complete(n, "desk", "ready").status == 200
            });
            wait("each entry serves labels", || self.print_label(n, "ready").status == 200);
        }
    }

    /// Freezes or resumes all processes of a region.
    pub fn set_frozen(&self, region: usize, frozen: bool) {
        for process in &self.regions[region].processes {
            if frozen { process.freeze().unwrap() } else { process.thaw().unwrap() }
        }
    }

    /// Runs the operators' client against an entry.
    pub fn client(&self, entry: usize, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_chicoryford"))
            .args(["--address", &self.regions[entry].entry.to_string()])
            .args(["--token", &self.folder.path().join("operator").display().to_string()])
            .args(arguments)
            .output()
            .unwrap()
    }

    /// Returns the position of an entry's configuration.
    pub fn position(&self, entry: usize) -> String {
        let dump = self.dump(entry);
        dump["config"]["at"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns an entry's state dump.
    pub fn dump(&self, entry: usize) -> Value {
        let question = Question {
            method: "GET",
            path: paths::DUMP,
            token: "operator-token",
            ..Question::default()
        };
        raw::ask(self.regions[entry].entry, &question).json()
    }

    /// Requests a completion that may be retried.
    pub fn complete(&self, entry: usize, caller: &str, prompt: &str) -> Answer {
        let body = json!({"model": "model", "prompt": prompt, "max_tokens": 8}).to_string();
        let headers = [("chicoryford-workspace", "desk")];
        let token = format!("{caller}-token");
        let question = Question {
            path: paths::COMPLETIONS,
            token: &token,
            headers: &headers,
            body: body.as_bytes(),
            ..Question::default()
        };
        raw::ask(self.regions[entry].entry, &question)
    }

    /// Requests a label under a new idempotency key.
    pub fn print_label(&self, entry: usize, crate_name: &str) -> Answer {
        let key = format!("{}.{crate_name}-{entry}", chicoryford_kernel::unix().0);
        self.print_label_with_key(entry, &key, crate_name)
    }

    /// Requests a label under the idempotency key `key`.
    pub fn print_label_with_key(&self, entry: usize, key: &str, crate_name: &str) -> Answer {
        let headers = [("chicoryford-workspace", "packing"), ("idempotency-key", key)];
        let path = format!("{}labels/print", paths::SERVICES);
        let question = Question {
            path: &path,
            token: "packing-token",
            headers: &headers,
            body: crate_name.as_bytes(),
            ..Question::default()
        };
        raw::ask(self.regions[entry].entry, &question)
    }

    /// Counts how often a label was printed.
    pub fn count_prints(&self, crate_name: &str) -> usize {
        let executions = self.labels.kept();
        executions.iter().filter(|execution| execution["body"] == crate_name).count()
    }

    /// Posts a trainer's request.
    pub fn post_as_trainer(&self, entry: usize, path: &str, request: &Value) -> Answer {
        let body = request.to_string();
        let headers = [("chicoryford-workspace", "desk")];
        let question = Question {
            path,
            token: "trainer-token",
            headers: &headers,
            body: body.as_bytes(),
            ..Question::default()
        };
        raw::ask(self.regions[entry].entry, &question)
    }

    /// Opens step 1 through an entry.
    pub fn open_step(&self, entry: usize) {
        let groups: Vec<Value> = (0..GROUPS).map(|n| json!({"prompt": format!("{n}")})).collect();
        let spec = json!({
            "workspace": "desk", "step": 1, "model": "model", "samples": SAMPLES,
            "max_tokens": 400, "groups": groups, "budget_ms": 240_000,
        });
        wait("the step is open", || {
            self.post_as_trainer(entry, paths::STEP_OPEN, &spec).status == 200
        });
    }

    /// Pulls a batch of at most four groups.
    pub fn pull(&self, entry: usize, cursor: u64) -> Answer {
        let pull = json!({"workspace": "desk", "cursor": cursor, "groups": 4, "newest": 1});
        self.post_as_trainer(entry, paths::STEP_PULL, &pull)
    }

    /// Pulls and acknowledges batches until the step is complete, and returns all its samples.
    pub fn finish_step(&self, entry: usize, mut cursor: u64) -> Vec<Sample> {
        let mut samples: Vec<Sample> = Vec::new();
        wait("all samples are delivered", || {
            let answer = self.pull(entry, cursor);
            if answer.status != 200 || answer.json()["samples"].is_null() {
                return false;
            }
            samples.extend(read_batch(&answer));
            let ack = json!({"workspace": "desk", "cursor": cursor});
            wait("the batch is acknowledged", || {
                self.post_as_trainer(entry, paths::STEP_ACK, &ack).status == 200
            });
            cursor += 1;
            samples.len() >= GROUPS * SAMPLES
        });
        samples
    }
}

/// Returns the samples of a batch.
pub fn read_batch(answer: &Answer) -> Vec<Sample> {
    serde_json::from_value(answer.json()["samples"].clone()).unwrap()
}

/// Asserts that every sample of the step was delivered once and is attributed.
pub fn assert_each_once(samples: &[Sample]) {
    let mut ids: Vec<_> = samples.iter().map(|s| (s.group, s.number)).collect();
    ids.sort();
    ids.dedup();
    assert_eq!((samples.len(), ids.len()), (GROUPS * SAMPLES, GROUPS * SAMPLES));
    assert!(samples.iter().all(Sample::is_attributed), "{samples:?}");
}

/// Waits until `done` returns true, and panics after [`WAIT_TIMEOUT`].
pub fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Starts the processes of one region.
struct Launcher<'a> {
    folder: &'a Path,
    region: usize,
    seeds: &'a [SocketAddr],
}

impl Launcher<'_> {
    fn start(
        &self,
        role: &str,
        listen: SocketAddr,
        gossip: SocketAddr,
        role_settings: Value,
    ) -> Process {
        let name = format!("{role}-{}", self.region);
        let mut settings = json!({
            "node": name, "region": format!("region-{}", self.region),
            "data_centre": format!("centre-{}", self.region), "listen": listen,
            "gossip": gossip, "seeds": self.seeds, "keys": "keys", "token": "token",
        });
        let fields = settings.as_object_mut().unwrap();
        fields.extend(role_settings.as_object().unwrap().clone());
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let program = Path::new(env!("CARGO_BIN_EXE_chicoryfordd"));
        Process::start(self.folder, &name, program, &arguments).unwrap()
    }
}

/// Starts an engine and a label service. They run in the test process and are never frozen.
fn start_endpoints(labels: Recorder) -> (SocketAddr, SocketAddr) {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
            let settings = EngineSettings { slots: 4, ..EngineSettings::default() };
            let (engine, _engine) = engine::start(any, settings, Recorder::default()).unwrap();
            let service = service::start(any, ServiceSettings::default(), labels).unwrap();
            sender.send((engine.address, service.address)).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}
