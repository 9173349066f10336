//! The configuration of a process and its recent changes.

use std::sync::Arc;

use chicoryford_state::RecentChanges;
use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Delta;
use chicoryford_types::Digest;
use chicoryford_types::Position;

/// The configuration of a process. Its position only ever increases.
#[derive(Clone, Debug, Default)]
pub struct Store {
    config: Arc<Config>,
    recent: RecentChanges,
    digest: Option<Digest>,
}

/// The result of applying a delta.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeltaResult {
    /// The configuration advanced.
    Advanced,
    /// The delta contained nothing new.
    Unchanged,
    /// The delta starts after the position of this process, so that changes are missing between
    /// them.
    Gap,
}

impl Store {
    /// Creates a store with the configuration loaded from disk.
    pub fn new(config: Config) -> Self {
        let recent = RecentChanges::starting_at(config.at);
        Self { config: Arc::new(config), recent, digest: None }
    }

    /// Returns the configuration.
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    /// Returns the position.
    pub fn at(&self) -> Position {
        self.config.at
    }

    /// Applies one change. Returns whether it was ahead of the current position.
    pub fn apply(&mut self, at: Position, change: Change) -> bool {
        if at <= self.config.at {
            return false;
        }
        Arc::make_mut(&mut self.config).apply(at, change.clone());
        self.recent.push(at, change);
        self.digest = None;
        true
    }

    /// Replaces the configuration if the new one is ahead. Returns whether it was.
    ///
    /// A restarted replica first feeds the snapshot on its disk, which may be behind what this
    /// process had in force before it stopped. Such a snapshot is ignored.
    pub fn replace(&mut self, config: Config) -> bool {
        if config.at <= self.config.at {
            return false;
        }
        *self = Self::new(config);
        true
    }

    /// Replaces a damaged copy by a configuration with the same position and different content.
    /// Returns whether it was replaced.
    pub fn repair(&mut self, config: Config) -> bool {
        if config.at != self.config.at || config == *self.config {
            return false;
        }
        *self = Self::new(config);
        true
    }

    /// Returns the configuration that [`Store::apply_delta`] would produce, so that it can be saved
    /// before it is put in force; `None` if the delta would not advance it.
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

    /// Applies the delta of a parent's reply.
    pub fn apply_delta(&mut self, delta: Delta) -> DeltaResult {
        let advanced = match delta {
            Delta::Snapshot(config) => self.replace(*config),
            Delta::Changes { from, .. } if from > self.config.at => return DeltaResult::Gap,
            Delta::Changes { changes, .. } => {
                let mut advanced = false;
                for (at, change) in changes {
                    advanced |= self.apply(at, change);
                }
                advanced
            }
        };
        if advanced { DeltaResult::Advanced } else { DeltaResult::Unchanged }
    }

    /// Returns the delta that a child at position `from` needs.
    pub fn delta_since(&self, from: Position) -> Delta {
        self.recent.delta(&self.config, from)
    }

    /// Returns the digest of the whole configuration, which is used to compare two copies.
    pub fn digest(&mut self) -> Digest {
        let config = &self.config;
        *self.digest.get_or_insert_with(|| {
            Digest::of(&rmp_serde::to_vec(config.as_ref()).expect("configuration is plain data"))
        })
    }
}
