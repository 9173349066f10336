//! The configuration that a process has, and the changes that led to it.

use std::sync::Arc;

use chicoryford_state::RecentChanges;
use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Delta;
use chicoryford_types::Digest;
use chicoryford_types::Position;

/// The configuration that a process has. It only ever moves forward.
#[derive(Clone, Debug, Default)]
pub struct Store {
    config: Arc<Config>,
    recent: RecentChanges,
    digest: Option<Digest>,
}

/// What taking in a delta led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absorbed {
    /// The configuration moved forward.
    Moved,
    /// Nothing new was in it.
    Nothing,
    /// It starts at a position at which this process does not stand; a snapshot is needed.
    Gap,
}

impl Store {
    /// Starts from what the disk held.
    pub fn new(config: Config) -> Self {
        let recent = RecentChanges::starting_at(config.at);
        Self { config: Arc::new(config), recent, digest: None }
    }

    /// Gives the configuration.
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    /// Gives the position.
    pub fn at(&self) -> Position {
        self.config.at
    }

    /// Applies one change; returns whether it lay ahead.
    pub fn push(&mut self, at: Position, change: Change) -> bool {
        if at <= self.config.at {
            return false;
        }
        Arc::make_mut(&mut self.config).apply(at, change.clone());
        self.recent.push(at, change);
        self.digest = None;
        true
    }

    /// Takes a whole configuration over; returns whether it lay ahead.
    ///
    /// A replica that starts again feeds the snapshot on its disk first, which may lie behind
    /// what this process had in force before it stopped; that is left alone.
    pub fn reset(&mut self, config: Config) -> bool {
        if config.at <= self.config.at {
            return false;
        }
        *self = Self::new(config);
        true
    }

    /// Takes over a configuration of the same position whose content differs, by which a copy
    /// that was damaged is repaired; returns whether it was taken.
    pub fn repair(&mut self, config: Config) -> bool {
        if config.at != self.config.at || config == *self.config {
            return false;
        }
        *self = Self::new(config);
        true
    }

    /// Gives the configuration that [`Store::absorb`] would lead to, none if it would not move;
    /// it is saved before it is put in force.
    pub fn preview(&self, delta: &Delta) -> Option<Config> {
        match delta {
            Delta::Snapshot(config) => (config.at > self.config.at).then(|| (**config).clone()),
            Delta::Changes { from, .. } if *from > self.config.at => None,
            Delta::Changes { changes, .. } => {
                let mut config = (*self.config).clone();
                for (at, change) in changes {
                    config.apply(*at, change.clone());
                }
                (config.at > self.config.at).then_some(config)
            }
        }
    }

    /// Takes in what a parent answered.
    pub fn absorb(&mut self, delta: Delta) -> Absorbed {
        let moved = match delta {
            Delta::Snapshot(config) => self.reset(*config),
            Delta::Changes { from, .. } if from > self.config.at => return Absorbed::Gap,
            Delta::Changes { changes, .. } => {
                let mut moved = false;
                for (at, change) in changes {
                    moved |= self.push(at, change);
                }
                moved
            }
        };
        if moved { Absorbed::Moved } else { Absorbed::Nothing }
    }

    /// Gives what a child at `from` needs.
    pub fn delta_since(&self, from: Position) -> Delta {
        self.recent.delta(&self.config, from)
    }

    /// Gives the digest of the whole configuration, by which two copies are compared.
    pub fn digest(&mut self) -> Digest {
        let config = &self.config;
        *self.digest.get_or_insert_with(|| {
            Digest::of(&rmp_serde::to_vec(config.as_ref()).expect("configuration is plain data"))
        })
    }
}
