//! A request that is forwarded to a plain service.

use chicoryford_fleet::Route;
use chicoryford_http::Request;
use chicoryford_http::message::Method;
use chicoryford_node::clock;
use chicoryford_node::forward::Budget;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::forward::Outcome;
use chicoryford_node::forward::Requester;

/// Forwards a request whose attempt id is "id", and which is dropped if it is not answered within
/// `limit_ms`.
pub async fn send(forwarder: &Forwarder, route: &Route, limit_ms: u64) -> Outcome {
    let mut request = Request::new(Method::POST, "/desk/x", "");
    request.headers.set("x-attempt-id", "id");
    let budget = Budget::new(clock::now() + limit_ms);
    forwarder.forward(route, &request, &budget, limit_ms, Requester::default()).await
}
