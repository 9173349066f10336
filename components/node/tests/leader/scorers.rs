//! Calls to scorers after the end of a step.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_depot::Depot as FolderDepot;
use chicoryford_depot::Worker;
use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Share;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::step::Scorer;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::link;
use chicoryford_node::link::Link;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Update;
use chicoryford_node::runner::Runner;
use chicoryford_node::view::View;
use chicoryford_storage::Disk;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::config;
use crate::fleet::job;
use crate::fleet::pause;
use crate::fleet::wait_until;
use crate::member::STOP_LIMIT;
use crate::member::StoredParts;

/// Starts a proxy between a host and the leader. Once `from` is set, it delays the leader's bytes
/// more and more, up to `MAX_DELAY`, without interrupting them. The returned task ends with the
/// connection.
async fn start_delaying_proxy(
    links: SocketAddr,
    delay_from: Rc<Cell<Option<Instant>>>,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = actix_rt::spawn(async move {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect(links).await.unwrap();
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        actix_rt::spawn(async move { tokio::io::copy(&mut near_read, &mut far_write).await });
        let (delayed, mut waiting) = mpsc::unbounded_channel();
        actix_rt::spawn(async move {
            let mut bytes = vec![0; 64 << 10];
            while let Ok(read @ 1..) = far_read.read(&mut bytes).await {
                let delay = delay_from
                    .get()
                    .map_or(Duration::ZERO, |delay_from| (delay_from.elapsed() / 2).min(MAX_DELAY));
                if delayed.send((Instant::now() + delay, bytes[..read].to_vec())).is_err() {
                    return;
                }
            }
        });
        while let Some((at, bytes)) = waiting.recv().await {
            tokio::time::sleep_until(at).await;
            if near_write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    (address, task)
}

/// Maximum delay of the leader's messages: orders 4.5 s old were observed.
const MAX_DELAY: Duration = Duration::from_millis(4_000);

/// An engine that generates events of one sample until `finish` is set.
async fn engine(id: &'static str, finish: Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = vec![0; 4_096];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: p\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut number = 0;
        while !finish.get() {
            let event = format!("id: {number}\ndata: event {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await.unwrap();
            number += 1;
            pause(50).await;
        }
        stream.write_all(b"0\r\n\r\n").await.unwrap();
        pause(5_000).await;
    });
    address
}

/// A scorer that records when it is called.
async fn scorer() -> (SocketAddr, Rc<RefCell<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let called: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let records = called.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; 4_096];
            if stream.read(&mut bytes).await.unwrap_or(0) > 0 {
                records.borrow_mut().push(Instant::now());
                let reply = "HTTP/1.1 200 OK\r\nx-attempt-id: c\r\nx-response-stamp: p\r\n\
                             content-length: 0\r\n\r\n";
                let _ = stream.write_all(reply.as_bytes()).await;
            }
        }
    });
    (address, called)
}

/// Records the longest time for which this process did not run.
async fn watch_stalls(longest: Rc<Cell<Duration>>) {
    loop {
        let began = Instant::now();
        pause(20).await;
        longest.set(longest.get().max(began.elapsed()));
    }
}

/// The result of a step that ends while its stop order is delayed.
struct DelayedEnd {
    /// How long after the end the scorer was called.
    calls: Vec<Duration>,
    /// Whether the host stayed connected through the proxy. If not, it tests nothing.
    connected: bool,
    /// The longest time for which this process did not run.
    stalled: Duration,
}

/// Without a stall, the delayed heartbeats arrive 0.3 s apart. A host considers the leader lost after
/// 0.9 s, so a longer stall of this process, which is leader, proxy and host at once, may end the
/// connection.
const MAX_STALL: Duration = Duration::from_millis(500);
/// Trials until one has no such stall.
const MAX_TRIALS: u32 = 5;

/// The leader's messages reach a host some seconds late but without interruption, so that neither
/// side considers the other lost. The step ends; after that, the host's run of it, which was
/// ordered in time, completes, its scorer is called, and only then the host reads the order to
/// stop. Guards against limiting only the age of orders to run: the host called the scorer more
/// than three seconds after the end, however old the leader's newest message was.
#[actix_rt::test]
async fn no_scorer_is_called_long_after_the_end_while_the_stop_order_is_delayed() {
    for _ in 0..MAX_TRIALS {
        let end = end_with_delayed_stop().await;
        let late = end.calls.iter().any(|after| *after > STOP_LIMIT);
        assert!(!late, "after the end: {:?}", end.calls);
        if end.connected {
            return;
        }
        let stalled = end.stalled;
        assert!(stalled > MAX_STALL, "the connection was lost, with a stall of {stalled:?}");
    }
    panic!("the process was stalled in each of {MAX_TRIALS} trials");
}

