//! The server on real sockets: its behaviour when callers disconnect early or send invalid
//! requests.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_http::Bounds;
use chicoryford_http::Connection;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::message::Method;
use chicoryford_http::message::StatusCode;
use chicoryford_http::socket;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MAX_WAIT: Duration = Duration::from_secs(5);

/// Counts the handler futures that are dropped.
struct DropCounter(Rc<Cell<u32>>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

async fn start<H, F>(server: Rc<Server>, handler: H) -> SocketAddr
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move { server.serve(listener, handler).await });
    address
}

async fn echo(request: Request) -> Reply {
    Reply::new(StatusCode::OK, request.body).with("x-target", &request.target)
}

async fn send(address: SocketAddr, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text).await.unwrap();
    stream
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut text)).await.unwrap().unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against an engine that continues to work for a caller that has disconnected. A request is
/// read, its handler waits for an endpoint, and the caller closes before the first byte of the
/// reply. A server that does not read its socket while a handler waits detects the close only when
/// it writes.
#[actix_rt::test]
async fn a_waiting_handler_is_cancelled_when_the_caller_disconnects() {
    let (started, dropped) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (first, second) = (started.clone(), dropped.clone());
    let handler = move |_: Request| {
        let (started, guard) = (first.clone(), DropCounter(second.clone()));
        async move {
            started.set(started.get() + 1);
            std::future::pending::<()>().await;
            drop(guard);
            Reply::new(StatusCode::OK, "")
        }
    };
    let address = start(Rc::default(), handler).await;
    let stream = send(address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    until(|| started.get() == 1).await;
    assert_eq!(dropped.get(), 0);
    drop(stream);
    until(|| dropped.get() == 1).await;
}

async fn until(done: impl Fn() -> bool) {
    let waits = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_millis(500), waits).await.expect("within half a second");
}

#[actix_rt::test]
async fn pipelined_requests_are_answered_in_order() {
    let address = start(Rc::default(), echo).await;
    let one = b"POST /a?x=1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
    let two = b"POST /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n";
    let mut stream = send(address, &[one.as_slice(), two].concat()).await;
    let text = read_all(&mut stream).await;
    let (first, second) = (text.find("one").unwrap(), text.find("two").unwrap());
    assert!(first < second, "{text}");
    assert!(text.contains("x-target: /a?x=1"), "{text}");
}

/// Guards against a reset that the caller receives instead of the reason. The caller sends more
/// than is allowed; the server replies and closes while bytes are unread. Closing a socket with
/// unread bytes resets it, and the reset overtakes the reply.
#[actix_rt::test]
async fn the_refusal_of_a_too_large_request_can_be_read() {
    let server = Rc::new(Server::default());
    server.set_bounds(Bounds { max_head_bytes: 1_000, max_body_bytes: 1_000, ..Bounds::default() });
    let address = start(server, echo).await;
    let long = format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n", "a".repeat(100_000));
    let text = read_all(&mut send(address, long.as_bytes()).await).await;
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
    let declared = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n{}",
        "b".repeat(100_000)
    );
    let text = read_all(&mut send(address, declared.as_bytes()).await).await;
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    let mut chunked = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..100 {
        chunked.extend_from_slice(format!("3e8\r\n{}\r\n", "c".repeat(1_000)).as_bytes());
    }
    let text = read_all(&mut send(address, &chunked).await).await;
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
}

#[actix_rt::test]
async fn a_head_that_is_not_received_in_time_is_refused() {
    let server = Rc::new(Server::default());
    server.set_bounds(Bounds { read_timeout: Duration::from_millis(50), ..Bounds::default() });
    let address = start(server, echo).await;
    let text = read_all(&mut send(address, b"GET / HTTP/1.1\r\nho").await).await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

#[actix_rt::test]
async fn requests_of_the_own_client_are_accepted_with_and_without_a_host() {
    let address = start(Rc::default(), echo).await;
    for host in [None, Some("a")] {
        let mut request = Request::new(Method::PUT, "/a?b=c", "body");
        if let Some(host) = host {
            request.headers.set("host", host);
        }
        let connection = Connection::open(address, MAX_WAIT).await.unwrap();
        let (reply, _) = connection.start(&request).await.unwrap().read_all().await.unwrap();
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(&reply.body[..], b"body");
        assert_eq!(reply.headers.get("x-target"), Some("/a?b=c"));
    }
}

#[actix_rt::test]
async fn invalid_bytes_are_refused() {
    let address = start(Rc::default(), echo).await;
    let text = read_all(&mut send(address, b"\x01\x02\x03\r\n\r\n").await).await;
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
}

/// Guards against requests that are lost at a planned stop. The server is closed while a connection
/// is idle, and its caller then sends a request. A server that closes idle connections immediately
/// loses requests in flight.
#[actix_rt::test]
async fn a_request_just_after_the_close_is_answered_and_its_connection_closed() {
    let server = Rc::new(Server::default());
    let address = start(server.clone(), echo).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    server.close();
    tokio::time::sleep(Duration::from_millis(20)).await;
    stream.write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi").await.unwrap();
    let text = read_all(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("hi"), "{text}");
    assert!(text.to_lowercase().contains("connection: close"), "{text}");
}
