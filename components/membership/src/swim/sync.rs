//! Pages for joining processes, and digest comparison as anti-entropy for lost updates.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64;

use super::Action;
use super::Swim;
use super::table::Entry;
use crate::message::Body;
use crate::message::MemberSummary;
use crate::message::Message;
use crate::message::StandingReport;
use crate::message::Update;

/// Milliseconds after which a page is requested again.
const PAGE_RETRY_MS: u64 = 500;
/// Approximate members per bucket: the summaries of one bucket fit into a datagram.
const BUCKET_MEMBERS: usize = 8;
/// Maximum number of buckets: their digests fit into a datagram.
const MAX_BUCKETS: usize = 128;
/// Differing buckets that are answered per comparison; the next comparison continues.
const MAX_ANSWERED_BUCKETS: usize = 4;
/// Maximum datagrams sent in reply to one datagram.
const MAX_REPLY_DATAGRAMS: usize = 4;
/// One comparison in this many goes to a member that seems lost, so that separated parts of the
/// deployment find each other again.
const LOST_SYNC_INTERVAL: u32 = 4;
/// Bytes reserved for the name in [`Body::PageReply`].
const NAME_BYTES: usize = 80;

/// The progress of a process that requests all members, page by page.
#[derive(Default)]
pub(super) struct Joining {
    after: Node,
    requested: Option<Millis>,
}

impl Swim {
    /// Requests the next page if it is due.
    pub(super) fn request_next_page(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(joining) = &self.joining else { return };
        if joining.requested.is_some_and(|requested| now < requested + PAGE_RETRY_MS) {
            return;
        }
        let seed = self.seeds.choose(&mut self.random).copied();
        let member = self.pick_present(true).map(|(_, address)| address);
        let known = self.table.present() > 0 && self.random.random_bool(0.5);
        let target = if known { member.or(seed) } else { seed.or(member) };
        if let Some(target) = target {
            self.request_page(target, now, actions);
        }
    }

    fn request_page(&mut self, to: SocketAddr, now: Millis, actions: &mut Vec<Action>) {
        let Some(joining) = &mut self.joining else { return };
        joining.requested = Some(now);
        let after = joining.after.clone();
        let own = vec![Update::Alive(self.own.clone())];
        self.send_updates(to, Body::Page { after }, own, actions);
    }

    /// Sends as many members after a name as fit.
    pub(super) fn send_page(
        &mut self,
        to: SocketAddr,
        requester: &Node,
        after: &Node,
        actions: &mut Vec<Action>,
    ) {
        let body = Body::PageReply { last: None };
        let message = Message { from: self.own.node.clone(), body, updates: Vec::new() };
        let mut room = self.room(&message).saturating_sub(NAME_BYTES);
        let mut updates = Vec::new();
        if after.as_str().is_empty() {
            self.push_own(&mut updates);
        }
        if let Some(report) = self.standing_report(requester) {
            updates.push(Update::Standing(report));
        }
        room = room.saturating_sub(total_size(&updates));
        let mut last = None;
        let mut complete = true;
        for entry in self.table.after(after) {
            let mut about = Vec::new();
            self.push_entry(entry, &mut about);
            let size = total_size(&about);
            if size > room && last.is_some() {
                complete = false;
                break;
            }
            room = room.saturating_sub(size);
            last = Some(entry.member.node.clone());
            updates.append(&mut about);
        }
        let last = last.filter(|_| !complete);
        self.send_updates(to, Body::PageReply { last }, updates, actions);
    }

    /// Records the end of the page and requests the next one.
    pub(super) fn on_page_reply(
        &mut self,
        from: SocketAddr,
        last: Option<Node>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(joining) = &mut self.joining else { return };
        match last {
            None => self.joining = None,
            Some(last) if last > joining.after => {
                joining.after = last;
                self.request_page(from, now, actions);
            }
            Some(_) => {}
        }
    }

