//! What a decision costs, in nanoseconds and allocations.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use chicoryford_admission::Admission;
use chicoryford_admission::AdmissionRequest;
use chicoryford_admission::Capacity;
use chicoryford_admission::Decision;
use chicoryford_routing::Location;
use chicoryford_routing::RouteRequest;
use chicoryford_routing::Router;
use chicoryford_routing::Rule;
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
use chicoryford_types::RequestId;
use chicoryford_types::Roles;
use chicoryford_types::Standing;
use chicoryford_types::Version;
use chicoryford_types::Workspace;

const DECISIONS: u64 = 200_000;

/// Makes members of `entries` entries and `endpoints` endpoints in ten data centres.
pub fn members(entries: usize, endpoints: usize) -> Members {
    let model = Model::from("style-llm");
    let mut members = Members::default();
    let mut add = |member: Member| {
        let known = Known { member, standing: Standing::Alive };
        members.known.insert(known.member.node.clone(), known);
    };
    for n in 0..entries {
        let roles = Roles { entry: true, ..Roles::default() };
        add(Member { node: Node(format!("entry-{n}")), roles, ..Member::default() });
    }
    for n in 0..endpoints {
        add(Member {
            node: Node(format!("agent-{n}")),
            data_centre: DataCentre(format!("dc-{}", n % 10)),
            roles: Roles { agent: true, ..Roles::default() },
            endpoint: Some(EndpointInfo {
                name: Endpoint(format!("endpoint-{n}")),
                models: BTreeMap::from([(model.clone(), Version(1))]),
                slots: 16,
                healthy: true,
                ..EndpointInfo::default()
            }),
            ..Member::default()
        });
    }
    members
}

/// Prints the cost of a routing decision as endpoints and attempts in flight grow.
pub fn routing() {
    println!(
        "{:<16} {:>9} {:>7} {:>9} {:>8} {:>12}",
        "rule", "endpoints", "subset", "in flight", "ns", "allocations"
    );
    for rule in [Rule::RoundRobin, Rule::LeastInFlight, Rule::TwoChoices, Rule::LeastFinish] {
        for (endpoints, subset) in [(10, 48), (100, 48), (1_600, 48), (1_600, 1_600)] {
            one(rule, endpoints, subset, 1_000);
        }
    }
    for flights in [100, 10_000, 100_000] {
        one(Rule::LeastFinish, 1_600, 1_600, flights);
    }
    let members = members(390, 1_600);
    let mut router = Router::new(Settings::default(), place(), 1);
    let started = Instant::now();
    router.observe_members(Millis(0), &members);
    println!("members of 390 entries and 1600 endpoints: first {:?}", started.elapsed());
    let started = Instant::now();
    router.observe_members(Millis(1), &members);
    println!("the same again, nothing changed: {:?}", started.elapsed());
}

fn place() -> Location {
    Location { node: Node::from("entry-0"), ..Location::default() }
}

fn one(rule: Rule, endpoints: usize, subset: usize, flights: usize) {
    let settings = Settings { rule, subset, ..Settings::default() };
    let mut router = Router::new(settings, place(), 1);
    router.observe_members(Millis(0), &members(390, endpoints));
    let model = Model::from("style-llm");
    for n in 0..endpoints {
        let name = Endpoint(format!("endpoint-{n}"));
        let report = LoadReport { name, seq: 1, running: (n % 16) as u32, ..LoadReport::default() };
        router.observe_report(Millis(1), &report);
    }
    let seats = router.subset_of(&model).to_vec();
    for n in 0..flights {
        router.started(Millis(2), seats[n % seats.len()], 300, Some(n as u64));
    }
    let mut decide = |n: u64| {
        let want = RouteRequest {
            model: &model,
            class: Class::Normal,
            prefix: Some(n % 5_000),
            prompt_tokens: 500,
            output_tokens: 300,
            floor: Some(Version(1)),
            exclude: &[],
            suspect: false,
        };
        black_box(router.choose(Millis(20_000 + n / 100), &want).ok());
    };
    for n in 0..1_000 {
        decide(n);
    }
    let allocated = allocation_counter::measure(|| (0..1_000).for_each(&mut decide)).count_total;
    let started = Instant::now();
    (0..DECISIONS).for_each(&mut decide);
    let ns = started.elapsed().as_nanos() as u64 / DECISIONS;
    let allocations = allocated as f64 / 1_000.0;
    let rule = format!("{rule:?}");
    println!("{rule:<16} {endpoints:>9} {subset:>7} {flights:>9} {ns:>8} {allocations:>12.2}");
}

/// Prints the cost of an admission decision as the requests that wait grow.
pub fn admission() {
    println!("{:<24} {:>8} {:>8} {:>12}", "admission", "waiting", "ns", "allocations");
    for waiting in [0, 100, 10_000, 100_000] {
        let settings = chicoryford_admission::Settings { waiting, ..Default::default() };
        let mut admission = Admission::new(settings, 1);
        let workspace = Workspace::from("desk");
        let lease = chicoryford_admission::Lease { rate: 1.0e9, running: u32::MAX };
        let (limits, retries) = (Default::default(), Default::default());
        admission.observe_workspace(&workspace, limits, retries, 1, lease);
        let model = Model::from("desk-app");
        let mut ask = |n: u64, room: Capacity| {
            let ask = AdmissionRequest {
                id: RequestId(1, n),
                workspace: &workspace,
                model: &model,
                class: Class::Normal,
                deadline: Millis(60_000 + n % 1_000),
                expected_ms: 1_000,
                capacity: room,
            };
            let verdict = admission.admit(Millis(1), &ask);
            if verdict == Decision::Admit {
                let done = chicoryford_admission::Completion { ok: true, ms: 1_000 };
                admission.finished(Millis(1), RequestId(1, n), done);
            }
        };
        let full = Capacity { slots: 10, load: 10 };
        (0..waiting as u64).for_each(|n| ask(n, full));
        let room = if waiting == 0 { Capacity { slots: 10, load: 0 } } else { full };
        let mut n = waiting as u64;
        let mut next = || {
            n += 1;
            ask(n, room);
        };
        let allocated = allocation_counter::measure(|| (0..1_000).for_each(|_| next()));
        let started = Instant::now();
        (0..DECISIONS).for_each(|_| next());
        let ns = started.elapsed().as_nanos() as u64 / DECISIONS;
        let what = if waiting == 0 { "admit and finish" } else { "refuse at a full queue" };
        let allocations = allocated.count_total as f64 / 1_000.0;
        println!("{what:<24} {waiting:>8} {ns:>8} {allocations:>12.2}");
    }
}
