//! Measures the cost of a generation through entry and agent, compared with a direct call to the
//! engine: added latency, processor time per request, and memory of an open stream.
//!
//! Run it with `cargo bench -p chicoryford --bench path`; docs/ENTRY.md lists the figures. The
//! stand-in engines run inside this process, so that the processor time of the other processes is
//! that of the service alone.

mod load;
#[path = "../support/rig.rs"]
mod rig;

use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::engine::EngineSettings;
use eyre::Result;
use load::FAST_ENGINES;
use load::FAST_MODEL;
use load::Route;
use load::SLOW_MODEL;
use rig::Rig;
use rig::RigSettings;

/// Pairs of requests, one direct and one through the service, that run one at a time.
const PAIRS: usize = 1_000;
/// Requests of each throughput round.
const REQUESTS: usize = 6_000;
const ROUNDS: usize = 3;
/// Concurrent requests of a round.
const CONCURRENCY: usize = 64;
/// Client threads.
const THREADS: usize = 4;
/// Numbers of open streams between which the memory per stream is computed.
const STREAM_COUNTS: [usize; 2] = [200, 2_000];
/// Time between the opening of the streams and the reading of the memory.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Concurrent completions of an engine.
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
    // Test runners list the tests of every target.
    if std::env::args().any(|argument| argument == "--list" || argument == "--test") {
        return Ok(());
    }
    let base = EngineSettings { slots: SLOTS, batch_us: 0, prefill_us: 0, ..Default::default() };
    let quick = EngineSettings {
        models: vec![(FAST_MODEL.to_owned(), 1)],
        token_us: 0,
        chunk: 8,
        ..base.clone()
    };
    let slow = EngineSettings {
        models: vec![(SLOW_MODEL.to_owned(), 1)],
        token_us: 1_000_000,
        chunk: 1,
        length: 4_096,
        ..base
    };
    let mut engines = vec![quick; FAST_ENGINES];
    engines.extend(vec![slow; SLOW_ENGINES]);
    let rig = Rig::start(&RigSettings { keys: KEYS, templates: TEMPLATE, engines })?;
    measure_latency(&rig);
    for _ in 0..ROUNDS {
        measure_throughput(&rig)?;
    }
    measure_memory(&rig)
}

fn measure_latency(rig: &Rig) {
    let (mut direct, mut through) = load::measure_pairs(rig, PAIRS);
    direct.sort_unstable();
    through.sort_unstable();
    let at = |times: &[u64], percent: usize| times[(times.len() - 1) * percent / 100];
    println!("latency of {PAIRS} pairs, one at a time, in microseconds");
    for percent in [50, 99] {
        let (direct, through) = (at(&direct, percent), at(&through, percent));
        println!(
            "  p{percent}: direct {direct}, through {through}, added {}",
            through as i64 - direct as i64
        );
    }
}

fn measure_throughput(rig: &Rig) -> Result<()> {
    let per_second = |route: Route| {
        let started = Instant::now();
        let done = load::run_load(rig, route, THREADS, CONCURRENCY, REQUESTS);
        done as f64 / started.elapsed().as_secs_f64()
    };
    let direct = per_second(Route::Direct);
    let before = rig.cpu_seconds()?;
    let through = per_second(Route::ThroughService);
    let after = rig.cpu_seconds()?;
    let micros = |after: f64, before: f64| 1e6 * (after - before) / REQUESTS as f64;
    let entry = micros(after.entry, before.entry);
    let agents = micros(after.agents, before.agents);
    println!(
        "{REQUESTS} requests, {CONCURRENCY} at once: direct {direct:.0}/s, through {through:.0}/s; entry \
         {entry:.0} us and agents {agents:.0} us of processor time per request; a core serves \
         {:.0}/s, four {:.0}/s",
        1e6 / (entry + agents),
        4e6 / (entry + agents),
    );
    Ok(())
}

fn measure_memory(rig: &Rig) -> Result<()> {
    let mut streams = load::OpenStreams::new();
    let mut measured = Vec::new();
    for count in STREAM_COUNTS {
        streams.open(rig, count);
        std::thread::sleep(SETTLE_TIME);
        let resident = rig.resident_kb()?;
        println!(
            "{} streams open: entry {} KB, agents {} KB",
            streams.count(),
            resident.entry,
            resident.agents
        );
        measured.push((streams.count(), resident));
    }
    let [(few, before), (many, after)] = &measured[..] else { return Ok(()) };
    let slope = |after: u64, before: u64| {
        (after.saturating_sub(before)) as f64 / (many - few).max(1) as f64
    };
    println!(
        "an open stream: entry {:.1} KB, agent {:.1} KB",
        slope(after.entry, before.entry),
        slope(after.agents, before.agents)
    );
    Ok(())
}
