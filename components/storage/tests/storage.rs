//! The storage through its public interface, with a disk that fails on request.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use chicoryford_storage::Disk;
use chicoryford_storage::Entry;
use chicoryford_storage::HardState;
use chicoryford_storage::Recovered;
use chicoryford_storage::Snapshot;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageError;
use chicoryford_storage::StorageSettings;
use chicoryford_storage::Vote;
use chicoryford_storage::salvage;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// The seed of the randomised tests.
const SEED: u64 = 4;

fn settings() -> StorageSettings {
    StorageSettings { segment_bytes: 400, retained_entries: 2, identity: Incarnation(7) }
}

fn open(folder: &Path) -> Result<(Storage, Recovered), StorageError> {
    Storage::open(folder, settings(), Disk::default())
}

fn entry(index: u64, epoch: u64) -> Entry {
    Entry { index, epoch: Epoch(epoch), body: Bytes::from(format!("entry {index} of {epoch}")) }
}

fn entries(from: u64, to: u64, epoch: u64) -> Vec<Entry> {
    (from..=to).map(|index| entry(index, epoch)).collect()
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(folder.join("log")).unwrap();
    let mut files: Vec<_> = files.map(|f| f.unwrap().path()).collect();
    files.sort();
    files
}

#[test]
fn can_recover_entries_votes_and_identity() {
    let folder = tempfile::tempdir().unwrap();
    let vote = Vote { node: Node::from("b"), identity: Incarnation(9) };
    let hard = HardState { epoch: Epoch(3), vote: Some(vote) };
    {
        let (mut storage, recovered) = open(folder.path()).unwrap();
        assert!(recovered.is_new);
        storage.save_hard_state(&hard).unwrap();
        storage.append(&entries(1, 3, 1)).unwrap();
        storage.append(&entries(4, 30, 3)).unwrap();
        storage.sync().unwrap();
    }
    let (storage, recovered) = open(folder.path()).unwrap();
    assert!(!recovered.is_new);
    assert_eq!(recovered.identity, Incarnation(7));
    assert_eq!(recovered.hard, hard);
    assert_eq!(recovered.entries, [entries(1, 3, 1), entries(4, 30, 3)].concat());
    assert_eq!(storage.last_index(), 30);
}

#[test]
fn can_replace_a_suffix_that_was_never_committed() {
    let folder = tempfile::tempdir().unwrap();
    {
        let (mut storage, _) = open(folder.path()).unwrap();
        for index in 1..=40 {
            storage.append(&[entry(index, 1)]).unwrap();
            storage.sync().unwrap();
        }
        storage.append(&entries(6, 8, 2)).unwrap();
        storage.sync().unwrap();
        storage.append(&entries(9, 9, 2)).unwrap();
        storage.sync().unwrap();
    }
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.entries, [entries(1, 5, 1), entries(6, 9, 2)].concat());
}

#[test]
fn errors_on_a_gap_without_writing() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    storage.append(&entries(1, 2, 1)).unwrap();
    let gap = storage.append(&entries(4, 4, 1));
    assert!(matches!(gap, Err(StorageError::Gap { last: 2, found: 4 })));
    storage.append(&entries(3, 3, 1)).unwrap();
}

#[test]
fn bounds_the_log_by_snapshots() {
    let folder = tempfile::tempdir().unwrap();
    {
        let (mut storage, _) = open(folder.path()).unwrap();
        for index in 1..=200 {
            storage.append(&[entry(index, 1)]).unwrap();
            storage.sync().unwrap();
            if index % 20 == 0 {
                let body = Bytes::from(vec![9; 1_000]);
                storage.save_snapshot(&Snapshot { index, epoch: Epoch(1), body }).unwrap();
            }
        }
        assert!(storage.bytes() < 1_500, "{}", storage.bytes());
    }
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.snapshot.unwrap().index, 200);
    assert_eq!(recovered.entries.last(), Some(&entry(200, 1)));
}

