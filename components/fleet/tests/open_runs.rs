//! Tests of what is known about runs that were taken away from their hosts.

use chicoryford_fleet::Grant;
use chicoryford_fleet::open_runs::MAX_UNREPORTED_CALLS;
use chicoryford_fleet::open_runs::OpenRuns;
use chicoryford_fleet::run::CallCost;
use chicoryford_fleet::run::Cost;
use quickcheck::quickcheck;

fn runs(limits: &[(u8, u8)]) -> OpenRuns {
    let mut runs = OpenRuns::default();
    for (run, calls) in limits {
        runs.limit(u64::from(run % 4) + 1, u32::from(calls % 3));
    }
    runs
}

fn merged(one: &OpenRuns, other: &OpenRuns) -> OpenRuns {
    let mut both = one.clone();
    both.merge(other);
    both
}

quickcheck! {
    /// Guards against a number of calls that grows with each process that knows of them, or that comes
    /// back after the host has reported for the last time.
    fn merging_counts_each_run_once(one: Vec<(u8, u8)>, other: Vec<(u8, u8)>) -> bool {
        let (one, other) = (runs(&one), runs(&other));
        let both = merged(&one, &other);
        both == merged(&other, &one)
            && both == merged(&both, &one)
            && both.open().all(|run| one.contains(run) || other.contains(run))
            && both.calls_except(0) <= one.calls_except(0) + other.calls_except(0)
    }

    fn runs_are_read_as_they_were_written(limits: Vec<(u8, u8)>) -> bool {
        let cost = Cost { open_runs: runs(&limits), ..Cost::default() };
        rmp_serde::from_slice::<Cost>(&rmp_serde::to_vec(&cost).unwrap()).unwrap() == cost
    }
}

/// Guards against a log of an earlier version, which counted the hosts that were lost, that cannot be
/// read or whose lost hosts are forgotten.
#[test]
fn a_number_of_lost_hosts_is_read() {
    for hosts in [0, 1, 2] {
        let earlier = (0_u32, false, 0_u32, 0_u32, CallCost::default(), Grant::default(), hosts);
        let cost: Cost = rmp_serde::from_slice(&rmp_serde::to_vec(&earlier).unwrap()).unwrap();
        assert_eq!(cost.open_runs.calls_except(1), (hosts * MAX_UNREPORTED_CALLS) as usize);
    }
}
