//! Tests of the loads of weights that a process observes before it leads.

mod support;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::observed_loads::ObservedLoad;
use chicoryford_fleet::observed_loads::ObservedLoads;
use chicoryford_types::Millis;

use support::announcement;

fn endpoint(version: u64, started_ms: u64, sequence: u64) -> Endpoint {
    let mut announcement = Announcement { started_ms, ..announcement("e", sequence) };
    announcement.models.insert("m".to_owned(), version);
    Endpoint { announcement, status: EndpointStatus::Ready }
}

/// Guards against a load that seems to go on after it has ended, or seems to have ended because the
/// engine repeated its announcement, and against one that outlives its engine.
#[test]
fn a_load_lasts_until_the_versions_change() {
    let mut loads = ObservedLoads::default();
    let last = |loads: &ObservedLoads| loads.all().next().map(|(_, load)| *load);
    let load = |ordered: u64, loaded: Option<u64>| {
        Some(ObservedLoad { ordered_at: Millis(ordered), loaded_at: loaded.map(Millis) })
    };
    loads.record_endpoint(&endpoint(1, 0, 1), &endpoint(2, 0, 2), Millis(5));
    assert_eq!(last(&loads), None, "there was no order");
    loads.record_order("e", Millis(10));
    loads.record_endpoint(&endpoint(2, 0, 2), &endpoint(2, 0, 3), Millis(20));
    assert_eq!(last(&loads), load(10, None));
    loads.record_endpoint(&endpoint(2, 0, 3), &endpoint(3, 0, 4), Millis(30));
    assert_eq!(last(&loads), load(10, Some(30)));
    loads.record_order("e", Millis(40));
    assert_eq!(last(&loads), load(40, None));
    loads.record_endpoint(&endpoint(3, 0, 4), &endpoint(3, 7, 1), Millis(50));
    assert_eq!(last(&loads), None, "it has restarted");
    loads.record_order("e", Millis(60));
    loads.remove("e");
    assert_eq!(last(&loads), None);
}
