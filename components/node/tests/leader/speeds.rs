//! Engines of several speeds: the leader moves long runs, and the next leader knows the speeds.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_node::Settings;
use chicoryford_node::clock;
use chicoryford_node::frame::encode;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::message::Update;
use chicoryford_node::metrics;
use chicoryford_node::view::View;
use chicoryford_types::Millis;
use futures_util::SinkExt;

use crate::fleet::Fleet;
use crate::fleet::config_with_desk;
use crate::fleet::scoring_report;
use crate::fleet::step;
use crate::fleet::wait_until;
use crate::grants::connect_host;
use crate::grants::receive_job;
use crate::grants::send_heartbeat;
use crate::member::Member;
use crate::member::Socket;
use crate::member::StoredParts;
use crate::updates::announce;
use crate::updates::configure;
use crate::updates::engine;

/// The engines, of which the first is the fast one.
const ENGINES: [&str; 4] = ["e0", "e1", "e2", "e3"];
/// The samples of the step. Each engine gets one, and the first two get another one.
const SAMPLES: usize = 6;
/// The tokens that are expected of each sample, and its events.
const LENGTH: usize = 160;
/// Milliseconds between two reports of a run.
const REPORT_MS: u64 = 250;
/// Returns a fleet with four engines and a step with long samples, the store of the step, and a
/// host.
async fn fleet(engine_speeds: bool) -> (Fleet, Member, Socket) {
    let policy = Policy { engine_speeds, ..Policy::default() };
    let fleet = Fleet::start_with(|settings| Settings { policy, ..settings }).await;
    configure(&fleet, config_with_desk(2)).await;
    for id in ENGINES {
        announce(&fleet, engine(id, 1)).await;
    }
    let store = fleet.store(&StoredParts::default()).await;
    // Without a host, the leader itself would call the engines, which do not exist.
    let host = connect_host(&fleet, "h").await;
    let plain = step("a");
    let sample = |index: usize| Sample {
        id: format!("s{index}"),
        expected_tokens: LENGTH as u64,
        ..plain.samples[0].clone()
    };
    let samples = (0..SAMPLES).map(sample).collect();
    let submitted = Call::Submit(Arc::new(Step { samples, ..(*plain).clone() }));
    assert!(matches!(fleet.leader().answer(submitted).await, Answer::Done));
    (fleet, store, host)
}

/// Reports `events` further events of a run, after `from` earlier ones.
async fn report(host: &mut Socket, job: &Job, from: usize, events: usize) {
    let status = if from + events >= LENGTH { RunStatus::Scoring } else { RunStatus::Running };
    let gap_ms = if job.endpoint == ENGINES[0] { 26 } else { 57 };
    let sent = RunReport {
        run: job.run,
        index: job.index,
        endpoint: job.endpoint.clone(),
        status,
        from: from as u32,
        output: SampleOutput {
            events: vec!["x".to_owned(); events],
            last_id: Some((from + events).to_string()),
            versions: vec![1],
        },
        gap_ms: if from > 0 { gap_ms } else { 0 },
        ..scoring_report(&job.step)
    };
    host.send(encode(&MemberMessage::Report(sent))).await.unwrap();
    send_heartbeat(host).await;
}

/// Reports all runs `count` times. One sample on the fast engine is complete after one second.
async fn report_runs(host: &mut Socket, jobs: &[Job], count: usize) {
    let last = jobs.iter().rposition(|job| job.endpoint == ENGINES[0]).unwrap();
    for number in 0..count {
        for (position, job) in jobs.iter().enumerate() {
            let is_complete = position == last && number >= 4;
            match (is_complete, number) {
                (true, 4) => report(host, job, 16, LENGTH - 16).await,
                (true, _) => {}
                _ => report(host, job, 4 * number, 4).await,
            }
        }
        tokio::time::sleep(Duration::from_millis(REPORT_MS)).await;
    }
}

