//! The VMs that host runs, as the leader sees them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::run::Job;
use chicoryford_types::Millis;

use crate::clock;
use crate::followers::Followers;
use crate::runner::Runner;

/// Milliseconds for which a disconnected host may reconnect before its runs are moved. A connection
/// that was reset is replaced within about a tenth of a second.
const RECONNECT_GRACE_MS: u64 = 350;

/// A host in the engine's data centre is preferred while its number of runs is at most this
/// multiple of the least loaded host's, plus this number. A run takes about a thousandth of a core
/// on its host.
const MAX_LOAD_RATIO: u32 = 2;
const MAX_EXTRA_RUNS: u32 = 24;

/// Milliseconds for which a host that is too slow to execute orders in time, or whose queue is
/// full, gets no orders while there is another host. Such a host appears idle meanwhile, and would
/// otherwise get all of them.
const OVERLOAD_MS: u64 = 1_000;

/// The name of the leader's own process as a host.
pub const LOCAL: &str = "";

#[derive(Debug)]
struct Host {
    /// The connection on which it has reported all its runs; `None` while disconnected.
    link: Option<u64>,
    /// A newer connection on which it has not reported all its runs yet.
    reporting_link: Option<u64>,
    data_centre: String,
    lost_at: Millis,
    runs: u32,
    /// Until when it is considered overloaded.
    overloaded_until: Millis,
}

/// The VMs that host runs.
pub struct Hosts {
    followers: Rc<Followers>,
    local: Rc<Runner>,
    known: RefCell<BTreeMap<String, Host>>,
    /// The number of hosts that each host was last sent.
    sent_counts: RefCell<BTreeMap<String, u32>>,
    /// Whether hosts near the engine are preferred.
    prefer_near: bool,
}

impl Hosts {
    /// Creates an instance with only this process as a host, which hosts runs while there is no
    /// other.
    pub fn new(followers: Rc<Followers>, local: Rc<Runner>, prefer_near: bool) -> Self {
        let (known, sent_counts) = (RefCell::default(), RefCell::default());
        Self { followers, local, known, sent_counts, prefer_near }
    }

    /// Records that a host has reported all its runs on a connection. Returns whether that counts:
    /// a late message on an older connection says nothing about the reports on the newest one.
    pub fn reported(&self, node: &str, data_centre: &str, link: u64) -> bool {
        let mut known = self.known.borrow_mut();
        let host = known.entry(node.to_owned()).or_insert(Host {
            link: None,
            reporting_link: None,
            data_centre: data_centre.to_owned(),
            lost_at: Millis::default(),
            runs: 0,
            overloaded_until: Millis::default(),
        });
        if host.link.max(host.reporting_link) > Some(link) {
            return false;
        }
        host.link = Some(link);
        host.reporting_link = None;
        // The host may have restarted.
        self.sent_counts.borrow_mut().remove(node);
        true
    }

    /// Records that a host has connected but has not reported its runs yet. It is not considered
    /// gone during that time; otherwise its runs would be taken away although it has just reported
    /// them.
    pub fn connecting(&self, node: &str, link: u64) {
        if let Some(host) = self.known.borrow_mut().get_mut(node) {
            host.reporting_link = Some(link);
        }
    }

    /// Records that a host's connection has ended. A host that was silent before gets no further
    /// time to reconnect.
    pub fn disconnected(&self, node: &str, link: u64, silent: bool) {
        let mut known = self.known.borrow_mut();
        let this = |host: &&mut Host| host.link == Some(link) || host.reporting_link == Some(link);
        if let Some(host) = known.get_mut(node).filter(this) {
            host.link = host.link.filter(|other| *other != link);
            host.reporting_link = host.reporting_link.filter(|other| *other != link);
            let now = clock::now().0;
            host.lost_at =
                Millis(if silent { now.saturating_sub(RECONNECT_GRACE_MS) } else { now });
        }
    }

    /// Removes and returns the hosts that have been disconnected for too long.
    pub fn take_expired(&self) -> Vec<String> {
        let mut known = self.known.borrow_mut();
        let now = clock::now();
        let is_gone = |host: &Host| {
            host.link.is_none()
                && host.reporting_link.is_none()
                && now.since(host.lost_at) >= RECONNECT_GRACE_MS
        };
        let names: Vec<String> =
            known.iter().filter(|(_, host)| is_gone(host)).map(|(name, _)| name.clone()).collect();
        known.retain(|_, host| !is_gone(host));
        self.sent_counts.borrow_mut().retain(|name, _| !names.contains(name));
        names
    }

