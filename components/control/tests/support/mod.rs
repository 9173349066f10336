//! Control processes within the test's process, each with its own kernel, server and folder.

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

/// How long anything may take before a test gives up; nothing is asserted on it.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A running control process.
pub struct Process {
    pub kernel: Kernel,
    stop: tokio::sync::oneshot::Sender<()>,
    server: JoinHandle<()>,
}

/// The processes of one deployment; stopped ones are none.
pub struct Cluster {
    pub folder: tempfile::TempDir,
    pub settings: Vec<Settings>,
    pub processes: Vec<Option<Process>>,
    pub tuning: Tuning,
    cut: Arc<Mutex<BTreeSet<String>>>,
    pub client: Client,
}

impl Cluster {
    /// Starts `count` replicas that found a deployment.
    pub fn start(count: usize, tuning: Tuning) -> Self {
        Self::start_as(count, tuning, quick())
    }

    /// Starts replicas with other settings than the tests' short timeouts.
    pub fn start_as(count: usize, tuning: Tuning, quick: ControlSettings) -> Self {
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
            cut: Arc::default(),
            client: client(TOKEN),
            folder,
        };
        for (i, listener) in listeners.into_iter().enumerate() {
            let control = ControlSettings { replicas: replicas.clone(), ..quick.clone() };
            cluster.add(i, listener, control);
        }
        cluster
    }

    /// Starts a process that waits to be added; gives its place.
    pub fn join(&mut self) -> usize {
        self.join_with(|_| {})
    }

    /// Starts a process as [`Self::join`] does, with changed settings.
    pub fn join_with(&mut self, change: impl FnOnce(&mut ControlSettings)) -> usize {
        let i = self.processes.len();
        let listener = bind(([127, 0, 0, 1], 0).into());
        let mut control = ControlSettings { join: true, ..quick() };
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

    /// Cuts a process off: no message of the agreement reaches or leaves it.
    pub fn cut_off(&self, i: usize) {
        self.cut.lock().unwrap().insert(self.address(i));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }

    fn tuning(&self, i: usize) -> Tuning {
        let cut = self.cut.clone();
        let own = self.settings.get(i).map(|settings| settings.listen.to_string());
        let own = own.unwrap_or_default();
        let reach = move |to: &str| {
            let cut = cut.lock().unwrap();
            !cut.contains(to) && !cut.contains(&own)
        };
        Tuning { can_reach: Arc::new(reach), ..self.tuning.clone() }
    }

    pub fn data(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("data-{i}"))
    }

    /// Stops a process without a word to the others.
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
            assert!(started.elapsed() < PATIENCE);
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
        let mut answer = self.client.get(&url).timeout(PATIENCE).send().await.ok()?;
        serde_json::from_slice(&answer.body().await.ok()?).ok()
    }

    /// Waits until a status passes a test.
    pub async fn until(&self, i: usize, pass: impl Fn(&Status) -> bool) -> Status {
        let started = Instant::now();
        loop {
            let status = self.status(i).await;
            if let Some(status) = status.clone().filter(|s| pass(s)) {
                return status;
            }
            assert!(started.elapsed() < PATIENCE, "{i} stands at {status:?}");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until a running process leads, and gives its place.
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
            assert!(started.elapsed() < PATIENCE);
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Proposes once through a process.
    pub async fn try_propose(&self, i: usize, command: &Command) -> Result<Reply, CallError> {
        self.client.call(&self.address(i), paths::PROPOSE, command, PATIENCE).await
    }

    /// Proposes through a process, again and again, as callers do.
    pub async fn propose(&self, i: usize, command: &Command) -> Reply {
        let started = Instant::now();
        loop {
            match self.try_propose(i, command).await {
                Ok(reply) => return reply,
                Err(error) => assert!(started.elapsed() < PATIENCE, "{error}"),
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asks a process for the configuration as of a linearizable read.
    pub async fn current(&self, i: usize) -> Result<Config, Failure> {
        let url = self.client.url(&self.address(i), paths::CURRENT);
        let mut answer = self.client.get(&url).timeout(PATIENCE).send().await.unwrap();
        let body = answer.body().await.unwrap();
        if answer.status().as_u16() < 400 {
            return Ok(serde_json::from_slice(&body).unwrap());
        }
        match chicoryford_wire::client::read_failure(&url, 500, &body) {
            CallError::Failure(failure) => Err(failure),
            error => panic!("{error}"),
        }
    }

    /// Orders the control processes something, as an operator.
    pub async fn act(&self, i: usize, action: &str) -> Result<serde_json::Value, Failure> {
        let url = self.client.url(&self.address(i), paths::CONTROL_STATUS);
        let body = action.to_owned();
        let mut answer = self.client.post(&url).timeout(PATIENCE).send_body(body).await.unwrap();
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

fn quick() -> ControlSettings {
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
            Err(error) => assert!(started.elapsed() < PATIENCE, "{error}"),
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
