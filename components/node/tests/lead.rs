//! A leader with hosts and stores that the test plays, on real sockets: what becomes of runs when a
//! step has ended.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
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
use chicoryford_fleet::Share;
use chicoryford_fleet::Step;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::copies::Place;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::plan::Made;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
use chicoryford_node::Settings;
use chicoryford_node::clock;
use chicoryford_node::core::Core;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::frame::frames;
use chicoryford_node::hub::Followers;
use chicoryford_node::hub::Hub;
use chicoryford_node::lead::Lead;
use chicoryford_node::lead::Parts;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Ask;
use chicoryford_node::message::Call;
use chicoryford_node::message::Depot;
use chicoryford_node::message::Down;
use chicoryford_node::message::Hello;
use chicoryford_node::message::Told;
use chicoryford_node::message::Up;
use chicoryford_node::peers::Peers;
use chicoryford_node::runner::Runner;
use chicoryford_node::traffic::Traffic;
use chicoryford_node::view::View;
use chicoryford_types::Epoch;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Time after the acknowledgement of an end within which nothing of the step may go on.
const BOUND: Duration = Duration::from_secs(3);
/// Time between two words of a host or store that it lives.
const ALIVE: Duration = Duration::from_millis(200);
/// The store's identity.
const STORE: u64 = 7;

/// One control process, whose replica is alone and so leads.
struct Fleet {
    settings: Rc<Settings>,
    core: Rc<Core>,
    followers: Rc<Followers>,
    slot: Rc<RefCell<Option<Rc<Lead>>>>,
    epoch: Cell<Epoch>,
    links: SocketAddr,
    _folder: TempDir,
}

impl Fleet {
    async fn start() -> Self {
        let folder = TempDir::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let links = listener.local_addr().unwrap();
        let settings = Rc::new(settings(links));
        let (core, reports) =
            Core::open(folder.path(), links, &[links], Peers::new("here")).unwrap();
        let running = core.clone();
        actix_rt::spawn(async move { running.run(reports).await });
        let traffic = Traffic::new("here");
        let followers = Rc::new(Followers::new(traffic.clone()));
        let slot: Rc<RefCell<Option<Rc<Lead>>>> = Rc::default();
        let hub = Hub {
            core: core.clone(),
            lead: slot.clone(),
            followers: followers.clone(),
            traffic: traffic.clone(),
        };
        actix_rt::spawn(Rc::new(hub).run(listener));
        until("the replica leads", || core.leads()).await;
        let epoch = Cell::new(core.leading().borrow().unwrap());
        let fleet = Self { settings, core, followers, slot, epoch, links, _folder: folder };
        fleet.next_lead();
        let configured = fleet.lead().commit(Command::Configure(Arc::new(config()))).await;
        assert!(matches!(configured, Answer::Done), "{configured:?}");
        fleet
    }

    /// Starts one whose step "a" was accepted by the leader before, and has been read by this one.
    async fn taken_over() -> (Self, Rc<Lead>, Member) {
        let (fleet, kept) = (Self::start().await, Kept::default());
        let store = fleet.store(&kept).await;
        fleet.submit("a").await;
        drop(store);
        let lead = fleet.next_lead();
        let store = fleet.store(&kept).await;
        until("the step is read", || lead.plan.borrow().has("a")).await;
        (fleet, lead, store)
    }

    /// Has another leader follow, which knows what the log holds and nothing else.
    fn next_lead(&self) -> Rc<Lead> {
        if let Some(before) = self.slot.borrow_mut().take() {
            before.stop();
        }
        let view = Rc::new(View::default());
        let forwarder = Forwarder::new(Policy::default());
        let parts = Parts {
            core: self.core.clone(),
            followers: self.followers.clone(),
            settings: self.settings.clone(),
            forwarder: forwarder.clone(),
            runner: Runner::new(view.clone(), forwarder),
        };
        let lead = Lead::start(parts, self.epoch.get(), &view);
        self.epoch.set(self.epoch.get().next());
        *self.slot.borrow_mut() = Some(lead.clone());
        lead
    }

    fn lead(&self) -> Rc<Lead> {
        self.slot.borrow().clone().unwrap()
    }

    /// Has a step accepted, whose part lies on a store.
    async fn submit(&self, id: &str) {
        let answer = self.lead().answer(Call::Submit(step(id))).await;
        assert!(matches!(answer, Answer::Done), "{answer:?}");
        let state = self.core.state();
        let part = &state.parts[&state.steps[id].step.part];
        assert!(matches!(part.place, Place::Stores(_)), "{part:?}");
    }

    /// Ends a step; the end is acknowledged when this returns.
    async fn end(&self, id: &str) {
        let answer = self.lead().answer(Call::End(id.to_owned())).await;
        assert!(matches!(answer, Answer::Done), "{answer:?}");
    }

