//! The daemons of a test. Each is a process with its own loopback address.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::ports;
use chicoryford_standin::process::Process;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Answer;
use chicoryford_standin::raw::Question;
use chicoryford_wire::paths;
use serde_json::Value;
use tempfile::TempDir;

/// Limit of each wait, long enough for a busy machine. No test depends on how long an action takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const DAEMON: &str = env!("CARGO_BIN_EXE_chicoryfordd");

const KEYS: &str = "\
process all process-token
operator op operator-token
caller desk caller-token
trainer coach trainer-token
";

/// A daemon's process and the address on which it listens.
pub struct Daemon {
    pub process: Process,
    pub address: SocketAddr,
}

/// Daemons that run until the test ends.
pub struct System {
    pub folder: TempDir,
    pub daemons: BTreeMap<String, Daemon>,
    seeds: Vec<SocketAddr>,
    replicas: String,
}

impl Drop for System {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("logs:\n{}", self.logs());
        }
    }
}

impl System {
    /// Starts control processes `c1`, `c2` and so on, and waits until one of them is the leader.
    pub fn start(controls: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        fs::write(folder.path().join("keys"), KEYS).unwrap();
        fs::write(folder.path().join("token"), "process-token\n").unwrap();
        fs::write(folder.path().join("operator"), "operator-token\n").unwrap();
        let names: Vec<String> = (1..=controls).map(|i| format!("c{i}")).collect();
        // The listening address and the gossip address of each.
        let addresses: Vec<[SocketAddr; 2]> =
            names.iter().map(|_| [ports::address(), ports::address()]).collect();
        let replica = |(name, pair): (&String, &[SocketAddr; 2])| {
            format!("    - node: {name}\n      address: {}\n", pair[0])
        };
        let replicas = names.iter().zip(&addresses).map(replica).collect();
        let seeds = addresses.iter().map(|pair| pair[1]).collect();
        let mut system = Self { folder, daemons: BTreeMap::new(), seeds, replicas };
        for (name, [address, gossip]) in names.iter().zip(addresses) {
            let role = format!("control:\n  replicas:\n{}", system.replicas);
            system.launch(name, "dc-1", address, gossip, &role);
        }
        let first = system.address("c1");
        system.wait("there is a leader", || system.leader(&[first]).is_some());
        system
    }

    /// Starts an entry and returns its address.
    pub fn start_entry(&mut self, name: &str, data_centre: &str) -> SocketAddr {
        self.start_daemon(name, data_centre, "entry: {}\n")
    }

    /// Starts the agent of an endpoint that serves `model`, and returns the agent's address.
    pub fn start_agent(
        &mut self,
        endpoint: &str,
        data_centre: &str,
        kind: &str,
        at: SocketAddr,
        model: &str,
    ) -> SocketAddr {
        let role = format!(
            "agent:\n  endpoint: {endpoint}\n  kind: {kind}\n  address: {at}\n  models: [{model}]\n\
             \x20 report_ms: 200\n"
        );
        self.start_daemon(&format!("agent-{endpoint}"), data_centre, &role)
    }

    /// Starts a control process with an empty disk that waits to be added to the replicas. Returns
    /// its address.
    pub fn start_joining(&mut self, name: &str) -> SocketAddr {
        self.start_daemon(name, "dc-1", "control:\n  join: true\n")
    }

    fn start_daemon(&mut self, name: &str, data_centre: &str, role: &str) -> SocketAddr {
        let (address, gossip) = (ports::address(), ports::address());
        self.launch(name, data_centre, address, gossip, role);
        address
    }

    fn launch(
        &mut self,
        name: &str,
        data_centre: &str,
        address: SocketAddr,
        gossip: SocketAddr,
        role: &str,
    ) {
        let data =
            if role.starts_with("control") { format!("data: {name}\n") } else { String::new() };
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let settings = format!(
            "node: {name}\ndata_centre: {data_centre}\nlisten: {address}\ngossip: {gossip}\n\
             seeds: [{}]\n{data}{role}",
            seeds.join(", ")
        );
        let file = self.path(&format!("{name}.yaml"));
        fs::write(&file, settings).unwrap();
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let process =
            Process::start(self.folder.path(), name, Path::new(DAEMON), &arguments).unwrap();
        self.daemons.insert(name.to_owned(), Daemon { process, address });
    }

    /// Starts a killed daemon again with a file size limit of `bytes`. Writes beyond it fail as on
    /// a full disk.
    pub fn restart_on_full_disk(&mut self, name: &str, bytes: u64) {
        let script = "trap '' XFSZ; exec prlimit --fsize=$1 $2 --settings $3 2>/dev/null";
        let settings = self.path(&format!("{name}.yaml")).display().to_string();
        let arguments =
            ["-c", script, "sh", &bytes.to_string(), DAEMON, &settings].map(str::to_owned);
        let shell = Path::new("/bin/sh");
        let process = Process::start(self.folder.path(), name, shell, &arguments).unwrap();
        self.daemon_mut(name).process = process;
    }

