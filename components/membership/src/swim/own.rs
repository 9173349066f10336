//! Announcements of this process, and its replies to reports about it.

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
use crate::message::StandingReport;
use crate::message::Update;

/// Removes the position from an announcement.
///
/// With 4,400 configuration changes per day, each of 1,990 members would announce 4,400 positions
/// per day to all others: about 100 announcements per second at each member, thirty times the
/// budget. The tree that distributes the configuration already passes positions upwards.
pub(super) fn without_position(member: Member) -> Member {
    Member { position: Position::default(), ..member }
}

/// Returns whether increased weight versions are the only change.
///
/// Each new version of weights changes the announcement of every sampler within seconds; announced
/// like other changes, this alone would exceed the budget. Load reports carry the versions to the
/// processes that send work there, and a repeated order is harmless, so these announcements may be
/// delayed.
fn only_versions_increased(before: &Member, after: &Member) -> bool {
    let (Some(old), Some(new)) = (&before.endpoint, &after.endpoint) else { return false };
    let same_models = old.models.keys().eq(new.models.keys());
    let increased = old.models.values().zip(new.models.values()).all(|(old, new)| old <= new);
    let endpoint = EndpointInfo { models: new.models.clone(), ..old.clone() };
    let rest = Member { endpoint: Some(endpoint), ..before.clone() };
    same_models && increased && rest == *after
}

impl Swim {
    /// Processes a possible change of this process's own announcement.
    pub(super) fn update_own(&mut self, member: Member, now: Millis, actions: &mut Vec<Action>) {
        let requested = member.announced;
        let member = without_position(member);
        let comparable = Member {
            announced: self.own.announced,
            incarnation: self.own.incarnation,
            ..member.clone()
        };
        if comparable == *self.own {
            self.pending_versions = None;
            return;
        }
        self.changed = true;
        if only_versions_increased(&self.own, &comparable) {
            self.pending_versions = Some(member);
            self.announce_versions(now, actions);
            return;
        }
        self.announce_own(member, requested, actions);
    }

    /// Announces increased weight versions if they are due.
    pub(super) fn announce_versions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.pending_versions.is_none() {
            return;
        }
        let interval = self.settings.version_interval_ms * (self.table.present() as u64 + 1);
        // All samplers get new versions at the same time, so their first announcements are
        // randomised.
        let first = self.random.random_range(0..=interval);
        let due = *self.versions_due.get_or_insert(now + first);
        if now < due {
            return;
        }
        let Some(member) = self.pending_versions.take() else { return };
        self.versions_due = Some(now + interval);
        let requested = member.announced;
        self.announce_own(member, requested, actions);
    }

    fn announce_own(&mut self, member: Member, requested: u64, actions: &mut Vec<Action>) {
        self.pending_versions = None;
        let announced = requested.max(self.announced + 1);
        let incarnation = self.own.incarnation;
        self.announced = announced;
        self.own = Arc::new(Member { announced, incarnation, ..member });
        self.changed = true;
        self.queue.add(Update::Alive(self.own.clone()));
        if announced > requested {
            actions.push(Action::Renumber { incarnation, announced });
        }
    }

    /// Refutes a report about this process.
    pub(super) fn refute(&mut self, report: &StandingReport, actions: &mut Vec<Action>) {
        if !self.settings.refutation || self.leaving {
            return;
        }
        let incarnation = self.own.incarnation;
        if report.incarnation < incarnation {
            return;
        }
        let gone = report.standing == Standing::Left;
        if report.incarnation > incarnation || gone {
            self.raise_incarnation(report.incarnation, actions);
            return;
        }
        if report.announced < self.announced {
            return;
        }
        self.announced = report.announced + 1;
        if self.settings.local_health {
            self.health_score = (self.health_score + 1).min(self.settings.max_health_score);
        }
        if let Some(member) = self.pending_versions.take() {
            // A higher sequence number with the previous versions would look like a decrease.
            self.announce_own(member, report.announced + 1, actions);
            return;
        }
        let announced = self.announced;
        tracing::info!(event = "accusation_refuted", by = %report.reporter, announced);
        self.queue.add(Update::Refuted {
            node: self.own.node.clone(),
            incarnation,
            announced,
            content: self.own.announced,
        });
        actions.push(Action::Renumber { incarnation, announced });
    }

    /// Processes an announcement of another process under this process's own name.
    pub(super) fn on_name_conflict(&mut self, member: &Member, actions: &mut Vec<Action>) {
        let own = &self.own;
        if member.incarnation < own.incarnation {
            return;
        }
        let foreign = member.gossip != own.gossip;
        if foreign {
            // Two processes with the same name would exceed each other's incarnation for ever,
            // which an operator must resolve.
            tracing::warn!(event = "name_taken", node = %own.node, other = %member.gossip);
        }
        if member.incarnation > own.incarnation || foreign {
            self.raise_incarnation(member.incarnation, actions);
        }
    }

    /// Raises the incarnation above one that other members have recorded.
    ///
    /// The wall clock of a VM can be behind that of its predecessor. The process would then start
    /// with a lower incarnation than the one that was declared dead, and would not appear in any
    /// view.
    fn raise_incarnation(&mut self, other: Incarnation, actions: &mut Vec<Action>) {
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
