//! Tests that the weight store sends complete versions and that engines serve them to other
//! engines.

use std::sync::Arc;
use std::time::Duration;

use chicoryford_standin::Recorder;
use chicoryford_standin::engine;
use chicoryford_standin::engine::Engine;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::engine::Weights;
use chicoryford_standin::store;
use chicoryford_standin::store::StoreSettings;
use chicoryford_wire::server::Running;

#[test]
fn a_version_is_complete_despite_the_rate_limit() {
    actix_rt::System::new().block_on(async {
        let settings = StoreSettings { size: 300_000, rate: 8 << 20 };
        let running = store::start("127.0.0.1:0".parse().unwrap(), settings).unwrap();
        let url = format!("http://{}/weights/model/3", running.address);
        let client = awc::Client::builder().timeout(Duration::from_secs(20)).finish();
        let mut answer = client.get(url).send().await.unwrap();
        assert_eq!(answer.body().limit(1 << 20).await.unwrap().len(), 300_000);
        running.handle.stop(false).await;
    });
}

/// Starts an engine with version 1 that serves its weights to one other engine at a time.
fn start_engine() -> (Running, Arc<Engine>) {
    let settings = EngineSettings { feeds: 1, swap_ms: 0, ..EngineSettings::default() };
    engine::start("127.0.0.1:0".parse().unwrap(), settings, Recorder::default()).unwrap()
}

async fn load(to: &Running, version: u64, source: &str) -> u16 {
    let order = Weights {
        model: "model".to_owned(),
        version,
        source: source.to_owned(),
        ..Weights::default()
    };
    let client = awc::Client::builder().timeout(Duration::from_secs(20)).finish();
    let response = client.post(format!("http://{}/weights", to.address)).send_json(&order).await;
    response.unwrap().status().as_u16()
}

#[test]
fn an_engine_serves_only_the_version_that_it_fetched() {
    actix_rt::System::new().block_on(async {
        let settings = StoreSettings { size: 300_000, ..StoreSettings::default() };
        let store = store::start("127.0.0.1:0".parse().unwrap(), settings).unwrap();
        let (first, first_engine) = start_engine();
        let (second, second_engine) = start_engine();
        let source = first_engine.health().gives.unwrap();
        assert_eq!(load(&second, 2, &source).await, 502);
        assert_eq!(load(&first, 2, &format!("http://{}", store.address)).await, 200);
        assert_eq!(load(&second, 3, &source).await, 502);
        let permit = first_engine.feeds.clone().try_acquire_owned().unwrap();
        assert_eq!(load(&second, 2, &source).await, 502);
        drop(permit);
        assert_eq!(load(&second, 2, &source).await, 200);
        assert_eq!(second_engine.state().sizes["model"], 300_000);
        for running in [store, first, second] {
            running.handle.stop(false).await;
        }
    });
}
