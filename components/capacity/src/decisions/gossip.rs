//! Bytes and processor time of membership against the number of members.

#[path = "../../../membership/tests/net/mod.rs"]
mod net;

use std::time::Instant;

use chicoryford_membership::SwimSettings;
use chicoryford_types::Standing;

use crate::data::Data;
use crate::data::Series;
use crate::data::Source;

use super::REPEATS;
use net::Net;

const SIZES: [usize; 5] = [50, 100, 200, 400, 800];
const CENTRES: usize = 10;
const WARM_MS: u64 = 20_000;
const CALM_MS: u64 = 30_000;
const LONGEST_MS: u64 = 60_000;

/// Measures calm, one death, and the loss of one of ten data centres.
pub fn measure(data: &mut Data) {
    for members in SIZES {
        for repeat in 0..REPEATS {
            one(data, members, data.seed + repeat);
        }
    }
}

fn one(data: &mut Data, members: usize, seed: u64) {
    let mut net = Net::new(members, CENTRES, SwimSettings::default(), seed);
    net.acquaint();
    net.run(WARM_MS);
    reset(&mut net);
    let clock = Instant::now();
    net.run(CALM_MS);
    let cpu = clock.elapsed().as_secs_f64() / members as f64 / CALM_MS as f64 * 100_000.0;
    add(data, "gossip_calm", "B/s", members, rate(&net, CALM_MS));
    add(data, "gossip_cpu", "% of a core", members, cpu);
    let datagrams: u64 = net.peers.iter().map(|peer| peer.datagrams).sum();
    let datagrams = datagrams as f64 / members as f64 / CALM_MS as f64 * 1_000.0;
    add(data, "gossip_messages", "datagrams/s", members, datagrams);

    let dead = members / 2;
    let took = lose(&mut net, &[dead]);
    add(data, "gossip_death", "s until the last has noticed", members, took as f64 / 1_000.0);
    add(data, "gossip_death_bytes", "B/s meanwhile", members, rate(&net, took));

    let lost: Vec<usize> = (0..members).filter(|n| n % CENTRES == 3).collect();
    let took = lose(&mut net, &lost);
    add(data, "gossip_centre", "s until the last has noticed", members, took as f64 / 1_000.0);
    add(data, "gossip_centre_bytes", "B/s meanwhile", members, rate(&net, took));
}

/// Kills some and gives the milliseconds until all others hold them dead.
fn lose(net: &mut Net, lost: &[usize]) -> u64 {
    lost.iter().for_each(|n| net.kill(*n));
    reset(net);
    let began = net.now;
    let gone = |net: &Net| {
        lost.iter().all(|n| net.standing(*n, 0) == Some(Standing::Dead) && net.all_hold_dead(*n))
    };
    let _ = net.until(LONGEST_MS, gone);
    net.now.since(began).max(1)
}

fn reset(net: &mut Net) {
    net.measured = true;
    for peer in &mut net.peers {
        peer.sent = 0;
        peer.received = 0;
        peer.datagrams = 0;
    }
}

fn rate(net: &Net, ms: u64) -> f64 {
    let up: Vec<_> = net.peers.iter().filter(|peer| peer.up).collect();
    let bytes: u64 = up.iter().map(|peer| peer.sent + peer.received).sum();
    bytes as f64 / up.len() as f64 / ms as f64 * 1_000.0
}

fn add(data: &mut Data, name: &str, unit: &str, members: usize, y: f64) {
    let series = Series { name, variable: "members", unit, source: Source::InProcess };
    data.add(&series, members as f64, y);
}
