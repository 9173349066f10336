//! The leader's side of shared reachability: which endpoints are marked and when the set of them is
//! broadcast.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use super::MARK_MS;
use super::MIN_PROBE_INTERVAL_MS;
use super::UnreachableSet;
use super::is_in_window;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;
use crate::endpoint::Registry;

/// Number of processes that must report an endpoint. A process that is cut off itself reports every
/// endpoint.
const MIN_REPORTERS: usize = 2;
/// Number of marked endpoints per process by which the lifetime of marks is multiplied, in halves.
/// A process probes one endpoint in about 1.25 s, and processes probe in different orders, so the
/// probes of one endpoint are not evenly spaced.
const MARKS_PER_PROCESS_FACTOR: usize = 2;
/// Maximum milliseconds after the last report for which an endpoint stays marked. When many
/// endpoints are reachable again at the same time, probes alone would clear their marks only after
/// minutes.
const MAX_MARK_MS: u64 = 30_000;
/// Minimum milliseconds between two broadcasts, which go to hundreds of members.
const BROADCAST_INTERVAL_MS: u64 = 100;
/// Maximum number of entries that the leader sends per second in broadcasts, over all members. An
/// entry takes about 40 bytes.
const BROADCAST_ENTRIES_PER_SECOND: usize = 100_000;
/// Maximum milliseconds between two broadcasts. Members would otherwise avoid endpoints for too
/// long after these can be reached again.
const MAX_BROADCAST_INTERVAL_MS: u64 = 5_000;
/// Factor by which the interval between probes must change for the set to be broadcast because of
/// it.
const PROBE_CHANGE_FACTOR: u64 = 2;
/// Minimum milliseconds between two counts of the ready endpoints, which visit the whole registry.
const COUNT_INTERVAL_MS: u64 = 500;
/// Milliseconds for which reports of a process do not count for an endpoint that another process
/// has reached shortly after its report. While some processes are cut off from an endpoint, it
/// would otherwise be marked again after each successful probe.
const CONTRADICTED_MS: u64 = 5_000;
/// The leader marks at most one in this many ready endpoints of a service. If more of them seem
/// unreachable, it is more likely that the reporters are cut off.
const MARKED_DIVISOR: usize = 2;
/// Number of processes for which the fleet makes one more probe per second at each endpoint; it
/// makes at least one. If none is made for two seconds, the mark ends although the endpoint is
/// unreachable, and the number of requests that find this out again grows with the number of
/// processes.
const PROCESSES_PER_PROBE: usize = 100;

/// Why an endpoint is marked, or no longer marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Enough processes reported it.
    Reported,
    /// A process reached it.
    Reached,
    /// Nobody has reported it for some time.
    Expired,
    /// It has restarted or is not ready any more.
    Changed,
    /// The service has fewer ready endpoints than before, so fewer may be marked.
    Limit,
}

/// An endpoint that has been marked, or is no longer marked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// The endpoint id.
    pub endpoint: String,
    /// The service to which it belongs, for the log.
    pub service: String,
    /// The reason, which is [`Reason::Reported`] if the endpoint has been marked.
    pub reason: Reason,
    /// The processes that reported it, or the one that reached it.
    pub reporters: Vec<String>,
}

/// The leader's reports about one endpoint.
#[derive(Debug)]
struct EndpointReports {
    started_ms: u64,
    service: String,
    /// When each process last reported it.
    reporters: BTreeMap<String, Millis>,
    /// When a process whose reports do not count reported an endpoint that another one reached.
    contradicted: BTreeMap<String, Millis>,
    last_report: Millis,
    marked_at: Option<Millis>,
}

impl EndpointReports {
    fn transition(&self, id: &str, reason: Reason, reporters: Vec<String>) -> Transition {
        Transition { endpoint: id.to_owned(), service: self.service.clone(), reason, reporters }
    }

    fn reporters(&self) -> Vec<String> {
        self.reporters.keys().cloned().collect()
    }
}

/// The leader's side: decides which endpoints are marked and when the set is broadcast.
#[derive(Debug, Default)]
pub struct ReachabilityTracker {
    reports: BTreeMap<String, EndpointReports>,
    published: UnreachableSet,
    published_at: Option<Millis>,
    /// The number of members to which the set was published.
    published_to: usize,
    /// How many endpoints of each reported service may be marked.
    limits: BTreeMap<String, usize>,
    counted_at: Option<Millis>,
}

