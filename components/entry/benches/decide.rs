//! Measures the cost of one request on the router thread: admission, placement, end of the attempt
//! and end of the request.
//!
//! `cargo bench -p chicoryford-entry --bench decide`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use chicoryford_entry::router::AttemptEnd;
use chicoryford_entry::router::EndpointQuery;
use chicoryford_entry::router::RouterState;
use chicoryford_entry::router::state::Bounds;
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

const SEED: u64 = 7;
const SLOTS: u32 = 64;
const REQUESTS: u64 = 100_000;

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

fn endpoint_query(n: u64, now: Millis) -> EndpointQuery {
    EndpointQuery {
        request: RequestId(0, n),
        workspace: Workspace::from("w"),
        model: Model::from("m"),
        deadline: now + 60_000,
        tokens: 100,
        ..EndpointQuery::default()
    }
}

/// Returns the nanoseconds per request while `busy` other requests are in progress, and how many of
/// these were actually admitted.
fn measure(endpoints: u32, busy: u64) -> (u64, usize) {
    let bounds = Bounds { running: 1_000_000, waiting: 4_096, subset: 48, ..Bounds::default() };
    let mut state = RouterState::new(bounds, SEED);
    state.update_members(members(endpoints), Millis(0));
    state.update_config(config(), Millis(0));
    let mut next = 0;
    for _ in 0..busy {
        next += 1;
        let _ = state.admit(endpoint_query(next, Millis(20_000)), Millis(20_000));
    }
    let admitted = state.admission.running();
    let started = Instant::now();
    for request in 0..REQUESTS {
        let now = Millis(20_000 + request / 100);
        next += 1;
        let result = state.admit(endpoint_query(next, now), now);
        state.poll(now);
        if let Some(Ok((attempt, _))) = result {
            state.attempt_ended(attempt, AttemptEnd::Ran(None), 16, now);
            state.request_ended(RequestId(0, next), true, now);
            state.poll(now);
        }
    }
    (started.elapsed().as_nanos() as u64 / REQUESTS, admitted)
}

fn main() {
    println!("seed {SEED}, {REQUESTS} requests each, {SLOTS} slots an endpoint, subset 48");
    println!("{:>9} {:>11} {:>10}", "endpoints", "in progress", "ns/request");
    for endpoints in [10, 100, 1_600] {
        for busy in [0, 100, 400] {
            let (ns, admitted) = measure(endpoints, busy);
            println!("{endpoints:>9} {admitted:>11} {ns:>10}");
        }
    }
}
