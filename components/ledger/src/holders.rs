//! The bodies of samples that are stored outside the ledger: their names and their holders.

use std::collections::BTreeSet;

use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::SampleNo;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Body;
use crate::command::LedgerReply;
use crate::command::Record;
use crate::command::StepKey;
use crate::ledger::Ledger;

/// The number of processes that hold a body. With three, one copy survives the loss of any two VMs.
pub const HOLDERS_PER_BODY: usize = 3;
/// The bytes that a held body counts against the ledger's limit. The same for any number of
/// holders, so that a change of holders does not change the total.
pub const HELD_BODY_SIZE: usize = 256;

/// One run of a process that holds bodies. A process that restarted has lost its copies; only the
/// incarnation shows this.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Holder {
    /// The process.
    pub node: Node,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Names a sample's body. The digest alone is not sufficient: two workspaces may have samples with
/// the same bytes, and the end of one would drop the body of the other.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct BodyName {
    /// The step.
    pub key: StepKey,
    /// The group.
    pub group: Group,
    /// The sample.
    pub number: SampleNo,
    /// The digest of the bytes.
    pub digest: Digest,
}

/// Returns whether the list contains at least [`HOLDERS_PER_BODY`] different processes.
pub fn has_enough_holders(holders: &[Holder]) -> bool {
    let nodes: BTreeSet<&Node> = holders.iter().map(|holder| &holder.node).collect();
    nodes.len() >= HOLDERS_PER_BODY
}

impl Ledger {
    /// Replaces the holders of a body, if the record is still as the repairer expects.
    ///
    /// Two repairers may work concurrently, and the sample may have been run again or acknowledged
    /// meanwhile. Without the comparison, the slower repairer would name holders that have dropped
    /// their copies.
    pub(crate) fn replace_holders(
        &mut self,
        name: &BodyName,
        from: &[Holder],
        to: Vec<Holder>,
    ) -> LedgerReply {
        let nodes: BTreeSet<&Node> = to.iter().map(|holder| &holder.node).collect();
        if nodes.is_empty() || nodes.len() != to.len() {
            return LedgerReply::Undeliverable;
        }
        let Some(record) = self.find_record(name) else { return LedgerReply::Missing };
        match &mut record.body {
            Body::Held(holders) if *holders == to => LedgerReply::Reheld,
            Body::Held(holders) if holders == from => {
                *holders = to;
                LedgerReply::Reheld
            }
            _ => LedgerReply::Moved,
        }
    }

    /// Removes a sample whose bytes no holder has any more, so that it is run again. A sample in a
    /// batch stays: the trainer may have received it, and a batch never changes.
    pub(crate) fn reopen_lost(&mut self, name: &BodyName, from: &[Holder]) -> LedgerReply {
        let Some(step) = self.steps.get_mut(&name.key) else { return LedgerReply::Missing };
        let group = step.groups.get_mut(name.group.0 as usize);
        let Some(group) = group.filter(|group| group.batch.is_none()) else {
            return LedgerReply::Missing;
        };
        let Some(record) = group.done.get(&name.number) else { return LedgerReply::Missing };
        if record.digest != name.digest || record.body != Body::Held(from.to_vec()) {
            return LedgerReply::Moved;
        }
        let size = record.size();
        group.remove(name.number);
        self.bytes -= size;
        LedgerReply::Reopened
    }

    /// Finds a record that is not acknowledged yet.
    fn find_record(&mut self, name: &BodyName) -> Option<&mut Record> {
        let BodyName { key, group, number, digest } = name;
        let recorded =
            self.steps.get_mut(key).and_then(|step| step.groups.get_mut(group.0 as usize));
        let recorded = recorded.and_then(|group| group.done.get_mut(number));
        if let Some(record) = recorded {
            return (record.digest == *digest).then_some(record);
        }
        let delivery = self.deliveries.get_mut(&key.workspace)?;
        let samples = delivery.batch.iter_mut().flat_map(|batch| &mut batch.samples);
        let is_same = |sample: &&mut (StepKey, _, _, Record)| {
            sample.0 == *key && sample.1 == *group && sample.2 == *number
        };
        let (.., record) = samples.into_iter().find(is_same)?;
        (record.digest == *digest).then_some(record)
    }
}
