//! Measures membership at growing numbers of members: bytes and CPU time per node, and how long the
//! others take to detect a death. Uses virtual time and real datagram sizes, including IP and UDP
//! headers. CPU time covers the state machines and encoding.
//!
//! `cargo run --release -p chicoryford-membership --example measure_members [seed] [largest]`

#[path = "../tests/net/mod.rs"]
mod net;

use std::env;
use std::time::Instant;

use chicoryford_membership::Event;
use chicoryford_membership::SwimSettings;
use chicoryford_types::Standing;

use net::Network;

const SIZES: [usize; 6] = [10, 50, 200, 500, 1_000, 2_000];
const DATA_CENTRES: usize = 10;
const WARM_UP_MS: u64 = 10_000;
const IDLE_MS: u64 = 30_000;
const BUSY_MS: u64 = 60_000;
const MAX_WAIT_MS: u64 = 120_000;

/// The results of one run.
struct Row {
    members: usize,
    bytes: f64,
    busy: f64,
    datagrams: f64,
    cpu: f64,
    first: u64,
    last: u64,
    death_bytes: f64,
    centre_last: u64,
    centre_bytes: f64,
    wrong: usize,
    largest: usize,
}

fn main() {
    let mut words = env::args().skip(1);
    let seed = words.next().and_then(|word| word.parse().ok()).unwrap_or(1);
    let largest = words.next().and_then(|word| word.parse().ok()).unwrap_or(SIZES[5]);
    println!(
        "seed {seed}; bytes per second and node are sent plus received, when idle, while all report"
    );
    println!("new weight versions and positions, in one death,");
    println!(
        "and in the loss of one of {DATA_CENTRES} data centres; times in virtual milliseconds"
    );
    println!(
        "members  bytes/s  busy-B/s  datagrams/s  cpu%  first  last  death-B/s  centre  centre-B/s  wrong  max-B"
    );
    let rows: Vec<Row> =
        SIZES.iter().filter(|n| **n <= largest).map(|n| measure(*n, seed)).collect();
    let bytes: Vec<f64> = rows.iter().map(|row| row.bytes).collect();
    let (slope, intercept, fit) = line(&rows, &bytes);
    println!("bytes/s = {intercept:.1} + {slope:.4} x members, r2 {fit:.3}");
    let cpu: Vec<f64> = rows.iter().map(|row| row.cpu).collect();
    let (slope, intercept, fit) = line(&rows, &cpu);
    println!("cpu% of a core = {intercept:.4} + {slope:.7} x members, r2 {fit:.3}");
    let last: Vec<f64> = rows.iter().map(|row| row.last as f64).collect();
    let (slope, intercept, fit) = log_line(&rows, &last);
    println!("last detection, ms = {intercept:.0} + {slope:.0} x log10(members), r2 {fit:.3}");
}

fn measure(members: usize, seed: u64) -> Row {
    let mut net = Network::new(members, DATA_CENTRES, SwimSettings::default(), seed);
    net.introduce_all();
    net.run(WARM_UP_MS);
    let (bytes, datagrams, cpu) = window(&mut net, IDLE_MS);
    let busy = busy(&mut net);
    let wrong = net.false_deaths();

    let dead = members / 2;
    net.kill(dead);
    reset(&mut net);
    let began = net.now;
    let some =
        |net: &Network| (0..members).any(|at| net.standing(dead, at) == Some(Standing::Dead));
    let first = net.run_until(MAX_WAIT_MS, some).unwrap_or(MAX_WAIT_MS);
    let rest = net.run_until(MAX_WAIT_MS, |net| net.all_report_dead(dead)).unwrap_or(MAX_WAIT_MS);
    let death_bytes = rate(&net, net.now.since(began));

    let centre = 3;
    let lost: Vec<usize> = (0..members).filter(|n| n % DATA_CENTRES == centre).collect();
    lost.iter().for_each(|n| net.kill(*n));
    reset(&mut net);
    let began = net.now;
    let all = |net: &Network| lost.iter().all(|n| net.all_report_dead(*n));
    let centre_last = net.run_until(MAX_WAIT_MS, all).unwrap_or(MAX_WAIT_MS);
    let centre_bytes = rate(&net, net.now.since(began));
    print_kinds(&net, "loss of a data centre", net.now.since(began));

    let row = Row {
        members,
        bytes,
        busy,
        datagrams,
        cpu,
        first,
        last: first + rest,
        death_bytes,
        centre_last,
        centre_bytes,
        wrong: wrong + net.false_deaths(),
        largest: net.largest,
    };
    println!(
        "{:7}  {:7.0}  {:8.0}  {:11.1}  {:4.3}  {:5}  {:5}  {:9.0}  {:6}  {:10.0}  {:5}  {:5}",
        row.members,
        row.bytes,
        row.busy,
        row.datagrams,
        row.cpu,
        row.first,
        row.last,
        row.death_bytes,
        row.centre_last,
        row.centre_bytes,
        row.wrong,
        row.largest,
    );
    row
}

