//! Test fixture: an entry behind the real server, with fake agents whose answers a test scripts.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_bodies::Store;
use chicoryford_bodies::message::Drop;
use chicoryford_bodies::message::Dropped;
use chicoryford_bodies::message::Found;
use chicoryford_bodies::message::Get;
use chicoryford_config::Handle as ConfigHandle;
use chicoryford_entry::context::Context;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Metrics;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_membership::Handle as MembersHandle;
use chicoryford_settings::EntrySettings;
use chicoryford_settings::Settings;
use chicoryford_state::Base;
use chicoryford_state::Command;
use chicoryford_state::Reply as StateReply;
use chicoryford_state::SessionRenewal;
use chicoryford_state::SessionRenewalReply;
use chicoryford_state::State;
use chicoryford_types::ChangeId;
use chicoryford_types::Class;
use chicoryford_types::Config;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::EndpointKind;
use chicoryford_types::Epoch;
use chicoryford_types::Failure;
use chicoryford_types::Frame;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::Principal;
use chicoryford_types::Roles;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Version;
use chicoryford_types::Work;
use chicoryford_types::Workspace;
use chicoryford_types::config::Stop;
use chicoryford_types::config::StopTarget;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Finish;
use chicoryford_types::frame::Tokens;
use chicoryford_types::member::Known;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::CrashDecision;
use chicoryford_types::request::CrashQuestion;
use chicoryford_types::request::Task;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::Keys;
use chicoryford_wire::Kind;
use chicoryford_wire::PROGRESS;
use chicoryford_wire::Progress;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::framing;
use chicoryford_wire::paths;
use chicoryford_wire::reply;
use chicoryford_wire::server::Bounds;
use chicoryford_wire::server::serve;
use futures_util::StreamExt;
use futures_util::stream;
use serde_json::Value;
use tokio::sync::watch;

/// The only workspace.
pub const WORKSPACE: &str = "desk";
/// The model of all engines.
pub const MODEL: &str = "route-model";
/// The service of all plain endpoints.
pub const SERVICE: &str = "labels";

/// How a fake agent answers an attempt.
pub enum Plan {
    /// Refuses it.
    Refuse(Failure),
    /// Sends frames and closes the stream.
    Stream(Vec<Frame>),
    /// Sends the first frame, then heartbeats until the number is not zero, then the other frames.
    Held(Vec<Frame>, Arc<AtomicU32>),
    /// Sends frames, then only heartbeats.
    Lingering(Vec<Frame>),
    /// Sends frames, then keeps the stream open without sending anything.
    Silent(Vec<Frame>),
}

type Answer = Box<dyn Fn(&Work) -> Plan + Send + Sync>;
type CrashOf = Box<dyn Fn(&CrashQuestion) -> Result<CrashDecision, Failure> + Send + Sync>;
type StateOf = Box<dyn Fn(&AttemptQuestion) -> AttemptState + Send + Sync>;

/// A fake agent.
pub struct Agent {
    /// Returns how the agent answers an attempt.
    pub answer: Answer,
    /// Returns the state that the agent reports for an attempt.
    pub state_of: StateOf,
    /// Returns what is decided about a crash by an attempt, or the failure of the query.
    pub crash_of: CrashOf,
    /// The attempts that the agent received.
    pub seen: Mutex<Vec<Work>>,
    /// The state queries that the agent received.
    pub asked: Mutex<Vec<AttemptQuestion>>,
}

impl Agent {
    /// Creates an agent that answers attempts with `answer`, reports their state as unknown and
    /// blames none of them for a crash.
    pub fn new(answer: impl Fn(&Work) -> Plan + Send + Sync + 'static) -> Self {
        Self {
            answer: Box::new(answer),
            state_of: Box::new(|_| AttemptState::Unknown),
            crash_of: Box::new(|_| Ok(CrashDecision::NotBlamed)),
            seen: Mutex::default(),
            asked: Mutex::default(),
        }
    }

    /// Sets the state that the agent reports for attempts.
    pub fn with_state(
        self,
        state_of: impl Fn(&AttemptQuestion) -> AttemptState + Send + Sync + 'static,
    ) -> Self {
        Self { state_of: Box::new(state_of), ..self }
    }

    /// Sets what the agent reports about crashes by attempts.
    pub fn with_crash(
        self,
        crash_of: impl Fn(&CrashQuestion) -> CrashDecision + Send + Sync + 'static,
    ) -> Self {
        self.with_crash_result(move |question| Ok(crash_of(question)))
    }

