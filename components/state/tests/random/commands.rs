//! Events of a random run, with small value ranges so that they collide often.

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// One event.
#[derive(Clone, Debug)]
pub enum Op {
    /// Time passes, or the clock of a new leader is behind.
    Clock { ms: i64 },
    /// A new leader.
    Epoch,
    /// The second replica is restored from a snapshot of the first.
    Restore,
    /// An earlier command arrives again.
    Resend { back: u8 },
    /// An operator submits a template. `base` selects its base: 0 what is in force, 1 the number in
    /// force with other content, 2 the first version.
    Apply { workspace: u8, content: u8, base: u8 },
    /// An operator uses an earlier change's id again for a template.
    Reuse { workspace: u8, content: u8, back: u8 },
    /// An operator removes a template.
    Remove { workspace: u8 },
    /// An operator rolls back.
    Rollback { workspace: u8, to: u8 },
    /// A trainer publishes weights.
    Publish { model: u8, ahead: u8 },
    /// An entry claims.
    Claim { key: u8, content: u8, request: u8, agent: u8 },
    /// An entry reassigns a claim.
    Reassign { key: u8, request: u8, agent: u8, after: u8 },
    /// An entry ends a claim.
    Settle { key: u8, attempt: u8, end: u8 },
    /// An entry opens its session.
    OpenSession { node: u8, incarnation: u8 },
    /// The leader closes a session.
    CloseSession { number: u8 },
    /// A trainer opens a step.
    Open { workspace: u8, step: u8, groups: u8, samples: u8, extra: u8 },
    /// An entry takes a step.
    Take { workspace: u8, step: u8, session: u8 },
    /// An entry records a sample. `behind` is its age in versions.
    Done { workspace: u8, step: u8, group: u8, number: u8, session: u8, behind: u8, text: u8 },
    /// A trainer pulls. `off` is added to the expected cursor, less one.
    Pull { workspace: u8, off: u8, groups: u8, newest: u8 },
    /// A trainer acknowledges.
    Ack { workspace: u8, off: u8 },
    /// A trainer closes a step.
    Close { workspace: u8, step: u8 },
    /// An agent reports a crash.
    Crashed { endpoint: u8, crash: u8, blamed: Vec<u8> },
    /// A suspect ran to completion.
    Cleared { content: u8 },
}

/// The events of one run.
#[derive(Clone, Debug)]
pub struct Script(pub Vec<Op>);

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = g.size();
        Self((0..length).map(|_| event(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        event(g)
    }
}

fn below(g: &mut Gen, bound: u8) -> u8 {
    u8::arbitrary(g) % bound
}

fn event(g: &mut Gen) -> Op {
    match below(g, 100) {
        0 => Op::Clock { ms: i64::from(u32::arbitrary(g) % 2_000_000) - 200_000 },
        1 => Op::Clock { ms: i64::from(below(g, 20) / 19) * 50_000_000 },
        2 => Op::Clock { ms: i64::from(below(g, 100)) },
        3 => Op::Epoch,
        4 => Op::Restore,
        5..=11 => Op::Resend { back: u8::arbitrary(g) },
        12..=17 => Op::Apply { workspace: below(g, 3), content: below(g, 4), base: below(g, 4) },
        18 => Op::Reuse { workspace: below(g, 3), content: below(g, 4), back: u8::arbitrary(g) },
        19 => Op::Remove { workspace: below(g, 3) },
        20..=21 => Op::Rollback { workspace: below(g, 3), to: below(g, 6) },
        22..=23 => Op::Publish { model: below(g, 2), ahead: below(g, 3) },
        24..=28 => Op::Claim {
            key: below(g, 5),
            content: below(g, 8) / 7,
            request: below(g, 3),
            agent: below(g, 2),
        },
        29..=31 => Op::Reassign {
            key: below(g, 5),
            request: below(g, 3),
            agent: below(g, 2),
            after: below(g, 3),
        },
        32..=34 => Op::Settle { key: below(g, 5), attempt: below(g, 2), end: below(g, 4) },
        35..=36 => Op::OpenSession { node: below(g, 3), incarnation: below(g, 3) },
        37 => Op::CloseSession { number: below(g, 12) },
        38..=41 => Op::Open {
            workspace: below(g, 2),
            step: below(g, 6),
            groups: 1 + below(g, 3),
            samples: 1 + below(g, 2),
            extra: below(g, 2),
        },
        42..=48 => Op::Take { workspace: below(g, 2), step: below(g, 6), session: below(g, 12) },
        49..=78 => Op::Done {
            workspace: below(g, 2),
            step: below(g, 6),
            group: below(g, 3),
            number: below(g, 3),
            session: below(g, 10),
            behind: below(g, 4),
            text: below(g, 3),
        },
        79..=87 => Op::Pull {
            workspace: below(g, 2),
            off: below(g, 3),
            groups: 1 + below(g, 2),
            newest: below(g, 4),
        },
        88..=92 => Op::Ack { workspace: below(g, 2), off: below(g, 3) },
        93 => Op::Close { workspace: below(g, 2), step: below(g, 6) },
        94..=97 => Op::Crashed {
            endpoint: below(g, 3),
            crash: below(g, 16),
            blamed: (0..1 + below(g, 3)).map(|_| below(g, 5)).collect(),
        },
        _ => Op::Cleared { content: below(g, 5) },
    }
}