/// Returns bytes per second and node while every member reports new weight versions and positions
/// at once, as samplers do after each publication.
fn busy(net: &mut Network) -> f64 {
    for n in 0..net.peers.len() {
        let mut own = net.peers[n].swim.own().clone();
        let models = own.endpoint.iter_mut().flat_map(|endpoint| endpoint.models.values_mut());
        models.for_each(|version| *version = version.next());
        own.announced += 1;
        net.handle(n, Event::Own(own));
    }
    reset(net);
    net.run(BUSY_MS);
    rate(net, BUSY_MS)
}

/// Prints the bytes sent since the last reset by kind, in bytes per second and node.
fn print_kinds(net: &Network, what: &str, ms: u64) {
    let up = net.peers.iter().filter(|peer| peer.up).count() as f64;
    let per = |bytes: &u64| *bytes as f64 / up / (ms.max(1) as f64 / 1_000.0);
    let parts: Vec<String> =
        net.kinds.iter().map(|(kind, bytes)| format!("{kind} {:.0}", per(bytes))).collect();
    println!("         {what}, B/s sent: {}", parts.join(", "));
}

fn reset(net: &mut Network) {
    net.measured = true;
    net.kinds.clear();
    for peer in &mut net.peers {
        peer.sent = 0;
        peer.received = 0;
        peer.datagrams = 0;
    }
}

fn window(net: &mut Network, ms: u64) -> (f64, f64, f64) {
    reset(net);
    let clock = Instant::now();
    net.run(ms);
    let cpu = clock.elapsed().as_secs_f64() / net.peers.len() as f64;
    let seconds = ms as f64 / 1_000.0;
    let datagrams: u64 = net.peers.iter().map(|peer| peer.datagrams).sum();
    let datagrams = datagrams as f64 / net.peers.len() as f64 / seconds;
    (rate(net, ms), datagrams, 100.0 * cpu / seconds)
}

fn rate(net: &Network, ms: u64) -> f64 {
    let up = net.peers.iter().filter(|peer| peer.up);
    let (count, bytes) =
        up.fold((0, 0), |(count, bytes), peer| (count + 1, bytes + peer.sent + peer.received));
    bytes as f64 / f64::from(count) / (ms.max(1) as f64 / 1_000.0)
}

fn line(rows: &[Row], values: &[f64]) -> (f64, f64, f64) {
    let sizes: Vec<f64> = rows.iter().map(|row| row.members as f64).collect();
    fit(&sizes, values)
}

fn log_line(rows: &[Row], values: &[f64]) -> (f64, f64, f64) {
    let sizes: Vec<f64> = rows.iter().map(|row| (row.members as f64).log10()).collect();
    fit(&sizes, values)
}

/// Fits a line by least squares. Returns the slope, the intercept and the share of variance that it
/// explains.
fn fit(xs: &[f64], ys: &[f64]) -> (f64, f64, f64) {
    let n = xs.len() as f64;
    let (mx, my) = (xs.iter().sum::<f64>() / n, ys.iter().sum::<f64>() / n);
    let sxy: f64 = xs.iter().zip(ys).map(|(x, y)| (x - mx) * (y - my)).sum();
    let sxx: f64 = xs.iter().map(|x| (x - mx).powi(2)).sum();
    let syy: f64 = ys.iter().map(|y| (y - my).powi(2)).sum();
    let slope = sxy / sxx;
    (slope, my - slope * mx, sxy * sxy / (sxx * syy))
}
