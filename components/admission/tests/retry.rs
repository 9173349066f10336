//! Retries and second attempts.

use chicoryford_admission::Admission;
use chicoryford_admission::Capacity;
use chicoryford_admission::Retry;
use chicoryford_admission::Settings;
use chicoryford_admission::Straggler;
use chicoryford_admission::shares::even_share;
use chicoryford_admission::shares::split_by_demand;
use chicoryford_types::Millis;
use chicoryford_types::Outcome;
use chicoryford_types::Workspace;
use quickcheck::QuickCheck;

fn retry(workspace: &Workspace) -> Retry<'_> {
    Retry {
        workspace,
        attempts: 1,
        outcome: Outcome::Unknown,
        idempotent: true,
        deadline: Millis(10_000),
        expected_ms: 100,
    }
}

#[test]
fn can_retry_only_what_is_safe_and_in_time() {
    // Symptom: a label is printed twice.
    // Sequence: an attempt of a call that may not be repeated is lost, and is tried again.
    // Cause: its outcome is unknown; it may have run.
    let mut admission = Admission::new(Settings::default(), 1);
    let workspace = Workspace::from("labels");
    let once = Retry { idempotent: false, ..retry(&workspace) };
    assert_eq!(admission.may_retry(Millis(0), &once), None);
    let not_run = Retry { outcome: Outcome::NotRun, ..once };
    assert!(admission.may_retry(Millis(0), &not_run).is_some());
    assert_eq!(admission.may_retry(Millis(9_950), &retry(&workspace)), None);
    let third = Retry { attempts: 3, ..retry(&workspace) };
    assert_eq!(admission.may_retry(Millis(0), &third), None);
}

#[test]
fn can_stop_retrying_when_nothing_succeeds() {
    // Symptom: an overloaded deployment gets three times its load.
    // Sequence: all attempts fail, and all are tried again.
    // Cause: retries without a budget.
    let mut admission = Admission::new(Settings::default(), 1);
    let workspace = Workspace::from("desk");
    let allowed =
        (0..1_000).filter(|_| admission.may_retry(Millis(0), &retry(&workspace)).is_some()).count();
    assert_eq!(allowed, 10);
    assert_eq!(admission.counts().broken, 0);
}

#[test]
fn can_hedge_only_the_last_when_it_gains() {
    let mut admission = Admission::new(Settings::default(), 1);
    let straggler = Straggler {
        group_size: 16,
        unfinished: 1,
        elapsed_ms: 2_000,
        expected_ms: 1_000,
        second_ms: 1_000,
        remaining_ms: 5_000,
        capacity: Capacity { slots: 100, load: 50 },
    };
    assert!(!admission.may_hedge(&straggler), "nothing runs of which this is a share");
    let mut admission = busy(&mut admission);
    assert!(admission.may_hedge(&straggler));
    assert!(!admission.may_hedge(&Straggler { unfinished: 8, ..straggler }));
    assert!(!admission.may_hedge(&Straggler { elapsed_ms: 500, ..straggler }));
    assert!(!admission.may_hedge(&Straggler { remaining_ms: 1_000, ..straggler }));
    let full = Capacity { slots: 100, load: 95 };
    assert!(!admission.may_hedge(&Straggler { capacity: full, ..straggler }));
    admission.hedge_started();
    assert!(!admission.may_hedge(&straggler), "one of one running is the whole share");
    admission.hedge_ended();
    assert!(admission.may_hedge(&straggler));
}

/// Gives an admission in which one request runs.
fn busy(admission: &mut Admission) -> Admission {
    let ask = chicoryford_admission::AdmissionRequest {
        id: chicoryford_types::RequestId(0, 1),
        workspace: &Workspace::from("trainer"),
        model: &"style-llm".into(),
        class: chicoryford_types::Class::Batch,
        deadline: Millis(60_000),
        expected_ms: 1_000,
        capacity: Capacity { slots: 100, load: 0 },
    };
    admission.admit(Millis(0), &ask);
    admission.clone()
}

#[test]
fn can_share_a_limit_without_going_over_it() {
    fn holds(limit: u16, demands: Vec<u32>) -> bool {
        let limit = u32::from(limit);
        let asked: Vec<u64> = demands.iter().map(|d| u64::from(*d)).collect();
        let shares = split_by_demand(limit, &asked);
        let entries = demands.len() as u32;
        let evenly: u32 = (0..entries).map(|rank| even_share(limit, entries, rank)).sum();
        let whole = if entries == 0 { 0 } else { limit };
        shares.iter().sum::<u32>() == whole && evenly == whole
    }
    QuickCheck::new().tests(1_000).quickcheck(holds as fn(u16, Vec<u32>) -> bool);
}
