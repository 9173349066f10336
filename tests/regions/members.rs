//! Membership over real sockets: a process that is held still, and one that is killed.

use serde_json::Value;

use crate::fixture::Regions;
use crate::fixture::wait;

/// Where a region's agent of an engine stands among its processes.
const AGENT: usize = 2;

/// Gives how an entry sees the agent of a region's engine.
fn standing(all: &Regions, entry: usize, region: usize) -> String {
    let seen = all.client(entry, &["endpoints", "--output", "json"]);
    let seen: Vec<Value> = serde_json::from_slice(&seen.stdout).unwrap_or_default();
    let name = format!("agent-{region}");
    let found = seen.iter().find(|known| known["member"]["node"] == name.as_str());
    found.and_then(|known| known["standing"].as_str()).unwrap_or("absent").to_owned()
}

#[test]
fn tells_a_frozen_and_a_killed_process_from_the_others() {
    // Symptom: work goes to a process that is gone, or one that was merely stopped for a while is
    // never seen again, or takes others for dead. Sequence: a process is stopped and goes on; then
    // it is killed and starts again. Cause: its sockets stay open and take datagrams while it
    // does not run, and it finds all its timers expired when it goes on.
    let mut all = Regions::start();
    all.regions[1].processes[AGENT].freeze().unwrap();
    for entry in 0..2 {
        wait("the frozen process is dead to all", || standing(&all, entry, 1) == "dead");
        assert_eq!(standing(&all, entry, 0), "alive");
    }
    all.regions[1].processes[AGENT].thaw().unwrap();
    for entry in 0..2 {
        wait("it is seen again", || standing(&all, entry, 1) == "alive");
        assert_eq!(standing(&all, entry, 0), "alive", "it must not blame others");
    }
    all.regions[1].processes[AGENT].kill().unwrap();
    for entry in 0..2 {
        wait("the killed process is dead to all", || standing(&all, entry, 1) == "dead");
        assert_eq!(standing(&all, entry, 0), "alive");
    }
    all.regions[1].processes[AGENT].restart().unwrap();
    for entry in 0..2 {
        wait("the new one is seen", || standing(&all, entry, 1) == "alive");
    }
}
