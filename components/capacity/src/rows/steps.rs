//! Steps of trainers and claims of calls that may not be repeated: the replicated ledger.

use crate::calculator::Calculator;
use crate::target;

use super::Row;

const PART: &str = "Steps and claims";
const MIB: f64 = 1_048_576.0;
/// A sample's entry in the log beside its record: measured for entries in docs/CONTROL.md.
const ENTRY_BYTES: f64 = 210.0;
const SAMPLES: f64 = target::TRAINERS * target::STEP;
const SAMPLES_A_S: f64 = SAMPLES / target::STEP_S;
const SAMPLE_BYTES: f64 = 32_768.0;

pub fn rows(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let row = |what, target: &str, term, unit, budget, mechanism, beyond| {
        let target = target.to_owned();
        Row { part: PART, what, target, term, unit, budget, mechanism, beyond }
    };
    let all = "21 × 4,096 samples of 32 KiB";
    vec![
        c.at("sample_inline", SAMPLES).map(|t| t.times(1.0 / MIB)).map(|term| {
            row(
                "state, samples inline (as today)",
                all,
                term,
                "MiB of state",
                Some(target::MEMORY),
                "`Body::Inline`: the bytes are in the log; `Done` answers `full` past 128 MiB",
                "**over**: `Body::Held`, bytes at three entries in different data centres, \
                 the log carries spans, digest and names; then shard the ledger by workspace",
            )
        }),
        c.at("sample_inline", SAMPLES).map(|t| t.times(1.0 / target::STEP_S)).map(|term| {
            row(
                "log, samples inline, each control process",
                "286.7 samples/s",
                term,
                "B/s",
                Some(target::BYTES),
                "as above; the leader sends it to each of six others",
                "**over**: as above",
            )
        }),
        c.at("sample_held", SAMPLES).map(|t| t.times(1.0 / MIB)).map(|term| {
            row(
                "state, samples held at three entries",
                all,
                term,
                "MiB of state",
                Some(target::MEMORY),
                "`Body::Held`; the ledger takes it, the entries' store is not built",
                "groups and prompts, which are larger than the records",
            )
        }),
        c.rise("sample_held", 1.0, SAMPLES)
            .map(|mut term| {
                term.value += ENTRY_BYTES;
                term.used =
                    format!("{} + {ENTRY_BYTES} B of its entry (docs/CONTROL.md)", term.used);
                term.times(SAMPLES_A_S)
            })
            .map(|term| {
                row(
                    "log, samples held, each control process",
                    "286.7 samples/s",
                    term,
                    "B/s",
                    Some(target::BYTES),
                    "as above; on VMs set aside",
                    "**over** the bytes of a node, though on VMs set aside: one `Done` a group \
                     instead of a sample, and the ledger sharded over replica groups",
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
                    "prompts of 1,000 B are inline",
                    "prompts: hold them at entries as well",
                )
            },
        ),
        c.rise("sample_inline", SAMPLES, SAMPLES)
            .map(|mut term| {
                term.value = SAMPLES_A_S * SAMPLE_BYTES / target::ENTRIES * 3.0;
                term.used = "286.7 × 32 KiB / 383 entries × 3 copies (arithmetic)".to_owned();
                term.assumed()
            })
            .map(|term| {
                row(
                    "samples held: bytes taken in by each entry",
                    "3 copies over 383 entries",
                    term,
                    "B/s, data",
                    None,
                    "not built",
                    "data, outside the budget for control",
                )
            }),
        c.at("claim", 100_000.0).map(|t| t.times(1.0 / MIB)).map(|term| {
            row(
                "state of claims, answers of 512 B",
                "100,000 in their hour (28/s, taken)",
                term,
                "MiB of state",
                Some(target::MEMORY),
                "an hour's window, then a key is refused",
                "the rate: at the margin's multiple",
            )
        }),
    ]
}
