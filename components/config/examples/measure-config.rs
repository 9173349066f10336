//! Measures the messages between followers and parents, saving to disk, and the evaluation of what
//! is in force.
//!
//! Run with `cargo run --release -p chicoryford-config --example measure-config`

use std::time::Instant;

use chicoryford_config::children::Children;
use chicoryford_config::config_file::ConfigFile;
use chicoryford_config::in_force::evaluate;
use chicoryford_config::message::FollowReply;
use chicoryford_config::message::FollowRequest;
use chicoryford_config::message::Report;
use chicoryford_config::store::Store;
use chicoryford_types::Change;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::Principal;
use chicoryford_types::Revision;
use chicoryford_types::Template;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;
use chicoryford_types::request::Class;

const START: Incarnation = Incarnation(1_700_000_000_000);

fn encode<T: serde::Serialize>(item: &T) -> usize {
    rmp_serde::to_vec_named(item).expect("plain data").len()
}

fn at(revision: u64) -> Position {
    Position { epoch: Epoch(3), revision: Revision(revision) }
}

fn change(revision: u64) -> Change {
    let callers = (0..10).map(|n| (Principal(format!("caller-{n}")), Class::Normal));
    let workspace = Workspace(format!("workspace-{:04}", revision % 100));
    let template = Template { workspace, callers: callers.collect(), ..Template::default() };
    Change::Template(Box::new(Versioned { version: revision, template }))
}

fn follow(name: String, below: &Children) -> FollowRequest {
    let node = Node(name);
    let subtree = below.subtree(Millis(0));
    FollowRequest { node, incarnation: START, at: at(5_000), wait_ms: 6_000, digest: None, subtree }
}

fn main() {
    let mut store = Store::default();
    let start = Instant::now();
    for revision in 1..=5_000 {
        // The rest of the process still references the previous configuration, which is copied on
        // write.
        let _previous = store.config();
        store.apply(at(revision), change(revision));
    }
    let us = start.elapsed().as_micros() / 5_000;
    println!("push templates=100 us={us}");

    let agent = follow("agent-0001".to_owned(), &Children::default());
    let mut below = Children::default();
    for number in 0..5 {
        below.record(&follow(format!("agent-{number:04}"), &Children::default()), Millis(0));
    }
    let entry = follow("entry-001".to_owned(), &below);
    println!("question below=0 bytes={}", encode(&agent));
    println!("question below=5 bytes={}", encode(&entry));
    let nothing = FollowReply { at: at(5_000), delta: None, repair: false };
    println!("answer changes=0 bytes={}", encode(&nothing));
    for missed in [1, 10, 100, 1_000] {
        let delta = Some(store.delta_since(at(5_000 - missed)));
        println!(
            "answer changes={missed} bytes={}",
            encode(&FollowReply { delta, ..nothing.clone() })
        );
    }

    let folder = std::env::temp_dir().join(format!("measure-config-{}", std::process::id()));
    let (file, config) = (ConfigFile::new(&folder), store.config());
    let start = Instant::now();
    for _ in 0..100 {
        file.save(&config).expect("the temporary folder can be written");
    }
    let us = start.elapsed().as_micros() / 100;
    println!("save templates=100 bytes={} us={us}", encode(config.as_ref()));
    std::fs::remove_dir_all(&folder).expect("the folder was created above");

    let name = |number: u32| Node(format!("process-{number:04}"));
    let reports: Vec<_> = (0..1_990)
        .map(|number| Report { node: name(number), incarnation: START, at: at(5_000) })
        .collect();
    let known = (0..1_990).map(|number| {
        let member = Member { node: name(number), incarnation: START, ..Member::default() };
        (member.node.clone(), Known { member, ..Known::default() })
    });
    let members = Members { known: known.collect() };
    let start = Instant::now();
    let in_force = evaluate(at(5_000), &members, &reports);
    let us = start.elapsed().as_micros();
    let bytes = encode(&reports);
    println!(
        "in_force processes={} everywhere={} us={us} bytes={bytes}",
        in_force.processes, in_force.everywhere
    );
}