impl ReachabilityTracker {
    /// Records that a process could not connect to an endpoint with this start time.
    pub fn record_unreachable(
        &mut self,
        reporter: &str,
        endpoint: &Endpoint,
        started_ms: u64,
        now: Millis,
    ) {
        let announcement = &endpoint.announcement;
        let is_current = announcement.started_ms == started_ms;
        if !is_current || endpoint.status != EndpointStatus::Ready {
            return;
        }
        let known = self.reports.entry(announcement.id.clone());
        let reports = known.or_insert_with(|| EndpointReports {
            started_ms,
            service: announcement.service.clone(),
            reporters: BTreeMap::new(),
            contradicted: BTreeMap::new(),
            last_report: now,
            marked_at: None,
        });
        // The next update drops the reports about an earlier start.
        if reports.started_ms == started_ms && !reports.contradicted.contains_key(reporter) {
            reports.reporters.insert(reporter.to_owned(), now);
            reports.last_report = now;
        }
    }

    /// Records that a process reached an endpoint with this start time. Returns the transition if
    /// the endpoint was marked.
    pub fn record_reachable(
        &mut self,
        reporter: &str,
        id: &str,
        started_ms: u64,
        now: Millis,
    ) -> Option<Transition> {
        let reports = self.reports.get_mut(id)?;
        if reports.started_ms > started_ms {
            return None;
        }
        let others = std::mem::take(&mut reports.reporters).into_iter();
        let recent = others.filter(|(other, at)| other != reporter && is_in_window(*at, now));
        reports.contradicted.extend(recent.map(|(other, _)| (other, now)));
        reports.contradicted.remove(reporter);
        let was_marked = reports.marked_at.take().is_some();
        was_marked.then(|| reports.transition(id, Reason::Reached, vec![reporter.to_owned()]))
    }

    /// Marks and unmarks endpoints in a fleet with this many processes. Returns the transitions.
    pub fn update(
        &mut self,
        registry: &Registry,
        processes: usize,
        now: Millis,
    ) -> Vec<Transition> {
        let mut transitions = Vec::new();
        if self.reports.is_empty() {
            return transitions;
        }
        let mark_ms = mark_ms(processes, self.marked_count());
        self.reports.retain(|id, reports| {
            let ended = reports.expire(registry.get(id), mark_ms, now);
            if let Some(reason) = ended
                && reports.marked_at.is_some()
            {
                transitions.push(reports.transition(id, reason, reports.reporters()));
            }
            ended.is_none()
        });
        let is_recent = self.counted_at.is_some_and(|at| now.since(at) < COUNT_INTERVAL_MS);
        let mut due = self.reports.values().filter(|reports| reports.is_due()).peekable();
        let has_due = due.peek().is_some();
        let is_counted = due.all(|reports| self.limits.contains_key(&reports.service));
        if !has_due && (is_recent || self.marked_count() == 0) {
            return transitions;
        }
        if !is_recent || !is_counted {
            self.limits = self.count_limits(registry);
            self.counted_at = Some(now);
        }
        let mut limits = self.limits.clone();
        self.enforce_limits(&mut limits, &mut transitions);
        for (id, reports) in &mut self.reports {
            let limit = limits.entry(reports.service.clone()).or_default();
            if reports.is_due() && *limit > 0 {
                *limit -= 1;
                reports.marked_at = Some(now);
                transitions.push(reports.transition(id, Reason::Reported, reports.reporters()));
            }
        }
        transitions
    }

    /// Returns how many endpoints of each reported service may be marked.
    fn count_limits(&self, registry: &Registry) -> BTreeMap<String, usize> {
        let services = self.reports.values().map(|reports| (reports.service.clone(), 0));
        let mut limits: BTreeMap<String, usize> = services.collect();
        let ready = registry.all().filter(|endpoint| endpoint.status == EndpointStatus::Ready);
        for endpoint in ready {
            if let Some(count) = limits.get_mut(&endpoint.announcement.service) {
                *count += 1;
            }
        }
        limits.values_mut().for_each(|count| *count /= MARKED_DIVISOR);
        limits
    }

    /// Subtracts the marked endpoints from the limits, and unmarks those beyond them, the latest
    /// first.
    fn enforce_limits(
        &mut self,
        limits: &mut BTreeMap<String, usize>,
        transitions: &mut Vec<Transition>,
    ) {
        let marked = self.reports.iter_mut().filter(|(_, reports)| reports.marked_at.is_some());
        let mut marked: Vec<(&String, &mut EndpointReports)> = marked.collect();
        marked.sort_by_key(|(_, reports)| reports.marked_at);
        for (id, reports) in marked {
            let limit = limits.entry(reports.service.clone()).or_default();
            if *limit > 0 {
                *limit -= 1;
            } else {
                reports.marked_at = None;
                transitions.push(reports.transition(id, Reason::Limit, reports.reporters()));
                reports.reporters.clear();
            }
        }
    }

