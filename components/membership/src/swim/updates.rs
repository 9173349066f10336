//! Processing of announcements, reports and refutations, with the rules for which of two
//! conflicting updates is valid.

use std::sync::Arc;

use chicoryford_types::Member;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;

use super::Action;
use super::Swim;
use super::suspicion::Suspicion;
use crate::message::StandingReport;
use crate::message::Update;

/// How long after a suspicion in another data centre its other members are probed with priority.
const FOCUS_MS: u64 = 10_000;

impl Swim {
    /// Applies an update. `forward` determines whether it is forwarded if it is new.
    pub(super) fn apply_update(
        &mut self,
        update: Update,
        now: Millis,
        forward: bool,
        actions: &mut Vec<Action>,
    ) {
        match update {
            Update::Alive(member) => self.on_alive(member, now, forward, actions),
            Update::Refuted { .. } => self.on_refuted(update, now, forward),
            Update::Standing(report) => self.on_standing_report(report, now, forward, actions),
            Update::Silent { data_centre, reporter } => {
                self.on_silent(data_centre, reporter, now, actions)
            }
        }
    }

    /// Applies the announcement of a member.
    pub(super) fn on_alive(
        &mut self,
        member: Arc<Member>,
        now: Millis,
        forward: bool,
        actions: &mut Vec<Action>,
    ) {
        if member.node == self.own.node {
            self.on_name_conflict(&member, actions);
            return;
        }
        if !self.is_newer(&member) {
            return;
        }
        let restarted = self.incarnation_grew(&member);
        let (node, announced) = (member.node.clone(), member.announced);
        self.table.put(member.clone(), now);
        let entry = self.table.get(&node);
        let refutes = entry.is_some_and(|entry| announced > entry.reported_number) || restarted;
        if refutes {
            self.mark_alive(&node, now);
        }
        self.changed = true;
        if forward {
            self.queue.add(Update::Alive(member));
        }
    }

    fn is_newer(&self, member: &Member) -> bool {
        let Some(entry) = self.table.get(&member.node) else {
            return self.table.tombstone(member).is_none();
        };
        if member.incarnation != entry.member.incarnation {
            return member.incarnation > entry.member.incarnation;
        }
        entry.standing != Standing::Left && member.announced > entry.announced
    }

    fn incarnation_grew(&self, member: &Member) -> bool {
        let known = self.table.get(&member.node).map(|entry| entry.member.incarnation);
        known.is_some_and(|known| member.incarnation > known)
    }

    fn on_refuted(&mut self, update: Update, now: Millis, forward: bool) {
        let Update::Refuted { node, incarnation, announced, content } = &update else { return };
        let Some(entry) = self.table.get(node) else { return };
        let same = entry.member.incarnation == *incarnation && entry.member.announced >= *content;
        if !same || *announced <= entry.announced || entry.standing == Standing::Left {
            return;
        }
        let refutes = *announced > entry.reported_number;
        let node = node.clone();
        self.table.record_refutation(&node, *announced);
        if refutes {
            self.mark_alive(&node, now);
        }
        if forward {
            self.queue.add(update);
        }
    }

    pub(super) fn mark_alive(&mut self, node: &Node, now: Millis) {
        self.suspicions.remove(node);
        let standing = self.table.get(node).map(|entry| entry.standing);
        if standing.is_some_and(|standing| standing != Standing::Alive) {
            self.table.set_standing(node, Standing::Alive, 0, now);
            self.changed = true;
        }
    }

    /// Applies a report about the standing of a member.
    ///
    /// A report of death by another process counts as full confirmation of a suspicion, not as
    /// death: each process waits the shortest suspicion time by its own clock, so that the reported
    /// member can refute. Otherwise a process that returns from isolation with many dead members in
    /// its view would make all others drop healthy members.
    pub(super) fn on_standing_report(
        &mut self,
        report: StandingReport,
        now: Millis,
        forward: bool,
        actions: &mut Vec<Action>,
    ) {
        if report.node == self.own.node {
            self.refute(&report, actions);
            return;
        }
        let Some(entry) = self.table.get(&report.node) else { return };
        if report.incarnation != entry.member.incarnation
            || report.announced < entry.announced
            || entry.standing >= Standing::Dead
        {
            return;
        }
        match report.standing {
            Standing::Alive => {}
            Standing::Left => self.on_left(report, now, forward),
            Standing::Dead if !forward => self.on_dead(&report, now),
            Standing::Suspect | Standing::Dead => {
                self.on_suspected(report, now, forward, actions);
            }
        }
    }

