//! Tests of which step a caller means while workspaces come and go and routes open and close.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_fleet::ApplyOutcome;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::State;
use chicoryford_fleet::Step;
use chicoryford_fleet::StepSummary;
use chicoryford_fleet::Workspace;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::copies::Placement;
use chicoryford_fleet::step_access::Target;
use chicoryford_fleet::workspace::step_id;
use chicoryford_types::Digest;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;

mod support;

/// Who may call: everyone, the workspaces with open routes, or the workspaces only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
    NoWorkspaces,
    OpenRoute,
    Closed,
}

/// A caller, by the workspace of its key.
type Caller = Option<&'static str>;

#[derive(Clone, Copy, Debug)]
enum Event {
    Configure(Rules),
    Submit(Caller),
    Call(Caller),
}

const CALLERS: [Caller; 3] = [None, Some("w"), Some("x")];

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let rules = [Rules::NoWorkspaces, Rules::OpenRoute, Rules::Closed];
        match u8::arbitrary(g) % 4 {
            0 => Self::Configure(*g.choose(&rules).unwrap()),
            1 => Self::Submit(*g.choose(&CALLERS).unwrap()),
            _ => Self::Call(*g.choose(&CALLERS).unwrap()),
        }
    }
}

/// The replicated state, with callers that all use the same id for their steps.
#[derive(Default)]
struct Fleet {
    state: State,
    version: u64,
    parts: u64,
}

impl Fleet {
    fn with(rules: Rules) -> Self {
        let mut fleet = Self::default();
        fleet.configure(rules);
        fleet
    }

    fn apply(&mut self, command: Command) -> ApplyOutcome {
        self.state.apply(Stamped { at: 0, command })
    }

    fn configure(&mut self, rules: Rules) {
        self.version += 1;
        let mut config = Config { version: self.version, ..support::steps_config() };
        config.routes[0].open = rules == Rules::OpenRoute;
        if rules != Rules::NoWorkspaces {
            let one = |name: &str| Workspace {
                name: name.to_owned(),
                keys: vec![Digest::of(name.as_bytes())],
                urgency: None,
            };
            config.workspaces = vec![one("w"), one("x")].into();
        }
        assert_eq!(self.apply(Command::Configure(Arc::new(config))), ApplyOutcome::Changed);
    }

    /// Returns the id by which an entry asks for the caller's step, or `None` if it rejects the call.
    fn asked(&self, caller: Caller) -> Option<String> {
        let config = self.state.config.as_ref().unwrap();
        match caller {
            _ if config.workspaces.is_empty() => Some(step_id(None, "job")),
            None if !config.routes[0].open => None,
            _ => Some(step_id(caller, "job")),
        }
    }

    /// Submits a step with a sample. Returns its id within the fleet.
    fn submit(&mut self, caller: Caller, sample: &str, key: Option<&str>) -> ApplyOutcome {
        let is_open = self.state.config.as_ref().unwrap().routes[0].open;
        let Some(id) = self.asked(caller.filter(|_| !is_open)) else {
            return ApplyOutcome::Unknown;
        };
        self.parts += 1;
        let samples = vec![Sample { id: sample.to_owned(), ..Sample::default() }];
        let (host, path) = ("h".to_owned(), "/s/1".to_owned());
        let key = key.map(|key| Digest::of(key.as_bytes()));
        let step = Step { id, host, path, samples, key, ..Step::default() };
        let step = Arc::new(StepSummary::of(&step, PartId(self.parts)));
        self.apply(Command::Submit { step, placement: Placement::Stores(BTreeSet::new()) })
    }

    /// Returns the step that a call reaches, after binding it as the leader does.
    fn call(&mut self, caller: Caller) -> Option<String> {
        let asked = self.asked(caller)?;
        if let Target::Unclaimed(step) = self.state.find_step(&asked) {
            let (step, workspace) = (step.to_owned(), caller.unwrap().to_owned());
            assert_eq!(self.apply(Command::Claim { step, workspace }), ApplyOutcome::Changed);
        }
        match self.state.find_step(&asked) {
            Target::Step(id) => Some(id.to_owned()),
            _ => None,
        }
    }
}

/// Guards against replicas that disagree about an owner: two callers claim a step at once, and the
/// first command in the log wins.
#[test]
fn a_step_is_bound_once() {
    let mut fleet = Fleet::with(Rules::NoWorkspaces);
    fleet.submit(None, "a", None);
    fleet.configure(Rules::Closed);
    assert_eq!(fleet.state.find_step("w/job"), Target::Unclaimed("job"));
    let claim = |workspace: &str| {
        let (step, workspace) = ("job".to_owned(), workspace.to_owned());
        Command::Claim { step, workspace }
    };
    assert_eq!(fleet.apply(claim("x")), ApplyOutcome::Changed);
    assert_eq!(fleet.apply(claim("w")), ApplyOutcome::Held);
    assert_eq!(fleet.state.find_step("x/job"), Target::Step("job"));
    assert_eq!(fleet.state.find_step("w/job"), Target::Unknown);
}

