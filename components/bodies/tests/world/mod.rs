//! A ledger, entries that hold bodies, and a trainer that checks the batches that it receives.

use std::collections::BTreeMap;

use bytes::Bytes;
use chicoryford_bodies::Candidate;
use chicoryford_bodies::PutError;
use chicoryford_bodies::Store;
use chicoryford_bodies::is_inline;
use chicoryford_bodies::matches_digest;
use chicoryford_bodies::rank_candidates;
use chicoryford_ledger::Audit;
use chicoryford_ledger::Body;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::GroupSpec;
use chicoryford_ledger::Holder;
use chicoryford_ledger::Ledger;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::StepSpec;
use chicoryford_ledger::UnderReplicated;
use chicoryford_types::Cursor;
use chicoryford_types::DataCentre;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::SampleNo;
use chicoryford_types::Span;
use chicoryford_types::Step;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const ENTRIES: usize = 6;
const GROUPS: u32 = 6;
const SAMPLES: u32 = 2;
const SIZE: usize = 3_000;
const STORE_BYTES: usize = 10 * SIZE;
/// The most copies of a body that may be lost between two repairs.
const LOSSES: usize = 2;

/// An event.
#[derive(Clone, Debug)]
pub enum Op {
    /// A sample finishes; `text` distinguishes attempts.
    Done { group: u32, number: u32, text: u8 },
    /// A holder dies.
    Die(usize),
    /// A holder restarts without its bodies.
    Restart(usize),
    /// A holder's memory is corrupted.
    Corrupt(usize),
    /// The owner of the step repairs bodies.
    Repair,
    /// All holders drop the bodies that are no longer needed.
    DropUnneeded,
    /// The trainer pulls, possibly the same batch again.
    Pull,
    /// The trainer acknowledges.
    Ack,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES;
        match u8::arbitrary(g) % 100 {
            0..=39 => Self::Done {
                group: u32::arbitrary(g) % GROUPS,
                number: u32::arbitrary(g) % SAMPLES,
                text: u8::arbitrary(g) % 4,
            },
            40..=51 => Self::Die(entry),
            52..=65 => Self::Restart(entry),
            66..=67 => Self::Corrupt(entry),
            68..=83 => Self::Repair,
            84..=86 => Self::DropUnneeded,
            87..=94 => Self::Pull,
            _ => Self::Ack,
        }
    }
}

/// Which protections are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Protections {
    pub repair: bool,
    pub verify: bool,
    pub copies: usize,
    pub incarnations: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            repair: true,
            verify: true,
            copies: chicoryford_ledger::HOLDERS_PER_BODY,
            incarnations: true,
        }
    }
}

/// The events that occurred in a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    held: u64,
    inline: u64,
    full: u64,
    deaths: u64,
    repaired: u64,
    corrupted: u64,
    dropped: u64,
    pulled: u64,
    steps: u64,
}

impl Counts {
    fn all(&self) -> [u64; 9] {
        let Self { held, inline, full, deaths, repaired, corrupted, dropped, pulled, steps } =
            *self;
        [held, inline, full, deaths, repaired, corrupted, dropped, pulled, steps]
    }

    pub fn add(&mut self, other: &Self) {
        self.held += other.held;
        self.inline += other.inline;
        self.full += other.full;
        self.deaths += other.deaths;
        self.repaired += other.repaired;
        self.corrupted += other.corrupted;
        self.dropped += other.dropped;
        self.pulled += other.pulled;
        self.steps += other.steps;
    }

    pub fn all_occurred(&self) -> bool {
        self.all().iter().all(|count| *count > 0)
    }
}

struct Entry {
    store: Store,
    incarnation: u64,
    alive: bool,
    corrupt: Vec<BodyName>,
}

pub struct World {
    pub counts: Counts,
    protections: Protections,
    ledger: Ledger,
    entries: Vec<Entry>,
    step: u64,
    lost: usize,
    now: Millis,
    cursor: u64,
    pulled: Option<Vec<Bytes>>,
    received: BTreeMap<(u64, u32, u32), u32>,
}

fn name_of(index: usize) -> Node {
    Node(format!("entry-{index}"))
}

