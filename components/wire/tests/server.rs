//! A server and a client over the loopback interface: replies, failures and limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_wire::CallError;
use chicoryford_wire::Client;
use chicoryford_wire::Keys;
use chicoryford_wire::Kind;
use chicoryford_wire::Routes;
use chicoryford_wire::reply;
use chicoryford_wire::server::Bounds;
use chicoryford_wire::server::serve;

const TIMEOUT: Duration = Duration::from_secs(20);

fn routes() -> Routes {
    let mut routes = Routes::default();
    routes.add("/echo", &[Kind::Process], |call| async move {
        reply::msgpack(&call.msgpack::<String>().unwrap())
    });
    routes.add("/refuse", &[Kind::Process], |_| async {
        reply::peer_failure(&Failure::not_run(Code::Draining, "leaving").retry_after(1_500))
    });
    routes
}

#[test]
fn client_receives_replies_failures_and_limit_errors() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "process a secret\ncaller desk desk-token\n").unwrap();
    let keys = Arc::new(Keys::load(file.path()).unwrap());
    let bounds = Bounds { body: 1_000, workers: 1, ..Bounds::default() };
    actix_rt::System::new().block_on(async move {
        let address = "127.0.0.1:0".parse().unwrap();
        let running = serve(address, &bounds, keys, None, routes).unwrap();
        let address = running.address.to_string();
        let client = Client::new(Some("secret".to_owned()), None);

        let echoed: String = client.call(&address, "/echo", "hello", TIMEOUT).await.unwrap();
        assert_eq!(echoed, "hello");

        let refused = client.call::<str, ()>(&address, "/refuse", "", TIMEOUT).await;
        let expected = Failure::not_run(Code::Draining, "leaving").retry_after(1_500);
        assert_eq!(refused, Err(CallError::Failure(expected)));

        let body = "x".repeat(2_000);
        let large = client.call::<str, ()>(&address, "/echo", &body, TIMEOUT).await;
        assert!(matches!(large, Err(CallError::Failure(f)) if f.code == Code::TooLarge));

        let unknown = Client::new(Some("guess".to_owned()), None);
        let denied = unknown.call::<str, ()>(&address, "/echo", "", TIMEOUT).await;
        assert!(matches!(denied, Err(CallError::Failure(f)) if f.code == Code::Unauthenticated));

        let desk = Client::new(Some("desk-token".to_owned()), None);
        let denied = desk.call::<str, ()>(&address, "/echo", "", TIMEOUT).await;
        assert!(matches!(denied, Err(CallError::Failure(f)) if f.code == Code::Forbidden));

        let missing = client.get(&client.url(&address, "/none")).send().await.unwrap();
        assert_eq!(missing.status().as_u16(), 404);
        let mut fresh = client.fresh().post(&client.url(&address, "/echo"));
        fresh = fresh.content_type(reply::MSGPACK);
        let mut answer = fresh.send_body(rmp_serde::to_vec("anew").unwrap()).await.unwrap();
        assert_eq!(answer.body().await.unwrap(), Bytes::from(rmp_serde::to_vec("anew").unwrap()));
        running.handle.stop(false).await;
        let gone = client.fresh().call::<str, ()>(&address, "/echo", "", TIMEOUT).await;
        assert!(matches!(gone, Err(CallError::NotSent { refused: true, .. })), "{gone:?}");
    });
}
