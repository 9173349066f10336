//! Stores the configuration of a process on disk.
//!
//! A process that restarts while no parent replies continues with the configuration it had in
//! force, and a process whose parent is behind must not return to an older revision. So a follower
//! saves a configuration before putting it in force. The file is written completely under another
//! name and then renamed, and contains a checksum, so that a file that was only partly written or
//! damaged later is detected and rejected.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use chicoryford_types::Config;
use thiserror::Error;

/// The name of the file in the data folder.
pub const FILE_NAME: &str = "config";
/// Identifies the file and the version of its format.
const MAGIC: &[u8; 8] = b"chiconf1";
const HEADER: usize = MAGIC.len() + size_of::<u32>();

/// The configuration file could not be read or written.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file could not be read.
    #[error("cannot read {}", .0.display())]
    Read(PathBuf, #[source] io::Error),
    /// The file could not be written and synced.
    #[error("cannot write {}", .0.display())]
    Write(PathBuf, #[source] io::Error),
    /// The file has another format, is incomplete or damaged. It may be deleted; the configuration
    /// is then fetched again.
    #[error("{} has another format, is incomplete or damaged", .0.display())]
    Damaged(PathBuf),
}

/// The file in which a process stores its configuration.
#[derive(Clone, Debug)]
pub struct ConfigFile {
    folder: PathBuf,
}

impl ConfigFile {
    /// Stores the configuration in a data folder.
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.to_owned() }
    }

    fn path(&self) -> PathBuf {
        self.folder.join(FILE_NAME)
    }

    /// Reads the configuration saved last. Returns `None` if none was saved.
    ///
    /// # Errors
    ///
    /// [`ConfigFileError`] if the file cannot be read or is damaged.
    pub fn load(&self) -> Result<Option<Config>, ConfigFileError> {
        let path = self.path();
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(ConfigFileError::Read(path, error)),
        };
        decode(&bytes).map(Some).ok_or(ConfigFileError::Damaged(path))
    }

    /// Saves a configuration. Once this returns, the file survives a crash of the VM.
    ///
    /// # Errors
    ///
    /// [`ConfigFileError::Write`] if the file cannot be written and synced; the previous file
    /// remains.
    pub fn save(&self, config: &Config) -> Result<(), ConfigFileError> {
        let path = self.path();
        self.replace(&path, &encode(config)).map_err(|error| ConfigFileError::Write(path, error))
    }

    fn replace(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let temporary = path.with_extension("new");
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, path)?;
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