impl World {
    pub fn new(protections: Protections) -> Self {
        let entry = |_| Entry {
            store: Store::new(STORE_BYTES),
            incarnation: 1,
            alive: true,
            corrupt: Vec::new(),
        };
        let mut world = Self {
            counts: Counts::default(),
            protections,
            ledger: Ledger::default(),
            entries: (0..ENTRIES).map(entry).collect(),
            step: 0,
            lost: 0,
            now: Millis(0),
            cursor: 1,
            pulled: None,
            received: BTreeMap::new(),
        };
        world.open();
        world
    }

    fn key(&self) -> StepKey {
        StepKey { workspace: Workspace::from("routes"), step: Step(self.step) }
    }

    fn apply(&mut self, command: LedgerCommand) -> LedgerReply {
        self.ledger.apply(command, |_| Version(0))
    }

    fn open(&mut self) {
        self.step += 1;
        let StepKey { workspace, step } = self.key();
        let groups = vec![GroupSpec::default(); GROUPS as usize];
        let spec = StepSpec { workspace, step, groups, samples: SAMPLES, ..StepSpec::default() };
        assert_eq!(self.apply(LedgerCommand::Open { spec, bound: 2 }), LedgerReply::Opened);
        let key = self.key();
        self.apply(LedgerCommand::Take { key, session: 1 });
    }

    pub fn step(&mut self, op: Op) -> Result<(), String> {
        self.now = self.now + 20_000;
        match op {
            Op::Done { group, number, text } => self.done(group, number, text),
            Op::Die(index) => {
                if self.lost_copies() < LOSSES && self.entries[index].alive {
                    self.kill(index);
                }
                Ok(())
            }
            Op::Restart(index) => {
                let entry = &mut self.entries[index];
                if !entry.alive {
                    entry.alive = true;
                    entry.incarnation += 1;
                }
                Ok(())
            }
            Op::Corrupt(index) => {
                let entry = &mut self.entries[index];
                if entry.alive && self.lost == 0 && self.lost_copies() == 0 {
                    self.corrupt(index);
                }
                Ok(())
            }
            Op::Repair => self.repair(),
            Op::DropUnneeded => {
                self.drop_unneeded();
                Ok(())
            }
            Op::Pull => self.pull(),
            Op::Ack => self.ack(),
        }
    }

    /// Returns the number of copies that a body may have lost since the last repair.
    fn lost_copies(&self) -> usize {
        let faulty = self.entries.iter().filter(|entry| entry.alive && !entry.corrupt.is_empty());
        self.lost + faulty.count()
    }

    fn kill(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        *entry = Entry {
            store: Store::new(STORE_BYTES),
            incarnation: entry.incarnation,
            alive: false,
            corrupt: Vec::new(),
        };
        // A corrupted copy was counted before, and remains lost until the next repair.
        self.lost += 1;
        self.counts.deaths += 1;
    }

    fn corrupt(&mut self, index: usize) {
        let store = &self.entries[index].store;
        let held: Vec<BodyName> =
            self.names().into_iter().filter(|n| store.get(n).is_some()).collect();
        self.entries[index].corrupt = held;
    }

    fn names(&self) -> Vec<BodyName> {
        let mut names = Vec::new();
        for (group, number, text) in attempts() {
            let digest = Digest::of(&content(self.step, group, number, text));
            let (group, number) = (Group(group), SampleNo(number));
            names.push(BodyName { key: self.key(), group, number, digest });
        }
        names
    }

    fn holder(&self, index: usize) -> Holder {
        let incarnation =
            if self.protections.incarnations { self.entries[index].incarnation } else { 1 };
        Holder { node: name_of(index), incarnation: Incarnation(incarnation) }
    }

    fn present(&self) -> Vec<usize> {
        (0..ENTRIES).filter(|index| self.entries[*index].alive).collect()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let candidate = |index: usize| Candidate {
            node: name_of(index),
            data_centre: DataCentre::from(["ston", "novigrad", "split"][index % 3]),
        };
        self.present().into_iter().map(candidate).collect()
    }

