//! A test rig with an agent, its endpoint, a fake control process and a client that acts as the
//! entry.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryford_agent::handle::Handle;
use chicoryford_config::Proposer;
use chicoryford_config::proposer::PROPOSER;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Metrics;
use chicoryford_kernel::Phase;
use chicoryford_membership::Handle as Members;
use chicoryford_settings::AgentSettings;
use chicoryford_settings::Settings;
use chicoryford_standin::Recorder;
use chicoryford_standin::engine;
use chicoryford_standin::engine::Engine;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::service;
use chicoryford_standin::service::ServiceSettings;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Config;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointKind;
use chicoryford_types::Epoch;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Frame;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Order;
use chicoryford_types::RequestId;
use chicoryford_types::Roles;
use chicoryford_types::Work;
use chicoryford_types::Workspace;
use chicoryford_types::frame::Event;
use chicoryford_types::ids::Attempt;
use chicoryford_types::member::Standing;
use chicoryford_types::order::EpochAnswer;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::Class;
use chicoryford_types::request::CrashDecision;
use chicoryford_types::request::CrashQuestion;
use chicoryford_types::request::Generation;
use chicoryford_types::request::ServiceCall;
use chicoryford_types::request::Task;
use chicoryford_wire::CallError;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::Keys;
use chicoryford_wire::Kind;
use chicoryford_wire::Routes;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::client::read_failure;
use chicoryford_wire::framing::Decoder;
use chicoryford_wire::paths;
use chicoryford_wire::reply;
use chicoryford_wire::server::Bounds;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::serve;
use futures_util::StreamExt;
use tokio::sync::watch;

pub const MAX_WAIT: Duration = Duration::from_secs(20);
pub const INCARNATION: Incarnation = Incarnation(7);
const TOKEN: &str = "secret";

/// The commands that the fake control process has received, and the epoch that it reports.
#[derive(Clone, Default)]
pub struct Control {
    pub commands: Arc<Mutex<Vec<Command>>>,
    pub epoch: Arc<Mutex<Epoch>>,
}

/// An agent and its endpoint.
pub struct Rig {
    pub kernel: Kernel,
    pub handle: Handle,
    pub members: Arc<Members>,
    pub config: watch::Sender<Arc<Config>>,
    pub control: Control,
    pub address: String,
    /// The endpoint's address; the benchmark calls it directly.
    pub endpoint: String,
    pub client: Client,
    pub records: Recorder,
    pub engine: Option<Arc<Engine>>,
    servers: Vec<Running>,
    _key_file: tempfile::NamedTempFile,
}

fn keys() -> (tempfile::NamedTempFile, Arc<Keys>) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), format!("process node {TOKEN}\n")).unwrap();
    let keys = Arc::new(Keys::load(file.path()).unwrap());
    (file, keys)
}

fn bounds() -> Bounds {
    Bounds { workers: 1, ..Bounds::default() }
}

fn control_routes(control: &Control) -> Routes {
    let mut routes = Routes::default();
    let commands = control.commands.clone();
    routes.add(paths::PROPOSE, &[Kind::Process], move |call| {
        commands.lock().unwrap().push(call.msgpack().unwrap());
        async { reply::msgpack(&Reply::Done) }
    });
    let epoch = control.epoch.clone();
    routes.add(paths::EPOCH, &[Kind::Process], move |_| {
        let epoch = *epoch.lock().unwrap();
        let answer = EpochAnswer { epoch, voters: vec![Node::from("control")] };
        async move { reply::msgpack(&answer) }
    });
    routes
}

impl Rig {
    /// Starts an engine and its agent.
    pub fn engine(agent: AgentSettings, settings: EngineSettings) -> Self {
        let records = Recorder::default();
        let here = "127.0.0.1:0".parse().unwrap();
        let (server, engine) = engine::start(here, settings, records.clone()).unwrap();
        let agent = AgentSettings {
            endpoint: Endpoint::from("engine-1"),
            address: server.address.to_string(),
            report_ms: 50,
            ..agent
        };
        Self::start(agent, records, Some(engine), server)
    }

