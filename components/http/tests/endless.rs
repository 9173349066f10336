//! The client with endpoints that send bytes without end. Each exchange must end with an error, in
//! bounded memory and time.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_http::Connection;
use chicoryford_http::ExchangeError;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_http::reply_memory;
use futures_util::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// The limit that the tests of several replies set.
const MEMORY: usize = 8 << 20;

/// Sends the first bytes, then the second ones again and again until the caller closes. Returns the
/// address and the number of bytes sent.
async fn pour(first: &str, again: Vec<u8>) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (first, sent) = (first.as_bytes().to_vec(), Rc::<Cell<usize>>::default());
    let poured = sent.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            if stream.write_all(&first).await.is_err() {
                continue;
            }
            while stream.write_all(&again).await.is_ok() {
                poured.set(poured.get() + again.len());
            }
        }
    });
    (address, sent)
}

/// Sends a reply that ends.
async fn answer(reply: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(&reply).await.unwrap();
        tokio::time::sleep(LIMIT).await;
    });
    address
}

async fn exchange(address: SocketAddr) -> Result<Reply, ExchangeError> {
    let mut request = Request::new(Method::GET, "/a", "");
    request.headers.set("host", "a");
    let connection = Connection::open(address, LIMIT).await?;
    Ok(connection.start(&request).await?.read_all().await?.0)
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', bytes));
    chunk.extend(b"\r\n");
    chunk
}

/// Expects that an exchange ends because of a limit, after at most this many bytes.
async fn ends_within(first: &str, again: Vec<u8>, max_bytes: usize) {
    let (address, sent) = pour(first, again).await;
    let ended = tokio::time::timeout(LIMIT, exchange(address)).await;
    let error = ended.expect("the exchange has no end").expect_err("there is no whole reply");
    let is_limited = matches!(error, ExchangeError::Excess(_) | ExchangeError::Invalid(_));
    assert!(is_limited, "{error}");
    // The sockets hold some megabytes that were not read.
    let read = sent.get().saturating_sub(8 << 20);
    assert!(read <= max_bytes, "{} bytes were sent before: {error}", sent.get());
    assert_eq!(reply_memory::held_bytes(), 0);
}

/// Guards against a header without end.
#[actix_rt::test]
async fn a_head_without_end_is_given_up() {
    ends_within("HTTP/1.1 200 OK\r\nx-a: ", vec![b'a'; 4_096], 1 << 20).await;
    ends_within("HTTP/1.1 200 OK\r\n", b"x-a: b\r\n".repeat(100), 1 << 20).await;
    ends_within("", vec![b'a'; 4_096], 1 << 20).await;
}

/// Guards against interim replies without end, which were read until the caller's time was up.
#[actix_rt::test]
async fn interim_replies_without_end_are_given_up() {
    ends_within("", b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), 1 << 20).await;
    ends_within("", b"HTTP/1.1 102 Processing\r\n\r\n".repeat(50), 1 << 20).await;
}

/// Guards against an extension of a chunk without end, and against a trailer without end.
#[actix_rt::test]
async fn framing_without_end_is_given_up() {
    ends_within(&format!("{CHUNKED}5;"), b"a=b;".repeat(1_000), 1 << 20).await;
    ends_within(&format!("{CHUNKED}2\r\nok\r\n0\r\n"), b"a: b\r\n".repeat(1_000), 1 << 20).await;
}

/// Guards against bodies without end.
#[actix_rt::test]
async fn a_body_without_end_is_given_up() {
    reply_memory::set_limit(MEMORY);
    ends_within(CHUNKED, chunk(65_536), 2 * MEMORY).await;
    ends_within(UNTIL_CLOSE, vec![b'x'; 65_536], 2 * MEMORY).await;
    let declared = "HTTP/1.1 200 OK\r\ncontent-length: 100000000000\r\n\r\n";
    ends_within(declared, vec![b'x'; 65_536], 2 * MEMORY).await;
}

/// Guards against a process that exceeds its memory because many replies without end are read at
/// once, each within its own limit, and against taking the others for such replies.
#[actix_rt::test]
async fn bodies_without_end_leave_memory_for_other_replies() {
    reply_memory::set_limit(MEMORY);
    let mut endless = Vec::new();
    for number in 0..20 {
        let (first, again) = match number % 2 {
            0 => (CHUNKED, chunk(65_536)),
            _ => (UNTIL_CLOSE, vec![b'x'; 65_536]),
        };
        endless.push(pour(first, again).await.0);
    }
    let body = 300_000;
    let mut whole = CHUNKED.as_bytes().to_vec();
    whole.extend(chunk(body));
    whole.extend(b"0\r\n\r\n");
    let mut sound = Vec::new();
    for _ in 0..5 {
        sound.push(answer(whole.clone()).await);
    }
    let most = Rc::<Cell<usize>>::default();
    let seen = most.clone();
    let watch = actix_rt::spawn(async move {
        loop {
            seen.set(seen.get().max(reply_memory::held_bytes()));
            tokio::task::yield_now().await;
        }
    });
    let (endless, sound) = tokio::time::timeout(
        2 * LIMIT,
        futures_util::future::join(
            join_all(endless.into_iter().map(exchange)),
            join_all(sound.into_iter().map(exchange)),
        ),
    )
    .await
    .expect("an exchange has no end");
    watch.abort();
    assert!(endless.iter().all(|one| matches!(one, Err(ExchangeError::Excess(_)))));
    for one in sound {
        assert_eq!(one.unwrap().body.len(), body);
    }
    assert!(most.get() <= 2 * MEMORY, "{} bytes were held", most.get());
    assert_eq!(reply_memory::held_bytes(), 0);
}

/// Guards against limits that sound replies do not fit into.
#[actix_rt::test]
async fn large_replies_and_small_chunks_are_read() {
    let mut large = CHUNKED.as_bytes().to_vec();
    for _ in 0..40 {
        large.extend(chunk(1 << 20));
    }
    large.extend(b"0\r\n\r\n");
    assert_eq!(exchange(answer(large).await).await.unwrap().body.len(), 40 << 20);
    let mut small = CHUNKED.as_bytes().to_vec();
    for _ in 0..100_000 {
        small.extend(chunk(1));
    }
    small.extend(b"0\r\n\r\n");
    assert_eq!(exchange(answer(small).await).await.unwrap().body.len(), 100_000);
    let interim = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
                    HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(&exchange(answer(interim.to_vec()).await).await.unwrap().body[..], b"ok");
}
