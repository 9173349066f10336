//! Records of what a stand-in saw or did, as JSON lines in a file that is only appended to.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

/// Appends records to a file, or keeps them in memory for tests.
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
    /// Appends to `path`, which is made if it is not there.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let sink = Sink { file: Some(file), kept: Vec::new() };
        Ok(Self { sink: Arc::new(Mutex::new(sink)) })
    }

    /// Appends one record. Each is written whole by one call, so that a `kill -9` cuts at most
    /// the last line.
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

    /// Gives the records that were kept in memory.
    pub fn kept(&self) -> Vec<serde_json::Value> {
        self.sink.lock().expect("nothing panics while it holds this lock").kept.clone()
    }
}

/// Reads the wall clock, in milliseconds since 1970.
pub fn unix() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Draws a number that differs from start to start.
pub fn unique() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    unix() << 24 ^ u64::from(std::process::id()) << 8 ^ count
}
