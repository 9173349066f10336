//! Where the data file, the page and the plots lie.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use crate::data::Data;
use crate::page;
use crate::plots;
use crate::plots::PlotError;

/// The files could not be read, written or made.
#[derive(Debug, Error)]
pub enum FileError {
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// The data file is malformed.
    #[error("the data file is malformed: {0}")]
    Data(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// The files of one copy of the repository.
#[derive(Clone, Debug)]
pub struct Files {
    docs: PathBuf,
}

impl Files {
    /// Names the files below a folder of documents.
    pub fn new(docs: impl Into<PathBuf>) -> Self {
        Self { docs: docs.into() }
    }

    /// Names the files of the repository from which this program was built.
    pub fn here() -> Self {
        Self::new(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs"))
    }

    fn data(&self) -> PathBuf {
        self.docs.join("capacity/slopes.json")
    }

    /// Reads the data file.
    ///
    /// # Errors
    ///
    /// [`FileError`] if it cannot be read or is malformed.
    pub fn load(&self) -> Result<Data, FileError> {
        Ok(serde_json::from_str(&read(&self.data())?)?)
    }

    /// Writes the data file.
    ///
    /// # Errors
    ///
    /// [`FileError`] if it cannot be written.
    pub fn save(&self, data: &Data) -> Result<(), FileError> {
        let mut text = serde_json::to_string_pretty(data)?;
        text.push('\n');
        write(&self.data(), &text)
    }

    /// Writes the page and the plots that `data` gives.
    ///
    /// # Errors
    ///
    /// [`FileError`] if one cannot be made or written.
    pub fn write(&self, data: &Data) -> Result<(), FileError> {
        for (name, text) in made(data)? {
            write(&self.docs.join(name), &text)?;
        }
        Ok(())
    }

    /// Names the files that differ from what `data` gives.
    ///
    /// # Errors
    ///
    /// [`FileError`] if one cannot be made or read.
    pub fn differing(&self, data: &Data) -> Result<Vec<String>, FileError> {
        let mut differing = Vec::new();
        for (name, text) in made(data)? {
            if read(&self.docs.join(&name))? != text {
                differing.push(name);
            }
        }
        Ok(differing)
    }
}

fn made(data: &Data) -> Result<Vec<(String, String)>, FileError> {
    let mut files = vec![("CAPACITY.md".to_owned(), page::page(data))];
    for (name, text) in plots::all(data)? {
        files.push((format!("capacity/{name}.svg"), text));
    }
    Ok(files)
}

fn read(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| named(path, source))
}

fn write(path: &Path, text: &str) -> Result<(), FileError> {
    let folder = path.parent().unwrap_or(path);
    std::fs::create_dir_all(folder).map_err(|source| named(folder, source))?;
    std::fs::write(path, text).map_err(|source| named(path, source))
}

fn named(path: &Path, source: io::Error) -> FileError {
    FileError::Io { path: path.display().to_string(), source }
}
