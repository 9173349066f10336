//! Retries, hedges, and the division of limits among entries.

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
fn can_retry_only_idempotent_calls_before_the_deadline() {
    // Guards against a side effect that happens twice, such as a label printed again: if an attempt
    // is lost, its outcome is unknown and it may have run, so only an idempotent call may be
    // retried.
    let mut admission = Admission::new(Settings::default(), 1);
    let workspace = Workspace::from("labels");
    let not_idempotent = Retry { idempotent: false, ..retry(&workspace) };
    assert_eq!(admission.may_retry(Millis(0), &not_idempotent), None);
    let not_run = Retry { outcome: Outcome::NotRun, ..not_idempotent };
    assert!(admission.may_retry(Millis(0), &not_run).is_some());
    assert_eq!(admission.may_retry(Millis(9_950), &retry(&workspace)), None);
    let third = Retry { attempts: 3, ..retry(&workspace) };
    assert_eq!(admission.may_retry(Millis(0), &third), None);
}

#[test]
fn can_stop_retrying_when_every_attempt_fails() {
    // Guards against retries that triple the load of an overloaded deployment in which every
    // attempt fails.
    let mut admission = Admission::new(Settings::default(), 1);
    let workspace = Workspace::from("desk");
    let allowed =
        (0..1_000).filter(|_| admission.may_retry(Millis(0), &retry(&workspace)).is_some()).count();
    assert_eq!(allowed, 10);
    assert_eq!(admission.counts().broken, 0);
}

#[test]
fn can_hedge_only_slow_samples_at_the_end_of_a_group() {
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
    assert!(!admission.may_hedge(&straggler), "the hedge share of no running requests is zero");
    let mut admission = with_one_running(&mut admission);
    assert!(admission.may_hedge(&straggler));
    assert!(!admission.may_hedge(&Straggler { unfinished: 8, ..straggler }));
    assert!(!admission.may_hedge(&Straggler { elapsed_ms: 500, ..straggler }));
    assert!(!admission.may_hedge(&Straggler { remaining_ms: 1_000, ..straggler }));
    let full = Capacity { slots: 100, load: 95 };
    assert!(!admission.may_hedge(&Straggler { capacity: full, ..straggler }));
    admission.hedge_started();
    assert!(
        !admission.may_hedge(&straggler),
        "one hedge is the whole share of one running request"
    );
    admission.hedge_ended();
    assert!(admission.may_hedge(&straggler));
}

/// Returns an admission with one running request.
fn with_one_running(admission: &mut Admission) -> Admission {
    let request = chicoryford_admission::AdmissionRequest {
        id: chicoryford_types::RequestId(0, 1),
        workspace: &Workspace::from("trainer"),
        model: &"style-llm".into(),
        class: chicoryford_types::Class::Batch,
        deadline: Millis(60_000),
        expected_ms: 1_000,
        capacity: Capacity { slots: 100, load: 0 },
    };
    admission.admit(Millis(0), &request);
    admission.clone()
}

#[test]
fn can_divide_a_limit_completely() {
    fn is_divided(limit: u16, demands: Vec<u32>) -> bool {
        let limit = u32::from(limit);
        let wide: Vec<u64> = demands.iter().map(|d| u64::from(*d)).collect();
        let shares = split_by_demand(limit, &wide);
        let entries = demands.len() as u32;
        let even_sum: u32 = (0..entries).map(|rank| even_share(limit, entries, rank)).sum();
        let expected = if entries == 0 { 0 } else { limit };
        shares.iter().sum::<u32>() == expected && even_sum == expected
    }
    QuickCheck::new().tests(1_000).quickcheck(is_divided as fn(u16, Vec<u32>) -> bool);
}
