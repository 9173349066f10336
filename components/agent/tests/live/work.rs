//! Attempts that succeed, wait, are resent, are cancelled, or reach a draining agent.

use chicoryford_agent::handle::GateMessage;
use chicoryford_settings::AgentSettings;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::token;
use chicoryford_standin::service::ServiceSettings;
use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Incarnation;
use chicoryford_types::LoadReport;
use chicoryford_types::Outcome;
use chicoryford_types::StopId;
use chicoryford_types::Unix;
use chicoryford_types::Work;
use chicoryford_types::config::Config;
use chicoryford_types::config::Stop;
use chicoryford_types::config::StopTarget;
use chicoryford_types::frame::Event;
use chicoryford_types::ids::Attempt;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::Generation;
use chicoryford_types::request::Task;
use chicoryford_wire::framing::Decoder;
use chicoryford_wire::paths;
use futures_util::StreamExt;

use crate::rig::Rig;
use crate::rig::generation;
use crate::rig::label_call;
use crate::rig::run_test;
use crate::rig::wait_until;

/// An engine whose completions take so long that a test can interrupt them.
fn slow_engine() -> EngineSettings {
    EngineSettings { length: 4_000, token_us: 1_000, chunk: 2, ..EngineSettings::default() }
}

fn text(events: &[Event]) -> String {
    let tokens = events.iter().filter_map(|event| match event {
        Event::Tokens(tokens) => Some(tokens.text.as_str()),
        _ => None,
    });
    tokens.collect()
}

#[test]
fn a_generation_ends_with_a_token_count_and_reports_its_versions() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), EngineSettings::default());
        let events = rig.run(&generation(1, "hello", 40)).await.unwrap();
        assert_eq!(events[0], Event::Accepted);
        let Some(Event::Finished(finish)) = events.last() else { panic!("{events:?}") };
        let expected: String = (0..finish.tokens).map(|i| token("model", 1, i)).collect();
        assert_eq!(text(&events), expected);
        assert!(finish.load.is_some());
        assert!(events.iter().all(|event| match event {
            Event::Tokens(tokens) => {
                tokens.version.is_some_and(|version| version.0 == 1)
                    && tokens.logprobs.len() == tokens.count as usize
            }
            _ => true,
        }));
        rig.stop().await;
    });
}

#[test]
fn a_continuation_matches_the_output_of_one_attempt() {
    run_test(async {
        let settings = EngineSettings { length: 400, ..EngineSettings::default() };
        let rig = Rig::engine(AgentSettings::default(), settings);
        let whole = text(&rig.run(&generation(1, "go on", 30)).await.unwrap());
        let words: Vec<&str> = whole.split_inclusive(' ').collect();
        let done = words.len() / 2;
        let task = Generation {
            prompt: "go on".to_owned(),
            prefix: words[..done].concat(),
            done: done as u32,
            max_tokens: 30,
            seed: 1,
            ..Generation::default()
        };
        let rest =
            Work { attempt: Attempt(2), task: Task::Generate(task), ..generation(1, "go on", 30) };
        let rest = text(&rig.run(&rest).await.unwrap());
        assert_eq!(words[..done].concat() + &rest, whole);
        rig.stop().await;
    });
}

/// Guards against two labels for one crate. The entry sends the call and loses the answer, and
/// another entry resends it as another request. The printer itself does not recognise a repeated
/// call.
#[test]
fn a_resend_gets_the_stored_answer_and_does_not_run() {
    run_test(async {
        let rig = Rig::service(ServiceSettings::default());
        let first = label_call(1, "crate-7", "label");
        let events = rig.run(&first).await.unwrap();
        let Event::Answer(answer) = &events[1] else { panic!("{events:?}") };
        let again = Work { request: label_call(2, "", "").request, ..first.clone() };
        let resent = rig.run(&again).await.unwrap();
        assert_eq!(resent[1], Event::Answer(answer.clone()));
        assert_eq!(rig.query(&first, false).await, AttemptState::Done(answer.clone()));
        assert_eq!(rig.count(|line| line["event"] == "run"), 1);

        let other = Work { fingerprint: label_call(3, "", "other").fingerprint, ..again };
        let refused = rig.run(&Work { request: label_call(3, "", "").request, ..other }).await;
        assert_eq!(refused.unwrap_err().code, Code::KeyReused);
        rig.stop().await;
    });
}

