//! On which store VMs the parts of steps lie, and when there are too few copies.
//!
//! The log of the control processes holds what must be agreed on, which is small. Bodies and
//! texts are large, are written once and never changed, so copies of them lie on as many store
//! VMs as may be lost at once, and one more; the log says on which.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::policy::Policy;

/// Identifies a part; drawn by the leader that wrote it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct PartId(pub u64);

/// A store VM together with the identity of its data folder: one that lost its disk is another.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct StoreId {
    /// The VM.
    pub node: String,
    /// The identity of its folder.
    pub identity: u64,
}

/// Where a part lies.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Placement {
    /// In the log itself, because there were too few stores when it was written.
    Inline(Bytes),
    /// On these stores.
    Stores(BTreeSet<StoreId>),
}

/// Milliseconds for which a store that is not connected still counts. Stores come back a fraction
/// of a second after the leader changed; one that is down for longer may be gone for good.
const ABSENT_MS: u64 = 2_500;

/// What is known of a store.
#[derive(Clone, Debug)]
struct Known {
    identity: u64,
    data_centre: String,
    /// Where it gives parts.
    address: SocketAddr,
    connected: bool,
    seen: Millis,
    puts: u64,
}

/// The store VMs as the leader sees them.
#[derive(Debug, Default)]
pub struct Stores {
    /// The leader's data centre.
    data_centre: String,
    known: BTreeMap<String, Known>,
    began: Millis,
    policy: Policy,
}

impl Stores {
    /// Starts to look at stores from a data centre; for a while, those that are not seen yet still
    /// count.
    pub fn new(here: &str, now: Millis) -> Self {
        Self { data_centre: here.to_owned(), began: now, ..Self::default() }
    }

    /// Chooses with these mechanisms.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Notes that a store has connected.
    pub fn connected(
        &mut self,
        id: StoreId,
        data_centre: String,
        address: SocketAddr,
        now: Millis,
    ) {
        let puts = self.known.get(&id.node).map_or(0, |known| known.puts);
        let (identity, connected, seen) = (id.identity, true, now);
        let known = Known { identity, data_centre, address, connected, seen, puts };
        self.known.insert(id.node, known);
    }

    /// Notes that a store's connection has ended.
    pub fn disconnected(&mut self, id: &StoreId, now: Millis) {
        let known = self.known.get_mut(&id.node).filter(|known| known.identity == id.identity);
        if let Some(known) = known {
            known.connected = false;
            known.seen = now;
        }
    }

    /// Tells whether a copy on a store still counts.
    pub fn is_counted(&self, id: &StoreId, now: Millis) -> bool {
        match self.known.get(&id.node) {
            Some(known) if known.identity != id.identity => false,
            Some(known) => known.connected || now.since(known.seen) < ABSENT_MS,
            None => now.since(self.began) < ABSENT_MS,
        }
    }

    /// Tells whether a store can be asked now.
    pub fn is_connected(&self, id: &StoreId) -> bool {
        let known = self.known.get(&id.node);
        known.is_some_and(|known| known.connected && known.identity == id.identity)
    }

    /// Chooses stores for a new copy, best first: other data centres than those that have one, of
    /// these the leader's own, then those that were given the fewest. Spread evenly, four of six
    /// copies would cross to another data centre, and with one near it is three; what is read again
    /// is near as well.
    pub fn choose(&self, have: &BTreeSet<StoreId>, avoid: &BTreeSet<String>) -> Vec<StoreId> {
        let nodes: BTreeSet<&str> = have.iter().map(|id| id.node.as_str()).collect();
        let mut used: BTreeSet<&str> = nodes
            .iter()
            .filter_map(|node| self.known.get(*node))
            .map(|known| known.data_centre.as_str())
            .collect();
        let mut fit: Vec<(&String, &Known)> = self
            .known
            .iter()
            .filter(|(node, known)| {
                known.connected && !nodes.contains(node.as_str()) && !avoid.contains(*node)
            })
            .collect();
        fit.sort_by_key(|(node, known)| (self.is_far(known), known.puts, *node));
        let (mut apart, beside): (Vec<_>, Vec<_>) =
            fit.into_iter().partition(|(_, known)| used.insert(&known.data_centre));
        apart.extend(beside);
        let id = |(node, known): (&String, &Known)| StoreId {
            node: node.clone(),
            identity: known.identity,
        };
        apart.into_iter().map(id).collect()
    }

    /// Gives the stores that can be asked for a part now, nearest first.
    pub fn holders(&self, stores: &BTreeSet<StoreId>) -> Vec<StoreId> {
        let mut live: Vec<StoreId> =
            stores.iter().filter(|id| self.is_connected(id)).cloned().collect();
        live.sort_by_key(|id| self.known.get(&id.node).is_none_or(|known| self.is_far(known)));
        live
    }

    /// Gives where a part can be read in a data centre, if a copy lies there.
    pub fn address_in(&self, place: &Placement, data_centre: &str) -> Option<SocketAddr> {
        let Placement::Stores(stores) = place else { return None };
        let live = stores.iter().filter(|id| self.is_connected(id));
        let mut known = live.filter_map(|id| self.known.get(&id.node));
        known.find(|known| known.data_centre == data_centre).map(|known| known.address)
    }

    fn is_far(&self, known: &Known) -> bool {
        self.policy.near_copies && known.data_centre != self.data_centre
    }

    /// Counts a copy that a store was given.
    pub fn record_put(&mut self, id: &StoreId) {
        if let Some(known) = self.known.get_mut(&id.node) {
            known.puts += 1;
        }
    }

    /// Counts the stores that are connected and that `fits` names.
    pub fn count(&self, fits: impl Fn(&str) -> bool) -> usize {
        self.known.iter().filter(|(node, known)| known.connected && fits(node)).count()
    }

    /// Tells whether a store VM is known.
    pub fn is_known(&self, node: &str) -> bool {
        self.known.contains_key(node)
    }

    /// Finds the copies of a part that count, leaving out stores that are to be emptied.
    pub fn counted_copies(
        &self,
        place: &Placement,
        leaving: &BTreeSet<String>,
        now: Millis,
    ) -> BTreeSet<StoreId> {
        match place {
            Placement::Inline(_) => BTreeSet::new(),
            Placement::Stores(stores) => stores
                .iter()
                .filter(|id| self.is_counted(id, now) && !leaving.contains(&id.node))
                .cloned()
                .collect(),
        }
    }
}
