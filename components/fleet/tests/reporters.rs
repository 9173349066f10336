//! The silence of endpoints while control processes do not report.

use std::collections::BTreeMap;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Registry;
use chicoryford_fleet::endpoint::Settings;
use chicoryford_fleet::heartbeats::Heartbeat;
use chicoryford_types::Millis;

/// Interval of reports and of the endpoints' announcements, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
const SILENT_MS: u64 = 6_000;
/// Time after which a control process no longer counts as reporting.
const REPORT_TTL_MS: u64 = 2_500;
const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];

/// A leader that has just begun, with an endpoint at each of the control processes.
struct Leader {
    registry: Registry,
    now: Millis,
    sequence: u64,
    silent: Vec<String>,
}

impl Leader {
    fn new() -> Self {
        let known = CONTROLS.iter().map(|node| Endpoint {
            announcement: Announcement {
                id: format!("e-{node}"),
                started_ms: 0,
                service: "desk".to_owned(),
                address: "127.0.0.1:9".parse().unwrap(),
                data_centre: "here".to_owned(),
                slots: 6,
                draining: false,
                models: BTreeMap::new(),
                sequence: 0,
            },
            status: EndpointStatus::Ready,
        });
        let settings = Settings { silent_ms: SILENT_MS, ..Settings::default() };
        let mut registry = Registry::from_known(settings, known, Millis(INTERVAL_MS));
        registry.reporters().set_quorum(CONTROLS.len() / 2 + 1);
        Self { registry, now: Millis(INTERVAL_MS), sequence: 0, silent: Vec::new() }
    }

    /// Lets time pass, while these control processes report, each its endpoint if that is alive.
    fn run(&mut self, ms: u64, reporting: &[&str], is_alive: impl Fn(&str) -> bool) {
        let until = self.now + ms;
        while self.now < until {
            self.now = self.now + INTERVAL_MS;
            self.sequence += 1;
            for node in reporting {
                let heartbeat = Heartbeat {
                    id: format!("e-{node}"),
                    started_ms: 0,
                    sequence: self.sequence,
                    age_ms: 0,
                };
                let heartbeats: Vec<Heartbeat> =
                    Some(heartbeat).into_iter().filter(|_| is_alive(node)).collect();
                self.registry.record_report(node, &heartbeats, self.now);
            }
            let (silent, _) = self.registry.tick(self.now);
            self.silent.extend(silent.into_iter().map(|endpoint| endpoint.announcement.id));
        }
    }
}

/// No report arrives, because control processes cannot follow an overloaded leader. Guards against
/// taking the whole fleet for lost, which the leader tells all followers, and thus stays overloaded.
#[test]
fn nobody_is_silent_while_no_control_process_reports() {
    let mut leader = Leader::new();
    leader.run(10 * SILENT_MS, &[], |_| true);
    assert_eq!(leader.silent, Vec::<String>::new());
    leader.run(10 * SILENT_MS, &CONTROLS, |_| true);
    assert_eq!(leader.silent, Vec::<String>::new());
    assert_eq!(leader.registry.all().count(), CONTROLS.len());
}

/// Guards against taking the endpoints of a control process for lost that has lost the leader, or
/// has just found it again. Such endpoints are heard of when they turn to another process.
#[test]
fn the_endpoints_of_a_control_process_get_time_when_it_stops_or_starts_to_report() {
    let mut leader = Leader::new();
    leader.run(SILENT_MS, &CONTROLS, |_| true);
    leader.run(SILENT_MS, &CONTROLS[1..], |_| true);
    assert_eq!(leader.silent, Vec::<String>::new(), "it may have stopped just now");
    leader.run(SILENT_MS - 2 * INTERVAL_MS, &CONTROLS, |node| node != CONTROLS[0]);
    assert_eq!(leader.silent, Vec::<String>::new(), "it reports again");
}

#[test]
fn an_endpoint_is_silent_that_its_control_process_does_not_report() {
    let mut leader = Leader::new();
    leader.run(SILENT_MS, &CONTROLS, |_| true);
    leader.run(SILENT_MS, &CONTROLS, |node| node != CONTROLS[0]);
    assert_eq!(leader.silent, ["e-c1"]);
}

/// Guards against keeping the endpoints of a lost VM with a control process for ever.
#[test]
fn an_endpoint_is_silent_that_is_lost_with_its_control_process() {
    let mut leader = Leader::new();
    leader.run(SILENT_MS, &CONTROLS, |_| true);
    leader.run(REPORT_TTL_MS + SILENT_MS + INTERVAL_MS, &CONTROLS[1..], |_| true);
    assert_eq!(leader.silent, ["e-c1"]);
}

/// Guards against a leader that never considers anybody lost once a few control processes are.
#[test]
fn most_of_the_control_processes_suffice() {
    let mut leader = Leader::new();
    leader.run(2 * SILENT_MS, &CONTROLS[..2], |node| node != CONTROLS[0]);
    assert!(leader.silent.contains(&"e-c1".to_owned()), "{:?}", leader.silent);
}
