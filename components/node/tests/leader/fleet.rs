//! One control process that leads, and the steps that it is given.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Service;
use chicoryford_fleet::Share;
use chicoryford_fleet::Step;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::copies::Place;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::plan::Made;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
use chicoryford_node::Settings;
use chicoryford_node::clock;
use chicoryford_node::followers::Followers;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::frame::encode;
use chicoryford_node::leader::Context;
use chicoryford_node::leader::Leader;
use chicoryford_node::link_server::LinkServer;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::peers::Peers;
use chicoryford_node::replica::LocalReplica;
use chicoryford_node::runner::Runner;
use chicoryford_node::traffic::Traffic;
use chicoryford_node::view::View;
use chicoryford_types::Epoch;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::member::ALIVE;
use crate::member::Kept;
use crate::member::Member;
use crate::member::STORE;
use crate::member::Socket;
use crate::member::greet;

/// One control process, whose replica is alone and so leads.
pub struct Fleet {
    settings: Rc<Settings>,
    pub replica: Rc<LocalReplica>,
    pub followers: Rc<Followers>,
    pub slot: Rc<RefCell<Option<Rc<Leader>>>>,
    epoch: Cell<Epoch>,
    pub links: SocketAddr,
    _folder: TempDir,
}

impl Fleet {
    pub async fn start() -> Self {
        Self::start_with(|settings| settings).await
    }

    /// Starts one whose settings are otherwise than usual.
    pub async fn start_with(change: impl Fn(Settings) -> Settings) -> Self {
        let folder = TempDir::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let links = listener.local_addr().unwrap();
        let settings = Rc::new(change(settings(links)));
        let (replica, reports) =
            LocalReplica::open(folder.path(), links, &[links], Peers::new("here")).unwrap();
        let running = replica.clone();
        actix_rt::spawn(async move { running.run(reports).await });
        let traffic = Traffic::new("here");
        let followers = Rc::new(Followers::new(traffic.clone()));
        let slot: Rc<RefCell<Option<Rc<Leader>>>> = Rc::default();
        let link_server = LinkServer {
            replica: replica.clone(),
            leader: slot.clone(),
            followers: followers.clone(),
            traffic: traffic.clone(),
        };
        actix_rt::spawn(Rc::new(link_server).run(listener));
        until("the replica leads", || replica.leads()).await;
        let epoch = Cell::new(replica.leading().borrow().unwrap());
        let fleet = Self { settings, replica, followers, slot, epoch, links, _folder: folder };
        fleet.next_leader();
        let configured = fleet.leader().commit(Command::Configure(Arc::new(config()))).await;
        assert!(matches!(configured, Answer::Done), "{configured:?}");
        fleet
    }

    /// Starts one whose step "a" was accepted by the leader before, and has been read by this one.
    pub async fn taken_over() -> (Self, Rc<Leader>, Member) {
        let (fleet, kept) = (Self::start().await, Kept::default());
        let store = fleet.store(&kept).await;
        fleet.submit("a").await;
        drop(store);
        let leader = fleet.next_leader();
        let store = fleet.store(&kept).await;
        until("the step is read", || leader.plan.borrow().has("a")).await;
        (fleet, leader, store)
    }

    /// Has another leader follow, which knows what the log holds and nothing else.
    pub fn next_leader(&self) -> Rc<Leader> {
        if let Some(before) = self.slot.borrow_mut().take() {
            before.stop();
        }
        let view = Rc::new(View::default());
        let forwarder = Forwarder::new(Policy::default());
        let context = Context {
            replica: self.replica.clone(),
            followers: self.followers.clone(),
            settings: self.settings.clone(),
            forwarder: forwarder.clone(),
            runner: Runner::new(view.clone(), forwarder),
        };
        let leader = Leader::start(context, self.epoch.get(), &view);
        self.epoch.set(self.epoch.get().next());
        *self.slot.borrow_mut() = Some(leader.clone());
        leader
    }

    pub fn leader(&self) -> Rc<Leader> {
        self.slot.borrow().clone().unwrap()
    }

    /// Has a step accepted, whose part lies on a store.
    pub async fn submit(&self, id: &str) {
        let answer = self.leader().answer(Call::Submit(step(id))).await;
        assert!(matches!(answer, Answer::Done), "{answer:?}");
        let state = self.replica.state();
        let part = &state.parts[&state.steps[id].step.part];
        assert!(matches!(part.place, Place::Stores(_)), "{part:?}");
    }

    /// Has six parts noted of a step's samples, which the store is said to have and does not give.
    pub async fn note(&self, id: &str) {
        let stores = BTreeSet::from([StoreId { node: "s".to_owned(), identity: STORE }]);
        for number in 0..6 {
            let place = Place::Stores(stores.clone());
            let note = Command::Note { step: id.to_owned(), part: PartId(number), place };
            assert!(matches!(self.leader().commit(note).await, Answer::Done));
        }
    }

    /// Ends a step; the end is acknowledged when this returns.
    pub async fn end(&self, id: &str) {
        let answer = self.leader().answer(Call::End(id.to_owned())).await;
        assert!(matches!(answer, Answer::Done), "{answer:?}");
    }