    /// Stores a body at up to `wanted` processes that do not hold it yet.
    fn put(&mut self, name: &BodyName, bytes: &Bytes, kept: &[Node], wanted: usize) -> Vec<Holder> {
        let mut stored = Vec::new();
        for node in rank_candidates(name, &self.candidates(), kept) {
            if stored.len() >= wanted {
                break;
            }
            let index = (0..ENTRIES).find(|index| name_of(*index) == node).unwrap();
            match self.entries[index].store.put(name.clone(), bytes.clone(), self.now) {
                Ok(()) => stored.push(self.holder(index)),
                Err(PutError::Full { .. }) => self.counts.full += 1,
                Err(PutError::DigestMismatch) => {}
            }
        }
        stored
    }

    fn done(&mut self, group: u32, number: u32, text: u8) -> Result<(), String> {
        let bytes = Bytes::from(content(self.step, group, number, text));
        let digest = Digest::of(&bytes);
        let (group, number) = (Group(group), SampleNo(number));
        let name = BodyName { key: self.key(), group, number, digest };
        let copies = self.protections.copies;
        let mut body = Body::Inline(bytes.clone());
        if !is_inline(bytes.len(), self.candidates().len()) {
            let mut holders = self.put(&name, &bytes, &[], copies);
            if holders.len() == copies {
                if copies < chicoryford_ledger::HOLDERS_PER_BODY {
                    // Adds a holder so that the disabled protection passes the ledger's own check.
                    holders.push(Holder { node: Node::from("nobody"), ..Holder::default() });
                }
                body = Body::Held(holders);
            }
        }
        match &body {
            Body::Inline(_) => self.counts.inline += 1,
            Body::Held(_) => self.counts.held += 1,
        }
        let spans = vec![Span { from: 0, to: 4, version: Version(0) }];
        let record = Record { spans, tokens: 4, digest, body };
        let key = self.key();
        let done = LedgerCommand::Done { key, group, number, session: 1, record };
        match self.apply(done) {
            LedgerReply::Kept | LedgerReply::Duplicate => Ok(()),
            other => Err(format!("a sample was refused: {other:?}")),
        }
    }

    fn read(&mut self, name: &BodyName, holders: &[Holder]) -> Option<Bytes> {
        for holder in holders {
            let index = (0..ENTRIES).find(|index| name_of(*index) == holder.node);
            let Some(entry) = index.map(|index| &self.entries[index]).filter(|e| e.alive) else {
                continue;
            };
            let Some(bytes) = entry.store.get(name) else { continue };
            let is_corrupt = entry.corrupt.contains(name);
            let bytes = if is_corrupt { Bytes::from_static(b"{}") } else { bytes };
            if !self.protections.verify || matches_digest(name, &bytes) {
                return Some(bytes);
            }
            self.counts.corrupted += 1;
        }
        None
    }

    fn repair(&mut self) -> Result<(), String> {
        if self.protections.repair {
            let present = self.present().into_iter().map(|index| self.holder(index)).collect();
            let audit = Audit { session: 1, present, ..Audit::default() };
            for lacking in self.ledger.audit(&audit).lacking {
                self.repair_body(lacking, &audit.present)?;
            }
        }
        self.lost = self.still_lost();
        Ok(())
    }

    /// Returns the number of copies that a repair could not create, because of too little space or
    /// too few processes. If repairs are disabled, the run assumes that they succeeded.
    fn still_lost(&self) -> usize {
        if !self.protections.repair {
            return 0;
        }
        let present: Vec<Holder> = self.present().into_iter().map(|i| self.holder(i)).collect();
        let missing_processes = chicoryford_ledger::HOLDERS_PER_BODY.saturating_sub(present.len());
        let audit = Audit { session: 1, present: present.clone(), ..Audit::default() };
        let missing = |lacking: &UnderReplicated| {
            let left = lacking.from.iter().filter(|holder| present.contains(holder)).count();
            chicoryford_ledger::HOLDERS_PER_BODY - left
        };
        let missing_copies = self.ledger.audit(&audit).lacking.iter().map(missing).max();
        missing_copies.unwrap_or_default().max(missing_processes)
    }

