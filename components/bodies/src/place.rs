//! Chooses the processes that hold a body.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use chicoryford_ledger::BodyName;
use chicoryford_ledger::HOLDERS_PER_BODY;
use chicoryford_types::DataCentre;
use chicoryford_types::Fingerprint;
use chicoryford_types::Node;

/// Bodies of at most this many bytes stay in the ledger. A held body costs the log its digest and
/// holders and three calls between entries, which a small one does not repay (docs/STEPS.md).
pub const INLINE: usize = 2 << 10;

/// A process that may hold bodies.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// The process.
    pub node: Node,
    /// Where it stands.
    pub data_centre: DataCentre,
}

/// Tells whether a body belongs into the ledger: it is small, or there are too few processes to
/// hold it safely.
pub fn is_inline(size: usize, candidates: usize) -> bool {
    size <= INLINE || candidates < HOLDERS_PER_BODY
}

/// Lists the processes that should hold a body beside those that do, best first.
///
/// The order is that of a rendezvous hash of process, step, group and sample, so that every entry
/// comes to the same one without a message and a process that comes or goes moves only its share.
/// The first of each data centre in which no copy lies stand before the others: the loss of a
/// whole data centre then costs one copy. Equal hashes fall back to the names.
pub fn order(name: &BodyName, candidates: &[Candidate], kept: &[Node]) -> Vec<Node> {
    let place = format!("{}\0{}\0{}", name.key.step, name.group, name.number);
    let score = |node: &Node| {
        Fingerprint::of(format!("{node}\0{}\0{place}", name.key.workspace).as_bytes())
    };
    let is_kept = |candidate: &&Candidate| kept.contains(&candidate.node);
    let mut used: BTreeSet<&DataCentre> =
        candidates.iter().filter(is_kept).map(|candidate| &candidate.data_centre).collect();
    let mut ranked: Vec<&Candidate> = candidates.iter().filter(|c| !is_kept(c)).collect();
    ranked
        .sort_by_cached_key(|candidate| (Reverse(score(&candidate.node)), candidate.node.clone()));
    let (mut apart, beside): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|candidate| used.insert(&candidate.data_centre));
    apart.extend(beside);
    apart.into_iter().map(|candidate| candidate.node.clone()).collect()
}
