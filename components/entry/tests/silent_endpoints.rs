//! Tests of the choice of an endpoint for a request whose attempts went silent.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicoryford_entry::router::EndpointQuery;
use chicoryford_entry::router::Reuse;
use chicoryford_entry::router::RouterState;
use chicoryford_entry::router::SilentEndpoint;
use chicoryford_entry::router::state::Bounds;
use chicoryford_routing::Location;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::LoadReport;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Region;
use chicoryford_types::Version;
use chicoryford_types::member::Known;

const NEAR: &str = "near";
const FAR: &str = "far";
const SILENT_AT: Millis = Millis(10_000);

fn members(names: &[&str]) -> Arc<Members> {
    let mut members = Members::default();
    for name in names {
        let info = EndpointInfo {
            name: Endpoint::from(*name),
            models: BTreeMap::from([(Model::from("m"), Version(1))]),
            slots: 4,
            healthy: true,
            ..EndpointInfo::default()
        };
        let member = Member {
            node: Node(format!("agent-{name}")),
            region: Region::from(*name),
            endpoint: Some(info),
            ..Member::default()
        };
        members.known.insert(member.node.clone(), Known { member, ..Known::default() });
    }
    Arc::new(members)
}

/// Returns the router of an entry in the region of the near endpoint.
fn router(seed: u64) -> RouterState {
    let place = Location { region: Region::from(NEAR), ..Location::default() };
    let bounds = Bounds { running: 16, waiting: 8, subset: 48, place };
    let mut state = RouterState::new(bounds, seed);
    state.update_members(members(&[NEAR, FAR]), Millis(0));
    state
}

/// Returns a query of a request whose attempts at both endpoints failed, and went silent at some.
fn query(silent: &[&str], reuse: Reuse) -> EndpointQuery {
    let silent = silent
        .iter()
        .map(|name| SilentEndpoint { endpoint: Endpoint::from(*name), since: SILENT_AT });
    EndpointQuery {
        model: Model::from("m"),
        avoid: vec![Endpoint::from(NEAR), Endpoint::from(FAR)],
        silent: silent.collect(),
        reuse,
        ..EndpointQuery::default()
    }
}

fn choose(state: &mut RouterState, query: &EndpointQuery, now: u64) -> Option<String> {
    let chosen = state.choose(query, Millis(now));
    chosen.ok().map(|(_, pick)| pick.endpoint.as_str().to_owned())
}

#[test]
fn a_retry_prefers_endpoints_that_are_not_silent() {
    // Guards against a retry at an endpoint that is out of reach although another one, where an
    // attempt of the request failed too, still responds.
    for seed in 0..50 {
        for (silent, expected) in [(NEAR, FAR), (FAR, NEAR)] {
            for reuse in [Reuse::Any, Reuse::Heard] {
                let chosen = choose(&mut router(seed), &query(&[silent], reuse), 12_000);
                assert_eq!(chosen.as_deref(), Some(expected), "{reuse:?}");
            }
        }
    }
}

#[test]
fn a_silent_endpoint_is_used_again_once_its_agent_reports() {
    // Guards against requests that use up their attempts at endpoints that are still silent, and
    // against those that never return to an endpoint whose agent stood still for a few seconds.
    let mut state = router(1);
    let query = query(&[NEAR, FAR], Reuse::Heard);
    assert_eq!(choose(&mut state, &query, 12_000), None);
    let report =
        |seq, age_ms| LoadReport { name: NEAR.into(), seq, age_ms, ..LoadReport::default() };
    state.record_load(&report(1, 2_001), Millis(12_000));
    assert_eq!(choose(&mut state, &query, 12_000), None, "the report is older than the silence");
    state.record_load(&report(2, 100), Millis(12_100));
    assert_eq!(choose(&mut state, &query, 12_100).as_deref(), Some(NEAR));
}

#[test]
fn a_silent_endpoint_is_used_again_once_it_is_present_again() {
    // Guards against a request that waits until its time limit for an endpoint whose agent was lost
    // and found again, before that agent reports its load.
    let mut state = router(1);
    let query = query(&[NEAR, FAR], Reuse::Heard);
    state.update_members(members(&[FAR]), Millis(11_000));
    assert_eq!(choose(&mut state, &query, 12_000), None);
    state.update_members(members(&[NEAR, FAR]), Millis(13_000));
    assert_eq!(choose(&mut state, &query, 13_000).as_deref(), Some(NEAR));
}

#[test]
fn a_silent_endpoint_is_better_than_none_at_last() {
    // Guards against a request that fails without a further attempt when no agent reports in time.
    let chosen = choose(&mut router(1), &query(&[NEAR, FAR], Reuse::Any), 12_000);
    assert!(chosen.is_some());
}

#[test]
fn a_second_attempt_is_not_made_at_an_endpoint_to_avoid() {
    // Guards against a second attempt at the endpoint that the first one is waiting for, which uses
    // up an attempt of the request without any gain.
    let chosen = choose(&mut router(1), &query(&[], Reuse::Never), 12_000);
    assert_eq!(chosen, None);
    let query = EndpointQuery { avoid: vec![NEAR.into()], ..query(&[], Reuse::Never) };
    assert_eq!(choose(&mut router(1), &query, 12_000).as_deref(), Some(FAR));
}
