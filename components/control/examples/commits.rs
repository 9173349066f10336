//! Benchmarks the control role: commits with and without group commit, and recovery after missed
//! entries. docs/CONTROL.md has the results and the command.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryford_control::Handle;
use chicoryford_control::SERVICE;
use chicoryford_control::Tuning;
use chicoryford_control::replica::SnapshotThresholds;
use chicoryford_kernel::unix;
use chicoryford_settings::ControlSettings;
use chicoryford_state::AgentAssignment;
use chicoryford_state::Command;
use chicoryford_types::Digest;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;
use support::Cluster;
use support::block_on;

#[path = "../tests/support/mod.rs"]
#[allow(dead_code)]
mod support;

const THREADS: usize = 4;
/// Proposals that were refused or got no reply, mostly because of a change of leaders.
static FAILED: AtomicU64 = AtomicU64::new(0);
const RUN_TIME: Duration = Duration::from_secs(5);

/// A claim of a call that must not be repeated, the most frequent command in the log.
fn claim(n: u64) -> Command {
    Command::Claim {
        workspace: Workspace::from("w"),
        key: IdempotencyKey(format!("{}.{n}", unix().0)),
        digest: Digest::of(&n.to_be_bytes()),
        request: RequestId(1, n),
        to: AgentAssignment::default(),
    }
}

fn main() {
    let only = std::env::args().nth(1);
    println!("replicas group waiting commits/s p50_us p99_us failed");
    for count in [1, 3, 5] {
        for group in [1, 1_024] {
            for concurrency in [1, 64, 1_024] {
                let case = format!("{count},{group},{concurrency}");
                if only.as_ref().is_none_or(|only| *only == case) {
                    commits(count, group, concurrency);
                }
            }
        }
    }
    if only.is_some() {
        return;
    }
    println!("missed by ms bytes");
    for missed in [10, 100, 1_000] {
        recovery(missed, 4_096);
    }
    for missed in [10, 100, 1_000] {
        recovery(missed, 0);
    }
}

fn commits(count: usize, group: usize, concurrency: usize) {
    let tuning = Tuning { max_batch: group, ..Tuning::default() };
    let cluster = Cluster::start_as(count, tuning, ControlSettings::default());
    let leader = block_on(cluster.leader());
    let kernel = &cluster.processes[leader].as_ref().expect("the leader runs").kernel;
    let handle = Handle::clone(
        &kernel.registry.find::<Handle>(SERVICE).expect("the control role is started"),
    );
    let next = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..THREADS.min(concurrency))
        .map(|_| {
            let (handle, next) = (handle.clone(), next.clone());
            let each = concurrency / THREADS.min(concurrency);
            std::thread::spawn(move || block_on(propose(&handle, &next, each)))
        })
        .collect();
    let mut times: Vec<u64> =
        threads.into_iter().flat_map(|t| t.join().expect("proposers do not panic")).collect();
    times.sort_unstable();
    let rate = times.len() as u64 / RUN_TIME.as_secs();
    let at = |percent: usize| times[times.len() * percent / 100];
    let failed = FAILED.swap(0, Ordering::Relaxed);
    println!("{count} {group} {concurrency} {rate} {} {} {failed}", at(50), at(99));
}

async fn propose(handle: &Handle, next: &AtomicU64, each: usize) -> Vec<u64> {
    let started = Instant::now();
    let proposers = (0..each).map(|_| async {
        let mut times = Vec::new();
        while started.elapsed() < RUN_TIME {
            let sent = Instant::now();
            let command = claim(next.fetch_add(1, Ordering::Relaxed));
            match handle.propose(command).await {
                Ok(_) => times.push(sent.elapsed().as_micros() as u64),
                Err(refused) => {
                    if FAILED.fetch_add(1, Ordering::Relaxed) == 0 {
                        eprintln!("first failure: {refused}");
                    }
                    actix_rt::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
        times
    });
    futures_util::future::join_all(proposers).await.concat()
}

fn recovery(missed: u64, tail: u64) {
    let entries = if tail == 0 { 5 } else { 20_000 };
    let snapshot_thresholds = SnapshotThresholds { entries, ..SnapshotThresholds::default() };
    let tuning = Tuning { retained_entries: tail, snapshot_thresholds, ..Tuning::default() };
    let mut cluster = Cluster::start_as(3, tuning, ControlSettings::default());
    block_on(async {
        let leader = cluster.leader().await;
        let absent = (leader + 1) % 3;
        cluster.until(absent, |s| s.leader.is_some()).await;
        cluster.kill(absent);
        for n in 0..missed {
            cluster.propose(leader, &claim(n)).await;
        }
        let wanted = cluster.status(leader).await.expect("the leader answers").applied;
        let started = Instant::now();
        cluster.restart(absent);
        let status = cluster.until(absent, |s| s.applied >= wanted).await;
        let ms = started.elapsed().as_millis();
        let by = if tail == 0 { "snapshot" } else { "entries" };
        println!("{missed} {by} {ms} {}", status.received);
    });
}
