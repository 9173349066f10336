//! What each role spends on control: the calm of every day, and membership's worst moments.

use crate::calculator::Calculator;
use crate::calculator::Term;
use crate::target;

use super::Row;

/// Agents in the sweep of entries, fewer than a subset, so that each entry reads them all.
const SWEPT_AGENTS: f64 = 20.0;
/// The most entries in that sweep.
const MOST_ENTRIES: f64 = 16.0;
/// Entries in the sweep of agents.
const ENTRIES: f64 = 2.0;
/// Processes beside the agents in the sweep of agents.
const OTHERS: f64 = 5.0;
const LARGEST: f64 = 100.0;
/// Models that one entry routes to, if every trainer has a model of its own.
const MODELS: f64 = target::TRAINERS;

const ENTRY: &str = "Entry";
const CONTROL: &str = "Control";
const AGENT: &str = "Agent";
const MEMBERSHIP: &str = "Membership";

pub fn rows(c: &Calculator<'_>) -> Vec<Option<Row>> {
    [entry(c), control(c), agent(c), membership(c)].concat()
}

/// What more members than in the sweep of agents cost every process.
fn growth(c: &Calculator<'_>) -> Option<Term> {
    c.rise("gossip_calm", target::PROCESSES - LARGEST - OTHERS, target::PROCESSES)
}

/// What each agent that follows an entry costs it: between these sizes the entry reads the same 48
/// agents, and has 25 and 50 followers.
fn follower(c: &Calculator<'_>) -> Option<Term> {
    let (few, many) = (50.0, LARGEST);
    let rise = c.point("agents_entry_bytes", many)?.less(c.point("agents_entry_bytes", few)?);
    Some(rise.times(ENTRIES / (many - few)).rough())
}

/// What each agent that an idle entry reads costs it: 10 and 48 are read, 5 and 25 follow.
fn reader(c: &Calculator<'_>) -> Option<Term> {
    let (few, many) = (10.0, 50.0);
    let rise = c.point("agents_entry_bytes", many)?.less(c.point("agents_entry_bytes", few)?);
    let rise = rise.less(follower(c)?.times((many - few) / ENTRIES));
    Some(rise.times(1.0 / (target::SUBSET - few)))
}

/// What an agent that an entry reads adds when its load changes all the time.
fn news(c: &Calculator<'_>, part: &str) -> Option<Term> {
    let busy = c.point(&format!("entries_busy_entry_{part}"), MOST_ENTRIES)?;
    let calm = c.point(&format!("entries_entry_{part}"), MOST_ENTRIES)?;
    Some(busy.less(calm).times(1.0 / SWEPT_AGENTS).rough())
}

/// Bytes of an idle entry that reads `read` agents.
fn idle(c: &Calculator<'_>, read: f64) -> Option<Term> {
    let start = c.point("entries_entry_bytes", MOST_ENTRIES)?.plus(growth(c)?);
    let followers = target::SAMPLERS / target::ENTRIES - SWEPT_AGENTS / MOST_ENTRIES;
    let reads = reader(c)?.times(read - SWEPT_AGENTS);
    Some(start.plus(reads).plus(follower(c)?.times(followers)))
}

fn busy(c: &Calculator<'_>, read: f64) -> Option<Term> {
    Some(idle(c, read)?.plus(news(c, "bytes")?.times(read)))
}

fn cpu(c: &Calculator<'_>, read: f64) -> Option<Term> {
    let calm = c.point("agents_entry_cpu", LARGEST)?;
    let growth = c.at("gossip_cpu", target::PROCESSES)?;
    Some(calm.plus(growth).plus(news(c, "cpu")?.times(read)))
}

fn entry(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let row = |what, target: &str, term, unit, budget, mechanism, beyond| Row {
        part: ENTRY,
        what,
        target: target.to_owned(),
        term,
        unit,
        budget,
        mechanism,
        beyond,
    };
    let all = target::SAMPLERS.min(MODELS * target::SUBSET);
    let (bytes, core) = (Some(target::BYTES), Some(target::CPU));
    let one = "48 agents read, 4.2 follow, 1,990 known";
    let many = "48 agents of each of 21 models read";
    vec![
        idle(c, target::SUBSET).map(|term| {
            row(
                "control bytes, endpoints idle, one model",
                one,
                term,
                "B/s",
                bytes,
                "a subset of 48 agents whose reports are read; a tree of followers; SWIM",
                "a report each 8 s from each of 48 agents even if nothing changed: read 16 agents",
            )
        }),
        busy(c, target::SUBSET).map(|term| {
            row(
                "control bytes, endpoints busy, one model",
                one,
                term,
                "B/s",
                bytes,
                "as above; a report that differs leaves each 3 s at most, without names of fields",
                "reports: rely on the report at the end of each answer (which is data) and on own \
                 counts, and stream fewer, as deltas",
            )
        }),
        busy(c, all).map(|term| {
            row(
                "control bytes, endpoints busy, 21 models",
                many,
                term,
                "B/s",
                bytes,
                "the subset of 48 is one for each model",
                "one bound over all models, or models divided among entries (sharding), besides the above",
            )
        }),
        c.point("entries_busy_entry_messages", MOST_ENTRIES).map(|term| {
            row(
                "control packets, endpoints busy",
                "20 agents read, as measured",
                term,
                "packets/s",
                None,
                "as the bytes",
                "as the bytes",
            )
        }),
        cpu(c, target::SUBSET).map(|term| {
            row(
                "processor time for control, endpoints busy, one model",
                one,
                term,
                "% of a core",
                core,
                "long polls and streams in place of polling",
                "the subset, as the bytes",
            )
        }),
        cpu(c, all).map(|term| {
            row(
                "processor time for control, endpoints busy, 21 models",
                many,
                term,
                "% of a core",
                core,
                "as above",
                "the bound over all models, as the bytes",
            )
        }),
        c.straight("agents_entry_memory", target::SAMPLERS).map(|term| {
            row(
                "memory without requests",
                "1,600 agents known",
                term,
                "MiB",
                Some(target::MEMORY),
                "one view of members a process, shared by its threads",
                "members, and prefixes known of those read",
            )
        }),
    ]
}

