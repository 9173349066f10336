//! Entries read parts from stores nearby, and ask the leader when a store does not answer.

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

/// Longer than an entry waits for a store, with what a busy machine adds.
const PATIENCE: Duration = Duration::from_millis(600);

/// A store that holds parts 1 to 3, at an address of its own.
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
async fn parts_come_from_a_store_each_to_its_reader() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, address) = listen().await;
    store(&folder, listener).await;
    let reader: Rc<PartReader> = Rc::default();

    let reads = (1..=4).map(|number| reader.read(address, PartId(number)));
    let read = futures_util::future::join_all(reads).await;

    assert_eq!(read, [Some(text(1)), Some(text(2)), Some(text(3)), None]);
}

/// Symptom: reads of results hang for minutes after something between an entry and a store has lost
/// track of their connection. Sequence: the connection takes bytes and gives none; new ones work.
/// Cause: the connection was used again after an answer had stayed out.
#[actix_rt::test]
async fn a_store_that_stays_silent_is_given_up_in_time_and_asked_on_a_new_connection() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, address) = listen().await;
    let reader: Rc<PartReader> = Rc::default();
    let began = Instant::now();

    // The connection is made, and nobody reads from it.
    assert_eq!(reader.read(address, PartId(1)).await, None);
    assert!(began.elapsed() < PATIENCE, "{:?}", began.elapsed());
    let (silent, _) = listener.accept().await.unwrap();
    store(&folder, listener).await;

    assert_eq!(reader.read(address, PartId(1)).await, Some(text(1)));
    drop(silent);
}

#[actix_rt::test]
async fn a_store_that_is_gone_gives_nothing_at_once() {
    let (listener, address) = listen().await;
    drop(listener);
    let reader: Rc<PartReader> = Rc::default();
    let began = Instant::now();

    assert_eq!(reader.read(address, PartId(1)).await, None);
    assert!(began.elapsed() < PATIENCE, "{:?}", began.elapsed());
}
