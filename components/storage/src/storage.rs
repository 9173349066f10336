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

const IDENTITY_FILE: &str = "identity";
const IDENTITY_MAGIC: &[u8; 8] = b"cfidenty";
const HARD_STATE_FILE: &str = "hard";
const HARD_STATE_MAGIC: &[u8; 8] = b"cfhardst";
const LOCK_FILE: &str = "lock";
pub(crate) const LOG_FOLDER: &str = "log";
/// The mode of a folder that only its owner can access.
const OWNER_ONLY_MODE: u32 = 0o700;
/// The mode bits that give access to group and others.
const NON_OWNER_MODE: u32 = 0o077;

/// The settings of the storage.
#[derive(Clone, Debug)]
pub struct StorageSettings {
    /// Size in bytes after which a new segment is started. Compaction removes whole segments.
    pub segment_bytes: u64,
    /// Number of entries retained before a snapshot, so that a follower that lags slightly need not
    /// receive the whole snapshot.
    pub retained_entries: u64,
    /// The identity of a new data folder: the time of its creation.
    pub identity: Incarnation,
}

impl Default for StorageSettings {
    fn default() -> Self {
        Self { segment_bytes: 8 << 20, retained_entries: 4_096, identity: Incarnation(0) }
    }
}

/// The content of a data folder when it was opened.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The identity of this data folder. A process whose disk was replaced has a new identity,
    /// because it must not vote without the votes that the lost folder had recorded.
    pub identity: Incarnation,
    /// Whether the folder was empty, so that its identity was just created.
    pub is_new: bool,
    /// The highest epoch seen, and the vote in it.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries of the log in order.
    pub entries: Vec<Entry>,
    /// Number of bytes of a torn write that were truncated at the end of the log.
    pub truncated_bytes: u64,
}

/// The log, snapshots and hard state in one data folder.
///
/// After the first operation that fails, all others fail with [`StorageError::Poisoned`], unless
/// the failure was [`StorageError::Full`].
pub struct Storage {
    folder: PathBuf,
    settings: StorageSettings,
    disk: Disk,
    segments: Vec<Segment>,
    /// The last entry that the newest snapshot covers.
    covered: u64,
    failure: Option<Arc<StorageError>>,
    _lock: File,
}

impl Storage {
    /// Opens a data folder, or creates it.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Corrupt`] if synced content is damaged, and [`StorageError::Locked`]
    /// if another process has the folder open.
    pub fn open(
        folder: &Path,
        settings: StorageSettings,
        disk: Disk,
    ) -> Result<(Self, Recovered), StorageError> {
        let log = folder.join(LOG_FOLDER);
        create_private(&log).map_err(io_error("create", &log))?;
        if !folder.join(IDENTITY_FILE).exists() {
            sync_new_folder(&disk, folder)?;
        }
        let lock = lock(folder)?;
        remove_unfinished(folder)?;
        let (identity, hard, is_new) = load_identity(&disk, folder, settings.identity)?;
        let snapshot = snapshot::read(folder)?;
        let (segments, entries, truncated_bytes) = load_log(&disk, &log)?;
        let covered = snapshot.as_ref().map_or(0, |s| s.index);
        let failure = None;
        let folder = folder.to_owned();
        let mut storage = Self { folder, settings, disk, segments, covered, failure, _lock: lock };
        let entries = storage.reconcile(snapshot.as_ref(), entries)?;
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

    /// Returns the failure after which nothing is written, if there was one.
    pub fn failure(&self) -> Option<Arc<StorageError>> {
        self.failure.clone()
    }

    /// Returns the index of the last entry, synced or not.
    pub fn last_index(&self) -> u64 {
        self.segments.last().map_or(self.covered, Segment::last_index)
    }

    /// Returns the size of the log in bytes.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.length).sum()
    }

    /// Reads an entry from the log, synced or not. Returns none if the log does not contain it.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError`] if it cannot be read, or differs from what was written.
    pub fn read(&self, index: u64) -> Result<Option<Entry>, StorageError> {
        let position = self.segments.partition_point(|segment| segment.first <= index);
        match position.checked_sub(1).map(|position| &self.segments[position]) {
            Some(segment) => segment.read(index),
            None => Ok(None),
        }
    }

