//! The decisions at the door, over the public interface.

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

fn ask(admission: &mut Admission, now: u64, id: u64, class: Class, load: u32) -> Decision {
    let ask = AdmissionRequest {
        id: RequestId(0, id),
        workspace: &Workspace::from("desk"),
        model: &Model::from("desk-app"),
        class,
        deadline: Millis(now + 1_000),
        expected_ms: 200,
        capacity: Capacity { slots: 10, load },
    };
    admission.admit(Millis(now), &ask)
}

#[test]
fn can_keep_room_for_urgent_callers() {
    let mut admission = Admission::new(Settings::default(), 1);
    assert_eq!(ask(&mut admission, 0, 1, Class::Batch, 9), Decision::Wait);
    assert_eq!(ask(&mut admission, 0, 2, Class::Urgent, 9), Decision::Admit);
    assert_eq!(admission.counts().broken, 0);
}

#[test]
fn can_refuse_at_once_what_lost_its_chance_while_it_waited() {
    // Symptom: a caller learns only at its deadline that its request never started.
    // Sequence: a request waits for room, and none comes.
    // Cause: it would be held although it can no longer be answered in time.
    let mut admission = Admission::new(Settings::default(), 1);
    assert_eq!(ask(&mut admission, 0, 1, Class::Normal, 10), Decision::Wait);
    let wake = admission.wake().unwrap();
    assert!(wake < Millis(1_000));
    let actions = admission.poll(wake, |_| Capacity { slots: 10, load: 10 });
    let Action::Refuse(id, refused) = actions[0] else { panic!("it was not refused") };
    assert_eq!((id, refused.code), (RequestId(0, 1), Code::DeadlineTooClose));
    assert!(admission.poll(wake, |_| Capacity { slots: 10, load: 0 }).is_empty());
}

#[test]
fn can_hold_a_workspace_to_its_share() {
    let mut admission = Admission::new(Settings::default(), 1);
    let lease = Lease { rate: 100.0, running: 2 };
    let desk = Workspace::from("desk");
    admission.observe_workspace(&desk, Limits::default(), Retries::default(), 1, lease);
    assert_eq!(ask(&mut admission, 1_000, 1, Class::Urgent, 0), Decision::Admit);
    assert_eq!(ask(&mut admission, 1_000, 2, Class::Urgent, 0), Decision::Admit);
    let Decision::Refuse(refused) = ask(&mut admission, 1_000, 3, Class::Urgent, 0) else {
        panic!("it was not refused")
    };
    assert_eq!(refused.code, Code::LimitReached);
    admission.finished(Millis(1_100), RequestId(0, 1), Completion { ok: true, ms: 100 });
    assert_eq!(ask(&mut admission, 1_200, 4, Class::Urgent, 0), Decision::Admit);
    assert_eq!(admission.take_demand(&desk), 4);
}