#[test]
fn clears_the_log_after_a_leaders_snapshot_that_contradicts_it() {
    // Guards against a follower that keeps old entries which contradict the leader's snapshot. The
    // log has entries of epoch 1; a snapshot whose last entry is of epoch 2 is saved; the process
    // crashes after the snapshot is written and before the log is cleared.
    let folder = tempfile::tempdir().unwrap();
    let snapshot = Snapshot { index: 5, epoch: Epoch(2), body: Bytes::from_static(b"s") };
    let failing = Arc::new(AtomicBool::new(false));
    let flag = failing.clone();
    let disk = Disk {
        sync_folder: Arc::new(move |folder| match flag.load(Ordering::SeqCst) {
            true if folder.ends_with("log") => Err(io::ErrorKind::Interrupted.into()),
            _ => Ok(()),
        }),
        ..Disk::default()
    };
    {
        let (mut storage, _) = Storage::open(folder.path(), settings(), disk).unwrap();
        storage.append(&entries(1, 40, 1)).unwrap();
        storage.append(&entries(41, 60, 1)).unwrap();
        storage.sync().unwrap();
        failing.store(true, Ordering::SeqCst);
        assert!(storage.save_snapshot(&snapshot).is_err());
    }
    let (mut storage, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.entries, []);
    storage.append(&entries(6, 7, 2)).unwrap();
    storage.sync().unwrap();
    drop(storage);
    assert_eq!(open(folder.path()).unwrap().1.entries, entries(6, 7, 2));
}

/// Guards against a process that cannot start after its VM lost power, because a segment before the
/// last one is damaged. A sync appends a sync mark after the synced data; the next append starts a
/// new segment; power is lost before the mark is synced. If the mark counted as synced, the full
/// segment was not synced again before the next one was started, although only the last segment may
/// have a torn end.
#[test]
fn a_full_file_is_on_the_disk_whole_before_the_next_one_begins() {
    let folder = tempfile::tempdir().unwrap();
    let synced = Arc::new(Mutex::new(BTreeMap::new()));
    let recorder = synced.clone();
    let disk = Disk {
        sync: Arc::new(move |file| {
            let metadata = file.metadata()?;
            recorder.lock().unwrap().insert(metadata.ino(), metadata.len());
            file.sync_data()
        }),
        ..Disk::default()
    };
    let (mut storage, _) = Storage::open(folder.path(), settings(), disk).unwrap();
    for index in 1..=30 {
        storage.append(&[entry(index, 1)]).unwrap();
        storage.sync().unwrap();
    }
    let files = segments(folder.path());
    assert!(files.len() > 2);
    for file in &files[..files.len() - 1] {
        let metadata = fs::metadata(file).unwrap();
        let synced = synced.lock().unwrap()[&metadata.ino()];
        assert_eq!(synced, metadata.len(), "{}", file.display());
    }
    drop(storage);
    // Simulates a power loss: each file is truncated to the length of its last sync.
    for file in files {
        let metadata = fs::metadata(&file).unwrap();
        let synced_length = synced.lock().unwrap()[&metadata.ino()];
        fs::OpenOptions::new().write(true).open(&file).unwrap().set_len(synced_length).unwrap();
    }
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.entries, entries(1, 30, 1));
}

/// Guards against a log that grows while nothing is appended: a sync mark is not covered by its sync,
/// and must not count as something to be synced.
#[test]
fn a_sync_without_new_entries_writes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let syncs = Arc::new(AtomicUsize::new(0));
    let counter = syncs.clone();
    let disk = Disk {
        sync: Arc::new(move |file| {
            counter.fetch_add(1, Ordering::SeqCst);
            file.sync_data()
        }),
        ..Disk::default()
    };
    let (mut storage, _) = Storage::open(folder.path(), settings(), disk).unwrap();
    storage.append(&entries(1, 3, 1)).unwrap();
    storage.sync().unwrap();
    let before = (storage.bytes(), syncs.load(Ordering::SeqCst));
    storage.sync().unwrap();
    assert_eq!((storage.bytes(), syncs.load(Ordering::SeqCst)), before);
}

#[test]
fn entries_can_be_read_one_by_one() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    for index in 1..=30 {
        storage.append(&[entry(index, 1)]).unwrap();
        storage.sync().unwrap();
    }
    storage.append(&entries(31, 33, 1)).unwrap();
    for index in 1..=33 {
        assert_eq!(storage.read(index).unwrap(), Some(entry(index, 1)));
    }
    assert_eq!(storage.read(0).unwrap(), None);
    assert_eq!(storage.read(34).unwrap(), None);
    let (mut reopened, _) = {
        drop(storage);
        open(folder.path()).unwrap()
    };
    assert_eq!(reopened.read(17).unwrap(), Some(entry(17, 1)));
    let snapshot = Snapshot { index: 30, epoch: Epoch(1), body: Bytes::new() };
    reopened.save_snapshot(&snapshot).unwrap();
    assert_eq!(reopened.read(1).unwrap(), None, "its file was removed");
    assert_eq!(reopened.read(33).unwrap(), Some(entry(33, 1)));
}

#[test]
fn errors_on_a_second_process_with_the_same_folder() {
    let folder = tempfile::tempdir().unwrap();
    let _first = open(folder.path()).unwrap();
    assert!(matches!(open(folder.path()), Err(StorageError::Locked(_))));
}