    fn on_left(&mut self, report: StandingReport, now: Millis, forward: bool) {
        if report.reporter != report.node {
            return;
        }
        self.suspicions.remove(&report.node);
        self.table.set_standing(&report.node, Standing::Left, report.announced, now);
        self.changed = true;
        tracing::info!(event = "member_left", node = %report.node);
        if forward {
            self.queue.add(Update::Standing(report));
        }
    }

    /// Accepts a member as dead on the basis of the page that first listed it. A joining process
    /// has no view of its own yet and would otherwise send work to all members that died recently.
    fn on_dead(&mut self, report: &StandingReport, now: Millis) {
        self.suspicions.remove(&report.node);
        self.table.set_standing(&report.node, Standing::Dead, report.announced, now);
        self.changed = true;
    }

    fn on_suspected(
        &mut self,
        report: StandingReport,
        now: Millis,
        forward: bool,
        actions: &mut Vec<Action>,
    ) {
        let dead = report.standing == Standing::Dead;
        let first = !self.suspicions.contains_key(&report.node);
        if first {
            self.suspect(&report, now);
        }
        let mut confirmed = false;
        if let Some(suspicion) = self.suspicions.get_mut(&report.node) {
            confirmed = suspicion.confirm(&report.reporter);
            if dead {
                suspicion.confirm_fully();
            }
        }
        if !forward || !(first || confirmed) || self.withhold(&report, now, actions) {
            return;
        }
        if first {
            self.queue.add(Update::Standing(report));
        } else {
            // A process that misses a confirmation only waits a little longer.
            let sends = self.max_sends() / 3;
            self.queue.add_with_sends(Update::Standing(report), sends);
        }
    }

    /// Starts to suspect a member.
    pub(super) fn suspect(&mut self, report: &StandingReport, now: Millis) {
        let node = &report.node;
        let others = self.table.present().saturating_sub(1);
        let scale = ((others + 2) as f64).log10().max(1.0);
        let min_ms = (self.settings.suspicion_multiplier * self.settings.probe_ms) as f64 * scale;
        let min_ms = min_ms as u64;
        let max_ms = min_ms * self.settings.max_suspicion_multiplier;
        let confirmations = self.settings.confirmations.min(others);
        let suspicion = Suspicion::new(report.reporter.clone(), confirmations, min_ms, max_ms, now);
        self.suspicions.insert(node.clone(), suspicion);
        self.table.set_standing(node, Standing::Suspect, report.announced, now);
        self.changed = true;
        tracing::debug!(event = "member_suspect", %node, by = %report.reporter);
        let data_centre = self.table.get(node).map(|entry| entry.member.data_centre.clone());
        if let Some(data_centre) =
            data_centre.filter(|data_centre| *data_centre != self.own.data_centre)
        {
            self.probe_focus = Some((data_centre, now + FOCUS_MS));
        }
    }

    /// Declares members dead that have not refuted their suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Millis) {
        let due = self.suspicions.iter().filter(|(_, suspicion)| now >= suspicion.deadline());
        let due: Vec<Node> = due.map(|(node, _)| node.clone()).collect();
        for node in due {
            let Some(suspicion) = self.suspicions.remove(&node) else { continue };
            if !suspicion.has_min_elapsed(now) {
                self.report_violation("no_death_before_least_time", &node);
            }
            let reported_number = self.table.get(&node).map_or(0, |entry| entry.reported_number);
            self.table.set_standing(&node, Standing::Dead, reported_number, now);
            self.changed = true;
            tracing::info!(event = "member_dead", %node);
            // All processes decide by their own clocks. Only the reporters inform those that missed
            // the suspicion.
            let is_reporter =
                suspicion.is_reported_by(&self.own.node) && !self.is_in_silent_data_centre(&node);
            if let Some(report) = self.standing_report(&node).filter(|_| is_reporter) {
                self.queue.add(Update::Standing(report));
            }
        }
    }

    /// Returns a report with the standing that this process has for a member, `None` if the member
    /// is alive.
    pub(super) fn standing_report(&self, node: &Node) -> Option<StandingReport> {
        let entry = self.table.get(node).filter(|entry| entry.standing != Standing::Alive)?;
        let reporter = match entry.standing {
            Standing::Left => node.clone(),
            _ => self.own.node.clone(),
        };
        Some(StandingReport {
            node: node.clone(),
            incarnation: entry.member.incarnation,
            announced: entry.announced.max(entry.reported_number),
            standing: entry.standing,
            reporter,
        })
    }
}
