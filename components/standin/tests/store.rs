//! The weight store gives whole versions.

use std::time::Duration;

use chicoryford_standin::store;
use chicoryford_standin::store::StoreSettings;

#[test]
fn a_version_comes_whole_through_the_rate_limit() {
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