/// Guards against a label that is printed after the agent reported "not run" and the entry printed
/// it at another endpoint. The attempt is delayed on a silent connection, the entry queries its
/// state over a new connection and is answered that it never arrived, then the delayed attempt
/// arrives. The agent must record what it answered.
#[test]
fn an_attempt_reported_as_not_run_is_refused_when_it_arrives_late() {
    run_test(async {
        let rig = Rig::service(ServiceSettings::default());
        let late = label_call(1, "crate-8", "label");
        assert_eq!(rig.query(&late, true).await, AttemptState::Revoked);
        let refused = rig.run(&late).await.unwrap_err();
        assert_eq!(refused.outcome, Outcome::NotRun);
        assert_eq!(rig.count(|line| line["event"] == "run"), 0);
        rig.stop().await;
    });
}

/// Guards against the same failure after a restart of the agent in between. The agent that answered
/// the query restarts, and the delayed attempt reaches the new incarnation, which has no record of
/// the answer.
#[test]
fn a_call_for_an_earlier_incarnation_is_not_run_and_its_state_is_unknown() {
    run_test(async {
        let rig = Rig::service(ServiceSettings::default());
        let late = Work { incarnation: Incarnation(6), ..label_call(1, "crate-9", "label") };
        assert_eq!(rig.query(&late, false).await, AttemptState::Unknown);
        assert_eq!(rig.run(&late).await.unwrap_err().outcome, Outcome::NotRun);
        assert_eq!(rig.count(|line| line["event"] == "run"), 0);
        rig.stop().await;
    });
}

#[test]
fn a_call_whose_entry_disconnects_completes_and_is_stored_for_the_resend() {
    run_test(async {
        let rig = Rig::service(ServiceSettings { delay_ms: 100, ..ServiceSettings::default() });
        let first = label_call(1, "crate-10", "label");
        drop(rig.send(&first).await.unwrap());
        let mut running = rig.handle.gate_stats.clone();
        running.wait_for(|figures| figures.running == 0 && figures.stored > 0).await.unwrap();
        let again = Work { request: label_call(2, "", "").request, ..first };
        assert!(matches!(rig.run(&again).await.unwrap()[1], Event::Answer(_)));
        assert_eq!(rig.count(|line| line["event"] == "run"), 1);
        rig.stop().await;
    });
}

#[test]
fn a_generation_whose_entry_disconnects_is_stopped_at_the_engine() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), slow_engine());
        let mut stream = rig.send(&generation(1, "long", 100_000)).await.unwrap();
        stream.wait_for_tokens().await;
        drop(stream);
        wait_until(|| rig.count(|line| line["how"] == "stopped") == 1).await;
        rig.handle.wait_idle().await;
        let load = chicoryford_agent::engine::load(&rig.client, &rig.endpoint).await.unwrap();
        assert_eq!(load.running, 0);
        rig.stop().await;
    });
}

/// Guards against an agent that reports the result of an attempt as unknown, which counts as a
/// failure of its endpoint, although it recorded the end.
#[test]
fn an_attempt_that_ended_is_reported_as_ended() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), EngineSettings::default());
        let work = generation(1, "go on", 8);
        rig.run(&work).await.unwrap();
        assert_eq!(rig.query(&work, true).await, AttemptState::Ended);
        rig.stop().await;
    });
}

#[test]
fn a_cancelled_attempt_is_stopped_at_the_engine() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), slow_engine());
        let work = generation(1, "long", 100_000);
        let mut stream = rig.send(&work).await.unwrap();
        stream.wait_for_tokens().await;
        assert_eq!(rig.query(&work, true).await, AttemptState::Running);
        loop {
            match stream.next().await.unwrap() {
                Event::Failed(failure) => break assert_eq!(failure.outcome, Outcome::Unknown),
                Event::Finished(_) => panic!("a cancelled attempt did not finish"),
                _ => {}
            }
        }
        assert_eq!(rig.count(|line| line["how"] == "stopped"), 1);
        assert_eq!(rig.query(&work, true).await, AttemptState::Ended);
        rig.stop().await;
    });
}

