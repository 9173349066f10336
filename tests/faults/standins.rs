//! Stand-ins beside the daemons: engines and a label printer, a store, trainers and callers, each
//! on a thread of its own within the test.

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

/// One workspace for callers, trainers and the label printer.
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

/// Starts what `make` gives on a thread of its own, within an actix system that never ends.
fn keep<T: Send + 'static>(make: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            sender.send(make()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// A model engine with an agent beside it.
pub struct Engine {
    pub engine: Arc<engine::Engine>,
    pub record: PathBuf,
}

impl Engine {
    /// Starts an engine of `model` in the first data centre.
    pub fn start(system: &mut System, name: &str, settings: EngineSettings) -> Self {
        Self::start_in(system, "dc-1", name, settings)
    }

    /// Starts an engine of `model`.
    pub fn start_in(
        system: &mut System,
        centre: &str,
        name: &str,
        settings: EngineSettings,
    ) -> Self {
        let record = system.path(&format!("{name}.jsonl"));
        let records = Recorder::open(&record).unwrap();
        let address = ports::address();
        let engine = keep(move || engine::start(address, settings, records).unwrap().1);
        system.agent(name, centre, "engine", address, "model");
        Self { engine, record }
    }

    /// Gives the version that it runs.
    pub fn version(&self) -> u64 {
        self.engine.state().models["model"]
    }

    /// Gives the versions that it loaded, in order.
    pub fn swaps(&self) -> Vec<u64> {
        let swaps = self.lines().into_iter().filter(|line| line.event == "swap");
        swaps.map(|line| line.count).collect()
    }

    /// Counts its crashes.
    pub fn crashes(&self) -> usize {
        self.lines().iter().filter(|line| line.event == "crash").count()
    }

    /// Gives its record.
    pub fn lines(&self) -> Vec<EngineLine> {
        read(&self.record)
    }
}

/// Starts a label printer with an agent beside it, and gives its record.
pub fn printer(system: &mut System, name: &str, delay_ms: u64) -> PathBuf {
    let record = system.path(&format!("{name}.jsonl"));
    let records = Recorder::open(&record).unwrap();
    let address = ports::address();
    let settings = ServiceSettings { delay_ms, ..ServiceSettings::default() };
    keep(move || service::start(address, settings, records).unwrap().address);
    system.agent(name, "dc-1", "service", address, "labels");
    record
}

/// Gives the keys that printers ran.
pub fn printed(records: &[PathBuf]) -> Vec<String> {
    let lines = records.iter().flat_map(|record| read::<ServiceLine>(record));
    lines.map(|line| line.key).filter(|key| !key.is_empty()).collect()
}

/// Starts a weight store and gives where it is.
pub fn weight_store() -> String {
    let settings = StoreSettings { size: 64 << 10, ..StoreSettings::default() };
    let running = keep(move || store::start(ports::address(), settings).unwrap().address);
    format!("http://{running}")
}

/// A caller that runs.
pub struct Calling {
    pub record: PathBuf,
    thread: JoinHandle<Counts>,
}

impl Calling {
    /// Starts a caller; `settings` says what it does, but not to whom and where it is recorded.
    pub fn start(system: &System, entries: &[SocketAddr], settings: CallerSettings) -> Self {
        let record = system.path(&format!("{}.jsonl", settings.name));
        let records = Recorder::open(&record).unwrap();
        let settings = CallerSettings {
            entries: texts(entries),
            token: "caller-token".to_owned(),
            workspace: "desk".to_owned(),
            model: if settings.service { "labels" } else { "model" }.to_owned(),
            ..settings
        };
        let thread =
            thread::spawn(move || actix_rt::System::new().block_on(caller::run(settings, records)));
        Self { record, thread }
    }

    /// Waits until it has its last answer, and gives what it got.
    pub fn finish(self) -> (Counts, Vec<CallLine>) {
        let counts = self.thread.join().unwrap();
        (counts, read(&self.record))
    }
}

/// A trainer that runs.
pub struct Training {
    pub record: PathBuf,
    thread: JoinHandle<Report>,
}

impl Training {
    /// Starts a trainer; `settings` says what it does, but not to whom.
    pub fn start(system: &System, entries: &[SocketAddr], settings: TrainerSettings) -> Self {
        let record = system.path("trainer.jsonl");
        let records = Recorder::open(&record).unwrap();
        let settings = TrainerSettings {
            entries: texts(entries),
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

    /// Waits until its last step is whole, and checks by its own record and those of the engines
    /// that every sample came once, whole, fresh enough, and with the versions that made it.
    pub fn check(self, engines: &[&Engine]) -> Report {
        let report = self.thread.join().unwrap();
        assert!(report.steps > 0, "{report:?}");
        let must_be_none =
            [report.doubled, report.lost, report.wrong, report.stale, report.changed];
        assert_eq!(must_be_none, [0; 5], "{report:?}");
        let requests = requests(engines);
        let mut wholes = requests.values().filter_map(Ran::whole).collect();
        let matches = matching::samples(&mut wholes, "model", &self.record).unwrap();
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

fn texts(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(SocketAddr::to_string).collect()
}
