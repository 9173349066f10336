//! The data folder of a control process.

use std::fs;
use std::fs::DirBuilder;
use std::fs::File;
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use chicoryford_types::Incarnation;

use crate::atomic;
use crate::disk::Disk;
use crate::disk::io_error;
use crate::entry::Entry;
use crate::entry::HardState;
use crate::entry::Snapshot;
use crate::error::Damage;
use crate::error::StorageError;
use crate::segment;
use crate::segment::Segment;
use crate::snapshot;
use crate::snapshot::list;

const IDENTITY: &str = "identity";
const IDENTITY_MAGIC: &[u8; 8] = b"cfidenty";
const HARD: &str = "hard";
const HARD_MAGIC: &[u8; 8] = b"cfhardst";
const LOCK: &str = "lock";
pub(crate) const LOG: &str = "log";
/// The mode of a folder that its owner alone can enter.
const OWNER_ONLY: u32 = 0o700;
/// The bits of a mode that let others in.
const OTHERS: u32 = 0o077;

/// How the storage behaves.
#[derive(Clone, Debug)]
pub struct StorageSettings {
    /// Bytes after which a new segment is begun; whole segments are what compaction removes.
    pub segment_bytes: u64,
    /// Entries kept before a snapshot, so that a follower that lags a little need not be sent
    /// the whole snapshot.
    pub retained_entries: u64,
    /// The identity that a new data folder gets: the moment of its creation.
    pub identity: Incarnation,
}

impl Default for StorageSettings {
    fn default() -> Self {
        Self { segment_bytes: 8 << 20, retained_entries: 4_096, identity: Incarnation(0) }
    }
}

/// What a data folder held when it was opened.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Identifies this data folder: a process whose disk was replaced has another one, and must
    /// not vote as if it remembered what the lost one promised.
    pub identity: Incarnation,
    /// Whether the folder was empty and has just been given its identity.
    pub is_new: bool,
    /// The highest epoch seen, and the vote in it.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries of the log in order.
    pub entries: Vec<Entry>,
    /// Bytes of a torn write that were cut off the end of the log.
    pub truncated_bytes: u64,
}

/// The log, snapshots and hard state in one data folder.
///
/// After the first operation that fails, all others fail with [`StorageError::Poisoned`].
pub struct Storage {
    folder: PathBuf,
    settings: StorageSettings,
    disk: Disk,
    segments: Vec<Segment>,
    covered: u64,
    failure: Option<Arc<StorageError>>,
    _lock: File,
}

impl Storage {
    /// Opens a data folder, or creates it.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] if what had been synced is damaged, [`StorageError::Locked`] if
    /// another process has the folder open.
    pub fn open(
        folder: &Path,
        settings: StorageSettings,
        disk: Disk,
    ) -> Result<(Self, Recovered), StorageError> {
        let log = folder.join(LOG);
        create_private(&log).map_err(io_error("create", &log))?;
        let lock = lock(folder)?;
        remove_unfinished(folder)?;
        let (identity, hard, is_new) = identify(&disk, folder, settings.identity)?;
        let snapshot = snapshot::read(folder)?;
        let (segments, entries, truncated_bytes) = load_log(&disk, &log)?;
        let covered = snapshot.as_ref().map_or(0, |s| s.index);
        let failure = None;
        let folder = folder.to_owned();
        let mut storage = Self { folder, settings, disk, segments, covered, failure, _lock: lock };
        let entries = storage.join(snapshot.as_ref(), entries)?;
        tracing::info!(
            event = "storage_opened",
            identity = identity.0,
            new = is_new,
            snapshot = covered,
            entries = entries.len(),
            cut = truncated_bytes
        );
        Ok((storage, Recovered { identity, is_new, hard, snapshot, entries, truncated_bytes }))
    }

    /// Gives the failure after which nothing is written any more.
    pub fn failure(&self) -> Option<Arc<StorageError>> {
        self.failure.clone()
    }

    /// Gives the index of the last entry, synced or not.
    pub fn last_index(&self) -> u64 {
        self.segments.last().map_or(self.covered, Segment::last_index)
    }