    async fn store(&self, kept: &Kept) -> Member {
        let store = Member::connect(self.links, "s", kept.clone(), Vec::new()).await;
        let lead = self.lead();
        until("the store is connected", || lead.copies.count(|node| node == "s") == 1).await;
        store
    }

    async fn host(&self, runs: Vec<Report>) -> Member {
        Member::connect(self.links, "h", Kept::default(), runs).await
    }

    /// Connects a host that lives and reads only what the test reads.
    async fn slow_host(&self) -> (SplitStream<Socket>, JoinHandle<()>) {
        let (mut sink, stream) = greet(self.links, "h").await.split();
        let alive = actix_rt::spawn(async move {
            while sink.send(encode(&Up::Alive)).await.is_ok() {
                tokio::time::sleep(ALIVE).await;
            }
        });
        let lead = self.lead();
        until("the host is connected", || lead.copies.count(|node| node == "h") == 1).await;
        (stream, alive)
    }

    /// Gives the slow host orders until there is no room for more; tells how many.
    async fn fill(&self) -> u64 {
        // Drawn at random, so that frames are not compressed.
        let body: Vec<u8> = (0..8 << 10).map(|_| rand::random()).collect();
        let (body, mut given) = (Bytes::from(body), 0);
        loop {
            while self.followers.work("h", Work::Run(Box::new(job(given, body.clone())))) {
                given += 1;
                if given.is_multiple_of(100) {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            if !self.followers.work("h", Work::Run(Box::new(job(given, body.clone())))) {
                assert!(given > 4_000, "only {given} fitted");
                return given;
            }
            given += 1;
        }
    }
}

fn settings(links: SocketAddr) -> Settings {
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
        keep_s: 120,
        policy: Policy::default(),
        log: "info".to_owned(),
    }
}

fn config() -> Config {
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
    };
    Config { version: 1, routes: vec![route], ..Config::default() }
}