fn control(c: &Calculator<'_>) -> Vec<Option<Row>> {
    // The leader hears every entry's renewals, and here a third of the entries follow it, at the
    // target a seventh: an upper bound.
    let swept = target::ENTRIES;
    let row = |what, target: String, term, unit, budget, mechanism, beyond| Row {
        part: CONTROL,
        what,
        target,
        term,
        unit,
        budget: Some(budget),
        mechanism,
        beyond,
    };
    let followers = "383 entries, 3 control processes (upper bound)".to_owned();
    vec![
        c.at("entries_control_bytes", swept).and_then(|t| Some(t.plus(growth(c)?))).map(|term| {
            row(
                "control bytes, the busiest",
                followers.clone(),
                term,
                "B/s",
                target::BYTES,
                "set aside; followers divided among control processes by hash",
                "followers: entries follow entries (a third level), 8 under each control \
                     process; sessions renewed by batch",
            )
        }),
        c.at("entries_control_messages", swept).map(|term| Row {
            part: CONTROL,
            what: "control packets",
            target: followers.clone(),
            term,
            unit: "packets/s",
            budget: None,
            mechanism: "as the bytes",
            beyond: "as the bytes",
        }),
        c.at("entries_control_cpu", swept).map(|term| {
            row(
                "processor time, the busiest",
                followers.clone(),
                term,
                "% of a core",
                target::CPU,
                "set aside; heartbeats every 150 ms, long polls of 6 s",
                "entries that follow entries (a third level), sessions renewed by batch",
            )
        }),
        c.at("entries_control_memory", swept).map(|term| {
            row(
                "memory without steps, claims or templates",
                followers,
                term,
                "MiB",
                target::MEMORY,
                "set aside; state in memory, log on disk",
                "the ledger, below",
            )
        }),
    ]
}

fn agent(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let row = |what, target: String, term, unit, budget, mechanism, beyond| Row {
        part: AGENT,
        what,
        target,
        term,
        unit,
        budget: Some(budget),
        mechanism,
        beyond,
    };
    let read = format!("{:.1} entries read its reports", target::READERS);
    let everyone = |name: &str| c.at(name, target::READERS);
    vec![
        everyone("entries_agent_bytes").and_then(|t| Some(t.plus(growth(c)?))).map(|term| {
            row(
                "control bytes, endpoint idle",
                read.clone(),
                term,
                "B/s",
                target::BYTES,
                "the entries' subsets; one parent to follow; SWIM",
                "readers, each one a stream",
            )
        }),
        everyone("entries_busy_agent_bytes").and_then(|t| Some(t.plus(growth(c)?))).map(|term| {
            row(
                "control bytes, endpoint busy",
                read.clone(),
                term,
                "B/s",
                target::BYTES,
                "a report that differs leaves each 3 s at most",
                "readers, each one a stream",
            )
        }),
        everyone("entries_agent_messages").map(|term| Row {
            part: AGENT,
            what: "control packets",
            target: read.clone(),
            term,
            unit: "packets/s",
            budget: None,
            mechanism: "as the bytes",
            beyond: "as the bytes",
        }),
        everyone("entries_busy_agent_cpu").map(|term| {
            row(
                "processor time for control, endpoint busy",
                read.clone(),
                term,
                "% of a core",
                target::CPU,
                "two looks at the engine a second",
                "readers, as the bytes",
            )
        }),
        c.straight("agents_agent_memory", target::SAMPLERS).map(|term| {
            row(
                "memory",
                format!("{:.0} processes known", target::PROCESSES),
                term,
                "MiB",
                target::MEMORY,
                "as the entry's",
                "members known",
            )
        }),
    ]
}

fn membership(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let n = target::PROCESSES;
    let everyone = format!("{n:.0} members");
    let row = |what, term, unit, budget, mechanism, beyond| {
        let target = everyone.clone();
        Row { part: MEMBERSHIP, what, target, term, unit, budget, mechanism, beyond }
    };
    vec![
        c.at("gossip_calm", n).map(|term| {
            row(
                "calm, every node",
                term,
                "B/s",
                Some(target::BYTES),
                "a probe a second, near ones first; digests every 10 s",
                "digests",
            )
        }),
        c.at("gossip_death_bytes", n).map(|term| {
            row(
                "while one death spreads (35 a day)",
                term,
                "B/s",
                Some(target::BYTES),
                "news ride along, 3 × (1 + log n) times",
                "many deaths at once",
            )
        }),
        c.at("gossip_death", n).map(|term| {
            row(
                "until the last has noticed a death",
                term,
                "s",
                None,
                "suspicion of 3 s × log n",
                "grows with the logarithm",
            )
        }),
        c.at("gossip_centre_bytes", n).map(|term| {
            row(
                "while a data centre of ten is lost, for some 20 s",
                term,
                "B/s",
                Some(target::BYTES),
                "half of the far probes go where a suspicion is",
                "one entry for a whole data centre (hierarchy): members of a centre vouch for it, \
                 others hear of the centre, not of 199 members",
            )
        }),
        c.at("gossip_centre", n).map(|term| {
            row(
                "until the last has noticed the loss of a data centre",
                term,
                "s",
                None,
                "as above",
                "as above",
            )
        }),
    ]
}