#[test]
fn errors_on_a_lost_identity_or_vote() {
    // Guards against a replica that votes twice in one epoch. It votes, a file of its folder is
    // removed or lost, and it restarts. An incomplete folder must not be treated as a new one.
    for lost in ["identity", "hard"] {
        let folder = tempfile::tempdir().unwrap();
        {
            let (mut storage, _) = open(folder.path()).unwrap();
            storage.save_hard_state(&HardState { epoch: Epoch(2), vote: None }).unwrap();
        }
        fs::remove_file(folder.path().join(lost)).unwrap();
        let result = open(folder.path());
        assert!(matches!(result, Err(StorageError::Corrupt { .. })), "{lost}");
    }
}

#[test]
fn errors_on_a_format_of_another_release() {
    let folder = tempfile::tempdir().unwrap();
    drop(open(folder.path()).unwrap());
    let path = folder.path().join("hard");
    let mut whole = fs::read(&path).unwrap();
    whole[11] = 9;
    fs::write(&path, whole).unwrap();
    assert!(matches!(open(folder.path()), Err(StorageError::Format { found: 9, .. })));
}

#[test]
fn refuses_all_operations_after_a_failed_sync() {
    // Guards against the loss of an acknowledged entry. A sync fails, the next one succeeds, and
    // the entry is acknowledged. The kernel drops dirty pages after it failed to write them, so the
    // second sync has nothing left to write and succeeds.
    let folder = tempfile::tempdir().unwrap();
    let failing = Arc::new(AtomicBool::new(false));
    let flag = failing.clone();
    let disk = Disk {
        sync: Arc::new(move |file| match flag.load(Ordering::SeqCst) {
            true => Err(io::Error::other("injected")),
            false => file.sync_data(),
        }),
        ..Disk::default()
    };
    let (mut storage, _) = Storage::open(folder.path(), settings(), disk).unwrap();
    storage.append(&entries(1, 3, 1)).unwrap();
    storage.sync().unwrap();
    storage.append(&entries(4, 4, 1)).unwrap();
    failing.store(true, Ordering::SeqCst);
    assert!(matches!(storage.sync(), Err(StorageError::Io { action: "sync", .. })));
    failing.store(false, Ordering::SeqCst);
    assert!(matches!(storage.sync(), Err(StorageError::Poisoned(_))));
    assert!(matches!(storage.append(&entries(5, 5, 1)), Err(StorageError::Poisoned(_))));
    let vote = HardState { epoch: Epoch(9), vote: None };
    assert!(matches!(storage.save_hard_state(&vote), Err(StorageError::Poisoned(_))));
    assert!(storage.failure().is_some());
    drop(storage);
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.entries[..3], entries(1, 3, 1));
    assert_eq!(recovered.hard, HardState::default());
}

/// Returns a disk with space for the given number of bytes. A write that does not fit is written in
/// part.
fn disk_with_space(space: &Arc<AtomicUsize>) -> Disk {
    let space = space.clone();
    Disk {
        write: Arc::new(move |file, bytes| {
            let space_left = space.load(Ordering::SeqCst);
            let some = bytes.len().min(space_left);
            file.write_all(&bytes[..some])?;
            space.fetch_sub(some, Ordering::SeqCst);
            match some < bytes.len() {
                true => Err(io::ErrorKind::StorageFull.into()),
                false => Ok(()),
            }
        }),
        ..Disk::default()
    }
}

/// More space in bytes than any test uses.
const AMPLE_SPACE: usize = 1 << 30;

#[test]
fn loses_no_synced_entry_on_a_full_disk_and_continues_when_there_is_space() {
    // Guards against lost entries on a full disk and against a process that stops repeatedly. A
    // write fails in the middle with "no space left"; the process is restarted or continues. Only
    // the incomplete record must be truncated, and a full disk must not count as a failure.
    for space in [0, 1, 20, 60, 100, 700] {
        for restarts in [true, false] {
            let folder = tempfile::tempdir().unwrap();
            let space_left = Arc::new(AtomicUsize::new(AMPLE_SPACE));
            let (mut storage, _) =
                Storage::open(folder.path(), settings(), disk_with_space(&space_left)).unwrap();
            storage.append(&entries(1, 5, 1)).unwrap();
            storage.sync().unwrap();
            space_left.store(space, Ordering::SeqCst);
            let refused = (6..100).find_map(|index| {
                let written = storage.append(&[entry(index, 1)]).and_then(|()| storage.sync());
                written.err().map(|error| (index, error))
            });
            let (next, error) = refused.expect("the space is used up");
            assert!(error.is_full(), "{error}");
            assert!(storage.failure().is_none());
            assert_eq!(storage.last_index(), next - 1);
            space_left.store(AMPLE_SPACE, Ordering::SeqCst);
            if restarts {
                drop(storage);
                storage = open(folder.path()).unwrap().0;
                assert_eq!(storage.last_index(), next - 1);
            }
            storage.append(&entries(next, next + 20, 1)).unwrap();
            storage.sync().unwrap();
            drop(storage);
            let (_, recovered) = open(folder.path()).unwrap();
            assert_eq!(recovered.entries, entries(1, next + 20, 1), "space {space}");
        }
    }
}

