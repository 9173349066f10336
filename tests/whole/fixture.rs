//! One daemon with all roles, its engine, and raw HTTP towards it.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::ops::Range;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::Recorder;
use chicoryford_standin::engine;
use chicoryford_standin::engine::EngineSettings;
use rand::Rng;
use serde_json::Value;
use tempfile::TempDir;

/// Long enough for a busy machine; no test depends on how long something takes.
pub const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);
const PORTS: Range<u16> = 10_000..32_000;

const KEYS: &str = "\
process all process-token
operator op operator-token
caller desk caller-token
caller stranger stranger-token
trainer coach trainer-token
";

/// Every token in [`KEYS`]; none may be shown anywhere.
pub const TOKENS: [&str; 5] =
    ["process-token", "operator-token", "caller-token", "stranger-token", "trainer-token"];

pub const TEMPLATE: &str = "\
workspace: desk
models: [model]
callers:
  desk: urgent
trainers: [coach]
";

/// A daemon that runs until the test ends.
pub struct Node {
    pub address: SocketAddr,
    pub folder: TempDir,
    child: Child,
    tls: bool,
}

/// An answer, read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        let begin = self.body.find('{').expect("the body holds an object");
        let end = self.body.rfind('}').expect("the body holds an object");
        serde_json::from_str(&self.body[begin..=end]).expect("the body is JSON")
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

impl Node {
    /// Starts a daemon whose bounds are `bounds` (a YAML flow mapping), and waits until it sees
    /// its engine.
    pub fn start(bounds: &str) -> Self {
        Self::launch(bounds, false)
    }

    /// Starts a daemon that speaks HTTPS with everyone but its engine.
    pub fn with_tls() -> Self {
        Self::launch("{}", true)
    }

    fn launch(bounds: &str, tls: bool) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let engine = start_engine();
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        std::fs::write(folder.path().join("keys"), KEYS).unwrap();
        std::fs::write(folder.path().join("token"), "process-token\n").unwrap();
        std::fs::write(folder.path().join("operator"), "operator-token\n").unwrap();
        let extra = if tls { write_certificate(&folder) } else { "" };
        let settings = format!(
            "node: all\nlisten: {address}\ngossip: 127.0.0.1:{}\ndata: data\nbounds: {bounds}\n{extra}\
             entry: {{}}\ncontrol:\n  replicas:\n    - node: all\n      address: {address}\n\
             agent:\n  endpoint: engine\n  address: {engine}\n  models: [model]\n",
            free_port()
        );
        std::fs::write(folder.path().join("all.yaml"), settings).unwrap();
        let log = std::fs::File::create(folder.path().join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryfordd"))
            .args(["--settings", &folder.path().join("all.yaml").display().to_string()])
            .stderr(log)
            .spawn()
            .unwrap();
        let node = Self { address, folder, child, tls };
        node.wait("the engine is seen", || {
            let seen = node.client(&["endpoints", "--output", "json"]);
            String::from_utf8_lossy(&seen.stdout).contains("\"healthy\": true")
        });
        node
    }

    /// Starts a daemon and puts [`TEMPLATE`] in force.
    pub fn with_template(bounds: &str) -> Self {
        let node = Self::start(bounds);
        let file = node.write("desk.yaml", TEMPLATE);
        let applied = node.client(&["apply", "--wait", &file]);
        assert!(applied.status.success(), "{applied:?}");
        node
    }

    /// Writes a file into the test's folder and gives its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the operators' client.
    pub fn client(&self, arguments: &[&str]) -> Output {
        let token: PathBuf = self.folder.path().join("operator");
        let mut command = Command::new(env!("CARGO_BIN_EXE_chicoryford"));
        if self.tls {
            let roots = self.folder.path().join("certificate");
            command.args(["--roots", &roots.display().to_string()]);
        }
        command
            .args(["--address", &self.address.to_string()])
            .args(["--token", &token.display().to_string()])
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .unwrap()
    }

    /// Posts a body with a token and reads the answer to its end.
    pub fn post(&self, path: &str, token: &str, body: &str) -> Answer {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {token}\r\n\
             chicoryford-workspace: desk\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = self.connect();
        stream.write_all(head.as_bytes()).unwrap();
        // A server that has refused the request by its head may close before the body is read.
        let _ = stream.write_all(body.as_bytes());
        read(stream)
    }

    /// Opens a connection with a patience that a test may wait for.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    /// Asks the daemon to stop and gives its exit code.
    pub fn stop(&mut self) -> Option<i32> {
        self.terminate();
        self.child.wait().unwrap().code()
    }

    /// Asks the daemon to stop.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
    }

    /// Waits until `done`.
    pub fn wait(&self, what: &str, mut done: impl FnMut() -> bool) {
        let begun = Instant::now();
        while !done() {
            if begun.elapsed() > PATIENCE {
                let log = std::fs::read_to_string(self.folder.path().join("log")).unwrap();
                panic!("waited in vain until {what}; log:\n{log}");
            }
            thread::sleep(LOOK);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a certificate that trusts itself, and gives the settings that use it.
fn write_certificate(folder: &TempDir) -> &'static str {
    let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    std::fs::write(folder.path().join("certificate"), made.cert.pem()).unwrap();
    std::fs::write(folder.path().join("key"), made.signing_key.serialize_pem()).unwrap();
    "tls: {certificate: certificate, key: key, roots: certificate}\n"
}

/// Reads an answer until its connection ends.
pub fn read(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    Answer { status: status.unwrap_or_default(), body: body.to_owned() }
}

/// Finds a port that is free for TCP and UDP just now, below those that the operating system
/// gives to outgoing connections: one of these could take the port before the daemon starts.
fn free_port() -> u16 {
    loop {
        let port = rand::rng().random_range(PORTS);
        let tcp = TcpListener::bind(("127.0.0.1", port));
        if tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn start_engine() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let address = "127.0.0.1:0".parse().unwrap();
            let settings = EngineSettings::default();
            let (running, _engine) = engine::start(address, settings, Recorder::default()).unwrap();
            sender.send(running.address).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}