    /// Counts the bytes of the log.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.length).sum()
    }

    /// Reads an entry back from the log, written or synced; none if it is not there any more.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if it cannot be read, or is not what was written.
    pub fn read(&self, index: u64) -> Result<Option<Entry>, StorageError> {
        let place = self.segments.partition_point(|segment| segment.first <= index);
        match place.checked_sub(1).map(|place| &self.segments[place]) {
            Some(segment) => segment.read(index),
            None => Ok(None),
        }
    }

    /// Appends entries. If the first is not beyond the last of the log, the log is first cut
    /// before it: a new leader's entries replace those that were never committed.
    ///
    /// The entries last only after [`Storage::sync`].
    ///
    /// # Errors
    ///
    /// [`StorageError::Gap`] if an entry does not follow its predecessor; nothing is written.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        self.check()?;
        let Some(first) = entries.first() else { return Ok(()) };
        let last = self.last_index();
        let jump = entries.windows(2).find(|pair| pair[1].index != pair[0].index + 1);
        if let Some(pair) = jump {
            return Err(StorageError::Gap { last: pair[0].index, found: pair[1].index });
        }
        if first.index > last + 1 || first.index <= self.covered {
            return Err(StorageError::Gap { last, found: first.index });
        }
        self.guard(|s| {
            if first.index <= last {
                s.cut_from(first.index)?;
            }
            s.append_all(entries)
        })
    }

    /// Removes the entries from `from` on, which were never committed.
    ///
    /// # Errors
    ///
    /// [`StorageError`].
    pub fn truncate(&mut self, from: u64) -> Result<(), StorageError> {
        self.check()?;
        if from > self.last_index() {
            return Ok(());
        }
        self.guard(|s| s.cut_from(from))
    }

    /// Waits until all appended entries are on the disk. One call serves all entries appended
    /// since the last one.
    ///
    /// # Errors
    ///
    /// [`StorageError`]; nothing since the last successful call may be acknowledged.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check()?;
        self.guard(|s| match s.segments.last_mut() {
            Some(segment) => segment.sync(&s.disk),
            None => Ok(()),
        })
    }

    /// Replaces the hard state; it is on the disk when this returns.
    ///
    /// # Errors
    ///
    /// [`StorageError`]; the vote must then not be given.
    pub fn save_hard_state(&mut self, hard: &HardState) -> Result<(), StorageError> {
        self.check()?;
        self.guard(|s| atomic::write(&s.disk, &s.folder.join(HARD), HARD_MAGIC, hard))
    }

    /// Keeps a snapshot and removes the segments that it makes needless. If the log does not
    /// agree with it, as when it came from the leader, the log starts anew after it.
    ///
    /// # Errors
    ///
    /// [`StorageError`]; the older snapshot and log are then still there.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.check()?;
        if snapshot.index <= self.covered {
            return Ok(());
        }
        self.guard(|s| {
            snapshot::write(&s.disk, &s.folder, snapshot)?;
            s.covered = snapshot.index;
            if s.agrees(snapshot) { s.compact() } else { s.clear() }
        })
    }

    fn agrees(&self, snapshot: &Snapshot) -> bool {
        let held = self.segments.iter().find_map(|s| s.epoch(snapshot.index));
        held == Some(snapshot.epoch)
    }

    /// Fits the log to the snapshot, as a crash between writing one and the other left them.
    fn join(
        &mut self,
        snapshot: Option<&Snapshot>,
        entries: Vec<Entry>,
    ) -> Result<Vec<Entry>, StorageError> {
        let Some(first) = self.segments.first() else { return Ok(entries) };
        if first.first > self.covered + 1 {
            let (path, offset, what) = (first.path.clone(), 0, Damage::Missing);
            return Err(StorageError::Corrupt { path, offset, what });
        }
        let Some(snapshot) = snapshot else { return Ok(entries) };
        if self.last_index() < self.covered
            || (first.first <= self.covered && !self.agrees(snapshot))
        {
            self.clear()?;
            return Ok(Vec::new());
        }
        Ok(entries)
    }

    fn append_all(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let full = self.segments.last().is_none_or(|s| s.length >= self.settings.segment_bytes);
        if full {
            if let Some(segment) = self.segments.last_mut() {
                // Only the last segment may have a torn end, so this one must be whole first.
                segment.finish(&self.disk)?;
            }
            let log = self.folder.join(LOG);
            self.segments.push(Segment::create(&self.disk, &log, entries[0].index)?);
        }
        let segment = self.segments.last_mut().expect("one was just made if there was none");
        segment.append(&self.disk, entries)
    }

    fn cut_from(&mut self, from: u64) -> Result<(), StorageError> {
        // The last segment goes first, so that a crash in between leaves no hole.
        while let Some(segment) = self.segments.pop_if(|s| s.first >= from) {
            self.remove(&segment.path)?;
        }
        match self.segments.last_mut() {
            Some(segment) => segment.truncate(&self.disk, from),
            None => Ok(()),
        }
    }

    fn compact(&mut self) -> Result<(), StorageError> {
        let needless = self.covered.saturating_sub(self.settings.retained_entries);
        while self.segments.len() > 1 && self.segments[0].last_index() <= needless {
            let segment = self.segments.remove(0);
            self.remove(&segment.path)?;
        }
        Ok(())
    }

    fn clear(&mut self) -> Result<(), StorageError> {
        while let Some(segment) = self.segments.pop() {
            self.remove(&segment.path)?;
        }
        Ok(())
    }

    fn remove(&self, path: &Path) -> Result<(), StorageError> {
        fs::remove_file(path).map_err(io_error("remove", path))?;
        let log = self.folder.join(LOG);
        (self.disk.sync_folder)(&log).map_err(io_error("sync", &log))
    }

    fn check(&self) -> Result<(), StorageError> {
        match &self.failure {
            Some(failure) => Err(StorageError::Poisoned(failure.clone())),
            None => Ok(()),
        }
    }

    fn guard(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        let result = operation(self);
        if let Err(error) = &result
            && !error.is_full()
        {
            tracing::error!(event = "storage_failed", %error);
            self.failure = Some(Arc::new(error.clone()));
        }
        result
    }
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK);
    let file = File::create(&path).map_err(io_error("create", &path))?;
    file.try_lock().map_err(|error| match error {
        fs::TryLockError::WouldBlock => StorageError::Locked(folder.to_owned()),
        fs::TryLockError::Error(error) => io_error("lock", &path)(error),
    })?;
    Ok(file)
}

