//! Choices of an endpoint, through the public interface.

use std::collections::BTreeMap;

use chicoryford_routing::AttemptOutcome;
use chicoryford_routing::Choice;
use chicoryford_routing::EndpointId;
use chicoryford_routing::Location;
use chicoryford_routing::NoEndpoint;
use chicoryford_routing::RouteRequest;
use chicoryford_routing::Router;
use chicoryford_routing::Settings;
use chicoryford_types::Class;
use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::EndpointInfo;
use chicoryford_types::Known;
use chicoryford_types::LoadReport;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Roles;
use chicoryford_types::Standing;
use chicoryford_types::Version;

const MODEL: &str = "route-model";

fn agent(n: usize, version: u64) -> Member {
    let models = BTreeMap::from([(Model::from(MODEL), Version(version))]);
    let name = Endpoint(format!("endpoint-{n}"));
    Member {
        node: Node(format!("agent-{n}")),
        data_centre: DataCentre(format!("dc-{}", n % 3)),
        roles: Roles { agent: true, ..Roles::default() },
        endpoint: Some(EndpointInfo {
            name,
            models,
            slots: 8,
            healthy: true,
            ..Default::default()
        }),
        ..Member::default()
    }
}

fn members(agents: impl IntoIterator<Item = Member>) -> Members {
    let known = |member: Member| (member.node.clone(), Known { member, standing: Standing::Alive });
    Members { known: agents.into_iter().map(known).collect() }
}

fn router(agents: impl IntoIterator<Item = Member>) -> Router {
    let mut router = Router::new(Settings::default(), Location::default(), 1);
    router.observe_members(Millis(0), &members(agents));
    router
}

fn choose(
    router: &mut Router,
    now: u64,
    floor: u64,
    exclude: &[EndpointId],
) -> Result<Choice, NoEndpoint> {
    let request = RouteRequest {
        model: &Model::from(MODEL),
        class: Class::Normal,
        prefix: None,
        prompt_tokens: 100,
        output_tokens: 100,
        floor: Some(Version(floor)),
        exclude,
        suspect: false,
    };
    router.choose(Millis(now), &request)
}

#[test]
fn can_choose_only_endpoints_at_the_version_floor() {
    let mut router = router([agent(0, 1), agent(1, 2), agent(2, 1)]);
    let newest = router.find(&Endpoint::from("endpoint-1")).unwrap();
    for n in 0..100 {
        assert_eq!(choose(&mut router, n, 2, &[]).unwrap().endpoint, newest);
    }
    assert_eq!(choose(&mut router, 0, 3, &[]), Err(NoEndpoint::BelowFloor));
    assert_eq!(choose(&mut router, 0, 2, &[newest]), Err(NoEndpoint::Excluded));
    assert_eq!(router.counts().broken, 0);
}

#[test]
fn can_report_why_no_endpoint_is_chosen() {
    let mut draining = agent(0, 1);
    draining.endpoint.as_mut().unwrap().draining = true;
    let mut unhealthy = agent(1, 1);
    unhealthy.endpoint.as_mut().unwrap().healthy = false;
    assert_eq!(choose(&mut router([]), 0, 0, &[]), Err(NoEndpoint::Unserved));
    assert_eq!(choose(&mut router([draining.clone()]), 0, 0, &[]), Err(NoEndpoint::Draining));
    assert_eq!(choose(&mut router([draining, unhealthy]), 0, 0, &[]), Err(NoEndpoint::Failing));
}

#[test]
fn can_drop_a_report_that_arrives_after_a_newer_one() {
    // Guards against a full endpoint that attracts requests as if it were empty: a delayed report
    // from before, when it was idle, must not replace a newer one that arrived first at the end of
    // an answer.
    let mut router = router([agent(0, 1)]);
    let id = router.find(&Endpoint::from("endpoint-0")).unwrap();
    let report = |seq, running| LoadReport {
        name: Endpoint::from("endpoint-0"),
        seq,
        running,
        ..LoadReport::default()
    };
    router.observe_report(Millis(10), &report(2, 8));
    router.observe_report(Millis(20), &report(1, 0));
    assert_eq!(router.state(id).unwrap().others_reported, 8.0);
    assert_eq!(router.counts().late, 1);
}

#[test]
fn can_eject_failing_endpoints_but_not_all() {
    // Guards against one fault that all endpoints share, such as a faulty deployment, ending all
    // service: each endpoint fails a few consecutive attempts, and if each were ejected, none would
    // be left.
    let mut router = router((0..10).map(|n| agent(n, 1)));
    for n in 0..10 {
        let id = router.find(&Endpoint(format!("endpoint-{n}"))).unwrap();
        for _ in 0..5 {
            router.started(Millis(1), id, 10, None);
            router.finished(Millis(2), id, AttemptOutcome::Failed, 1, 0, 10);
        }
    }
    assert_eq!(router.counts().ejected, 3);
    assert!(choose(&mut router, 3, 1, &[]).is_ok());
    assert_eq!(router.counts().broken, 0);
}

#[test]
fn can_treat_an_endpoint_as_full_by_its_scarcest_resource() {
    // Guards against first tokens that take many seconds although memory is half free: a burst of
    // long prompts exhausts an engine's prefill, which memory and slots alone do not show.
    let mut router = router([agent(0, 1)]);
    let model = Model::from(MODEL);
    let report = |seq, prefill| LoadReport {
        name: Endpoint::from("endpoint-0"),
        seq,
        memory: 500,
        prefill,
        ..LoadReport::default()
    };
    router.observe_report(Millis(1), &report(1, 500));
    assert_eq!(router.pool_capacity(Millis(1), &model, None).slots, 8);
    router.observe_report(Millis(2), &report(2, 990));
    assert_eq!(router.pool_capacity(Millis(2), &model, None).slots, 0);
}

#[test]
fn can_keep_the_state_of_an_endpoint_when_other_members_change() {
    // Guards against endpoints that count as newly usable whenever any member changes. After a
    // crash elsewhere, their cached prefixes would be ignored and their load would grow slowly from
    // the start again.
    let mut router = router([agent(0, 1), agent(1, 1)]);
    let id = router.find(&Endpoint::from("endpoint-0")).unwrap();
    router.observe_members(Millis(60_000), &members([agent(0, 1)]));
    assert_eq!(router.state(id).unwrap().usable_since, Millis(0));
    router.observe_members(Millis(61_000), &members([agent(1, 1)]));
    router.observe_members(Millis(62_000), &members([agent(0, 1)]));
    assert_eq!(router.state(id).unwrap().usable_since, Millis(62_000));
}
