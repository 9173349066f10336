//! Stand-ins for what the daemons talk to: engines, a label printer, a weight store, trainers and
//! callers. Each runs on its own thread of the test process.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use chicoryford_standin::Recorder;
use chicoryford_standin::caller;
use chicoryford_standin::caller::CallerSettings;
use chicoryford_standin::caller::Counts;
use chicoryford_standin::engine;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::matching;
use chicoryford_standin::matching::Matches;
use chicoryford_standin::ports;
use chicoryford_standin::records;
use chicoryford_standin::records::CallLine;
use chicoryford_standin::records::EngineLine;
use chicoryford_standin::records::Ran;
use chicoryford_standin::records::ServiceLine;
use chicoryford_standin::service;
use chicoryford_standin::service::ServiceSettings;
use chicoryford_standin::store;
use chicoryford_standin::store::StoreSettings;
use chicoryford_standin::trainer;
use chicoryford_standin::trainer::Report;
use chicoryford_standin::trainer::TrainerSettings;
use serde::de::DeserializeOwned;

use crate::system::System;

/// The template of the one workspace that callers, trainers and the label printer use.
pub const TEMPLATE: &str = "\
workspace: desk
models: [model, labels]
callers:
  desk: urgent
trainers: [coach]
freshness:
  versions: 2
retries:
  attempts: 5
  percent: 100
";

/// Runs `make` in an actix system on a new thread, and returns its result. The system never ends.
fn spawn_in_actix<T: Send + 'static>(make: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            sender.send(make()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// A model engine and its agent.
pub struct Engine {
    pub engine: Arc<engine::Engine>,
    /// The file in which the engine records its requests.
    pub record: PathBuf,
}

impl Engine {
    /// Starts an engine of `model` and its agent in `dc-1`.
    pub fn start(system: &mut System, name: &str, settings: EngineSettings) -> Self {
        Self::start_in(system, "dc-1", name, settings)
    }

    /// Starts an engine of `model` and its agent in a data centre.
    pub fn start_in(
        system: &mut System,
        data_centre: &str,
        name: &str,
        settings: EngineSettings,
    ) -> Self {
        let record = system.path(&format!("{name}.jsonl"));
        let records = Recorder::open(&record).unwrap();
        let address = ports::address();
        let engine = spawn_in_actix(move || engine::start(address, settings, records).unwrap().1);
        system.start_agent(name, data_centre, "engine", address, "model");
        Self { engine, record }
    }

    /// Returns the version that the engine runs.
    pub fn version(&self) -> u64 {
        self.engine.state().models["model"]
    }

    /// Returns the versions that the engine loaded, in order.
    pub fn swaps(&self) -> Vec<u64> {
        let swaps = self.lines().into_iter().filter(|line| line.event == "swap");
        swaps.map(|line| line.count).collect()
    }

    /// Counts the engine's crashes.
    pub fn crashes(&self) -> usize {
        self.lines().iter().filter(|line| line.event == "crash").count()
    }

    /// Returns the lines of the engine's record.
    pub fn lines(&self) -> Vec<EngineLine> {
        read(&self.record)
    }
}

/// Starts a label printer and its agent, and returns the path of the printer's record.
pub fn start_printer(system: &mut System, name: &str, delay_ms: u64) -> PathBuf {
    let record = system.path(&format!("{name}.jsonl"));
    let records = Recorder::open(&record).unwrap();
    let address = ports::address();
    let settings = ServiceSettings { delay_ms, ..ServiceSettings::default() };
    spawn_in_actix(move || service::start(address, settings, records).unwrap().address);
    system.start_agent(name, "dc-1", "service", address, "labels");
    record
}

/// Returns the idempotency keys of the printed labels, one for each print.
pub fn printed_keys(records: &[PathBuf]) -> Vec<String> {
    let lines = records.iter().flat_map(|record| read::<ServiceLine>(record));
    lines.map(|line| line.key).filter(|key| !key.is_empty()).collect()
}

/// Starts a weight store and returns its URL.
pub fn start_weight_store() -> String {
    let settings = StoreSettings { size: 64 << 10, ..StoreSettings::default() };
    let running = spawn_in_actix(move || store::start(ports::address(), settings).unwrap().address);
    format!("http://{running}")
}

/// A running caller.
pub struct CallerRun {
    pub record: PathBuf,
    thread: JoinHandle<Counts>,
}

impl CallerRun {
    /// Starts a caller. The entries, token, workspace, model and record in `settings` are replaced.
    pub fn start(system: &System, entries: &[SocketAddr], settings: CallerSettings) -> Self {
        let record = system.path(&format!("{}.jsonl", settings.name));
        let records = Recorder::open(&record).unwrap();
        let settings = CallerSettings {
            entries: to_strings(entries),
            token: "caller-token".to_owned(),
            workspace: "desk".to_owned(),
            model: if settings.service { "labels" } else { "model" }.to_owned(),
            ..settings
        };
        let thread =
            thread::spawn(move || actix_rt::System::new().block_on(caller::run(settings, records)));
        Self { record, thread }
    }

    /// Waits until the caller has its last answer, and returns its counts and its record.
    pub fn finish(self) -> (Counts, Vec<CallLine>) {
        let counts = self.thread.join().unwrap();
        (counts, read(&self.record))
    }
}

/// A running trainer.
pub struct TrainerRun {
    pub record: PathBuf,
    thread: JoinHandle<Report>,
}

impl TrainerRun {
    /// Starts a trainer. The entries, token, workspace and model in `settings` are replaced.
    pub fn start(system: &System, entries: &[SocketAddr], settings: TrainerSettings) -> Self {
        let record = system.path("trainer.jsonl");
        let records = Recorder::open(&record).unwrap();
        let settings = TrainerSettings {
            entries: to_strings(entries),
            token: "trainer-token".to_owned(),
            workspace: "desk".to_owned(),
            model: "model".to_owned(),
            ..settings
        };
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(trainer::run(settings, records))
        });
        Self { record, thread }
    }

    /// Waits until the trainer's last step is complete. Checks by the records of the trainer and
    /// the engines that every sample was delivered once, complete, fresh enough, and with the
    /// versions that produced it.
    pub fn check(self, engines: &[&Engine]) -> Report {
        let report = self.thread.join().unwrap();
        assert!(report.steps > 0, "{report:?}");
        let violations = [report.doubled, report.lost, report.wrong, report.stale, report.changed];
        assert_eq!(violations, [0; 5], "{report:?}");
        let requests = requests(engines);
        let mut complete = requests.values().map(Ran::answers).collect();
        let matches = matching::samples(&mut complete, "model", &self.record).unwrap();
        check_matches(matches);
        report
    }
}

/// Checks a caller's answers against the records of the engines.
pub fn check_calls(engines: &[&Engine], record: &Path) {
    check_matches(matching::calls(&requests(engines), record).unwrap());
}

fn check_matches(matches: Matches) {
    assert!(matches.checked > 0, "{matches:?}");
    assert_eq!(matches.misattributed, 0, "{matches:?}");
}

fn requests(engines: &[&Engine]) -> std::collections::BTreeMap<String, Ran> {
    let files: Vec<PathBuf> = engines.iter().map(|engine| engine.record.clone()).collect();
    records::requests(&files).unwrap()
}

fn read<T: DeserializeOwned>(file: &Path) -> Vec<T> {
    records::read(file).unwrap()
}

fn to_strings(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(SocketAddr::to_string).collect()
}
