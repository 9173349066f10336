//! Control processes inside the test process, each with its own kernel, server and folder.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use chicoryford_control::Status;
use chicoryford_control::Tuning;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Metrics;
use chicoryford_kernel::Phase;
use chicoryford_settings::ControlSettings;
use chicoryford_settings::Replica;
use chicoryford_settings::Settings;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::ChangeId;
use chicoryford_types::Config;
use chicoryford_types::Failure;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Version;
use chicoryford_wire::CallError;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::Keys;
use chicoryford_wire::Routes;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::paths;
use chicoryford_wire::server;
use chicoryford_wire::server::Bounds;

const TOKEN: &str = "a-token-of-processes";
const KEYS: &str = "process p a-token-of-processes\noperator o a-token-of-operators\n";

/// Time after which a test fails because a condition was not reached. No test asserts on it.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// A running control process.
pub struct Process {
    pub kernel: Kernel,
    stop: tokio::sync::oneshot::Sender<()>,
    server: JoinHandle<()>,
}

/// The processes of one deployment; stopped ones are `None`.
pub struct Cluster {
    pub folder: tempfile::TempDir,
    pub settings: Vec<Settings>,
    pub processes: Vec<Option<Process>>,
    pub tuning: Tuning,
    partitioned: Arc<Mutex<BTreeSet<String>>>,
    pub client: Client,
}

impl Cluster {
    /// Starts `count` replicas that found a deployment.
    pub fn start(count: usize, tuning: Tuning) -> Self {
        Self::start_as(count, tuning, short_timeouts())
    }

