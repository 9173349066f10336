//! Data centres from which nothing is heard any more.
//!
//! When a whole data centre is lost, word of each of its members would fill all datagrams for
//! twenty seconds. Instead one piece of news says that the data centre is silent. Nobody takes
//! that on others' word: each process probes a few of its members itself, and only if these are
//! silent too, suspects all of them at once, without telling of each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::DataCentre;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;

use crate::message::Accusation;
use crate::message::Update;
use crate::swim::Action;
use crate::swim::Swim;

/// Members whose probes must have failed before this process itself finds a data centre silent.
const MISSES: usize = 4;
/// The same, after another process found it silent.
const CONFIRMING: usize = 2;
/// Suspects in one data centre at once that make this process look whether all of it is silent.
const SUSPECTS: usize = 3;
/// Milliseconds after which a look that came to nothing is repeated.
const LOOK_MS: u64 = 3_000;
/// Smaller data centres are left to the news of each member, which cost little there.
const LEAST_MEMBERS: usize = 8;
/// A data centre that was heard this many milliseconds ago is not silent.
const HEARD_MS: u64 = 2_000;

/// What this process knows of the silence of other data centres.
#[derive(Default)]
pub(super) struct Silences {
    heard: BTreeMap<DataCentre, Millis>,
    doubted: BTreeMap<DataCentre, Doubt>,
}

#[derive(Default)]
struct Doubt {
    since: Millis,
    /// News of its members, which are not sent before it is known whether all of it is silent.
    held: Vec<Accusation>,
    /// Members whose probes failed since the data centre was last heard.
    misses: BTreeSet<Node>,
    /// Whether there are signs beside own failed probes.
    is_said: bool,
    /// Whether another process found it silent.
    is_told: bool,
    /// Those that were suspected together; none while it is not taken for silent.
    suspects: Option<Vec<Node>>,
}

impl Silences {
    /// Tells whether a data centre is taken for silent.
    pub(super) fn has(&self, place: &DataCentre) -> bool {
        self.doubted.get(place).is_some_and(|doubt| doubt.suspects.is_some())
    }

    /// Forgets failed probes, after this process itself was frozen.
    pub(super) fn forgive(&mut self) {
        self.doubted.retain(|_, doubt| doubt.suspects.is_some());
    }
}

impl Swim {
    /// Notes that a member of some data centre was heard.
    pub(super) fn hear_place(&mut self, node: &Node, now: Millis) {
        let Some(place) = self.place_of(node).filter(|place| *place != self.own.data_centre) else {
            return;
        };
        let doubt = self.silences.doubted.remove(&place).unwrap_or_default();
        self.silences.heard.insert(place, now);
        self.release(doubt.held);
        for node in doubt.suspects.unwrap_or_default() {
            self.clear(&node, now);
        }
    }

    fn release(&mut self, held: Vec<Accusation>) {
        for accusation in held {
            if self.suspicions.contains_key(&accusation.node) {
                self.queue.add(Update::Accused(accusation));
            }
        }
    }

    /// Looks again where a look came to nothing, because this process itself heard nobody.
    pub(super) fn look_again(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let due = self.silences.doubted.iter().filter(|(_, doubt)| {
            doubt.is_said && doubt.suspects.is_none() && now.since(doubt.since) > LOOK_MS
        });
        let due: Vec<DataCentre> = due.map(|(place, _)| place.clone()).collect();
        for place in due {
            self.look(&place, now, actions);
        }
    }

    /// Holds news of a suspect back if so many in its data centre are suspect that all of it may
    /// be silent, and looks into it; returns whether they are held or no longer needed.
    pub(super) fn hold(
        &mut self,
        accusation: &Accusation,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(place) = self.place_of(&accusation.node) else { return false };
        if self.silences.has(&place) {
            return true;
        }
        if place == self.own.data_centre || self.is_heard(&place, now) {
            return false;
        }
        let is_doubted = self.silences.doubted.get(&place).is_some_and(|doubt| doubt.is_said);
        if !is_doubted {
            if !self.may_be_silent(&place) {
                return false;
            }
            self.look(&place, now, actions);
        }
        let doubt = self.silences.doubted.entry(place).or_default();
        doubt.held.push(accusation.clone());
        true
    }

    fn may_be_silent(&self, place: &DataCentre) -> bool {
        let suspects =
            self.suspicions.keys().filter(|node| self.place_of(node).as_ref() == Some(place));
        let present = self.table.iter().filter(|entry| entry.member.data_centre == *place);
        let present = present.filter(|entry| entry.is_present());
        suspects.count() >= SUSPECTS && present.take(LEAST_MEMBERS).count() == LEAST_MEMBERS
    }

