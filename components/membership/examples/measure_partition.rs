//! Measures membership while half of the data centres have lost the other half, and after they
//! found each other again; and with 170 restarts a day. Virtual time, real sizes of datagrams.
//!
//! `cargo run --release -p chicoryford-membership --example measure_partition [seed] [members]`

#[path = "../tests/net/mod.rs"]
mod net;

use std::env;

use chicoryford_membership::SwimSettings;
use chicoryford_types::Incarnation;
use chicoryford_types::Standing;

use net::Net;

const CENTRES: usize = 10;
const CUT_MS: u64 = 180_000;
const WINDOW_MS: u64 = 10_000;
const LONGEST_MS: u64 = 300_000;
/// One restart in this time is 170 a day.
const RESTART_MS: u64 = 508_000;

fn main() {
    let mut words = env::args().skip(1);
    let seed = words.next().and_then(|word| word.parse().ok()).unwrap_or(1);
    let members = words.next().and_then(|word| word.parse().ok()).unwrap_or(2_000);
    println!("seed {seed}, {members} members; bytes a second a node, sent plus received");
    let mut net = Net::new(members, CENTRES, SwimSettings::default(), seed);
    net.acquaint();
    net.run(WINDOW_MS);
    restarts(&mut net);
    for n in 0..members {
        net.part[n] = u32::from(n % CENTRES >= CENTRES / 2);
    }
    let began = net.now;
    while net.now.since(began) < CUT_MS {
        let rate = window(&mut net, WINDOW_MS);
        println!("cut {:4} s: {rate:6.0} B/s, {}", net.now.since(began) / 1_000, parted(&net));
    }
    net.part.fill(0);
    let began = net.now;
    while net.now.since(began) < LONGEST_MS {
        let rate = window(&mut net, WINDOW_MS);
        let seconds = net.now.since(began) / 1_000;
        println!("healed {seconds:4} s: {rate:6.0} B/s, {} false deaths", net.false_deaths());
        if net.all_agree() {
            println!("all agree after {seconds} s; promises broken {}", net.broken());
            return;
        }
    }
    println!("not all agree after {} s", LONGEST_MS / 1_000);
}

/// Restarts one member and gives the bytes of a minute, of which a day has 1,440; in all others
/// nothing happens.
fn restarts(net: &mut Net) {
    let calm = window(net, 60_000);
    net.kill(7);
    net.run(500);
    net.restart(7, Incarnation(5_000));
    let with = window(net, 60_000);
    let more = (with - calm) * 60_000.0 / RESTART_MS as f64;
    println!(
        "calm {calm:.0} B/s; the minute after a restart {with:.0} B/s; at 170 a day {more:+.0}"
    );
}

/// Counts how much of the other half is held for dead, at two members.
fn parted(net: &Net) -> String {
    let dead = |at: usize| {
        let others = (0..net.peers.len()).filter(|of| net.part[*of] != net.part[at]);
        others.filter(|of| net.standing(*of, at) == Some(Standing::Dead)).count()
    };
    format!("dead in the other half: {} and {}", dead(0), dead(CENTRES - 1))
}

fn window(net: &mut Net, ms: u64) -> f64 {
    net.measured = true;
    for peer in &mut net.peers {
        (peer.sent, peer.received) = (0, 0);
    }
    net.run(ms);
    let bytes: u64 = net.peers.iter().map(|peer| peer.sent + peer.received).sum();
    bytes as f64 / net.peers.len() as f64 / (ms as f64 / 1_000.0)
}