    /// Starts replicas with the given settings in place of the tests' short timeouts.
    pub fn start_as(count: usize, tuning: Tuning, short_timeouts: ControlSettings) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("keys"), KEYS).unwrap();
        let listeners: Vec<_> = (0..count).map(|_| bind(([127, 0, 0, 1], 0).into())).collect();
        let replicas: Vec<Replica> = listeners
            .iter()
            .enumerate()
            .map(|(i, l)| Replica { node: name(i), address: l.local_addr().unwrap().to_string() })
            .collect();
        let mut cluster = Self {
            settings: Vec::new(),
            processes: Vec::new(),
            tuning: Tuning { hand_over_timeout_ms: 0, ..tuning },
            partitioned: Arc::default(),
            client: client(TOKEN),
            folder,
        };
        for (i, listener) in listeners.into_iter().enumerate() {
            let control = ControlSettings { replicas: replicas.clone(), ..short_timeouts.clone() };
            cluster.add(i, listener, control);
        }
        cluster
    }

    /// Starts a process that waits to be added, and returns its index.
    pub fn join(&mut self) -> usize {
        self.join_with(|_| {})
    }

    /// Starts a process as [`Self::join`] does, with changed settings.
    pub fn join_with(&mut self, change: impl FnOnce(&mut ControlSettings)) -> usize {
        let i = self.processes.len();
        let listener = bind(([127, 0, 0, 1], 0).into());
        let mut control = ControlSettings { join: true, ..short_timeouts() };
        change(&mut control);
        self.add(i, listener, control);
        i
    }

    fn add(&mut self, i: usize, listener: TcpListener, control: ControlSettings) {
        let settings = Settings {
            node: name(i),
            listen: listener.local_addr().unwrap(),
            data: Some(self.data(i)),
            control: Some(control),
            ..Settings::default()
        };
        self.settings.push(settings.clone());
        let process = run(settings, listener, self.folder.path(), self.tuning(i));
        self.processes.push(Some(process));
    }

    /// Partitions a process: it neither sends nor receives messages of the agreement.
    pub fn partition(&self, i: usize) {
        self.partitioned.lock().unwrap().insert(self.address(i));
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.partitioned.lock().unwrap().clear();
    }

    fn tuning(&self, i: usize) -> Tuning {
        let partitioned = self.partitioned.clone();
        let own = self.settings.get(i).map(|settings| settings.listen.to_string());
        let own = own.unwrap_or_default();
        let can_reach = move |to: &str| {
            let partitioned = partitioned.lock().unwrap();
            !partitioned.contains(to) && !partitioned.contains(&own)
        };
        Tuning { can_reach: Arc::new(can_reach), ..self.tuning.clone() }
    }

    pub fn data(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("data-{i}"))
    }

    /// Stops a process without a hand-over to the others.
    pub fn kill(&mut self, i: usize) {
        let process = self.processes[i].take().unwrap();
        process.kernel.phases.advance(Phase::Stopping);
        process.stop.send(()).unwrap();
        process.server.join().unwrap();
        self.wait_unlocked(i);
    }

    fn wait_unlocked(&self, i: usize) {
        let lock = self.data(i).join("control").join("lock");
        let started = Instant::now();
        while std::fs::File::open(&lock).unwrap().try_lock().is_err() {
            assert!(started.elapsed() < MAX_WAIT);
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts a stopped process again from its folder.
    pub fn restart(&mut self, i: usize) {
        let settings = self.settings[i].clone();
        let listener = bind(settings.listen);
        let process = run(settings, listener, self.folder.path(), self.tuning(i));
        self.processes[i] = Some(process);
    }

    pub fn address(&self, i: usize) -> String {
        self.settings[i].listen.to_string()
    }

    pub async fn status(&self, i: usize) -> Option<Status> {
        let url = self.client.url(&self.address(i), paths::CONTROL_STATUS);
        let mut answer = self.client.get(&url).timeout(MAX_WAIT).send().await.ok()?;
        serde_json::from_slice(&answer.body().await.ok()?).ok()
    }

    /// Waits until the status of a process satisfies a condition.
    pub async fn until(&self, i: usize, condition: impl Fn(&Status) -> bool) -> Status {
        let started = Instant::now();
        loop {
            let status = self.status(i).await;
            if let Some(status) = status.clone().filter(|s| condition(s)) {
                return status;
            }
            assert!(started.elapsed() < MAX_WAIT, "the status of {i} is {status:?}");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until a running process leads, and returns its index.
    pub async fn leader(&self) -> usize {
        let started = Instant::now();
        loop {
            for (i, process) in self.processes.iter().enumerate() {
                if process.is_none() {
                    continue;
                }
                let status = self.status(i).await;
                if status.is_some_and(|s| s.lease_ms > 0) {
                    return i;
                }
            }
            assert!(started.elapsed() < MAX_WAIT);
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Proposes once through a process.
    pub async fn try_propose(&self, i: usize, command: &Command) -> Result<Reply, CallError> {
        self.client.call(&self.address(i), paths::PROPOSE, command, MAX_WAIT).await
    }

    /// Proposes through a process, with retries as callers do.
    pub async fn propose(&self, i: usize, command: &Command) -> Reply {
        let started = Instant::now();
        loop {
            match self.try_propose(i, command).await {
                Ok(reply) => return reply,
                Err(error) => assert!(started.elapsed() < MAX_WAIT, "{error}"),
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Reads the configuration through a process by a linearizable read.
    pub async fn current(&self, i: usize) -> Result<Config, Failure> {
        let url = self.client.url(&self.address(i), paths::CURRENT);
        let mut answer = self.client.get(&url).timeout(MAX_WAIT).send().await.unwrap();
        let body = answer.body().await.unwrap();
        if answer.status().as_u16() < 400 {
            return Ok(serde_json::from_slice(&body).unwrap());
        }
        match chicoryford_wire::client::read_failure(&url, 500, &body) {
            CallError::Failure(failure) => Err(failure),
            error => panic!("{error}"),
        }
    }

    /// Requests an action of the control processes, as an operator.
    pub async fn request_action(
        &self,
        i: usize,
        action: &str,
    ) -> Result<serde_json::Value, Failure> {
        let url = self.client.url(&self.address(i), paths::CONTROL_STATUS);
        let body = action.to_owned();
        let mut answer = self.client.post(&url).timeout(MAX_WAIT).send_body(body).await.unwrap();
        let body = answer.body().await.unwrap();
        if answer.status().as_u16() < 400 {
            return Ok(serde_json::from_slice(&body).unwrap());
        }
        match chicoryford_wire::client::read_failure(&url, 500, &body) {
            CallError::Failure(failure) => Err(failure),
            error => panic!("{error}"),
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().filter_map(Option::take) {
            process.kernel.phases.advance(Phase::Stopping);
            let _ = process.stop.send(());
            let _ = process.server.join();
        }
    }
}

pub fn client(token: &str) -> Client {
    Client::new(Some(token.to_owned()), None)
}

pub fn name(i: usize) -> Node {
    Node(format!("control-{i}"))
}

/// A command that changes configuration: the `n`-th version of a model's weights.
pub fn publish(n: u64) -> Command {
    Command::Publish {
        change: ChangeId(format!("{}.{n}", chicoryford_kernel::unix().0)),
        model: Model::from("m"),
        version: Version(n),
        source: "store".to_owned(),
    }
}

/// Runs a test's future.
pub fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

fn short_timeouts() -> ControlSettings {
    ControlSettings {
        election_ms: 400,
        heartbeat_ms: 50,
        session_ms: 1_000,
        ..ControlSettings::default()
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let started = Instant::now();
    loop {
        match server::listen(address) {
            Ok(listener) => return listener,
            Err(error) => assert!(started.elapsed() < MAX_WAIT, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn run(settings: Settings, listener: TcpListener, folder: &Path, tuning: Tuning) -> Process {
    let kernel = Kernel::new(Metrics::new(None).unwrap());
    kernel.registry.offer(CALLER, Caller { token: Some(TOKEN.to_owned()), tls: None });
    chicoryford_control::start_with(&kernel, &settings, tuning).unwrap();
    let keys = Arc::new(Keys::load(&folder.join("keys")).unwrap());
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let (ready, started) = mpsc::channel();
    let own = kernel.clone();
    let server = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let routes = move || {
                let mut routes = Routes::default();
                chicoryford_control::routes(&mut routes, &own, &settings).unwrap();
                routes
            };
            let bounds = Bounds { workers: 1, ..Bounds::default() };
            let running = server::serve_on(listener, &bounds, keys, None, routes).unwrap();
            ready.send(()).unwrap();
            let _ = stopped.await;
            running.handle.stop(false).await;
        });
    });
    started.recv().unwrap();
    Process { kernel, stop, server }
}