#[test]
fn a_vote_and_a_snapshot_on_a_full_disk_leave_the_old_ones() {
    let folder = tempfile::tempdir().unwrap();
    let space_left = Arc::new(AtomicUsize::new(AMPLE_SPACE));
    let (mut storage, _) =
        Storage::open(folder.path(), settings(), disk_with_space(&space_left)).unwrap();
    storage.append(&entries(1, 5, 1)).unwrap();
    storage.sync().unwrap();
    space_left.store(10, Ordering::SeqCst);
    let vote = HardState { epoch: Epoch(5), vote: None };
    assert!(storage.save_hard_state(&vote).unwrap_err().is_full());
    let snapshot = Snapshot { index: 4, epoch: Epoch(1), body: b"state".to_vec().into() };
    assert!(storage.save_snapshot(&snapshot).unwrap_err().is_full());
    space_left.store(AMPLE_SPACE, Ordering::SeqCst);
    storage.save_snapshot(&snapshot).unwrap();
    drop(storage);
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.hard, HardState::default());
    assert_eq!(recovered.snapshot, Some(snapshot));
}

#[test]
fn keeps_the_old_vote_when_the_new_one_cannot_be_written() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk {
        rename: Arc::new(|from, to| match fs::read(to).is_ok() {
            true => Err(io::Error::other("injected")),
            false => fs::rename(from, to),
        }),
        ..Disk::default()
    };
    let (mut storage, _) = Storage::open(folder.path(), settings(), disk).unwrap();
    assert!(storage.save_hard_state(&HardState { epoch: Epoch(5), vote: None }).is_err());
    drop(storage);
    assert_eq!(open(folder.path()).unwrap().1.hard, HardState::default());
}

#[test]
fn truncates_a_torn_tail_and_continues() {
    let folder = tempfile::tempdir().unwrap();
    {
        let (mut storage, _) = open(folder.path()).unwrap();
        storage.append(&entries(1, 3, 1)).unwrap();
        storage.sync().unwrap();
        storage.append(&entries(4, 5, 1)).unwrap();
    }
    let path = segments(folder.path()).pop().unwrap();
    let whole = fs::read(&path).unwrap();
    fs::write(&path, &whole[..whole.len() - 3]).unwrap();
    {
        let (mut storage, recovered) = open(folder.path()).unwrap();
        assert_eq!(recovered.entries, entries(1, 4, 1));
        assert!(recovered.truncated_bytes > 0);
        storage.append(&entries(5, 6, 2)).unwrap();
        storage.sync().unwrap();
    }
    let recovered = open(folder.path()).unwrap().1;
    assert_eq!(recovered.entries, [entries(1, 4, 1), entries(5, 6, 2)].concat());
}

/// Opens a folder with a disk whose syncs do nothing. The randomised tests damage the files
/// themselves, and thousands of real syncs would only take time.
fn open_fast(folder: &Path) -> Result<(Storage, Recovered), StorageError> {
    let disk =
        Disk { sync: Arc::new(|_| Ok(())), sync_folder: Arc::new(|_| Ok(())), ..Disk::default() };
    Storage::open(folder, settings(), disk)
}

/// Writes `synced` entries that are synced in batches, then `unsynced` ones that are not.
fn fill(folder: &Path, synced: u64, unsynced: u64, batch: u64) {
    let (mut storage, _) = open_fast(folder).unwrap();
    let mut index = 1;
    while index <= synced {
        let to = synced.min(index + batch - 1);
        storage.append(&entries(index, to, 1)).unwrap();
        storage.sync().unwrap();
        index = to + 1;
    }
    storage.append(&entries(synced + 1, synced + unsynced, 1)).unwrap();
}

