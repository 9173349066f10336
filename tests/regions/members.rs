//! Tests of membership over real sockets: a frozen process and a killed one.

use serde_json::Value;

use crate::fixture::Regions;
use crate::fixture::wait;

/// Index of the engine's agent among the processes of a region.
const AGENT_INDEX: usize = 2;

/// Returns the state of a region's engine agent in an entry's membership.
fn member_state(all: &Regions, entry: usize, region: usize) -> String {
    let seen = all.client(entry, &["endpoints", "--output", "json"]);
    let seen: Vec<Value> = serde_json::from_slice(&seen.stdout).unwrap_or_default();
    let name = format!("agent-{region}");
    let found = seen.iter().find(|known| known["member"]["node"] == name.as_str());
    found.and_then(|known| known["standing"].as_str()).unwrap_or("absent").to_owned()
}

#[test]
fn detects_frozen_and_killed_processes() {
    // Guards against work that is sent to a lost process, against a process that stays unseen after
    // a freeze, and against a resumed process that reports others as dead. A process is frozen and
    // resumed, then killed and restarted. The sockets of a frozen process stay open and accept
    // datagrams, and all its timers have expired when it resumes.
    let mut all = Regions::start();
    all.regions[1].processes[AGENT_INDEX].freeze().unwrap();
    for entry in 0..2 {
        wait("the frozen process is dead to all", || member_state(&all, entry, 1) == "dead");
        assert_eq!(member_state(&all, entry, 0), "alive");
    }
    all.regions[1].processes[AGENT_INDEX].thaw().unwrap();
    for entry in 0..2 {
        wait("the resumed process is alive to all", || member_state(&all, entry, 1) == "alive");
        assert_eq!(
            member_state(&all, entry, 0),
            "alive",
            "a resumed process must not report others as dead"
        );
    }
    all.regions[1].processes[AGENT_INDEX].kill().unwrap();
    for entry in 0..2 {
        wait("the killed process is dead to all", || member_state(&all, entry, 1) == "dead");
        assert_eq!(member_state(&all, entry, 0), "alive");
    }
    all.regions[1].processes[AGENT_INDEX].restart().unwrap();
    for entry in 0..2 {
        wait("the restarted process is alive to all", || member_state(&all, entry, 1) == "alive");
    }
}
