//! A segment, which is one file of the log.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read as _;
use std::io::Seek;
use std::io::SeekFrom;
use std::path::Path;
use std::path::PathBuf;

use chicoryford_types::Epoch;

use crate::atomic;
use crate::disk::Disk;
use crate::disk::io_error;
use crate::disk::write_error;
use crate::entry::Entry;
use crate::error::Damage;
use crate::error::StorageError;
use crate::record;
use crate::record::SyncProof;

/// Length in bytes of the header: magic, format, first index, checksum.
pub const HEADER_BYTES: usize = 8 + 4 + 8 + 4;
/// The extension of a segment's file name.
pub const EXTENSION: &str = "log";
const MAGIC: &[u8; 8] = b"cflogseg";

/// An open segment.
pub struct Segment {
    /// The path of its file.
    pub path: PathBuf,
    /// The index of the first entry that it contains or will contain.
    pub first: u64,
    /// The epoch and the offset of each entry.
    pub offsets: Vec<(Epoch, u64)>,
    /// Number of bytes written.
    pub length: u64,
    /// Number of bytes that a sync has covered. The sync mark that follows them is not among them:
    /// a record that vouched for it would make its loss look like damage of synced content.
    pub synced: u64,
    /// Number of bytes when nothing but sync marks had been written since the last sync.
    marked: u64,
    file: File,
}

/// A segment with its content when it was opened.
pub struct Loaded {
    /// The segment.
    pub segment: Segment,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Number of bytes of a torn write that were truncated at its end.
    pub truncated_bytes: u64,
}

/// Returns the path of the segment that starts with entry `first`. Paths sort in the order of their
/// entries.
pub fn path(folder: &Path, first: u64) -> PathBuf {
    folder.join(format!("{first:020}.{EXTENSION}"))
}

impl Segment {
    /// Creates a segment. Its file is synced when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`], or [`StorageError::Full`], after which the file does not
    /// exist.
    pub fn create(disk: &Disk, folder: &Path, first: u64) -> Result<Self, StorageError> {
        let path = path(folder, first);
        // In append mode, every write goes to the current end, also after the file was truncated.
        let open = OpenOptions::new().create(true).append(true).open(&path);
        let mut file = open.map_err(write_error("create", &path))?;
        file.set_len(0).map_err(io_error("create", &path))?;
        let header = header(first);
        if let Err(error) = (disk.write)(&mut file, &header) {
            fs::remove_file(&path).map_err(io_error("remove", &path))?;
            return Err(write_error("write", &path)(error));
        }
        (disk.sync)(&file).map_err(io_error("sync", &path))?;
        (disk.sync_folder)(folder).map_err(io_error("sync", folder))?;
        let length = HEADER_BYTES as u64;
        let offsets = Vec::new();
        Ok(Self { path, first, offsets, length, synced: length, marked: length, file })
    }

    /// Opens a segment. Only the last one of a log may have a torn end, which is truncated.
    ///
    /// Returns none if the segment's creation was interrupted before it contained anything.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Corrupt`] if a synced record is damaged.
    pub fn load(
        disk: &Disk,
        path: &Path,
        first: u64,
        last: bool,
    ) -> Result<Option<Loaded>, StorageError> {
        let Some(read) = read(path, first, last)? else { return Ok(None) };
        let file = OpenOptions::new().append(true).open(path).map_err(io_error("open", path))?;
        if read.truncated_bytes > 0 {
            file.set_len(read.intact_bytes).map_err(io_error("cut", path))?;
        }
        // After a kill of the process alone, the content that was read may be only in the kernel's
        // page cache. It counts as synced only after this sync.
        (disk.sync)(&file).map_err(io_error("sync", path))?;
        let Read { entries, offsets, intact_bytes: length, truncated_bytes } = read;
        let path = path.to_owned();
        let segment = Self { path, first, offsets, length, synced: length, marked: length, file };
        Ok(Some(Loaded { segment, entries, truncated_bytes }))
    }

    /// Returns the index of the last entry, or one less than the first if there is none.
    pub fn last_index(&self) -> u64 {
        self.first + self.offsets.len() as u64 - 1
    }

