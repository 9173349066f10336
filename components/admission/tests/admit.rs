//! Admission decisions, through the public interface.

use chicoryford_admission::Action;
use chicoryford_admission::Admission;
use chicoryford_admission::AdmissionRequest;
use chicoryford_admission::Capacity;
use chicoryford_admission::Completion;
use chicoryford_admission::Decision;
use chicoryford_admission::Lease;
use chicoryford_admission::Settings;
use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;
use chicoryford_types::template::Limits;
use chicoryford_types::template::Retries;

fn admit(admission: &mut Admission, now: u64, id: u64, class: Class, load: u32) -> Decision {
    let request = AdmissionRequest {
        id: RequestId(0, id),
        workspace: &Workspace::from("desk"),
        model: &Model::from("desk-app"),
        class,
        deadline: Millis(now + 1_000),
        expected_ms: 200,
        capacity: Capacity { slots: 10, load },
    };
    admission.admit(Millis(now), &request)
}

#[test]
fn can_reserve_capacity_for_urgent_requests() {
    let mut admission = Admission::new(Settings::default(), 1);
    assert_eq!(admit(&mut admission, 0, 1, Class::Batch, 9), Decision::Wait);
    assert_eq!(admit(&mut admission, 0, 2, Class::Urgent, 9), Decision::Admit);
    assert_eq!(admission.counts().broken, 0);
}

#[test]
fn can_refuse_a_queued_request_that_cannot_meet_its_deadline() {
    // Guards against a refusal that is sent only at the request's deadline: a queued request must
    // be refused as soon as it can no longer finish in time.
    let mut admission = Admission::new(Settings::default(), 1);
    assert_eq!(admit(&mut admission, 0, 1, Class::Normal, 10), Decision::Wait);
    let wake = admission.wake().unwrap();
    assert!(wake < Millis(1_000));
    let actions = admission.poll(wake, |_| Capacity { slots: 10, load: 10 });
    let Action::Refuse(id, refusal) = actions[0] else { panic!("the request was not refused") };
    assert_eq!((id, refusal.code), (RequestId(0, 1), Code::DeadlineTooClose));
    assert!(admission.poll(wake, |_| Capacity { slots: 10, load: 0 }).is_empty());
}

#[test]
fn can_limit_a_workspace_to_its_lease() {
    let mut admission = Admission::new(Settings::default(), 1);
    let lease = Lease { rate: 100.0, running: 2 };
    let desk = Workspace::from("desk");
    admission.observe_workspace(&desk, Limits::default(), Retries::default(), 1, lease);
    assert_eq!(admit(&mut admission, 1_000, 1, Class::Urgent, 0), Decision::Admit);
    assert_eq!(admit(&mut admission, 1_000, 2, Class::Urgent, 0), Decision::Admit);
    let Decision::Refuse(refusal) = admit(&mut admission, 1_000, 3, Class::Urgent, 0) else {
        panic!("the request was not refused")
    };
    assert_eq!(refusal.code, Code::LimitReached);
    admission.finished(Millis(1_100), RequestId(0, 1), Completion { ok: true, ms: 100 });
    assert_eq!(admit(&mut admission, 1_200, 4, Class::Urgent, 0), Decision::Admit);
    assert_eq!(admission.take_demand(&desk), 4);
}
