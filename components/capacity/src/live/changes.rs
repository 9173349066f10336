//! What changes, templates and missed changes cost real processes.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::engine::EngineSettings;
use chicoryford_types::Config;
use chicoryford_wire::paths;
use eyre::Result;
use eyre::ensure;

use crate::data::Data;

use super::account;
use super::cluster::Cluster;
use super::cluster::Role;
use super::cluster::Sizes;
use super::size::add;
use super::size::until_in_force;
use super::sockets::Sockets;
use super::window;
use super::window::Window;

const SIZES: Sizes = Sizes { controls: 3, entries: 2, agents: 30 };
const RATES: [u64; 4] = [0, 60, 240, 600];
const REPEATS: usize = 3;
const WINDOW: Duration = Duration::from_secs(8);
const TURN: Duration = Duration::from_millis(100);
const TEMPLATES: [u64; 4] = [1, 10, 100, 400];
const MISSED: [u64; 4] = [10, 30, 100, 300];
const CALM: Duration = Duration::from_secs(12);
const REST: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(60);

/// Measures rates of changes, then numbers of templates, then changes missed.
pub async fn measure(data: &mut Data, daemon: &Path) -> Result<()> {
    eprintln!("changes");
    let mut cluster = Cluster::start(daemon, SIZES, EngineSettings::default()).await?;
    actix_rt::time::sleep(CALM).await;
    for rate in RATES {
        for _ in 0..REPEATS {
            rates(data, &mut cluster, rate).await?;
        }
    }
    templates(data, &mut cluster).await?;
    for missed in MISSED {
        for _ in 0..REPEATS {
            catch_up(data, &mut cluster, missed).await?;
        }
    }
    Ok(())
}

async fn rates(data: &mut Data, cluster: &mut Cluster, rate: u64) -> Result<()> {
    let mut open = Window::open(cluster).await?;
    let begun = Instant::now();
    let mut sent = 0;
    while begun.elapsed() < WINDOW {
        if begun.elapsed().as_millis() as u64 * rate >= sent * 60_000 && rate > 0 {
            sent += 1;
            cluster.operator.put("workspace-000").await?;
        } else {
            open.pass(TURN).await?;
        }
    }
    let spent = open.close(cluster).await?;
    for role in Role::ALL {
        let of = window::of(&spent, role);
        let (variable, name) = ("changes a minute", role.name());
        add(data, &format!("changes_{name}_bytes"), variable, "B/s", rate as f64, of.bytes);
        add(data, &format!("changes_{name}_cpu"), variable, "% of a core", rate as f64, of.cpu);
    }
    Ok(())
}

async fn templates(data: &mut Data, cluster: &mut Cluster) -> Result<()> {
    let mut there = 1;
    for count in TEMPLATES {
        while there < count {
            cluster.operator.put(&format!("workspace-{there:03}")).await?;
            there += 1;
        }
        until_in_force(cluster, cluster.processes.len()).await?;
        for _ in 0..REPEATS {
            actix_rt::time::sleep(REST).await;
            for role in Role::ALL {
                let memory = most(cluster, role)?;
                let name = format!("templates_{}_memory", role.name());
                add(data, &name, "templates", "MiB", count as f64, memory);
            }
        }
    }
    Ok(())
}

fn most(cluster: &Cluster, role: Role) -> Result<f64> {
    let mut most = 0.0_f64;
    for process in cluster.role(role) {
        most = most.max(account::memory(process.id())?);
    }
    Ok(most)
}

/// Kills an agent, lets it miss changes, starts it again, and counts until it has them in force.
/// The bytes are all that it exchanges by TCP until then.
async fn catch_up(data: &mut Data, cluster: &mut Cluster, missed: u64) -> Result<()> {
    let at = cluster.processes.len() - 1;
    cluster.processes[at].kill();
    for round in 0..missed {
        let workspace = format!("workspace-{:03}", round % 400);
        cluster.operator.put(&workspace).await?;
    }
    let mut sockets = Sockets::default();
    let ids: BTreeSet<u32> = cluster.processes.iter().map(|process| process.id()).collect();
    sockets.look(&ids)?;
    cluster.restart(at)?;
    let own = cluster.processes[at].id();
    let ids: BTreeSet<u32> = cluster.processes.iter().map(|process| process.id()).collect();
    let begun = Instant::now();
    let address = cluster.processes[at].address;
    loop {
        sockets.look(&ids)?;
        let there = cluster.operator.get::<Config>(address, paths::CONFIG).await;
        if there.is_ok_and(|config| config.at >= cluster.operator.at) {
            break;
        }
        ensure!(begun.elapsed() < PATIENCE, "a restarted agent did not catch up");
        actix_rt::time::sleep(LOOK).await;
    }
    let took = begun.elapsed().as_secs_f64();
    actix_rt::time::sleep(LOOK).await;
    sockets.look(&ids)?;
    let bytes = sockets.carried().get(&own).map_or(0.0, |carried| carried.bytes);
    let variable = "changes missed";
    add(data, "catch_up_s", variable, "s from the start of the process", missed as f64, took);
    add(data, "catch_up_bytes", variable, "B by TCP until then", missed as f64, bytes);
    Ok(())
}