    /// Probes a few members of a data centre at once.
    fn look(&mut self, place: &DataCentre, now: Millis, actions: &mut Vec<Action>) {
        let doubt = self.silences.doubted.entry(place.clone()).or_default();
        doubt.is_said = true;
        doubt.since = now;
        for _ in 0..CONFIRMING {
            self.probe_place(place, now, actions);
        }
    }

    fn is_heard(&self, place: &DataCentre, now: Millis) -> bool {
        let heard = self.silences.heard.get(place);
        heard.is_some_and(|heard| now.since(*heard) < HEARD_MS)
    }

    /// Lifts a suspicion that rests on the silence of the data centre alone.
    fn clear(&mut self, node: &Node, now: Millis) {
        let own = &self.own.node;
        if self.suspicions.get(node).is_some_and(|suspicion| suspicion.is_only_by(own)) {
            self.acquit(node, now);
        }
    }

    /// Notes that a probe of a member failed.
    pub(super) fn miss_place(&mut self, node: &Node, now: Millis) {
        let Some(place) = self.place_of(node).filter(|place| *place != self.own.data_centre) else {
            return;
        };
        let doubt = self.silences.doubted.entry(place.clone()).or_default();
        doubt.misses.insert(node.clone());
        let wanted = if doubt.is_said { CONFIRMING } else { MISSES };
        if doubt.suspects.is_none() && doubt.misses.len() >= wanted {
            self.fall_silent(place, now);
        }
    }

    /// Takes word that a data centre is silent.
    pub(super) fn take_silent(
        &mut self,
        place: DataCentre,
        by: Node,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if place == self.own.data_centre || by == self.own.node {
            return;
        }
        let is_heard = self.is_heard(&place, now);
        let doubt = self.silences.doubted.entry(place.clone()).or_default();
        if std::mem::replace(&mut doubt.is_told, true) {
            return;
        }
        if let Some(suspects) = doubt.suspects.clone() {
            self.confirm_silence(&suspects);
            return;
        }
        let is_looked_at = std::mem::replace(&mut doubt.is_said, true);
        if is_heard {
            // It may be so from now on; the next look tells, unless it is heard again.
            doubt.since = now;
            return;
        }
        // Spread at once; each receiver looks for itself before it acts on it.
        self.queue.add(Update::Silent { place: place.clone(), by });
        if !is_looked_at {
            self.look(&place, now, actions);
        }
    }

    fn confirm_silence(&mut self, suspects: &[Node]) {
        for node in suspects {
            if let Some(suspicion) = self.suspicions.get_mut(node) {
                suspicion.confirm_fully();
            }
        }
    }

    /// Suspects all members of a data centre.
    fn fall_silent(&mut self, place: DataCentre, now: Millis) {
        let members = self.table.iter().filter(|entry| entry.member.data_centre == place);
        let members: Vec<_> = members.filter(|entry| entry.is_present()).collect();
        if members.len() < LEAST_MEMBERS {
            return;
        }
        let alive = members.iter().filter(|entry| entry.standing == Standing::Alive);
        let accusations: Vec<Accusation> = alive
            .map(|entry| Accusation {
                node: entry.member.node.clone(),
                incarnation: entry.member.incarnation,
                announced: entry.announced.max(entry.accused),
                standing: Standing::Suspect,
                by: self.own.node.clone(),
            })
            .collect();
        let all: Vec<Node> = members.iter().map(|entry| entry.member.node.clone()).collect();
        for accusation in &accusations {
            self.suspect(accusation, now);
        }
        tracing::warn!(event = "data_centre_silent", %place, members = all.len());
        self.queue.drop_standing(&all);
        self.queue.add(Update::Silent { place: place.clone(), by: self.own.node.clone() });
        let suspects: Vec<Node> = accusations.into_iter().map(|a| a.node).collect();
        let doubt = self.silences.doubted.entry(place).or_default();
        doubt.suspects = Some(suspects.clone());
        doubt.held.clear();
        if doubt.is_told {
            self.confirm_silence(&suspects);
        }
    }

    /// Gives the members whose probes failed since their data centre was heard.
    pub(super) fn missed(&self, place: &DataCentre) -> BTreeSet<Node> {
        let doubt = self.silences.doubted.get(place);
        doubt.map(|doubt| doubt.misses.clone()).unwrap_or_default()
    }

    /// Tells whether news of each member are not needed, because its data centre is silent.
    pub(super) fn is_silent(&self, node: &Node) -> bool {
        self.table.get(node).is_some_and(|entry| self.silences.has(&entry.member.data_centre))
    }

    fn place_of(&self, node: &Node) -> Option<DataCentre> {
        self.table.get(node).map(|entry| entry.member.data_centre.clone())
    }
}
