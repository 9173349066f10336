//! Tests of the queue of requests that wait for a slot.

use std::collections::BTreeMap;

use chicoryford_fleet::wait_queue::QueuePosition;
use chicoryford_fleet::wait_queue::WaitQueue;
use chicoryford_types::Millis;

#[test]
fn the_most_urgent_request_is_first_and_others_wait() {
    let mut queue = WaitQueue::default();
    let now = Millis(1_000);
    assert!(!queue.must_wait(now));
    queue.pause(now);
    let late = queue.push("w", 2);
    let urgent = queue.push("x", 0);
    assert_eq!(queue.wait_ms(late, now), None);
    assert_eq!(queue.wait_ms(urgent, now), Some(30));
    assert_eq!(queue.wait_ms(urgent, now + 30), Some(0));
    queue.admit(urgent);
    assert_eq!(queue.wait_ms(late, now + 30), Some(0));
    queue.remove(late);
    assert!(!queue.must_wait(now + 30));
}

#[test]
fn a_request_that_found_endpoints_full_again_keeps_its_position() {
    let mut queue = WaitQueue::default();
    let (first, second) = (queue.push("w", 1), queue.push("x", 1));
    queue.admit(first);
    assert_eq!(queue.wait_ms(second, Millis(0)), Some(0));
    queue.requeue(first);
    assert_eq!(queue.wait_ms(second, Millis(0)), None);
}

/// A request in the simulation.
struct Request {
    workspace: String,
    arrived: u64,
    position: Option<QueuePosition>,
}

/// Simulates 20 s in which 88 workspaces share the one remaining endpoint of four, with six slots,
/// requests of 25 ms and 240 requests a second. Returns the share of the requests of each workspace
/// that were served. Requests that have waited for 90 ms are rejected.
fn simulate(requests: &[(u64, String)], fair: bool) -> BTreeMap<String, f64> {
    let mut queue = WaitQueue::default();
    let mut waiting: Vec<Request> = Vec::new();
    let mut busy: Vec<u64> = Vec::new();
    let (mut sent, mut served) = (BTreeMap::<String, f64>::new(), BTreeMap::<String, f64>::new());
    let mut arriving = requests.iter().peekable();
    for now in 0..20_000 {
        busy.retain(|end| *end > now);
        while let Some((arrived, workspace)) = arriving.next_if(|(arrived, _)| *arrived <= now) {
            *sent.entry(workspace.clone()).or_default() += 1.0;
            let name = if fair { workspace.as_str() } else { "" };
            let position = Some(queue.push(name, 1));
            waiting.push(Request { workspace: workspace.clone(), arrived: *arrived, position });
        }
        waiting.retain(|request| {
            let in_time = now - request.arrived <= 90;
            if let Some(position) = request.position.filter(|_| !in_time) {
                queue.remove(position);
            }
            in_time
        });
        while busy.len() < 6 {
            let is_next =
                |one: &Request| queue.wait_ms(one.position.unwrap(), Millis(now)) == Some(0);
            let Some(first) = waiting.iter().position(is_next) else { break };
            let request = waiting.swap_remove(first);
            queue.admit(request.position.unwrap());
            busy.push(now + 25);
            *served.entry(request.workspace).or_default() += 1.0;
        }
    }
    sent.iter()
        .map(|(name, sent)| (name.clone(), served.get(name).unwrap_or(&0.0) / sent))
        .collect()
}

/// Returns the requests of 88 workspaces, each of which sends `each` requests a second, the first
/// one 20 times as many.
fn load(each: f64) -> Vec<(u64, String)> {
    let mut requests = Vec::new();
    for number in 0..88 {
        let rate = if number == 0 { 20.0 * each } else { each };
        let gap = 1_000.0 / rate;
        let mut at = gap * f64::from(number) / 88.0;
        while at < 19_500.0 {
            requests.push((at as u64, format!("w{number}")));
            at += gap;
        }
    }
    requests.sort();
    requests
}

/// Three quarters of the endpoints of a service are lost while one of 88 workspaces sends 20 times
/// as many requests as each of the others. The remaining capacity suffices for the others, but not
/// for all requests.
#[test]
fn one_workspace_of_88_does_not_starve_the_others() {
    let requests = load(2.6);
    let alone: Vec<(u64, String)> = requests.iter().filter(|(_, w)| w != "w0").cloned().collect();
    let (alone, together) = (simulate(&alone, true), simulate(&requests, true));
    for (workspace, share) in &alone {
        assert!(
            together[workspace] >= 0.9 * share,
            "{workspace}: {} of {share}",
            together[workspace]
        );
    }
    assert!(together["w0"] > 0.1, "it gets the remaining capacity: {}", together["w0"]);
    let unfair = simulate(&requests, false);
    let starved = alone.iter().filter(|(name, share)| unfair[*name] < 0.9 * **share).count();
    assert!(starved > 20, "without fair queueing {starved} workspaces are starved");
}