    /// Returns the path of a file in the test's folder.
    pub fn path(&self, file: &str) -> PathBuf {
        self.folder.path().join(file)
    }

    pub fn daemon_mut(&mut self, name: &str) -> &mut Daemon {
        self.daemons.get_mut(name).unwrap()
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.daemons[name].address
    }

    /// Returns the addresses of several daemons.
    pub fn addresses(&self, names: &[&str]) -> Vec<SocketAddr> {
        names.iter().map(|name| self.address(name)).collect()
    }

    /// Kills a daemon at once (SIGKILL).
    pub fn kill(&mut self, name: &str) {
        self.daemon_mut(name).process.kill().unwrap();
    }

    /// Starts a killed daemon again.
    pub fn restart(&mut self, name: &str) {
        self.daemon_mut(name).process.restart().unwrap();
    }

    /// Gets a path with an operator's token and returns the answer as JSON.
    pub fn get(&self, at: SocketAddr, path: &str) -> Value {
        let question =
            Question { method: "GET", path, token: "operator-token", ..Question::default() };
        raw::ask(at, &question).json()
    }

    /// Returns the leader as reported by the first of `at` that reports one.
    pub fn leader(&self, at: &[SocketAddr]) -> Option<String> {
        let known = at.iter().map(|at| self.get(*at, paths::CONTROL_STATUS));
        let mut leaders = known.filter_map(|status| status["leader"].as_str().map(str::to_owned));
        leaders.next()
    }

    /// Runs the operators' client.
    pub fn client(&self, at: &[SocketAddr], arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chicoryford"));
        for address in at {
            command.args(["--address", &address.to_string()]);
        }
        command
            .args(["--token", &self.path("operator").display().to_string()])
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .unwrap()
    }

    /// Applies templates and waits until they are in force in all processes.
    pub fn apply(&self, at: &[SocketAddr], text: &str) {
        let file = self.path("templates.yaml");
        fs::write(&file, text).unwrap();
        let applied = self.client(at, &["apply", "--wait", &file.display().to_string()]);
        assert!(applied.status.success(), "{applied:?}");
    }

    /// Waits until each of `at` sees exactly `count` healthy endpoints.
    pub fn wait_endpoints(&self, at: &[SocketAddr], count: usize) {
        self.wait("the endpoints are seen", || {
            at.iter().all(|at| {
                let members = self.get(*at, paths::MEMBERS);
                let known = members["known"].as_object().cloned().unwrap_or_default();
                let is_healthy = |k: &&Value| {
                    k["member"]["endpoint"]["healthy"] == true && k["standing"] == "alive"
                };
                known.values().filter(is_healthy).count() == count
            })
        });
    }

    /// Posts a body to a daemon and returns the answer.
    pub fn post(&self, at: SocketAddr, path: &str, token: &str, body: &str) -> Answer {
        let headers = [("chicoryford-workspace", "desk")];
        let body = body.as_bytes();
        raw::ask(at, &Question { path, token, headers: &headers, body, ..Question::default() })
    }

    /// Sends an operator's command and closes the connection without reading the answer.
    pub fn send_and_forget(&self, at: SocketAddr, body: &str) {
        let question = Question {
            path: paths::OPERATE,
            token: "operator-token",
            body: body.as_bytes(),
            ..Question::default()
        };
        drop(raw::send(at, &question));
    }

    /// Waits until `done` returns true, and panics after [`WAIT_TIMEOUT`].
    pub fn wait(&self, what: &str, mut done: impl FnMut() -> bool) {
        let started = Instant::now();
        while !done() {
            if started.elapsed() > WAIT_TIMEOUT {
                panic!("timed out waiting until {what}");
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the last 20 lines of each daemon's log.
    pub fn logs(&self) -> String {
        let mut output = String::new();
        for (name, daemon) in &self.daemons {
            let text = fs::read_to_string(&daemon.process.log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let last = &lines[lines.len().saturating_sub(20)..];
            output.push_str(&format!("--- {name}\n{}\n", last.join("\n")));
        }
        output
    }

    /// Returns the lines of a daemon's log that match.
    pub fn log_lines(&self, name: &str, matches: impl Fn(&str) -> bool) -> Vec<String> {
        let text = fs::read_to_string(&self.daemons[name].process.log).unwrap_or_default();
        text.lines().filter(|line| matches(line)).map(str::to_owned).collect()
    }

    /// Checks that no daemon logged a violated invariant or a panic.
    pub fn check_logs(&self) {
        for (name, daemon) in &self.daemons {
            let text = fs::read_to_string(&daemon.process.log).unwrap_or_default();
            let broken =
                text.lines().find(|l| l.contains("promise_broken") || l.contains("panicked"));
            assert_eq!(broken, None, "in the log of {name}");
        }
    }
}
