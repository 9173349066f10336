//! Requests, tokens and streams: data, outside the budget for control.

use crate::calculator::Calculator;
use crate::calculator::Term;
use crate::target;

use super::Row;

const PART: &str = "Requests";
const CORE: f64 = 100.0;
/// Tokens a second of one stream, taken for the number of streams that are open.
const SPEED: f64 = 30.0;

pub fn rows(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let row = |what, target: String, term, unit, mechanism, beyond| {
        let budget = None;
        Row { part: PART, what, target, term, unit, budget, mechanism, beyond }
    };
    let each = target::REQUESTS / target::ENTRIES;
    let tokens = target::TOKENS / target::ENTRIES;
    let open = target::TOKENS / SPEED / target::ENTRIES;
    let without_centre = target::CENTRES / (target::CENTRES - 1.0);
    let without_region = target::REGIONS / (target::REGIONS - 1.0);
    let load = |role: &str, share: f64| -> Option<Term> {
        let requests = c.rise(&format!("rate_{role}_cpu"), each * share, each * share)?;
        // The first sweep's requests have 16 tokens each.
        let tokens = (tokens - 16.0 * each) * share;
        Some(requests.plus(c.rise(&format!("tokens_{role}_cpu"), tokens, tokens)?))
    };
    let cores = "requests spread by the balancer, tokens streamed in chunks of 4";
    let mut found = vec![
        load("entry", 1.0).map(|term| {
            row(
                "entry, processor time",
                format!("{each:.0} requests/s, {tokens:.0} tokens/s"),
                term,
                "% of a core",
                cores,
                "the cores of an entry VM",
            )
        }),
        load("entry", without_centre).map(|term| {
            row(
                "the same, one data centre lost",
                "10/9 of it".to_owned(),
                term,
                "% of a core",
                cores,
                "the cores of an entry VM",
            )
        }),
        load("entry", without_region).map(|term| {
            row(
                "the same, a region cut off",
                "3/2 of it".to_owned(),
                term,
                "% of a core",
                cores,
                "the cores of an entry VM",
            )
        }),
        load("agent", target::ENTRIES / target::SAMPLERS).map(|term| {
            row(
                "agent, processor time",
                "17.5 requests/s, 4,813 tokens/s".to_owned(),
                term,
                "% of a core",
                "one process beside each engine",
                "the slot's share of the VM",
            )
        }),
        c.at("streams_entry_memory", open).map(Term::assumed).map(|term| {
            row(
                "entry, memory with open streams",
                format!("{open:.0} streams at 30 tokens/s (taken)"),
                term,
                "MiB",
                "bounded rings",
                "slower streams: more of them are open",
            )
        }),
        c.at("routing", target::SAMPLERS).map(|t| t.times(each / 1e6 * CORE)).map(|term| {
            row(
                "entry, the router's decisions alone",
                format!("{each:.0} requests/s"),
                term,
                "% of a core",
                "a subset of 48, two random choices",
                "one thread decides",
            )
        }),
    ];
    found.push(c.rise("rate_entry_cpu", 1.0, each).map(|t| t.times(10_000.0)).map(|term| {
        row(
            "entry, processor time of a request of 16 tokens",
            "one request".to_owned(),
            term,
            "µs",
            cores,
            "the cores of an entry VM",
        )
    }));
    found.push(c.rise("tokens_entry_cpu", 1.0, tokens).map(|t| t.times(10_000.0)).map(|term| {
        row(
            "entry, processor time of a token",
            "one token".to_owned(),
            term,
            "µs",
            cores,
            "larger chunks",
        )
    }));
    found
}
