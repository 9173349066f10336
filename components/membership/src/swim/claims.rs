//! What others announce, accuse and refute, and which of two claims holds.

use std::sync::Arc;

use chicoryford_types::Member;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;

use super::Action;
use super::Swim;
use super::suspicion::Suspicion;
use crate::message::Accusation;
use crate::message::Update;

/// How long after a suspicion in another data centre its other members are probed first.
const FOCUS_MS: u64 = 10_000;

impl Swim {
    /// Takes one piece of news; `onward` tells whether it is to be spread further if it is new.
    pub(super) fn take(
        &mut self,
        update: Update,
        now: Millis,
        onward: bool,
        actions: &mut Vec<Action>,
    ) {
        match update {
            Update::Alive(member) => self.take_alive(member, now, onward, actions),
            Update::Refuted { .. } => self.take_refuted(update, now, onward),
            Update::Accused(accusation) => self.take_accused(accusation, now, onward, actions),
            Update::Silent { place, by } => self.take_silent(place, by, now, actions),
        }
    }

    /// Takes what a member announced of itself.
    pub(super) fn take_alive(
        &mut self,
        member: Arc<Member>,
        now: Millis,
        onward: bool,
        actions: &mut Vec<Action>,
    ) {
        if member.node == self.own.node {
            self.meet_namesake(&member, actions);
            return;
        }
        if !self.is_newer(&member) {
            return;
        }
        let restarted = self.incarnation_grew(&member);
        let (node, announced) = (member.node.clone(), member.announced);
        self.table.put(member.clone(), now);
        let entry = self.table.get(&node);
        let refutes = entry.is_some_and(|entry| announced > entry.accused) || restarted;
        if refutes {
            self.acquit(&node, now);
        }
        self.changed = true;
        if onward {
            self.queue.add(Update::Alive(member));
        }
    }

    fn is_newer(&self, member: &Member) -> bool {
        let Some(entry) = self.table.get(&member.node) else {
            return self.table.past(member).is_none();
        };
        if member.incarnation != entry.member.incarnation {
            return member.incarnation > entry.member.incarnation;
        }
        entry.standing != Standing::Left && member.announced > entry.announced
    }

    fn incarnation_grew(&self, member: &Member) -> bool {
        let held = self.table.get(&member.node).map(|entry| entry.member.incarnation);
        held.is_some_and(|held| member.incarnation > held)
    }

    fn take_refuted(&mut self, update: Update, now: Millis, onward: bool) {
        let Update::Refuted { node, incarnation, announced, content } = &update else { return };
        let Some(entry) = self.table.get(node) else { return };
        let same = entry.member.incarnation == *incarnation && entry.member.announced >= *content;
        if !same || *announced <= entry.announced || entry.standing == Standing::Left {
            return;
        }
        let refutes = *announced > entry.accused;
        let node = node.clone();
        self.table.refute(&node, *announced);
        if refutes {
            self.acquit(&node, now);
        }
        if onward {
            self.queue.add(update);
        }
    }

    pub(super) fn acquit(&mut self, node: &Node, now: Millis) {
        self.suspicions.remove(node);
        let standing = self.table.get(node).map(|entry| entry.standing);
        if standing.is_some_and(|standing| standing != Standing::Alive) {
            self.table.stand(node, Standing::Alive, 0, now);
            self.changed = true;
        }
    }

    /// Takes an accusation.
    ///
    /// Death said by others counts as a full confirmation, never as death itself: each process
    /// waits the least time by its own clock, so that the accused can refute. A process that was
    /// isolated and comes back with many dead in its view would otherwise make everyone drop
    /// members that are well.
    pub(super) fn take_accused(
        &mut self,
        accusation: Accusation,
        now: Millis,
        onward: bool,
        actions: &mut Vec<Action>,
    ) {
        if accusation.node == self.own.node {
            self.refute(&accusation, actions);
            return;
        }
        let Some(entry) = self.table.get(&accusation.node) else { return };
        if accusation.incarnation != entry.member.incarnation
            || accusation.announced < entry.announced
            || entry.standing >= Standing::Dead
        {
            return;
        }
        match accusation.standing {
            Standing::Alive => {}
            Standing::Left => self.take_left(accusation, now, onward),
            Standing::Dead if !onward => self.take_dead(&accusation, now),
            Standing::Suspect | Standing::Dead => {
                self.take_suspected(accusation, now, onward, actions);
            }
        }
    }

