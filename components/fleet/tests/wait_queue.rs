//! Requests that wait share what comes free.

use std::collections::BTreeMap;

use chicoryford_fleet::wait_queue::QueuePosition;
use chicoryford_fleet::wait_queue::WaitQueue;
use chicoryford_types::Millis;

#[test]
fn the_most_urgent_goes_first_and_others_wait_for_it() {
    let mut line = WaitQueue::default();
    let now = Millis(1_000);
    assert!(!line.must_wait(now));
    line.pause(now);
    let late = line.push("w", 2);
    let urgent = line.push("x", 0);
    assert_eq!(line.wait_ms(late, now), None);
    assert_eq!(line.wait_ms(urgent, now), Some(30));
    assert_eq!(line.wait_ms(urgent, now + 30), Some(0));
    line.admit(urgent);
    assert_eq!(line.wait_ms(late, now + 30), Some(0));
    line.remove(late);
    assert!(!line.must_wait(now + 30));
}

#[test]
fn a_request_that_found_endpoints_full_again_keeps_its_place() {
    let mut line = WaitQueue::default();
    let (first, second) = (line.push("w", 1), line.push("x", 1));
    line.admit(first);
    assert_eq!(line.wait_ms(second, Millis(0)), Some(0));
    line.requeue(first);
    assert_eq!(line.wait_ms(second, Millis(0)), None);
}

/// A request of the play.
struct Request {
    workspace: String,
    came: u64,
    place: Option<QueuePosition>,
}

/// Plays 20 s of 88 workspaces before one endpoint that is left of four, with six places and requests of
/// 25 ms, 240 a second. Gives the part of each workspace's requests that were served; those that
/// have waited for 90 ms are refused.
fn play(requests: &[(u64, String)], fair: bool) -> BTreeMap<String, f64> {
    let mut line = WaitQueue::default();
    let mut waiting: Vec<Request> = Vec::new();
    let mut busy: Vec<u64> = Vec::new();
    let (mut asked, mut served) = (BTreeMap::<String, f64>::new(), BTreeMap::<String, f64>::new());
    let mut coming = requests.iter().peekable();
    for now in 0..20_000 {
        busy.retain(|end| *end > now);
        while let Some((came, workspace)) = coming.next_if(|(came, _)| *came <= now) {
            *asked.entry(workspace.clone()).or_default() += 1.0;
            let name = if fair { workspace.as_str() } else { "" };
            let place = Some(line.push(name, 1));
            waiting.push(Request { workspace: workspace.clone(), came: *came, place });
        }
        waiting.retain(|request| {
            let in_time = now - request.came <= 90;
            if let Some(place) = request.place.filter(|_| !in_time) {
                line.remove(place);
            }
            in_time
        });
        while busy.len() < 6 {
            let turn = |one: &Request| line.wait_ms(one.place.unwrap(), Millis(now)) == Some(0);
            let Some(first) = waiting.iter().position(turn) else { break };
            let request = waiting.swap_remove(first);
            line.admit(request.place.unwrap());
            busy.push(now + 25);
            *served.entry(request.workspace).or_default() += 1.0;
        }
    }
    asked
        .iter()
        .map(|(name, asked)| (name.clone(), served.get(name).unwrap_or(&0.0) / asked))
        .collect()
}

/// Gives the requests of 88 workspaces that send `each` a second, the first one 20 times as many.
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

/// Pattern: three quarters of a service's endpoints are lost while one of 88 workspaces sends 20 times
/// as much as each other one; what is left carries the others, but not all.
#[test]
fn one_workspace_of_88_does_not_starve_the_others() {
    let requests = load(2.6);
    let alone: Vec<(u64, String)> = requests.iter().filter(|(_, w)| w != "w0").cloned().collect();
    let (alone, beside) = (play(&alone, true), play(&requests, true));
    for (workspace, share) in &alone {
        assert!(beside[workspace] >= 0.9 * share, "{workspace}: {} of {share}", beside[workspace]);
    }
    assert!(beside["w0"] > 0.1, "it gets what is left: {}", beside["w0"]);
    let unfair = play(&requests, false);
    let starved = alone.iter().filter(|(name, share)| unfair[*name] < 0.9 * **share).count();
    assert!(starved > 20, "without shares {starved} would be starved");
}
