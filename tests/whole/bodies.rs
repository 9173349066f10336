//! Tests of the samples' bodies at entries that are killed or restarted, with real processes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::ports;
use chicoryford_standin::process::Process;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Answer;
use chicoryford_standin::raw::Question;
use chicoryford_wire::paths;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::fixture::KEYS;
use crate::fixture::TEMPLATE;
use crate::fixture::WAIT_TIMEOUT;
use crate::fixture::start_engine_with;

const GROUPS: usize = 8;
const SAMPLES: usize = 2;
const TOKENS: u32 = 600;
/// Copies of all bodies of the step, three of each.
const COPIES: u64 = (GROUPS * SAMPLES * 3) as u64;
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which the owner of a step starts to repair the copies of an entry that is dead: it
/// learns at its next renewal which they are.
const REPAIR_TIME: Duration = Duration::from_millis(1_500);

/// A process with the control and agent roles, and entries in three data centres.
struct Cluster {
    folder: TempDir,
    seed: SocketAddr,
    control: SocketAddr,
    addresses: Vec<SocketAddr>,
    processes: Vec<Process>,
}

impl Cluster {
    fn start(entries: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("keys"), KEYS).unwrap();
        std::fs::write(folder.path().join("token"), "process-token\n").unwrap();
        std::fs::write(folder.path().join("operator"), "operator-token\n").unwrap();
        std::fs::write(folder.path().join("desk.yaml"), TEMPLATE).unwrap();
        let engine = EngineSettings {
            length: TOKENS,
            token_us: 50,
            batch_us: 1,
            slots: 64,
            ..EngineSettings::default()
        };
        let engine = start_engine_with(engine);
        let control = ports::address();
        let seed = ports::address();
        let (addresses, processes) = (Vec::new(), Vec::new());
        let mut cluster = Self { folder, seed, control, addresses, processes };
        let roles = format!(
            "data: data\ncontrol:\n  replicas:\n    - node: control\n      address: {control}\n\
             agent:\n  endpoint: engine\n  address: {engine}\n  models: [model]\n"
        );
        cluster.launch("control", (control, seed), "zadar", &roles);
        for number in 0..entries {
            let addresses = (ports::address(), ports::address());
            let data_centre = ["ston", "novigrad", "split"][number % 3];
            cluster.launch(&format!("entry-{number}"), addresses, data_centre, "entry: {}\n");
        }
        cluster.wait("the template is in force", || cluster.try_apply());
        cluster
    }

    fn launch(
        &mut self,
        name: &str,
        addresses: (SocketAddr, SocketAddr),
        data_centre: &str,
        roles: &str,
    ) {
        let (address, gossip) = addresses;
        let settings = format!(
            "node: {name}\nlisten: {address}\ngossip: {gossip}\nseeds: [{}]\n\
             data_centre: {data_centre}\n{roles}",
            self.seed
        );
        let file = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&file, settings).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_chicoryfordd"));
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let process = Process::start(self.folder.path(), name, program, &arguments).unwrap();
        self.addresses.push(address);
        self.processes.push(process);
    }

    fn try_apply(&self) -> bool {
        let path = |name| self.folder.path().join(name).display().to_string();
        let address = self.control.to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_chicoryford"))
            .args(["--address", &address, "--token", &path("operator")])
            .args(["apply", "--wait", &path("desk.yaml")])
            .stdin(Stdio::null())
            .output()
            .unwrap();
        output.status.success()
    }

    fn post(&self, entry: usize, path: &str, body: &Value) -> Answer {
        let body = body.to_string();
        let body = body.as_bytes();
        let question = Question { path, token: "trainer-token", body, ..Question::default() };
        raw::ask(self.addresses[1 + entry], &question)
    }

    fn get(&self, entry: usize, path: &str) -> Answer {
        let token = "operator-token";
        let question = Question { method: "GET", path, token, ..Question::default() };
        raw::ask(self.addresses[1 + entry], &question)
    }

    /// Returns the number of bodies that an entry holds, or 0 if it does not answer.
    fn count_bodies(&self, entry: usize) -> u64 {
        self.get(entry, paths::DUMP).json()["entry.bodies"]["bodies"].as_u64().unwrap_or_default()
    }

    fn count_copies(&self, entries: &[usize]) -> u64 {
        entries.iter().map(|entry| self.count_bodies(*entry)).sum()
    }

    /// Kills an entry (SIGKILL).
    fn kill(&mut self, entry: usize) {
        self.processes[1 + entry].kill().unwrap();
    }

    fn wait(&self, what: &str, mut done: impl FnMut() -> bool) {
        let started = Instant::now();
        while !done() {
            if started.elapsed() > WAIT_TIMEOUT {
                let logs = std::fs::read_dir(self.folder.path()).unwrap().flatten();
                let logs = logs.filter(|file| file.path().extension().is_some_and(|e| e == "log"));
                for log in logs {
                    println!("{:?}\n{}", log.path(), std::fs::read_to_string(log.path()).unwrap());
                }
                panic!("timed out waiting until {what}");
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Opens a step through entry 0, and waits until three entries hold each of its samples.
    fn open_step(&self, entries: &[usize]) {
        let groups: Vec<_> = (0..GROUPS).map(|n| json!({"prompt": format!("route {n}")})).collect();
        let spec = json!({
            "workspace": "desk", "step": 1, "model": "model", "samples": SAMPLES,
            "max_tokens": TOKENS, "logprobs": true, "groups": groups, "budget_ms": 60_000,
        });
        self.wait("the entries see each other", || {
            entries.iter().all(|entry| self.has_alive_entries(*entry, entries.len()))
        });
        self.wait("the step is open", || self.post(0, paths::STEP_OPEN, &spec).status == 200);
        self.wait("all samples have three holders", || self.count_copies(entries) == COPIES);
    }

    fn has_alive_entries(&self, entry: usize, count: usize) -> bool {
        let seen = self.get(entry, paths::MEMBERS).json();
        let Some(known) = seen["known"].as_object() else { return false };
        let is_entry = |known: &&Value| {
            known["standing"] == "alive" && known["member"]["roles"]["entry"] == true
        };
        known.values().filter(is_entry).count() >= count
    }

    fn is_dead(&self, entry: usize, other: usize) -> bool {
        let seen = self.get(entry, paths::MEMBERS).json();
        seen["known"][format!("entry-{other}")]["standing"] == "dead"
    }

    fn pull(&self, entry: usize, cursor: u64) -> Answer {
        let pull = json!({"workspace": "desk", "cursor": cursor, "groups": 3});
        self.post(entry, paths::STEP_PULL, &pull)
    }

    /// Pulls the first batch. A pull is answered with 202 while no group is whole yet.
    fn first_batch(&self, entry: usize) -> Answer {
        let mut answer = self.pull(entry, 1);
        self.wait("the first batch is whole", || {
            if answer.status == 202 {
                answer = self.pull(entry, 1);
            }
            answer.status != 202
        });
        answer
    }

    /// Pulls each batch twice and acknowledges it, until all samples are delivered. Checks that the
    /// second pull returns the same batch.
    fn pull_all(&self, entry: usize) -> Vec<Value> {
        let mut samples = Vec::new();
        let mut cursor = 1;
        self.wait("all samples are delivered", || {
            let answer = self.pull(entry, cursor);
            if answer.status != 200 {
                return false;
            }
            assert_eq!(self.pull(entry, cursor).body, answer.body);
            samples.extend(answer.json()["samples"].as_array().unwrap().clone());
            let ack = json!({"workspace": "desk", "cursor": cursor});
            assert_eq!(self.post(entry, paths::STEP_ACK, &ack).status, 200);
            cursor += 1;
            samples.len() >= GROUPS * SAMPLES
        });
        samples
    }
}

fn check_each_delivered_once(samples: &[Value]) {
    let id = |sample: &Value| (sample["group"].to_string(), sample["number"].to_string());
    let ids: BTreeSet<_> = samples.iter().map(id).collect();
    assert_eq!((samples.len(), ids.len()), (GROUPS * SAMPLES, GROUPS * SAMPLES));
}

#[test]
fn a_batch_outlives_four_of_five_holders_killed_between_repairs() {
    // Guards against a retried pull that returns other samples, or none, after holders were lost. A
    // batch is pulled and its answer is lost; one holder is killed, then the step's owner, then two
    // holders at once. This fails if the bytes outside the log have too few copies, or if lost
    // copies are not restored.
    let mut cluster = Cluster::start(5);
    cluster.open_step(&[0, 1, 2, 3, 4]);
    let first = cluster.first_batch(3);
    assert_eq!(first.status, 200, "{first:?}");
    cluster.kill(4);
    cluster.wait("the copies of entry 4 are restored", || {
        cluster.count_copies(&[0, 1, 2, 3]) >= COPIES
    });
    cluster.kill(0);
    cluster.wait("the copies of the owner are restored", || {
        cluster.count_copies(&[1, 2, 3]) >= COPIES
    });
    cluster.kill(1);
    cluster.kill(2);
    assert_eq!(cluster.pull(3, 1).body, first.body);
    check_each_delivered_once(&cluster.pull_all(3));
    cluster.wait("acknowledged bodies are dropped", || cluster.count_bodies(3) == 0);
}

#[test]
fn copies_of_a_killed_repair_are_dropped_with_their_batch() {
    // Guards against copies that stay for minutes because no record names them. An entry is killed,
    // and the owner of the step repairs its copies; the entry that is to store them is frozen, so
    // that the owner is killed before it has recorded them. The entry resumes and stores them.
    let mut cluster = Cluster::start(5);
    cluster.open_step(&[0, 1, 2, 3, 4]);
    // The other entry of the same data centre.
    let heir = 1;
    let before = cluster.count_bodies(heir);
    cluster.kill(4);
    cluster.wait("entry 0 sees that entry 4 is dead", || cluster.is_dead(0, 4));
    cluster.processes[1 + heir].freeze().unwrap();
    thread::sleep(REPAIR_TIME);
    cluster.kill(0);
    cluster.processes[1 + heir].thaw().unwrap();
    cluster.wait("the copies are stored", || cluster.count_bodies(heir) > before);
    check_each_delivered_once(&cluster.pull_all(3));
    cluster.wait("acknowledged bodies are dropped", || cluster.count_copies(&[1, 2, 3]) == 0);
}

#[test]
fn a_restart_of_all_entries_one_after_the_other_loses_nothing() {
    // Guards against losing a trainer's batch during an update of all entries. Each entry is asked
    // to stop and restarted, and the next follows as soon as the others see the restarted one,
    // although it has no copies yet. An entry must not end before its copies have been made
    // elsewhere.
    let mut cluster = Cluster::start(3);
    cluster.open_step(&[0, 1, 2]);
    let first = cluster.first_batch(0);
    assert_eq!(first.status, 200, "{first:?}");
    for entry in 0..3 {
        assert!(cluster.processes[1 + entry].stop(WAIT_TIMEOUT).unwrap());
        cluster.processes[1 + entry].restart().unwrap();
        cluster.wait("the others see the restarted entry", || {
            (0..3).all(|entry| cluster.has_alive_entries(entry, 3))
        });
    }
    assert_eq!(cluster.pull(0, 1).body, first.body);
    check_each_delivered_once(&cluster.pull_all(2));
}

#[test]
fn the_third_holder_serves_a_pull_while_two_are_just_killed() {
    // Guards against a pull that waits until failure detection has finished. Two of the three
    // holders are killed, and the trainer pulls immediately. The pull must not wait for holders
    // that do not answer, and must not fail at the first one.
    let mut cluster = Cluster::start(3);
    cluster.open_step(&[0, 1, 2]);
    let first = cluster.first_batch(0);
    assert_eq!(first.status, 200, "{first:?}");
    cluster.kill(1);
    cluster.kill(2);
    assert_eq!(cluster.pull(0, 1).body, first.body);
    check_each_delivered_once(&cluster.pull_all(0));
}