#[test]
fn refuses_or_truncates_every_flipped_bit() {
    // Guards against a lost or changed entry. One bit of the folder changes while the process is
    // stopped. A damaged synced record must not be treated as a torn tail or remain undetected.
    fn run(synced: u8, unsynced: u8, batch: u8, file: usize, byte: usize, bit: u8) -> bool {
        let (synced, unsynced) = (u64::from(synced % 40), u64::from(unsynced % 4));
        let folder = tempfile::tempdir().unwrap();
        fill(folder.path(), synced, unsynced, u64::from(batch % 7) + 1);
        let mut files = segments(folder.path());
        files.push(folder.path().join("hard"));
        files.push(folder.path().join("identity"));
        let path = &files[file % files.len()];
        let mut whole = fs::read(path).unwrap();
        let byte = byte % whole.len();
        whole[byte] ^= 1 << (bit % 8);
        fs::write(path, whole).unwrap();
        match open_fast(folder.path()) {
            Err(StorageError::Corrupt { path: named, .. }) => named == *path,
            Err(StorageError::Format { .. }) => (8..12).contains(&byte),
            Err(_) => false,
            Ok((_, recovered)) => {
                let found = recovered.entries.len() as u64;
                found >= synced && recovered.entries == entries(1, found, 1)
            }
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(2_000)
        .quickcheck(run as fn(u8, u8, u8, usize, usize, u8) -> bool);
}

#[test]
fn recovers_a_prefix_or_refuses_after_any_truncation() {
    fn run(synced: u8, unsynced: u8, batch: u8, file: usize, length: usize) -> bool {
        let (synced, unsynced) = (u64::from(synced % 40), u64::from(unsynced % 4));
        let folder = tempfile::tempdir().unwrap();
        fill(folder.path(), synced, unsynced, u64::from(batch % 7) + 1);
        let files = segments(folder.path());
        if files.is_empty() {
            return true;
        }
        let place = file % files.len();
        let whole = fs::read(&files[place]).unwrap();
        let length = length % (whole.len() + 1);
        fs::write(&files[place], &whole[..length]).unwrap();
        let shorter = length < whole.len();
        let last = place + 1 == files.len();
        match open_fast(folder.path()) {
            Err(StorageError::Corrupt { .. }) => shorter && !last,
            Err(_) => false,
            Ok((_, recovered)) => {
                let found = recovered.entries.len() as u64;
                recovered.entries == entries(1, found, 1)
            }
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(1_000)
        .quickcheck(run as fn(u8, u8, u8, usize, usize) -> bool);
}

#[test]
fn salvages_the_content_of_a_folder_without_changing_it() {
    let folder = tempfile::tempdir().unwrap();
    {
        let (mut storage, _) = open(folder.path()).unwrap();
        for index in 1..=30 {
            storage.append(&[entry(index, 1)]).unwrap();
            storage.sync().unwrap();
            if index == 20 {
                let body = Bytes::from_static(b"state");
                storage.save_snapshot(&Snapshot { index, epoch: Epoch(1), body }).unwrap();
            }
        }
    }
    let path = segments(folder.path()).pop().unwrap();
    let whole = fs::read(&path).unwrap();
    let torn = [&whole[..], &[1, 2, 3]].concat();
    fs::write(&path, &torn).unwrap();
    fs::remove_file(folder.path().join("identity")).unwrap();
    let salvaged = salvage(folder.path()).unwrap();
    assert_eq!(salvaged.snapshot.unwrap().index, 20);
    assert_eq!(salvaged.entries.last(), Some(&entry(30, 1)));
    assert_eq!(fs::read(&path).unwrap(), torn);
}

/// Guards against a whole folder that is missing after a loss of power though everything in it was
/// synced, because its parent was not.
#[test]
fn a_new_folder_is_durable_before_its_identity_is() {
    let parent = tempfile::tempdir().unwrap();
    let synced = Arc::new(Mutex::new(Vec::new()));
    let recorder = synced.clone();
    let disk = Disk {
        sync_folder: Arc::new(move |folder| {
            recorder.lock().unwrap().push(folder.to_owned());
            Ok(())
        }),
        ..Disk::default()
    };
    let folder = parent.path().join("data");
    Storage::open(&folder, settings(), disk).unwrap();
    let synced = synced.lock().unwrap();
    assert_eq!(synced[..2], [parent.path().to_owned(), folder]);
}

/// The stored data may contain keys of callers, so no other user of the VM may read it.
#[test]
fn a_new_folder_is_accessible_only_by_its_owner() {
    let folder = tempfile::tempdir().unwrap();
    let data = folder.path().join("data");
    Storage::open(&data, StorageSettings::default(), Disk::default()).unwrap();
    for made in [data.clone(), data.join("log")] {
        assert_eq!(fs::metadata(&made).unwrap().mode() & 0o077, 0, "{}", made.display());
    }
}
