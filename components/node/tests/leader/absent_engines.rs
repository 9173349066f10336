//! Orders to engines that are not there, or whose replies have no end.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Service;
use chicoryford_node::clock;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use tokio::io::AsyncWriteExt;

use crate::fleet::Fleet;
use crate::fleet::config;
use crate::fleet::pause;
use crate::fleet::wait_until;

/// Starts a fleet with a service of engines.
async fn start() -> Fleet {
    let fleet = Fleet::start().await;
    let models = vec!["m".to_owned()];
    let service = Service { name: "engines".to_owned(), models, ..Service::default() };
    let config = Config { version: 2, services: vec![service], ..config() };
    let configured = fleet.leader().commit(Command::Configure(Arc::new(config))).await;
    assert!(matches!(configured, Answer::Done), "{configured:?}");
    fleet
}

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
    let fleet = start().await;
    let leader = fleet.leader();
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

/// Guards against an engine that gets runs although its report has no end, and against a leader that
/// reads such a report without end.
#[actix_rt::test]
async fn an_engine_whose_report_has_no_end_is_avoided() {
    let fleet = start().await;
    let leader = fleet.leader();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Rc::<Cell<u32>>::default();
    let counted = asked.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            counted.set(counted.get() + 1);
            actix_rt::spawn(async move {
                let head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
                let mut is_open = stream.write_all(head).await.is_ok();
                while is_open {
                    is_open = stream.write_all(&[b' '; 16 << 10]).await.is_ok();
                }
            });
        }
    });
    let announced = leader.answer(Call::Announce(engine(address, 1))).await;
    assert!(matches!(announced, Answer::Heard), "{announced:?}");
    let publish = Call::Publish { model: "m".to_owned(), version: 2 };
    assert!(matches!(leader.answer(publish).await, Answer::Done));
    let is_ready = || leader.plan.borrow().engines().any(|engine| engine.is_ready(clock::now()));
    wait_until("the report is asked for", || asked.get() > 0).await;
    wait_until("the engine is avoided", || !is_ready()).await;
    pause(2_000).await;
    assert!(asked.get() <= 12, "asked {} times", asked.get());
}