async fn end_with_delayed_stop() -> DelayedEnd {
    let longest = Rc::<Cell<Duration>>::default();
    let stalls = actix_rt::spawn(watch_stalls(longest.clone()));
    let (fleet, parts) = (Fleet::start().await, StoredParts::default());
    let mut config = config();
    let route = Route {
        name: "score".to_owned(),
        prefix: "/score/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: Some(2_000),
        shares: vec![Share { service: "desk".to_owned(), weight: 1 }],
        due_ms: None,
        age_ms: None,
        ..config.routes[0].clone()
    };
    config.routes.push(route);
    config.version = 2;
    assert!(matches!(
        fleet.leader().commit(Command::Configure(Arc::new(config))).await,
        Answer::Done
    ));
    let store = fleet.store(&parts).await;
    fleet.submit("a").await;
    drop(store);
    let leader = fleet.next_leader();
    let _store = fleet.store(&parts).await;
    wait_until("the step is read", || leader.plan.borrow().has_step("a")).await;

    let (address, called) = scorer().await;
    let view = Rc::new(View::default());
    let forwarder = Forwarder::new(Policy::default());
    let said = Announcement {
        id: "i0".to_owned(),
        started_ms: 0,
        service: "desk".to_owned(),
        address,
        data_centre: "here".to_owned(),
        slots: 10,
        draining: false,
        models: BTreeMap::new(),
        sequence: 1,
    };
    forwarder.apply(&Update::Endpoint(Endpoint {
        announcement: said,
        status: endpoint::EndpointStatus::Ready,
    }));
    let runner = Runner::new(view.clone(), forwarder);
    actix_rt::spawn(runner.clone().run());
    let folder = TempDir::new().unwrap();
    let depot = FolderDepot::open(folder.path(), Disk::default()).unwrap();
    let worker = Worker::start(depot, |error| panic!("{error}")).unwrap();
    let delay_from = Rc::<Cell<Option<Instant>>>::default();
    let (proxy_address, proxy) = start_delaying_proxy(fleet.links, delay_from.clone()).await;
    let member = link::Member {
        node: "h".to_owned(),
        data_centre: "here".to_owned(),
        address: proxy_address,
        replica: false,
        depot: Some(Rc::new(worker)),
        runner: Some(runner),
    };
    let link = Link::new(member, view.clone(), vec![proxy_address]);
    let linked = link.clone();
    actix_rt::spawn(async move { linked.run().await });
    wait_until("the host follows", || link.is_connected() && view.config().is_some()).await;

    let finish = Rc::<Cell<bool>>::default();
    let scorer = Scorer {
        id: "c".to_owned(),
        host: "h".to_owned(),
        path: "/score/1".to_owned(),
        body: Bytes::new(),
        endpoints: BTreeSet::from(["i0".to_owned()]),
    };
    let sample = Sample {
        id: "a0".to_owned(),
        path: "/s/1".to_owned(),
        scorer: Some(scorer),
        ..Sample::default()
    };
    let order = Job {
        step: "a".to_owned(),
        sample,
        address: engine("a0", finish.clone()).await,
        ..job(1, Bytes::new())
    };
    assert!(fleet.followers.send_work("h", HostCommand::Run(Box::new(order))));
    let hosted = || leader.plan.borrow().host("a", 0) == Some(("h".to_owned(), 1));
    wait_until("the run is known", hosted).await;
    delay_from.set(Some(Instant::now()));
    tokio::time::sleep(MAX_DELAY * 2).await;
    let remained = hosted() && link.is_connected();
    fleet.end("a").await;
    let ended = Instant::now();
    tokio::time::sleep(STOP_LIMIT + Duration::from_millis(150)).await;
    finish.set(true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    stalls.abort();
    let calls = called.borrow().iter().map(|at| *at - ended).collect();
    DelayedEnd { calls, connected: remained && !proxy.is_finished(), stalled: longest.get() }
}