    /// Returns the number of hosts. A disconnected host counts until its runs are moved, because it
    /// may still execute them. Without other hosts, this process is the only one.
    pub fn count(&self) -> u32 {
        self.known.borrow().len().max(1) as u32
    }

    /// Returns whether these hosts, and those that are connected, have reported all their runs.
    /// False if there are none, because a new leader then knows nothing about hosts yet.
    pub fn all_reported(&self, mut expected: BTreeSet<String>) -> bool {
        expected.extend(self.followers.hosts());
        let known = self.known.borrow();
        !expected.is_empty() && expected.iter().all(|name| known.contains_key(name))
    }

    /// Chooses a host for a run in a data centre: the one there with the fewest runs, so that
    /// events stay in the data centre and connections to an engine are reused, unless it has many
    /// more runs than others.
    pub fn choose(&self, data_centre: &str) -> String {
        let mut known = self.known.borrow_mut();
        let now = clock::now();
        let linked = |host: &Host| host.link.is_some();
        let any_on_time = known.values().any(|host| linked(host) && host.overloaded_until <= now);
        let is_eligible =
            |host: &Host| linked(host) && (!any_on_time || host.overloaded_until <= now);
        let live = || known.iter().filter(|(_, host)| is_eligible(host));
        let fewest = live().min_by_key(|(_, host)| host.runs);
        let near = live().filter(|(_, host)| host.data_centre == data_centre);
        let near = near.min_by_key(|(_, host)| host.runs);
        let Some((other, least)) = fewest.map(|(name, host)| (name.clone(), host.runs)) else {
            return LOCAL.to_owned();
        };
        let near = near.filter(|(_, host)| {
            self.prefer_near && host.runs <= MAX_LOAD_RATIO * least + MAX_EXTRA_RUNS
        });
        let chosen = near.map_or(other, |(name, _)| name.clone());
        if let Some(host) = known.get_mut(&chosen) {
            host.runs += 1;
        }
        chosen
    }

    /// Records that a host executes orders too late, or that its queue is full.
    pub fn mark_overloaded(&self, node: &str) {
        if let Some(host) = self.known.borrow_mut().get_mut(node) {
            host.overloaded_until = clock::now() + OVERLOAD_MS;
        }
    }

    /// Records that a host has one run less.
    pub fn release_run(&self, node: &str) {
        if let Some(host) = self.known.borrow_mut().get_mut(node) {
            host.runs = host.runs.saturating_sub(1);
        }
    }

    /// Sends work to a host. Returns whether it was sent.
    pub fn send(&self, node: &str, work: HostCommand) -> bool {
        if node == LOCAL {
            self.local.handle_local(work);
            return true;
        }
        self.followers.send_work(node, work)
    }

    /// Sends a run to a host, preceded by the number of hosts if that is given and the host was
    /// sent another one. Returns whether the run was sent.
    pub fn send_run(&self, node: &str, job: Box<Job>, count: Option<u32>) -> bool {
        let known = self.sent_counts.borrow().get(node).copied();
        if let Some(count) = count.filter(|count| known != Some(*count))
            && self.send(node, HostCommand::HostCount(count))
        {
            self.sent_counts.borrow_mut().insert(node.to_owned(), count);
        }
        self.send(node, HostCommand::Run(job))
    }

    /// Asks all hosts to report their runs again, and returns their names. A host that is still
    /// reporting is asked as well, because its earlier reports may have been ignored.
    pub fn request_reports(&self) -> BTreeSet<String> {
        let mut hosts = self.followers.hosts();
        hosts.extend(self.known.borrow().keys().cloned());
        for name in &hosts {
            // A disconnected host reports when it reconnects.
            self.send(name, HostCommand::Tell);
        }
        hosts
    }

    /// Makes a host stop a run, or forget one that has ended. Returns whether the order was sent. A
    /// disconnected host reports the run when it reconnects, and is told to stop it then.
    pub fn stop(&self, node: &str, step: &str, index: u32, run: u64) -> bool {
        self.send(node, HostCommand::Stop { step: step.to_owned(), index, run })
    }
}
