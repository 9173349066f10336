//! Whom a process follows, and who is known to have what in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_config::children::CHILDREN;
use chicoryford_config::children::Children;
use chicoryford_config::children::GONE_MS;
use chicoryford_config::children::Heard;
use chicoryford_config::in_force::judge;
use chicoryford_config::message::Follow;
use chicoryford_config::message::Report;
use chicoryford_config::message::Subtree;
use chicoryford_config::parents::Passed;
use chicoryford_config::parents::choose;
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

fn follow(name: &str, revision: u64) -> Follow {
    Follow { node: Node::from(name), at: at(revision), ..Follow::default() }
}

fn crowd() -> Members {
    let entries = (0..20).map(|n| member(&format!("entry-{n}"), n % 4, ENTRY));
    let controls = (0..5).map(|n| member(&format!("control-{n}"), n % 4, CONTROL));
    members(entries.chain(controls))
}

#[test]
fn agents_follow_near_entries_evenly_and_entries_follow_controls() {
    let all = crowd();
    let mut load = BTreeMap::<Node, u32>::new();
    for number in 0..400 {
        let agent = member(&format!("agent-{number}"), 1, AGENT);
        let parent = choose(&agent, &all, &Passed::default(), Millis(0)).unwrap();
        assert!(parent.roles.entry && parent.data_centre == agent.data_centre);
        *load.entry(parent.node.clone()).or_default() += 1;
    }
    assert_eq!(load.len(), 5);
    assert!(load.values().all(|count| (40..=120).contains(count)), "{load:?}");
    let entry = member("entry-3", 3, ENTRY);
    let parent = choose(&entry, &all, &Passed::default(), Millis(0)).unwrap();
    assert!(parent.roles.control && parent.region == entry.region);
    let control = member("control-0", 0, CONTROL);
    assert_eq!(choose(&control, &all, &Passed::default(), Millis(0)), None);
}

#[test]
fn a_lost_parent_moves_its_own_children_only() {
    // Symptom: the loss of one entry makes all agents of a data centre connect anew at once.
    // Sequence: an entry dies; each agent chooses again among those that are left.
    // Cause: a choice by position in a list shifts for everyone; one by a hash of both does not.
    let all = crowd();
    let mut fewer = all.clone();
    fewer.known.get_mut(&Node::from("entry-5")).unwrap().standing = Standing::Dead;
    let mut taken_over = BTreeSet::new();
    for number in 0..200 {
        let agent = member(&format!("agent-{number}"), 1, AGENT);
        let before = choose(&agent, &all, &Passed::default(), Millis(0)).unwrap();
        let after = choose(&agent, &fewer, &Passed::default(), Millis(0)).unwrap();
        if before.node == Node::from("entry-5") {
            taken_over.insert(after.node.clone());
        } else {
            assert_eq!(before.node, after.node);
        }
    }
    assert!(taken_over.len() > 1, "all went to {taken_over:?}");
}

#[test]
fn passes_over_a_parent_that_failed_until_its_time_is_up() {
    let all = crowd();
    let agent = member("agent", 1, AGENT);
    let mut passed = Passed::default();
    let first = choose(&agent, &all, &passed, Millis(0)).unwrap();
    passed.pass(first.node.clone(), Millis(100));
    assert_ne!(choose(&agent, &all, &passed, Millis(99)).unwrap().node, first.node);
    assert_eq!(choose(&agent, &all, &passed, Millis(100)).unwrap().node, first.node);
    for node in all.known.keys() {
        passed.pass(node.clone(), Millis(100));
    }
    assert_eq!(choose(&agent, &all, &passed, Millis(0)), None);
}

#[test]
fn sums_up_what_is_below_and_bounds_its_children() {
    let mut children = Children::default();
    let report = Report { node: Node::from("agent"), incarnation: Incarnation(1), at: at(3) };
    let subtree = Subtree { processes: 1, lowest: Some(at(3)), reports: vec![report] };
    let entry = Follow { subtree, ..follow("entry", 7) };
    assert_eq!(children.hear(&entry, Millis(0)), Heard::News);
    assert_eq!(children.hear(&entry, Millis(1)), Heard::Nothing);
    let below = children.subtree(Millis(1));
    assert_eq!((below.processes, below.lowest), (2, Some(at(3))));
    assert_eq!(below.reports[0].node, Node::from("agent"));
    assert_eq!(children.subtree(Millis(1 + GONE_MS)).processes, 0);
    for number in 1..CHILDREN {
        assert_eq!(children.hear(&follow(&format!("c{number}"), 7), Millis(2)), Heard::News);
    }
    assert_eq!(children.hear(&follow("one more", 7), Millis(3)), Heard::Full);
    assert_eq!(children.hear(&follow("entry", 8), Millis(3)), Heard::News);
}

#[test]
fn in_force_everywhere_needs_word_from_this_start_of_each_process() {
    // Symptom: "in force everywhere" while one agent still serves by the old configuration.
    // Sequence: an agent without a disk reports revision 9, restarts with nothing, and its old
    // report, at its former parent, is counted.
    // Cause: a report counts only for the start of the process that sent it.
    let mut restarted = member("agent", 0, AGENT);
    restarted.incarnation = Incarnation(2);
    let all = members([member("entry", 0, ENTRY), restarted]);
    let report = |name: &str, incarnation, revision| Report {
        node: Node::from(name),
        incarnation: Incarnation(incarnation),
        at: at(revision),
    };
    let old = [report("entry", 1, 9), report("agent", 1, 9)];
    let judged = judge(at(9), &all, &old);
    assert!(!judged.everywhere);
    assert_eq!((judged.lagging, judged.processes), (vec![Node::from("agent")], 2));
    let newer = [report("agent", 1, 9), report("agent", 2, 4), report("entry", 1, 9)];
    assert!(!judge(at(9), &all, &newer).everywhere);
    assert!(judge(at(4), &all, &newer).everywhere);
    let latest = [report("agent", 2, 9), report("agent", 2, 4), report("entry", 1, 9)];
    assert!(judge(at(9), &all, &latest).everywhere);
}
