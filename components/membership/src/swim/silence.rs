//! Detection of silent data centres, of which no member responds.
//!
//! If a whole data centre is lost, reports about each of its members would fill all datagrams for
//! twenty seconds. Instead, a single update reports that the data centre is silent. No process
//! relies on that report alone: each probes a few of the data centre's members itself, and only if
//! these do not respond either, suspects all members at once without reporting each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::DataCentre;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;

use crate::message::StandingReport;
use crate::message::Update;
use crate::swim::Action;
use crate::swim::Swim;

/// Members whose probes must have failed before this process considers a data centre silent.
const MIN_FAILED_PROBES: usize = 4;
/// The same, after another process reported it as silent.
const MIN_FAILED_PROBES_IF_REPORTED: usize = 2;
/// Concurrent suspects in one data centre that start a check whether all of it is silent.
const MIN_SUSPECTS: usize = 3;
/// Milliseconds after which an inconclusive check is repeated.
const RECHECK_MS: u64 = 3_000;
/// Minimum members of a data centre for these checks. In smaller ones each member is reported,
/// which costs little.
const MIN_MEMBERS: usize = 8;
/// A data centre with contact within this many milliseconds is not silent.
const RECENT_CONTACT_MS: u64 = 2_000;

/// Contact and checks of other data centres.
#[derive(Default)]
pub(super) struct SilentDataCentres {
    last_contact: BTreeMap<DataCentre, Millis>,
    checks: BTreeMap<DataCentre, SilenceCheck>,
}

#[derive(Default)]
struct SilenceCheck {
    started: Millis,
    /// Reports about its members, withheld until it is determined whether the data centre is
    /// silent.
    withheld: Vec<StandingReport>,
    /// Members whose probes have failed since the last contact with the data centre.
    failed_probes: BTreeSet<Node>,
    /// Whether there is evidence other than this process's own failed probes.
    has_other_evidence: bool,
    /// Whether another process reported it as silent.
    is_reported: bool,
    /// The members that were suspected together; `None` unless the data centre is considered
    /// silent.
    suspects: Option<Vec<Node>>,
}

impl SilentDataCentres {
    /// Returns whether a data centre is considered silent.
    pub(super) fn contains(&self, data_centre: &DataCentre) -> bool {
        self.checks.get(data_centre).is_some_and(|check| check.suspects.is_some())
    }

    /// Discards failed probes after this process itself was suspended.
    pub(super) fn clear_failed_probes(&mut self) {
        self.checks.retain(|_, check| check.suspects.is_some());
    }
}

impl Swim {
    /// Records contact with a member of another data centre.
    pub(super) fn record_contact(&mut self, node: &Node, now: Millis) {
        let Some(data_centre) =
            self.data_centre_of(node).filter(|data_centre| *data_centre != self.own.data_centre)
        else {
            return;
        };
        let check = self.silent_data_centres.checks.remove(&data_centre).unwrap_or_default();
        self.silent_data_centres.last_contact.insert(data_centre, now);
        self.release_withheld(check.withheld);
        for node in check.suspects.unwrap_or_default() {
            self.clear_silence_suspicion(&node, now);
        }
    }

    fn release_withheld(&mut self, withheld: Vec<StandingReport>) {
        for report in withheld {
            if self.suspicions.contains_key(&report.node) {
                self.queue.add(Update::Standing(report));
            }
        }
    }

    /// Repeats inconclusive checks. A check stays inconclusive if this process itself receives no
    /// messages.
    pub(super) fn repeat_silence_checks(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let due = self.silent_data_centres.checks.iter().filter(|(_, check)| {
            check.has_other_evidence
                && check.suspects.is_none()
                && now.since(check.started) > RECHECK_MS
        });
        let due: Vec<DataCentre> = due.map(|(data_centre, _)| data_centre.clone()).collect();
        for data_centre in due {
            self.check_silence(&data_centre, now, actions);
        }
    }

    /// Withholds a report if so many members of the data centre are suspect that all of it may be
    /// silent, and starts a check. Returns whether the report is withheld or no longer needed.
    pub(super) fn withhold(
        &mut self,
        report: &StandingReport,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(data_centre) = self.data_centre_of(&report.node) else { return false };
        if self.silent_data_centres.contains(&data_centre) {
            return true;
        }
        if data_centre == self.own.data_centre || self.has_recent_contact(&data_centre, now) {
            return false;
        }
        let is_checking = self
            .silent_data_centres
            .checks
            .get(&data_centre)
            .is_some_and(|check| check.has_other_evidence);
        if !is_checking {
            if !self.may_be_silent(&data_centre) {
                return false;
            }
            self.check_silence(&data_centre, now, actions);
        }
        let check = self.silent_data_centres.checks.entry(data_centre).or_default();
        check.withheld.push(report.clone());
        true
    }

    fn may_be_silent(&self, data_centre: &DataCentre) -> bool {
        let suspects = self
            .suspicions
            .keys()
            .filter(|node| self.data_centre_of(node).as_ref() == Some(data_centre));
        let present = self.table.iter().filter(|entry| entry.member.data_centre == *data_centre);
        let present = present.filter(|entry| entry.is_present());
        suspects.count() >= MIN_SUSPECTS && present.take(MIN_MEMBERS).count() == MIN_MEMBERS
    }

