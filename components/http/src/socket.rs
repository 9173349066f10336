//! What every socket is set to.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection counts as dead. A partition
/// drops packets without a reset, so without it a connection through one hangs for minutes. Some
/// round trips at most are a few milliseconds here, and lost packets are sent again after 0.2 s
/// and 0.6 s, so two seconds are beyond what a live peer needs.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without traffic after which a connection is probed, and between two probes. An idle
/// connection whose other side lost power is noticed after about four of them.
const PROBE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is dead.
const PROBES: u32 = 3;
/// Pause after the system refused a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// New connections that wait to be accepted. An opening packet that finds the queue full is sent
/// again only after a second.
const BACKLOG: i32 = 1_024;

/// Sets up a connected socket: no delay for small writes, and dead peers are noticed.
///
/// # Errors
///
/// The error of the system call that failed.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Opens a connection within a time limit.
///
/// # Errors
///
/// Why there is none; no byte of a request has left then.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let opened = tokio::time::timeout(limit, TcpStream::connect(address));
    let stream = opened.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Takes the next connection, set up like all others. What goes wrong with one concerns nobody else;
/// when the system refuses it, for want of descriptors for instance, it may not do so a moment later.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match configure(&stream) {
                Ok(()) => return stream,
                // The other side has left already.
                Err(error) => tracing::debug!(event = "socket_untuned", %error),
            },
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Listens on an address.
///
/// # Errors
///
/// Why it cannot.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets for how long sent bytes may stay unacknowledged before the connection counts as dead.
///
/// # Errors
///
/// The error of the system call.
pub fn set_unacknowledged_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(limit))
}
