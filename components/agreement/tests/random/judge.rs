//! Checks over all replicas together, which no replica could make by itself.

use std::collections::HashMap;
use std::collections::HashSet;

use chicoryford_agreement::Invariant;
use chicoryford_agreement::ReplicaId;
use chicoryford_types::Epoch;

use crate::disk::Chain;

/// What was seen to go wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Symptom {
    /// A replica found one of its own promises broken.
    Invariant(Invariant),
    /// Two state machines applied different entries at the same place.
    Diverged(u64),
    /// An acknowledged entry was unknown to a later leader.
    AcknowledgedLost { acked: u64, leader: u64 },
    /// Two replicas led in the same epoch.
    TwoLeaders(Epoch),
    /// A replica was elected while the lease of another held.
    LeaseBroken(Epoch),
    /// A read was answered from before an acknowledgement that preceded it.
    StaleRead { index: u64, acked: u64 },
    /// An entry was committed after its proposer was told that it was not done.
    FalseRefusal(u64),
    /// All faults were healed, and still nothing could be committed.
    Stuck,
}

/// What all replicas together have done.
#[derive(Default)]
pub struct Judge {
    pub symptom: Option<Symptom>,
    /// Whether broken promises are overlooked, to see what they lead to.
    pub overlook: bool,
    pub acked: u64,
    pub acks: u64,
    pub reads: u64,
    chains: Vec<u64>,
    leaders: HashMap<Epoch, ReplicaId>,
    refused: HashSet<u64>,
    asked: HashMap<u64, u64>,
}

impl Judge {
    pub fn see(&mut self, symptom: Symptom) {
        self.symptom.get_or_insert(symptom);
    }

    pub fn promise(&mut self, promise: Invariant) {
        if !self.overlook {
            self.see(Symptom::Invariant(promise));
        }
    }

    pub fn apply(&mut self, chain: Chain) {
        let place = chain.index as usize - 1;
        match self.chains.get(place) {
            None if place == self.chains.len() => self.chains.push(chain.hash),
            Some(hash) if *hash == chain.hash => {}
            _ => self.see(Symptom::Diverged(chain.index)),
        }
    }

    pub fn acknowledge(&mut self, index: u64) {
        self.acked = self.acked.max(index);
        self.acks += 1;
    }

    pub fn committed(&mut self, token: u64) {
        if self.refused.contains(&token) {
            self.see(Symptom::FalseRefusal(token));
        }
    }

    pub fn refuse(&mut self, token: u64) {
        self.refused.insert(token);
    }

    /// Notes a new leader; tells whether its epoch is new.
    pub fn lead(&mut self, epoch: Epoch, id: &ReplicaId) -> bool {
        match self.leaders.get(&epoch) {
            Some(known) if known == id => false,
            Some(_) => {
                self.see(Symptom::TwoLeaders(epoch));
                false
            }
            None => {
                self.leaders.insert(epoch, id.clone());
                true
            }
        }
    }

    pub fn leaders(&self) -> usize {
        self.leaders.len()
    }

    pub fn ready(&mut self, commit: u64) {
        if commit < self.acked {
            self.see(Symptom::AcknowledgedLost { acked: self.acked, leader: commit });
        }
    }

    pub fn ask(&mut self, token: u64) {
        self.asked.insert(token, self.acked);
    }

    pub fn answer(&mut self, token: u64, index: u64) {
        self.reads += 1;
        let acked = self.asked.remove(&token).unwrap_or_default();
        if index < acked {
            self.see(Symptom::StaleRead { index, acked });
        }
    }
}
