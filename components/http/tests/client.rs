//! The client against an endpoint whose bytes are scripted: when an answer is whole, and when a
//! connection may be used again.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryford_http::Connection;
use chicoryford_http::ExchangeError;
use chicoryford_http::Pool;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(2);
const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// What the endpoint does after the first bytes of a request came.
enum Script {
    /// Sends bytes, then keeps the connection.
    Keep(&'static [u8]),
    /// Sends bytes, then closes.
    Close(&'static [u8]),
    /// Sends bytes, then resets.
    Reset(&'static [u8]),
    /// Sends bytes, and others a moment later.
    Later(&'static [u8], &'static [u8]),
}

async fn endpoint(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut some = [0; 16];
        stream.read_exact(&mut some).await.unwrap();
        play(&mut stream, script).await;
    });
    address
}

async fn play(stream: &mut TcpStream, script: Script) {
    match script {
        Script::Keep(bytes) => stream.write_all(bytes).await.unwrap(),
        Script::Close(bytes) => {
            stream.write_all(bytes).await.unwrap();
            let mut rest = [0; 4096];
            // What is unread would turn the close into a reset.
            let _ = tokio::time::timeout(Duration::from_millis(20), stream.read(&mut rest)).await;
            stream.shutdown().await.unwrap();
            return;
        }
        Script::Reset(bytes) => {
            stream.write_all(bytes).await.unwrap();
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.set_zero_linger().unwrap();
            return;
        }
        Script::Later(first, then) => {
            stream.write_all(first).await.unwrap();
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.write_all(then).await.unwrap();
        }
    }
    tokio::time::sleep(LIMIT).await;
}

fn request() -> Request {
    let mut request = Request::new(Method::POST, "/a", "body");
    request.headers.set("host", "a");
    request
}

async fn exchange(script: Script) -> Result<(String, Option<Connection>), ExchangeError> {
    let address = endpoint(script).await;
    let connection = Connection::open(address, LIMIT).await?;
    let (reply, connection) = connection.start(&request()).await?.read_all().await?;
    Ok((String::from_utf8_lossy(&reply.body).into_owned(), connection))
}

#[actix_rt::test]
async fn a_whole_answer_leaves_its_connection_for_another_request() {
    let (body, connection) = exchange(Script::Keep(WHOLE)).await.unwrap();
    assert_eq!(body, "ok");
    assert!(connection.unwrap().is_clean());
}

/// Symptom: a caller gets the answer to another request.
/// Sequence: an endpoint sends bytes after a whole answer, at once or a moment later; the next
/// request on the connection reads them as its answer.
/// Cause: the connection was used again although something had come that nobody asked for.
#[actix_rt::test]
async fn bytes_that_nobody_asked_for_end_a_connection() {
    let twice = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let (body, connection) = exchange(Script::Keep(twice)).await.unwrap();
    assert_eq!(body, "ok");
    assert!(connection.is_none(), "they came with the answer");
    let (_, connection) = exchange(Script::Later(WHOLE, b"HTTP/1.1 200 OK\r\n")).await.unwrap();
    let mut connection = connection.unwrap();
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert!(!connection.is_clean(), "they came later");
}

#[actix_rt::test]
async fn a_connection_that_its_endpoint_closed_is_not_used_again() {
    let (_, connection) = exchange(Script::Close(WHOLE)).await.unwrap();
    let mut connection = connection.unwrap();
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert!(!connection.is_clean());
    let (_, connection) = exchange(Script::Keep(
        b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    ))
    .await
    .unwrap();
    assert!(connection.is_none(), "it said that it would close");
}

/// Symptom: a caller gets half an answer that looks whole.
/// Sequence: the endpoint breaks off within a body of known length, within a chunked one, or
/// resets a body that ends with its connection.
/// Cause: the end of the connection was taken for the end of the answer.
#[actix_rt::test]
async fn an_answer_that_breaks_off_is_not_whole() {
    let short = Script::Close(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok");
    assert!(matches!(exchange(short).await, Err(ExchangeError::Truncated)));
    let chunked =
        Script::Close(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n");
    assert!(matches!(exchange(chunked).await, Err(ExchangeError::Truncated)));
    let reset = Script::Reset(b"HTTP/1.1 200 OK\r\n\r\nok");
    assert!(matches!(exchange(reset).await, Err(ExchangeError::Lost(_))));
    assert!(matches!(exchange(Script::Close(b"")).await, Err(ExchangeError::Truncated)));
    assert!(matches!(
        exchange(Script::Keep(b"no http\r\n\r\n")).await,
        Err(ExchangeError::Invalid(_))
    ));
}

#[actix_rt::test]
async fn a_body_without_a_length_ends_with_its_connection() {
    let (body, connection) = exchange(Script::Close(b"HTTP/1.1 200 OK\r\n\r\nok")).await.unwrap();
    assert_eq!(body, "ok");
    assert!(connection.is_none());
}

/// Symptom: an endpoint takes the rest of one body for the next request.
/// Sequence: it answers before it has read a long body, and keeps the connection.
/// Cause: the connection was used again before all of the body was sent.
#[actix_rt::test]
async fn an_early_answer_ends_its_connection() {
    let early = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\nno";
    let address = endpoint(Script::Keep(early)).await;
    let connection = Connection::open(address, LIMIT).await.unwrap();
    let long = Request::new(Method::POST, "/a", vec![b'x'; 64 << 20]);
    let incoming = tokio::time::timeout(LIMIT, connection.start(&long)).await.unwrap().unwrap();
    assert_eq!(incoming.status.as_u16(), 503);
    let (_, connection) = incoming.read_all().await.unwrap();
    assert!(connection.is_none());
}

#[actix_rt::test]
async fn a_refused_connection_says_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = Connection::open(address, LIMIT).await.err().unwrap();
    assert!(error.is_unsent());
}

#[actix_rt::test]
async fn a_pool_gives_a_connection_only_to_the_incarnation_that_it_led_to() {
    let address = endpoint(Script::Keep(WHOLE)).await;
    let connection = Connection::open(address, LIMIT).await.unwrap();
    let (_, connection) = connection.start(&request()).await.unwrap().read_all().await.unwrap();
    let mut pool = Pool::default();
    pool.keep(address, "i-1", connection.unwrap(), None);
    assert!(pool.take(address, "i-2").is_none());
    assert!(pool.take(address, "i-1").is_some());
    assert!(pool.take(address, "i-1").is_none(), "it was taken");
}

/// Symptom: an engine begins a sample seconds after its run was stopped and its step ended.
/// Sequence: the request is written while the network carries nothing to the engine; the run is stopped,
/// and its connection closed; the network carries again.
/// Cause: a close lets all bytes that were written before still arrive. A reset takes them back.
#[actix_rt::test]
async fn a_request_that_is_given_up_does_not_arrive_any_more() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // More than the sockets of both sides hold, so that a part waits on this side.
    let request = Request::new(Method::POST, "/x", vec![b'x'; 32 << 20]);
    let connection = Connection::open(address, LIMIT).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let given_up = tokio::time::timeout(Duration::from_millis(300), connection.start(&request));
    assert!(given_up.await.is_err(), "nobody reads it");
    let mut bytes = vec![0; 1 << 20];
    let end = loop {
        match stream.read(&mut bytes).await {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            Err(error) => break Err(error.kind()),
        }
    };
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
}

/// The other side of it: a connection whose exchange is whole is closed as usual, since a reset could
/// take the last bytes of the request from an endpoint that still reads them.
#[actix_rt::test]
async fn a_connection_whose_exchange_is_whole_is_closed_without_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connection = Connection::open(address, LIMIT).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let request = Request::new(Method::GET, "/x", "");
    let answering = async {
        let mut some = [0; 4_096];
        assert!(stream.read(&mut some).await.unwrap() > 0);
        stream.write_all(WHOLE).await.unwrap();
    };
    let (incoming, ()) = tokio::join!(connection.start(&request), answering);
    let (_, connection) = incoming.unwrap().read_all().await.unwrap();
    drop(connection);
    assert_eq!(stream.read(&mut [0; 16]).await.unwrap(), 0);
}
