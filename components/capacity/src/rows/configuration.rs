//! Changes of configuration: accepting, spreading, catching up.

use crate::calculator::Calculator;
use crate::calculator::Term;
use crate::target;

use super::Row;

const PART: &str = "Configuration";
const MIB: f64 = 1_048_576.0;
/// Templates at the target; the letter gives no number, so this is taken: a few hundred
/// workspaces.
const TEMPLATES: f64 = 400.0;
const MINUTE_BURST: f64 = target::BURST;
/// What the log of configuration takes on an ordinary day besides operators' changes: a version of
/// each trainer's model every two minutes, and one crash for each VM that fails.
const DAY: f64 =
    target::CHANGES + target::TRAINERS * target::DAY_S / target::PUBLISH_S + target::FAILURES;
const DAY_MINUTE: f64 = DAY / (target::DAY_S / 60.0);

pub fn rows(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let n = target::PROCESSES;
    let everyone = format!("{n:.0} processes");
    let row = |what, target: &str, term, unit, budget, mechanism, beyond| {
        let target = target.to_owned();
        Row { part: PART, what, target, term, unit, budget, mechanism, beyond }
    };
    let seconds = Some(target::IN_FORCE_S);
    vec![
        c.at("in_force_p50", n).map(|term| {
            row(
                "accepted to in force everywhere, median",
                &everyone,
                term,
                "s",
                seconds,
                "long polls in a tree of two levels; positions sent up when they change",
                "depth: each level adds a round trip and 50 ms",
            )
        }),
        c.at("in_force_most", n).map(|term| {
            row(
                "the same, the slowest of 20",
                &everyone,
                term,
                "s",
                seconds,
                "as above",
                "a parent that falls silent costs up to 8 s",
            )
        }),
        c.at("in_force_burst", n).map(|term| {
            row(
                "a burst of 100 changes, first sent to last in force",
                &everyone,
                term,
                "s",
                seconds,
                "changes of one template that wait are sent as the last only",
                "proposals one by one; a client may send several at once",
            )
        }),
        c.at("in_force_killed", n).map(|term| {
            row(
                "a change just after a tenth of the agents died",
                &everyone,
                term,
                "s",
                seconds,
                "those that died count until membership has noticed",
                "not waiting for processes that are suspected: show them apart (`lagging`) and count what is in force at the others",
            )
        }),
        c.at("in_force_restarted", n).map(|term| {
            row(
                "a tenth restarted, until all have the change",
                &everyone,
                term,
                "s",
                seconds,
                "configuration on disk, the rest by the first poll",
                "the start of the processes",
            )
        }),
        c.at("catch_up_s", 1_000.0).map(|term| {
            row(
                "catching up, a restarted agent",
                "1,000 changes missed",
                term,
                "s",
                seconds,
                "only the last of each template",
                "templates, not changes",
            )
        }),
        c.at("catch_up_bytes", 1_000.0).map(|t| t.times(target::RESTARTS / target::DAY_S)).map(
            |term| {
                row(
                    "bytes of all restarts of a day, spread evenly",
                    "170 restarts, 1,000 changes",
                    term,
                    "B/s over all nodes",
                    Some(target::BYTES),
                    "as above",
                    "as above",
                )
            },
        ),
        c.at("delta", 1_000.0).map(|term| {
            row(
                "one answer after 1,000 changes, each of another template",
                "1,000 changes missed",
                term,
                "B",
                None,
                "a delta up to 4,096 changes, then the whole",
                "templates",
            )
        }),
        c.rise("changes_control_bytes", DAY_MINUTE, DAY_MINUTE).map(leader).map(|term| {
            row(
                "control, all changes of a day, beside the calm",
                "4,400 changes, 15,120 versions, 35 crashes and what they convict",
                term,
                "B/s",
                Some(target::BYTES),
                "each change once to each follower",
                "entries that follow entries (a third level): some 8 followers in place of 55",
            )
        }),
        c.rise("changes_control_bytes", MINUTE_BURST, MINUTE_BURST).map(leader).map(|term| {
            row(
                "control, a burst of 100 changes in a minute, beside the calm",
                "100 changes a minute",
                term,
                "B/s",
                Some(target::BYTES),
                "each change once to each of 6 replicas and 55 followers; the sweep's leader had 2 and 2",
                "the third level, and a poll that waits a second for more changes, so that a burst is a few answers",
            )
        }),
        c.rise("changes_entry_bytes", MINUTE_BURST, MINUTE_BURST).map(entry).map(|term| {
            row(
                "entry, the same",
                "100 changes a minute",
                term,
                "B/s",
                Some(target::BYTES),
                "as above",
                "followers; let a poll wait a second for more changes, so that a burst is a few answers",
            )
        }),
        c.rise("changes_agent_bytes", MINUTE_BURST, MINUTE_BURST).map(|term| {
            row(
                "agent, the same",
                "100 changes a minute",
                term,
                "B/s",
                Some(target::BYTES),
                "one parent",
                "size of templates",
            )
        }),
        c.rise("changes_control_cpu", MINUTE_BURST, MINUTE_BURST).map(leader).map(|term| {
            row(
                "control, processor time of the same",
                "100 changes a minute",
                term,
                "% of a core",
                Some(target::CPU),
                "as above",
                "as the bytes: fewer followers, fewer answers",
            )
        }),
        c.at("templates_control_memory", TEMPLATES).map(|term| {
            row(
                "control, memory with templates",
                "400 templates (taken)",
                term,
                "MiB",
                Some(target::MEMORY),
                "32 versions kept of each",
                "versions kept",
            )
        }),
        c.at("templates_agent_memory", TEMPLATES).map(|term| {
            row(
                "agent, memory with templates",
                "400 templates (taken)",
                term,
                "MiB",
                Some(target::MEMORY),
                "the newest version only",
                "templates: agents need theirs only",
            )
        }),
        c.at("template", TEMPLATES).map(|t| t.times(1.0 / MIB)).map(|term| {
            row(
                "state of templates",
                "400 templates (taken)",
                term,
                "MiB of state",
                Some(target::MEMORY),
                "32 versions kept of each",
                "32 times this with all versions kept",
            )
        }),
    ]
}

/// Whom the leader sends a change: the other replicas and its followers, at the target and in the
/// sweep. That the cost grows in step with them is assumed, not measured.
fn leader(term: Term) -> Term {
    let swept = 2.0 + 2.0;
    term.times((target::CONTROLS - 1.0 + target::FOLLOWERS) / swept).assumed()
}

/// Whom an entry exchanges a change with: its parent and its followers, at the target and in the
/// sweep.
fn entry(term: Term) -> Term {
    let (followers, swept) = (target::SAMPLERS / target::ENTRIES, 15.0);
    term.times((1.0 + followers) / (1.0 + swept)).assumed()
}
