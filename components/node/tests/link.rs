//! A host's connection to a leader that the test plays, on real sockets: how old an order may be.

mod support {
    pub mod job;
}

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Announcement;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::Scorer;
use chicoryford_fleet::Share;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::frame::frames;
use chicoryford_node::link::Link;
use chicoryford_node::link::Member;
use chicoryford_node::message::Hello;
use chicoryford_node::message::LeaderMessage;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::message::Update;
use chicoryford_node::runner::Runner;
use chicoryford_node::view::View;
use chicoryford_types::Millis;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use support::job::job;

/// How long an order lies on its way. The bound after the acknowledgement of an end is 3 s; what is
/// begun after this long would reach its engine after it, as a connection takes a quarter of a second.
const LAIN: Duration = Duration::from_millis(2_700);
/// Time between two words of the leader that it lives.
const ALIVE: Duration = Duration::from_millis(200);

type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// The leader's end of the connection, and the host's clock in its last word.
struct Leader {
    sink: SplitSink<Socket, Bytes>,
    stream: SplitStream<Socket>,
    heard: Millis,
    /// Whether it reads nothing of the host any more, though it speaks on.
    lags: bool,
}

impl Leader {
    /// Starts a host, and welcomes it.
    async fn with_host() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let view = Rc::new(View::default());
        let forwarder = Forwarder::new(Policy::default());
        let runner = Runner::new(view.clone(), forwarder.clone());
        view.subscribe(move |news| forwarder.apply(news));
        actix_rt::spawn(runner.clone().run());
        let member = Member {
            node: "h".to_owned(),
            data_centre: "here".to_owned(),
            address,
            replica: false,
            depot: None,
            runner: Some(runner),
        };
        let link = Link::new(member, view, vec![address]);
        actix_rt::spawn(async move { link.run().await });
        let (stream, _) = listener.accept().await.unwrap();
        let (sink, mut stream) = Framed::new(stream, frames()).split();
        let hello = stream.next().await.unwrap().unwrap();
        let Hello::Member { clock, .. } = decode(&hello).unwrap() else { panic!("a member") };
        let mut leader = Self { sink, stream, heard: clock, lags: false };
        leader.say(&LeaderMessage::Welcome).await;
        leader.say(&LeaderMessage::Everything(vec![Update::Whole(BTreeSet::new())])).await;
        leader
    }

    async fn say(&mut self, down: &LeaderMessage) {
        self.sink.send(encode(down)).await.unwrap();
    }

    /// Orders a run that is whole at once, and whose scorer is this endpoint.
    async fn order_scored(&mut self, config: Config, scorer: SocketAddr) {
        let (engine, _) = endpoint(WHOLE).await;
        self.say(&LeaderMessage::News(Update::Config(Arc::new(config)))).await;
        self.say(&LeaderMessage::News(Update::Endpoint(desk(scorer)))).await;
        let mut job = job(engine);
        let (id, host, path) = ("score".to_owned(), "h".to_owned(), "/desk/x".to_owned());
        job.sample.scorer = Some(Scorer { id, host, path, body: Bytes::new() });
        self.say(&LeaderMessage::Work { member_clock: self.heard, work: Work::Run(Box::new(job)) })
            .await;
    }

    /// Goes on saying that it lives, and hearing the host, for a while; gives what it was told of runs.
    async fn live(&mut self, time: Duration) -> Vec<Report> {
        let until = tokio::time::Instant::now() + time;
        let mut alive = tokio::time::interval(ALIVE);
        let mut reports = Vec::new();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until) => return reports,
                _ = alive.tick() => self.say(&LeaderMessage::Alive { member_clock: self.heard, wall: None }).await,
                frame = self.stream.next() => match decode(&frame.unwrap().unwrap()).unwrap() {
                    MemberMessage::Report(report) => reports.push(report),
                    MemberMessage::Beat { clock, .. } if !self.lags => self.heard = clock,
                    _ => {}
                },
            }
        }
    }
}

