//! Measures how two trainers share engines without capacity for both, in proportion to the weights
//! of their templates, with real processes.
//!
//! Run it with `cargo bench -p chicoryford --bench shares`; docs/ENTRY.md lists the figures.

#[allow(dead_code)]
#[path = "support/rig.rs"]
mod rig;

use std::path::Path;
use std::time::Duration;

use chicoryford_standin::Recorder;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::trainer;
use chicoryford_standin::trainer::TrainerSettings;
use eyre::Result;
use eyre::eyre;
use rig::Rig;
use rig::RigSettings;
use serde_json::Value;

const SECONDS: f64 = 16.0;
/// Samples that are delivered earlier are not counted, because the first steps run on idle engines.
const WARM_UP_MS: u64 = 4_000;
const MODEL: &str = "model";
const KEYS: &str = "trainer light light-token\ntrainer heavy heavy-token\n";
const TEMPLATES: &str = "
workspace: light
title: Light
models: [model]
trainers: [light]
freshness: {versions: 4}
weight: 1
---
workspace: heavy
title: Heavy
models: [model]
trainers: [heavy]
freshness: {versions: 4}
weight: 3
";

fn main() -> Result<()> {
    // Test runners list the tests of every target.
    if std::env::args().any(|argument| argument == "--list" || argument == "--test") {
        return Ok(());
    }
    let engine =
        EngineSettings { models: vec![(MODEL.to_owned(), 1)], slots: 8, ..Default::default() };
    let engines = vec![engine; 2];
    let rig = Rig::start(&RigSettings { keys: KEYS, templates: TEMPLATES, engines })?;
    let folder = tempfile::tempdir()?;
    let started = unix_ms();
    let trainers = ["light", "heavy"].map(|name| {
        let settings = TrainerSettings {
            entries: vec![rig.entry.to_string()],
            token: format!("{name}-token"),
            workspace: name.to_owned(),
            model: MODEL.to_owned(),
            train_ms: 0,
            ahead: 3,
            publish_ms: 3_600_000,
            seconds: SECONDS,
            ..TrainerSettings::default()
        };
        let file = folder.path().join(name);
        let records = Recorder::open(&file);
        let thread = std::thread::spawn(move || -> Result<()> {
            actix_rt::System::new().block_on(trainer::run(settings, records?));
            Ok(())
        });
        (file, thread)
    });
    let mut tokens = Vec::new();
    for (file, thread) in trainers {
        thread.join().map_err(|_| eyre!("a trainer panicked"))??;
        let until = started + Duration::from_secs_f64(SECONDS).as_millis() as u64;
        tokens.push(count_tokens(&file, started + WARM_UP_MS, until)?);
    }
    let (light, heavy) = (tokens[0], tokens[1]);
    println!(
        "tokens delivered: weight 1 {light}, weight 3 {heavy}; shares 1 : {:.2}",
        heavy as f64 / light.max(1) as f64
    );
    Ok(())
}

/// Returns the number of tokens that a trainer got between two times in Unix milliseconds.
fn count_tokens(file: &Path, from: u64, until: u64) -> Result<u64> {
    let mut tokens = 0;
    for line in std::fs::read_to_string(file)?.lines() {
        let line: Value = serde_json::from_str(line)?;
        let at = line["at"].as_u64().unwrap_or_default();
        if line["event"] == "sample" && (from..until).contains(&at) {
            tokens += line["tokens"].as_u64().unwrap_or_default();
        }
    }
    Ok(tokens)
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
