//! What a generation costs through entry and agent against calling the engine directly, in one
//! run: latency added, processor time a request, memory of a resting stream.
//!
//! `cargo bench -p chicoryford --bench path`; docs/ENTRY.md notes the figures. The stand-in
//! engines run inside this process, so that the processor time of the others is the system's own.

mod drive;
#[path = "../support/rig.rs"]
mod rig;

use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::engine::EngineSettings;
use drive::QUICK;
use drive::QUICK_ENGINES;
use drive::SLOW;
use drive::Way;
use eyre::Result;
use rig::Plan;
use rig::Rig;

/// Pairs of requests, one directly and one through the system, one at a time.
const PAIRS: usize = 1_000;
/// Requests of a round, and rounds.
const FLOOD: usize = 6_000;
const ROUNDS: usize = 3;
/// Requests at once of a round.
const AT_ONCE: usize = 64;
/// Client threads.
const THREADS: usize = 4;
/// Open streams between which the slope of the memory is taken.
const RESTING: [usize; 2] = [200, 2_000];
/// The time for which streams rest before memory is read.
const REST: Duration = Duration::from_secs(3);
/// Completions that an engine runs at once.
const SLOTS: usize = 2_048;
const SLOW_ENGINES: usize = 2;
const KEYS: &str = "caller desk desk-token\n";
const TEMPLATE: &str = "
workspace: desk
title: Bench
models: [quick, slow]
callers: {desk: normal}
limits: {rate: 1000000, running: 1000000, tokens: 4096}
";

fn main() -> Result<()> {
    // Test runners ask every target for its tests.
    if std::env::args().any(|argument| argument == "--list" || argument == "--test") {
        return Ok(());
    }
    let base = EngineSettings { slots: SLOTS, batch_us: 0, prefill_us: 0, ..Default::default() };
    let quick = EngineSettings {
        models: vec![(QUICK.to_owned(), 1)],
        token_us: 0,
        chunk: 8,
        ..base.clone()
    };
    let slow = EngineSettings {
        models: vec![(SLOW.to_owned(), 1)],
        token_us: 1_000_000,
        chunk: 1,
        length: 4_096,
        ..base
    };
    let mut engines = vec![quick; QUICK_ENGINES];
    engines.extend(vec![slow; SLOW_ENGINES]);
    let rig = Rig::start(&Plan { keys: KEYS, templates: TEMPLATE, engines })?;
    latency(&rig);
    for _ in 0..ROUNDS {
        flood(&rig)?;
    }
    memory(&rig)
}

fn latency(rig: &Rig) {
    let (mut direct, mut through) = drive::pairs(rig, PAIRS);
    direct.sort_unstable();
    through.sort_unstable();
    let at = |times: &[u64], percent: usize| times[(times.len() - 1) * percent / 100];
    println!("latency of {PAIRS} pairs, one at a time, in microseconds");
    for percent in [50, 99] {
        let (one, other) = (at(&direct, percent), at(&through, percent));
        println!(
            "  p{percent}: direct {one}, through {other}, added {}",
            other as i64 - one as i64
        );
    }
}

fn flood(rig: &Rig) -> Result<()> {
    let per_second = |way: Way| {
        let begun = Instant::now();
        let done = drive::flood(rig, way, THREADS, AT_ONCE, FLOOD);
        done as f64 / begun.elapsed().as_secs_f64()
    };
    let direct = per_second(Way::Direct);
    let before = rig.spent()?;
    let through = per_second(Way::Through);
    let after = rig.spent()?;
    let micros = |after: f64, before: f64| 1e6 * (after - before) / FLOOD as f64;
    let entry = micros(after.entry, before.entry);
    let agents = micros(after.agents, before.agents);
    println!(
        "{FLOOD} requests, {AT_ONCE} at once: direct {direct:.0}/s, through {through:.0}/s; entry \
         {entry:.0} us and agents {agents:.0} us of processor time a request; a core carries \
         {:.0}/s, four {:.0}/s",
        1e6 / (entry + agents),
        4e6 / (entry + agents),
    );
    Ok(())
}

fn memory(rig: &Rig) -> Result<()> {
    let mut streams = drive::Resting::new();
    let mut seen = Vec::new();
    for open in RESTING {
        streams.open(rig, open);
        std::thread::sleep(REST);
        let resident = rig.resident()?;
        println!(
            "{} streams open: entry {} KB, agents {} KB",
            streams.count(),
            resident.entry,
            resident.agents
        );
        seen.push((streams.count(), resident));
    }
    let [(few, before), (many, after)] = &seen[..] else { return Ok(()) };
    let slope = |after: u64, before: u64| {
        (after.saturating_sub(before)) as f64 / (many - few).max(1) as f64
    };
    println!(
        "a resting stream: entry {:.1} KB, agent {:.1} KB",
        slope(after.entry, before.entry),
        slope(after.agents, before.agents)
    );
    Ok(())
}
