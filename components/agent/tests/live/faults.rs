//! Engines that crash, connections that stop responding, and services that drop a call.

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
use chicoryford_types::request::CrashDecision;

use crate::rig::Rig;
use crate::rig::Stream;
use crate::rig::generation;
use crate::rig::label_call;
use crate::rig::run_test;
use crate::rig::wait_until;

fn slow_engine() -> EngineSettings {
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
    wait_until(|| !rig.control.commands.lock().unwrap().is_empty()).await;
    match &rig.control.commands.lock().unwrap()[0] {
        Command::Crashed { blamed, .. } => blamed.clone(),
        other => panic!("{other:?}"),
    }
}

/// Guards against one request that crashes engine after engine. Its content makes each engine exit,
/// and its caller sends it again. To relate the crashes, the agent reports all content that was in
/// progress, or only the suspects if there are any.
#[test]
fn a_crash_report_names_all_content_in_progress() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), slow_engine());
        wait_until(|| rig.members.own().endpoint.is_some()).await;
        let innocent = generation(1, "innocent", 100_000);
        let mut stream = rig.send(&innocent).await.unwrap();
        stream.wait_for_tokens().await;
        let crashing = generation(2, CRASH_MARK, 10);
        let events = rig.run(&crashing).await.unwrap();
        let Some(Event::Failed(failed)) = events.last() else { panic!("{events:?}") };
        assert_eq!(failed.outcome, Outcome::Unknown);
        assert_eq!(failure(&mut stream).await.outcome, Outcome::Unknown);
        let mut expected = vec![innocent.fingerprint, crashing.fingerprint];
        expected.sort();
        assert_eq!(blamed(&rig).await, expected);
        rig.stop().await;
    });
}

#[test]
fn a_crash_report_names_only_the_suspect() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), slow_engine());
        wait_until(|| rig.members.own().endpoint.is_some()).await;
        let mut stream = rig.send(&generation(1, "innocent", 100_000)).await.unwrap();
        stream.wait_for_tokens().await;
        let crashing = Work { suspect: true, ..generation(2, CRASH_MARK, 10) };
        rig.run(&crashing).await.unwrap();
        assert_eq!(blamed(&rig).await, [crashing.fingerprint]);
        rig.stop().await;
    });
}

/// Guards against an entry that retries a request while its agent still reports its crash. The query
/// is held until the report is committed, and names no attempt that ended otherwise.
#[test]
fn a_query_about_a_crash_is_answered_once_the_report_is_committed() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), slow_engine());
        wait_until(|| rig.members.own().endpoint.is_some()).await;
        let harmless = generation(1, "harmless", 4);
        rig.run(&harmless).await.unwrap();
        let crashing = generation(2, CRASH_MARK, 10);
        rig.run(&crashing).await.unwrap();
        let decision = rig.query_crash(&crashing).await;
        assert!(matches!(decision, CrashDecision::Committed(_)), "{decision:?}");
        assert_eq!(blamed(&rig).await, [crashing.fingerprint]);
        assert_eq!(rig.query_crash(&harmless).await, CrashDecision::NotBlamed);
        rig.stop().await;
    });
}

/// Guards against a stream that hangs forever while the engine serves others. A device between
/// agent and engine drops the connection's state without notice to either end. The agent gives up
/// the attempt after a time without tokens, stops it over a new connection, and reports neither a
/// crash nor a suspect.
#[test]
fn a_silent_connection_is_given_up_without_a_crash_report() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), slow_engine());
        wait_until(|| rig.members.own().endpoint.is_some()).await;
        let mut stream = rig.send(&generation(1, "long", 100_000)).await.unwrap();
        stream.wait_for_tokens().await;
        rig.engine.as_ref().unwrap().fail(Fault::Silent);
        assert_eq!(failure(&mut stream).await.code, Code::EndpointFailed);
        assert_eq!(rig.count(|line| line["how"] == "stopped"), 1);
        rig.run(&generation(2, "short", 4)).await.unwrap();
        assert!(rig.control.commands.lock().unwrap().is_empty());
        rig.stop().await;
    });
}

/// Guards against a resend that prints a second label. The service prints the label, then its
/// connection breaks before the answer. A broken connection must not be treated as "not run".
#[test]
fn a_call_whose_connection_broke_is_unknown_and_never_runs_again() {
    run_test(async {
        let rig = Rig::service(ServiceSettings::default());
        let first = label_call(1, "crate-1", DROP_MARK);
        let events = rig.run(&first).await.unwrap();
        let Some(Event::Failed(failed)) = events.last() else { panic!("{events:?}") };
        assert_eq!(failed.outcome, Outcome::Unknown);
        let again = Work { request: label_call(2, "", "").request, ..first };
        let refused = rig.run(&again).await.unwrap_err();
        assert_eq!((refused.code, refused.outcome), (Code::DuplicateUnknown, Outcome::Unknown));
        assert_eq!(rig.count(|line| line["event"] == "run"), 1);
        rig.stop().await;
    });
}

#[test]
fn an_unhealthy_endpoint_refuses_until_it_recovers() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), EngineSettings::default());
        let engine = rig.engine.clone().unwrap();
        engine.fail(Fault::Unhealthy { on: true });
        wait_until(|| !*rig.handle.healthy.borrow()).await;
        wait_until(|| rig.members.own().endpoint.is_some_and(|endpoint| !endpoint.healthy)).await;
        let refused = rig.run(&generation(1, "x", 4)).await.unwrap_err();
        assert_eq!((refused.code, refused.outcome), (Code::NoEndpoint, Outcome::NotRun));
        engine.fail(Fault::Unhealthy { on: false });
        wait_until(|| rig.members.own().endpoint.is_some_and(|endpoint| endpoint.healthy)).await;
        rig.run(&generation(2, "x", 4)).await.unwrap();
        rig.stop().await;
    });
}