    /// Appends entries. If the log already contains the index of the first one, the log is
    /// truncated before it: a new leader's entries replace those that were never committed.
    ///
    /// The entries are durable only after [`Storage::sync`].
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Gap`] if an entry does not follow its predecessor; nothing is
    /// written.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        self.check_usable()?;
        let Some(first) = entries.first() else { return Ok(()) };
        let last = self.last_index();
        let jump = entries.windows(2).find(|pair| pair[1].index != pair[0].index + 1);
        if let Some(pair) = jump {
            return Err(StorageError::Gap { last: pair[0].index, found: pair[1].index });
        }
        if first.index > last + 1 || first.index <= self.covered {
            return Err(StorageError::Gap { last, found: first.index });
        }
        self.run_operation(|s| {
            if first.index <= last {
                s.remove_from(first.index)?;
            }
            s.append_all(entries)
        })
    }

    /// Removes the entries from `from` on, which were never committed.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError`].
    pub fn truncate(&mut self, from: u64) -> Result<(), StorageError> {
        self.check_usable()?;
        if from > self.last_index() {
            return Ok(());
        }
        self.run_operation(|s| s.remove_from(from))
    }

    /// Syncs all entries appended since the last call.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError`]. No entry appended since the last successful call may be
    /// acknowledged.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_usable()?;
        self.run_operation(|s| match s.segments.last_mut() {
            Some(segment) => segment.sync(&s.disk),
            None => Ok(()),
        })
    }

    /// Replaces the hard state. It is synced when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError`]. The vote must not be cast then.
    pub fn save_hard_state(&mut self, hard: &HardState) -> Result<(), StorageError> {
        self.check_usable()?;
        self.run_operation(|s| {
            atomic::write(&s.disk, &s.folder.join(HARD_STATE_FILE), HARD_STATE_MAGIC, hard)
        })
    }

    /// Saves a snapshot and removes the segments that it makes obsolete. If the log does not match
    /// it, for instance because the leader sent it, the log is cleared and restarts after it.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError`]. If the snapshot could not be written, the older snapshot and the
    /// log still exist.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.check_usable()?;
        if snapshot.index <= self.covered {
            return Ok(());
        }
        self.run_operation(|s| {
            snapshot::write(&s.disk, &s.folder, snapshot)?;
            s.covered = snapshot.index;
            if s.log_matches(snapshot) { s.compact_log() } else { s.clear_log() }
        })
    }

    /// Returns whether the log contains the last entry that the snapshot covers, with its epoch.
    fn log_matches(&self, snapshot: &Snapshot) -> bool {
        let epoch = self.segments.iter().find_map(|s| s.epoch(snapshot.index));
        epoch == Some(snapshot.epoch)
    }

    /// Reconciles the log with the snapshot after a crash between the writes of both.
    fn reconcile(
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
            || (first.first <= self.covered && !self.log_matches(snapshot))
        {
            self.clear_log()?;
            return Ok(Vec::new());
        }
        Ok(entries)
    }

    fn append_all(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let full = self.segments.last().is_none_or(|s| s.length >= self.settings.segment_bytes);
        if full {
            if let Some(segment) = self.segments.last_mut() {
                // Only the last segment may have a torn end, so this one is synced completely
                // first.
                segment.finish(&self.disk)?;
            }
            let log = self.folder.join(LOG_FOLDER);
            self.segments.push(Segment::create(&self.disk, &log, entries[0].index)?);
        }
        let segment = self.segments.last_mut().expect("a segment was created if there was none");
        segment.append(&self.disk, entries)
    }

    /// Removes the entries from `from` on.
    fn remove_from(&mut self, from: u64) -> Result<(), StorageError> {
        // The last segment is removed first, so that a crash in between leaves no gap.
        while let Some(segment) = self.segments.pop_if(|s| s.first >= from) {
            self.remove(&segment.path)?;
        }
        match self.segments.last_mut() {
            Some(segment) => segment.truncate(&self.disk, from),
            None => Ok(()),
        }
    }

    /// Removes the segments that contain only entries before the retained ones.
    fn compact_log(&mut self) -> Result<(), StorageError> {
        let obsolete = self.covered.saturating_sub(self.settings.retained_entries);
        while self.segments.len() > 1 && self.segments[0].last_index() <= obsolete {
            let segment = self.segments.remove(0);
            self.remove(&segment.path)?;
        }
        Ok(())
    }

    fn clear_log(&mut self) -> Result<(), StorageError> {
        while let Some(segment) = self.segments.pop() {
            self.remove(&segment.path)?;
        }
        Ok(())
    }

    fn remove(&self, path: &Path) -> Result<(), StorageError> {
        fs::remove_file(path).map_err(io_error("remove", path))?;
        let log = self.folder.join(LOG_FOLDER);
        (self.disk.sync_folder)(&log).map_err(io_error("sync", &log))
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        match &self.failure {
            Some(failure) => Err(StorageError::Poisoned(failure.clone())),
            None => Ok(()),
        }
    }

    /// Runs an operation and records its failure, except for a full disk.
    fn run_operation(
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

/// Makes a new folder durable before anything in it counts as durable: a power loss could otherwise
/// remove the folder from its parent, with all that was synced in it.
fn sync_new_folder(disk: &Disk, folder: &Path) -> Result<(), StorageError> {
    let parent = folder.parent().filter(|parent| !parent.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    for synced in [parent, folder] {
        (disk.sync_folder)(synced).map_err(io_error("sync", synced))?;
    }
    Ok(())
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_FILE);
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

/// Reads the identity and the hard state, or creates both in an empty folder.
///
/// The hard state is written first, so that a folder with an identity but no hard state is known to
/// have lost it.
fn load_identity(
    disk: &Disk,
    folder: &Path,
    new: Incarnation,
) -> Result<(Incarnation, HardState, bool), StorageError> {
    let (identity, hard) = (folder.join(IDENTITY_FILE), folder.join(HARD_STATE_FILE));
    let known: Option<Incarnation> = atomic::read(&identity, IDENTITY_MAGIC)?;
    let hard_state: Option<HardState> = atomic::read(&hard, HARD_STATE_MAGIC)?;
    let missing = |path: PathBuf| StorageError::Corrupt { path, offset: 0, what: Damage::Missing };
    if let Some(known) = known {
        let hard_state = hard_state.ok_or_else(|| missing(hard))?;
        return Ok((known, hard_state, false));
    }
    let used = !list(folder, snapshot::EXTENSION)?.is_empty()
        || !list(&folder.join(LOG_FOLDER), segment::EXTENSION)?.is_empty()
        || hard_state.is_some_and(|hard_state| hard_state != HardState::default());
    if used {
        return Err(missing(identity));
    }
    atomic::write(disk, &hard, HARD_STATE_MAGIC, &HardState::default())?;
    atomic::write(disk, &identity, IDENTITY_MAGIC, &new)?;
    Ok((new, HardState::default(), true))
}

type Log = (Vec<Segment>, Vec<Entry>, u64);

fn load_log(disk: &Disk, folder: &Path) -> Result<Log, StorageError> {
    let files = list(folder, segment::EXTENSION)?;
    let mut segments: Vec<Segment> = Vec::new();
    let mut entries = Vec::new();
    let mut truncated_bytes = 0;
    for (position, (first, path)) in files.iter().enumerate() {
        let last = position + 1 == files.len();
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

/// Creates a folder that only its owner can access, since the stored data may contain keys of
/// callers. The mode of an existing folder is not changed; a warning is logged if others can access
/// it.
fn create_private(folder: &Path) -> io::Result<()> {
    DirBuilder::new().recursive(true).mode(OWNER_ONLY_MODE).create(folder)?;
    let mode = fs::metadata(folder)?.permissions().mode();
    if mode & NON_OWNER_MODE != 0 {
        tracing::warn!(event = "folder_open", folder = %folder.display(), mode);
    }
    Ok(())
}
