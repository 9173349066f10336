//! An endpoint of a scorer that tests hold up.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The time for which an endpoint works on a call.
const WORK: Duration = Duration::from_millis(20);

/// An endpoint that answers after a while, or never.
pub struct FakeEndpoint {
    pub address: SocketAddr,
    pub running: Cell<u32>,
    pub most_running: Cell<u32>,
    pub hangs: Cell<bool>,
    /// Whether it answers that it is full, instead of running calls.
    pub refuses: Cell<bool>,
    /// The calls in the order of their arrival.
    pub calls: RefCell<Vec<String>>,
}

impl FakeEndpoint {
    pub async fn start(hangs: bool) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fake = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            running: Cell::default(),
            most_running: Cell::default(),
            hangs: Cell::new(hangs),
            refuses: Cell::default(),
            calls: RefCell::default(),
        });
        let served = fake.clone();
        actix_rt::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                actix_rt::spawn(served.clone().serve(stream));
            }
        });
        fake
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut bytes = vec![0; 4_096];
        while let Ok(read @ 1..) = stream.read(&mut bytes).await {
            let text = String::from_utf8_lossy(&bytes[..read]).to_lowercase();
            let id = text.split("x-attempt-id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
            let id = id.expect("an id").to_owned();
            self.calls.borrow_mut().push(id.clone());
            self.running.set(self.running.get() + 1);
            self.most_running.set(self.most_running.get().max(self.running.get()));
            let work = async {
                tokio::time::sleep(WORK).await;
                while self.hangs.get() {
                    tokio::time::sleep(WORK).await;
                }
            };
            // A call is abandoned when its connection is closed.
            let mut rest = [0];
            let abandoned = tokio::select! {
                () = work => false,
                _ = stream.read(&mut rest) => true,
            };
            self.running.set(self.running.get() - 1);
            if abandoned {
                return;
            }
            let answer = if self.refuses.get() {
                "HTTP/1.1 503 x\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            } else {
                format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\n\
                     content-length: 0\r\n\r\n"
                )
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
