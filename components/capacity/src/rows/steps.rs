//! Steps of trainers and claims of calls that may not be repeated: the replicated ledger.

use crate::calculator::Calculator;
use crate::calculator::Term;
use crate::target;

use super::Row;

const PART: &str = "Steps and claims";
const MIB: f64 = 1_048_576.0;
/// A sample's entry in the log beside its record: measured for entries in docs/CONTROL.md.
const ENTRY_BYTES: f64 = 210.0;
const SAMPLES: f64 = target::TRAINERS * target::STEP;
const SAMPLES_A_S: f64 = SAMPLES / target::STEP_S;
/// Entries that hold a sample's body.
const COPIES: f64 = 3.0;
/// The default of `entry.bodies`, in mebibytes.
const BODIES: f64 = 256.0;
/// Claims remembered; the letter gives no rate.
const CLAIMS: f64 = 100_000.0;

pub fn rows(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let row = |what, target: &str, term, unit, budget, mechanism, beyond| {
        let target = target.to_owned();
        Row { part: PART, what, target, term, unit, budget, mechanism, beyond }
    };
    let all = "21 × 4,096 samples of 32 KiB";
    let rate = "286.7 samples/s";
    vec![
        c.at("sample_inline", SAMPLES).map(|t| t.times(1.0 / MIB)).map(|term| {
            row(
                "state if samples were inline (not used above 2 KiB)",
                all,
                term,
                "MiB of state",
                None,
                "`Body::Inline`, the fallback when entries' stores are full; bounded at 128 MiB",
                "why bodies are held at entries",
            )
        }),
        c.at("sample_inline", SAMPLES).map(|t| t.times(1.0 / target::STEP_S)).map(|term| {
            row(
                "log if samples were inline, each control process",
                rate,
                term,
                "B/s",
                None,
                "as above; the leader would send it to each of six others",
                "as above",
            )
        }),
        c.at("sample_held", SAMPLES).map(|t| t.times(1.0 / MIB)).map(|term| {
            row(
                "state, samples held at three entries",
                all,
                term,
                "MiB of state",
                Some(target::MEMORY),
                "`Body::Held`: spans, digest and three names in the log (docs/STEPS.md)",
                "groups and prompts, which are larger than the records",
            )
        }),
        c.rise("sample_held", 1.0, SAMPLES).map(log_bytes).map(|term| {
            row(
                "log, samples held, each control process",
                rate,
                term,
                "B/s",
                Some(target::BYTES),
                "as above, on VMs set aside; the leader sends six times this",
                "one `Done` for a group in place of one for a sample (eight times less), and the \
                 ledger divided by workspace over groups of replicas (sharding)",
            )
        }),
        c.at("step_open", target::STEP / 8.0).map(|t| t.times(target::TRAINERS / MIB)).map(
            |term| {
                row(
                    "state of all trainers opening at once",
                    "21 steps of 512 groups",
                    term,
                    "MiB of state",
                    Some(target::MEMORY),
                    "prompts of 1,000 B are in the log",
                    "prompts: hold them at entries as well",
                )
            },
        ),
        c.at("sample_inline", SAMPLES).map(|t| t.times(COPIES / target::ENTRIES / MIB)).map(
            |term| {
                row(
                    "entry, bodies in memory, data",
                    "three copies over 383 entries",
                    term,
                    "MiB",
                    Some(BODIES),
                    "rendezvous hash over entries; `entry.bodies` of 256 MiB",
                    "trainers that do not acknowledge; then the fallback into the log",
                )
            },
        ),
        c.rise("sample_inline", target::STEP, SAMPLES).map(|t| t.times(1.0 / target::STEP_S)).map(
            |term| {
                row(
                    "trainer, bytes of its samples, data",
                    "4,096 samples in 5 min",
                    term,
                    "B/s",
                    None,
                    "pulls of whole groups by cursor",
                    "the trainer's link",
                )
            },
        ),
        c.at("claim", CLAIMS).map(|t| t.times(1.0 / MIB)).map(|term| {
            row(
                "state of claims, answers of 512 B",
                "100,000 in their hour (28/s, taken)",
                term,
                "MiB of state",
                Some(target::MEMORY),
                "an hour's window, then a key is refused",
                "the rate of claims: 128 MiB at the margin's multiple of it",
            )
        }),
    ]
}

/// What a sample's entry costs the log: its record and what the agreement adds.
fn log_bytes(mut term: Term) -> Term {
    term.value += ENTRY_BYTES;
    term.used = format!("{} + {ENTRY_BYTES} B of its entry (docs/CONTROL.md)", term.used);
    term.times(SAMPLES_A_S)
}
