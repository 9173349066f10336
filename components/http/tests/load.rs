//! What the server counts for its callers, and its admission of requests, on real sockets.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_http::Admission;
use chicoryford_http::Load;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::message::StatusCode;
use chicoryford_http::socket;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

const MAX_WAIT: Duration = Duration::from_secs(5);
/// More than the buffers of both sockets hold.
const LARGE: usize = 24 << 20;

/// More than a small receive window, but by less than the socket takes beyond it.
const LIST: usize = 40 << 10;
const SMALL_WINDOW: u32 = 8 << 10;

/// An admission with switches.
#[derive(Default)]
struct Switches {
    refuses: Cell<bool>,
    diverts: Cell<bool>,
}

impl Admission for Switches {
    fn refusal(&self, _: &Request) -> Option<Reply> {
        let refusal = Reply::new(StatusCode::SERVICE_UNAVAILABLE, "full");
        self.refuses.get().then(|| refusal.with("retry-after", "0.100"))
    }

    fn closes_connections(&self) -> bool {
        self.diverts.get()
    }
}

/// A server whose handler waits for a permit on paths that begin with `/wait`, replies with
/// [`LARGE`] bytes on `/large`, and with the size of the request's body otherwise.
struct Fixture {
    address: SocketAddr,
    load: Rc<Load>,
    switches: Rc<Switches>,
    permits: Rc<Semaphore>,
    handled: Rc<Cell<u32>>,
}

fn start(with_admission: bool) -> Fixture {
    let server = Rc::new(Server::default());
    let switches = Rc::new(Switches::default());
    if with_admission {
        server.set_admission(switches.clone());
    }
    let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let (address, load) = (listener.local_addr().unwrap(), server.load());
    let (permits, handled) = (Rc::new(Semaphore::new(0)), Rc::new(Cell::new(0)));
    let (waits, counts) = (permits.clone(), handled.clone());
    let handler = move |request: Request| {
        let waits = waits.clone();
        counts.set(counts.get() + 1);
        async move {
            if request.path().starts_with("/wait") {
                waits.acquire().await.unwrap().forget();
            }
            let size = request.body.len().to_string();
            let body = match request.path() {
                "/large" => vec![b'a'; LARGE],
                "/list" => vec![b'a'; LIST],
                _ => size.into(),
            };
            Reply::new(StatusCode::OK, body)
        }
    };
    actix_rt::spawn(async move { server.serve(listener, handler).await });
    Fixture { address, load, switches, permits, handled }
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str, length: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n")
}

async fn until(what: &str, done: impl Fn() -> bool) {
    let waits = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(tokio::time::timeout(MAX_WAIT, waits).await.is_ok(), "{what}");
}

/// Reads until the connection is closed.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut text)).await.unwrap().unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads a reply with a short body.
async fn read_reply(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let read = tokio::time::timeout(MAX_WAIT, stream.read(&mut bytes)).await.unwrap().unwrap();
    String::from_utf8_lossy(&bytes[..read]).to_lowercase()
}

/// Guards against replies to slow readers that fill the memory without being counted.
#[actix_rt::test]
async fn the_reply_of_a_slow_reader_counts_until_it_is_read() {
    let fixture = start(true);
    let mut stream = send(fixture.address, &get("/large")).await;
    until("the reply is written", || fixture.load.held_bytes() > 0).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let held = fixture.load.held_bytes();
    assert!(held > LARGE as u64 / 2, "{held} bytes count while nothing is read");
    let unread = fixture.load.unread_replies();
    assert_eq!(unread.len(), 1);
    assert_eq!(unread[0].bytes, held);
    assert!(unread[0].stalled_ms >= 500, "{}", unread[0].stalled_ms);

    let mut read = vec![0; LARGE / 2];
    stream.read_exact(&mut read).await.unwrap();
    until("bytes that are read do not count", || fixture.load.held_bytes() < held / 2 + held / 4)
        .await;
    let mut read = vec![0; LARGE / 2];
    stream.read_exact(&mut read).await.unwrap();
    until("the whole reply is read", || fixture.load.held_bytes() == 0).await;
    assert!(fixture.load.unread_replies().is_empty());
    assert_eq!(fixture.load.connections(), 1);
    drop(stream);
    until("the connection ends", || fixture.load.connections() == 0).await;
}

