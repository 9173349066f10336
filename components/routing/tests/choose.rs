//! The choice of an endpoint, over the public interface.

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
    let want = RouteRequest {
        model: &Model::from(MODEL),
        class: Class::Normal,
        prefix: None,
        prompt_tokens: 100,
        output_tokens: 100,
        floor: Some(Version(floor)),
        exclude,
        suspect: false,
    };
    router.choose(Millis(now), &want)
}

#[test]
fn can_choose_only_what_is_new_enough() {
    let mut router = router([agent(0, 1), agent(1, 2), agent(2, 1)]);
    let wanted = router.find(&Endpoint::from("endpoint-1")).unwrap();
    for n in 0..100 {
        assert_eq!(choose(&mut router, n, 2, &[]).unwrap().endpoint, wanted);
    }
    assert_eq!(choose(&mut router, 0, 3, &[]), Err(NoEndpoint::BelowFloor));
    assert_eq!(choose(&mut router, 0, 2, &[wanted]), Err(NoEndpoint::Excluded));
    assert_eq!(router.counts().broken, 0);
}

#[test]
fn can_tell_why_nothing_is_chosen() {
    let mut leaving = agent(0, 1);
    leaving.endpoint.as_mut().unwrap().draining = true;
    let mut sick = agent(1, 1);
    sick.endpoint.as_mut().unwrap().healthy = false;
    assert_eq!(choose(&mut router([]), 0, 0, &[]), Err(NoEndpoint::Unserved));
    assert_eq!(choose(&mut router([leaving.clone()]), 0, 0, &[]), Err(NoEndpoint::Draining));
    assert_eq!(choose(&mut router([leaving, sick]), 0, 0, &[]), Err(NoEndpoint::Failing));
}

#[test]
fn can_drop_a_report_that_comes_after_a_newer_one() {
    // Symptom: an endpoint that is full draws work as if it were empty.
    // Sequence: a report leaves the agent while it is idle and is delayed; a newer one, sent at
    // the end of an answer, arrives first.
    // Cause: the late report would replace the newer one.
    let mut router = router([agent(0, 1)]);
    let seat = router.find(&Endpoint::from("endpoint-0")).unwrap();
    let report = |seq, running| LoadReport {
        name: Endpoint::from("endpoint-0"),
        seq,
        running,
        ..LoadReport::default()
    };
    router.observe_report(Millis(10), &report(2, 8));
    router.observe_report(Millis(20), &report(1, 0));
    assert_eq!(router.state(seat).unwrap().others_reported, 8.0);
    assert_eq!(router.counts().late, 1);
}

#[test]
fn can_eject_what_fails_but_not_everything() {
    // Symptom: one fault that all endpoints share, such as a bad deployment, ends all service.
    // Sequence: each endpoint fails a few attempts in a row.
    // Cause: each would be ejected for itself, and none would be left.
    let mut router = router((0..10).map(|n| agent(n, 1)));
    for n in 0..10 {
        let seat = router.find(&Endpoint(format!("endpoint-{n}"))).unwrap();
        for _ in 0..5 {
            router.started(Millis(1), seat, 10, None);
            router.finished(Millis(2), seat, AttemptOutcome::Failed, 1, 0, 10);
        }
    }
    assert_eq!(router.counts().ejected, 3);
    assert!(choose(&mut router, 3, 1, &[]).is_ok());
    assert_eq!(router.counts().broken, 0);
}

#[test]
fn can_count_an_endpoint_as_full_by_its_scarcest_resource() {
    // Symptom: first tokens take many seconds although memory is half empty.
    // Sequence: a burst of long prompts exhausts an engine's prefill.
    // Cause: only memory and slots would be watched.
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
fn can_keep_what_is_known_of_an_endpoint_when_others_come_and_go() {
    // Symptom: cached prefixes are not used, and all endpoints start slowly, for seconds after any
    // endpoint crashed.
    // Sequence: one member changes, and the router takes in the members anew.
    // Cause: all endpoints would count as having just come.
    let mut router = router([agent(0, 1), agent(1, 1)]);
    let seat = router.find(&Endpoint::from("endpoint-0")).unwrap();
    router.observe_members(Millis(60_000), &members([agent(0, 1)]));
    assert_eq!(router.state(seat).unwrap().usable_since, Millis(0));
    router.observe_members(Millis(61_000), &members([agent(1, 1)]));
    router.observe_members(Millis(62_000), &members([agent(0, 1)]));
    assert_eq!(router.state(seat).unwrap().usable_since, Millis(62_000));
}
