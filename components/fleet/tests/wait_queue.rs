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
    let first = queue.admit(first);
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
    simulate_from(WaitQueue::default(), requests, fair)
}

/// Simulates the same with a queue that has been used.
fn simulate_from(
    mut queue: WaitQueue,
    requests: &[(u64, String)],
    fair: bool,
) -> BTreeMap<String, f64> {
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

/// Returns the requests of ten workspaces, each of which sends its share of 240 requests a second.
/// The first one sends 20 times as many until `until`.
fn load_with_excess(until: u64) -> Vec<(u64, String)> {
    let mut requests = Vec::new();
    for number in 0..10 {
        let mut at = 4.0 * f64::from(number);
        while at < 19_500.0 {
            requests.push((at as u64, format!("w{number}")));
            let is_excessive = number == 0 && at < until as f64;
            at += 1_000.0 / if is_excessive { 480.0 } else { 24.0 };
        }
    }
    requests.sort();
    requests
}

/// Guards against workspaces that get less than their share of the slots while all endpoints are
/// full and one workspace sends 20 times its share, and against slots that stay free meanwhile.
#[test]
fn each_workspace_gets_its_share_while_one_sends_twenty_times_its_own() {
    let requests = load_with_excess(20_000);
    let served = simulate(&requests, true);
    for (workspace, share) in served.iter().filter(|(name, _)| *name != "w0") {
        assert!(*share >= 0.95, "{workspace}: {share}");
    }
    assert!((0.03..=0.06).contains(&served["w0"]), "it gets a twentieth: {}", served["w0"]);
    let unfair = simulate(&requests, false);
    assert!(unfair["w1"] < 0.6, "the load does not show the failure: {}", unfair["w1"]);
}

/// Guards against a workspace that gets nothing for minutes after it has sent too much, because its
/// requests that were refused count as served.
#[test]
fn refused_requests_do_not_count_against_a_workspace() {
    let mut queue = WaitQueue::default();
    for _ in 0..5_000 {
        let position = queue.push("w0", 1);
        queue.remove(position);
    }
    // Now all workspaces send twice their share, this one a second later.
    let mut requests = [load_with_excess(0), load_with_excess(0)].concat();
    requests.retain(|(at, workspace)| workspace != "w0" || *at >= 1_000);
    requests.sort();
    let served = simulate_from(queue, &requests, true);
    assert!(served.values().all(|share| (0.45..=0.55).contains(share)), "{served:?}");
}

/// Guards against a workspace whose requests start out of order, or that loses or gains its turn,
/// when some of them are refused or find all endpoints full again.
#[test]
fn the_turn_of_a_workspace_passes_to_its_next_request() {
    let mut queue = WaitQueue::default();
    let first: Vec<QueuePosition> = (0..3).map(|_| queue.push("w", 1)).collect();
    let other: Vec<QueuePosition> = (0..2).map(|_| queue.push("x", 1)).collect();
    let is_next = |queue: &WaitQueue, one: QueuePosition| queue.wait_ms(one, Millis(0)).is_some();
    queue.remove(first[0]);
    assert!(is_next(&queue, first[1]), "it is older than that of the other workspace");
    let admitted = queue.admit(first[1]);
    assert!(is_next(&queue, other[0]));
    queue.requeue(admitted);
    assert!(is_next(&queue, first[1]), "it is tried again first");
    queue.admit(first[1]);
    queue.admit(other[0]);
    assert!(is_next(&queue, first[2]));
    queue.admit(first[2]);
    assert!(is_next(&queue, other[1]));
}
