//! Pages for those who join, and digests against news that were lost.

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
use crate::message::Accusation;
use crate::message::Body;
use crate::message::Held;
use crate::message::Message;
use crate::message::Update;

/// Milliseconds after which a page is asked for again.
const PAGE_MS: u64 = 500;
/// Members for each bucket, roughly: the list of one bucket fits a datagram.
const BUCKET: usize = 8;
/// Most buckets; their digests fit a datagram.
const BUCKETS: usize = 128;
/// Buckets that differ and are answered in one comparison; the next one goes on.
const ANSWERED: usize = 4;
/// Datagrams that are sent in answer to one.
const PIECES: usize = 4;
/// One comparison in this many goes to somebody who seems lost, so that two parts of the
/// deployment that lost each other find back together.
const LOST: u32 = 4;
/// Room that the name in [`Body::Piece`] may take.
const NAME: usize = 80;

/// How far a process has come that asks for everyone, page by page.
#[derive(Default)]
pub(super) struct Joining {
    after: Node,
    asked: Option<Millis>,
}

impl Swim {
    /// Asks for the next page, if it is time.
    pub(super) fn join(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(joining) = &self.joining else { return };
        if joining.asked.is_some_and(|asked| now < asked + PAGE_MS) {
            return;
        }
        let seed = self.seeds.choose(&mut self.random).copied();
        let member = self.pick_present(true).map(|(_, address)| address);
        let known = self.table.present() > 0 && self.random.random_bool(0.5);
        let target = if known { member.or(seed) } else { seed.or(member) };
        if let Some(target) = target {
            self.ask_page(target, now, actions);
        }
    }

    fn ask_page(&mut self, to: SocketAddr, now: Millis, actions: &mut Vec<Action>) {
        let Some(joining) = &mut self.joining else { return };
        joining.asked = Some(now);
        let after = joining.after.clone();
        let own = vec![Update::Alive(self.own.clone())];
        self.tell(to, Body::Page { after }, own, actions);
    }

    /// Gives as many members after a name as fit.
    pub(super) fn give_page(
        &mut self,
        to: SocketAddr,
        asker: &Node,
        after: &Node,
        actions: &mut Vec<Action>,
    ) {
        let body = Body::Piece { last: None };
        let message = Message { from: self.own.node.clone(), body, updates: Vec::new() };
        let mut room = self.room(&message).saturating_sub(NAME);
        let mut updates = Vec::new();
        if after.as_str().is_empty() {
            self.describe_own(&mut updates);
        }
        if let Some(accusation) = self.accusation(asker) {
            updates.push(Update::Accused(accusation));
        }
        room = room.saturating_sub(sizes(&updates));
        let mut last = None;
        let mut whole = true;
        for entry in self.table.after(after) {
            let mut about = Vec::new();
            self.describe(entry, &mut about);
            let size = sizes(&about);
            if size > room && last.is_some() {
                whole = false;
                break;
            }
            room = room.saturating_sub(size);
            last = Some(entry.member.node.clone());
            updates.append(&mut about);
        }
        let last = last.filter(|_| !whole);
        self.tell(to, Body::Piece { last }, updates, actions);
    }

