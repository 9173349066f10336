//! Selection of members to probe and to send to.

use std::net::SocketAddr;

use chicoryford_types::DataCentre;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use rand::Rng;
use rand::seq::SliceRandom;

use super::Swim;
use super::table::Entry;

/// Random attempts before all members are searched in order.
const RANDOM_ATTEMPTS: usize = 24;
/// One probe in this many goes to another data centre while a failure there is being investigated.
const FOCUSED_REMOTE_INTERVAL: u64 = 2;

/// Members in random order, each of which is probed once before any is probed again. Plain random
/// choice would leave some members without a probe for many times the mean interval.
#[derive(Default)]
pub(super) struct ProbeOrder {
    nodes: Vec<Node>,
    next: usize,
}

impl Swim {
    /// Returns the next member to probe.
    pub(super) fn next_target(&mut self, now: Millis) -> Option<(Node, SocketAddr)> {
        self.probe_focus = self.probe_focus.take().filter(|(_, until)| now < *until);
        let share = if self.probe_focus.is_some() {
            FOCUSED_REMOTE_INTERVAL
        } else {
            self.settings.remote_probe_interval.max(1)
        };
        let remote = self.random.random_range(0..share) == 0;
        if remote && let Some(target) = self.pick_in_focus() {
            return Some(target);
        }
        self.next_in_order(!remote).or_else(|| self.next_in_order(remote))
    }

    /// Returns an alive member of the data centre in which another one is suspect. The loss of a
    /// whole data centre is thereby detected within seconds instead of one member at a time.
    fn pick_in_focus(&mut self) -> Option<(Node, SocketAddr)> {
        let (data_centre, _) = self.probe_focus.clone()?;
        self.pick_random(|entry| {
            entry.standing == Standing::Alive && entry.member.data_centre == data_centre
        })
    }

    fn next_in_order(&mut self, local: bool) -> Option<(Node, SocketAddr)> {
        let mut order =
            std::mem::take(if local { &mut self.local_order } else { &mut self.remote_order });
        let mut found = self.advance(&mut order);
        if found.is_none() {
            order = self.shuffled(local);
            found = self.advance(&mut order);
        }
        *(if local { &mut self.local_order } else { &mut self.remote_order }) = order;
        found
    }

    fn advance(&self, order: &mut ProbeOrder) -> Option<(Node, SocketAddr)> {
        while let Some(node) = order.nodes.get(order.next) {
            order.next += 1;
            let entry = self.table.get(node).filter(|entry| entry.is_present());
            if let Some(address) = entry.and_then(|entry| entry.address) {
                return Some((node.clone(), address));
            }
        }
        None
    }

    fn shuffled(&mut self, local: bool) -> ProbeOrder {
        let data_centre: &DataCentre = &self.own.data_centre;
        let entries = self.table.iter().filter(|entry| entry.is_present());
        let entries = entries.filter(|entry| (entry.member.data_centre == *data_centre) == local);
        let mut nodes: Vec<Node> = entries.map(|entry| entry.member.node.clone()).collect();
        nodes.shuffle(&mut self.random);
        ProbeOrder { nodes, next: 0 }
    }

    /// Returns a random present member, from the own data centre if `local` is set and there is
    /// one.
    pub(super) fn pick_present(&mut self, local: bool) -> Option<(Node, SocketAddr)> {
        let data_centre = self.own.data_centre.clone();
        let is_local =
            |entry: &Entry| entry.is_present() && entry.member.data_centre == data_centre;
        let found = if local { self.pick_random(is_local) } else { None };
        found.or_else(|| self.pick_random(Entry::is_present))
    }

    /// Returns a random member that satisfies `matches`.
    pub(super) fn pick_random(
        &mut self,
        matches: impl Fn(&Entry) -> bool,
    ) -> Option<(Node, SocketAddr)> {
        let names = self.table.names();
        if names.is_empty() {
            return None;
        }
        let fits = |node: &Node| {
            let entry = self.table.get(node).filter(|entry| matches(entry))?;
            entry.address.map(|address| (node.clone(), address))
        };
        for _ in 0..RANDOM_ATTEMPTS {
            let index = self.random.random_range(0..names.len());
            if let Some(found) = fits(&names[index]) {
                return Some(found);
            }
        }
        let start = self.random.random_range(0..names.len());
        names[start..].iter().chain(&names[..start]).find_map(fits)
    }
}
