//! Shares between processes which endpoints of plain services cannot be connected to.
//!
//! A connection to an unreachable endpoint costs a caller up to a quarter of a second, and without
//! sharing each process discovers each such endpoint for itself. Members report failed connections
//! to the leader ([`LocalReachability`]). The leader marks an endpoint once two processes report
//! it, and broadcasts the marked ones ([`ReachabilityTracker`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;
use crate::endpoint::Registry;

/// Minimum milliseconds between two reports of a process about the same endpoint.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Milliseconds within which different processes must report an endpoint for it to be marked.
const MARK_WINDOW_MS: u64 = 1_000;
/// Number of processes that must report an endpoint. A process that is cut off itself reports every
/// endpoint.
const MIN_REPORTERS: usize = 2;
/// Milliseconds after the last report for which an endpoint stays marked, if there are enough
/// processes to probe each marked endpoint about once per second.
const MARK_MS: u64 = 2_000;
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
/// Milliseconds after the leader's last message for which a member uses the set. The next leader is
/// usually connected earlier, and sends its own set.
const SET_LIFETIME_MS: u64 = 3_000;
/// Minimum milliseconds between two probes of a process.
const MIN_PROBE_INTERVAL_MS: u64 = 1_000;
/// Number of processes for which the fleet makes one more probe per second at each endpoint; it
/// makes at least one. If none is made for two seconds, the mark ends although the endpoint is
/// unreachable, and the number of requests that find this out again grows with the number of
/// processes.
const PROCESSES_PER_PROBE: usize = 100;
/// Maximum share of the probe interval that is added at random, so that processes which learned of
/// an endpoint at the same time do not all probe it at the same time.
const PROBE_JITTER: f64 = 0.5;

/// The endpoints that the leader has marked as unreachable.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct UnreachableSet {
    /// The start time of each endpoint by its id. The mark does not apply to a later start.
    pub endpoints: BTreeMap<String, u64>,
    /// Milliseconds between two probes of one process, which depend on the number of processes.
    pub probe_ms: u64,
}

/// A connection result that a member reports to the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The endpoint id.
    pub endpoint: String,
    /// The start time of the endpoint.
    pub started_ms: u64,
    /// Whether the connection was established.
    pub reached: bool,
}

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
    /// Its service.
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

