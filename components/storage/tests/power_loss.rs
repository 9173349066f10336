//! Losses of power at every point of random histories: nothing synced is lost, and nothing that was
//! not synced makes a folder look damaged.

#[path = "support/power.rs"]
mod power;

use std::path::Path;

use bytes::Bytes;
use chicoryford_storage::Disk;
use chicoryford_storage::Entry;
use chicoryford_storage::HardState;
use chicoryford_storage::Recovered;
use chicoryford_storage::Snapshot;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageError;
use chicoryford_storage::StorageSettings;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use power::PowerDisk;

/// The number of random histories.
const HISTORIES: u64 = 40;
/// The number of operations of a history.
const OPERATIONS: usize = 14;
/// The number of losses of power in a row.
const LOSSES: u64 = 3;
/// Disk operations of the later losses in a row, at most.
const MAX_OPERATIONS: u32 = 40;
/// The number of entries by which a snapshot of the leader is ahead.
const AHEAD: u64 = 5;

/// What the storage was told, and what a loss of power may leave of it.
#[derive(Default)]
struct Model {
    /// The log, from the first entry on.
    log: Vec<Entry>,
    /// The log as of the last sync, and each state of it since then.
    states: Vec<Vec<Entry>>,
    /// The saved hard state, and the one that is being saved.
    hard: Vec<HardState>,
    /// The index of the newest snapshot, and of the one that is being saved.
    covered: Vec<u64>,
    epoch: u64,
}

impl Model {
    fn new() -> Self {
        let (states, hard) = (vec![Vec::new()], vec![HardState::default()]);
        Self { states, hard, covered: vec![0], epoch: 1, ..Self::default() }
    }

    fn last(&self) -> u64 {
        self.log.len() as u64
    }

    fn entries(&self, from: u64, count: u64) -> Vec<Entry> {
        let entry = |index| {
            let body = format!("entry {index} of {}", self.epoch).into_bytes();
            let body = Bytes::from([body, vec![7; (index % 5) as usize * 20]].concat());
            Entry { index, epoch: Epoch(self.epoch), body }
        };
        (from..from + count).map(entry).collect()
    }

    /// Runs an operation that leads to this log. On a full disk the log is what the storage says.
    fn change(
        &mut self,
        storage: &mut Storage,
        log: Vec<Entry>,
        operation: impl FnOnce(&mut Storage) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        self.states.push(log.clone());
        match operation(storage) {
            Err(error) if error.is_full() => {
                self.states.pop();
                self.log.truncate(storage.last_index() as usize);
                self.states.push(self.log.clone());
                Ok(())
            }
            done => {
                self.log = log;
                done
            }
        }
    }

    /// Runs a random operation.
    fn step(&mut self, storage: &mut Storage, rng: &mut SmallRng) -> Result<(), StorageError> {
        let covered = *self.covered.last().unwrap();
        match rng.random_range(0..12) {
            0..4 => {
                let added = self.entries(self.last() + 1, rng.random_range(1..4));
                let log = [self.log.clone(), added.clone()].concat();
                self.change(storage, log, |storage| storage.append(&added))
            }
            4..8 => {
                storage.sync()?;
                self.states = vec![self.log.clone()];
                Ok(())
            }
            8 if self.last() > covered => {
                self.epoch += 1;
                let from = rng.random_range(covered + 1..=self.last());
                let added = self.entries(from, 2);
                let log = [&self.log[..from as usize - 1], &added].concat();
                self.change(storage, log, |storage| storage.append(&added))
            }
            9 if self.last() > covered => {
                let from = rng.random_range(covered + 1..=self.last());
                let log = self.log[..from as usize - 1].to_vec();
                self.change(storage, log, |storage| storage.truncate(from))
            }
            10 => {
                let hard = HardState { epoch: Epoch(self.epoch), vote: None };
                self.epoch += 1;
                self.hard.push(hard.clone());
                match storage.save_hard_state(&hard) {
                    Err(error) if error.is_full() => {
                        self.hard.pop();
                        Ok(())
                    }
                    done => done.inspect(|()| self.hard = vec![hard]),
                }
            }
            11 if self.last() > 0 => {
                let ahead = if rng.random_ratio(1, 4) { AHEAD } else { 0 };
                let index = rng.random_range(1..=self.last()) + ahead;
                let missing = self.entries(self.last() + 1, index.saturating_sub(self.last()));
                let log = [self.log.clone(), missing].concat();
                let epoch = log[index as usize - 1].epoch;
                let body = Bytes::from_static(b"state");
                if index <= covered {
                    return Ok(());
                }
                self.covered.push(index);
                self.states.push(log.clone());
                match storage.save_snapshot(&Snapshot { index, epoch, body }) {
                    Err(error) if error.is_full() => {
                        self.covered.pop();
                        self.states.pop();
                        Ok(())
                    }
                    done => done.inspect(|()| {
                        self.covered = vec![index];
                        self.log = log;
                    }),
                }
            }
            _ => Ok(()),
        }
    }

