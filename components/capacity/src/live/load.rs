//! What requests, tokens and resting streams cost an entry and an agent. This is data traffic,
//! which is outside the budget for control, but needs processors and memory as well.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::engine::EngineSettings;
use eyre::Result;
use eyre::ensure;

use crate::data::Data;

use super::caller::Calls;
use super::cluster::Cluster;
use super::cluster::Role;
use super::cluster::Sizes;
use super::size::add;
use super::window::Window;

const SIZES: Sizes = Sizes { controls: 1, entries: 1, agents: 2 };
const RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];
const TOKENS: [u32; 4] = [16, 128, 512, 1_024];
/// Requests a second while the length of streams is varied.
const RATE: f64 = 25.0;
const STREAMS: [u64; 4] = [100, 200, 400, 800];
const REPEATS: usize = 3;
const WINDOW: Duration = Duration::from_secs(5);
const WARM: Duration = Duration::from_secs(2);
const REST: Duration = Duration::from_secs(4);

/// Measures rates, lengths and resting streams.
pub async fn measure(data: &mut Data, daemon: &Path) -> Result<()> {
    eprintln!("load");
    let quick = EngineSettings {
        slots: 4_096,
        token_us: 100,
        batch_us: 0,
        prefill_us: 0,
        length: 1_000_000,
        ..EngineSettings::default()
    };
    let cluster = Cluster::start(daemon, SIZES, quick.clone()).await?;
    for rate in RATES {
        for _ in 0..REPEATS {
            let (entry, agents, rate) = spent(&cluster, rate, 16).await?;
            add(data, "rate_entry_cpu", "requests/s of 16 tokens", "% of a core", rate, entry);
            add(data, "rate_agent_cpu", "requests/s of 16 tokens", "% of a core", rate, agents);
        }
    }
    for tokens in TOKENS {
        for _ in 0..REPEATS {
            let (entry, agents, rate) = spent(&cluster, RATE, tokens).await?;
            let tokens = rate * f64::from(tokens);
            add(
                data,
                "tokens_entry_cpu",
                "tokens/s in 25 requests/s",
                "% of a core",
                tokens,
                entry,
            );
            add(
                data,
                "tokens_agent_cpu",
                "tokens/s in 25 requests/s",
                "% of a core",
                tokens,
                agents,
            );
        }
    }
    drop(cluster);
    let slow = EngineSettings { token_us: 500_000, chunk: 1, ..quick };
    resting(data, daemon, slow).await
}

/// Gives the processor time of the entry and of all agents, and the requests a second that ended.
/// On a busy machine these are fewer than were asked for, and the cost must not be divided by
/// requests that never came.
async fn spent(cluster: &Cluster, rate: f64, tokens: u32) -> Result<(f64, f64, f64)> {
    let entry = cluster.role(Role::Entry).next().map(|entry| entry.address);
    let entry = entry.ok_or_else(|| eyre::eyre!("no entry"))?;
    let calls = Calls::steady(entry, rate, tokens);
    actix_rt::time::sleep(WARM).await;
    let mut open = Window::open(cluster).await?;
    let (before, begun) = (calls.ended(), Instant::now());
    open.pass(WINDOW).await?;
    let (ended, failed) = (calls.ended() - before, calls.failed());
    let rate = (ended as f64 / begun.elapsed().as_secs_f64()).round();
    let spent = open.close(cluster).await?;
    ensure!(failed * 50 <= ended, "{failed} of {} calls failed", ended + failed);
    let sum = |role| spent.iter().filter(|(r, _)| *r == role).map(|(_, s)| s.cpu).sum::<f64>();
    Ok((sum(Role::Entry), sum(Role::Agent), rate))
}

async fn resting(data: &mut Data, daemon: &Path, slow: EngineSettings) -> Result<()> {
    for count in STREAMS {
        let cluster = Cluster::start(daemon, SIZES, slow.clone()).await?;
        let entry = cluster.role(Role::Entry).next().map(|entry| entry.address);
        let entry = entry.ok_or_else(|| eyre::eyre!("no entry"))?;
        let calls = Calls::resting(entry, count, 10_000);
        actix_rt::time::sleep(REST).await;
        for _ in 0..REPEATS {
            let mut open = Window::open(&cluster).await?;
            open.pass(WARM).await?;
            let spent = open.close(&cluster).await?;
            let sum =
                |role| spent.iter().filter(|(r, _)| *r == role).map(|(_, s)| s.memory).sum::<f64>();
            let x = count as f64;
            add(data, "streams_entry_memory", "open streams", "MiB", x, sum(Role::Entry));
            add(data, "streams_agent_memory", "open streams", "MiB of two", x, sum(Role::Agent));
        }
        ensure!(calls.failed() * 50 <= count, "{} of {count} streams ended", calls.failed());
    }
    Ok(())
}
