//! Checks across all replicas, which no single replica can make.

use std::collections::HashMap;
use std::collections::HashSet;

use chicoryford_agreement::Invariant;
use chicoryford_agreement::ReplicaId;
use chicoryford_types::Epoch;

use crate::disk::HashChain;

/// An observed failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Symptom {
    /// A replica reported an invariant violation.
    Invariant(Invariant),
    /// Two state machines applied different entries at the same index.
    Diverged(u64),
    /// An acknowledged entry was missing at a later leader.
    AcknowledgedLost { acked: u64, leader: u64 },
    /// Two replicas led in the same epoch.
    TwoLeaders(Epoch),
    /// A replica was elected while another one held a lease.
    LeaseBroken(Epoch),
    /// A read was answered with state from before an acknowledgement that preceded the read.
    StaleRead { index: u64, acked: u64 },
    /// An entry was committed although its proposer had been told that it was refused.
    FalseRefusal(u64),
    /// No entry could be committed after all faults were healed.
    Stuck,
}

/// The combined history of all replicas.
#[derive(Default)]
pub struct Checker {
    pub symptom: Option<Symptom>,
    /// Whether reported invariant violations are ignored, to see their external effects.
    pub ignore_invariants: bool,
    pub acked: u64,
    pub acks: u64,
    pub reads: u64,
    chains: Vec<u64>,
    leaders: HashMap<Epoch, ReplicaId>,
    refused: HashSet<u64>,
    asked: HashMap<u64, u64>,
}

impl Checker {
    pub fn report(&mut self, symptom: Symptom) {
        self.symptom.get_or_insert(symptom);
    }

    pub fn invariant_violated(&mut self, invariant: Invariant) {
        if !self.ignore_invariants {
            self.report(Symptom::Invariant(invariant));
        }
    }

    pub fn apply(&mut self, chain: HashChain) {
        let position = chain.index as usize - 1;
        match self.chains.get(position) {
            None if position == self.chains.len() => self.chains.push(chain.hash),
            Some(hash) if *hash == chain.hash => {}
            _ => self.report(Symptom::Diverged(chain.index)),
        }
    }

    pub fn acknowledge(&mut self, index: u64) {
        self.acked = self.acked.max(index);
        self.acks += 1;
    }

    pub fn committed(&mut self, token: u64) {
        if self.refused.contains(&token) {
            self.report(Symptom::FalseRefusal(token));
        }
    }

    pub fn refuse(&mut self, token: u64) {
        self.refused.insert(token);
    }

    /// Records a leader and returns whether its epoch is new.
    pub fn record_leader(&mut self, epoch: Epoch, id: &ReplicaId) -> bool {
        match self.leaders.get(&epoch) {
            Some(known) if known == id => false,
            Some(_) => {
                self.report(Symptom::TwoLeaders(epoch));
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

    pub fn leader_ready(&mut self, commit: u64) {
        if commit < self.acked {
            self.report(Symptom::AcknowledgedLost { acked: self.acked, leader: commit });
        }
    }

    pub fn read_requested(&mut self, token: u64) {
        self.asked.insert(token, self.acked);
    }

    pub fn read_answered(&mut self, token: u64, index: u64) {
        self.reads += 1;
        let acked = self.asked.remove(&token).unwrap_or_default();
        if index < acked {
            self.report(Symptom::StaleRead { index, acked });
        }
    }
}