    fn repair_body(&mut self, lacking: UnderReplicated, present: &[Holder]) -> Result<(), String> {
        let UnderReplicated { name, from, .. } = lacking;
        let Some(bytes) = self.read(&name, &from) else {
            return Err(format!("no holder has {name:?} any more"));
        };
        let mut to: Vec<Holder> = from.iter().filter(|h| present.contains(h)).cloned().collect();
        let kept: Vec<Node> = to.iter().map(|holder| holder.node.clone()).collect();
        let wanted = self.protections.copies.saturating_sub(to.len());
        to.extend(self.put(&name, &bytes, &kept, wanted));
        if to.len() == kept.len() {
            return Ok(());
        }
        self.counts.repaired += 1;
        match self.apply(LedgerCommand::Rehold { name, from, to }) {
            LedgerReply::Reheld => Ok(()),
            other => Err(format!("a repair was refused: {other:?}")),
        }
    }

    fn drop_unneeded(&mut self) {
        for entry in &mut self.entries {
            let audit = Audit { holds: entry.store.steps(), ..Audit::default() };
            let audited = self.ledger.audit(&audit);
            self.counts.dropped += entry.store.retain(&audited.wanted, self.now) as u64;
        }
    }

    fn pull(&mut self) -> Result<(), String> {
        let workspace = self.key().workspace;
        let cursor = Cursor(self.cursor);
        let command = LedgerCommand::Pull { workspace, cursor, groups: 2, newest: Version(0) };
        let LedgerReply::Batch { samples, .. } = self.apply(command) else { return Ok(()) };
        let mut bodies = Vec::new();
        for (key, group, number, record) in samples {
            let name = BodyName { key, group, number, digest: record.digest };
            let bytes = match record.body {
                Body::Inline(bytes) => Some(bytes),
                Body::Held(holders) => self.read(&name, &holders),
            };
            let bytes = bytes.ok_or(format!("a pull found no holder of {name:?}"))?;
            if Digest::of(&bytes) != record.digest {
                return Err(format!("the trainer received wrong bytes of {name:?}"));
            }
            if self.pulled.is_none() {
                let sample = (name.key.step.0, name.group.0, name.number.0);
                *self.received.entry(sample).or_default() += 1;
            }
            bodies.push(bytes);
        }
        if self.pulled.as_ref().is_some_and(|before| *before != bodies) {
            return Err("a second pull returned other bytes".to_owned());
        }
        self.pulled = Some(bodies);
        self.counts.pulled += 1;
        Ok(())
    }

    fn ack(&mut self) -> Result<(), String> {
        if self.pulled.take().is_none() {
            return Ok(());
        }
        let workspace = self.key().workspace;
        let cursor = Cursor(self.cursor);
        self.cursor += 1;
        self.apply(LedgerCommand::Ack { workspace, cursor });
        if self.ledger.open_steps() > 0 {
            return Ok(());
        }
        self.counts.steps += 1;
        let expected = attempts().iter().filter(|(.., text)| *text == 0).count();
        let of_step = self.received.iter().filter(|((step, ..), _)| *step == self.step);
        let exactly_once = of_step.filter(|(_, count)| **count == 1).count();
        if exactly_once != expected {
            return Err(format!("{exactly_once} of {expected} samples were received exactly once"));
        }
        self.open();
        Ok(())
    }

    /// Completes the open step.
    pub fn finish(&mut self) -> Result<(), String> {
        let last = self.step;
        for _ in 0..100 {
            for (group, number, _) in attempts() {
                if self.step == last {
                    self.done(group, number, 0)?;
                }
            }
            self.pull()?;
            self.ack()?;
            if self.step != last {
                break;
            }
        }
        let violations = self.ledger.violations;
        let is_done = self.step != last && violations == 0;
        is_done
            .then_some(())
            .ok_or(format!("the step did not end; {violations} invariants violated"))
    }
}

fn attempts() -> Vec<(u32, u32, u8)> {
    let mut attempts = Vec::new();
    for group in 0..GROUPS {
        for number in 0..SAMPLES {
            attempts.extend((0..4).map(|text| (group, number, text)));
        }
    }
    attempts
}

fn content(step: u64, group: u32, number: u32, text: u8) -> Vec<u8> {
    let mut content =
        format!("{{\"step\":{step},\"group\":{group},\"number\":{number},\"text\":{text}}}");
    content.extend(std::iter::repeat_n(' ', SIZE - content.len()));
    content.into_bytes()
}
