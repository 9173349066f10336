//! Three control processes, an entry and an agent beside its engine, each a process of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Output;

use chicoryford_standin::Recorder;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::ports;
use chicoryford_standin::process::Process;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Answer;
use chicoryford_standin::raw::Question;
use serde_json::Value;
use tempfile::TempDir;

use crate::fixture::KEYS;
use crate::fixture::PATIENCE;
use crate::fixture::TEMPLATE;
use crate::fixture::run_client;
use crate::fixture::start_engine;
use crate::fixture::wait;

/// The control processes that found a cluster.
pub const CONTROLS: [&str; 3] = ["control-0", "control-1", "control-2"];

/// Processes that run until the test ends.
pub struct Cluster {
    pub folder: TempDir,
    /// Where the entry answers.
    pub entry: SocketAddr,
    /// What the engine did.
    pub engine: Recorder,
    controls: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    processes: Vec<Process>,
}

impl Cluster {
    /// Starts the processes, waits until the entry sees the engine, and puts [`TEMPLATE`] in force.
    pub fn start(behaviour: EngineSettings) -> Self {
        let folder = tempfile::tempdir().unwrap();
        for (name, text) in
            [("keys", KEYS), ("token", "process-token\n"), ("operator", "operator-token\n")]
        {
            std::fs::write(folder.path().join(name), text).unwrap();
        }
        let (engine, records) = start_engine(behaviour);
        let mut cluster = Self {
            folder,
            entry: ports::address(),
            engine: records,
            controls: CONTROLS.map(|_| ports::address()).to_vec(),
            seeds: CONTROLS.map(|_| ports::address()).to_vec(),
            processes: Vec::new(),
        };
        let founders: Vec<String> = CONTROLS
            .iter()
            .zip(&cluster.controls)
            .map(|(name, address)| format!("{{node: {name}, address: '{address}'}}"))
            .collect();
        let role = format!("data: data-NODE\ncontrol: {{replicas: [{}]}}\n", founders.join(", "));
        for (i, name) in CONTROLS.iter().enumerate() {
            let (listen, gossip) = (cluster.controls[i], cluster.seeds[i]);
            cluster.spawn(name, listen, gossip, &role.replace("NODE", name));
        }
        let entry = cluster.entry;
        cluster.spawn("entry-0", entry, ports::address(), "entry: {}\n");
        let role = format!("agent: {{endpoint: engine, address: '{engine}', models: [model]}}\n");
        cluster.spawn("agent-0", ports::address(), ports::address(), &role);
        cluster.wait("the engine is seen", || {
            let seen = cluster.client(&["endpoints", "--output", "json"]);
            String::from_utf8_lossy(&seen.stdout).contains("\"healthy\": true")
        });
        let file = cluster.write("desk.yaml", TEMPLATE);
        let applied = cluster.client(&["apply", "--wait", &file]);
        assert!(applied.status.success(), "{applied:?}");
        cluster
    }

    fn spawn(&mut self, name: &str, listen: SocketAddr, gossip: SocketAddr, role: &str) {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("'{seed}'")).collect();
        let text = format!(
            "node: {name}\nlisten: {listen}\ngossip: {gossip}\nseeds: [{}]\n{role}",
            seeds.join(", ")
        );
        let file = self.write(&format!("{name}.yaml"), &text);
        let program = Path::new(env!("CARGO_BIN_EXE_chicoryfordd"));
        let arguments = ["--settings".to_owned(), file];
        let started = Process::start(self.folder.path(), name, program, &arguments);
        self.processes.push(started.unwrap());
    }

    /// Gives a process by its name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.iter_mut().find(|process| process.name == name).unwrap()
    }

    /// Writes a file into the test's folder and gives its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the operators' client against the entry.
    pub fn client(&self, arguments: &[&str]) -> Output {
        run_client(self.entry, &self.folder.path().join("operator"), arguments)
    }

    /// Posts a body to the entry as the trainer.
    pub fn post(&self, path: &str, body: &Value) -> Answer {
        let body = body.to_string();
        let question =
            Question { path, token: "trainer-token", body: body.as_bytes(), ..Question::default() };
        raw::ask(self.entry, &question)
    }

    /// Asks a process to stop; tells whether it ended gracefully.
    pub fn stop(&mut self, name: &str) -> bool {
        self.process(name).stop(PATIENCE).unwrap()
    }

    /// Waits until `done`.
    pub fn wait(&self, what: &str, done: impl FnMut() -> bool) {
        let logs: Vec<_> = self.processes.iter().map(|process| process.log.clone()).collect();
        wait(what, &logs, done);
    }
}