    /// Sets how the agent answers queries about crashes by attempts, which may fail.
    pub fn with_crash_result(
        self,
        crash_of: impl Fn(&CrashQuestion) -> Result<CrashDecision, Failure> + Send + Sync + 'static,
    ) -> Self {
        Self { crash_of: Box::new(crash_of), ..self }
    }

    fn work(&self, work: Work) -> Reply {
        let (request, attempt) = (work.request, work.attempt);
        let prefix = match &work.task {
            Task::Generate(task) => task.prefix.as_str(),
            Task::Call(_) => "",
        };
        tracing::info!(event = "attempt_received", %request, %attempt, prefix);
        let plan = (self.answer)(&work);
        self.seen.lock().unwrap().push(work);
        match plan {
            Plan::Refuse(failure) => reply::peer_failure(&failure),
            Plan::Stream(frames) => reply::stream(reply::MSGPACK, bodies(frames)),
            Plan::Held(frames, released) => reply::stream(reply::MSGPACK, held(frames, released)),
            Plan::Lingering(frames) => {
                let last = frames.last().cloned().unwrap();
                reply::stream(reply::MSGPACK, bodies(frames).chain(alive(last)))
            }
            Plan::Silent(frames) => {
                reply::stream(reply::MSGPACK, bodies(frames).chain(stream::pending()))
            }
        }
    }

    fn attempt(&self, question: AttemptQuestion) -> Reply {
        let state = (self.state_of)(&question);
        self.asked.lock().unwrap().push(question);
        reply::msgpack(&state)
    }
}

fn bodies(frames: Vec<Frame>) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    stream::iter(frames.into_iter().map(|frame| Ok(framing::encode(&frame))))
}

/// Sends the first frame, then heartbeats until `released` is not zero, then the other frames.
fn held(
    mut frames: Vec<Frame>,
    released: Arc<AtomicU32>,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let last = frames.last().cloned().unwrap();
    frames.reverse();
    stream::unfold((frames, 0), move |(mut frames, seq)| {
        let (released, last) = (released.clone(), last.clone());
        async move {
            let waits = seq > 0 && released.load(Ordering::Relaxed) == 0;
            let next = if waits {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
                Frame { seq, event: Event::Alive, ..last }
            } else {
                Frame { seq, ..frames.pop()? }
            };
            Some((Ok(framing::encode(&next)), (frames, seq + 1)))
        }
    })
}

/// Sends heartbeats after a frame.
fn alive(last: Frame) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    stream::unfold(last, |last| async move {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        let next = Frame { seq: last.seq + 1, event: Event::Alive, ..last };
        Some((Ok(framing::encode(&next)), next))
    })
}

/// Numbers events as the frames of an attempt.
pub fn frames(work: &Work, events: Vec<Event>) -> Vec<Frame> {
    let frame = |(seq, event)| Frame {
        request: work.request,
        attempt: work.attempt,
        seq: seq as u32,
        event,
    };
    events.into_iter().enumerate().map(frame).collect()
}

/// Creates tokens of one version, one per word.
pub fn tokens(text: &str, version: u64) -> Event {
    let count = text.split_whitespace().count() as u32;
    let version = Some(Version(version));
    Event::Tokens(Tokens { text: text.to_owned(), count, version, logprobs: Vec::new() })
}

/// Creates the end of an answer.
pub fn finished(tokens: u32) -> Event {
    Event::Finished(Finish { tokens, reason: "stop".to_owned(), load: None })
}

/// A control process with the real state machine and without peers.
pub struct Control {
    /// The state.
    pub state: Mutex<State>,
    /// The proposed commands.
    pub proposed: Mutex<Vec<Command>>,
    /// Whether the reply that a sample is recorded is sent only after a later query of the progress
    /// of its step.
    pub holds_records: AtomicBool,
    config: watch::Sender<Arc<Config>>,
}

impl Control {
    /// Applies a command as if it had been committed.
    pub fn apply(&self, command: Command) -> StateReply {
        self.proposed.lock().unwrap().push(command.clone());
        let at = Position { epoch: Epoch(1), ..Position::default() };
        let mut state = self.state.lock().unwrap();
        let reply = state.apply(at, chicoryford_kernel::unix(), command);
        assert_eq!(state.violations(), 0);
        self.config.send_replace(Arc::new(state.config.clone()));
        reply
    }

    /// Returns the number of queries of the progress of a step.
    pub fn count_progress_queries(&self) -> usize {
        let is_query = |command: &&Command| match command {
            Command::Ledger(command) => matches!(**command, LedgerCommand::Progress { .. }),
            _ => false,
        };
        self.proposed.lock().unwrap().iter().filter(is_query).count()
    }

