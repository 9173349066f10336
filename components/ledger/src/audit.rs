//! What an entry asks about the bodies that it holds and the steps that it owns.
//!
//! The leader answers from its state with a renewal of the entry's session; nothing is logged.

use std::collections::BTreeSet;

use chicoryford_types::Group;
use chicoryford_types::Node;
use chicoryford_types::SampleNo;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Body;
use crate::command::Record;
use crate::command::StepKey;
use crate::holders::BodyName;
use crate::holders::HOLDERS_PER_BODY;
use crate::holders::Holder;
use crate::ledger::Ledger;

/// Bodies named in one answer, or the rest of a group more; a repairer asks again when these are mended.
pub const MAX_LACKING: usize = 256;

/// What an entry asks.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Audit {
    /// The entry.
    pub node: Node,
    /// Its session, whose steps it repairs.
    pub session: u64,
    /// The entries that it sees; empty if it does not ask for bodies to repair.
    pub present: Vec<Holder>,
    /// Whether it leaves, and asks for the bodies that would have too few holders without it; it
    /// is then not among `present`.
    pub leaving: bool,
    /// Steps of which it holds bodies and wants to know which are still of use.
    pub holds: Vec<StepKey>,
}

/// What the ledger answers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct AuditReply {
    /// Bodies that have too few holders, about [`MAX_LACKING`] at most.
    pub lacking: Vec<UnderReplicated>,
    /// For each step asked about, the groups whose bodies are still of use.
    pub wanted: Vec<NeededGroups>,
}

/// A body that has too few holders.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct UnderReplicated {
    /// The body.
    pub name: BodyName,
    /// Its recorded holders, present or not.
    pub from: Vec<Holder>,
    /// Whether it is in a batch.
    pub sealed: bool,
}

/// The groups of a step whose bodies are still of use.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct NeededGroups {
    /// The step.
    pub key: StepKey,
    /// Runs of groups, first and last; none if the step has ended.
    pub groups: Vec<(Group, Group)>,
}

impl NeededGroups {
    /// Tells whether the bodies of a group are of use.
    pub fn has(&self, group: Group) -> bool {
        self.groups.iter().any(|(first, last)| (*first..=*last).contains(&group))
    }

    fn add(&mut self, group: Group) {
        match self.groups.last_mut() {
            Some((_, last)) if last.0 + 1 == group.0 => *last = group,
            _ => self.groups.push((group, group)),
        }
    }
}

impl Ledger {
    /// Answers an entry's questions about bodies.
    pub fn audit(&self, audit: &Audit) -> AuditReply {
        let lacking = match audit {
            Audit { present, .. } if present.is_empty() => Vec::new(),
            Audit { leaving: true, .. } => self.lacking_without(audit),
            _ => self.lacking(audit),
        };
        let wanted = audit.holds.iter().map(|key| self.wanted(key)).collect();
        AuditReply { lacking, wanted }
    }

    /// Lists bodies that have fewer holders among those present than there could be: those of
    /// the asker's steps, and those in batches of steps that were closed, which nobody owns; of
    /// these its first present holder takes care.
    fn lacking(&self, audit: &Audit) -> Vec<UnderReplicated> {
        let is_first = |record: &Record| {
            let first = holders(record).iter().find(|holder| audit.present.contains(holder));
            first.is_some_and(|first| first.node == audit.node)
        };
        self.under_replicated(audit, |key, record| match self.steps.get(key) {
            Some(step) => step.owner == Some(audit.session),
            None => is_first(record),
        })
    }

    /// Lists bodies that the asker holds and that have too few holders without it, whoever owns
    /// their steps.
    fn lacking_without(&self, audit: &Audit) -> Vec<UnderReplicated> {
        let is_here = |record: &Record| holders(record).iter().any(|h| h.node == audit.node);
        self.under_replicated(audit, |_, record| is_here(record))
    }

    /// Lists bodies that have too few present holders, of those that concern the asker.
    fn under_replicated(
        &self,
        audit: &Audit,
        concerns: impl Fn(&StepKey, &Record) -> bool,
    ) -> Vec<UnderReplicated> {
        let present: BTreeSet<&Holder> = audit.present.iter().collect();
        let enough = HOLDERS_PER_BODY.min(present.len());
        let is_short = |record: &Record| {
            let holders = holders(record);
            let left = holders.iter().filter(|holder| present.contains(holder)).count();
            !holders.is_empty() && left < enough
        };
        let wanted = |key: &StepKey, record: &Record| is_short(record) && concerns(key, record);
        let mut short = Vec::new();
        let batches = self.deliveries.values().filter_map(|delivery| delivery.batch.as_ref());
        for (key, group, number, record) in batches.flat_map(|batch| &batch.samples) {
            if short.len() < MAX_LACKING && wanted(key, record) {
                short.push(lacking((key, *group, *number), record, true));
            }
        }
        for (key, step) in &self.steps {
            for (number, group) in (0..).map(Group).zip(&step.groups) {
                if short.len() >= MAX_LACKING {
                    return short;
                }
                let done = group.done.iter().filter(|(_, record)| wanted(key, record));
                short.extend(done.map(|(no, r)| lacking((key, number, *no), r, false)));
            }
        }
        short
    }

    /// Lists the groups of a step that are not acknowledged. A batch outlives the closing of its
    /// step: the trainer may still pull it again.
    fn wanted(&self, key: &StepKey) -> NeededGroups {
        let mut wanted = NeededGroups { key: key.clone(), ..NeededGroups::default() };
        let delivery = self.deliveries.get(&key.workspace);
        if let Some(step) = self.steps.get(key) {
            let acked = delivery.map(|delivery| delivery.acked).unwrap_or_default();
            for (number, group) in (0..).map(Group).zip(&step.groups) {
                if group.batch.is_none_or(|batch| batch > acked) {
                    wanted.add(number);
                }
            }
            return wanted;
        }
        let batch = delivery.and_then(|delivery| delivery.batch.as_ref());
        let samples = batch.iter().flat_map(|batch| &batch.samples);
        let groups: BTreeSet<Group> =
            samples.filter(|(own, ..)| own == key).map(|(_, group, ..)| *group).collect();
        groups.into_iter().for_each(|group| wanted.add(group));
        wanted
    }
}

fn lacking(place: (&StepKey, Group, SampleNo), record: &Record, sealed: bool) -> UnderReplicated {
    let (key, group, number) = place;
    let name = BodyName { key: key.clone(), group, number, digest: record.digest };
    UnderReplicated { name, from: holders(record).to_vec(), sealed }
}

fn holders(record: &Record) -> &[Holder] {
    match &record.body {
        Body::Inline(_) => &[],
        Body::Held(holders) => holders,
    }
}