    fn take_left(&mut self, accusation: Accusation, now: Millis, onward: bool) {
        if accusation.by != accusation.node {
            return;
        }
        self.suspicions.remove(&accusation.node);
        self.table.stand(&accusation.node, Standing::Left, accusation.announced, now);
        self.changed = true;
        tracing::info!(event = "member_left", node = %accusation.node);
        if onward {
            self.queue.add(Update::Accused(accusation));
        }
    }

    /// Takes a member for dead on the word of the page that first named it: who joins has no view
    /// of its own yet, and would otherwise send work to all who died of late.
    fn take_dead(&mut self, accusation: &Accusation, now: Millis) {
        self.suspicions.remove(&accusation.node);
        self.table.stand(&accusation.node, Standing::Dead, accusation.announced, now);
        self.changed = true;
    }

    fn take_suspected(
        &mut self,
        accusation: Accusation,
        now: Millis,
        onward: bool,
        actions: &mut Vec<Action>,
    ) {
        let dead = accusation.standing == Standing::Dead;
        let first = !self.suspicions.contains_key(&accusation.node);
        if first {
            self.suspect(&accusation, now);
        }
        let mut confirmed = false;
        if let Some(suspicion) = self.suspicions.get_mut(&accusation.node) {
            confirmed = suspicion.confirm(&accusation.by);
            if dead {
                suspicion.confirm_fully();
            }
        }
        if !onward || !(first || confirmed) || self.hold(&accusation, now, actions) {
            return;
        }
        if first {
            self.queue.add(Update::Accused(accusation));
        } else {
            // Who misses a confirmation waits a little longer, no more.
            let spent = self.repeats() / 3;
            self.queue.add_spent(Update::Accused(accusation), spent);
        }
    }

    /// Begins to suspect a member.
    pub(super) fn suspect(&mut self, accusation: &Accusation, now: Millis) {
        let node = &accusation.node;
        let others = self.table.present().saturating_sub(1);
        let scale = ((others + 2) as f64).log10().max(1.0);
        let least = (self.settings.suspicion * self.settings.probe_ms) as f64 * scale;
        let least = least as u64;
        let most = least * self.settings.patience;
        let wanted = self.settings.confirmations.min(others);
        let suspicion = Suspicion::new(accusation.by.clone(), wanted, least, most, now);
        self.suspicions.insert(node.clone(), suspicion);
        self.table.stand(node, Standing::Suspect, accusation.announced, now);
        self.changed = true;
        tracing::debug!(event = "member_suspect", %node, by = %accusation.by);
        let place = self.table.get(node).map(|entry| entry.member.data_centre.clone());
        if let Some(place) = place.filter(|place| *place != self.own.data_centre) {
            self.focus = Some((place, now + FOCUS_MS));
        }
    }

    /// Declares dead whoever did not refute in time.
    pub(super) fn judge(&mut self, now: Millis) {
        let due = self.suspicions.iter().filter(|(_, suspicion)| now >= suspicion.deadline());
        let due: Vec<Node> = due.map(|(node, _)| node.clone()).collect();
        for node in due {
            let Some(suspicion) = self.suspicions.remove(&node) else { continue };
            if !suspicion.is_ripe(now) {
                self.break_promise("no_death_before_least_time", &node);
            }
            let accused = self.table.get(&node).map_or(0, |entry| entry.accused);
            self.table.stand(&node, Standing::Dead, accused, now);
            self.changed = true;
            tracing::info!(event = "member_dead", %node);
            // All decide by their own clocks; only the accusers tell those who missed it.
            let witness = suspicion.is_by(&self.own.node) && !self.is_silent(&node);
            if let Some(accusation) = self.accusation(&node).filter(|_| witness) {
                self.queue.add(Update::Accused(accusation));
            }
        }
    }

    /// Gives what this process itself holds against a member.
    pub(super) fn accusation(&self, node: &Node) -> Option<Accusation> {
        let entry = self.table.get(node).filter(|entry| entry.standing != Standing::Alive)?;
        let by = match entry.standing {
            Standing::Left => node.clone(),
            _ => self.own.node.clone(),
        };
        Some(Accusation {
            node: node.clone(),
            incarnation: entry.member.incarnation,
            announced: entry.announced.max(entry.accused),
            standing: entry.standing,
            by,
        })
    }
}