    /// Returns the set if it has to be broadcast to this many processes now.
    pub fn take_broadcast(&mut self, processes: usize, now: Millis) -> Option<UnreachableSet> {
        let marked = self.reports.iter().filter(|(_, reports)| reports.marked_at.is_some());
        let endpoints: BTreeMap<String, u64> =
            marked.map(|(id, reports)| (id.clone(), reports.started_ms)).collect();
        let published_entries = self.published.endpoints.len() * self.published_to;
        let interval_ms = broadcast_interval_ms(published_entries);
        let is_recent = self.published_at.is_some_and(|at| now.since(at) < interval_ms);
        // After a change of leader, the first endpoints are marked while few members are connected.
        let probe_ms = probe_interval_ms(processes, endpoints.len());
        let (shorter, longer) =
            (probe_ms.min(self.published.probe_ms), probe_ms.max(self.published.probe_ms));
        let has_new_interval = !endpoints.is_empty() && longer > PROBE_CHANGE_FACTOR * shorter;
        let has_changed = endpoints != self.published.endpoints || has_new_interval;
        if is_recent || !has_changed {
            return None;
        }
        self.published = UnreachableSet { endpoints, probe_ms };
        self.published_at = Some(now);
        self.published_to = processes;
        Some(self.published.clone())
    }

    /// Returns the set that was last broadcast, for new followers.
    pub fn published(&self) -> &UnreachableSet {
        &self.published
    }

    /// Returns the number of marked endpoints.
    pub fn marked_count(&self) -> usize {
        self.reports.values().filter(|reports| reports.marked_at.is_some()).count()
    }
}

impl EndpointReports {
    /// Returns whether enough processes report the endpoint, and it is not marked yet.
    fn is_due(&self) -> bool {
        self.marked_at.is_none() && self.reporters.len() >= MIN_REPORTERS
    }

    /// Removes expired reports. Returns why nothing has to be kept about the endpoint, if so. A
    /// mark ends `mark_ms` after the last report.
    fn expire(&mut self, endpoint: Option<&Endpoint>, mark_ms: u64, now: Millis) -> Option<Reason> {
        let is_current = endpoint.is_some_and(|endpoint| {
            let started_ms = endpoint.announcement.started_ms;
            endpoint.status == EndpointStatus::Ready && started_ms == self.started_ms
        });
        if !is_current {
            return Some(Reason::Changed);
        }
        self.contradicted.retain(|_, at| now.since(*at) < CONTRADICTED_MS);
        if self.marked_at.is_some() {
            return (now.since(self.last_report) >= mark_ms).then_some(Reason::Expired);
        }
        self.reporters.retain(|_, at| is_in_window(*at, now));
        let is_empty = self.reporters.is_empty() && self.contradicted.is_empty();
        is_empty.then_some(Reason::Expired)
    }
}

/// Returns the milliseconds after the last report for which endpoints stay marked. With more marked
/// endpoints than processes, each of them is probed less than once per second.
fn mark_ms(processes: usize, marked: usize) -> u64 {
    let factor = MARKS_PER_PROCESS_FACTOR * marked / processes.max(1);
    (MARK_MS * factor as u64).clamp(MARK_MS, MAX_MARK_MS)
}

/// Returns the milliseconds until the next broadcast after one with this many entries over all
/// members.
fn broadcast_interval_ms(entries: usize) -> u64 {
    let interval_ms = (entries * 1_000 / BROADCAST_ENTRIES_PER_SECOND) as u64;
    interval_ms.clamp(BROADCAST_INTERVAL_MS, MAX_BROADCAST_INTERVAL_MS)
}

/// Returns the milliseconds between two probes of one process. If each made one per second, a large
/// fleet would spend many requests on probes.
fn probe_interval_ms(processes: usize, endpoints: usize) -> u64 {
    let probes_per_second = endpoints.max(1) * (1 + processes / PROCESSES_PER_PROBE);
    let interval_ms = processes as u64 * 1_000 / probes_per_second as u64;
    interval_ms.max(MIN_PROBE_INTERVAL_MS)
}
