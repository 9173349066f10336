//! Orders to a real engine: fencing, swaps that fail, what is announced.

use chicoryford_settings::AgentSettings;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Fault;
use chicoryford_types::Code;
use chicoryford_types::Epoch;
use chicoryford_types::Model;
use chicoryford_types::Version;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;

use crate::rig::Rig;
use crate::rig::generation;
use crate::rig::until;
use crate::rig::within;

/// An engine that ignores fencing numbers and swaps fast.
fn careless() -> EngineSettings {
    EngineSettings { fencing: false, swap_ms: 20, ..EngineSettings::default() }
}

fn load(version: u64) -> OrderAction {
    let sources = vec![String::new()];
    OrderAction::Load { model: Model::from("model"), version: Version(version), sources }
}

fn announced(rig: &Rig) -> Option<Version> {
    rig.members.own().endpoint?.models.get(&Model::from("model")).copied()
}

/// Symptom: an engine runs an old version again.
/// Sequence: the leader of epoch 4 loads version 2; the leader of epoch 3, back from a silent
/// partition, orders version 1; the engine ignores fencing numbers.
/// Cause: only the agent can tell the two leaders apart.
#[test]
fn a_stale_leaders_order_does_not_reach_an_engine_that_ignores_fencing() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), careless());
        assert_eq!(rig.order(4, 1, load(2)).await, OrderReply::Done);
        until(|| announced(&rig) == Some(Version(2))).await;
        assert_eq!(rig.order(3, 9, load(1)).await, OrderReply::Fenced(Epoch(4)));
        assert_eq!(rig.order(4, 1, load(2)).await, OrderReply::Done);
        assert_eq!(rig.count(|line| line["event"] == "swap"), 1);
        rig.stop().await;
    });
}

/// Symptom: as above, when the stale order is the first after a restart of the agent.
/// Sequence: the agent starts; the control processes stand at epoch 3; the leader of epoch 2
/// gives an order.
/// Cause: an agent without a disk forgets the epoch.
#[test]
fn a_fresh_agent_refuses_a_stale_leader() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), careless());
        assert_eq!(rig.order(2, 1, load(5)).await, OrderReply::Fenced(Epoch(3)));
        assert_eq!(rig.order(3, 1, load(5)).await, OrderReply::Done);
        rig.stop().await;
    });
}

/// Symptom: an engine runs older weights than before, and samples go stale.
/// Sequence: the engine runs version 3, loaded by hand or by a leader of whom this one knows
/// nothing; an order names version 2.
/// Cause: whoever gave the order did not know what the engine runs.
#[test]
fn an_order_never_loads_a_lower_version_than_the_engine_runs() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), careless());
        rig.engine.as_ref().unwrap().state().models.insert("model".to_owned(), 3);
        assert!(matches!(rig.order(3, 1, load(2)).await, OrderReply::Failed(_)));
        assert_eq!(rig.order(3, 2, load(3)).await, OrderReply::Done);
        assert_eq!(rig.count(|line| line["event"] == "swap"), 0);
        rig.stop().await;
    });
}

/// Symptom: samples are stamped with a version that did not produce them.
/// Sequence: a swap fails and leaves the old version, reports success and is lost, or reports
/// failure although the new version runs.
/// Cause: the engine's answer to the order was believed.
#[test]
fn a_swap_is_judged_by_what_the_engine_runs() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), careless());
        let engine = rig.engine.clone().unwrap();
        engine.fail(Fault::SwapFail);
        assert!(matches!(rig.order(3, 1, load(2)).await, OrderReply::Failed(_)));
        engine.fail(Fault::SwapLost);
        assert!(matches!(rig.order(3, 2, load(2)).await, OrderReply::Failed(_)));
        until(|| announced(&rig) == Some(Version(1))).await;
        engine.fail(Fault::SwapTorn);
        assert_eq!(rig.order(3, 3, load(2)).await, OrderReply::Done);
        until(|| announced(&rig) == Some(Version(2))).await;
        rig.stop().await;
    });
}

#[test]
fn a_swap_in_the_middle_of_a_stream_shows_in_its_frames() {
    within(async {
        let settings = EngineSettings { length: 4_000, ..careless() };
        let rig = Rig::engine(AgentSettings::default(), settings);
        let mut stream = rig.send(&generation(1, "long", 400)).await.unwrap();
        stream.tokens().await;
        assert_eq!(rig.order(3, 1, load(2)).await, OrderReply::Done);
        let mut versions = Vec::new();
        while let Some(event) = stream.next().await {
            if let Event::Tokens(tokens) = event {
                versions.extend(tokens.version);
            }
        }
        assert!(versions.is_sorted());
        assert_eq!(versions.last(), Some(&Version(2)));
        rig.stop().await;
    });
}

#[test]
fn drain_and_resume_are_orders_too() {
    within(async {
        let rig = Rig::engine(AgentSettings::default(), careless());
        assert_eq!(rig.order(3, 1, OrderAction::Drain).await, OrderReply::Done);
        assert!(rig.run(&generation(1, "x", 4)).await.is_err());
        assert_eq!(rig.order(3, 2, OrderAction::Resume).await, OrderReply::Done);
        rig.run(&generation(2, "x", 4)).await.unwrap();
        assert_eq!(
            rig.order(3, 3, OrderAction::Role("prefill".to_owned())).await,
            OrderReply::Done
        );
        assert_eq!(rig.engine.as_ref().unwrap().state().role, "prefill");
        rig.stop().await;
    });
}

/// Symptom: engine time goes into samples that no trainer may get.
/// Sequence: a sample must come from version 2 or newer; the engine still runs version 1, or lost
/// its weights in a restart.
/// Cause: the entry chose the endpoint by an older announcement.
#[test]
fn a_generation_below_its_floor_is_stopped_at_its_first_tokens() {
    within(async {
        let settings = EngineSettings { length: 4_000, ..careless() };
        let rig = Rig::engine(AgentSettings::default(), settings);
        let work = Work { floor: Some(Version(2)), ..generation(1, "long", 100_000) };
        let events = rig.run(&work).await.unwrap();
        let Some(Event::Failed(failure)) = events.last() else { panic!("{events:?}") };
        assert_eq!(failure.code, Code::Stale);
        assert!(!events.iter().any(|event| matches!(event, Event::Tokens(_))));
        assert_eq!(rig.count(|line| line["how"] == "stopped"), 1);
        rig.stop().await;
    });
}
