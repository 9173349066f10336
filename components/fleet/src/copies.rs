//! Placement of parts on store VMs, and detection of parts with too few copies.
//!
//! The log of the control processes contains only what must be agreed on, which is small. Bodies
//! and texts are large, written once and never changed. They are therefore stored on one more store
//! VM than the number that may be lost at the same time, and the log records on which.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::policy::Policy;

/// The id of a part, chosen at random by the leader that wrote it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct PartId(pub u64);

/// A store VM and the identity of its data folder. A store that lost its disk gets another
/// identity.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct StoreId {
    /// The VM.
    pub node: String,
    /// The identity of its data folder.
    pub identity: u64,
}

/// Why a store VM cannot be retired.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoreShortage {
    /// The number of stores that are running, without the one to be retired.
    pub left: usize,
    /// The number of stores that must be running besides the one to be retired.
    pub needed: usize,
}

impl StoreShortage {
    /// Checks whether a store may be retired while `left` others are running. Each part is on one
    /// more store than the number of VMs that may be lost, so that many must remain to take its
    /// parts.
    pub fn after_retirement(left: usize, tolerated: u32) -> Option<Self> {
        let needed = tolerated as usize + 1;
        (left < needed).then_some(Self { left, needed })
    }
}

/// Where a part is stored.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Placement {
    /// In the log, because too few stores were available when it was written.
    Inline(Bytes),
    /// On these stores.
    Stores(BTreeSet<StoreId>),
}

/// Milliseconds for which the copies of a disconnected store still count. Stores reconnect within a
/// fraction of a second after a change of leader; a store that stays disconnected for longer may be
/// lost permanently.
const ABSENCE_TIMEOUT_MS: u64 = 2_500;

/// What the leader knows about a store.
#[derive(Clone, Debug)]
struct StoreInfo {
    identity: u64,
    data_centre: String,
    /// The address at which parts can be read.
    address: SocketAddr,
    connected: bool,
    /// When it last connected or disconnected.
    seen: Millis,
    /// Copies written to it.
    puts: u64,
}

/// The store VMs known to the leader.
#[derive(Debug, Default)]
pub struct Stores {
    /// The data centre of the leader.
    data_centre: String,
    known: BTreeMap<String, StoreInfo>,
    /// When the leader was elected.
    started: Millis,
    policy: Policy,
}

impl Stores {
    /// Creates the set of stores for a leader in a data centre. Stores that have not connected yet
    /// still count for some time.
    pub fn new(data_centre: &str, now: Millis) -> Self {
        Self { data_centre: data_centre.to_owned(), started: now, ..Self::default() }
    }

    /// Sets which mechanisms are enabled.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Records that a store has connected.
    pub fn connected(
        &mut self,
        id: StoreId,
        data_centre: String,
        address: SocketAddr,
        now: Millis,
    ) {
        let puts = self.known.get(&id.node).map_or(0, |known| known.puts);
        let (identity, connected, seen) = (id.identity, true, now);
        let known = StoreInfo { identity, data_centre, address, connected, seen, puts };
        self.known.insert(id.node, known);
    }

    /// Records that a store has disconnected.
    pub fn disconnected(&mut self, id: &StoreId, now: Millis) {
        let known = self.known.get_mut(&id.node).filter(|known| known.identity == id.identity);
        if let Some(known) = known {
            known.connected = false;
            known.seen = now;
        }
    }

    /// Returns whether copies on a store still count.
    pub fn is_counted(&self, id: &StoreId, now: Millis) -> bool {
        match self.known.get(&id.node) {
            Some(known) if known.identity != id.identity => false,
            Some(known) => known.connected || now.since(known.seen) < ABSENCE_TIMEOUT_MS,
            None => now.since(self.started) < ABSENCE_TIMEOUT_MS,
        }
    }

    /// Returns whether a store can be called now.
    pub fn is_connected(&self, id: &StoreId) -> bool {
        let known = self.known.get(&id.node);
        known.is_some_and(|known| known.connected && known.identity == id.identity)
    }

    /// Returns the stores for a new copy, best first: those in data centres without a copy,
    /// starting with the data centre of the leader, then those with the fewest writes. With an even
    /// distribution, four of six copies would be sent to another data centre; with one copy nearby,
    /// only three are, and later reads are local as well.
    pub fn choose(&self, holders: &BTreeSet<StoreId>, avoid: &BTreeSet<String>) -> Vec<StoreId> {
        let nodes: BTreeSet<&str> = holders.iter().map(|id| id.node.as_str()).collect();
        let mut used_data_centres: BTreeSet<&str> = nodes
            .iter()
            .filter_map(|node| self.known.get(*node))
            .map(|known| known.data_centre.as_str())
            .collect();
        let mut available: Vec<(&String, &StoreInfo)> = self
            .known
            .iter()
            .filter(|(node, known)| {
                known.connected && !nodes.contains(node.as_str()) && !avoid.contains(*node)
            })
            .collect();
        available.sort_by_key(|(node, known)| (self.is_far(known), known.puts, *node));
        let (mut other_data_centres, same_data_centres): (Vec<_>, Vec<_>) = available
            .into_iter()
            .partition(|(_, known)| used_data_centres.insert(&known.data_centre));
        other_data_centres.extend(same_data_centres);
        let id = |(node, known): (&String, &StoreInfo)| StoreId {
            node: node.clone(),
            identity: known.identity,
        };
        other_data_centres.into_iter().map(id).collect()
    }

    /// Returns the stores from which a part can be read now, nearest first.
    pub fn holders(&self, stores: &BTreeSet<StoreId>) -> Vec<StoreId> {
        let mut connected: Vec<StoreId> =
            stores.iter().filter(|id| self.is_connected(id)).cloned().collect();
        connected.sort_by_key(|id| self.known.get(&id.node).is_none_or(|known| self.is_far(known)));
        connected
    }

    /// Returns the address at which a part can be read within a data centre, if a copy is stored
    /// there.
    pub fn address_in(&self, placement: &Placement, data_centre: &str) -> Option<SocketAddr> {
        let Placement::Stores(stores) = placement else { return None };
        let connected = stores.iter().filter(|id| self.is_connected(id));
        let mut known = connected.filter_map(|id| self.known.get(&id.node));
        known.find(|known| known.data_centre == data_centre).map(|known| known.address)
    }

    fn is_far(&self, known: &StoreInfo) -> bool {
        self.policy.near_copies && known.data_centre != self.data_centre
    }

    /// Records that a copy was written to a store.
    pub fn record_put(&mut self, id: &StoreId) {
        if let Some(known) = self.known.get_mut(&id.node) {
            known.puts += 1;
        }
    }

    /// Returns the number of connected stores for which `fits` returns true.
    pub fn count(&self, fits: impl Fn(&str) -> bool) -> usize {
        self.known.iter().filter(|(node, known)| known.connected && fits(node)).count()
    }

    /// Returns whether a store VM is known.
    pub fn is_known(&self, node: &str) -> bool {
        self.known.contains_key(node)
    }

    /// Returns the copies of a part that count, except those on stores that are to be emptied.
    pub fn counted_copies(
        &self,
        placement: &Placement,
        leaving: &BTreeSet<String>,
        now: Millis,
    ) -> BTreeSet<StoreId> {
        match placement {
            Placement::Inline(_) => BTreeSet::new(),
            Placement::Stores(stores) => stores
                .iter()
                .filter(|id| self.is_counted(id, now) && !leaving.contains(&id.node))
                .cloned()
                .collect(),
        }
    }
}
