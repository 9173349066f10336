//! One file of the log.

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

/// Bytes before the first record: magic, format, first index, checksum.
pub const HEADER: usize = 8 + 4 + 8 + 4;
/// The ending of a segment's name.
pub const EXTENSION: &str = "log";
const MAGIC: &[u8; 8] = b"cflogseg";

/// An open segment.
pub struct Segment {
    /// Its file's name.
    pub path: PathBuf,
    /// The index of the first entry that it holds or will hold.
    pub first: u64,
    /// The epoch and the offset of each entry.
    pub offsets: Vec<(Epoch, u64)>,
    /// Bytes written.
    pub length: u64,
    /// Bytes known to be synced.
    pub synced: u64,
    file: File,
}

/// What a segment held when it was opened.
pub struct Loaded {
    /// The segment.
    pub segment: Segment,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Bytes of a torn write that were cut off its end.
    pub truncated_bytes: u64,
}

/// Gives the name of the segment that starts with entry `first`; names sort as their entries.
pub fn path(folder: &Path, first: u64) -> PathBuf {
    folder.join(format!("{first:020}.{EXTENSION}"))
}

impl Segment {
    /// Makes a segment; it is on the disk when this returns.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`], or [`StorageError::Full`]; there is no such file then.
    pub fn create(disk: &Disk, folder: &Path, first: u64) -> Result<Self, StorageError> {
        let path = path(folder, first);
        // Every write must go to the end as it is then, also after the file was cut shorter.
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
        let length = HEADER as u64;
        Ok(Self { path, first, offsets: Vec::new(), length, synced: length, file })
    }

    /// Opens a segment. Only the last one of a log may have a torn end; it is cut off.
    ///
    /// Returns none if the segment's creation was torn, before it held anything.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] if a record is damaged that had been synced.
    pub fn load(
        disk: &Disk,
        path: &Path,
        first: u64,
        last: bool,
    ) -> Result<Option<Loaded>, StorageError> {
        let Some(read) = read(path, first, last)? else { return Ok(None) };
        let file = OpenOptions::new().append(true).open(path).map_err(io_error("open", path))?;
        if read.truncated_bytes > 0 {
            file.set_len(read.good).map_err(io_error("cut", path))?;
        }
        // What was read may still be only in the page cache of a kernel that lives on after the
        // process was killed; it counts as synced only from here.
        (disk.sync)(&file).map_err(io_error("sync", path))?;
        let Read { entries, offsets, good, truncated_bytes } = read;
        let path = path.to_owned();
        let segment = Self { path, first, offsets, length: good, synced: good, file };
        Ok(Some(Loaded { segment, entries, truncated_bytes }))
    }

    /// Gives the index of the last entry, or one less than the first if there is none.
    pub fn last_index(&self) -> u64 {
        self.first + self.offsets.len() as u64 - 1
    }

    /// Gives the epoch of an entry that it holds.
    pub fn epoch(&self, index: u64) -> Option<Epoch> {
        let place = index.checked_sub(self.first)?;
        self.offsets.get(place as usize).map(|(epoch, _)| *epoch)
    }

