//! Settings of all sockets, and functions that open and accept them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryford_kernel::run_time;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time for which sent bytes may stay unacknowledged before the connection is closed. A network
/// partition drops packets without a reset, so without this timeout a connection hangs for minutes.
/// A few round trips take at most some milliseconds here, and lost packets are retransmitted after
/// 0.2 s and 0.6 s, so a reachable peer acknowledges within two seconds.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a connection is probed, and interval between two probes. An idle
/// connection whose peer lost power is detected after about four of these intervals.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const MAX_FAILED_PROBES: u32 = 3;
/// Pause after the system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a reply that the system buffers before they can be sent. Small enough that progress
/// shows whether the caller reads: one that reads 10 kB/s makes progress within 5 s.
const MAX_UNSENT_BYTES: u32 = 64 << 10;
/// Length of the queue of connections that wait to be accepted. If the queue is full, a client's
/// SYN packet is retransmitted only after a second.
const ACCEPT_BACKLOG: i32 = 4_096;

/// Configures a connected socket: disables the delay of small writes, and enables the detection of
/// unreachable peers.
///
/// # Errors
///
/// Returns the error of the system call that failed.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_FAILED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Opens a connection within a time limit.
///
/// # Errors
///
/// Returns the reason for which no connection was opened. No byte of a request was sent then.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let opened = run_time::timeout(limit, TcpStream::connect(address));
    let stream = opened.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Accepts and configures the next connection. An error of one connection does not affect others.
/// If the system fails to accept, for instance because it has no file descriptors left, the call is
/// retried, since the condition may be temporary.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match configure(&stream) {
                Ok(()) => return stream,
                // The peer has already disconnected.
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
/// Returns the error of the system call that failed.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the time for which sent bytes may stay unacknowledged before the connection is closed.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn set_unacknowledged_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(limit))
}

/// Limits the bytes that the system buffers before they can be sent. Without the limit, it buffers
/// megabytes for a caller that reads slowly, which no counter of this process includes.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn limit_unsent_bytes(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}