    /// Starts a plain service and its agent.
    pub fn service(settings: ServiceSettings) -> Self {
        let records = Recorder::default();
        let here = "127.0.0.1:0".parse().unwrap();
        let server = service::start(here, settings, records.clone()).unwrap();
        let agent = AgentSettings {
            endpoint: Endpoint::from("labels-1"),
            kind: EndpointKind::Service,
            address: server.address.to_string(),
            models: vec![Model::from("labels")],
            report_ms: 50,
            ..AgentSettings::default()
        };
        Self::start(agent, records, None, server)
    }

    fn start(
        agent: AgentSettings,
        records: Recorder,
        engine: Option<Arc<Engine>>,
        server: Running,
    ) -> Self {
        let here = "127.0.0.1:0".parse().unwrap();
        let endpoint = agent.address.clone();
        let (key_file, keys) = keys();
        let control = Control::default();
        *control.epoch.lock().unwrap() = Epoch(3);
        let control_state = control.clone();
        let controls =
            serve(here, &bounds(), keys.clone(), None, move || control_routes(&control_state))
                .unwrap();

        let kernel = Kernel::new(Metrics::new(None).unwrap());
        let members = Arc::new(members(&controls.address.to_string()));
        let (config, seen) = watch::channel(Arc::new(Config::default()));
        let caller = Caller { token: Some(TOKEN.to_owned()), tls: None };
        let client = caller.client();
        let proposer = Proposer::new(Arc::new(caller.clone()), members.clone());
        kernel.registry.offer(CALLER, caller);
        kernel.registry.offer(PROPOSER, proposer);
        kernel.registry.offer(chicoryford_membership::SERVICE, Members::clone(&members));
        let configuration = chicoryford_config::Handle::new(seen);
        kernel.registry.offer(chicoryford_config::SERVICE, configuration);
        let settings =
            Settings { node: Node::from("agent"), agent: Some(agent), ..Settings::default() };
        chicoryford_agent::start(&kernel, &settings).unwrap();
        let handle = kernel.registry.find::<Handle>(chicoryford_agent::SERVICE).unwrap();

        let own = kernel.clone();
        let running = serve(here, &bounds(), keys, None, move || {
            let mut routes = Routes::default();
            chicoryford_agent::routes(&mut routes, &own, &settings).unwrap();
            routes
        });
        let running = running.unwrap();
        Self {
            handle: Handle::clone(&handle),
            kernel,
            members,
            config,
            control,
            address: running.address.to_string(),
            endpoint,
            client,
            records,
            engine,
            servers: vec![server, controls, running],
            _key_file: key_file,
        }
    }

    /// Stops all processes of the rig.
    pub async fn stop(self) {
        self.kernel.phases.advance(Phase::Stopping);
        for server in &self.servers {
            server.handle.stop(false).await;
        }
    }

    /// Sends an attempt.
    pub async fn send(&self, work: &Work) -> Result<Stream, Failure> {
        let url = self.client.url(&self.address, paths::WORK);
        let body = rmp_serde::to_vec_named(work).unwrap();
        let request = self.client.post(&url).content_type(reply::MSGPACK);
        let mut response = request.send_body(body).await.unwrap();
        let status = response.status().as_u16();
        if status < 400 {
            return Ok(Stream { chunks: response.boxed_local(), decoder: Decoder::default() });
        }
        let body = response.body().await.unwrap();
        match read_failure(&url, status, &body) {
            CallError::Failure(failure) => Err(failure),
            other => panic!("{other}"),
        }
    }

    /// Sends an attempt and reads it to its end.
    pub async fn run(&self, work: &Work) -> Result<Vec<Event>, Failure> {
        let mut stream = self.send(work).await?;
        let mut events = Vec::new();
        while let Some(event) = stream.next().await {
            events.push(event);
        }
        Ok(events)
    }

    /// Queries the state of an attempt, and cancels it if `cancel` is set.
    pub async fn query(&self, work: &Work, cancel: bool) -> AttemptState {
        let (request, attempt, incarnation) = (work.request, work.attempt, work.incarnation);
        let question = AttemptQuestion { request, attempt, incarnation, cancel };
        self.client.call(&self.address, paths::ATTEMPT, &question, MAX_WAIT).await.unwrap()
    }

