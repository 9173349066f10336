//! The choice of parents, and the evaluation of which configuration is in force where.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_config::children::CHILD_TIMEOUT_MS;
use chicoryford_config::children::Children;
use chicoryford_config::children::FollowOutcome;
use chicoryford_config::children::MAX_CHILDREN;
use chicoryford_config::in_force::evaluate;
use chicoryford_config::message::FollowRequest;
use chicoryford_config::message::Report;
use chicoryford_config::message::Subtree;
use chicoryford_config::parents::SkippedParents;
use chicoryford_config::parents::choose_parent;
use chicoryford_types::DataCentre;
use chicoryford_types::Incarnation;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::Region;
use chicoryford_types::Revision;
use chicoryford_types::Roles;
use chicoryford_types::Standing;

const ENTRY: Roles = Roles { entry: true, control: false, agent: false };
const CONTROL: Roles = Roles { entry: false, control: true, agent: false };
const AGENT: Roles = Roles { entry: false, control: false, agent: true };

fn member(name: &str, place: u8, roles: Roles) -> Member {
    Member {
        node: Node::from(name),
        incarnation: Incarnation(1),
        region: Region(format!("r{}", place / 2)),
        data_centre: DataCentre(format!("d{place}")),
        roles,
        ..Member::default()
    }
}

fn members(list: impl IntoIterator<Item = Member>) -> Members {
    let known = list
        .into_iter()
        .map(|member| (member.node.clone(), Known { member, standing: Standing::Alive }));
    Members { known: known.collect() }
}

fn at(revision: u64) -> Position {
    Position { revision: Revision(revision), ..Position::default() }
}

fn follow(name: &str, revision: u64) -> FollowRequest {
    FollowRequest { node: Node::from(name), at: at(revision), ..FollowRequest::default() }
}

fn cluster() -> Members {
    let entries = (0..20).map(|n| member(&format!("entry-{n}"), n % 4, ENTRY));
    let controls = (0..5).map(|n| member(&format!("control-{n}"), n % 4, CONTROL));
    members(entries.chain(controls))
}

#[test]
fn agents_follow_near_entries_evenly_and_entries_follow_controls() {
    let all = cluster();
    let mut load = BTreeMap::<Node, u32>::new();
    for number in 0..400 {
        let agent = member(&format!("agent-{number}"), 1, AGENT);
        let parent = choose_parent(&agent, &all, &SkippedParents::default(), Millis(0)).unwrap();
        assert!(parent.roles.entry && parent.data_centre == agent.data_centre);
        *load.entry(parent.node.clone()).or_default() += 1;
    }
    assert_eq!(load.len(), 5);
    assert!(load.values().all(|count| (40..=120).contains(count)), "{load:?}");
    let entry = member("entry-3", 3, ENTRY);
    let parent = choose_parent(&entry, &all, &SkippedParents::default(), Millis(0)).unwrap();
    assert!(parent.roles.control && parent.region == entry.region);
    let control = member("control-0", 0, CONTROL);
    assert_eq!(choose_parent(&control, &all, &SkippedParents::default(), Millis(0)), None);
}

#[test]
fn a_lost_parent_moves_only_its_own_children() {
    // Guards against the loss of one entry that makes all agents of a data centre reconnect at
    // once. An entry dies, and each agent chooses among the remaining ones. A choice by position in
    // a list changes for all agents; a choice by a hash of child and parent does not.
    let all = cluster();
    let mut fewer = all.clone();
    fewer.known.get_mut(&Node::from("entry-5")).unwrap().standing = Standing::Dead;
    let mut taken_over = BTreeSet::new();
    for number in 0..200 {
        let agent = member(&format!("agent-{number}"), 1, AGENT);
        let before = choose_parent(&agent, &all, &SkippedParents::default(), Millis(0)).unwrap();
        let after = choose_parent(&agent, &fewer, &SkippedParents::default(), Millis(0)).unwrap();
        if before.node == Node::from("entry-5") {
            taken_over.insert(after.node.clone());
        } else {
            assert_eq!(before.node, after.node);
        }
    }
    assert!(taken_over.len() > 1, "all children moved to {taken_over:?}");
}

#[test]
fn skips_a_parent_that_failed_until_the_skip_time_has_passed() {
    let all = cluster();
    let agent = member("agent", 1, AGENT);
    let mut skipped = SkippedParents::default();
    let first = choose_parent(&agent, &all, &skipped, Millis(0)).unwrap();
    skipped.skip(first.node.clone(), Millis(100));
    assert_ne!(choose_parent(&agent, &all, &skipped, Millis(99)).unwrap().node, first.node);
    assert_eq!(choose_parent(&agent, &all, &skipped, Millis(100)).unwrap().node, first.node);
    for node in all.known.keys() {
        skipped.skip(node.clone(), Millis(100));
    }
    assert_eq!(choose_parent(&agent, &all, &skipped, Millis(0)), None);
}

#[test]
fn summarises_the_subtree_and_limits_the_number_of_children() {
    let mut children = Children::default();
    let report = Report { node: Node::from("agent"), incarnation: Incarnation(1), at: at(3) };
    let subtree = Subtree { processes: 1, lowest: Some(at(3)), reports: vec![report] };
    let entry = FollowRequest { subtree, ..follow("entry", 7) };
    assert_eq!(children.record(&entry, Millis(0)), FollowOutcome::Changed);
    assert_eq!(children.record(&entry, Millis(1)), FollowOutcome::Unchanged);
    let below = children.subtree(Millis(1));
    assert_eq!((below.processes, below.lowest), (2, Some(at(3))));
    assert_eq!(below.reports[0].node, Node::from("agent"));
    assert_eq!(children.subtree(Millis(1 + CHILD_TIMEOUT_MS)).processes, 0);
    for number in 1..MAX_CHILDREN {
        assert_eq!(
            children.record(&follow(&format!("c{number}"), 7), Millis(2)),
            FollowOutcome::Changed
        );
    }
    assert_eq!(children.record(&follow("one more", 7), Millis(3)), FollowOutcome::Full);
    assert_eq!(children.record(&follow("entry", 8), Millis(3)), FollowOutcome::Changed);
}

#[test]
fn in_force_everywhere_requires_a_report_from_the_current_start_of_each_process() {
    // Guards against "in force everywhere" while one agent still uses the old configuration. An
    // agent without a disk reports revision 9 and restarts with no configuration, and its old
    // report is still present at its former parent. A report counts only for the start of the
    // process that sent it.
    let mut restarted = member("agent", 0, AGENT);
    restarted.incarnation = Incarnation(2);
    let all = members([member("entry", 0, ENTRY), restarted]);
    let report = |name: &str, incarnation, revision| Report {
        node: Node::from(name),
        incarnation: Incarnation(incarnation),
        at: at(revision),
    };
    let old = [report("entry", 1, 9), report("agent", 1, 9)];
    let in_force = evaluate(at(9), &all, &old);
    assert!(!in_force.everywhere);
    assert_eq!((in_force.lagging, in_force.processes), (vec![Node::from("agent")], 2));
    let mixed = [report("agent", 1, 9), report("agent", 2, 4), report("entry", 1, 9)];
    assert!(!evaluate(at(9), &all, &mixed).everywhere);
    assert!(evaluate(at(4), &all, &mixed).everywhere);
    let latest = [report("agent", 2, 9), report("agent", 2, 4), report("entry", 1, 9)];
    assert!(evaluate(at(9), &all, &latest).everywhere);
}
