//! Which process to follow.

use std::collections::BTreeMap;

use chicoryford_types::Digest;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Node;

/// Processes that refused, were silent or lay behind, each with the time until which it is
/// passed over.
#[derive(Clone, Debug, Default)]
pub struct Passed(BTreeMap<Node, Millis>);

impl Passed {
    /// Passes a process over until `until`.
    pub fn pass(&mut self, node: Node, until: Millis) {
        self.0.insert(node, until);
    }

    /// Tells whether a process is passed over.
    pub fn has(&self, node: &Node, now: Millis) -> bool {
        self.0.get(node).is_some_and(|until| *until > now)
    }

    /// Forgets what has ended.
    pub fn trim(&mut self, now: Millis) {
        self.0.retain(|_, until| *until > now);
    }
}

/// Chooses the parent of `own` among `members`.
///
/// Agents follow entries, entries follow control processes. Those nearest go first; among
/// equals rendezvous hashing spreads the followers, and when a parent is lost only its own
/// followers move, each to another place. None if nobody is left; then all that were passed
/// over are worth another try.
pub fn choose<'a>(
    own: &Member,
    members: &'a Members,
    passed: &Passed,
    now: Millis,
) -> Option<&'a Member> {
    let others = || members.present().filter(|member| member.node != own.node);
    let usable = || others().filter(|member| !passed.has(&member.node, now));
    if own.roles.control {
        return None;
    }
    let entries = usable().filter(|member| member.roles.entry && !own.roles.entry);
    let controls = || usable().filter(|member| member.roles.control);
    best(own, entries).or_else(|| best(own, controls()))
}

fn best<'a>(own: &Member, found: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    found.min_by_key(|member| (distance(own, member), weight(&own.node, &member.node)))
}

/// Tells how far a process is: the same data centre, the same region, or elsewhere.
pub fn distance(own: &Member, other: &Member) -> u8 {
    if own.region != other.region { 2 } else { u8::from(own.data_centre != other.data_centre) }
}

fn weight(child: &Node, parent: &Node) -> Digest {
    Digest::of(format!("{child}/{parent}").as_bytes())
}
