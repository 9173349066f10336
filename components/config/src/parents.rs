//! Chooses the parent that a process follows.

use std::collections::BTreeMap;

use chicoryford_types::Digest;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Node;

/// Processes that refused, were silent or were behind, each with the time until which it is not
/// chosen as parent.
#[derive(Clone, Debug, Default)]
pub struct SkippedParents(BTreeMap<Node, Millis>);

impl SkippedParents {
    /// Skips a process until `until`.
    pub fn skip(&mut self, node: Node, until: Millis) {
        self.0.insert(node, until);
    }

    /// Returns whether a process is skipped at `now`.
    pub fn is_skipped(&self, node: &Node, now: Millis) -> bool {
        self.0.get(node).is_some_and(|until| *until > now)
    }

    /// Removes the entries that have expired.
    pub fn remove_expired(&mut self, now: Millis) {
        self.0.retain(|_, until| *until > now);
    }
}

/// Chooses the parent of `own` among `members`.
///
/// Agents follow entries, and entries follow control processes; without an entry, agents follow
/// control processes too. The nearest parent is preferred. Among equally near parents, rendezvous
/// hashing spreads the followers: when a parent is lost, only its own followers move, each to a
/// different parent. Returns `None` in a control process, and if no process is usable; the caller
/// then retries until a skipped process is usable again.
pub fn choose_parent<'a>(
    own: &Member,
    members: &'a Members,
    skipped: &SkippedParents,
    now: Millis,
) -> Option<&'a Member> {
    let others = || members.present().filter(|member| member.node != own.node);
    let usable = || others().filter(|member| !skipped.is_skipped(&member.node, now));
    if own.roles.control {
        return None;
    }
    let entries = usable().filter(|member| member.roles.entry && !own.roles.entry);
    let controls = || usable().filter(|member| member.roles.control);
    nearest(own, entries).or_else(|| nearest(own, controls()))
}

fn nearest<'a>(own: &Member, candidates: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    candidates
        .min_by_key(|member| (distance(own, member), rendezvous_weight(&own.node, &member.node)))
}

/// Returns the distance of a process: 0 in the same data centre, 1 in the same region, 2 elsewhere.
pub fn distance(own: &Member, other: &Member) -> u8 {
    if own.region != other.region { 2 } else { u8::from(own.data_centre != other.data_centre) }
}

fn rendezvous_weight(child: &Node, parent: &Node) -> Digest {
    Digest::of(format!("{child}/{parent}").as_bytes())
}
