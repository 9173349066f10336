//! Engines that crash, connections that go silent, services that drop a call.

use chicoryford_settings::AgentSettings;
use chicoryford_standin::engine::CRASH_MARK;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Fault;
use chicoryford_standin::service::DROP_MARK;
use chicoryford_standin::service::ServiceSettings;
use chicoryford_state::Command;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Outcome;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;

use crate::rig::Rig;
use crate::rig::Stream;
use crate::rig::generation;
use crate::rig::label;
use crate::rig::until;
use crate::rig::within;

fn slow() -> EngineSettings {
    EngineSettings { length: 4_000, token_us: 1_000, chunk: 2, ..EngineSettings::default() }
}

async fn failure(stream: &mut Stream) -> Failure {
    loop {
        match stream.next().await {
            Some(Event::Failed(failure)) => return failure,
            Some(Event::Finished(_)) | None => panic!("the attempt did not fail"),
            Some(_) => {}
        }
    }
}

async fn blamed(rig: &Rig) -> Vec<Fingerprint> {
    until(|| !rig.control.commands.lock().unwrap().is_empty()).await;
    match &rig.control.commands.lock().unwrap()[0] {
        Command::Crashed { blamed, .. } => blamed.clone(),
        other => panic!("{other:?}"),
    }
}

/// Symptom: one request takes down engine after engine.
/// Sequence: its content makes each engine exit; its caller sends it again.
/// Cause: nobody connects the crashes. The agent names all contents that were in progress, and
/// the suspects alone once there are any.
#[test]
fn a_crash_is_blamed_on_what_was_in_progress() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), slow());
        until(|| rig.members.own().endpoint.is_some()).await;
        let innocent = generation(1, "innocent", 100_000);
        let mut stream = rig.send(&innocent).await.unwrap();
        stream.tokens().await;
        let guilty = generation(2, CRASH_MARK, 10);
        let events = rig.run(&guilty).await.unwrap();
        let Some(Event::Failed(failed)) = events.last() else { panic!("{events:?}") };
        assert_eq!(failed.outcome, Outcome::Unknown);
        assert_eq!(failure(&mut stream).await.outcome, Outcome::Unknown);
        let mut expected = vec![innocent.fingerprint, guilty.fingerprint];
        expected.sort();
        assert_eq!(blamed(&rig).await, expected);
        rig.stop().await;
    });
}

#[test]
fn a_crash_is_blamed_on_the_suspect_alone() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), slow());
        until(|| rig.members.own().endpoint.is_some()).await;
        let mut stream = rig.send(&generation(1, "innocent", 100_000)).await.unwrap();
        stream.tokens().await;
        let guilty = Work { suspect: true, ..generation(2, CRASH_MARK, 10) };
        rig.run(&guilty).await.unwrap();
        assert_eq!(blamed(&rig).await, [guilty.fingerprint]);
        rig.stop().await;
    });
}

/// Symptom: a stream stands still for good, while the engine serves others.
/// Sequence: something between agent and engine loses track of the connection.
/// Cause: neither end is told. The agent gives the attempt up after a time without tokens, stops
/// it over a new connection, and blames neither the engine nor the content.
#[test]
fn a_silent_connection_is_given_up_and_nobody_is_blamed() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), slow());
        until(|| rig.members.own().endpoint.is_some()).await;
        let mut stream = rig.send(&generation(1, "long", 100_000)).await.unwrap();
        stream.tokens().await;
        rig.engine.as_ref().unwrap().fail(Fault::Silent);
        assert_eq!(failure(&mut stream).await.code, Code::EndpointFailed);
        assert_eq!(rig.count(|line| line["how"] == "stopped"), 1);
        rig.run(&generation(2, "short", 4)).await.unwrap();
        assert!(rig.control.commands.lock().unwrap().is_empty());
        rig.stop().await;
    });
}

/// Symptom: a resend of a call that broke off prints a second label.
/// Sequence: the service prints, then its connection breaks before the answer.
/// Cause: "broken" was taken for "not run".
#[test]
fn a_call_that_broke_off_is_unknown_and_never_runs_again() {
    within(async {
        let rig = Rig::service(ServiceSettings::default());
        let first = label(1, "crate-1", DROP_MARK);
        let events = rig.run(&first).await.unwrap();
        let Some(Event::Failed(failed)) = events.last() else { panic!("{events:?}") };
        assert_eq!(failed.outcome, Outcome::Unknown);
        let again = Work { request: label(2, "", "").request, ..first };
        let refused = rig.run(&again).await.unwrap_err();
        assert_eq!((refused.code, refused.outcome), (Code::DuplicateUnknown, Outcome::Unknown));
        assert_eq!(rig.count(|line| line["event"] == "run"), 1);
        rig.stop().await;
    });
}

#[test]
fn an_unhealthy_endpoint_refuses_until_it_recovers() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), EngineSettings::default());
        let engine = rig.engine.clone().unwrap();
        engine.fail(Fault::Unhealthy { on: true });
        until(|| !*rig.handle.healthy.borrow()).await;
        until(|| rig.members.own().endpoint.is_some_and(|endpoint| !endpoint.healthy)).await;
        let refused = rig.run(&generation(1, "x", 4)).await.unwrap_err();
        assert_eq!((refused.code, refused.outcome), (Code::NoEndpoint, Outcome::NotRun));
        engine.fail(Fault::Unhealthy { on: false });
        until(|| rig.members.own().endpoint.is_some_and(|endpoint| endpoint.healthy)).await;
        rig.run(&generation(2, "x", 4)).await.unwrap();
        rig.stop().await;
    });
}
