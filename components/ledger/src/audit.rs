//! Audits of bodies: an entry reports the bodies that it holds, and the reply lists those to repair
//! and those still needed.
//!
//! The leader answers from its state, together with a renewal of the entry's session; nothing is
//! written to the log.

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

/// The most bodies in one reply; the last group may exceed it. A repairer sends another audit when
/// these are repaired.
pub const MAX_LACKING: usize = 256;

/// The audit of an entry.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Audit {
    /// The entry.
    pub node: Node,
    /// Its session, whose steps it repairs.
    pub session: u64,
    /// The entries that it considers present; empty if it does not ask for bodies to repair.
    pub present: Vec<Holder>,
    /// Whether it is leaving and asks for the bodies that would have too few holders without it; it
    /// is then not in `present`.
    pub leaving: bool,
    /// Steps of which it holds bodies, to find out which bodies are still needed.
    pub holds: Vec<StepKey>,
}

/// The reply to an audit.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct AuditReply {
    /// Bodies with too few holders, about [`MAX_LACKING`] at most.
    pub lacking: Vec<UnderReplicated>,
    /// For each step in the audit, the groups whose bodies are still needed.
    pub wanted: Vec<NeededGroups>,
}

/// A body with too few holders.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct UnderReplicated {
    /// The body.
    pub name: BodyName,
    /// Its recorded holders, present or not.
    pub from: Vec<Holder>,
    /// Whether it is in a batch.
    pub sealed: bool,
}

/// The groups of a step whose bodies are still needed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct NeededGroups {
    /// The step.
    pub key: StepKey,
    /// Ranges of groups, first and last; empty if the step has ended.
    pub groups: Vec<(Group, Group)>,
}

impl NeededGroups {
    /// Returns whether the bodies of a group are needed.
    pub fn contains(&self, group: Group) -> bool {
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
    /// Answers an audit.
    pub fn audit(&self, audit: &Audit) -> AuditReply {
        let lacking = match audit {
            Audit { present, .. } if present.is_empty() => Vec::new(),
            Audit { leaving: true, .. } => self.lacking_without(audit),
            _ => self.lacking_for_owner(audit),
        };
        let wanted = audit.holds.iter().map(|key| self.needed_groups(key)).collect();
        AuditReply { lacking, wanted }
    }

    /// Lists bodies that have fewer present holders than possible: those of the steps of the
    /// entry's session, and those in batches of steps that were closed. The latter have no owner,
    /// so the first present holder of each repairs it.
    fn lacking_for_owner(&self, audit: &Audit) -> Vec<UnderReplicated> {
        let is_first = |record: &Record| {
            let first = holders(record).iter().find(|holder| audit.present.contains(holder));
            first.is_some_and(|first| first.node == audit.node)
        };
        self.under_replicated(audit, |key, record| match self.steps.get(key) {
            Some(step) => step.owner == Some(audit.session),
            None => is_first(record),
        })
    }

    /// Lists bodies that the entry holds and that have too few holders without it, whichever
    /// session owns their steps.
    fn lacking_without(&self, audit: &Audit) -> Vec<UnderReplicated> {
        let is_here =
            |record: &Record| holders(record).iter().any(|holder| holder.node == audit.node);
        self.under_replicated(audit, |_, record| is_here(record))
    }

    /// Lists the bodies with too few present holders that concern the entry.
    fn under_replicated(
        &self,
        audit: &Audit,
        concerns: impl Fn(&StepKey, &Record) -> bool,
    ) -> Vec<UnderReplicated> {
        let present: BTreeSet<&Holder> = audit.present.iter().collect();
        let required = HOLDERS_PER_BODY.min(present.len());
        let has_too_few = |record: &Record| {
            let holders = holders(record);
            let remaining = holders.iter().filter(|holder| present.contains(holder)).count();
            !holders.is_empty() && remaining < required
        };
        let is_listed =
            |key: &StepKey, record: &Record| has_too_few(record) && concerns(key, record);
        let mut found = Vec::new();
        let batches = self.deliveries.values().filter_map(|delivery| delivery.batch.as_ref());
        for (key, group, number, record) in batches.flat_map(|batch| &batch.samples) {
            if found.len() < MAX_LACKING && is_listed(key, record) {
                found.push(under_replicated_body((key, *group, *number), record, true));
            }
        }
        for (key, step) in &self.steps {
            for (number, group) in (0..).map(Group).zip(&step.groups) {
                if found.len() >= MAX_LACKING {
                    return found;
                }
                let done = group.done.iter().filter(|(_, record)| is_listed(key, record));
                found.extend(
                    done.map(|(no, record)| {
                        under_replicated_body((key, number, *no), record, false)
                    }),
                );
            }
        }
        found
    }

    /// Lists the groups of a step that are not acknowledged. A batch outlives the closing of its
    /// step: the trainer may still pull it again.
    fn needed_groups(&self, key: &StepKey) -> NeededGroups {
        let mut needed = NeededGroups { key: key.clone(), ..NeededGroups::default() };
        let delivery = self.deliveries.get(&key.workspace);
        if let Some(step) = self.steps.get(key) {
            let acked = delivery.map(|delivery| delivery.acked).unwrap_or_default();
            for (number, group) in (0..).map(Group).zip(&step.groups) {
                if group.batch.is_none_or(|batch| batch > acked) {
                    needed.add(number);
                }
            }
            return needed;
        }
        let batch = delivery.and_then(|delivery| delivery.batch.as_ref());
        let samples = batch.iter().flat_map(|batch| &batch.samples);
        let groups: BTreeSet<Group> =
            samples.filter(|(step_key, ..)| step_key == key).map(|(_, group, ..)| *group).collect();
        groups.into_iter().for_each(|group| needed.add(group));
        needed
    }
}

fn under_replicated_body(
    sample: (&StepKey, Group, SampleNo),
    record: &Record,
    sealed: bool,
) -> UnderReplicated {
    let (key, group, number) = sample;
    let name = BodyName { key: key.clone(), group, number, digest: record.digest };
    UnderReplicated { name, from: holders(record).to_vec(), sealed }
}

fn holders(record: &Record) -> &[Holder] {
    match &record.body {
        Body::Inline(_) => &[],
        Body::Held(holders) => holders,
    }
}
