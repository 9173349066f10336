//! Bodies of samples that lie outside the ledger: their names and their holders.

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

/// Processes that hold a body. With three, the loss of any two VMs at once leaves one copy.
pub const HOLDERS_PER_BODY: usize = 3;
/// What a held body counts against the ledger's bound, in bytes. The same however many holders
/// there are, so that moving a body does not change the sum.
pub const HELD_BODY_SIZE: usize = 256;

/// One start of a process that holds bodies. A process that restarted has lost its copies, which
/// only its incarnation tells.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Holder {
    /// The process.
    pub node: Node,
    /// Its start.
    pub incarnation: Incarnation,
}

/// Names a sample's body. The digest alone would not do: two workspaces may have samples of the
/// same bytes, and the end of one would drop the other's.
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

/// Tells whether there are `HOLDERS` different processes in the list.
pub fn has_enough_holders(holders: &[Holder]) -> bool {
    let nodes: BTreeSet<&Node> = holders.iter().map(|holder| &holder.node).collect();
    nodes.len() >= HOLDERS_PER_BODY
}

impl Ledger {
    /// Names other holders of a body, if the record is still as the repairer saw it.
    ///
    /// Two repairers may work at once, the sample may have been run again or acknowledged
    /// meanwhile. Without the comparison the slower one would name holders that have dropped
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

    /// Opens the place of a sample whose bytes no holder has any more. One that is in a batch
    /// stays: the trainer may have it, and a batch never changes.
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

    /// Finds a record that waits to be handed out or acknowledged.
    fn find_record(&mut self, name: &BodyName) -> Option<&mut Record> {
        let BodyName { key, group, number, digest } = name;
        let open = self.steps.get_mut(key).and_then(|step| step.groups.get_mut(group.0 as usize));
        let open = open.and_then(|group| group.done.get_mut(number));
        if let Some(record) = open {
            return (record.digest == *digest).then_some(record);
        }
        let delivery = self.deliveries.get_mut(&key.workspace)?;
        let samples = delivery.batch.iter_mut().flat_map(|batch| &mut batch.samples);
        let place = |sample: &&mut (StepKey, _, _, Record)| {
            sample.0 == *key && sample.1 == *group && sample.2 == *number
        };
        let (.., record) = samples.into_iter().find(place)?;
        (record.digest == *digest).then_some(record)
    }
}