    /// Returns the epoch of an entry, if it is in this segment.
    pub fn epoch(&self, index: u64) -> Option<Epoch> {
        let position = index.checked_sub(self.first)?;
        self.offsets.get(position as usize).map(|(epoch, _)| *epoch)
    }

    /// Reads an entry from the file.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`], or [`StorageError::Corrupt`] if the content differs from what
    /// was written.
    pub fn read(&self, index: u64) -> Result<Option<Entry>, StorageError> {
        let position = index.checked_sub(self.first).map(|position| position as usize);
        let Some((_, offset)) = position.and_then(|position| self.offsets.get(position)) else {
            return Ok(None);
        };
        let next = position.and_then(|position| self.offsets.get(position + 1));
        let end = next.map_or(self.length, |(_, offset)| *offset);
        let mut bytes = vec![0; (end - offset) as usize];
        let mut file = File::open(&self.path).map_err(io_error("open", &self.path))?;
        file.seek(SeekFrom::Start(*offset)).map_err(io_error("read", &self.path))?;
        file.read_exact(&mut bytes).map_err(io_error("read", &self.path))?;
        let entry = record::decode(&bytes).and_then(|record| record.entry);
        let (path, what) = (self.path.clone(), Damage::Checksum);
        let damaged = StorageError::Corrupt { path, offset: *offset, what };
        entry.filter(|entry| entry.index == index).map(Some).ok_or(damaged)
    }