/// Guards against a step that ends late because its long runs stay on slow engines, and because the
/// next leader starts such runs there until it has measured all engines.
#[actix_rt::test]
async fn long_runs_move_to_the_fast_engine_and_the_next_leader_knows_it() {
    let (fleet, _store, mut host) = fleet(true).await;
    let mut jobs = Vec::new();
    for _ in 0..SAMPLES {
        jobs.push(receive_job(&mut host).await);
    }
    let others = jobs.iter().filter(|job| job.endpoint != ENGINES[0]).count();
    let moved = || metrics::MOVED_RUNS.with_label_values(&["faster"]).get();
    let before = moved();
    // Runs that are not reported for 1.4 s longer would be moved again.
    report_runs(&mut host, &jobs, 8).await;
    for _ in 0..others {
        let job = receive_job(&mut host).await;
        assert_eq!(job.endpoint, ENGINES[0]);
        assert!(job.output.events.len() >= 8, "it resumes after the last reported event");
    }
    assert_eq!(moved() - before, others as u64);
    let recorded = || {
        let state = fleet.replica.state();
        state.speeds.engines.keys().cloned().collect::<Vec<_>>()
    };
    wait_until("the speed is recorded", || recorded() == [ENGINES[0]]).await;
    let next = fleet.next_leader();
    assert_eq!(next.plan.borrow().fast_engine_count(), 1);
}

/// Guards against moves and writes that nobody has asked for.
#[actix_rt::test]
async fn without_the_setting_runs_stay_and_no_speed_is_recorded() {
    let (fleet, _store, mut host) = fleet(false).await;
    let mut jobs = Vec::new();
    for _ in 0..SAMPLES {
        jobs.push(receive_job(&mut host).await);
    }
    // This takes longer than the interval at which speeds are recorded.
    report_runs(&mut host, &jobs, 11).await;
    let leader = fleet.leader();
    for job in jobs.iter().filter(|job| job.endpoint != ENGINES[0]) {
        let current = leader.plan.borrow().host(&job.step, job.index).map(|(_, run)| run);
        assert_eq!(current, Some(job.run), "the same run goes on");
    }
    assert!(fleet.replica.state().speeds.engines.is_empty());
}

/// Returns whether the next leader would move the run of the first engine, which reports a pause,
/// after its process has received these updates.
async fn moves_paused_run(updates: Vec<Update>) -> bool {
    let (fleet, _store, _host) = fleet(true).await;
    let view = Rc::new(View::default());
    for id in ENGINES {
        let announcement = engine(id, 1);
        view.apply(Update::Endpoint(Endpoint { announcement, status: EndpointStatus::Ready }));
    }
    updates.into_iter().for_each(|update| view.apply(update));
    let leader = fleet.next_leader_from(fleet.settings.clone(), view);
    let (config, now) = (leader.config().unwrap(), clock::now());
    // Nothing else runs until the end, as the test awaits nothing.
    let mut plan = leader.plan.borrow_mut();
    let plain = step("b");
    let samples = vec![plain.samples[0].clone(); ENGINES.len()];
    let step = Arc::new(Step { samples, ..(*plain).clone() });
    plan.open_step(step, now, Millis::default(), |_| false);
    let runs = plan.assign(&config, now);
    assert_eq!(runs.len(), ENGINES.len());
    for run in &runs {
        plan.set_host("b", run.index, "h");
        let gap_ms = if run.endpoint == ENGINES[0] { 220 } else { 57 };
        let output = SampleOutput { events: vec!["x".to_owned(); 5], ..SampleOutput::default() };
        let sent = RunReport {
            run: run.run,
            index: run.index,
            endpoint: run.endpoint.clone(),
            status: RunStatus::Running,
            output,
            gap_ms,
            ..scoring_report("b")
        };
        plan.record_report("h", &sent, now);
    }
    plan.slow_runs(now).iter().any(|(step, _)| step == "b")
}

/// Guards against a new leader that takes an engine for slow although its process knows that the
/// previous leader has ordered the engine to load weights.
#[actix_rt::test]
async fn the_next_leader_knows_which_engines_load_weights() {
    let ordered = || Update::Ordered(ENGINES[0].to_owned());
    assert!(moves_paused_run(Vec::new()).await, "there was no order");
    assert!(!moves_paused_run(vec![ordered()]).await);
    let mut announcement = engine(ENGINES[0], 2);
    announcement.models.insert("m".to_owned(), 2);
    let loaded = Update::Endpoint(Endpoint { announcement, status: EndpointStatus::Ready });
    assert!(!moves_paused_run(vec![ordered(), loaded]).await, "the load has just ended");
}