/// Returns whether a report of this time counts for marking.
fn is_in_window(at: Millis, now: Millis) -> bool {
    now.since(at) <= MARK_WINDOW_MS
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

/// A member's side: which endpoints to avoid, when to report and when to probe.
#[derive(Debug)]
pub struct LocalReachability {
    enabled: bool,
    set: UnreachableSet,
    /// When the last message of the leader arrived.
    leader_heard: Millis,
    /// The start time and the time of the last report of endpoints that this process reported.
    reported: BTreeMap<String, (u64, Millis)>,
    /// When this process last probed an endpoint of the set.
    probed: BTreeMap<String, Millis>,
    /// Endpoints whose probe has not ended.
    probing: BTreeSet<String>,
    last_probe: Option<Millis>,
    next_probe: Option<Millis>,
    rng: SmallRng,
}

impl LocalReachability {
    /// Creates the state of a member that knows no unreachable endpoints. The seed determines when
    /// it probes.
    pub fn new(seed: u64) -> Self {
        Self {
            enabled: false,
            set: UnreachableSet::default(),
            leader_heard: Millis::default(),
            reported: BTreeMap::new(),
            probed: BTreeMap::new(),
            probing: BTreeSet::new(),
            last_probe: None,
            next_probe: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets whether connection results are shared. If they are not, this process avoids, reports
    /// and probes nothing.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// Returns whether connection results are shared.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Replaces the set by the leader's.
    pub fn replace_set(&mut self, set: &UnreachableSet, now: Millis) {
        if !self.enabled {
            return;
        }
        let is_shorter = set.probe_ms < self.set.probe_ms;
        self.set = set.clone();
        self.leader_heard = now;
        self.probed.retain(|id, _| set.endpoints.contains_key(id));
        self.probing.retain(|id| set.endpoints.contains_key(id));
        if set.endpoints.is_empty() {
            self.next_probe = None;
            return;
        }
        // If each set drew a new time, frequent sets would make all processes probe early.
        if self.next_probe.is_some() && !is_shorter {
            return;
        }
        let delay = (set.probe_ms as f64 * self.rng.random_range(0.0..1.0)) as u64;
        let earliest = self.last_probe.map_or(now, |last| last + MIN_PROBE_INTERVAL_MS);
        let candidate = earliest.max(now + delay);
        self.next_probe = Some(self.next_probe.map_or(candidate, |next| next.min(candidate)));
    }

    /// Records when the last message of the leader arrived. The set is dropped some time after
    /// that: the process may be cut off, and others cannot inform it which endpoints are reachable
    /// again.
    pub fn record_leader(&mut self, heard: Millis) {
        self.leader_heard = self.leader_heard.max(heard);
    }

    /// Returns whether an endpoint with this start time is known to be unreachable.
    pub fn is_unreachable(&self, id: &str, started_ms: u64, now: Millis) -> bool {
        self.set.endpoints.get(id) == Some(&started_ms)
            && now.since(self.leader_heard) <= SET_LIFETIME_MS
    }

    /// Records that an endpoint could not be connected to. Returns the report for the leader if one
    /// is due.
    pub fn record_failure(&mut self, id: &str, started_ms: u64, now: Millis) -> Option<Report> {
        if !self.enabled {
            return None;
        }
        let was_probe = self.probing.remove(id);
        let recent = |at: &Millis| now.since(*at) < REPORT_INTERVAL_MS;
        let is_known = self.is_unreachable(id, started_ms, now);
        let same = self.reported.get(id).filter(|(started, _)| *started == started_ms);
        if (is_known && !was_probe) || same.is_some_and(|(_, at)| recent(at)) {
            return None;
        }
        self.reported.retain(|_, (_, at)| now.since(*at) < MARK_MS);
        self.reported.insert(id.to_owned(), (started_ms, now));
        Some(Report { endpoint: id.to_owned(), started_ms, reached: false })
    }

    /// Records that an endpoint was connected to. Returns the report for the leader if the endpoint
    /// is considered unreachable, or if this process has reported it recently.
    pub fn record_success(&mut self, id: &str, started_ms: u64) -> Option<Report> {
        let reported = self.reported.remove(id).is_some();
        self.probing.remove(id);
        if self.set.endpoints.get(id) == Some(&started_ms) {
            self.set.endpoints.remove(id);
        } else if !reported {
            return None;
        }
        Some(Report { endpoint: id.to_owned(), started_ms, reached: true })
    }

    /// Returns the recent reports for a leader that has just been connected. It knows nothing, and
    /// callers would have to find out again.
    pub fn reports_for_new_leader(&self, now: Millis) -> Vec<Report> {
        let recent = self.reported.iter().filter(|(_, (_, at))| is_in_window(*at, now));
        let report = |(id, (started_ms, _)): (&String, &(u64, Millis))| Report {
            endpoint: id.clone(),
            started_ms: *started_ms,
            reached: false,
        };
        recent.map(report).collect()
    }

    /// Returns whether a probe is due.
    pub fn is_probe_due(&self, now: Millis) -> bool {
        self.next_probe.is_some_and(|next| next <= now)
            && !self.set.endpoints.is_empty()
            && now.since(self.leader_heard) <= SET_LIFETIME_MS
    }

    /// Starts a probe at one of these endpoints and returns it. They must be unreachable; of these,
    /// the one that this process has not probed for the longest time is chosen.
    pub fn start_probe(&mut self, candidates: Vec<&str>, now: Millis) -> Option<String> {
        let order = candidates.into_iter().map(|id| {
            let probed = self.probed.get(id).copied().unwrap_or_default();
            ((probed, self.rng.random::<u32>()), id)
        });
        let id = order.min()?.1.to_owned();
        let jitter = self.rng.random_range(0.0..PROBE_JITTER);
        let interval = self.set.probe_ms.max(MIN_PROBE_INTERVAL_MS);
        self.last_probe = Some(now);
        self.next_probe = Some(now + (interval as f64 * (1.0 + jitter)) as u64);
        self.probed.insert(id.clone(), now);
        self.probing.insert(id.clone());
        Some(id)
    }
}
