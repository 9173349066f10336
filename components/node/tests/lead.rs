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
use chicoryford_depot::Depot as Depository;
use chicoryford_depot::Worker;
use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Share;
use chicoryford_fleet::Step;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::copies::Place;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::plan::Made;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
use chicoryford_fleet::step::Scorer;
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
use chicoryford_node::link;
use chicoryford_node::link::Link;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Ask;
use chicoryford_node::message::Call;
use chicoryford_node::message::Depot;
use chicoryford_node::message::Down;
use chicoryford_node::message::Hello;
use chicoryford_node::message::News;
use chicoryford_node::message::Told;
use chicoryford_node::message::Up;
use chicoryford_node::peers::Peers;
use chicoryford_node::runner::Runner;
use chicoryford_node::traffic::Traffic;
use chicoryford_node::view::View;
use chicoryford_storage::Disk;
use chicoryford_types::Epoch;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
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

    /// Has six parts noted of a step's samples, which the store is said to have and does not give.
    async fn note(&self, id: &str) {
        let stores = BTreeSet::from([StoreId { node: "s".to_owned(), identity: STORE }]);
        for number in 0..6 {
            let place = Place::Stores(stores.clone());
            let note = Command::Note { step: id.to_owned(), part: PartId(number), place };
            assert!(matches!(self.lead().commit(note).await, Answer::Done));
        }
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
    fleet.note("a").await;
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

/// Symptom: a host goes on with a run, or calls its scorer, though its step has ended.
/// Sequence: the leader has a word to stop in a host's queue; its lease runs out for a moment, since
/// heartbeats or its own loop are late, and then holds on in the same leadership. The host stays
/// connected.
/// Cause: what is work is skipped while the lease does not hold, as if the leadership had ended; words
/// to stop are skipped too, and nobody says them again.
#[actix_rt::test]
async fn a_word_to_stop_is_not_lost_when_the_lease_runs_out_for_a_moment() {
    let fleet = Fleet::start().await;
    let lead = fleet.lead();
    // Nobody knows its step any more. What it tells by itself was answered when it connected, so it
    // gets the run only after that.
    let host = fleet.host(Vec::new()).await;
    host.reported();
    until("the host is connected", || lead.copies.count(|node| node == "h") == 1).await;
    pause(300).await;
    host.runs.borrow_mut().push(scoring("a"));
    lead.take_report("h", &scoring("a"));
    // The leader's loop is held up for longer than its lease.
    std::thread::sleep(Duration::from_millis(460));
    assert!(!lead.leads(), "the lease holds");
    until("the lease holds again", || lead.leads()).await;
    let stopped = host.stops("a").await;
    let same = lead.leads() && !host.task.is_finished();
    assert!(stopped || !same, "the same leadership and connection, and the run goes on");
}

/// Symptom: a host whose queue was full is not told to stop runs of steps that end, for as long as it
/// takes to read all that was queued.
/// Sequence: there is no room for more; the host lives and reads slowly; a step ends.
/// Cause: the follower is forgotten, but its connection is not ended: all that is queued is still sent
/// first, and the sender waits in a full socket without noticing.
#[actix_rt::test]
async fn the_connection_of_a_host_with_a_full_queue_ends() {
    let fleet = Fleet::start().await;
    let lead = fleet.lead();
    let (mut stream, alive) = fleet.slow_host().await;
    fleet.fill().await;
    let began = Instant::now();
    let connected = || lead.copies.count(|node| node == "h") == 1;
    // Two hundred frames a second.
    while connected() && began.elapsed() < BOUND {
        for _ in 0..10 {
            let _ = tokio::time::timeout(Duration::from_millis(5), stream.next()).await;
        }
        pause(50).await;
    }
    alive.abort();
    assert!(!connected(), "three seconds after its queue was full");
}

/// Passes bytes on between a host and the leader. Once `from` is set, the leader's take longer and longer,
/// up to `LAG`, while they keep coming. The task ends with the connection.
async fn slow_line(
    links: SocketAddr,
    from: Rc<Cell<Option<Instant>>>,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = actix_rt::spawn(async move {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect(links).await.unwrap();
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        actix_rt::spawn(async move { tokio::io::copy(&mut near_read, &mut far_write).await });
        let (came, mut waiting) = mpsc::unbounded_channel();
        actix_rt::spawn(async move {
            let mut bytes = vec![0; 64 << 10];
            while let Ok(read @ 1..) = far_read.read(&mut bytes).await {
                let lag = from.get().map_or(Duration::ZERO, |from| (from.elapsed() / 2).min(LAG));
                if came.send((Instant::now() + lag, bytes[..read].to_vec())).is_err() {
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

/// How late the leader's words are at most: orders 4.5 s old were seen.
const LAG: Duration = Duration::from_millis(4_000);

/// An engine that makes events of one sample until it is told to finish.
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

/// A scorer that notes when it is called.
async fn scorer() -> (SocketAddr, Rc<RefCell<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let called: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let notes = called.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; 4_096];
            if stream.read(&mut bytes).await.unwrap_or(0) > 0 {
                notes.borrow_mut().push(Instant::now());
                let reply = "HTTP/1.1 200 OK\r\nx-attempt-id: c\r\nx-response-stamp: p\r\n\
                             content-length: 0\r\n\r\n";
                let _ = stream.write_all(reply.as_bytes()).await;
            }
        }
    });
    (address, called)
}

/// Symptom: a scorer gets the call of a sample whose step ended more than three seconds ago.
/// Sequence: the leader's words reach a host some seconds late, while they keep coming, so that neither side
/// takes the other for lost; the step ends; the host's run of it, which it was ordered in time, is whole
/// after that, and its scorer is called; then the host reads the word to stop.
/// Cause: only orders to run have a bound in time. A host calls scorers however old the newest word is that
/// it has from the leader.
#[actix_rt::test]
async fn no_scorer_is_called_long_after_the_end_though_the_word_to_stop_lies_on_its_way() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let mut config = config();
    let route = Route {
        name: "score".to_owned(),
        prefix: "/score/".to_owned(),
        kind: Kind::Idempotent,
        timeout_ms: Some(2_000),
        shares: vec![Share { service: "desk".to_owned(), weight: 1 }],
        due_ms: None,
        age_ms: None,
        ..config.routes[0].clone()
    };
    config.routes.push(route);
    config.version = 2;
    assert!(matches!(
        fleet.lead().commit(Command::Configure(Arc::new(config))).await,
        Answer::Done
    ));
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    drop(store);
    let lead = fleet.next_lead();
    let _store = fleet.store(&kept).await;
    until("the step is read", || lead.plan.borrow().has("a")).await;

    let (address, called) = scorer().await;
    let view = Rc::new(View::default());
    let forwarder = Forwarder::new(Policy::default());
    let said = Announcement {
        id: "i0".to_owned(),
        born: 0,
        service: "desk".to_owned(),
        address,
        data_centre: "here".to_owned(),
        slots: 10,
        draining: false,
        models: BTreeMap::new(),
        sequence: 1,
    };
    forwarder.learn(&News::Endpoint(Endpoint { said, standing: endpoint::Standing::Ready }));
    let runner = Runner::new(view.clone(), forwarder);
    actix_rt::spawn(runner.clone().run());
    let folder = TempDir::new().unwrap();
    let depot = Depository::open(folder.path(), Disk::default()).unwrap();
    let worker = Worker::start(depot, |error| panic!("{error}")).unwrap();
    let from = Rc::<Cell<Option<Instant>>>::default();
    let (line, passing) = slow_line(fleet.links, from.clone()).await;
    let member = link::Member {
        node: "h".to_owned(),
        data_centre: "here".to_owned(),
        address: line,
        depot: Some(Rc::new(worker)),
        runner: Some(runner),
    };
    let link = Link::new(member, view.clone(), vec![line]);
    let linked = link.clone();
    actix_rt::spawn(async move { linked.run().await });
    until("the host follows", || link.is_connected() && view.config().is_some()).await;

    let finish = Rc::<Cell<bool>>::default();
    let scorer = Scorer {
        id: "c".to_owned(),
        host: "h".to_owned(),
        path: "/score/1".to_owned(),
        body: Bytes::new(),
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
    assert!(fleet.followers.work("h", Work::Run(Box::new(order))));
    let hosted = || lead.plan.borrow().host("a", 0) == Some(("h".to_owned(), 1));
    until("the run is known", hosted).await;
    from.set(Some(Instant::now()));
    tokio::time::sleep(LAG * 2).await;
    assert!(hosted() && link.is_connected(), "the run goes on, and both sides hear each other");
    fleet.end("a").await;
    let ended = Instant::now();
    tokio::time::sleep(BOUND + Duration::from_millis(150)).await;
    finish.set(true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // A host that connected anew, past the slow line, would show nothing.
    assert!(!passing.is_finished(), "the connection lasts");
    let late: Vec<Duration> = called.borrow().iter().map(|at| *at - ended).collect();
    assert!(late.iter().all(|late| *late <= BOUND), "after the end: {late:?}");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: the leader changes. A host tells of a run whose scorer it calls; the step's part is being read
/// still, or its notes are, from a store that does not answer. The step ends.
/// Cause: the run was passed over since its step was still to be read; the host is asked again only when
/// the reading has come to its end, which takes 0.8 s for each note, and an end meanwhile asks nobody.
#[actix_rt::test]
async fn the_runs_of_an_ended_step_are_stopped_though_it_is_slow_to_read_itself() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    fleet.note("a").await;
    drop(store);
    fleet.next_lead();
    let _store = fleet.store(&kept).await;
    let host = fleet.host(vec![scoring("a")]).await;
    host.reported();
    pause(300).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: a host has connected anew and tells of its runs; the leader then reads the last word that came
/// on the connection before, that all runs were told, and that this connection has ended. The time is up
/// that the host has to come back. It tells that these were all. The step ends.
/// Cause: a word of an older connection undoes what was noted of the newer one, on which the host is
/// telling.
#[actix_rt::test]
async fn a_late_word_of_the_connection_before_does_not_take_a_hosts_runs_away() {
    let (fleet, lead, _store) = Fleet::taken_over().await;
    let first = fleet.host(vec![scoring("a")]).await;
    first.reported();
    until("the run is known", || lead.plan.borrow().host("a", 0).is_some()).await;
    let host = fleet.host(vec![scoring("a")]).await;
    pause(100).await;
    first.reported();
    pause(100).await;
    drop(first);
    pause(600).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// A host judges an order's age by its own clock, which the leader gives back. Were it the clock of the
/// greeting for ever, each order would be refused as too old two seconds after it.
#[actix_rt::test]
async fn the_leader_gives_the_hosts_newest_clock_back_with_orders_and_signs() {
    let fleet = Fleet::start().await;
    let lead = fleet.lead();
    let (mut sink, mut stream) = greet(fleet.links, "h").await.split();
    until("the host is connected", || lead.copies.count(|node| node == "h") == 1).await;
    let clock = clock::now() + 60_000;
    sink.send(encode(&Up::Beat(clock))).await.unwrap();
    pause(300).await;
    assert!(fleet.followers.work("h", Work::Tell));
    let (mut order, mut sign) = (None, None);
    while order.is_none() || sign != Some(clock) {
        match decode(&stream.next().await.unwrap().unwrap()).unwrap() {
            Down::Work { heard, .. } => order = Some(heard),
            Down::Alive { heard } => sign = Some(heard),
            _ => {}
        }
    }
    assert_eq!(order, Some(clock));
}