    /// Starts a digest comparison with another process.
    pub(super) fn send_digests(&mut self, actions: &mut Vec<Action>) {
        let pick_lost =
            self.random.random_range(0..LOST_SYNC_INTERVAL) == 0 || self.table.present() == 0;
        let found = if pick_lost { self.pick_lost() } else { None };
        let Some((node, address)) = found.or_else(|| self.pick_present(false)) else { return };
        let digests = self.digests(bucket_count(self.table.present() + 1));
        self.send(address, &node, Body::Digests { digests }, actions);
    }

    fn pick_lost(&mut self) -> Option<(Node, SocketAddr)> {
        let present = self.table.iter().filter(|entry| entry.is_present());
        let present: Vec<SocketAddr> = present.filter_map(|entry| entry.address).collect();
        let seeds = self.seeds.iter().filter(|seed| !present.contains(seed));
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        let seed = seeds.choose(&mut self.random).map(|seed| (Node::default(), *seed));
        let dead = self.pick_random(|entry| entry.standing == Standing::Dead);
        match (seed, dead) {
            (Some(seed), Some(dead)) => Some(if self.random.random() { seed } else { dead }),
            (seed, dead) => seed.or(dead),
        }
    }

    fn digests(&self, of: usize) -> Vec<u32> {
        let mut digests = vec![0; of];
        let own = (&self.own.node, self.own.incarnation, self.announced);
        let present = self.table.iter().filter(|entry| entry.is_present());
        let present = present.map(|e| (&e.member.node, e.member.incarnation, e.announced));
        for (node, incarnation, announced) in present.chain(std::iter::once(own)) {
            digests[bucket(node, of)] ^= digest(node, incarnation, announced);
        }
        digests
    }

    /// Replies to digests with summaries of the buckets that differ, up to a limit.
    pub(super) fn on_digests(
        &mut self,
        to: SocketAddr,
        requester: &Node,
        theirs: &[u32],
        actions: &mut Vec<Action>,
    ) {
        let of = theirs.len();
        if of == 0 || of > MAX_BUCKETS {
            return;
        }
        let mine = self.digests(of);
        let start = self.random.random_range(0..of);
        let indexes = (0..of).map(|n| (start + n) % of);
        let differ: Vec<usize> =
            indexes.filter(|n| mine[*n] != theirs[*n]).take(MAX_ANSWERED_BUCKETS).collect();
        for index in differ {
            let members = self.summaries(of, index);
            let body = Body::Bucket { of: of as u32, index: index as u32, members };
            self.send(to, requester, body, actions);
        }
    }

    fn summaries(&self, of: usize, index: usize) -> Vec<MemberSummary> {
        let own = MemberSummary {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            announced: self.announced,
            standing: Standing::Alive,
        };
        let others = self.table.iter().map(|entry| MemberSummary {
            node: entry.member.node.clone(),
            incarnation: entry.member.incarnation,
            announced: entry.announced,
            standing: entry.standing,
        });
        others
            .chain(std::iter::once(own))
            .filter(|summary| bucket(&summary.node, of) == index)
            .collect()
    }

    /// Sends updates that are newer here and requests members that are newer at the sender.
    pub(super) fn on_bucket(
        &mut self,
        from: SocketAddr,
        sender: &Node,
        (of, index): (u32, u32),
        summaries: &[MemberSummary],
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let (of, index) = (of as usize, index as usize);
        if of == 0 || of > MAX_BUCKETS || index >= of {
            return;
        }
        let theirs: BTreeMap<&Node, &MemberSummary> =
            summaries.iter().map(|summary| (&summary.node, summary)).collect();
        let mut missing = Vec::new();
        let mut updates = Vec::new();
        for mine in self.summaries(of, index) {
            let older = theirs
                .get(&mine.node)
                .is_none_or(|summary| version_of(summary) < version_of(&mine));
            let gone = mine.standing >= Standing::Dead;
            let lacks = older && (!gone || theirs.contains_key(&mine.node));
            let contradicts = theirs.get(&mine.node).is_some_and(|summary| {
                version_of(summary) == version_of(&mine)
                    && gone
                    && summary.standing < Standing::Dead
            });
            if lacks || contradicts {
                self.push_node(&mine.node, &mut updates);
            }
        }
        for summary in summaries {
            match self.table.get(&summary.node) {
                Some(entry)
                    if version_of(summary) > (entry.member.incarnation, entry.announced) =>
                {
                    missing.push(summary.node.clone());
                }
                None if summary.node != self.own.node => missing.push(summary.node.clone()),
                _ => self.on_summary(summary, sender, now, actions),
            }
        }
        self.send_in_datagrams(from, updates, actions);
        if !missing.is_empty() {
            self.send_updates(from, Body::Fetch { nodes: missing }, Vec::new(), actions);
        }
    }

