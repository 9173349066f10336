//! Losses of power at every point of random histories: no synced part is lost, and no folder is
//! refused.

#[path = "../../storage/tests/support/power.rs"]
mod power;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use chicoryford_depot::Depot;
use chicoryford_depot::DepotError;
use chicoryford_fleet::copies::PartId;
use chicoryford_storage::Disk;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use power::PowerDisk;

/// The number of random histories.
const HISTORIES: u64 = 40;
/// The number of operations of a history.
const OPERATIONS: usize = 14;

/// The parts that a store was given.
#[derive(Default)]
struct Model {
    written: BTreeMap<PartId, Bytes>,
    /// The parts that were acknowledged, and are wanted.
    synced: BTreeSet<PartId>,
}

impl Model {
    fn step(&mut self, depot: &mut Depot, rng: &mut SmallRng) -> Result<(), DepotError> {
        match rng.random_range(0..8) {
            0..4 => {
                let part = PartId(rng.random());
                let bytes = Bytes::from(vec![rng.random(); rng.random_range(1..200)]);
                depot.put(part, &bytes)?;
                self.written.insert(part, bytes);
            }
            4..7 => {
                depot.sync()?;
                self.synced.extend(self.written.keys());
            }
            _ => {
                let dropped = self.written.keys().next().copied();
                self.written.retain(|part, _| Some(*part) != dropped);
                self.synced.retain(|part| Some(*part) != dropped);
                depot.retain(&self.written.keys().copied().collect())?;
            }
        }
        Ok(())
    }
}

/// Guards against accepted parts that are lost, because a loss of power dropped one write and kept a
/// later one, and the folder was taken for damaged.
#[test]
fn a_loss_of_power_at_any_point_loses_no_synced_part() {
    for seed in 0..HISTORIES {
        for operations in 0.. {
            let (folder, left) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
            std::fs::create_dir(folder.path().join("log")).unwrap();
            let disk = PowerDisk::new(folder.path(), seed, operations, false);
            let (mut model, mut rng) = (Model::default(), SmallRng::seed_from_u64(seed));
            if let Ok(mut depot) = Depot::open(folder.path(), disk.operations()) {
                for _ in 0..OPERATIONS {
                    if model.step(&mut depot, &mut rng).is_err() {
                        break;
                    }
                }
            }
            if !disk.restore(left.path()) {
                break;
            }
            println!("seed {seed} after {operations} operations");
            let depot = Depot::open(left.path(), Disk::default()).unwrap();
            for part in &model.synced {
                assert_eq!(depot.get(*part).unwrap().as_ref(), model.written.get(part));
            }
        }
    }
}