    /// Probes a few members of a data centre at once.
    fn check_silence(&mut self, data_centre: &DataCentre, now: Millis, actions: &mut Vec<Action>) {
        let check = self.silent_data_centres.checks.entry(data_centre.clone()).or_default();
        check.has_other_evidence = true;
        check.started = now;
        for _ in 0..MIN_FAILED_PROBES_IF_REPORTED {
            self.probe_data_centre(data_centre, now, actions);
        }
    }

    fn has_recent_contact(&self, data_centre: &DataCentre, now: Millis) -> bool {
        let contact = self.silent_data_centres.last_contact.get(data_centre);
        contact.is_some_and(|contact| now.since(*contact) < RECENT_CONTACT_MS)
    }

    /// Clears a suspicion that is based only on the silence of the data centre.
    fn clear_silence_suspicion(&mut self, node: &Node, now: Millis) {
        let own = &self.own.node;
        if self.suspicions.get(node).is_some_and(|suspicion| suspicion.is_only_reported_by(own)) {
            self.mark_alive(node, now);
        }
    }

    /// Records that a probe of a member failed.
    pub(super) fn record_failed_probe(&mut self, node: &Node, now: Millis) {
        let Some(data_centre) =
            self.data_centre_of(node).filter(|data_centre| *data_centre != self.own.data_centre)
        else {
            return;
        };
        let check = self.silent_data_centres.checks.entry(data_centre.clone()).or_default();
        check.failed_probes.insert(node.clone());
        let required = if check.has_other_evidence {
            MIN_FAILED_PROBES_IF_REPORTED
        } else {
            MIN_FAILED_PROBES
        };
        if check.suspects.is_none() && check.failed_probes.len() >= required {
            self.suspect_data_centre(data_centre, now);
        }
    }

    /// Processes a report that a data centre is silent.
    pub(super) fn on_silent(
        &mut self,
        data_centre: DataCentre,
        reporter: Node,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if data_centre == self.own.data_centre || reporter == self.own.node {
            return;
        }
        let has_recent_contact = self.has_recent_contact(&data_centre, now);
        let check = self.silent_data_centres.checks.entry(data_centre.clone()).or_default();
        if std::mem::replace(&mut check.is_reported, true) {
            return;
        }
        if let Some(suspects) = check.suspects.clone() {
            self.confirm_suspicions(&suspects);
            return;
        }
        let was_checking = std::mem::replace(&mut check.has_other_evidence, true);
        if has_recent_contact {
            // It may have become silent just now. The next check decides, unless there is contact
            // before.
            check.started = now;
            return;
        }
        // Forwarded at once, because each receiver checks for itself before it acts.
        self.queue.add(Update::Silent { data_centre: data_centre.clone(), reporter });
        if !was_checking {
            self.check_silence(&data_centre, now, actions);
        }
    }

    fn confirm_suspicions(&mut self, suspects: &[Node]) {
        for node in suspects {
            if let Some(suspicion) = self.suspicions.get_mut(node) {
                suspicion.confirm_fully();
            }
        }
    }

    /// Suspects all members of a data centre.
    fn suspect_data_centre(&mut self, data_centre: DataCentre, now: Millis) {
        let members = self.table.iter().filter(|entry| entry.member.data_centre == data_centre);
        let members: Vec<_> = members.filter(|entry| entry.is_present()).collect();
        if members.len() < MIN_MEMBERS {
            return;
        }
        let alive = members.iter().filter(|entry| entry.standing == Standing::Alive);
        let reports: Vec<StandingReport> = alive
            .map(|entry| StandingReport {
                node: entry.member.node.clone(),
                incarnation: entry.member.incarnation,
                announced: entry.announced.max(entry.reported_number),
                standing: Standing::Suspect,
                reporter: self.own.node.clone(),
            })
            .collect();
        let all: Vec<Node> = members.iter().map(|entry| entry.member.node.clone()).collect();
        for report in &reports {
            self.suspect(report, now);
        }
        tracing::warn!(event = "data_centre_silent", place = %data_centre, members = all.len());
        self.queue.remove_standing(&all);
        self.queue.add(Update::Silent {
            data_centre: data_centre.clone(),
            reporter: self.own.node.clone(),
        });
        let suspects: Vec<Node> = reports.into_iter().map(|report| report.node).collect();
        let check = self.silent_data_centres.checks.entry(data_centre).or_default();
        check.suspects = Some(suspects.clone());
        check.withheld.clear();
        if check.is_reported {
            self.confirm_suspicions(&suspects);
        }
    }

    /// Returns the members whose probes have failed since the last contact with their data centre.
    pub(super) fn failed_probes(&self, data_centre: &DataCentre) -> BTreeSet<Node> {
        let check = self.silent_data_centres.checks.get(data_centre);
        check.map(|check| check.failed_probes.clone()).unwrap_or_default()
    }

    /// Returns whether a member needs no reports of its own because its data centre is silent.
    pub(super) fn is_in_silent_data_centre(&self, node: &Node) -> bool {
        self.table
            .get(node)
            .is_some_and(|entry| self.silent_data_centres.contains(&entry.member.data_centre))
    }

    fn data_centre_of(&self, node: &Node) -> Option<DataCentre> {
        self.table.get(node).map(|entry| entry.member.data_centre.clone())
    }
}
