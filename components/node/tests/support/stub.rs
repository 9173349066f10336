//! An endpoint whose answers are due at times of the test clock.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_kernel::clock;
use chicoryford_types::Millis;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What a stub counts, and what tests change.
#[derive(Default)]
pub struct StubState {
    /// The delay of answers in milliseconds; `None` for never.
    pub delay: Cell<Option<u64>>,
    pub requests: Cell<u32>,
    /// When the last request arrived.
    pub arrived: Cell<Millis>,
    /// The connections that the process was opening to an address when a request came.
    pub opening: RefCell<BTreeMap<String, String>>,
    /// The value of `requests` when the current request of the test began.
    requests_before: Cell<u32>,
    /// Whether the current request of the test was answered.
    is_answered: Cell<bool>,
}

impl StubState {
    /// Records that a request of the test begins.
    pub fn begin(&self) {
        self.requests_before.set(self.requests.get());
        self.is_answered.set(false);
    }

    /// Returns whether no bytes are under way from or to this endpoint, if the current request of
    /// the test was sent to it.
    pub fn is_settled(&self) -> bool {
        self.requests.get() > self.requests_before.get() && !self.is_answered.get()
    }
}

/// An endpoint that answers after a delay that tests change.
pub struct Stub {
    pub address: SocketAddr,
    pub state: Rc<StubState>,
}

/// Starts an endpoint. It counts the connections to `watched` that are being opened.
pub async fn stub(delay_ms: Option<u64>, watched: Option<SocketAddr>) -> Stub {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let state = Rc::new(StubState::default());
    state.delay.set(delay_ms);
    let stub = Stub { address, state: state.clone() };
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(serve(stream, state.clone(), watched));
        }
    });
    stub
}

async fn serve(mut stream: TcpStream, state: Rc<StubState>, watched: Option<SocketAddr>) {
    let mut bytes = vec![0; 4_096];
    while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
        state.opening.replace(watched.map(connections_being_opened).unwrap_or_default());
        state.arrived.set(clock::now());
        state.requests.set(state.requests.get() + 1);
        let number = state.requests.get();
        let Some(delay_ms) = state.delay.get() else { continue };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let text = "HTTP/1.1 200 OK\r\nx-attempt-id: id\r\nx-response-stamp: s\r\n\
                    content-length: 2\r\n\r\nok";
        // The caller of an earlier request of the test no longer waits for the answer.
        if number > state.requests_before.get() {
            state.is_answered.set(true);
        }
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns this process's connections to an address that are not established yet, with the line of
/// the kernel for each local address. The kernel lists addresses as hexadecimal numbers, and the
/// state of such connections is 02. It lists the sockets of all processes, and not at one moment, so
/// a socket can be listed twice while others are opened and closed.
fn connections_being_opened(address: SocketAddr) -> BTreeMap<String, String> {
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let SocketAddr::V4(address) = address else { panic!("{address} is not IPv4") };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let remote = format!("{ip:08X}:{:04X}", address.port());
    let own = own_sockets();
    let is_opening = |line: &&str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 9
            && fields[2] == remote
            && fields[3] == "02"
            && own.contains(&format!("socket:[{}]", fields[9]))
    };
    let by_local = |line: &str| {
        let local = line.split_whitespace().nth(1).unwrap_or_default();
        (local.to_owned(), line.to_owned())
    };
    table.lines().filter(is_opening).map(by_local).collect()
}

/// Returns the names of this process's sockets.
fn own_sockets() -> BTreeSet<String> {
    let files = std::fs::read_dir("/proc/self/fd").unwrap();
    let names = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    names.map(|name| name.to_string_lossy().into_owned()).collect()
}
