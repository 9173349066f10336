//! The VMs that host runs, as the leader sees them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use chicoryford_fleet::run::Work;
use chicoryford_types::Millis;

use crate::clock;
use crate::followers::Followers;
use crate::runner::Runner;

/// Milliseconds for which a host that was lost may come back before its runs go on elsewhere. A
/// connection that was reset is replaced within about a tenth of a second.
const ABSENT_MS: u64 = 350;

/// How many times as many runs as the idlest host one may have, and how many more, to be given one
/// of its own data centre. A run takes a host about a thousandth of a core.
const UNEVEN: u32 = 2;
const MORE: u32 = 24;

/// Milliseconds for which a host that carries orders out too late, or has no room for them, is given
/// none while there is another. It looks idle meanwhile, and would be given all of them.
const BEHIND_MS: u64 = 1_000;

/// The name of the leader's own process as a host.
pub const LOCAL: &str = "";

#[derive(Debug)]
struct Host {
    /// The connection; none while it is lost.
    link: Option<u64>,
    /// A newer connection, on which it has not told of all its runs yet.
    telling: Option<u64>,
    data_centre: String,
    lost: Millis,
    runs: u32,
    /// Until when it is taken to be behind.
    behind: Millis,
}

/// The VMs that host runs.
pub struct Hosts {
    followers: Rc<Followers>,
    own: Rc<Runner>,
    known: RefCell<BTreeMap<String, Host>>,
    /// Whether hosts near the engine come first.
    near: bool,
}

impl Hosts {
    /// Starts without any other host than this process, which hosts runs while there is none.
    pub fn new(followers: Rc<Followers>, own: Rc<Runner>, near: bool) -> Self {
        Self { followers, own, known: RefCell::default(), near }
    }

    /// Notes that a host has connected and told of its runs; tells whether that counts. A word that came
    /// late on a connection before its newest one says nothing of what it tells on that.
    pub fn reported(&self, node: &str, data_centre: &str, link: u64) -> bool {
        let mut known = self.known.borrow_mut();
        let host = known.entry(node.to_owned()).or_insert(Host {
            link: None,
            telling: None,
            data_centre: data_centre.to_owned(),
            lost: Millis::default(),
            runs: 0,
            behind: Millis::default(),
        });
        if host.link.max(host.telling) > Some(link) {
            return false;
        }
        host.link = Some(link);
        host.telling = None;
        true
    }

    /// Notes that a host has connected and is about to tell of its runs. It is not gone meanwhile:
    /// its runs would be taken away although it has just told of them.
    pub fn connecting(&self, node: &str, link: u64) {
        if let Some(host) = self.known.borrow_mut().get_mut(node) {
            host.telling = Some(link);
        }
    }

    /// Notes that a host's connection has ended. One that was silent before has had its time.
    pub fn disconnected(&self, node: &str, link: u64, silent: bool) {
        let mut known = self.known.borrow_mut();
        let this = |host: &&mut Host| host.link == Some(link) || host.telling == Some(link);
        if let Some(host) = known.get_mut(node).filter(this) {
            host.link = host.link.filter(|other| *other != link);
            host.telling = host.telling.filter(|other| *other != link);
            let now = clock::now().0;
            host.lost = Millis(if silent { now.saturating_sub(ABSENT_MS) } else { now });
        }
    }

    /// Gives the hosts that have been lost for too long, and forgets them.
    pub fn take_expired(&self) -> Vec<String> {
        let mut known = self.known.borrow_mut();
        let now = clock::now();
        let gone = |host: &Host| {
            host.link.is_none() && host.telling.is_none() && now.since(host.lost) >= ABSENT_MS
        };
        let names: Vec<String> =
            known.iter().filter(|(_, host)| gone(host)).map(|(name, _)| name.clone()).collect();
        known.retain(|_, host| !gone(host));
        names
    }

    /// Chooses a host for a run in a data centre: the one there with the fewest runs, so that events
    /// stay in the data centre and connections to an engine are used again, unless it has many more
    /// than others.
    pub fn choose(&self, data_centre: &str) -> String {
        let mut known = self.known.borrow_mut();
        let now = clock::now();
        let linked = |host: &Host| host.link.is_some();
        let prompt = known.values().any(|host| linked(host) && host.behind <= now);
        let fit = |host: &Host| linked(host) && (!prompt || host.behind <= now);
        let live = || known.iter().filter(|(_, host)| fit(host));
        let fewest = live().min_by_key(|(_, host)| host.runs);
        let near = live().filter(|(_, host)| host.data_centre == data_centre);
        let near = near.min_by_key(|(_, host)| host.runs);
        let Some((other, least)) = fewest.map(|(name, host)| (name.clone(), host.runs)) else {
            return LOCAL.to_owned();
        };
        let near = near.filter(|(_, host)| self.near && host.runs <= UNEVEN * least + MORE);
        let chosen = near.map_or(other, |(name, _)| name.clone());
        if let Some(host) = known.get_mut(&chosen) {
            host.runs += 1;
        }
        chosen
    }

    /// Notes that a host carries orders out too late, or has no room for them.
    pub fn mark_overloaded(&self, node: &str) {
        if let Some(host) = self.known.borrow_mut().get_mut(node) {
            host.behind = clock::now() + BEHIND_MS;
        }
    }

    /// Notes that a host has one run less.
    pub fn release_run(&self, node: &str) {
        if let Some(host) = self.known.borrow_mut().get_mut(node) {
            host.runs = host.runs.saturating_sub(1);
        }
    }

    /// Gives a host work; tells whether it was sent.
    pub fn send(&self, node: &str, work: Work) -> bool {
        if node == LOCAL {
            self.own.handle_local(work);
            return true;
        }
        self.followers.send_work(node, work)
    }

    /// Has all hosts tell of their runs again; gives which those are. One that is telling at this moment
    /// is asked as well: what it told before may have been passed over.
    pub fn request_reports(&self) -> BTreeSet<String> {
        let mut hosts = self.followers.hosts();
        hosts.extend(self.known.borrow().keys().cloned());
        for name in &hosts {
            // One that is not connected tells when it is.
            self.send(name, Work::Tell);
        }
        hosts
    }

    /// Stops a run, or forgets one that has ended; tells whether its host was told. One that is not
    /// connected tells of the run when it is, and is told to stop it then.
    pub fn stop(&self, node: &str, step: &str, index: u32, run: u64) -> bool {
        self.send(node, Work::Stop { step: step.to_owned(), index, run })
    }
}
