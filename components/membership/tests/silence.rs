//! A data centre from which nothing is heard, over a queue of messages in virtual time.

mod net;

use chicoryford_membership::Event;
use chicoryford_membership::Message;
use chicoryford_membership::SwimSettings;
use chicoryford_membership::message::Body;
use chicoryford_membership::message::Update;
use chicoryford_types::DataCentre;
use chicoryford_types::Standing;

use net::Net;
use net::address;
use net::name;

const SEED: u64 = 11;
const MEMBERS: usize = 160;
const CENTRES: usize = 8;

fn settled() -> Net {
    let mut net = Net::new(MEMBERS, CENTRES, SwimSettings::default(), SEED);
    net.acquaint();
    net.run(5_000);
    net
}

fn of_centre(centre: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |n| n % CENTRES == centre)
}

#[test]
fn tells_the_loss_of_a_data_centre_once_and_not_once_a_member() {
    // Symptom: for twenty seconds every node sends many times its budget. Sequence: all processes
    // of a data centre stop at once. Cause: each of their suspicions was told by itself.
    let mut net = settled();
    of_centre(3).for_each(|n| net.kill(n));
    net.measured = true;
    let lost = |net: &Net| of_centre(3).all(|n| net.all_hold_dead(n));
    assert!(net.until(60_000, lost).is_some());
    let told = net.kinds["+suspect"] + net.kinds.get("+dead").copied().unwrap_or_default();
    let probes = net.kinds["probes"];
    assert!(told < probes, "{:?}", net.kinds);
    assert_eq!((net.false_deaths(), net.broken()), (0, 0));
}

#[test]
fn does_not_believe_word_of_a_silence_that_is_none() {
    // Symptom: a data centre that is well gets no work. Sequence: a process that was cut off from
    // it says that it is silent. Cause: others took that on its word.
    let mut net = settled();
    for n in of_centre(0) {
        let update = Update::Silent { place: DataCentre("centre-3".to_owned()), by: name(1) };
        let message = Message { from: name(1), body: Body::News, updates: vec![update] };
        net.on(n, Event::Received { from: address(1), message });
    }
    for _ in 0..60 {
        net.run(500);
        let is_dead = |of, at| net.standing(of, at) == Some(Standing::Dead);
        assert!(of_centre(3).all(|of| of_centre(0).all(|at| !is_dead(of, at))));
    }
    assert!(net.all_agree());
    assert_eq!(net.broken(), 0);
}

#[test]
fn still_tells_the_loss_of_a_few_in_a_data_centre() {
    // Symptom: a lost rack goes unnoticed elsewhere. Sequence: a quarter of a data centre stops, the
    // rest is well. Cause: news of each were held back for the silence of all.
    let mut net = settled();
    let rack: Vec<usize> = of_centre(3).take(5).collect();
    rack.iter().for_each(|n| net.kill(*n));
    let lost = |net: &Net| rack.iter().all(|n| net.all_hold_dead(*n));
    assert!(net.until(60_000, lost).is_some());
    assert_eq!((net.false_deaths(), net.broken()), (0, 0));
}

#[test]
fn finds_back_after_a_partition_into_halves() {
    // Symptom: after the network healed, parts of the deployment stay out of each other's view.
    // Sequence: half of the data centres lose the others for three minutes. Cause: members that
    // were suspected together were not told of it, so nobody refuted.
    let mut net = settled();
    for n in 0..MEMBERS {
        net.part[n] = u32::from(n % CENTRES >= CENTRES / 2);
    }
    net.run(180_000);
    let apart =
        of_centre(0).all(|at| of_centre(7).all(|of| net.standing(of, at) == Some(Standing::Dead)));
    assert!(apart);
    net.part.fill(0);
    assert!(net.until(180_000, Net::all_agree).is_some());
    assert_eq!(net.broken(), 0);
}
