//! Measures the cost of the agent: a decision of the gate as its history grows, and a short
//! generation through the agent compared with the same one sent directly to the engine.
//!
//! Run with `cargo bench -p chicoryford-agent`; docs/AGENT.md lists the results.

#[allow(dead_code)]
#[path = "../tests/live/rig.rs"]
mod rig;

use std::future::Future;
use std::hint::black_box;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use chicoryford_agent::gate::Arrival;
use chicoryford_agent::gate::AttemptEnd;
use chicoryford_agent::gate::Gate;
use chicoryford_agent::gate::GateSettings;
use chicoryford_agent::gate::Id;
use chicoryford_settings::AgentSettings;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_types::Attempt;
use chicoryford_types::Millis;
use chicoryford_types::RequestId;
use chicoryford_types::Unix;
use chicoryford_types::frame::Event;
use rig::Rig;
use serde_json::json;

const DECISIONS: u64 = 100_000;
const LATENCY_PAIRS: u64 = 2_000;
const FLOOD_REQUESTS: u64 = 20_000;
const CONCURRENCY: u64 = 64;
const TOKENS: u32 = 8;

fn main() {
    for remembered in [100, 10_000, 1_000_000] {
        decisions(remembered);
    }
    actix_rt::System::new().block_on(async {
        let agent = AgentSettings { slots: CONCURRENCY as u32, ..AgentSettings::default() };
        let engine = EngineSettings {
            slots: 2 * CONCURRENCY as usize,
            token_us: 0,
            batch_us: 0,
            prefill_us: 0,
            chunk: TOKENS,
            length: 10_000,
            ..EngineSettings::default()
        };
        let rig = Rc::new(Rig::engine(agent, engine));
        latency(&rig).await;
        throughput(&rig).await;
    });
}

fn decisions(remembered: u64) {
    let bound = (remembered + DECISIONS + 1) as usize;
    let mut gate = Gate::new(GateSettings { max_records: bound, ..GateSettings::default() });
    let pass = |gate: &mut Gate, number: u64| {
        let id = Id { request: RequestId(1, number), attempt: Attempt(1) };
        let arrival = Arrival { id, budget_ms: 1_000, ..Arrival::default() };
        black_box(gate.arrive(arrival, Millis(number / 100), Unix(0)));
        gate.record_end(id, AttemptEnd::Finished, Millis(number / 100));
    };
    for number in 0..remembered {
        pass(&mut gate, number);
    }
    let started = Instant::now();
    for number in remembered..remembered + DECISIONS {
        pass(&mut gate, number);
    }
    let each = started.elapsed().as_nanos() as u64 / DECISIONS;
    println!("gate remembered={remembered} arrive_and_end_ns={each}");
}

async fn through(rig: &Rig, number: u64) {
    let events = rig.run(&rig::generation(number, "short", TOKENS)).await;
    let events = events.expect("nothing refuses work here");
    assert!(matches!(events.last(), Some(Event::Finished(_))));
}

async fn direct(rig: &Rig, address: &str, number: u64) {
    let body = json!({
        "model": "model", "prompt": "short", "max_tokens": TOKENS, "seed": number,
        "logprobs": true, "request": format!("direct-{number}"), "attempt": 1,
    });
    let url = rig.client.url(address, "/v1/completions");
    let mut answer = rig.client.post(&url).send_json(&body).await.expect("the engine answers");
    let body = answer.body().await.expect("the engine answers in full");
    assert!(body.windows(13).any(|part| part == b"finish_reason"));
}

async fn latency(rig: &Rc<Rig>) {
    let address = rig.endpoint.clone();
    let (mut direct_us, mut through_us) = (Vec::new(), Vec::new());
    for number in 0..LATENCY_PAIRS {
        direct_us.push(timed(direct(rig, &address, number)).await);
        through_us.push(timed(through(rig, number)).await);
    }
    let (direct_us, through_us) = (percentiles(direct_us), percentiles(through_us));
    println!("latency_us direct p50={} p99={}", direct_us.0, direct_us.1);
    println!("latency_us agent p50={} p99={}", through_us.0, through_us.1);
    println!("latency_us added p50={}", through_us.0.saturating_sub(direct_us.0));
}

async fn timed(work: impl Future<Output = ()>) -> u64 {
    let started = Instant::now();
    work.await;
    started.elapsed().as_micros() as u64
}

fn percentiles(mut values: Vec<u64>) -> (u64, u64) {
    values.sort_unstable();
    (values[values.len() / 2], values[values.len() * 99 / 100])
}

async fn throughput(rig: &Rc<Rig>) {
    let address = rig.endpoint.clone();
    let started = Instant::now();
    flood(rig, move |rig, number| {
        let address = address.clone();
        async move { direct(&rig, &address, number).await }
    })
    .await;
    let direct = rate(started.elapsed());
    let started = Instant::now();
    flood(rig, |rig, number| async move { through(&rig, LATENCY_PAIRS + number).await }).await;
    let agent = rate(started.elapsed());
    println!("requests_a_second direct={direct} agent={agent} at_once={CONCURRENCY}");
}

fn rate(time: Duration) -> u64 {
    (FLOOD_REQUESTS as f64 / time.as_secs_f64()) as u64
}

async fn flood<F, Fut>(rig: &Rc<Rig>, run: F)
where
    F: Fn(Rc<Rig>, u64) -> Fut + Clone + 'static,
    Fut: Future<Output = ()>,
{
    let workers = (0..CONCURRENCY).map(|worker| {
        let (rig, run) = (rig.clone(), run.clone());
        actix_rt::spawn(async move {
            for number in (worker..FLOOD_REQUESTS).step_by(CONCURRENCY as usize) {
                run(rig.clone(), number).await;
            }
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await.expect("the worker does not panic");
    }
}
