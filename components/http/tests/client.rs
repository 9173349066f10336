//! The client with an endpoint that sends scripted bytes: when a reply is complete, and when a
//! connection may be reused.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
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
const COMPLETE_REPLY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// The endpoint's behaviour after it received the first bytes of a request.
enum Script {
    /// Sends bytes, then keeps the connection open.
    Keep(&'static [u8]),
    /// Sends bytes, then closes.
    Close(&'static [u8]),
    /// Sends bytes, then resets.
    Reset(&'static [u8]),
    /// Sends bytes, and further bytes after a short pause.
    Later(&'static [u8], &'static [u8]),
}

async fn endpoint(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 16];
        stream.read_exact(&mut buffer).await.unwrap();
        run_script(&mut stream, script).await;
    });
    address
}

async fn run_script(stream: &mut TcpStream, script: Script) {
    match script {
        Script::Keep(bytes) => stream.write_all(bytes).await.unwrap(),
        Script::Close(bytes) => {
            stream.write_all(bytes).await.unwrap();
            let mut rest = [0; 4096];
            // Unread bytes would turn the close into a reset.
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
async fn a_connection_can_be_reused_after_a_complete_reply() {
    let (body, connection) = exchange(Script::Keep(COMPLETE_REPLY)).await.unwrap();
    assert_eq!(body, "ok");
    assert!(connection.unwrap().is_clean());
}

/// Guards against a request that counts as sent although nothing of it was written, and against one
/// that counts as sent only when it is answered.
#[actix_rt::test]
async fn a_request_is_reported_as_sent_when_its_first_bytes_are_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut invalid = request();
    invalid.target = "/ ".to_owned();
    for (request, is_sent) in [(invalid, false), (request(), true)] {
        let connection = Connection::open(address, LIMIT).await.unwrap();
        let reported = Cell::new(false);
        let mut started = pin!(connection.start_with(&request, || reported.set(true)));
        // Nothing answers, so a request that was written stays pending.
        let is_pending =
            poll_fn(|context| Poll::Ready(started.as_mut().poll(context).is_pending()));
        assert_eq!((is_pending.await, reported.get()), (is_sent, is_sent));
    }
}

/// Guards against a request that counts as sent although its connection was reset before its first
/// bytes could be written.
#[actix_rt::test]
async fn a_request_is_not_reported_as_sent_if_its_first_write_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connection = Connection::open(listener.local_addr().unwrap(), LIMIT).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    accepted.set_zero_linger().unwrap();
    drop(accepted);
    let reported = Cell::new(false);
    let started = connection.start_with(&request(), || reported.set(true)).await;
    assert!(matches!(started, Err(ExchangeError::Lost(_))), "{:?}", started.err());
    assert!(!reported.get());
}

/// Guards against a caller that receives the reply to another request. An endpoint sends bytes
/// after a complete reply, immediately or after a pause. If the connection is reused, the next
/// request reads these unsolicited bytes as its reply.
#[actix_rt::test]
async fn a_connection_with_unsolicited_bytes_is_not_reused() {
    let twice = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let (body, connection) = exchange(Script::Keep(twice)).await.unwrap();
    assert_eq!(body, "ok");
    assert!(connection.is_none(), "the bytes arrived with the reply");
    let (_, connection) =
        exchange(Script::Later(COMPLETE_REPLY, b"HTTP/1.1 200 OK\r\n")).await.unwrap();
    let mut connection = connection.unwrap();
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert!(!connection.is_clean(), "the bytes arrived later");
}

#[actix_rt::test]
async fn a_connection_that_its_endpoint_closed_is_not_reused() {
    let (_, connection) = exchange(Script::Close(COMPLETE_REPLY)).await.unwrap();
    let mut connection = connection.unwrap();
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert!(!connection.is_clean());
    let (_, connection) = exchange(Script::Keep(
        b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    ))
    .await
    .unwrap();
    assert!(connection.is_none(), "the endpoint announced the close");
}

/// Guards against a partial reply that is returned as complete. The endpoint stops in the middle of
/// a body of known length or of a chunked body, or resets a connection whose end marks the end of
/// the body. The end of the connection must not be treated as the end of the reply.
#[actix_rt::test]
async fn an_incomplete_reply_is_an_error() {
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

/// Guards against an endpoint that reads the rest of one body as the next request. It replies
/// before it has read a long body, and keeps the connection open. The connection must not be reused
/// before the whole body is sent.
#[actix_rt::test]
async fn a_connection_with_an_early_reply_is_not_reused() {
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
async fn a_refused_connection_reports_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = Connection::open(address, LIMIT).await.err().unwrap();
    assert!(error.is_unsent());
}

#[actix_rt::test]
async fn a_pool_returns_a_connection_only_for_the_incarnation_it_was_opened_to() {
    let address = endpoint(Script::Keep(COMPLETE_REPLY)).await;
    let connection = Connection::open(address, LIMIT).await.unwrap();
    let (_, connection) = connection.start(&request()).await.unwrap().read_all().await.unwrap();
    let mut pool = Pool::default();
    pool.keep(address, "i-1", connection.unwrap(), None);
    assert!(pool.take(address, "i-2").is_none());
    assert!(pool.take(address, "i-1").is_some());
    assert!(pool.take(address, "i-1").is_none(), "the connection was removed from the pool");
}

/// Guards against an engine that starts a sample seconds after its run was stopped and its step
/// ended. The request is written during a network partition; the run is stopped and its connection
/// closed; the partition ends. After an orderly close, the kernel still delivers all written bytes.
/// A reset discards them.
#[actix_rt::test]
async fn an_abandoned_request_is_not_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // Larger than the socket buffers of both sides, so that a part is still queued on this side.
    let request = Request::new(Method::POST, "/x", vec![b'x'; 32 << 20]);
    let connection = Connection::open(address, LIMIT).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let abandoned = tokio::time::timeout(Duration::from_millis(300), connection.start(&request));
    assert!(abandoned.await.is_err(), "no peer reads the request");
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

/// The counterpart of the test above: after a complete exchange the connection is closed in order,
/// since a reset could discard the last bytes of the request that the endpoint has not read yet.
#[actix_rt::test]
async fn a_connection_is_closed_without_a_reset_after_a_complete_exchange() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connection = Connection::open(address, LIMIT).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let request = Request::new(Method::GET, "/x", "");
    let answering = async {
        let mut buffer = [0; 4_096];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        stream.write_all(COMPLETE_REPLY).await.unwrap();
    };
    let (incoming, ()) = tokio::join!(connection.start(&request), answering);
    let (_, connection) = incoming.unwrap().read_all().await.unwrap();
    drop(connection);
    assert_eq!(stream.read(&mut [0; 16]).await.unwrap(), 0);
}