fn step(id: &str) -> Arc<Step> {
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
fn scoring(step: &str) -> Report {
    Report {
        run: 1,
        step: step.to_owned(),
        index: 0,
        endpoint: "e".to_owned(),
        standing: Standing::Scoring,
        from: 0,
        made: Made { events: vec!["x".to_owned()], last: Some("0".to_owned()), versions: vec![1] },
        gap_ms: 0,
    }
}

fn job(number: u64, body: Bytes) -> Job {
    Job {
        run: number,
        step: "step".to_owned(),
        index: 0,
        host: "h".to_owned(),
        sample: Sample { body, ..Sample::default() },
        endpoint: "e".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        version: 1,
        least: 1,
        single: false,
        left_ms: 10_000,
        made: Made::default(),
    }
}

async fn until(what: &str, is: impl Fn() -> bool) {
    let began = Instant::now();
    while !is() {
        assert!(began.elapsed() < Duration::from_secs(10), "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

type Socket = Framed<TcpStream, LengthDelimitedCodec>;

/// Connects as a VM that stores and hosts.
async fn greet(links: SocketAddr, node: &str) -> Socket {
    let mut socket = Framed::new(TcpStream::connect(links).await.unwrap(), frames());
    let store = Some(Depot { identity: STORE, address: "127.0.0.1:9".parse().unwrap() });
    let (node, data_centre) = (node.to_owned(), "here".to_owned());
    socket
        .send(encode(&Hello::Member { node, data_centre, store, clock: clock::now() }))
        .await
        .unwrap();
    socket
}

/// Parts that a store has.
type Kept = Rc<RefCell<BTreeMap<PartId, Bytes>>>;

/// A VM that stores and hosts, as far as the leader sees it: like one, it keeps parts and gives those
/// that it has, tells of its runs when it connects and when it is asked, and stops them.
struct Member {
    up: mpsc::UnboundedSender<Up>,
    runs: Rc<RefCell<Vec<Report>>>,
    /// Words about runs that came.
    asked: Rc<Cell<u32>>,
    task: JoinHandle<()>,
}

impl Member {
    /// Connects and tells of the runs; that this is all, only [`Member::reported`] tells.
    async fn connect(links: SocketAddr, node: &str, kept: Kept, runs: Vec<Report>) -> Self {
        let mut socket = greet(links, node).await;
        let (up, mut ups) = mpsc::unbounded_channel();
        let (runs, asked) = (Rc::new(RefCell::new(runs)), Rc::<Cell<u32>>::default());
        for run in runs.borrow().iter() {
            up.send(Up::Report(run.clone())).unwrap();
        }
        let (says, has, counts) = (up.clone(), runs.clone(), asked.clone());
        let task = actix_rt::spawn(async move {
            let mut alive = tokio::time::interval(ALIVE);
            loop {
                let said = tokio::select! {
                    frame = socket.next() => {
                        let Some(Ok(frame)) = frame else { return };
                        take(decode(&frame).unwrap(), &says, &kept, &has, &counts);
                        continue;
                    }
                    Some(said) = ups.recv() => said,
                    _ = alive.tick() => Up::Alive,
                };
                if socket.send(encode(&said)).await.is_err() {
                    return;
                }
            }
        });
        Self { up, runs, asked, task }
    }

    /// Tells that all runs have been told.
    fn reported(&self) {
        self.up.send(Up::Reported).unwrap();
    }

    /// Tells whether the host still has a run of a step.
    fn runs(&self, step: &str) -> bool {
        self.runs.borrow().iter().any(|run| run.step == step)
    }

    /// Waits until the host has stopped a step's runs; tells whether that was soon enough.
    async fn stops(&self, step: &str) -> bool {
        let began = Instant::now();
        while self.runs(step) && began.elapsed() < BOUND {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        !self.runs(step)
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn take(
    down: Down,
    up: &mpsc::UnboundedSender<Up>,
    kept: &Kept,
    runs: &Rc<RefCell<Vec<Report>>>,
    asked: &Rc<Cell<u32>>,
) {
    match down {
        Down::Ask { number, ask: Ask::Put(part, bytes) } => {
            kept.borrow_mut().insert(part, bytes);
            up.send(Up::Told { number, told: Told::Kept }).unwrap();
        }
        // A part that is not here stands for one on a disk that stalls: no answer comes.
        Down::Ask { number, ask: Ask::Get(part) } => {
            if let Some(bytes) = kept.borrow().get(&part) {
                let told = Told::Part(Some(bytes.clone()));
                up.send(Up::Told { number, told }).unwrap();
            }
        }
        Down::Work { work: Work::Tell, .. } => {
            asked.set(asked.get() + 1);
            for run in runs.borrow().iter() {
                up.send(Up::Report(run.clone())).unwrap();
            }
            up.send(Up::Reported).unwrap();
        }
        Down::Work { work: Work::Stop { step, index, run }, .. } => {
            let same = |one: &Report| one.step == step && one.index == index && one.run == run;
            runs.borrow_mut().retain(|one| !same(one));
        }
        _ => {}
    }
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A path that is closed: a host tells the next leader of a run before its step is read, and the step
/// ends while it is unread. It is asked again when the step has been looked at.
#[actix_rt::test]
async fn a_run_that_was_told_before_its_step_was_read_is_stopped_when_the_step_has_ended() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    drop(store);
    fleet.next_lead();
    let host = fleet.host(vec![scoring("a")]).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Symptom: hosts and the leader are behind by seconds, orders and words to stop are read late, and the
/// leadership is lost again.
/// Sequence: the leader changes, and the part of an open step lies on a store that is not there.
/// Cause: with each look at the steps that are still to be read, twenty times a second, all hosts are
/// asked to tell all that they have made of all runs.
#[actix_rt::test]
async fn hosts_are_not_asked_for_all_runs_at_each_look_at_a_step_that_cannot_be_read() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    drop(store);
    fleet.next_lead();
    let host = fleet.host(Vec::new()).await;
    host.reported();
    pause(100).await;
    let before = host.asked.get();
    pause(2_000).await;
    let asked = host.asked.get() - before;
    assert!(asked <= 4, "asked {asked} times in two seconds, and nothing had changed");
}

/// Symptom: a host begins a run that a leader ordered which leads no longer.
/// Sequence: frames wait for a host that reads slowly; the leadership ends; the host reads on.
/// Cause: what is queued is still sent.
#[actix_rt::test]
async fn orders_that_wait_when_the_leadership_ends_are_not_sent() {
    let fleet = Fleet::start().await;
    let (mut stream, alive) = fleet.slow_host().await;
    // The last of them lie in the queue, and those before in the sockets.
    let given = fleet.fill().await - 1_000;
    fleet.lead().stop();
    let mut got = Vec::new();
    let limit = Duration::from_secs(2);
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(limit, stream.next()).await {
        if let Down::Work { work: Work::Run(job), .. } = decode(&frame).unwrap() {
            got.push(job.run);
        }
    }
    alive.abort();
    let late = got.iter().filter(|run| **run >= given).count();
    assert_eq!(late, 0, "of the last thousand, of {} in all", got.len());
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: so many frames wait for a host that there is room for no more; a step ends of which it has
/// a run; the host reads on, and its connection stays.
/// Cause: a word to stop that finds no room is dropped, and nobody says it again.
#[actix_rt::test]
async fn a_word_to_stop_that_finds_no_room_is_said_again() {
    let (fleet, lead, _store) = Fleet::taken_over().await;
    let (mut stream, alive) = fleet.slow_host().await;
    lead.take_report("h", &scoring("a"));
    lead.host_found("h", "here", u64::MAX);
    assert_eq!(lead.plan.borrow().host("a", 0), Some(("h".to_owned(), 1)));
    fleet.fill().await;
    fleet.end("a").await;
    let ended = Instant::now();
    let (mut stopped, mut open) = (false, true);
    while open && !stopped && ended.elapsed() < BOUND {
        match tokio::time::timeout(BOUND, stream.next()).await {
            Ok(Some(Ok(frame))) => {
                let down: Down = decode(&frame).unwrap();
                stopped = matches!(down, Down::Work { work: Work::Stop { .. } | Work::Tell, .. });
            }
            Ok(_) => open = false,
            Err(_) => {}
        }
    }
    alive.abort();
    assert!(stopped || !open, "the host is connected, and goes on with the run");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: the leader changes. A host tells of its runs, which takes a moment; meanwhile the leader
/// reads the step and asks all hosts again. The host then tells that these were all. The step ends.
/// Cause: a host that has not told all of its runs yet is not asked again, though what it told so far
/// was passed over because the step was not read.
#[actix_rt::test]
async fn a_host_that_is_telling_when_a_step_is_read_is_asked_again() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    drop(store);
    let lead = fleet.next_lead();
    let host = fleet.host(vec![scoring("a")]).await;
    pause(100).await;
    assert!(!lead.plan.borrow().has("a"), "it cannot be read yet");
    let _store = fleet.store(&kept).await;
    until("the step is read", || lead.plan.borrow().has("a")).await;
    pause(100).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: the leader changes. A host tells of a run whose scorer it calls; the step is not read yet.
/// What was noted of another step lies on a store that does not answer. The first step ends.
/// Cause: open steps and their notes are read one after the other, and the runs of a step that is
/// still to be read are stopped only once its turn has come, also if it has ended meanwhile.
#[actix_rt::test]
async fn the_runs_of_an_ended_step_are_stopped_though_another_step_is_slow_to_read() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    fleet.submit("b").await;
    let stores = BTreeSet::from([StoreId { node: "s".to_owned(), identity: STORE }]);
    for number in 0..6 {
        let place = Place::Stores(stores.clone());
        let note = Command::Note { step: "a".to_owned(), part: PartId(number), place };
        assert!(matches!(fleet.lead().commit(note).await, Answer::Done));
    }
    drop(store);
    fleet.next_lead();
    let _store = fleet.store(&kept).await;
    let host = fleet.host(vec![scoring("b")]).await;
    host.reported();
    pause(300).await;
    fleet.end("b").await;
    assert!(host.stops("b").await, "the step has ended, and its scorer is called");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: a host's connection breaks; it connects again and tells of its runs, which takes a moment,
/// during which the time is up that it has to come back. It tells that these were all. The step ends.
/// Cause: the host's runs were taken away although it had told of them, and a run whose scorer is being
/// called is not told again.
#[actix_rt::test]
async fn a_host_that_is_telling_when_its_time_is_up_keeps_its_runs() {
    let (fleet, lead, _store) = Fleet::taken_over().await;
    let first = fleet.host(vec![scoring("a")]).await;
    first.reported();
    until("the run is known", || lead.plan.borrow().host("a", 0).is_some()).await;
    drop(first);
    pause(100).await;
    let host = fleet.host(vec![scoring("a")]).await;
    pause(500).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Symptom: samples of a step run whose end was answered with "no such step", and nobody ends it again.
/// Sequence: a step is on its way to the stores, one of which does not answer; its trainer has lost the
/// connection and ends the step; then the stores' time is up, and the step is committed.
/// Cause: an end looks only at the steps that the log holds.
#[actix_rt::test]
async fn an_end_that_comes_while_its_step_is_being_submitted_is_not_answered_as_unknown() {
    let fleet = Fleet::start().await;
    let lead = fleet.lead();
    // It answers nothing.
    let _store = greet(fleet.links, "s").await;
    until("the store is connected", || lead.copies.count(|node| node == "s") == 1).await;
    let submitting = lead.clone();
    let submitted =
        actix_rt::spawn(async move { submitting.answer(Call::Submit(step("a"))).await });
    pause(200).await;
    let ended = lead.answer(Call::End("a".to_owned())).await;
    let submitted = submitted.await.unwrap();
    let runs = lead.plan.borrow().has("a");
    assert!(
        !(runs && matches!(ended, Answer::Unknown)),
        "submission: {submitted:?}, end: {ended:?}, and its samples run"
    );
}
