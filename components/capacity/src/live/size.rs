//! What a process spends against the number of agents, and of entries, with nothing to serve.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::engine::EngineSettings;
use eyre::Result;
use eyre::ensure;

use crate::data::Data;
use crate::data::Series;
use crate::data::Source;

use super::caller::Calls;
use super::cluster::Cluster;
use super::cluster::Role;
use super::cluster::Sizes;
use super::window;
use super::window::Window;

const AGENTS: [usize; 4] = [10, 25, 50, 100];
const ENTRIES: [usize; 5] = [1, 2, 4, 8, 16];
const REPEATS: usize = 3;
/// After this the first news of everybody have spread.
const CALM: Duration = Duration::from_secs(12);
const WINDOW: Duration = Duration::from_secs(8);
const CHANGES: u64 = 20;
const BURST: u64 = 100;
/// How often a tenth of the agents is killed; each time takes until the deaths are noticed.
const FAILURES: usize = 2;
const LOOK: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_secs(60);
/// Calls a second that keep the engine's load report changing.
const RATE: f64 = 40.0;

/// Grows the number of agents beside three control processes and two entries.
pub async fn agents(data: &mut Data, daemon: &Path) -> Result<()> {
    for agents in AGENTS {
        eprintln!("{agents} agents");
        let sizes = Sizes { controls: 3, entries: 2, agents };
        let mut cluster = Cluster::start(daemon, sizes, EngineSettings::default()).await?;
        actix_rt::time::sleep(CALM).await;
        let x = agents as f64;
        for _ in 0..REPEATS {
            record(data, &cluster, "agents", "agents", x, WINDOW).await?;
        }
        for _ in 0..REPEATS {
            in_force(data, &mut cluster).await?;
        }
        for _ in 0..FAILURES {
            failures(data, &mut cluster).await?;
        }
    }
    Ok(())
}

/// Grows the number of entries before twenty agents, once calm and once while load reports change.
pub async fn entries(data: &mut Data, daemon: &Path) -> Result<()> {
    for entries in ENTRIES {
        eprintln!("{entries} entries");
        let sizes = Sizes { controls: 3, entries, agents: 20 };
        let cluster = Cluster::start(daemon, sizes, EngineSettings::default()).await?;
        actix_rt::time::sleep(CALM).await;
        let x = entries as f64;
        for _ in 0..REPEATS {
            record(data, &cluster, "entries", "entries", x, WINDOW).await?;
        }
        let calls = Calls::steady(cluster.engine, RATE, 64);
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        for _ in 0..REPEATS {
            record(data, &cluster, "entries_busy", "entries", x, WINDOW).await?;
        }
        ensure!(calls.ended() > 0, "the engine answered no call");
    }
    Ok(())
}

/// Adds what each role's processes spend in a window.
pub async fn record(
    data: &mut Data,
    cluster: &Cluster,
    sweep: &str,
    variable: &str,
    x: f64,
    time: Duration,
) -> Result<()> {
    let mut open = Window::open(cluster).await?;
    open.pass(time).await?;
    let spent = open.close(cluster).await?;
    for role in Role::ALL {
        let of = window::of(&spent, role);
        let parts = [
            ("cpu", "% of a core", of.cpu),
            ("memory", "MiB", of.memory),
            ("bytes", "B/s", of.bytes),
            ("messages", "packets/s", of.messages),
        ];
        for (part, unit, y) in parts {
            let name = format!("{sweep}_{}_{part}", role.name());
            add(data, &name, variable, unit, x, y);
        }
    }
    Ok(())
}

/// Adds one figure that came from real processes.
pub fn add(data: &mut Data, name: &str, variable: &str, unit: &str, x: f64, y: f64) {
    data.add(&Series { name, variable, unit, source: Source::Processes }, x, y);
}

/// Waits until the last change is in force at `wanted` processes at least; gives the seconds.
pub async fn until_in_force(cluster: &Cluster, wanted: usize) -> Result<f64> {
    let begun = Instant::now();
    while !cluster.operator.everywhere(wanted).await.unwrap_or(false) {
        ensure!(begun.elapsed() < PATIENCE, "a change did not come in force everywhere");
        actix_rt::time::sleep(LOOK).await;
    }
    Ok(begun.elapsed().as_secs_f64())
}

/// Measures from accepted to in force everywhere: changes one by one, then in a burst.
async fn in_force(data: &mut Data, cluster: &mut Cluster) -> Result<()> {
    let wanted = cluster.processes.len();
    let x = wanted as f64;
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        cluster.operator.put("workspace-000").await?;
        times.push(until_in_force(cluster, wanted).await?);
    }
    times.sort_by(f64::total_cmp);
    let unit = "s until in force everywhere";
    add(data, "in_force_p50", "processes", unit, x, times[times.len() / 2]);
    add(data, "in_force_most", "processes", unit, x, times[times.len() - 1]);
    let begun = Instant::now();
    for round in 0..BURST {
        cluster.operator.put(&format!("workspace-{:03}", round % 20)).await?;
    }
    until_in_force(cluster, wanted).await?;
    let took = begun.elapsed().as_secs_f64();
    add(data, "in_force_burst", "processes", "s from the first of 100 sent", x, took);
    Ok(())
}

/// Kills a tenth of the agents, changes something, and starts them again.
async fn failures(data: &mut Data, cluster: &mut Cluster) -> Result<()> {
    let wanted = cluster.processes.len();
    let tenth = cluster.role(Role::Agent).count().div_ceil(10);
    let killed: Vec<usize> = (wanted - tenth..wanted).collect();
    killed.iter().for_each(|at| cluster.processes[*at].kill());
    cluster.operator.put("workspace-000").await?;
    let took = until_in_force(cluster, wanted - tenth).await?;
    let (x, unit) = (wanted as f64, "s until in force everywhere");
    add(data, "in_force_killed", "processes", unit, x, took);
    for at in killed {
        cluster.restart(at)?;
    }
    let begun = Instant::now();
    while cluster.operator.present().await? < wanted {
        ensure!(begun.elapsed() < PATIENCE, "restarted processes are not seen");
        actix_rt::time::sleep(LOOK).await;
    }
    until_in_force(cluster, wanted).await?;
    add(data, "in_force_restarted", "processes", unit, x, begun.elapsed().as_secs_f64());
    Ok(())
}
