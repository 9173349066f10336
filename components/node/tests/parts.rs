//! Entries read parts from nearby stores, and fall back to the leader when a store does not answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryford_depot::Depot;
use chicoryford_depot::Worker;
use chicoryford_fleet::copies::PartId;
use chicoryford_node::parts;
use chicoryford_node::parts::PartReader;
use chicoryford_storage::Disk;
use tempfile::TempDir;
use tokio::net::TcpListener;

/// Longer than an entry waits for a store, plus the delays of a busy machine.
const MAX_WAIT: Duration = Duration::from_millis(600);

/// Starts a store with parts 1 to 3, at an address of its own.
async fn store(folder: &TempDir, listener: TcpListener) -> actix_rt::task::JoinHandle<()> {
    let depot = Depot::open(folder.path(), Disk::default()).unwrap();
    let worker = Rc::new(Worker::start(depot, |error| panic!("{error}")).unwrap());
    for number in 1..=3 {
        assert!(worker.put(PartId(number), text(number)).await);
    }
    actix_rt::spawn(parts::serve(listener, worker))
}

fn text(number: u64) -> Bytes {
    Bytes::from(format!("text {number} ").repeat(1_000))
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[actix_rt::test]
async fn each_read_gets_its_own_part_from_the_store() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, address) = listen().await;
    store(&folder, listener).await;
    let reader: Rc<PartReader> = Rc::default();

    let reads = (1..=4).map(|number| reader.read(address, PartId(number)));
    let read = futures_util::future::join_all(reads).await;

    assert_eq!(read, [Some(text(1)), Some(text(2)), Some(text(3)), None]);
}

/// A device between an entry and a store may lose the state of their connection: it then accepts
/// bytes and returns none, while new connections work. Guards against using such a connection again
/// after a timeout, with which reads hung for minutes.
#[actix_rt::test]
async fn a_silent_store_times_out_and_is_asked_on_a_new_connection() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, address) = listen().await;
    let reader: Rc<PartReader> = Rc::default();
    let began = Instant::now();

    // The connection is accepted, but nothing reads from it.
    assert_eq!(reader.read(address, PartId(1)).await, None);
    assert!(began.elapsed() < MAX_WAIT, "{:?}", began.elapsed());
    let (silent, _) = listener.accept().await.unwrap();
    store(&folder, listener).await;

    assert_eq!(reader.read(address, PartId(1)).await, Some(text(1)));
    drop(silent);
}

#[actix_rt::test]
async fn reading_from_a_stopped_store_fails_at_once() {
    let (listener, address) = listen().await;
    drop(listener);
    let reader: Rc<PartReader> = Rc::default();
    let began = Instant::now();

    assert_eq!(reader.read(address, PartId(1)).await, None);
    assert!(began.elapsed() < MAX_WAIT, "{:?}", began.elapsed());
}
