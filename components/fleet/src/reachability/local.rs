//! A member's side of shared reachability: which endpoints it avoids, when it reports failed
//! connections and when it probes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::MARK_MS;
use super::MIN_PROBE_INTERVAL_MS;
use super::Report;
use super::UnreachableSet;
use super::is_in_window;

/// Minimum milliseconds between two reports of a process about the same endpoint.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Milliseconds after the leader's last message for which a member uses the set. The next leader is
/// usually connected earlier, and sends its own set.
const SET_LIFETIME_MS: u64 = 3_000;
/// Maximum share of the probe interval that is added at random, so that processes which learned of
/// an endpoint at the same time do not all probe it at the same time.
const PROBE_JITTER: f64 = 0.5;

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

    /// Returns the endpoints that are known to be unreachable with their start times, or `None` if
    /// the leader's set is too old.
    pub fn marked(&self, now: Millis) -> Option<&BTreeMap<String, u64>> {
        let is_recent = now.since(self.leader_heard) <= SET_LIFETIME_MS;
        is_recent.then_some(&self.set.endpoints)
    }

    /// Returns whether an endpoint with this start time is known to be unreachable.
    pub fn is_unreachable(&self, id: &str, started_ms: u64, now: Millis) -> bool {
        self.marked(now).is_some_and(|marked| marked.get(id) == Some(&started_ms))
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