    /// Reads an entry back from the file.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`], or [`StorageError::Corrupt`] if what is there is not what was
    /// written.
    pub fn read(&self, index: u64) -> Result<Option<Entry>, StorageError> {
        let place = index.checked_sub(self.first).map(|place| place as usize);
        let Some((_, offset)) = place.and_then(|place| self.offsets.get(place)) else {
            return Ok(None);
        };
        let next = place.and_then(|place| self.offsets.get(place + 1));
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

    /// Writes entries at the end, in one write; they last only after [`Segment::sync`].
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`]; part of them may then have been written. [`StorageError::Full`]; none
    /// of them is then there.
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

    /// Waits until all is on the disk, then notes so in the file.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub fn sync(&mut self, disk: &Disk) -> Result<(), StorageError> {
        if self.synced == self.length {
            return Ok(());
        }
        (disk.sync)(&self.file).map_err(io_error("sync", &self.path))?;
        let mut seal = Vec::new();
        record::encode_sync_mark(&mut seal, self.length);
        match self.write(disk, &seal) {
            // What was synced stays so; the note only tells damage from a torn write.
            Err(error) if error.is_full() => {}
            noted => noted?,
        }
        self.synced = self.length;
        Ok(())
    }

    /// Waits until all is on the disk, the last note of what is synced included. Without that, a
    /// power loss could tear that note in a file that is not the last one any more, and the whole
    /// folder would be refused as damaged.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub fn finish(&mut self, disk: &Disk) -> Result<(), StorageError> {
        (disk.sync)(&self.file).map_err(io_error("sync", &self.path))?;
        self.synced = self.length;
        Ok(())
    }

    /// Drops the entries from `index` on and syncs.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub fn truncate(&mut self, disk: &Disk, index: u64) -> Result<(), StorageError> {
        let keep = (index - self.first) as usize;
        let Some((_, offset)) = self.offsets.get(keep).copied() else { return Ok(()) };
        self.file.set_len(offset).map_err(io_error("cut", &self.path))?;
        (disk.sync)(&self.file).map_err(io_error("sync", &self.path))?;
        self.offsets.truncate(keep);
        self.length = offset;
        self.synced = offset;
        Ok(())
    }

    /// Writes bytes at the end. What a full disk took of them is cut off again: the next record
    /// would follow half of one, and the rest of the log be taken for a torn end.
    fn write(&mut self, disk: &Disk, bytes: &[u8]) -> Result<(), StorageError> {
        let written = (disk.write)(&mut self.file, bytes);
        let written = written.map_err(write_error("write", &self.path));
        if written.as_ref().is_err_and(StorageError::is_full) {
            self.file.set_len(self.length).map_err(io_error("cut", &self.path))?;
        }
        written?;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// What a segment's file holds.
pub struct Read {
    /// Its entries.
    pub entries: Vec<Entry>,
    /// The epoch and the offset of each entry.
    pub offsets: Vec<(Epoch, u64)>,
    /// Bytes that are whole.
    pub good: u64,
    /// Bytes of a torn write after them.
    pub truncated_bytes: u64,
}

/// Reads a segment without changing it; gives none if its creation was torn.
///
/// # Errors
///
/// [`StorageError::Corrupt`] if a record is damaged that had been synced.
pub fn read(path: &Path, first: u64, last: bool) -> Result<Option<Read>, StorageError> {
    let whole = fs::read(path).map_err(io_error("read", path))?;
    let corrupt = |offset, what| StorageError::Corrupt { path: path.to_owned(), offset, what };
    let begun = whole.len() > HEADER || whole == header(first);
    if last && !begun {
        return Ok(None);
    }
    if whole.len() < HEADER {
        return Err(corrupt(whole.len() as u64, Damage::Short));
    }
    atomic::check_format(path, &whole, MAGIC)?;
    if whole[..HEADER] != header(first)[..] {
        return Err(corrupt(0, Damage::Checksum));
    }
    let (entries, offsets, good) = scan(&whole, first).map_err(|at| corrupt(at, Damage::Order))?;
    let torn = good < whole.len();
    if torn && (!last || record::proves_synced(&whole, good)) {
        return Err(corrupt(good as u64, Damage::Checksum));
    }
    let truncated_bytes = (whole.len() - good) as u64;
    Ok(Some(Read { entries, offsets, good: good as u64, truncated_bytes }))
}

fn header(first: u64) -> [u8; HEADER] {
    let mut header = [0; HEADER];
    header[..8].copy_from_slice(MAGIC);
    header[8..12].copy_from_slice(&atomic::FORMAT.to_be_bytes());
    header[12..20].copy_from_slice(&first.to_be_bytes());
    let sum = crc32fast::hash(&header[..20]);
    header[20..].copy_from_slice(&sum.to_be_bytes());
    header
}

type Scanned = (Vec<Entry>, Vec<(Epoch, u64)>, usize);

/// Reads records until one is damaged or the file ends; gives how far all was good, or the
/// offset of an entry that is whole but does not follow its predecessor.
fn scan(whole: &[u8], first: u64) -> Result<Scanned, u64> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut offsets = Vec::new();
    let mut at = HEADER;
    while let Some(record) = record::decode(&whole[at..]) {
        if let Some(entry) = record.entry {
            if entry.index != first + entries.len() as u64 {
                return Err(at as u64);
            }
            offsets.push((entry.epoch, at as u64));
            entries.push(entry);
        }
        at += record.length;
    }
    Ok((entries, offsets, at))
}
