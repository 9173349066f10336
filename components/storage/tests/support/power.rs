//! A disk that loses power.
//!
//! It records each file as of its last sync, the writes since then, and each folder's list of files
//! as of its last sync. A loss of power leaves, of each write, all, nothing or a part, whatever
//! becomes of the writes before and after it, and of each change of a list of files that was not
//! synced, either state. Nothing else is lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use chicoryford_storage::Disk;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// One in so many writes finds the disk full in the middle.
const FULL_EVERY: u32 = 24;

/// A file as of its last sync, and the writes since then.
#[derive(Clone, Debug, Default)]
struct Content {
    synced: Vec<u8>,
    /// The offset and the bytes of each write.
    writes: Vec<(usize, Vec<u8>)>,
}

impl Content {
    /// Returns what a loss of power leaves of the file.
    fn after_power_loss(&self, rng: &mut SmallRng) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        for (offset, write) in &self.writes {
            let kept = match rng.random_range(0..4) {
                0 => 0..0,
                1 => 0..rng.random_range(0..=write.len()),
                2 => rng.random_range(0..=write.len())..write.len(),
                _ => 0..write.len(),
            };
            let (from, to) = (offset + kept.start, offset + kept.end);
            if kept.is_empty() {
                continue;
            }
            bytes.resize(bytes.len().max(to), 0);
            bytes[from..to].copy_from_slice(&write[kept]);
        }
        bytes
    }
}

/// The files of a folder by name, as numbers of contents.
type Names = BTreeMap<PathBuf, usize>;

struct State {
    rng: SmallRng,
    root: PathBuf,
    contents: Vec<Content>,
    /// The number of the content of each inode.
    by_inode: BTreeMap<u64, usize>,
    /// The lists of files as of their last sync.
    synced_names: BTreeMap<PathBuf, Names>,
    /// The number of operations until power is lost.
    left: u32,
    /// Whether writes may find the disk full.
    fills: bool,
    /// What the loss of power has left.
    image: Option<BTreeMap<PathBuf, Vec<u8>>>,
}

impl State {
    /// Returns the number of the content of a file.
    fn content(&mut self, inode: u64) -> usize {
        *self.by_inode.entry(inode).or_insert_with(|| {
            self.contents.push(Content::default());
            self.contents.len() - 1
        })
    }

    fn names(&mut self, folder: &Path) -> Names {
        let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap());
        let files: Vec<_> = files.filter(|file| file.file_type().unwrap().is_file()).collect();
        let mut names = Names::new();
        for file in files {
            let metadata = file.metadata().unwrap();
            if metadata.len() == 0 {
                // A new file, perhaps with the inode of a removed one.
                self.by_inode.remove(&metadata.ino());
            }
            names.insert(file.path(), self.content(metadata.ino()));
        }
        names
    }

    fn folders(&self) -> Vec<PathBuf> {
        let mut folders = vec![self.root.clone()];
        let below = fs::read_dir(&self.root).unwrap().map(|file| file.unwrap());
        folders.extend(below.filter(|f| f.file_type().unwrap().is_dir()).map(|f| f.path()));
        folders
    }

    /// Counts an operation. Power is lost before the last one.
    fn begin(&mut self) -> io::Result<()> {
        if self.image.is_some() {
            return Err(io::Error::other("no power"));
        }
        if self.left > 0 {
            self.left -= 1;
            return Ok(());
        }
        let mut image = BTreeMap::new();
        for folder in self.folders() {
            let current = self.names(&folder);
            let synced = self.synced_names.get(&folder).cloned().unwrap_or_default();
            let all: BTreeSet<PathBuf> = current.keys().chain(synced.keys()).cloned().collect();
            for path in all {
                let states = [synced.get(&path), current.get(&path)];
                let Some(number) = states[self.rng.random_range(0..2)] else { continue };
                let mut bytes = self.contents[*number].after_power_loss(&mut self.rng);
                // A change of the length counts as a write of its own.
                let length = current.get(&path).filter(|current| *current == number);
                if let Some(length) = length.map(|_| fs::metadata(&path).unwrap().len() as usize)
                    && self.rng.random()
                {
                    bytes.truncate(length);
                }
                image.insert(path.strip_prefix(&self.root).unwrap().to_owned(), bytes);
            }
        }
        self.image = Some(image);
        Err(io::Error::other("no power"))
    }
}

/// A disk under a folder that loses power after some operations.
pub struct PowerDisk {
    state: Arc<Mutex<State>>,
}

impl PowerDisk {
    /// Creates a disk for what `root` contains, all of which is synced. The seed decides what is
    /// left after `operations`.
    pub fn new(root: &Path, seed: u64, operations: u32, fills: bool) -> Self {
        let mut state = State {
            rng: SmallRng::seed_from_u64(seed),
            root: root.to_owned(),
            contents: Vec::new(),
            by_inode: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            left: operations,
            fills,
            image: None,
        };
        for folder in state.folders() {
            let names = state.names(&folder);
            for (path, number) in &names {
                state.contents[*number].synced = fs::read(path).unwrap();
            }
            state.synced_names.insert(folder, names);
        }
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the operations.
    pub fn operations(&self) -> Disk {
        let (write, sync) = (self.state.clone(), self.state.clone());
        let (rename, sync_folder) = (self.state.clone(), self.state.clone());
        Disk {
            write: Arc::new(move |file, bytes| {
                let mut state = write.lock().unwrap();
                state.begin()?;
                let metadata = file.metadata()?;
                if metadata.len() == 0 {
                    // A new file, perhaps with the inode of a removed one.
                    state.by_inode.remove(&metadata.ino());
                }
                let number = state.content(metadata.ino());
                let full = state.fills && state.rng.random_ratio(1, FULL_EVERY);
                let length =
                    if full { state.rng.random_range(0..bytes.len()) } else { bytes.len() };
                file.write_all(&bytes[..length])?;
                let write = (metadata.len() as usize, bytes[..length].to_vec());
                state.contents[number].writes.push(write);
                if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
            }),
            sync: Arc::new(move |file: &File| {
                let mut state = sync.lock().unwrap();
                state.begin()?;
                let metadata = file.metadata()?;
                let number = state.content(metadata.ino());
                let paths = state.folders().into_iter().flat_map(|f| state.names(&f));
                let found = paths.into_iter().find(|(_, known)| *known == number);
                let synced = fs::read(found.expect("the file has a name").0)?;
                state.contents[number] = Content { synced, writes: Vec::new() };
                Ok(())
            }),
            rename: Arc::new(move |from, to| {
                rename.lock().unwrap().begin()?;
                fs::rename(from, to)
            }),
            sync_folder: Arc::new(move |folder| {
                let mut state = sync_folder.lock().unwrap();
                state.begin()?;
                if !folder.starts_with(&state.root) {
                    return Ok(());
                }
                let names = state.names(folder);
                state.synced_names.insert(folder.to_owned(), names);
                Ok(())
            }),
        }
    }

    /// Writes what the loss of power has left to a folder. Returns false if power was not lost.
    pub fn restore(&self, folder: &Path) -> bool {
        let state = self.state.lock().unwrap();
        let Some(image) = &state.image else { return false };
        for (path, bytes) in image {
            let path = folder.join(path);
            fs::create_dir_all(path.parent().unwrap()).unwrap();
            File::create(path).unwrap().write_all(bytes).unwrap();
        }
        true
    }
}
