//! Orders to engines that are not there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Service;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;

use crate::fleet::Fleet;
use crate::fleet::config;
use crate::fleet::pause;
use crate::fleet::wait_until;

fn engine(address: SocketAddr, sequence: u64) -> Announcement {
    Announcement {
        id: "e".to_owned(),
        started_ms: 0,
        service: "engines".to_owned(),
        address,
        data_centre: "here".to_owned(),
        slots: 8,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), 1)]),
        sequence,
    }
}

/// Guards against orders every 60 ms to an engine that has crashed, which delay the loads of the
/// others until it counts as silent.
#[actix_rt::test]
async fn an_engine_that_refuses_connections_gets_no_order_until_it_announces_itself() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    let models = vec!["m".to_owned()];
    let service = Service { name: "engines".to_owned(), models, ..Service::default() };
    let config = Config { version: 2, services: vec![service], ..config() };
    assert!(matches!(leader.commit(Command::Configure(Arc::new(config))).await, Answer::Done));
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let announce = async |sequence| {
        let answer = leader.answer(Call::Announce(engine(address, sequence))).await;
        assert!(matches!(answer, Answer::Heard), "{answer:?}");
    };
    announce(1).await;
    let publish = Call::Publish { model: "m".to_owned(), version: 2 };
    assert!(matches!(leader.answer(publish).await, Answer::Done));
    let is_serving = || leader.plan.borrow().engines().any(|engine| engine.is_serving());
    let is_loading = || leader.plan.borrow().engines().any(|engine| engine.loading.is_some());
    wait_until("the engine is found to be absent", || !is_serving()).await;
    for _ in 0..20 {
        pause(25).await;
        assert!(!is_serving() && !is_loading(), "it was ordered again");
    }
    announce(2).await;
    assert!(is_serving(), "it has announced itself");
}
