//! Configuration on a process's disk.
//!
//! A process that restarts while nobody answers goes on with what it had in force, and one that
//! follows a parent which lies behind must not go back to an older revision. So what is put in
//! force is on the disk before. The file is written whole under another name and renamed, and
//! carries a checksum: one torn by a crash or damaged later is noticed and not believed.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use chicoryford_types::Config;
use thiserror::Error;

/// The file's name within the data folder.
pub const FILE: &str = "config";
/// Marks the file and the version of its format.
const MAGIC: &[u8; 8] = b"chiconf1";
const HEADER: usize = MAGIC.len() + size_of::<u32>();

/// Configuration on disk could not be read or written.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The file could not be read.
    #[error("cannot read {}", .0.display())]
    Read(PathBuf, #[source] io::Error),
    /// The file could not be written and synced.
    #[error("cannot write {}", .0.display())]
    Write(PathBuf, #[source] io::Error),
    /// The file is of another format, torn or damaged; it may be removed, and configuration is
    /// then fetched anew.
    #[error("{} is of another format, torn or damaged", .0.display())]
    Damaged(PathBuf),
}

/// The file in which a process keeps its configuration.
#[derive(Clone, Debug)]
pub struct Disk {
    folder: PathBuf,
}

impl Disk {
    /// Keeps configuration in a data folder.
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.to_owned() }
    }

    fn path(&self) -> PathBuf {
        self.folder.join(FILE)
    }

    /// Reads what was saved last; none if nothing was.
    ///
    /// # Errors
    ///
    /// [`DiskError`] if the file cannot be read or is damaged.
    pub fn load(&self) -> Result<Option<Config>, DiskError> {
        let path = self.path();
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(DiskError::Read(path, error)),
        };
        decode(&bytes).map(Some).ok_or(DiskError::Damaged(path))
    }

    /// Saves configuration; once this returns it survives a crash of the VM.
    ///
    /// # Errors
    ///
    /// [`DiskError::Write`] if it cannot be written and synced; what was saved before stays.
    pub fn save(&self, config: &Config) -> Result<(), DiskError> {
        let path = self.path();
        self.replace(&path, &encode(config)).map_err(|error| DiskError::Write(path, error))
    }

    fn replace(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let fresh = path.with_extension("new");
        let mut file = File::create(&fresh)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&fresh, path)?;
        File::open(&self.folder)?.sync_all()
    }
}

fn encode(config: &Config) -> Vec<u8> {
    let body = rmp_serde::to_vec_named(config).expect("configuration is plain data");
    let mut bytes = Vec::with_capacity(HEADER + body.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

fn decode(bytes: &[u8]) -> Option<Config> {
    let body = bytes.get(HEADER..)?;
    let sum = crc32fast::hash(body).to_be_bytes();
    if !bytes.starts_with(MAGIC) || bytes[MAGIC.len()..HEADER] != sum {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}
