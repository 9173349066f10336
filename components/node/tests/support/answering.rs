//! An endpoint that answers requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The number of requests on each connection that an endpoint has accepted.
pub type Requests = Rc<RefCell<Vec<u32>>>;

/// Binds a listener to a free port.
pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Answers the first `limit` requests at a listener, and reads further ones without an answer.
/// Answers fit requests whose attempt id is "id".
pub fn answer(listener: TcpListener, limit: u32) -> (SocketAddr, Requests) {
    let address = listener.local_addr().unwrap();
    let requests = Requests::default();
    let counts = requests.clone();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let index = counts.borrow().len();
            counts.borrow_mut().push(0);
            let counts = counts.clone();
            actix_rt::spawn(async move {
                let mut bytes = vec![0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                    counts.borrow_mut()[index] += 1;
                    let is_answered = counts.borrow().iter().sum::<u32>() <= limit;
                    let text = "HTTP/1.1 200 OK\r\nx-attempt-id: id\r\nx-response-stamp: s\r\n\
                                content-length: 2\r\n\r\nok";
                    if is_answered && stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, requests)
}
