//! An endpoint that cannot be connected to.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Number of connections that fill the queue of a listener with a backlog of one.
const BACKLOG_CONNECTIONS: usize = 4;

/// An endpoint to which no connection can be established, because its queue of connections is full.
pub struct Unreachable {
    pub listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl Unreachable {
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
}

/// Starts an endpoint whose queue of connections is full.
pub async fn unreachable() -> Unreachable {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    let limit = Duration::from_millis(100);
    while let Ok(stream) = tokio::time::timeout(limit, TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
        assert!(queued.len() < BACKLOG_CONNECTIONS, "the queue of the listener is not full");
    }
    Unreachable { listener, _queued: queued }
}
