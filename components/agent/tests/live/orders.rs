//! Orders to an engine: fencing, failed swaps and the announced versions.

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
use crate::rig::run_test;
use crate::rig::wait_until;

/// An engine that ignores fencing numbers and swaps weights quickly.
fn engine_without_fencing() -> EngineSettings {
    EngineSettings { fencing: false, swap_ms: 20, ..EngineSettings::default() }
}

fn load(version: u64) -> OrderAction {
    let sources = vec![String::new()];
    OrderAction::Load { model: Model::from("model"), version: Version(version), sources }
}

fn announced(rig: &Rig) -> Option<Version> {
    rig.members.own().endpoint?.models.get(&Model::from("model")).copied()
}

/// Guards against an engine that returns to an old version. The leader of epoch 4 loads version 2,
/// then the leader of epoch 3, back from a silent partition, orders version 1. The engine ignores
/// fencing numbers, so only the agent can distinguish the two leaders.
#[test]
fn a_stale_leaders_order_does_not_reach_an_engine_that_ignores_fencing() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), engine_without_fencing());
        assert_eq!(rig.order(4, 1, load(2)).await, OrderReply::Done);
        wait_until(|| announced(&rig) == Some(Version(2))).await;
        assert_eq!(rig.order(3, 9, load(1)).await, OrderReply::Fenced(Epoch(4)));
        assert_eq!(rig.order(4, 1, load(2)).await, OrderReply::Done);
        assert_eq!(rig.count(|line| line["event"] == "swap"), 1);
        rig.stop().await;
    });
}

/// Guards against the same failure when the stale order is the first after a restart of the agent.
/// The agent starts, the control processes are at epoch 3, and the leader of epoch 2 sends an
/// order. The agent stores nothing on disk and no longer has the epoch.
#[test]
fn a_restarted_agent_refuses_a_stale_leader() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), engine_without_fencing());
        assert_eq!(rig.order(2, 1, load(5)).await, OrderReply::Fenced(Epoch(3)));
        assert_eq!(rig.order(3, 1, load(5)).await, OrderReply::Done);
        rig.stop().await;
    });
}

/// Guards against an engine that is downgraded, which makes samples stale. The engine runs version
/// 3, loaded manually or by a leader unknown to the current one, and an order names version 2. The
/// sender of the order did not know which version the engine runs.
#[test]
fn an_order_never_loads_a_lower_version_than_the_engine_runs() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), engine_without_fencing());
        rig.engine.as_ref().unwrap().state().models.insert("model".to_owned(), 3);
        assert!(matches!(rig.order(3, 1, load(2)).await, OrderReply::Failed(_)));
        assert_eq!(rig.order(3, 2, load(3)).await, OrderReply::Done);
        assert_eq!(rig.count(|line| line["event"] == "swap"), 0);
        rig.stop().await;
    });
}

/// Guards against samples labelled with a version that did not produce them. A swap can fail and
/// leave the old version, report success without effect, or report failure although the new version
/// runs. The engine's reply to the order must not be trusted.
#[test]
fn a_swap_is_judged_by_what_the_engine_runs() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), engine_without_fencing());
        let engine = rig.engine.clone().unwrap();
        engine.fail(Fault::SwapFail);
        assert!(matches!(rig.order(3, 1, load(2)).await, OrderReply::Failed(_)));
        engine.fail(Fault::SwapLost);
        assert!(matches!(rig.order(3, 2, load(2)).await, OrderReply::Failed(_)));
        wait_until(|| announced(&rig) == Some(Version(1))).await;
        engine.fail(Fault::SwapTorn);
        assert_eq!(rig.order(3, 3, load(2)).await, OrderReply::Done);
        wait_until(|| announced(&rig) == Some(Version(2))).await;
        rig.stop().await;
    });
}

#[test]
fn a_swap_during_a_stream_is_visible_in_its_frames() {
    run_test(async {
        let settings = EngineSettings { length: 4_000, ..engine_without_fencing() };
        let rig = Rig::engine(AgentSettings::default(), settings);
        let mut stream = rig.send(&generation(1, "long", 400)).await.unwrap();
        stream.wait_for_tokens().await;
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
fn drain_resume_and_role_orders_are_executed() {
    run_test(async {
        let rig = Rig::engine(AgentSettings::default(), engine_without_fencing());
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

/// Guards against engine time spent on samples that no trainer may receive. A sample requires
/// version 2 or newer, but the engine still runs version 1, or lost its weights in a restart. The
/// entry chose the endpoint by an outdated announcement.
#[test]
fn a_generation_below_its_floor_is_stopped_at_its_first_tokens() {
    run_test(async {
        let settings = EngineSettings { length: 4_000, ..engine_without_fencing() };
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
