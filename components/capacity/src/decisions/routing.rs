//! What one request costs the entry's router, against the endpoints that it knows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use chicoryford_entry::router::Book;
use chicoryford_entry::router::Verdict;
use chicoryford_entry::router::Want;
use chicoryford_entry::router::book::Bounds;
use chicoryford_types::Config;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::RequestId;
use chicoryford_types::Template;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;
use chicoryford_types::member::Known;
use chicoryford_types::template::Limits;

use crate::data::Data;
use crate::data::Series;
use crate::data::Source;

use super::REPEATS;

const SIZES: [u32; 5] = [10, 50, 200, 800, 1_600];
const TURNS: u64 = 20_000;
const SUBSET: usize = 48;
const SLOTS: u32 = 64;
const START: Millis = Millis(20_000);

/// Measures a request that is let in, placed, ended and taken out.
pub fn measure(data: &mut Data) {
    let series = Series {
        name: "routing",
        variable: "endpoints known",
        unit: "µs of processor time a request",
        source: Source::InProcess,
    };
    for endpoints in SIZES {
        for repeat in 0..REPEATS {
            let us = one(endpoints, data.seed + repeat);
            data.add(&series, f64::from(endpoints), us);
        }
    }
}

fn one(endpoints: u32, seed: u64) -> f64 {
    let bounds = Bounds { running: 100_000, waiting: 4_096, subset: SUBSET, ..Bounds::default() };
    let mut book = Book::new(bounds, seed);
    book.members(members(endpoints), Millis(0));
    book.configure(config(), Millis(0));
    let begun = Instant::now();
    for turn in 0..TURNS {
        let now = START + turn / 100;
        let entering = book.enter(want(turn, now), now);
        book.poll(now);
        if let Some(Ok((place, _))) = entering {
            book.ended(place, Verdict::Ran(None), 16, now);
            book.leave(RequestId(0, turn), true, now);
            book.poll(now);
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / TURNS as f64
}

fn members(endpoints: u32) -> Arc<Members> {
    let mut members = Members::default();
    for n in 0..endpoints {
        let info = EndpointInfo {
            name: Endpoint(format!("endpoint-{n}")),
            models: BTreeMap::from([(Model::from("m"), Version(1))]),
            slots: SLOTS,
            healthy: true,
            ..EndpointInfo::default()
        };
        let member = Member {
            node: Node(format!("agent-{n}")),
            incarnation: Incarnation(1),
            endpoint: Some(info),
            ..Member::default()
        };
        members.known.insert(member.node.clone(), Known { member, ..Known::default() });
    }
    Arc::new(members)
}

fn config() -> Arc<Config> {
    let template = Template {
        workspace: Workspace::from("w"),
        limits: Limits { rate: u32::MAX, running: 1_000_000, tokens: 1_000 },
        ..Template::default()
    };
    let mut config = Config::default();
    config.templates.insert(Workspace::from("w"), Versioned { version: 1, template });
    Arc::new(config)
}

fn want(n: u64, now: Millis) -> Want {
    Want {
        request: RequestId(0, n),
        workspace: Workspace::from("w"),
        model: Model::from("m"),
        deadline: now + 60_000,
        tokens: 100,
        ..Want::default()
    }
}
