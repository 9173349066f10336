//! What this process says of itself, and how it answers what others say of it.

use std::sync::Arc;

use chicoryford_types::EndpointInfo;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Millis;
use chicoryford_types::Position;
use chicoryford_types::Standing;
use rand::Rng;

use super::Action;
use super::Swim;
use crate::message::Accusation;
use crate::message::Update;

/// Leaves the position out of what spreads.
///
/// With 4,400 changes of configuration a day, each of 1,990 members would spread 4,400 positions
/// a day to all others: about 100 announcements a second at everyone, thirty times the budget.
/// The tree that carries configuration already passes positions upward.
pub(super) fn without_position(member: Member) -> Member {
    Member { position: Position::default(), ..member }
}

/// Tells whether nothing changed but that weight versions rose.
///
/// Each new version of weights changes every sampler's announcement within seconds; spread like
/// other changes, this alone would be over the budget. Load reports carry versions to whoever
/// sends work there, and an order that is repeated does no harm, so these may wait.
fn only_versions_rose(before: &Member, after: &Member) -> bool {
    let (Some(old), Some(new)) = (&before.endpoint, &after.endpoint) else { return false };
    let same_models = old.models.keys().eq(new.models.keys());
    let rose = old.models.values().zip(new.models.values()).all(|(old, new)| old <= new);
    let endpoint = EndpointInfo { models: new.models.clone(), ..old.clone() };
    let rest = Member { endpoint: Some(endpoint), ..before.clone() };
    same_models && rose && rest == *after
}

impl Swim {
    /// Takes this process's own announcement after it may have changed.
    pub(super) fn change_own(&mut self, member: Member, now: Millis, actions: &mut Vec<Action>) {
        let offered = member.announced;
        let member = without_position(member);
        let like_held = Member {
            announced: self.own.announced,
            incarnation: self.own.incarnation,
            ..member.clone()
        };
        if like_held == *self.own {
            self.pending = None;
            return;
        }
        self.changed = true;
        if only_versions_rose(&self.own, &like_held) {
            self.pending = Some(member);
            self.spread_versions(now, actions);
            return;
        }
        self.spread_own(member, offered, actions);
    }

    /// Spreads versions that rose, if it is their turn.
    pub(super) fn spread_versions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.pending.is_none() {
            return;
        }
        let turn = self.settings.version_ms * (self.table.present() as u64 + 1);
        // All samplers get new versions together; their first turns are spread out.
        let first = self.random.random_range(0..=turn);
        let due = *self.versions_due.get_or_insert(now + first);
        if now < due {
            return;
        }
        let Some(member) = self.pending.take() else { return };
        self.versions_due = Some(now + turn);
        let offered = member.announced;
        self.spread_own(member, offered, actions);
    }

    fn spread_own(&mut self, member: Member, offered: u64, actions: &mut Vec<Action>) {
        self.pending = None;
        let announced = offered.max(self.announced + 1);
        let incarnation = self.own.incarnation;
        self.announced = announced;
        self.own = Arc::new(Member { announced, incarnation, ..member });
        self.changed = true;
        self.queue.add(Update::Alive(self.own.clone()));
        if announced > offered {
            actions.push(Action::Renumber { incarnation, announced });
        }
    }

    /// Answers an accusation against this process.
    pub(super) fn refute(&mut self, accusation: &Accusation, actions: &mut Vec<Action>) {
        if !self.settings.refute || self.leaving {
            return;
        }
        let incarnation = self.own.incarnation;
        if accusation.incarnation < incarnation {
            return;
        }
        let gone = accusation.standing == Standing::Left;
        if accusation.incarnation > incarnation || gone {
            self.outlive(accusation.incarnation, actions);
            return;
        }
        if accusation.announced < self.announced {
            return;
        }
        self.announced = accusation.announced + 1;
        if self.settings.local_health {
            self.health = (self.health + 1).min(self.settings.health);
        }
        if let Some(member) = self.pending.take() {
            // A higher number with the versions of before would look like a fall.
            self.spread_own(member, accusation.announced + 1, actions);
            return;
        }
        let announced = self.announced;
        tracing::info!(event = "accusation_refuted", by = %accusation.by, announced);
        self.queue.add(Update::Refuted {
            node: self.own.node.clone(),
            incarnation,
            announced,
            content: self.own.announced,
        });
        actions.push(Action::Renumber { incarnation, announced });
    }

    /// Takes an announcement under this process's own name.
    pub(super) fn meet_namesake(&mut self, member: &Member, actions: &mut Vec<Action>) {
        let own = &self.own;
        if member.incarnation < own.incarnation {
            return;
        }
        let foreign = member.gossip != own.gossip;
        if foreign {
            // Two processes with one name would outbid each other for ever; an operator must see.
            tracing::warn!(event = "name_taken", node = %own.node, other = %member.gossip);
        }
        if member.incarnation > own.incarnation || foreign {
            self.outlive(member.incarnation, actions);
        }
    }

    /// Takes an incarnation above one that others hold.
    ///
    /// The wall clock of a VM can stand behind that of its predecessor. The process would then
    /// start with a lower incarnation than the one that was declared dead, and nobody would see it.
    fn outlive(&mut self, other: Incarnation, actions: &mut Vec<Action>) {
        let incarnation = Incarnation(other.0.max(self.own.incarnation.0) + 1);
        tracing::warn!(event = "incarnation_raised", node = %self.own.node, %incarnation);
        let announced = self.announced;
        let member = Member { incarnation, announced, ..(*self.own).clone() };
        self.own = Arc::new(member);
        self.changed = true;
        self.queue.add(Update::Alive(self.own.clone()));
        actions.push(Action::Renumber { incarnation, announced });
    }
}
