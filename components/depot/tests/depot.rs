//! Tests of the depot: synced parts survive a restart, and unneeded parts are removed from the
//! disk.

use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryford_depot::Depot;
use chicoryford_depot::DepotError;
use chicoryford_depot::Worker;
use chicoryford_fleet::copies::PartId;
use chicoryford_storage::Disk;
use chicoryford_storage::StorageError;

fn part(number: u64) -> (PartId, Bytes) {
    (PartId(number), Bytes::from(vec![number as u8; 300_000]))
}

fn open(folder: &std::path::Path) -> Depot {
    Depot::open(folder, Disk::default()).unwrap()
}

/// Opens a folder as soon as the previous thread has released its lock.
fn reopen(folder: &std::path::Path) -> Depot {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        match Depot::open(folder, Disk::default()) {
            Err(DepotError::Storage(StorageError::Locked(_))) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(5));
            }
            opened => return opened.unwrap(),
        }
    }
}

#[test]
fn parts_and_identity_survive_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let mut depot = open(folder.path());
    let identity = depot.identity();
    for number in 0..40 {
        let (id, bytes) = part(number);
        depot.put(id, &bytes).unwrap();
    }
    depot.sync().unwrap();
    drop(depot);
    let mut depot = open(folder.path());
    assert_eq!(depot.identity(), identity);
    for number in 0..40 {
        let (id, bytes) = part(number);
        assert_eq!(depot.get(id).unwrap(), Some(bytes));
    }
    assert_eq!(depot.get(PartId(99)).unwrap(), None);
    let (id, _) = part(0);
    depot.put(id, &Bytes::from_static(b"other")).unwrap();
    assert_eq!(depot.get(id).unwrap(), Some(part(0).1), "a part never changes");
}

#[test]
fn a_new_folder_has_another_identity() {
    let (one, two) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    assert_ne!(open(one.path()).identity(), open(two.path()).identity());
}

/// Guards against the loss of a part that was just written: the leader lists the parts to keep, a
/// part is written, and then the list, which is older than the part, arrives.
#[test]
fn unneeded_parts_are_removed_but_not_recent_ones() {
    let folder = tempfile::tempdir().unwrap();
    let mut depot = open(folder.path());
    for number in 0..60 {
        let (id, bytes) = part(number);
        depot.put(id, &bytes).unwrap();
    }
    depot.sync().unwrap();
    let full = depot.bytes();
    let wanted = BTreeSet::from([PartId(58), PartId(59)]);
    assert_eq!(depot.retain(&wanted).unwrap(), 0, "they are recent");
    assert_eq!(depot.retain(&wanted).unwrap(), 58);
    assert!(depot.bytes() < full / 2, "{} of {full}", depot.bytes());
    assert_eq!(depot.get(PartId(59)).unwrap(), Some(part(59).1));
    drop(depot);
    let depot = open(folder.path());
    assert_eq!(depot.get(PartId(58)).unwrap(), Some(part(58).1));
}

#[test]
fn a_worker_writes_and_reads_its_depot() {
    let folder = tempfile::tempdir().unwrap();
    let worker = Worker::start(open(folder.path()), |error| panic!("{error}")).unwrap();
    let (id, bytes) = part(7);
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        assert!(worker.put(id, bytes.clone()).await);
        assert_eq!(worker.get(id).await, Some(bytes));
        assert_eq!(worker.get(PartId(8)).await, None);
    });
}

/// Guards against a store that repeatedly ends itself and cannot be read meanwhile: a full disk
/// must not be treated as a failed one, because the process would end at each write that fails,
/// restart, and be asked to store the next part.
#[test]
fn a_full_store_refuses_parts_and_still_reads_existing_ones() {
    let folder = tempfile::tempdir().unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let refusing = full.clone();
    let disk = Disk {
        write: Arc::new(move |file, bytes| match refusing.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => file.write_all(bytes),
        }),
        ..Disk::default()
    };
    let depot = Depot::open(folder.path(), disk).unwrap();
    let worker = Worker::start(depot, |error| panic!("{error}")).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let (first, bytes) = part(1);
        assert!(worker.put(first, bytes.clone()).await);
        full.store(true, Ordering::SeqCst);
        for number in 2..20 {
            let (id, bytes) = part(number);
            assert!(!worker.put(id, bytes).await, "the disk is full");
            assert_eq!(worker.get(id).await, None);
        }
        worker.retain(BTreeSet::new());
        worker.retain(BTreeSet::new());
        assert_eq!(worker.get(PartId(2)).await, None);
        full.store(false, Ordering::SeqCst);
        for number in 30..50 {
            let (id, bytes) = part(number);
            assert!(worker.put(id, bytes).await, "the disk has space again");
        }
    });
    drop(worker);
    let depot = reopen(folder.path());
    for number in 30..50 {
        let (id, bytes) = part(number);
        assert_eq!(depot.get(id).unwrap(), Some(bytes));
    }
}