    /// Applies the summary of a member that is dead or departed in another process's view but
    /// present in this one.
    fn on_summary(
        &mut self,
        summary: &MemberSummary,
        sender: &Node,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if summary.standing < Standing::Dead {
            return;
        }
        let left = summary.standing == Standing::Left;
        let report = StandingReport {
            node: summary.node.clone(),
            incarnation: summary.incarnation,
            announced: summary.announced,
            standing: summary.standing,
            reporter: if left { summary.node.clone() } else { sender.clone() },
        };
        self.on_standing_report(report, now, true, actions);
    }

    /// Sends everything known about some members.
    pub(super) fn send_members(
        &mut self,
        to: SocketAddr,
        nodes: &[Node],
        actions: &mut Vec<Action>,
    ) {
        let mut updates = Vec::new();
        for node in nodes {
            self.push_node(node, &mut updates);
        }
        self.send_in_datagrams(to, updates, actions);
    }

    fn push_node(&self, node: &Node, updates: &mut Vec<Update>) {
        if *node == self.own.node {
            self.push_own(updates);
        } else if let Some(entry) = self.table.get(node) {
            self.push_entry(entry, updates);
        }
    }

    fn push_own(&self, updates: &mut Vec<Update>) {
        updates.push(Update::Alive(renumbered(&self.own, self.announced)));
    }

    fn push_entry(&self, entry: &Entry, updates: &mut Vec<Update>) {
        updates.push(Update::Alive(renumbered(&entry.member, entry.announced)));
        updates.extend(self.standing_report(&entry.member.node).map(Update::Standing));
    }

    fn send_in_datagrams(
        &mut self,
        to: SocketAddr,
        updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
        let empty =
            Message { from: self.own.node.clone(), body: Body::Gossip, updates: Vec::new() };
        let capacity = self.room(&empty);
        let mut room = capacity;
        let mut batch = Vec::new();
        let mut sent = 0;
        for update in updates {
            let size = update.size();
            if size > room && !batch.is_empty() {
                self.send_updates(to, Body::Gossip, std::mem::take(&mut batch), actions);
                room = capacity;
                sent += 1;
                if sent == MAX_REPLY_DATAGRAMS {
                    return;
                }
            }
            room = room.saturating_sub(size);
            batch.push(update);
        }
        if !batch.is_empty() {
            self.send_updates(to, Body::Gossip, batch, actions);
        }
    }
}

/// Returns an announcement with the sequence number of the refutation that confirmed it.
fn renumbered(member: &Arc<Member>, announced: u64) -> Arc<Member> {
    if member.announced == announced {
        return member.clone();
    }
    Arc::new(Member { announced, ..(**member).clone() })
}

fn version_of(summary: &MemberSummary) -> (Incarnation, u64) {
    (summary.incarnation, summary.announced)
}

fn total_size(updates: &[Update]) -> usize {
    updates.iter().map(Update::size).sum()
}

fn bucket_count(members: usize) -> usize {
    (members / BUCKET_MEMBERS).next_power_of_two().clamp(1, MAX_BUCKETS)
}

fn bucket(node: &Node, of: usize) -> usize {
    (xxh3_64(node.as_str().as_bytes()) % of as u64) as usize
}

fn digest(node: &Node, incarnation: Incarnation, announced: u64) -> u32 {
    let mut bytes = Vec::with_capacity(node.as_str().len() + 2 * size_of::<u64>());
    bytes.extend_from_slice(node.as_str().as_bytes());
    bytes.extend_from_slice(&incarnation.0.to_be_bytes());
    bytes.extend_from_slice(&announced.to_be_bytes());
    xxh3_64(&bytes) as u32
}
