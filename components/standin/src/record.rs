//! Writes the records of a stand-in as JSON lines to an append-only file.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

/// Appends records to a file or, by default, keeps them in memory for tests.
#[derive(Clone, Default)]
pub struct Recorder {
    sink: Arc<Mutex<Sink>>,
}

#[derive(Default)]
struct Sink {
    file: Option<File>,
    kept: Vec<serde_json::Value>,
}

impl Recorder {
    /// Opens a recorder that appends to `path`, and creates the file if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let sink = Sink { file: Some(file), kept: Vec::new() };
        Ok(Self { sink: Arc::new(Mutex::new(sink)) })
    }

    /// Appends a record. Each record is written by a single call, so that a `kill -9` truncates at
    /// most the last line.
    pub fn write<T: Serialize>(&self, record: &T) {
        let value = serde_json::to_value(record).expect("records are plain data");
        let mut sink = self.sink.lock().expect("nothing panics while it holds this lock");
        let Some(file) = &mut sink.file else {
            sink.kept.push(value);
            return;
        };
        let line = format!("{value}\n");
        if let Err(error) = file.write_all(line.as_bytes()) {
            tracing::error!(event = "record_lost", %error);
        }
    }

    /// Returns the records that are kept in memory.
    pub fn kept(&self) -> Vec<serde_json::Value> {
        self.sink.lock().expect("nothing panics while it holds this lock").kept.clone()
    }
}

/// Returns the wall clock time in Unix milliseconds.
pub fn unix() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |d| d.as_millis() as u64)
}

/// Returns a number that differs on each call and between processes and their starts.
pub fn unique() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    unix() << 24 ^ u64::from(std::process::id()) << 8 ^ count
}