    pub async fn store(&self, kept: &Kept) -> Member {
        let store = Member::connect(self.links, "s", kept.clone(), Vec::new()).await;
        let leader = self.leader();
        until("the store is connected", || leader.copies.count(|node| node == "s") == 1).await;
        store
    }

    pub async fn host(&self, runs: Vec<Report>) -> Member {
        Member::connect(self.links, "h", Kept::default(), runs).await
    }

    /// Connects a host that lives and reads only what the test reads.
    pub async fn slow_host(&self) -> (SplitStream<Socket>, JoinHandle<()>) {
        let (mut sink, stream) = greet(self.links, "h").await.split();
        let alive = actix_rt::spawn(async move {
            while sink.send(encode(&MemberMessage::Alive(clock::wall()))).await.is_ok() {
                tokio::time::sleep(ALIVE).await;
            }
        });
        let leader = self.leader();
        until("the host is connected", || leader.copies.count(|node| node == "h") == 1).await;
        (stream, alive)
    }

    /// Gives the slow host orders until there is no room for more; tells how many.
    pub async fn fill(&self) -> u64 {
        // Drawn at random, so that frames are not compressed.
        let body: Vec<u8> = (0..8 << 10).map(|_| rand::random()).collect();
        let (body, mut given) = (Bytes::from(body), 0);
        loop {
            while self.followers.send_work("h", Work::Run(Box::new(job(given, body.clone())))) {
                given += 1;
                if given.is_multiple_of(100) {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            if !self.followers.send_work("h", Work::Run(Box::new(job(given, body.clone())))) {
                assert!(given > 4_000, "only {given} fitted");
                return given;
            }
            given += 1;
        }
    }
}

pub fn settings(links: SocketAddr) -> Settings {
    Settings {
        node: "c".to_owned(),
        ip: links.ip(),
        listen_ip: None,
        data_centre: "here".to_owned(),
        link_port: links.port(),
        seeds: Vec::new(),
        first_start: true,
        data: None,
        entry: None,
        ready: None,
        control: None,
        metrics: None,
        tolerated: 0,
        grace_ms: 8_000,
        lease_ms: 3_000,
        fenced: true,
        strict_keys: false,
        revocation_ms: 5_000,
        platform: None,
        duties: Vec::new(),
        usage_window_s: 5,
        keep_s: 120,
        policy: Policy::default(),
        log: "info".to_owned(),
    }
}

pub fn config() -> Config {
    let route = Route {
        name: "steps".to_owned(),
        host: "h".to_owned(),
        prefix: "/s/".to_owned(),
        kind: Kind::Step,
        timeout_ms: None,
        target_ms: 400,
        priority: 1,
        shares: vec![Share { service: "engines".to_owned(), weight: 1 }],
        attempts: 3,
        resumable: true,
        due_ms: Some(7_500),
        age_ms: Some(40_000),
        single: false,
        open: false,
    };
    Config { version: 1, routes: vec![route], ..Config::default() }
}

/// The steps' route, and one for plain requests to the desk.
pub fn with_desk(version: u64) -> Config {
    let steps = config();
    let route = Route {
        name: "desk".to_owned(),
        prefix: "/d/".to_owned(),
        kind: Kind::Idempotent,
        shares: vec![Share { service: "desk".to_owned(), weight: 1 }],
        ..steps.routes[0].clone()
    };
    let services =
        ["desk", "engines"].map(|name| Service { name: name.to_owned(), ..Service::default() });
    let routes = vec![steps.routes[0].clone(), route];
    Config { version, routes, services: services.to_vec(), ..steps }
}

pub fn step(id: &str) -> Arc<Step> {
    let sample = Sample { id: format!("{id}0"), path: "/s/1".to_owned(), ..Sample::default() };
    Arc::new(Step {
        id: id.to_owned(),
        host: "h".to_owned(),
        model: "m".to_owned(),
        least: 1,
        due_ms: 7_500,
        age_ms: 40_000,
        attempts: 3,
        samples: vec![sample],
        ..Step::default()
    })
}

/// A run of a step's sample that is whole; its host calls the scorer until it answers, and tells
/// nothing meanwhile.
pub fn scoring(step: &str) -> Report {
    Report {
        run: 1,
        step: step.to_owned(),
        index: 0,
        endpoint: "e".to_owned(),
        standing: Standing::Scoring,
        from: 0,
        made: Made { events: vec!["x".to_owned()], last: Some("0".to_owned()), versions: vec![1] },
        gap_ms: 0,
        cost: Cost::default(),
        left_ms: 40_000,
    }
}

/// A run of this number, with a body of its sample.
pub fn job(number: u64, body: Bytes) -> Job {
    let sample = Sample { body, ..Sample::default() };
    Job { run: number, sample, ..crate::job::job("127.0.0.1:9".parse().unwrap()) }
}

pub async fn until(what: &str, is: impl Fn() -> bool) {
    let began = Instant::now();
    while !is() {
        assert!(began.elapsed() < Duration::from_secs(10), "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
