//! The trainers and callers of the demonstration, which the templates name. Each runs on its own
//! thread.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread::JoinHandle;

use chicoryford_standin::Recorder;
use chicoryford_standin::caller;
use chicoryford_standin::caller::CallerSettings;
use chicoryford_standin::caller::Counts;
use chicoryford_standin::trainer;
use chicoryford_standin::trainer::Report;
use chicoryford_standin::trainer::TrainerSettings;
use eyre::Result;
use eyre::eyre;

use crate::Args;
use crate::deployment::Deployment;

/// The model whose template names a scoring service.
const SCORED_MODEL: &str = "route-model";

/// The running trainers and callers.
pub struct Clients {
    trainers: Vec<(String, SampleFile, JoinHandle<Report>)>,
    callers: Vec<(String, PathBuf, JoinHandle<Counts>)>,
}

/// A trainer's record and the settings that are needed to check it.
pub struct SampleFile {
    /// The model from which the trainer samples.
    pub model: String,
    /// Whether the samples are scored.
    pub scored: bool,
    /// The seed of the prompts.
    pub seed: u64,
    /// The file of the record.
    pub file: PathBuf,
}

/// The reports and records of the trainers and callers.
#[derive(Default)]
pub struct LoadResults {
    /// Each trainer's report, by workspace.
    pub trainers: BTreeMap<String, Report>,
    /// Each caller's counts of outcomes, by name.
    pub callers: BTreeMap<String, Counts>,
    /// The trainers' records.
    pub samples: Vec<SampleFile>,
    /// The callers' records.
    pub calls: Vec<PathBuf>,
}

/// Starts all trainers and callers.
pub fn start(deployment: &Deployment, args: &Args) -> Result<Clients> {
    let mut clients = Clients { trainers: Vec::new(), callers: Vec::new() };
    for settings in trainers(deployment, args) {
        let file = deployment.folder.join(format!("trainer-{}.jsonl", settings.workspace));
        let name = settings.workspace.clone();
        let records = Recorder::open(&file)?;
        let (model, seed) = (settings.model.clone(), settings.seed);
        let record = SampleFile { scored: model == SCORED_MODEL, model, seed, file };
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(trainer::run(settings, records))
        });
        clients.trainers.push((name, record, thread));
    }
    for settings in callers(deployment, args) {
        let record = deployment.folder.join(format!("caller-{}.jsonl", settings.name));
        let name = settings.name.clone();
        let records = Recorder::open(&record)?;
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(caller::run(settings, records))
        });
        clients.callers.push((name, record, thread));
    }
    Ok(clients)
}

/// Waits until all trainers and callers have ended.
pub fn join(clients: Clients) -> Result<LoadResults> {
    let mut results = LoadResults::default();
    for (name, record, thread) in clients.trainers {
        let report = thread.join().map_err(|_| eyre!("trainer {name} panicked"))?;
        results.trainers.insert(name, report);
        results.samples.push(record);
    }
    for (name, record, thread) in clients.callers {
        let counts = thread.join().map_err(|_| eyre!("caller {name} panicked"))?;
        results.callers.insert(name, counts);
        results.calls.push(record);
    }
    Ok(results)
}

/// Returns the settings of two trainers, with the staleness bounds of their templates.
fn trainers(deployment: &Deployment, args: &Args) -> Vec<TrainerSettings> {
    let base = TrainerSettings {
        entries: vec![deployment.address.to_string()],
        source: deployment.source.clone(),
        publish_ms: args.publish_ms,
        train_ms: args.train_ms,
        ahead: args.ahead,
        wait_ms: args.wait_ms,
        seconds: args.seconds as f64,
        seed: args.seed,
        ..TrainerSettings::default()
    };
    vec![
        TrainerSettings {
            token: "sample-only-zadruga-route-trainer".to_owned(),
            workspace: "route-planner".to_owned(),
            model: "route-model".to_owned(),
            freshness: Some(1),
            ..base.clone()
        },
        TrainerSettings {
            token: "sample-only-dela-cruz-style-trainer".to_owned(),
            workspace: "style-training".to_owned(),
            model: "style-llm".to_owned(),
            freshness: Some(4),
            ..base
        },
    ]
}

/// Returns the settings of callers of both classes, and of the packing line, whose calls aren't
/// idempotent.
fn callers(deployment: &Deployment, args: &Args) -> Vec<CallerSettings> {
    let base = CallerSettings {
        entries: vec![deployment.address.to_string()],
        seconds: args.seconds as f64,
        deadline_ms: 5_000,
        rate: 8.0,
        ..CallerSettings::default()
    };
    let caller =
        |owner: &str, name: &str, workspace: &str, model: &str, number: u64| CallerSettings {
            token: format!("sample-only-{owner}-{name}"),
            name: name.to_owned(),
            workspace: workspace.to_owned(),
            model: model.to_owned(),
            seed: args.seed + number * 1_000_000,
            ..base.clone()
        };
    vec![
        caller("zadruga", "booking-desk", "booking-desk", "desk-app", 1),
        caller("zadruga", "harbour-office", "booking-desk", "desk-app", 2),
        caller("dela-cruz", "students", "citewise", "citewise-app", 3),
        caller("dela-cruz", "defense-night", "citewise", "citewise-app", 4),
        CallerSettings {
            service: true,
            repeatable: false,
            rate: 4.0,
            ..caller("zadruga", "packing-line", "packing-line", "labels", 5)
        },
    ]
}