/// An endpoint that gives each request the same answer, and counts them.
async fn endpoint(answer: &'static str) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Rc::<Cell<u32>>::default();
    let counts = asked.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let counts = counts.clone();
            actix_rt::spawn(async move {
                let mut bytes = vec![0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                    counts.set(counts.get() + 1);
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    (address, asked)
}

/// An engine that counts who comes.
async fn engine() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let came = Rc::<Cell<u32>>::default();
    let counts = came.clone();
    actix_rt::spawn(async move {
        let mut open = Vec::new();
        loop {
            open.push(listener.accept().await.unwrap());
            counts.set(counts.get() + 1);
        }
    });
    (address, came)
}

/// Symptom: an engine gets a sample of a step whose end was acknowledged seconds ago.
/// Sequence: the leader orders a run; the order lies in a queue or a socket, while other frames keep
/// coming in both directions, so that neither side takes the other for lost; meanwhile the step ends.
/// Cause: an order was carried out whenever it was read, however long ago it was given.
#[actix_rt::test]
async fn an_order_that_lay_on_its_way_is_not_carried_out() {
    let mut leader = Leader::with_host().await;
    let (address, came) = engine().await;
    leader.live(ALIVE * 5).await;
    let run = Work::Run(Box::new(job(address)));
    let order = LeaderMessage::Work { member_clock: leader.heard, work: run };
    leader.live(LAIN).await;
    leader.say(&order).await;

    let reports = leader.live(ALIVE * 5).await;

    assert_eq!(came.get(), 0, "the engine was asked");
    let ended = reports.iter().any(|report| matches!(report.standing, Standing::Ended(_)));
    assert!(ended, "the leader would wait for the run: {reports:?}");
}

/// The other side of it: an order that comes at once is carried out.
#[actix_rt::test]
async fn an_order_that_comes_at_once_is_carried_out() {
    let mut leader = Leader::with_host().await;
    let (address, came) = engine().await;
    leader.live(ALIVE * 5).await;
    let run = Work::Run(Box::new(job(address)));
    leader.say(&LeaderMessage::Work { member_clock: leader.heard, work: run }).await;
    leader.live(ALIVE * 2).await;
    assert_eq!(came.get(), 1, "the engine was not asked");
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: s\r\nx-response-stamp: p\r\n\
                     content-length: 17\r\n\r\nid: 0\ndata: one\n\n";
const FULL: &str = "HTTP/1.1 503 x\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";

fn desk(address: SocketAddr) -> Endpoint {
    let said = Announcement {
        id: "d".to_owned(),
        born: 0,
        service: "desk".to_owned(),
        address,
        data_centre: "here".to_owned(),
        slots: 4,
        draining: false,
        models: BTreeMap::new(),
        sequence: 1,
    };
    Endpoint { said, standing: chicoryford_fleet::Standing::Ready }
}

fn config() -> Config {
    let route = Route {
        name: "desk".to_owned(),
        host: "h".to_owned(),
        prefix: "/desk/".to_owned(),
        kind: Kind::Idempotent,
        timeout_ms: Some(1_000),
        target_ms: 150,
        priority: 1,
        shares: vec![Share { service: "desk".to_owned(), weight: 1 }],
        attempts: 3,
        resumable: false,
        due_ms: None,
        age_ms: None,
        single: false,
        open: false,
    };
    Config { version: 1, routes: vec![route], ..Config::default() }
}

/// Symptom: a scorer is called for a step whose end was acknowledged more than three seconds ago.
/// Sequence: a run is whole, and its scorer is full again and again. The leader's words come late, or
/// it is another process's turn to lead, which this host does not know; meanwhile the step ends.
/// Cause: a host went on calling scorers without any limit, whatever it knew of the leader.
#[actix_rt::test]
async fn a_scorer_is_not_called_when_the_leader_gives_no_fresh_sign() {
    let mut leader = Leader::with_host().await;
    let (scorer, called) = endpoint(FULL).await;
    leader.order_scored(config(), scorer).await;
    leader.live(ALIVE * 10).await;
    assert!(called.get() > 1, "its scorer is called while the leader is fresh");

    leader.lags = true;
    leader.live(Duration::from_millis(2_700)).await;
    let before = called.get();
    leader.live(Duration::from_millis(1_000)).await;
    assert_eq!(called.get(), before, "calls after the sign has become old");

    leader.lags = false;
    leader.live(Duration::from_millis(1_000)).await;
    assert!(called.get() > before, "it goes on with the next fresh sign");
}

/// Symptom: a scorer is asked, by a second attempt of one call, more than three seconds after its step's
/// end was acknowledged.
/// Sequence: a call begins while the leader's last sign is fresh; its endpoint hangs; the sign grows old.
/// Cause: only the beginning of a call asked for a fresh sign, and one call lasts up to 2.5 s.
#[actix_rt::test]
async fn a_scorers_call_under_way_ends_when_the_leaders_sign_has_become_old() {
    let mut leader = Leader::with_host().await;
    let (scorer, open) = hanging().await;
    let mut config = config();
    config.routes[0].timeout_ms = None;
    leader.order_scored(config, scorer).await;
    leader.live(ALIVE * 10).await;
    assert!(open.get() > 0, "its scorer is being called");

    leader.lags = true;
    leader.live(Duration::from_millis(2_700)).await;
    assert_eq!(open.get(), 0, "calls under way after the sign has become old");
}

/// An endpoint that never answers, and how many connections to it are open.
async fn hanging() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let open = Rc::<Cell<u32>>::default();
    let counts = open.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let counts = counts.clone();
            actix_rt::spawn(async move {
                counts.set(counts.get() + 1);
                let mut bytes = vec![0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
                counts.set(counts.get() - 1);
            });
        }
    });
    (address, open)
}
