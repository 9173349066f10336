//! Whom to probe, whom to tell, whom to ask.

use std::net::SocketAddr;

use chicoryford_types::DataCentre;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use rand::Rng;
use rand::seq::SliceRandom;

use super::Swim;
use super::table::Entry;

/// Draws at random before all members are looked through in order.
const DRAWS: usize = 24;
/// One probe in this many goes outside while a loss in another data centre is looked into.
const FOCUSED: u64 = 2;

/// Members in shuffled order, each of them once before any of them again. Plain random choice
/// would leave some members without a probe for many times the mean.
#[derive(Default)]
pub(super) struct Rotation {
    order: Vec<Node>,
    next: usize,
}

impl Swim {
    /// Chooses whom to probe next.
    pub(super) fn next_target(&mut self, now: Millis) -> Option<(Node, SocketAddr)> {
        self.focus = self.focus.take().filter(|(_, until)| now < *until);
        let share = if self.focus.is_some() { FOCUSED } else { self.settings.across.max(1) };
        let far = self.random.random_range(0..share) == 0;
        if far && let Some(target) = self.focused() {
            return Some(target);
        }
        self.rotate(!far).or_else(|| self.rotate(far))
    }

    /// Chooses a member, not yet suspect, of the data centre in which one is suspect. The loss of
    /// a whole data centre shows within seconds that way, and not one member at a time.
    fn focused(&mut self) -> Option<(Node, SocketAddr)> {
        let (place, _) = self.focus.clone()?;
        self.draw(|entry| entry.standing == Standing::Alive && entry.member.data_centre == place)
    }

    fn rotate(&mut self, near: bool) -> Option<(Node, SocketAddr)> {
        let mut rotation = std::mem::take(if near { &mut self.near } else { &mut self.far });
        let mut found = self.advance(&mut rotation);
        if found.is_none() {
            rotation = self.shuffled(near);
            found = self.advance(&mut rotation);
        }
        *(if near { &mut self.near } else { &mut self.far }) = rotation;
        found
    }

    fn advance(&self, rotation: &mut Rotation) -> Option<(Node, SocketAddr)> {
        while let Some(node) = rotation.order.get(rotation.next) {
            rotation.next += 1;
            let entry = self.table.get(node).filter(|entry| entry.is_present());
            if let Some(address) = entry.and_then(|entry| entry.address) {
                return Some((node.clone(), address));
            }
        }
        None
    }

    fn shuffled(&mut self, near: bool) -> Rotation {
        let place: &DataCentre = &self.own.data_centre;
        let entries = self.table.iter().filter(|entry| entry.is_present());
        let entries = entries.filter(|entry| (entry.member.data_centre == *place) == near);
        let mut order: Vec<Node> = entries.map(|entry| entry.member.node.clone()).collect();
        order.shuffle(&mut self.random);
        Rotation { order, next: 0 }
    }

    /// Draws a member that is present, one of the own data centre if `near` and there is one.
    pub(super) fn pick_present(&mut self, near: bool) -> Option<(Node, SocketAddr)> {
        let place = self.own.data_centre.clone();
        let neighbour = |entry: &Entry| entry.is_present() && entry.member.data_centre == place;
        let found = if near { self.draw(neighbour) } else { None };
        found.or_else(|| self.draw(Entry::is_present))
    }

    /// Draws a member for which `wanted` holds.
    pub(super) fn draw(&mut self, wanted: impl Fn(&Entry) -> bool) -> Option<(Node, SocketAddr)> {
        let names = self.table.names();
        if names.is_empty() {
            return None;
        }
        let fits = |node: &Node| {
            let entry = self.table.get(node).filter(|entry| wanted(entry))?;
            entry.address.map(|address| (node.clone(), address))
        };
        for _ in 0..DRAWS {
            let index = self.random.random_range(0..names.len());
            if let Some(found) = fits(&names[index]) {
                return Some(found);
            }
        }
        let start = self.random.random_range(0..names.len());
        names[start..].iter().chain(&names[..start]).find_map(fits)
    }
}