fn remove_unfinished(folder: &Path) -> Result<(), StorageError> {
    for file in fs::read_dir(folder).map_err(io_error("list", folder))? {
        let path = file.map_err(io_error("list", folder))?.path();
        if path.extension().is_some_and(|e| e == atomic::TEMP_EXTENSION) {
            fs::remove_file(&path).map_err(io_error("remove", &path))?;
        }
    }
    Ok(())
}

/// Reads who this replica is and how it voted, or makes both for an empty folder.
///
/// The hard state is written first: a folder with an identity but no hard state has lost it.
fn identify(
    disk: &Disk,
    folder: &Path,
    new: Incarnation,
) -> Result<(Incarnation, HardState, bool), StorageError> {
    let (identity, hard) = (folder.join(IDENTITY), folder.join(HARD));
    let known: Option<Incarnation> = atomic::read(&identity, IDENTITY_MAGIC)?;
    let held: Option<HardState> = atomic::read(&hard, HARD_MAGIC)?;
    let missing = |path: PathBuf| StorageError::Corrupt { path, offset: 0, what: Damage::Missing };
    if let Some(known) = known {
        let held = held.ok_or_else(|| missing(hard))?;
        return Ok((known, held, false));
    }
    let used = !list(folder, snapshot::EXTENSION)?.is_empty()
        || !list(&folder.join(LOG), segment::EXTENSION)?.is_empty()
        || held.is_some_and(|held| held != HardState::default());
    if used {
        return Err(missing(identity));
    }
    atomic::write(disk, &hard, HARD_MAGIC, &HardState::default())?;
    atomic::write(disk, &identity, IDENTITY_MAGIC, &new)?;
    Ok((new, HardState::default(), true))
}

type Log = (Vec<Segment>, Vec<Entry>, u64);

fn load_log(disk: &Disk, folder: &Path) -> Result<Log, StorageError> {
    let files = list(folder, segment::EXTENSION)?;
    let mut segments: Vec<Segment> = Vec::new();
    let mut entries = Vec::new();
    let mut truncated_bytes = 0;
    for (place, (first, path)) in files.iter().enumerate() {
        let last = place + 1 == files.len();
        if segments.last().is_some_and(|s| s.last_index() + 1 != *first) {
            let (path, what) = (path.clone(), Damage::Order);
            return Err(StorageError::Corrupt { path, offset: 0, what });
        }
        let Some(loaded) = Segment::load(disk, path, *first, last)? else {
            fs::remove_file(path).map_err(io_error("remove", path))?;
            continue;
        };
        segments.push(loaded.segment);
        entries.extend(loaded.entries);
        truncated_bytes += loaded.truncated_bytes;
    }
    Ok((segments, entries, truncated_bytes))
}

/// Makes a folder that its owner alone can enter: what is stored may show keys of callers. One that
/// exists is left as it is, with a line in the log if others can read it.
fn create_private(folder: &Path) -> io::Result<()> {
    DirBuilder::new().recursive(true).mode(OWNER_ONLY).create(folder)?;
    let mode = fs::metadata(folder)?.permissions().mode();
    if mode & OTHERS != 0 {
        tracing::warn!(event = "folder_open", folder = %folder.display(), mode);
    }
    Ok(())
}
