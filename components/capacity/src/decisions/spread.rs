//! Bytes with which a process catches up on changes that it missed.

use std::collections::BTreeMap;

use chicoryford_config::message::Followed;
use chicoryford_config::store::Store;
use chicoryford_types::Change;
use chicoryford_types::Epoch;
use chicoryford_types::LoadReport;
use chicoryford_types::Model;
use chicoryford_types::Position;
use chicoryford_types::Principal;
use chicoryford_types::Revision;
use chicoryford_types::Template;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;
use chicoryford_types::request::Class;

use crate::data::Data;
use crate::data::Series;
use crate::data::Source;

/// More than are missed, so that no change hides another.
const TEMPLATES: u64 = 2_000;

/// Measures answers to followers, and load reports.
pub fn measure(data: &mut Data) {
    let mut store = Store::default();
    for revision in 1..=2 * TEMPLATES {
        store.push(at(revision), change(revision));
    }
    let last = 2 * TEMPLATES;
    for missed in [10, 30, 100, 300, 1_000] {
        let delta = Some(store.delta_since(at(last - missed)));
        let answer = Followed { at: at(last), delta, repair: false };
        let bytes = rmp_serde::to_vec_named(&answer).expect("plain data").len();
        let series = Series {
            name: "delta",
            variable: "changes missed, each of another template",
            unit: "B of the answer",
            source: Source::InProcess,
        };
        data.add(&series, missed as f64, bytes as f64);
    }
    for prefixes in [0_usize, 4, 16, 64] {
        let series = Series {
            name: "report",
            variable: "prefixes cached or evicted since the last report",
            unit: "B of a load report",
            source: Source::InProcess,
        };
        data.add(&series, prefixes as f64, report(prefixes));
    }
}

fn report(prefixes: usize) -> f64 {
    let report = LoadReport {
        name: "sampler-0001".into(),
        seq: 1_000_000,
        running: 16,
        waiting: 4,
        rate: 5_000,
        memory: 900,
        cached: vec![u64::MAX; prefixes / 2],
        evicted: vec![u64::MAX; prefixes / 2],
        versions: BTreeMap::from([(Model::from("style-llm"), Version(100_000))]),
        ..LoadReport::default()
    };
    rmp_serde::to_vec(&report).expect("plain data").len() as f64
}

fn at(revision: u64) -> Position {
    Position { epoch: Epoch(3), revision: Revision(revision) }
}

fn change(revision: u64) -> Change {
    let callers = (0..10).map(|n| (Principal(format!("caller-{n}")), Class::Normal));
    let workspace = Workspace(format!("workspace-{:04}", revision % TEMPLATES));
    let template = Template { workspace, callers: callers.collect(), ..Template::default() };
    Change::Template(Box::new(Versioned { version: revision, template }))
}
