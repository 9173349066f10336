//! The trainers and callers of the demonstration, a thread each, as the templates name them.

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
use crate::layout::Layout;

/// The model whose template names a scoring service.
const SCORED: &str = "route-model";

/// Trainers and callers that run.
pub struct Drivers {
    trainers: Vec<(String, SampleFile, JoinHandle<Report>)>,
    callers: Vec<(String, PathBuf, JoinHandle<Counts>)>,
}

/// A trainer's record.
pub struct SampleFile {
    /// The model that it samples from.
    pub model: String,
    /// Whether its samples are scored.
    pub scored: bool,
    /// The seed of its prompts.
    pub seed: u64,
    /// The file.
    pub file: PathBuf,
}

/// What trainers and callers saw.
#[derive(Default)]
pub struct Driven {
    /// What each trainer reports.
    pub trainers: BTreeMap<String, Report>,
    /// What each caller counts.
    pub callers: BTreeMap<String, Counts>,
    /// The trainers' records.
    pub samples: Vec<SampleFile>,
    /// The callers' records.
    pub calls: Vec<PathBuf>,
}

/// Starts them all.
pub fn start(layout: &Layout, args: &Args) -> Result<Drivers> {
    let mut drivers = Drivers { trainers: Vec::new(), callers: Vec::new() };
    for settings in trainers(layout, args) {
        let file = layout.folder.join(format!("trainer-{}.jsonl", settings.workspace));
        let name = settings.workspace.clone();
        let records = Recorder::open(&file)?;
        let (model, seed) = (settings.model.clone(), settings.seed);
        let record = SampleFile { scored: model == SCORED, model, seed, file };
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(trainer::run(settings, records))
        });
        drivers.trainers.push((name, record, thread));
    }
    for settings in callers(layout, args) {
        let record = layout.folder.join(format!("caller-{}.jsonl", settings.name));
        let name = settings.name.clone();
        let records = Recorder::open(&record)?;
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(caller::run(settings, records))
        });
        drivers.callers.push((name, record, thread));
    }
    Ok(drivers)
}

/// Waits until all have ended.
pub fn join(drivers: Drivers) -> Result<Driven> {
    let mut driven = Driven::default();
    for (name, record, thread) in drivers.trainers {
        let report = thread.join().map_err(|_| eyre!("trainer {name} panicked"))?;
        driven.trainers.insert(name, report);
        driven.samples.push(record);
    }
    for (name, record, thread) in drivers.callers {
        let counts = thread.join().map_err(|_| eyre!("caller {name} panicked"))?;
        driven.callers.insert(name, counts);
        driven.calls.push(record);
    }
    Ok(driven)
}

/// Two trainers with the bounds of their templates.
fn trainers(layout: &Layout, args: &Args) -> Vec<TrainerSettings> {
    let base = TrainerSettings {
        entries: vec![layout.address.to_string()],
        source: layout.source.clone(),
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

/// Callers of both classes, and the packing line, whose calls may not be repeated.
fn callers(layout: &Layout, args: &Args) -> Vec<CallerSettings> {
    let base = CallerSettings {
        entries: vec![layout.address.to_string()],
        seconds: args.seconds as f64,
        deadline_ms: 5_000,
        rate: 8.0,
        ..CallerSettings::default()
    };
    let desk =
        |owner: &str, name: &str, workspace: &str, model: &str, number: u64| CallerSettings {
            token: format!("sample-only-{owner}-{name}"),
            name: name.to_owned(),
            workspace: workspace.to_owned(),
            model: model.to_owned(),
            seed: args.seed + number * 1_000_000,
            ..base.clone()
        };
    vec![
        desk("zadruga", "booking-desk", "booking-desk", "desk-app", 1),
        desk("zadruga", "harbour-office", "booking-desk", "desk-app", 2),
        desk("dela-cruz", "students", "citewise", "citewise-app", 3),
        desk("dela-cruz", "defense-night", "citewise", "citewise-app", 4),
        CallerSettings {
            service: true,
            repeatable: false,
            rate: 4.0,
            ..desk("zadruga", "packing-line", "packing-line", "labels", 5)
        },
    ]
}
