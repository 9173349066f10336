//! Addresses for the processes of a test or demonstration.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::Mutex;

use rand::Rng;

/// Below those that the operating system gives to outgoing connections: one of these could take
/// the port before its process starts.
const PORTS: Range<u16> = 10_000..32_000;

static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Gives an address that nobody else is given, for TCP and UDP.
///
/// A port that is merely free just now may be drawn by another test before the process for which
/// it was drawn has bound it; that process then ends at once, and its test waits in vain. So
/// each test process has a loopback address of its own, made from its process id, and gives each
/// port of that address once.
pub fn address() -> SocketAddr {
    let ip = own_ip();
    let mut given = GIVEN.lock().expect("nothing panics while it holds this lock");
    loop {
        let port = rand::rng().random_range(PORTS);
        let is_free = TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        if is_free && given.insert(port) {
            return SocketAddr::new(ip, port);
        }
    }
}

/// Makes the address 127.x.y.z of this process; Linux has process ids of at most 22 bits.
fn own_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high | 0x40, middle, low))
}
