//! New weights on all samplers, and what follows a change of the leader.

use crate::calculator::Calculator;
use crate::target;

use super::Row;

const PART: &str = "Weights and orders";
const CORE: f64 = 100.0;

pub fn rows(c: &Calculator<'_>) -> Vec<Option<Row>> {
    let n = target::SAMPLERS;
    let row = |what, term, unit, budget, mechanism, beyond| {
        let target = "1,600 samplers of one model, 2.3 s a load".to_owned();
        Row { part: PART, what, target, term, unit, budget, mechanism, beyond }
    };
    let seconds = Some(target::WEIGHTS_S);
    let mib = 1_048_576.0;
    let versions = target::TRAINERS * target::DAY_S / target::PUBLISH_S;
    vec![
        c.at("versions", versions).map(|t| t.times(1.0 / mib)).map(|term| Row {
            part: PART,
            what: "state of versions published in a day, 21 models",
            target: "15,120 versions".to_owned(),
            term,
            unit: "MiB of state",
            budget: Some(target::MEMORY),
            mechanism: "the newest of each model; answers of a day's changes for resends",
            beyond: "the window of 32,768 changes, which drops the oldest",
        }),
        c.at("weights_relay", n).map(|term| {
            row("a version on all samplers, relayed", term, "s", seconds,
                "8 fetches at the store, holders pass on, 25 % out of service at once",
                "the time of a load; loads that hang for a minute (docs/WEIGHTS.md: 81 s at 5 % failures)")
        }),
        c.at("weights_store", n).map(|term| {
            row("the same, all from the store (not used)", term, "s", None,
                "8 fetches at the store", "the store's rate: why versions are relayed")
        }),
        c.at("weights_cpu", n).map(|t| t.times(CORE / target::PUBLISH_S)).map(|term| {
            row("leader, processor time of planning, fake fleet included", term, "% of a core",
                Some(target::CPU), "room looked at once a round",
                "first measure without the fake fleet, which this upper bound includes; then a planner for each model")
        }),
        c.at("weights_orders", n).map(|t| t.times(1.0 / target::PUBLISH_S)).map(|term| {
            row("leader, orders", term, "orders/s", None,
                "one order a sampler and version, straight to its agent", "versions more often")
        }),
        c.at("weights_orders", n).map(|t| t.times(1.0 / target::WEIGHTS_S)).map(|term| {
            row("leader, asking all agents again after a failover, in 24 s", term, "orders/s", None,
                "agents do not announce themselves again: the new leader reads its own view of \
                 members and asks by orders",
                "orders within the first rounds; agents keep the fence")
        }),
    ]
}
