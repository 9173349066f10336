//! Measures the cost of a committed entry: CPU time of all replicas together, and messages and
//! bytes between them, with 3, 5 and 7 replicas and proposals in batches and one by one.
//!
//! `cargo run --release -p chicoryford-agreement --example cost -- [seed]`

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;
use chicoryford_agreement::Action;
use chicoryford_agreement::Event;
use chicoryford_agreement::Founder;
use chicoryford_agreement::Message;
use chicoryford_agreement::Proposal;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Role;
use chicoryford_agreement::Saved;
use chicoryford_agreement::Settings;
use chicoryford_agreement::Snapshot;
use chicoryford_agreement::SnapshotMeta;
use chicoryford_agreement::Token;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;

const ENTRIES: u64 = 100_000;
const ENTRY_BYTES: usize = 200;
const BATCH: u64 = 64;
const SNAPSHOT_EVERY: u64 = 8_192;

#[derive(Default)]
struct Counters {
    messages: u64,
    bytes: u64,
    committed: u64,
    syncs: u64,
}

struct Group {
    replicas: Vec<Replica>,
    queue: VecDeque<Message>,
    synced: Vec<Option<u64>>,
    now: Millis,
    counters: Counters,
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed={seed} entries={ENTRIES} entry_bytes={ENTRY_BYTES}");
    for replicas in [3, 5, 7] {
        for batch in [BATCH, 1] {
            measure(replicas, batch, seed);
        }
    }
}

fn measure(replicas: usize, batch: u64, seed: u64) {
    let mut group = Group::new(replicas, seed);
    let leader = group.elect();
    group.counters = Counters::default();
    let start = Instant::now();
    let mut next = 0;
    while next < ENTRIES {
        let proposals = (next..next + batch).map(proposal).collect();
        group.handle_event(leader, Event::Propose(proposals));
        group.deliver_all();
        next += batch;
    }
    let ns = start.elapsed().as_nanos() as u64;
    let Counters { messages, bytes, committed, syncs } = group.counters;
    println!(
        "replicas={replicas} batch={batch} ns_an_entry={} messages_an_entry={:.3} \
         bytes_an_entry={:.0} syncs_an_entry={:.3}",
        ns / committed,
        messages as f64 / committed as f64,
        bytes as f64 / committed as f64,
        syncs as f64 / committed as f64,
    );
}

fn proposal(number: u64) -> Proposal {
    Proposal { token: Token(number), data: Bytes::from(vec![number as u8; ENTRY_BYTES]) }
}

impl Group {
    fn new(count: usize, seed: u64) -> Self {
        let names: Vec<String> = (0..count).map(|n| format!("control-{n}")).collect();
        let founder = |name: &String| Founder {
            node: name.as_str().into(),
            address: format!("{name}.example:7100"),
        };
        let founders: Vec<Founder> = names.iter().map(founder).collect();
        let replica = |(index, name): (usize, &String)| {
            let id = ReplicaId::new(name.as_str(), Incarnation(1));
            let settings = Settings { id, founders: founders.clone(), ..Settings::default() };
            Replica::new(settings, Saved::default(), seed + index as u64)
        };
        let replicas = names.iter().enumerate().map(replica).collect();
        let synced = vec![None; count];
        Self {
            replicas,
            queue: VecDeque::new(),
            synced,
            now: Millis(0),
            counters: Counters::default(),
        }
    }

    fn elect(&mut self) -> usize {
        loop {
            self.now = self.now + 20;
            for index in 0..self.replicas.len() {
                self.handle_event(index, Event::Tick);
            }
            self.deliver_all();
            let leads = |r: &Replica| r.role() == Role::Leader && r.holds_lease(self.now);
            if let Some(leader) = self.replicas.iter().position(leads) {
                return leader;
            }
        }
    }

    fn deliver_all(&mut self) {
        loop {
            for index in 0..self.replicas.len() {
                if let Some(write) = self.synced[index].take() {
                    self.counters.syncs += 1;
                    self.handle_event(index, Event::Synced { write });
                }
            }
            let Some(message) = self.queue.pop_front() else {
                if self.synced.iter().all(Option::is_none) {
                    return;
                }
                continue;
            };
            let to = self.replicas.iter().position(|replica| replica.id().node == message.to.node);
            if let Some(to) = to {
                self.handle_event(to, Event::Message(message));
            }
        }
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let actions = self.replicas[index].handle(self.now, event);
        for action in actions {
            match action {
                Action::Persist(write) => self.synced[index] = Some(write.number),
                Action::Send(message) => {
                    self.counters.messages += 1;
                    self.counters.bytes += size(&message);
                    self.queue.push_back(message);
                }
                Action::Commit(entries) => {
                    let own = entries.iter().filter(|committed| committed.token.is_some());
                    self.counters.committed += own.count() as u64;
                    self.compact(index);
                }
                _ => {}
            }
        }
    }

    fn compact(&mut self, index: usize) {
        let replica = &self.replicas[index];
        let status = replica.status();
        if status.commit < status.snapshot.index + SNAPSHOT_EVERY {
            return;
        }
        let Some(last) = replica.entry_id(status.commit) else { return };
        let meta = SnapshotMeta { last, members: replica.members_at(last.index) };
        self.handle_event(index, Event::SnapshotTaken(Snapshot { meta, data: Bytes::new() }));
    }
}

/// Returns the size of a message as MessagePack in bytes.
fn size(message: &Message) -> u64 {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len() as u64)
}
