//! Measures membership while half of the data centres have no contact with the other half, after
//! contact is restored, and with 170 restarts per day. Uses virtual time and real datagram sizes.
//!
//! `cargo run --release -p chicoryford-membership --example measure_partition [seed] [members]`

#[path = "../tests/net/mod.rs"]
mod net;

use std::env;

use chicoryford_membership::SwimSettings;
use chicoryford_types::Incarnation;
use chicoryford_types::Standing;

use net::Network;

const DATA_CENTRES: usize = 10;
const PARTITION_MS: u64 = 180_000;
const WINDOW_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 300_000;
/// The interval between restarts: one in this time is 170 per day.
const RESTART_MS: u64 = 508_000;

fn main() {
    let mut words = env::args().skip(1);
    let seed = words.next().and_then(|word| word.parse().ok()).unwrap_or(1);
    let members = words.next().and_then(|word| word.parse().ok()).unwrap_or(2_000);
    println!("seed {seed}, {members} members; bytes per second and node, sent plus received");
    let mut net = Network::new(members, DATA_CENTRES, SwimSettings::default(), seed);
    net.introduce_all();
    net.run(WINDOW_MS);
    restarts(&mut net);
    for n in 0..members {
        net.partition[n] = u32::from(n % DATA_CENTRES >= DATA_CENTRES / 2);
    }
    let began = net.now;
    while net.now.since(began) < PARTITION_MS {
        let rate = window(&mut net, WINDOW_MS);
        println!(
            "cut {:4} s: {rate:6.0} B/s, {}",
            net.now.since(began) / 1_000,
            dead_in_other_half(&net)
        );
    }
    net.partition.fill(0);
    let began = net.now;
    while net.now.since(began) < MAX_WAIT_MS {
        let rate = window(&mut net, WINDOW_MS);
        let seconds = net.now.since(began) / 1_000;
        println!("restored {seconds:4} s: {rate:6.0} B/s, {} false deaths", net.false_deaths());
        if net.all_agree() {
            println!("all agree after {seconds} s; invariant violations {}", net.violations());
            return;
        }
    }
    println!("not all agree after {} s", MAX_WAIT_MS / 1_000);
}

/// Restarts one member and prints the traffic of the following minute, scaled to the number of
/// restarts per day, with no other changes. A day has 1,440 minutes.
fn restarts(net: &mut Network) {
    let idle = window(net, 60_000);
    net.kill(7);
    net.run(500);
    net.restart(7, Incarnation(5_000));
    let with = window(net, 60_000);
    let more = (with - idle) * 60_000.0 / RESTART_MS as f64;
    println!(
        "idle {idle:.0} B/s; the minute after a restart {with:.0} B/s; at 170 per day {more:+.0}"
    );
}

/// Returns how many members of the other half are considered dead, as seen by two members.
fn dead_in_other_half(net: &Network) -> String {
    let dead = |at: usize| {
        let others = (0..net.peers.len()).filter(|of| net.partition[*of] != net.partition[at]);
        others.filter(|of| net.standing(*of, at) == Some(Standing::Dead)).count()
    };
    format!("dead in the other half: {} and {}", dead(0), dead(DATA_CENTRES - 1))
}

fn window(net: &mut Network, ms: u64) -> f64 {
    net.measured = true;
    for peer in &mut net.peers {
        (peer.sent, peer.received) = (0, 0);
    }
    net.run(ms);
    let bytes: u64 = net.peers.iter().map(|peer| peer.sent + peer.received).sum();
    bytes as f64 / net.peers.len() as f64 / (ms as f64 / 1_000.0)
}
