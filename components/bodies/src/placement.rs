//! The choice of the processes that hold a body.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use chicoryford_ledger::BodyName;
use chicoryford_ledger::HOLDERS_PER_BODY;
use chicoryford_types::DataCentre;
use chicoryford_types::Fingerprint;
use chicoryford_types::Node;

/// Bodies of at most this many bytes stay in the ledger. A held body costs the log its digest and
/// holders, and three calls between entries, which is not worthwhile for a small body
/// (docs/STEPS.md).
pub const MAX_INLINE_BYTES: usize = 2 << 10;

/// A process that may hold bodies.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// The process.
    pub node: Node,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// Returns whether a body should be stored in the ledger: it is small, or there are too few
/// processes to hold it safely.
pub fn is_inline(size: usize, candidates: usize) -> bool {
    size <= MAX_INLINE_BYTES || candidates < HOLDERS_PER_BODY
}

/// Lists the processes that should hold a body in addition to the current holders, best first.
///
/// The order is that of a rendezvous hash of process, step, group and sample. Every entry computes
/// the same order without a message, and a process that joins or leaves moves only its share of the
/// bodies. The first process of each data centre without a copy precedes the others, so that the
/// loss of a whole data centre costs only one copy. Processes with equal hashes are ordered by
/// name.
pub fn rank_candidates(name: &BodyName, candidates: &[Candidate], holders: &[Node]) -> Vec<Node> {
    let sample = format!("{}\0{}\0{}", name.key.step, name.group, name.number);
    let score = |node: &Node| {
        Fingerprint::of(format!("{node}\0{}\0{sample}", name.key.workspace).as_bytes())
    };
    let is_holder = |candidate: &&Candidate| holders.contains(&candidate.node);
    let mut covered: BTreeSet<&DataCentre> =
        candidates.iter().filter(is_holder).map(|candidate| &candidate.data_centre).collect();
    let mut ranked: Vec<&Candidate> = candidates.iter().filter(|c| !is_holder(c)).collect();
    ranked
        .sort_by_cached_key(|candidate| (Reverse(score(&candidate.node)), candidate.node.clone()));
    let (mut new_centres, others): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|candidate| covered.insert(&candidate.data_centre));
    new_centres.extend(others);
    new_centres.into_iter().map(|candidate| candidate.node.clone()).collect()
}