    /// Takes note of how far the page went, and asks for the next.
    pub(super) fn take_piece(
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
                self.ask_page(from, now, actions);
            }
            Some(_) => {}
        }
    }

    /// Compares what is held with another process.
    pub(super) fn compare(&mut self, actions: &mut Vec<Action>) {
        let lost = self.random.random_range(0..LOST) == 0 || self.table.present() == 0;
        let found = if lost { self.pick_lost() } else { None };
        let Some((node, address)) = found.or_else(|| self.pick_present(false)) else { return };
        let digests = self.digests(buckets(self.table.present() + 1));
        self.send(address, &node, Body::Sync { digests }, actions);
    }

    fn pick_lost(&mut self) -> Option<(Node, SocketAddr)> {
        let present = self.table.iter().filter(|entry| entry.is_present());
        let present: Vec<SocketAddr> = present.filter_map(|entry| entry.address).collect();
        let seeds = self.seeds.iter().filter(|seed| !present.contains(seed));
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        let seed = seeds.choose(&mut self.random).map(|seed| (Node::default(), *seed));
        let dead = self.draw(|entry| entry.standing == Standing::Dead);
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

    /// Answers digests with the buckets that differ, a bounded number of them.
    pub(super) fn answer_sync(
        &mut self,
        to: SocketAddr,
        asker: &Node,
        theirs: &[u32],
        actions: &mut Vec<Action>,
    ) {
        let of = theirs.len();
        if of == 0 || of > BUCKETS {
            return;
        }
        let mine = self.digests(of);
        let start = self.random.random_range(0..of);
        let indexes = (0..of).map(|n| (start + n) % of);
        let differ: Vec<usize> =
            indexes.filter(|n| mine[*n] != theirs[*n]).take(ANSWERED).collect();
        for index in differ {
            let held = self.held(of, index);
            let body = Body::Bucket { of: of as u32, index: index as u32, held };
            self.send(to, asker, body, actions);
        }
    }

    fn held(&self, of: usize, index: usize) -> Vec<Held> {
        let own = Held {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            announced: self.announced,
            standing: Standing::Alive,
        };
        let others = self.table.iter().map(|entry| Held {
            node: entry.member.node.clone(),
            incarnation: entry.member.incarnation,
            announced: entry.announced,
            standing: entry.standing,
        });
        others.chain(std::iter::once(own)).filter(|held| bucket(&held.node, of) == index).collect()
    }

    /// Sends what is newer here and asks for what is newer there.
    pub(super) fn take_bucket(
        &mut self,
        from: SocketAddr,
        sender: &Node,
        (of, index): (u32, u32),
        held: &[Held],
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let (of, index) = (of as usize, index as usize);
        if of == 0 || of > BUCKETS || index >= of {
            return;
        }
        let theirs: BTreeMap<&Node, &Held> = held.iter().map(|held| (&held.node, held)).collect();
        let mut want = Vec::new();
        let mut news = Vec::new();
        for mine in self.held(of, index) {
            let older = theirs.get(&mine.node).is_none_or(|held| order(held) < order(&mine));
            let gone = mine.standing >= Standing::Dead;
            let lacks = older && (!gone || theirs.contains_key(&mine.node));
            let accuses = theirs.get(&mine.node).is_some_and(|held| {
                order(held) == order(&mine) && gone && held.standing < Standing::Dead
            });
            if lacks || accuses {
                self.describe_node(&mine.node, &mut news);
            }
        }
        for held in held {
            match self.table.get(&held.node) {
                Some(entry) if order(held) > (entry.member.incarnation, entry.announced) => {
                    want.push(held.node.clone());
                }
                None if held.node != self.own.node => want.push(held.node.clone()),
                _ => self.take_held(held, sender, now, actions),
            }
        }
        self.pieces(from, news, actions);
        if !want.is_empty() {
            self.tell(from, Body::Want { nodes: want }, Vec::new(), actions);
        }
    }

    /// Takes that another process holds a member for dead or gone which is present here.
    fn take_held(&mut self, held: &Held, sender: &Node, now: Millis, actions: &mut Vec<Action>) {
        if held.standing < Standing::Dead {
            return;
        }
        let left = held.standing == Standing::Left;
        let accusation = Accusation {
            node: held.node.clone(),
            incarnation: held.incarnation,
            announced: held.announced,
            standing: held.standing,
            by: if left { held.node.clone() } else { sender.clone() },
        };
        self.take_accused(accusation, now, true, actions);
    }

    /// Gives all that is known of some members.
    pub(super) fn give(&mut self, to: SocketAddr, nodes: &[Node], actions: &mut Vec<Action>) {
        let mut updates = Vec::new();
        for node in nodes {
            self.describe_node(node, &mut updates);
        }
        self.pieces(to, updates, actions);
    }

    fn describe_node(&self, node: &Node, updates: &mut Vec<Update>) {
        if *node == self.own.node {
            self.describe_own(updates);
        } else if let Some(entry) = self.table.get(node) {
            self.describe(entry, updates);
        }
    }

    fn describe_own(&self, updates: &mut Vec<Update>) {
        updates.push(Update::Alive(renumbered(&self.own, self.announced)));
    }

    fn describe(&self, entry: &Entry, updates: &mut Vec<Update>) {
        updates.push(Update::Alive(renumbered(&entry.member, entry.announced)));
        updates.extend(self.accusation(&entry.member.node).map(Update::Accused));
    }

    fn pieces(&mut self, to: SocketAddr, updates: Vec<Update>, actions: &mut Vec<Action>) {
        let empty = Message { from: self.own.node.clone(), body: Body::News, updates: Vec::new() };
        let whole = self.room(&empty);
        let mut room = whole;
        let mut piece = Vec::new();
        let mut sent = 0;
        for update in updates {
            let size = update.size();
            if size > room && !piece.is_empty() {
                self.tell(to, Body::News, std::mem::take(&mut piece), actions);
                room = whole;
                sent += 1;
                if sent == PIECES {
                    return;
                }
            }
            room = room.saturating_sub(size);
            piece.push(update);
        }
        if !piece.is_empty() {
            self.tell(to, Body::News, piece, actions);
        }
    }
}

/// Gives an announcement the number of the refutation that repeated it.
fn renumbered(member: &Arc<Member>, announced: u64) -> Arc<Member> {
    if member.announced == announced {
        return member.clone();
    }
    Arc::new(Member { announced, ..(**member).clone() })
}

fn order(held: &Held) -> (Incarnation, u64) {
    (held.incarnation, held.announced)
}

fn sizes(updates: &[Update]) -> usize {
    updates.iter().map(Update::size).sum()
}

fn buckets(members: usize) -> usize {
    (members / BUCKET).next_power_of_two().clamp(1, BUCKETS)
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