/// Guards against a caller that binds a step which another workspace submitted with its key before
/// keys were required.
#[test]
fn a_step_that_came_with_a_key_is_bound_only_to_the_holder_of_that_key() {
    let mut fleet = Fleet::with(Rules::NoWorkspaces);
    fleet.submit(None, "a", Some("w"));
    fleet.configure(Rules::Closed);
    assert_eq!(fleet.state.find_step("x/job"), Target::Unknown);
    assert_eq!(fleet.state.find_step("w/job"), Target::Unclaimed("job"));
    let mut fleet = Fleet::with(Rules::NoWorkspaces);
    fleet.submit(None, "a", Some("a key of nobody"));
    fleet.configure(Rules::Closed);
    assert_eq!(fleet.state.find_step("x/job"), Target::Unclaimed("job"));
}

/// Guards against a step of an earlier release, whose route is not known, that nobody can reach.
#[test]
fn a_step_whose_route_is_unknown_is_open_while_a_route_for_steps_is() {
    let mut fleet = Fleet::with(Rules::OpenRoute);
    fleet.submit(None, "a", None);
    let step = fleet.state.steps.get_mut("job").unwrap();
    let summary = StepSummary { host: String::new(), path: String::new(), ..(*step.step).clone() };
    step.step = Arc::new(summary);
    assert_eq!(fleet.state.find_step("job"), Target::Step("job"));
    fleet.configure(Rules::Closed);
    assert_eq!(fleet.state.find_step("w/job"), Target::Unclaimed("job"));
}

/// Guards against a log or snapshot of an earlier release that cannot be read.
#[test]
fn a_step_of_an_earlier_release_is_read_without_the_new_fields() {
    #[derive(serde::Serialize)]
    struct Earlier<'a>(&'a str, &'a str, u32, u64, u64);
    let bytes = rmp_serde::to_vec(&Earlier("w/job", "m", 3, 40_000, 7)).unwrap();
    let step: StepSummary = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!((step.id.as_str(), step.samples, step.part), ("w/job", 3, PartId(7)));
    assert_eq!((step.path.as_str(), step.key, step.content), ("", None, None));
}

#[test]
fn the_content_of_a_step_is_what_its_trainer_sent() {
    let sample = |id: &str, group: &str| Sample {
        id: id.to_owned(),
        group: group.to_owned(),
        ..Sample::default()
    };
    let step = Step { samples: vec![sample("a", "bc")], ..Step::default() };
    let moved = Step { samples: vec![sample("ab", "c")], ..Step::default() };
    assert_ne!(step.content(), moved.content());
    let again = Step {
        id: "w/job".to_owned(),
        workspace: Some("w".to_owned()),
        priority: 3,
        age_ms: 1,
        ..step.clone()
    };
    assert_eq!(step.content(), again.content());
}

quickcheck! {
    /// In any history, a step that was submitted with a key or bound is not reached by the callers
    /// of other workspaces nor, while there are workspaces, by callers without a key. Its own
    /// workspace always reaches it.
    fn a_step_is_reached_by_its_own_workspace_only(events: Vec<Event>) -> bool {
        let mut fleet = Fleet::with(Rules::NoWorkspaces);
        let mut rules = Rules::NoWorkspaces;
        // The step of each workspace, as its callers reached it first while keys were required.
        let mut own: BTreeMap<&str, String> = BTreeMap::new();
        for event in events {
            match event {
                Event::Configure(next) => {
                    fleet.configure(next);
                    rules = next;
                }
                Event::Submit(caller) => {
                    fleet.submit(caller, caller.unwrap_or("none"), None);
                }
                Event::Call(caller) => {
                    let reached = fleet.call(caller);
                    let has_workspaces = rules != Rules::NoWorkspaces;
                    let other = own.iter().any(|(workspace, step)| {
                        Some(*workspace) != caller && Some(step) == reached.as_ref()
                    });
                    if has_workspaces && other {
                        return false;
                    }
                    let Some(workspace) = caller.filter(|_| has_workspaces) else { continue };
                    if own.get(workspace).is_some_and(|step| Some(step) != reached.as_ref()) {
                        return false;
                    }
                    if let Some(step) = reached.filter(|_| rules == Rules::Closed) {
                        own.insert(workspace, step);
                    }
                }
            }
        }
        true
    }

    /// In any history, a trainer that submits its step again, with a key or without, has one step.
    fn a_repeated_submission_is_one_step(events: Vec<Event>) -> bool {
        let mut fleet = Fleet::with(Rules::NoWorkspaces);
        for event in events {
            match event {
                Event::Configure(next) => fleet.configure(next),
                Event::Submit(caller) => {
                    fleet.submit(caller.and(Some("w")), "a", None);
                }
                Event::Call(_) => {}
            }
        }
        fleet.state.steps.len() <= 1
    }
}
