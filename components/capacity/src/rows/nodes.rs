//! What each role spends on control: the calm of every day, and membership's worst moments.

use crate::calculator::Calculator;
use crate::calculator::Term;
use crate::target;

use super::Row;

/// Readers of one agent's reports in the sweep of entries, for each entry there.
const SWEPT_AGENTS: f64 = 20.0;
/// Processes beside the agents in the sweep of agents.
const OTHERS: f64 = 5.0;
const LARGEST: f64 = 100.0;
/// Control processes in the sweeps.
const CONTROLS: f64 = 3.0;
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

/// What load reports that change cost an entry for each agent that it reads.
fn news(c: &Calculator<'_>) -> Option<Term> {
    let busy = c.last("entries_busy_entry_bytes")?;
    Some(busy.less(c.last("entries_entry_bytes")?).times(1.0 / SWEPT_AGENTS))
}

fn entry_bytes(c: &Calculator<'_>, agents: f64) -> Option<Term> {
    let calm = c.last("agents_entry_bytes")?.plus(growth(c)?);
    Some(calm.plus(news(c)?.times(agents)))
}

fn entry(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let calm = c.last("agents_entry_bytes").and_then(|calm| Some(calm.plus(growth(c)?)));
    let row = |what, target: String, term, unit, budget, mechanism, beyond| Row {
        part: ENTRY,
        what,
        target,
        term,
        unit,
        budget: Some(budget),
        mechanism,
        beyond,
    };
    let known = format!("{:.0} processes known", target::PROCESSES);
    vec![
        calm.map(|term| {
            row("control bytes, endpoints idle", known.clone(), term, "B/s", target::BYTES,
                "subset of 48 agents whose reports are read; tree of followers; SWIM",
                "the subset: each further agent read adds its reports")
        }),
        entry_bytes(c, target::SUBSET).map(|term| {
            row("control bytes, endpoints busy, one model", "48 agents report changes".to_owned(),
                term, "B/s", target::BYTES, "as above; a report leaves when it differs",
                "reports for each change of load, twice a second an agent; carry them on answers and \
                 send the rest every 5 s, or shrink the subset")
        }),
        entry_bytes(c, target::SAMPLERS.min(MODELS * target::SUBSET)).map(|term| {
            row("control bytes, endpoints busy, 21 models", "48 agents of each model".to_owned(),
                term, "B/s", target::BYTES, "the subset is one for each model",
                "one bound over all models (48 agents in all), or models divided among entries; \
                 reports on answers and every 5 s otherwise")
        }),
        c.at("agents_entry_messages", LARGEST).map(|term| {
            Row { part: ENTRY, what: "control packets", target: "100 agents".to_owned(), term,
                unit: "packets/s", budget: None, mechanism: "as the bytes", beyond: "as the bytes" }
        }),
        c.last("agents_entry_cpu")
            .and_then(|t| Some(t.plus(c.rise("gossip_cpu", target::PROCESSES, target::PROCESSES)?)))
            .map(|term| {
                row("processor time for control", known.clone(), term, "% of a core", target::CPU,
                    "long polls and streams in place of polling", "the subset, as the bytes")
            }),
        c.at("agents_entry_memory", target::PROCESSES).map(|term| {
            row("memory", known, term, "MiB", target::MEMORY,
                "one view of members a process, shared by its threads",
                "members and prefixes known of them")
        }),
    ]
}

fn control(c: &Calculator<'_>) -> Vec<Option<Row>> {
    // As many entries as give each of three control processes what one of seven has.
    let swept = target::FOLLOWERS * CONTROLS;
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
    let followers = format!("{:.0} followers", target::FOLLOWERS);
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
                "as the bytes",
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
                "a report leaves when it differs, at most twice a second",
                "readers, each one a stream: reports on answers, the rest every 5 s",
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
        c.at("agents_agent_memory", target::PROCESSES).map(|term| {
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