/// Guards against replies that are lost because their callers pause: the system resets connections
/// of which nothing was read for 2 s.
#[actix_rt::test]
async fn a_caller_that_pauses_gets_its_whole_reply() {
    let fixture = start(true);
    let mut stream = send(fixture.address, &get("/large")).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut read = vec![0; LARGE];
    stream.read_exact(&mut read).await.unwrap();
}

/// Guards against the same for a reply that the socket takes whole, although the caller's window does
/// not hold it. The caller keeps its connection and has read a short reply on it before.
#[actix_rt::test]
async fn a_caller_with_a_small_window_that_pauses_gets_its_whole_reply() {
    let fixture = start(true);
    let caller = tokio::net::TcpSocket::new_v4().unwrap();
    caller.set_recv_buffer_size(SMALL_WINDOW).unwrap();
    let mut stream = caller.connect(fixture.address).await.unwrap();
    for _ in 0..2 {
        stream.write_all(get("/short").as_bytes()).await.unwrap();
        assert!(read_reply(&mut stream).await.starts_with("http/1.1 200"));
        stream.write_all(get("/list").as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert!(fixture.load.unread_replies().is_empty(), "the socket took it whole");
        let mut read = Vec::new();
        while read.len() < LIST {
            let got = stream.read_buf(&mut read).await.unwrap();
            assert!(got > 0, "it was cut after {} bytes", read.len());
        }
        // The end of the reply, of which the head was counted as well.
        let head = read.windows(4).position(|four| four == b"\r\n\r\n").unwrap() + 4;
        let mut rest = vec![0; head + LIST - read.len()];
        stream.read_exact(&mut rest).await.unwrap();
    }
}

/// Guards against a reply that cannot be cut, and against its bytes and its connection being
/// counted for ever.
#[actix_rt::test]
async fn a_reply_that_is_cut_counts_no_longer() {
    let fixture = start(true);
    let mut stream = send(fixture.address, &get("/large")).await;
    until("the reply is written", || !fixture.load.unread_replies().is_empty()).await;
    fixture.load.cut_reply(fixture.load.unread_replies()[0].id);
    until("its bytes are released", || fixture.load.held_bytes() == 0).await;
    until("its connection is closed", || fixture.load.connections() == 0).await;
    let mut read = vec![0; LARGE];
    assert!(stream.read_exact(&mut read).await.is_err(), "the caller notices");
}

/// Guards against a burst of large bodies that are all accepted before the first of them arrives,
/// and against counting them beyond their requests.
#[actix_rt::test]
async fn an_accepted_body_counts_before_it_arrives_and_until_it_is_answered() {
    let fixture = start(true);
    let mut stream = send(fixture.address, &post("/wait", 1 << 20)).await;
    let counted = || fixture.load.held_bytes() > 1 << 20;
    until("the declared length counts", counted).await;
    stream.write_all(&vec![b'b'; 1 << 20]).await.unwrap();
    until("the handler waits", || fixture.handled.get() == 1).await;
    assert!(counted());
    assert!(fixture.load.held_bytes() < (1 << 20) + 1_000, "no byte counts twice");
    fixture.permits.add_permits(1);
    assert!(read_reply(&mut stream).await.ends_with("1048576"));
    assert_eq!(fixture.load.held_bytes(), 0);

    let abandoned = send(fixture.address, &post("/wait", 1 << 20)).await;
    until("the declared length counts", counted).await;
    drop(abandoned);
    until("an abandoned request does not count", || fixture.load.held_bytes() == 0).await;
}

/// Guards against refusals that need the memory that is missing, and against a refusal that the
/// caller cannot read because its body is unread.
#[actix_rt::test]
async fn the_body_of_a_refused_request_is_not_buffered() {
    let fixture = start(true);
    fixture.switches.refuses.set(true);
    let length = 8 << 20;
    let mut stream = send(fixture.address, &post("/", length)).await;
    let (load, most) = (fixture.load.clone(), Rc::new(Cell::new(0)));
    let seen = most.clone();
    let watch = actix_rt::spawn(async move {
        loop {
            seen.set(load.held_bytes().max(seen.get()));
            tokio::task::yield_now().await;
        }
    });
    // The server stops reading after a while.
    let _ = stream.write_all(&vec![b'b'; length]).await;
    let text = read_all(&mut stream).await.to_lowercase();
    watch.abort();
    assert!(text.starts_with("http/1.1 503"), "{text}");
    assert!(text.contains("retry-after: 0.100") && text.contains("connection: close"), "{text}");
    assert!(most.get() < 100_000, "{} bytes were held", most.get());
    assert_eq!(fixture.handled.get(), 0, "a refused request does not run");
}

/// Guards against refusals of requests that were accepted before: one waits for its handler, the
/// body of another is being received.
#[actix_rt::test]
async fn accepted_requests_are_finished_while_new_ones_are_refused() {
    let fixture = start(true);
    let mut waiting = send(fixture.address, &get("/wait")).await;
    let mut sending = send(fixture.address, &post("/", 8)).await;
    until("one request runs", || fixture.handled.get() == 1).await;
    until("the other is accepted", || fixture.load.held_bytes() > 80).await;
    fixture.switches.refuses.set(true);
    fixture.switches.diverts.set(true);

    let refused = read_all(&mut send(fixture.address, &get("/")).await).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    sending.write_all(b"complete").await.unwrap();
    let text = read_all(&mut sending).await.to_lowercase();
    assert!(text.starts_with("http/1.1 200") && text.contains("connection: close"), "{text}");
    fixture.permits.add_permits(1);
    let text = read_all(&mut waiting).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert_eq!(fixture.handled.get(), 2);
}

/// Guards against callers that stay at an entry which diverts them, and against pipelined requests
/// that are lost when their connection is closed.
#[actix_rt::test]
async fn replies_close_connections_while_new_ones_are_diverted() {
    let fixture = start(true);
    let mut kept = send(fixture.address, &get("/")).await;
    assert!(!read_reply(&mut kept).await.contains("connection: close"));
    fixture.switches.diverts.set(true);
    kept.write_all(get("/").as_bytes()).await.unwrap();
    let text = read_all(&mut kept).await.to_lowercase();
    assert!(text.starts_with("http/1.1 200") && text.contains("connection: close"), "{text}");

    let mut pipelined = send(fixture.address, &(get("/") + &get("/"))).await;
    let text = read_all(&mut pipelined).await.to_lowercase();
    assert_eq!(text.matches("http/1.1 200").count(), 2, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
}

/// Guards against servers without an admission that refuse requests, or close connections.
#[actix_rt::test]
async fn without_an_admission_nothing_is_refused_or_closed() {
    let fixture = start(false);
    fixture.switches.refuses.set(true);
    fixture.switches.diverts.set(true);
    let mut stream = send(fixture.address, &get("/")).await;
    for _ in 0..2 {
        let text = read_reply(&mut stream).await;
        assert!(text.starts_with("http/1.1 200") && !text.contains("connection: close"), "{text}");
        stream.write_all(get("/").as_bytes()).await.unwrap();
    }
}

/// Guards against bodies in chunks that fill the memory: no length is declared, so their requests are
/// admitted before anything counts for them.
#[actix_rt::test]
async fn a_body_in_chunks_is_refused_when_it_grows_while_the_memory_is_full() {
    let fixture = start(true);
    let head = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = [format!("{:x}\r\n", 64 << 10).into_bytes(), vec![b'b'; 64 << 10], b"\r\n".into()];
    let chunk = chunk.concat();
    let mut stream = send(fixture.address, head).await;
    for _ in 0..8 {
        stream.write_all(&chunk).await.unwrap();
    }
    until("the body counts", || fixture.load.held_bytes() > 400 << 10).await;
    fixture.switches.refuses.set(true);
    let pour = async {
        // The server reads and drops the rest for a while.
        while stream.write_all(&chunk).await.is_ok() && fixture.load.held_bytes() > 0 {}
    };
    tokio::time::timeout(MAX_WAIT, pour).await.expect("the body is not refused");
    assert!(read_reply(&mut stream).await.starts_with("http/1.1 503"));
    assert_eq!(fixture.handled.get(), 0, "it was not run");
    until("its bytes are released", || fixture.load.held_bytes() == 0).await;
    // A body with a declared length was admitted with its length.
    fixture.switches.refuses.set(false);
    let mut stream = send(fixture.address, &post("/a", 1 << 20)).await;
    until("the declared length counts", || fixture.load.held_bytes() > 1 << 20).await;
    fixture.switches.refuses.set(true);
    stream.write_all(&vec![b'b'; 1 << 20]).await.unwrap();
    assert!(read_reply(&mut stream).await.starts_with("http/1.1 200"));
}
