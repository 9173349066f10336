//! Tests of silent data centres on a simulated network in virtual time.

mod net;

use chicoryford_membership::Event;
use chicoryford_membership::Message;
use chicoryford_membership::SwimSettings;
use chicoryford_membership::message::Body;
use chicoryford_membership::message::Update;
use chicoryford_types::DataCentre;
use chicoryford_types::Standing;

use net::Network;
use net::address;
use net::name;

const SEED: u64 = 11;
const MEMBERS: usize = 160;
const DATA_CENTRES: usize = 8;

fn settled() -> Network {
    let mut net = Network::new(MEMBERS, DATA_CENTRES, SwimSettings::default(), SEED);
    net.introduce_all();
    net.run(5_000);
    net
}

fn members_of(centre: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |n| n % DATA_CENTRES == centre)
}

#[test]
fn reports_the_loss_of_a_data_centre_once_and_not_per_member() {
    // Guards against twenty seconds in which every node sends many times its budget: all processes
    // of a data centre stop at once. Each suspicion was reported on its own.
    let mut net = settled();
    members_of(3).for_each(|n| net.kill(n));
    net.measured = true;
    let lost = |net: &Network| members_of(3).all(|n| net.all_report_dead(n));
    assert!(net.run_until(60_000, lost).is_some());
    let reported = net.kinds["+suspect"] + net.kinds.get("+dead").copied().unwrap_or_default();
    let probes = net.kinds["probes"];
    assert!(reported < probes, "{:?}", net.kinds);
    assert_eq!((net.false_deaths(), net.violations()), (0, 0));
}

#[test]
fn verifies_a_report_of_a_silent_data_centre() {
    // Guards against a healthy data centre that gets no work: a process that is disconnected from
    // it reports it as silent. Others must not rely on that report alone.
    let mut net = settled();
    for n in members_of(0) {
        let update =
            Update::Silent { data_centre: DataCentre("centre-3".to_owned()), reporter: name(1) };
        let message = Message { from: name(1), body: Body::Gossip, updates: vec![update] };
        net.handle(n, Event::Received { from: address(1), message });
    }
    for _ in 0..60 {
        net.run(500);
        let is_dead = |of, at| net.standing(of, at) == Some(Standing::Dead);
        assert!(members_of(3).all(|of| members_of(0).all(|at| !is_dead(of, at))));
    }
    assert!(net.all_agree());
    assert_eq!(net.violations(), 0);
}

#[test]
fn reports_the_loss_of_some_members_of_a_data_centre() {
    // Guards against a lost rack that other data centres do not detect: a quarter of a data centre
    // stops while the rest is healthy. The reports of its members were withheld until the whole
    // data centre is silent.
    let mut net = settled();
    let rack: Vec<usize> = members_of(3).take(5).collect();
    rack.iter().for_each(|n| net.kill(*n));
    let lost = |net: &Network| rack.iter().all(|n| net.all_report_dead(*n));
    assert!(net.run_until(60_000, lost).is_some());
    assert_eq!((net.false_deaths(), net.violations()), (0, 0));
}

#[test]
fn agrees_again_after_a_partition_into_halves() {
    // Guards against parts of a deployment that do not see each other after the network has
    // recovered: half of the data centres lose the others for three minutes. Members that were
    // suspected together were not informed, so none refuted.
    let mut net = settled();
    for n in 0..MEMBERS {
        net.partition[n] = u32::from(n % DATA_CENTRES >= DATA_CENTRES / 2);
    }
    net.run(180_000);
    let separated = members_of(0)
        .all(|at| members_of(7).all(|of| net.standing(of, at) == Some(Standing::Dead)));
    assert!(separated);
    net.partition.fill(0);
    assert!(net.run_until(180_000, Network::all_agree).is_some());
    assert_eq!(net.violations(), 0);
}