    /// Opens the folder after a loss of power and checks what is left.
    fn check(&mut self, folder: &Path) {
        let (storage, recovered) = open(folder, Disk::default()).unwrap();
        assert!(self.hard.contains(&recovered.hard), "{:?}", recovered.hard);
        let covered = recovered.snapshot.map_or(0, |snapshot| snapshot.index);
        assert!(self.covered.contains(&covered), "{covered} of {:?}", self.covered);
        let last = recovered.entries.last().map_or(covered, |entry| entry.index);
        assert_eq!(last, storage.last_index());
        let found = self.states.iter().find(|state| {
            let all = state.get(..last as usize);
            let first = last as usize - recovered.entries.len();
            all.is_some_and(|all| all[first..] == recovered.entries)
        });
        let mut log = found.unwrap_or_else(|| panic!("{:?}", recovered.entries)).clone();
        let synced = &self.states[0];
        let same = |state: &Vec<Entry>| {
            synced.iter().zip(state).take_while(|(one, other)| one == other).count()
        };
        let least = self.states.iter().map(same).min().unwrap();
        assert!(last as usize >= least, "{last} of {least} synced entries");
        log.truncate(last as usize);
        self.log = log.clone();
        (self.states, self.hard, self.covered) = (vec![log], vec![recovered.hard], vec![covered]);
        self.epoch += 1;
    }
}

fn open(folder: &Path, disk: Disk) -> Result<(Storage, Recovered), StorageError> {
    let settings =
        StorageSettings { segment_bytes: 400, retained_entries: 2, identity: Incarnation(7) };
    Storage::open(folder, settings, disk)
}

/// Plays a history until power is lost after some disk operations. Returns whether it was, and the
/// folder that the loss has left.
fn play(
    model: &mut Model,
    folder: &Path,
    seed: u64,
    operations: u32,
    fills: bool,
) -> Option<tempfile::TempDir> {
    let disk = PowerDisk::new(folder, seed, operations, fills);
    let mut rng = SmallRng::seed_from_u64(seed);
    if let Ok((mut storage, _)) = open(folder, disk.operations()) {
        for _ in 0..OPERATIONS {
            if model.step(&mut storage, &mut rng).is_err() {
                break;
            }
        }
    }
    let left = tempfile::tempdir().unwrap();
    disk.restore(left.path()).then_some(left)
}

/// Plays a history with a loss of power at each of its points, followed by further losses.
fn play_all_points(seed: u64, fills: bool) {
    for operations in 0.. {
        let mut model = Model::new();
        let mut folder = tempfile::tempdir().unwrap();
        std::fs::create_dir(folder.path().join("log")).unwrap();
        for loss in 0..LOSSES {
            let mut rng = SmallRng::seed_from_u64(seed + u64::from(operations) * LOSSES + loss);
            let operations =
                if loss > 0 { rng.random_range(0..MAX_OPERATIONS) } else { operations };
            let history = seed + loss;
            let Some(left) = play(&mut model, folder.path(), history, operations, fills) else {
                if loss == 0 {
                    return;
                }
                break;
            };
            println!("seed {seed}, loss {loss} after {operations} operations");
            folder = left;
            model.check(folder.path());
        }
    }
}

/// Guards against a folder that is refused as damaged, or that lacks synced entries, after a loss of
/// power that dropped one write and kept a later one.
#[test]
fn a_loss_of_power_at_any_point_loses_nothing_synced_and_damages_nothing() {
    for history in 0..HISTORIES {
        play_all_points(history * 1_000, false);
    }
}

/// Guards against entries that come back after a full disk refused them.
#[test]
fn a_loss_of_power_brings_nothing_back_that_a_full_disk_refused() {
    for history in 0..HISTORIES {
        play_all_points(history * 1_000, true);
    }
}
