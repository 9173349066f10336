//! Tests of access with keys and of the acceptance of stale keys.

use chicoryford_fleet::Access;
use chicoryford_fleet::Route;
use chicoryford_fleet::StaleKeyPolicy;
use chicoryford_fleet::Workspace;
use chicoryford_fleet::Workspaces;
use chicoryford_fleet::workspace::step_id;
use chicoryford_types::Digest;
use quickcheck::quickcheck;

mod support;

fn workspaces() -> Workspaces {
    let one = |name: &str| Workspace {
        name: name.to_owned(),
        keys: vec![Digest::of(name.as_bytes())],
        urgency: None,
    };
    vec![one("w"), one("x")].into()
}

#[test]
fn steps_need_a_key_unless_their_routes_are_open() {
    let closed = support::steps_config().routes;
    let open: Vec<Route> =
        closed.iter().map(|route| Route { open: true, ..route.clone() }).collect();
    let all = workspaces();
    assert!(
        matches!(all.step_access(&closed, Some("w")), Access::Workspace(one) if one.name == "w")
    );
    assert_eq!(all.step_access(&closed, Some("unknown")), Access::Unknown);
    assert_eq!(all.step_access(&closed, None), Access::Unknown);
    assert_eq!(all.step_access(&open, None), Access::Open);
    assert_eq!(Workspaces::default().step_access(&closed, None), Access::Open);
}

#[test]
fn stale_keys_are_accepted_according_to_the_policy() {
    let lenient = StaleKeyPolicy { strict: false, limit_ms: 5_000 };
    let strict = StaleKeyPolicy { strict: true, ..lenient };
    assert!(lenient.allows(1_000_000));
    assert!(strict.allows(5_000));
    assert!(!strict.allows(5_001));
}

quickcheck! {
    fn steps_of_two_workspaces_never_have_the_same_id(
        first: (Option<String>, String),
        second: (Option<String>, String)
    ) -> bool {
        // Ids chosen by trainers contain no slash; others are rejected.
        let without_slash = |(workspace, id): &(Option<String>, String)| {
            (workspace.clone(), id.replace('/', ""))
        };
        let (first, second) = (without_slash(&first), without_slash(&second));
        let same = step_id(first.0.as_deref(), &first.1) == step_id(second.0.as_deref(), &second.1);
        same == (first == second)
    }
}