    /// Queries what is decided about a crash by an attempt.
    pub async fn query_crash(&self, work: &Work) -> CrashDecision {
        let (request, attempt, incarnation) = (work.request, work.attempt, work.incarnation);
        let question = CrashQuestion { request, attempt, incarnation, wait_ms: 10_000 };
        self.client.call(&self.address, paths::CRASH, &question, MAX_WAIT).await.unwrap()
    }

    /// Sends an order and repeats it until it is no longer in progress.
    pub async fn order(&self, epoch: u64, number: u64, action: OrderAction) -> OrderReply {
        let order = Order { epoch: Epoch(epoch), number, agent: INCARNATION, action };
        loop {
            let called = self.client.call(&self.address, paths::ORDER, &order, MAX_WAIT).await;
            match called.unwrap() {
                OrderReply::Busy => actix_rt::time::sleep(Duration::from_millis(10)).await,
                reply => return reply,
            }
        }
    }

    /// Counts the lines of the endpoint's record for which `wanted` returns true.
    pub fn count(&self, wanted: impl Fn(&serde_json::Value) -> bool) -> usize {
        self.records.kept().iter().filter(|line| wanted(line)).count()
    }
}

fn members(control: &str) -> Members {
    let roles = Roles { control: true, ..Roles::default() };
    let node = Node::from("control");
    let address = control.to_owned();
    let member = Member { node: node.clone(), address, roles, ..Member::default() };
    let known = Known { member, standing: Standing::Alive };
    let mut view = chicoryford_types::Members::default();
    view.known.insert(node, known);
    let own = Member { node: Node::from("agent"), incarnation: INCARNATION, ..Member::default() };
    let (_, view) = watch::channel(Arc::new(view));
    Members::new(view, Arc::new(watch::Sender::new(own)))
}

/// The response stream of an attempt.
pub struct Stream {
    chunks: futures_util::stream::LocalBoxStream<
        'static,
        Result<bytes::Bytes, awc::error::PayloadError>,
    >,
    decoder: Decoder,
}

impl Stream {
    /// Waits for the next event.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(frame) = self.decoder.take::<Frame>().unwrap() {
                return Some(frame.event);
            }
            match self.chunks.next().await {
                Some(Ok(chunk)) => self.decoder.push(&chunk),
                Some(Err(_)) | None => return None,
            }
        }
    }

    /// Reads events until the first tokens.
    pub async fn wait_for_tokens(&mut self) {
        while !matches!(self.next().await, Some(Event::Tokens(_))) {}
    }
}

/// Runs a test in an actix system, with a timeout.
pub fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        actix_rt::time::timeout(MAX_WAIT, test).await.expect("the test ends in time");
    });
}

/// Waits until a condition holds.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Creates a generation.
pub fn generation(number: u64, prompt: &str, tokens: u32) -> Work {
    Work {
        request: RequestId(1, number),
        attempt: Attempt(1),
        incarnation: INCARNATION,
        workspace: Workspace::from("zadruga"),
        model: Model::from("model"),
        class: Class::Normal,
        budget_ms: 60_000,
        repeatable: true,
        key: None,
        floor: None,
        fingerprint: Fingerprint::of(prompt.as_bytes()),
        suspect: false,
        task: Task::Generate(Generation {
            prompt: prompt.to_owned(),
            max_tokens: tokens,
            seed: number,
            logprobs: true,
            ..Generation::default()
        }),
    }
}

/// Creates a call that must run at most once.
pub fn label_call(number: u64, key: &str, body: &str) -> Work {
    let issued = chicoryford_kernel::unix().0;
    Work {
        repeatable: false,
        key: Some(IdempotencyKey(format!("{issued}.{key}"))),
        model: Model::from("labels"),
        task: Task::Call(ServiceCall {
            path: "print".to_owned(),
            media: "text/plain".to_owned(),
            body: bytes::Bytes::from(body.to_owned()),
        }),
        ..generation(number, body, 0)
    }
}
