//! Allocates addresses for the processes of a test or demonstration.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::Mutex;

use rand::Rng;

/// The ports that are allocated. They are below the range that the operating system uses for
/// outgoing connections, because such a connection could occupy a port before its process starts.
const PORTS: Range<u16> = 10_000..32_000;

/// The ports that this process has allocated.
static ALLOCATED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Allocates an address for TCP and UDP that no other caller gets.
///
/// A port that is free now may be allocated by another test before the process that it is meant for
/// has bound it. That process would then exit at once, and its test would wait until it times out.
/// Therefore each test process uses its own loopback address, which is derived from its process id,
/// and allocates each port of that address once.
pub fn address() -> SocketAddr {
    let ip = own_ip();
    let mut allocated = ALLOCATED.lock().expect("nothing panics while it holds this lock");
    loop {
        let port = rand::rng().random_range(PORTS);
        let is_free = TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        if is_free && allocated.insert(port) {
            return SocketAddr::new(ip, port);
        }
    }
}

/// Derives the address 127.x.y.z of this process from its id. Process ids on Linux have at most 22
/// bits.
fn own_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high | 0x40, middle, low))
}