#[test]
fn queued_work_starts_by_class_and_is_dropped_after_its_deadline() {
    run_test(async {
        let agent = AgentSettings { slots: 1, ..AgentSettings::default() };
        let rig = Rig::engine(agent, slow_engine());
        let first = generation(1, "long", 100_000);
        let mut running = rig.send(&first).await.unwrap();
        running.wait_for_tokens().await;
        let batch = Work { class: Class::Batch, ..generation(2, "b", 2) };
        let mut batch = rig.send(&batch).await.unwrap();
        let urgent = Work { class: Class::Urgent, ..generation(3, "u", 2) };
        let mut urgent = rig.send(&urgent).await.unwrap();
        let late = Work { budget_ms: 30, ..generation(4, "d", 2) };
        let late = rig.run(&late).await.unwrap();
        let Some(Event::Failed(failure)) = late.last() else { panic!("{late:?}") };
        assert_eq!((failure.code, failure.outcome), (Code::DeadlinePassed, Outcome::NotRun));
        rig.query(&first, true).await;
        urgent.wait_for_tokens().await;
        batch.wait_for_tokens().await;
        let starts = rig.records.kept();
        let starts = starts.iter().filter(|line| line["event"] == "start");
        let order: Vec<String> =
            starts.map(|line| line["request"].as_str().unwrap()[31..].to_owned()).collect();
        assert_eq!(order, ["1", "3", "2"]);
        rig.stop().await;
    });
}

#[test]
fn a_planned_stop_refuses_new_work_and_interrupts_none() {
    run_test(async {
        let settings = EngineSettings { length: 4_000, ..EngineSettings::default() };
        let rig = Rig::engine(AgentSettings::default(), settings);
        let mut stream = rig.send(&generation(1, "long", 60)).await.unwrap();
        stream.wait_for_tokens().await;
        let target = StopTarget::Endpoint("engine-1".into());
        let reason = "new disk".to_owned();
        let stop = Stop { target, deadline_ms: 60_000, reason, accepted: Unix(0) };
        let mut config = Config::default();
        config.stops.insert(StopId::from("stop-1"), stop);
        rig.config.send_replace(config.into());
        wait_until(|| rig.members.own().endpoint.is_some_and(|endpoint| endpoint.draining)).await;
        let refused = rig.run(&generation(2, "new", 10)).await.unwrap_err();
        assert_eq!((refused.code, refused.outcome), (Code::Draining, Outcome::NotRun));
        let mut last = None;
        while let Some(event) = stream.next().await {
            last = Some(event);
        }
        assert!(matches!(last, Some(Event::Finished(_))));

        rig.config.send_replace(Config::default().into());
        wait_until(|| !rig.handle.gate_stats.borrow().draining).await;
        rig.run(&generation(3, "again", 10)).await.unwrap();
        rig.stop().await;
    });
}

#[test]
fn reports_are_streamed_with_increasing_numbers() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), EngineSettings::default());
        let url = rig.client.url(&rig.address, paths::REPORTS);
        let mut reports = rig.client.post(&url).send().await.unwrap();
        let mut decoder = Decoder::default();
        let mut seen: Vec<LoadReport> = Vec::new();
        let mut number = 0;
        while seen.len() < 3 {
            number += 1;
            rig.run(&generation(number, &"x".repeat(600 + number as usize), 4)).await.unwrap();
            decoder.push(&reports.next().await.unwrap().unwrap());
            while let Some(report) = decoder.take().unwrap() {
                seen.push(report);
            }
        }
        assert!(seen.windows(2).all(|pair| pair[0].seq < pair[1].seq));
        rig.stop().await;
    });
}

#[test]
fn the_dump_shows_the_gate_and_the_fence() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), EngineSettings::default());
        rig.run(&generation(1, "hello", 4)).await.unwrap();
        rig.handle.gate.send(GateMessage::Drain(true)).await.unwrap_or_else(|_| panic!("gate"));
        wait_until(|| rig.handle.gate_stats.borrow().draining).await;
        let dump = rig.kernel.dumps.take().await;
        assert_eq!(dump["agent"]["endpoint"], "engine-1");
        assert_eq!(dump["agent"]["gate"]["promises"], 0);
        assert_eq!(dump["agent"]["gate"]["draining"], true);
        assert_eq!(dump["agent"]["fence"]["learnt"], false);
        rig.stop().await;
    });
}