    async fn hold_record(&self) {
        let before = self.count_progress_queries();
        while self.count_progress_queries() == before {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn renew(&self, renew: SessionRenewal) -> SessionRenewalReply {
        let held = self.state.lock().unwrap().session(renew.session).is_some();
        let orphans = match self.apply(Command::Ledger(Box::new(LedgerCommand::Orphans))) {
            StateReply::Ledger(reply) => match *reply {
                LedgerReply::Orphans(orphans) => orphans,
                other => panic!("{other:?}"),
            },
            other => panic!("{other:?}"),
        };
        let ledger = &self.state.lock().unwrap().ledger;
        let audited = renew.audit.as_ref().map(|audit| ledger.audit(audit));
        SessionRenewalReply { held, lasts_ms: 5_000, orphans, audited }
    }
}

fn serve_control(control: Arc<Control>, keys: Arc<Keys>) -> String {
    listen(keys, move || {
        let mut routes = Routes::default();
        let shared = control.clone();
        routes.add(paths::PROPOSE, &[Kind::Process], move |call| {
            let control = shared.clone();
            let command: Command = call.msgpack().unwrap();
            let is_record = matches!(
                &command,
                Command::Ledger(command) if matches!(**command, LedgerCommand::Done { .. })
            );
            let reply = reply::msgpack(&control.apply(command));
            async move {
                if is_record && control.holds_records.load(Ordering::Relaxed) {
                    control.hold_record().await;
                }
                reply
            }
        });
        let shared = control.clone();
        routes.add(paths::RENEW, &[Kind::Process], move |call| {
            let reply = reply::msgpack(&shared.renew(call.msgpack().unwrap()));
            async move { reply }
        });
        routes
    })
}

/// The body store of another entry.
#[derive(Default)]
pub struct Peer {
    /// The bodies that it stores.
    pub store: Mutex<Store>,
}

impl Peer {
    fn get(&self, request: &Get) -> Found {
        let store = self.store.lock().unwrap();
        Found { bodies: request.names.iter().map(|name| store.get(name)).collect() }
    }

    fn discard(&self, request: &Drop) -> Dropped {
        let mut store = self.store.lock().unwrap();
        let named = request.names.iter().filter(|name| store.remove(name)).count();
        let grouped: usize = request.groups.iter().map(|(k, g)| store.remove_group(k, *g)).sum();
        Dropped { count: (named + grouped) as u32 }
    }
}

fn serve_peer(peer: Arc<Peer>, keys: Arc<Keys>) -> String {
    listen(keys, move || {
        let mut routes = Routes::default();
        let shared = peer.clone();
        routes.add(paths::BODY_GET, &[Kind::Process], move |call| {
            let reply = reply::msgpack(&shared.get(&call.msgpack().unwrap()));
            async move { reply }
        });
        let shared = peer.clone();
        routes.add(paths::BODY_DROP, &[Kind::Process], move |call| {
            let reply = reply::msgpack(&shared.discard(&call.msgpack().unwrap()));
            async move { reply }
        });
        routes
    })
}

/// An entry and its fake agents.
pub struct Fixture {
    /// The control process.
    pub control: Arc<Control>,
    /// The kernel of the entry.
    pub kernel: Kernel,
    /// The address of the entry.
    pub address: String,
    /// The agents.
    pub agents: Vec<Arc<Agent>>,
    /// Counts the work in progress of the process.
    pub progress: Progress,
    /// A client with the token of the caller "desk".
    pub desk: Client,
    keys: Arc<Keys>,
    members: watch::Sender<Arc<Members>>,
}

/// A response as a caller receives it.
#[derive(Debug)]
pub struct Seen {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The `retry-after` header in seconds.
    pub retry_after: Option<u64>,
}

impl Seen {
    /// Parses the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns the body as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// The template of the only workspace.
pub fn template() -> Template {
    Template {
        workspace: Workspace::from(WORKSPACE),
        models: vec![Model::from(MODEL), Model::from(SERVICE)],
        callers: BTreeMap::from([(Principal::from("desk"), Class::Normal)]),
        trainers: vec![Principal::from("trainer")],
        ..Template::default()
    }
}

/// The settings of the entry.
pub fn entry_settings() -> EntrySettings {
    EntrySettings { silence_ms: 150, rescue_ms: 50, ..EntrySettings::default() }
}

fn settings(entry: EntrySettings) -> Settings {
    Settings { node: Node::from("entry-1"), entry: Some(entry), ..Settings::default() }
}

impl Fixture {
    /// Starts an entry with these agents.
    pub async fn start(agents: Vec<Agent>) -> Self {
        Self::start_with(agents, template()).await
    }

    /// Starts an entry with these agents and this template.
    pub async fn start_with(agents: Vec<Agent>, template: Template) -> Self {
        Self::start_configured(agents, template, entry_settings()).await
    }

    /// Starts an entry with these agents, this template and these settings.
    pub async fn start_configured(
        agents: Vec<Agent>,
        template: Template,
        entry: EntrySettings,
    ) -> Self {
        // A second test in the same process has the first one's subscriber.
        let _ = tracing_subscriber::fmt().with_test_writer().with_thread_names(true).try_init();
        let keys = keys();
        let (config, follow) = watch::channel(Arc::default());
        let control = Arc::new(Control {
            state: Mutex::default(),
            proposed: Mutex::default(),
            holds_records: AtomicBool::default(),
            config,
        });
        let change = ChangeId(format!("{}.first", chicoryford_kernel::unix().0));
        let template = Box::new(template);
        control.apply(Command::Apply { change, template, base: Base::default() });
        let agents: Vec<Arc<Agent>> = agents.into_iter().map(Arc::new).collect();
        let mut members = Members::default();
        for (index, agent) in agents.iter().enumerate() {
            let member = announce(index, serve_agent(agent.clone(), keys.clone()));
            members.known.insert(member.node.clone(), Known { member, ..Known::default() });
        }
        let member = Member {
            node: Node::from("control-1"),
            address: serve_control(control.clone(), keys.clone()),
            roles: Roles { control: true, ..Roles::default() },
            ..Member::default()
        };
        members.known.insert(member.node.clone(), Known { member, ..Known::default() });
        let kernel = Kernel::new(Metrics::new(None).unwrap());
        let (members, view) = watch::channel(Arc::new(members));
        let own = Member { node: Node::from("entry-1"), ..Member::default() };
        let handle = MembersHandle::new(view, Arc::new(watch::Sender::new(own)));
        let progress = Progress::default();
        kernel.registry.offer(PROGRESS, progress.clone());
        kernel.registry.offer(CALLER, Caller { token: Some("process".to_owned()), tls: None });
        kernel.registry.offer(chicoryford_config::SERVICE, ConfigHandle::new(follow));
        kernel.registry.offer(chicoryford_membership::SERVICE, handle);
        let settings = settings(entry);
        chicoryford_entry::start(&kernel, &settings).unwrap();
        let served = kernel.clone();
        let routes = move || {
            let mut routes = Routes::default();
            chicoryford_entry::routes(&mut routes, &served, &settings).unwrap();
            routes
        };
        let address = listen(keys.clone(), routes);
        let desk = Client::new(Some("desk".to_owned()), None);
        Self { control, kernel, address, agents, progress, desk, keys, members }
    }

    /// Sends a request as the caller "desk" with these headers in addition to the workspace.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Seen {
        self.post_as(&self.desk, path, headers, body).await
    }

    /// Sends a request with another client's token.
    pub async fn post_as(
        &self,
        client: &Client,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Seen {
        let url = client.url(&self.address, path);
        let mut request = client.post(&url).timeout(Duration::from_secs(20));
        request = request.insert_header(("chicoryford-workspace", WORKSPACE));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut answer = request.send_json(body).await.unwrap();
        let retry_after = answer.headers().get("retry-after");
        let retry_after = retry_after.map(|value| value.to_str().unwrap().parse().unwrap());
        let status = answer.status().as_u16();
        let mut body = Vec::new();
        while let Some(chunk) = answer.next().await {
            body.extend_from_slice(&chunk.unwrap());
        }
        Seen { status, body: body.into(), retry_after }
    }

    /// Adds another entry with a body store.
    pub fn add_entry(&self, name: &str) -> Arc<Peer> {
        let peer = Arc::new(Peer { store: Mutex::new(Store::new(1 << 20)) });
        self.add_entry_at(name, serve_peer(peer.clone(), self.keys.clone()));
        peer
    }

    /// Adds another entry at an address.
    pub fn add_entry_at(&self, name: &str, address: String) {
        let roles = Roles { entry: true, ..Roles::default() };
        let member = Member { node: Node::from(name), address, roles, ..Member::default() };
        self.change_members(|members| {
            members.known.insert(member.node.clone(), Known { member, ..Known::default() });
        });
    }

    /// Returns the services of the entry, as one of its threads uses them.
    pub fn context(&self) -> Context {
        Context::new(&self.kernel, &settings(entry_settings())).unwrap()
    }

    /// Changes the members.
    pub fn change_members(&self, change: impl FnOnce(&mut Members)) {
        self.members.send_modify(|members| change(Arc::make_mut(members)));
    }

    /// Plans a stop of the entry, as an operator would.
    pub fn stop_entry(&self) {
        let change = ChangeId(format!("{}.stop", chicoryford_kernel::unix().0));
        let target = StopTarget::Node(Node::from("entry-1"));
        let stop = Stop { target, deadline_ms: 60_000, reason: String::new(), accepted: Unix(0) };
        let reply = self.control.apply(Command::PlanStop { change, id: "s".into(), stop });
        assert!(matches!(reply, StateReply::Accepted { .. }), "{reply:?}");
    }

    /// Replaces the template, as an operator would.
    pub fn apply(&self, template: Template) {
        let base = {
            let state = self.control.state.lock().unwrap();
            let held = &state.config.templates[&template.workspace];
            Base { version: held.version, digest: held.template.digest() }
        };
        let change = ChangeId(format!("{}.next", chicoryford_kernel::unix().0));
        let command = Command::Apply { change, template: Box::new(template), base };
        let reply = self.control.apply(command);
        assert!(matches!(reply, StateReply::Accepted { .. }), "{reply:?}");
    }

    /// Checks that routing and admission detected no violated invariant.
    pub async fn check(&self) {
        let dump = self.kernel.dumps.take().await;
        let entry = &dump["entry"];
        assert_eq!(entry["routing"]["broken"], 0, "{entry}");
        assert_eq!(entry["admission"]["broken"], 0, "{entry}");
    }

    /// Waits until no request counts as in progress. A leaked request would make this wait forever.
    pub async fn settled(&self) {
        loop {
            let dump = self.kernel.dumps.take().await;
            let endpoints = dump["entry"]["endpoints"].as_array().unwrap();
            let idle = endpoints.iter().all(|endpoint| endpoint["running"] == 0);
            if idle && dump["entry"]["running"] == 0 && dump["entry"]["waiting"] == 0 {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Lists the attempts that all agents received.
    pub fn attempts(&self) -> Vec<Work> {
        let seen = self.agents.iter().map(|agent| agent.seen.lock().unwrap().clone());
        seen.flatten().collect()
    }
}

fn keys() -> Arc<Keys> {
    let file = tempfile::NamedTempFile::new().unwrap();
    let text = "process entry-1 process\ncaller desk desk\ncaller stranger stranger\n\
                trainer trainer trainer\n";
    std::fs::write(file.path(), text).unwrap();
    Arc::new(Keys::load(file.path()).unwrap())
}

fn announce(index: usize, address: String) -> Member {
    let models = [MODEL, SERVICE].map(|model| (Model::from(model), Version(1)));
    let endpoint = EndpointInfo {
        name: Endpoint(format!("endpoint-{index}")),
        kind: EndpointKind::Engine,
        models: BTreeMap::from(models),
        slots: 8,
        healthy: true,
        ..EndpointInfo::default()
    };
    Member {
        node: Node(format!("agent-{index}")),
        incarnation: Incarnation(1),
        address,
        endpoint: Some(endpoint),
        ..Member::default()
    }
}

fn serve_agent(agent: Arc<Agent>, keys: Arc<Keys>) -> String {
    listen(keys, move || {
        let mut routes = Routes::default();
        let shared = agent.clone();
        routes.add(paths::WORK, &[Kind::Process], move |call| {
            let reply = shared.work(call.msgpack().unwrap());
            async move { reply }
        });
        let shared = agent.clone();
        routes.add(paths::ATTEMPT, &[Kind::Process], move |call| {
            let reply = shared.attempt(call.msgpack().unwrap());
            async move { reply }
        });
        let shared = agent.clone();
        routes.add(paths::CRASH, &[Kind::Process], move |call| {
            let reply = match (shared.crash_of)(&call.msgpack().unwrap()) {
                Ok(decision) => reply::msgpack(&decision),
                Err(failure) => reply::peer_failure(&failure),
            };
            async move { reply }
        });
        routes
    })
}

fn listen(keys: Arc<Keys>, routes: impl Fn() -> Routes + Send + Clone + 'static) -> String {
    let bounds = Bounds { workers: 1, ..Bounds::default() };
    let running = serve("127.0.0.1:0".parse().unwrap(), &bounds, keys, None, routes).unwrap();
    running.address.to_string()
}