    /// Appends entries in one write. They are durable only after [`Segment::sync`].
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`], after which part of the entries may have been written, or
    /// [`StorageError::Full`], after which none of them is in the file.
    pub fn append(&mut self, disk: &Disk, entries: &[Entry]) -> Result<(), StorageError> {
        let before = self.offsets.len();
        let mut out = Vec::new();
        for entry in entries {
            self.offsets.push((entry.epoch, self.length + out.len() as u64));
            record::encode(&mut out, self.synced, entry);
        }
        let written = self.write(disk, &out);
        if written.is_err() {
            self.offsets.truncate(before);
        }
        written
    }

    /// Syncs the file, then appends a sync mark, the record of how far the file is synced.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`].
    pub fn sync(&mut self, disk: &Disk) -> Result<(), StorageError> {
        if self.marked == self.length {
            return Ok(());
        }
        (disk.sync)(&self.file).map_err(io_error("sync", &self.path))?;
        self.synced = self.length;
        let mut mark = Vec::new();
        record::encode_sync_mark(&mut mark, self.synced);
        match self.write(disk, &mark) {
            // The entries are synced nevertheless. The sync mark only serves to distinguish damage
            // from a torn write.
            Err(error) if error.is_full() => {}
            written => written?,
        }
        self.marked = self.length;
        Ok(())
    }

    /// Syncs the file, including the last sync mark. Otherwise a power loss could tear that record
    /// in a file that is no longer the last one, and the whole folder would be refused as damaged.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`].
    pub fn finish(&mut self, disk: &Disk) -> Result<(), StorageError> {
        (disk.sync)(&self.file).map_err(io_error("sync", &self.path))?;
        self.synced = self.length;
        self.marked = self.length;
        Ok(())
    }

    /// Removes the entries from `index` on and syncs.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Io`].
    pub fn truncate(&mut self, disk: &Disk, index: u64) -> Result<(), StorageError> {
        let kept_entries = (index - self.first) as usize;
        let Some((_, offset)) = self.offsets.get(kept_entries).copied() else { return Ok(()) };
        self.file.set_len(offset).map_err(io_error("cut", &self.path))?;
        (disk.sync)(&self.file).map_err(io_error("sync", &self.path))?;
        self.offsets.truncate(kept_entries);
        self.length = offset;
        self.synced = offset;
        self.marked = offset;
        Ok(())
    }

    /// Appends bytes. If the disk is full, the part that was written is truncated again. Otherwise
    /// the next record would follow an incomplete one, and the rest of the log would be treated as
    /// a torn end. The truncation is synced: after a power loss, entries that were refused must not
    /// be there in place of those that were written afterwards under the same indices.
    fn write(&mut self, disk: &Disk, bytes: &[u8]) -> Result<(), StorageError> {
        let written = (disk.write)(&mut self.file, bytes);
        let written = written.map_err(write_error("write", &self.path));
        if written.as_ref().is_err_and(StorageError::is_full) {
            self.file.set_len(self.length).map_err(io_error("cut", &self.path))?;
            (disk.sync)(&self.file).map_err(io_error("sync", &self.path))?;
        }
        written?;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// The content of a segment's file.
pub struct Read {
    /// Its entries.
    pub entries: Vec<Entry>,
    /// The epoch and the offset of each entry.
    pub offsets: Vec<(Epoch, u64)>,
    /// Number of bytes up to the end of the last intact record.
    pub intact_bytes: u64,
    /// Number of bytes of a torn write after them.
    pub truncated_bytes: u64,
}

/// Reads a segment without changing it. Returns none if its creation was interrupted.
///
/// # Errors
///
/// Returns [`StorageError::Corrupt`] if a record is damaged that had been synced.
pub fn read(path: &Path, first: u64, last: bool) -> Result<Option<Read>, StorageError> {
    let file_bytes = fs::read(path).map_err(io_error("read", path))?;
    let corrupt = |offset, what| StorageError::Corrupt { path: path.to_owned(), offset, what };
    let is_created = file_bytes.len() > HEADER_BYTES || file_bytes == header(first);
    if last && !is_created {
        return Ok(None);
    }
    if file_bytes.len() < HEADER_BYTES {
        return Err(corrupt(file_bytes.len() as u64, Damage::Short));
    }
    atomic::check_format(path, &file_bytes, MAGIC)?;
    if file_bytes[..HEADER_BYTES] != header(first)[..] {
        return Err(corrupt(0, Damage::Checksum));
    }
    let (entries, offsets, intact_bytes) =
        scan(&file_bytes, first).map_err(|at| corrupt(at, Damage::Order))?;
    let torn = intact_bytes < file_bytes.len();
    let proof = torn.then(|| record::find_proof(&file_bytes, intact_bytes)).flatten();
    if torn && (!last || proof.is_some()) {
        log_damage(path, &file_bytes, first + entries.len() as u64, intact_bytes, proof);
        return Err(corrupt(intact_bytes as u64, Damage::Checksum));
    }
    let truncated_bytes = (file_bytes.len() - intact_bytes) as u64;
    Ok(Some(Read { entries, offsets, intact_bytes: intact_bytes as u64, truncated_bytes }))
}

/// Logs what is known of a damaged record. A write that a power loss dropped reads as zeros; the
/// proof says which record relied on the damaged one, and how many bytes of the file it vouches for.
fn log_damage(path: &Path, bytes: &[u8], next: u64, offset: usize, proof: Option<SyncProof>) {
    let zeros = bytes[offset..].iter().take_while(|byte| **byte == 0).count();
    tracing::error!(
        event = "segment_damaged",
        file = %path.display(),
        offset,
        next,
        zeros,
        length = bytes.len(),
        proof_offset = proof.map(|proof| proof.offset),
        proof_synced = proof.map(|proof| proof.synced),
        proof_index = proof.and_then(|proof| proof.index)
    );
}

fn header(first: u64) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(MAGIC);
    header[8..12].copy_from_slice(&atomic::FORMAT.to_be_bytes());
    header[12..20].copy_from_slice(&first.to_be_bytes());
    let sum = crc32fast::hash(&header[..20]);
    header[20..].copy_from_slice(&sum.to_be_bytes());
    header
}

type Scanned = (Vec<Entry>, Vec<(Epoch, u64)>, usize);

/// Reads records until one is damaged or the file ends. Returns the entries, their epochs and
/// offsets, and the end of the last intact record.
///
/// # Errors
///
/// Returns the offset of an entry that is intact but does not follow its predecessor.
fn scan(file_bytes: &[u8], first: u64) -> Result<Scanned, u64> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut offsets = Vec::new();
    let mut offset = HEADER_BYTES;
    while let Some(record) = record::decode(&file_bytes[offset..]) {
        if let Some(entry) = record.entry {
            if entry.index != first + entries.len() as u64 {
                return Err(offset as u64);
            }
            offsets.push((entry.epoch, offset as u64));
            entries.push(entry);
        }
        offset += record.length;
    }
    Ok((entries, offsets, offset))
}
