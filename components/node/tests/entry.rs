//! What an entry hands on of a caller's time, on real sockets.

mod support {
    pub mod endpoint;
    pub mod route;
}

use std::cell::RefCell;
use std::io::Read;
use std::io::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Trust;
use chicoryford_fleet::recent::Recent;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::message::Method;
use chicoryford_http::message::StatusCode;
use chicoryford_node::clock;
use chicoryford_node::entry::Entry;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::link::Link;
use chicoryford_node::link::Member;
use chicoryford_node::message::Update;
use chicoryford_node::stall::Stall;
use chicoryford_node::view::View;
use chicoryford_types::Millis;
use tokio::net::TcpListener;

use support::endpoint::endpoint;
use support::route::route;

/// How long the caller waits.
const WAITS: Duration = Duration::from_millis(1_500);

/// Starts an endpoint that notes until when it may work.
async fn noting(ends: Rc<RefCell<Vec<Instant>>>) -> Endpoint {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Rc::new(Server::default());
    actix_rt::spawn(async move {
        let answer = move |request: Request| {
            let left = Duration::from_millis(request.headers.number("x-deadline-ms").unwrap());
            ends.borrow_mut().push(Instant::now() + left);
            let reply = Reply::new(StatusCode::OK, "ok").with("x-attempt-id", "id");
            std::future::ready(reply.with("x-response-stamp", "s"))
        };
        server.serve(listener, answer).await;
    });
    endpoint("desk", "d1", address, 6)
}

fn config() -> Config {
    let route = route("desk", Kind::Idempotent, 2);
    Config { version: 1, routes: vec![route], source: Bytes::new(), ..Config::default() }
}

/// Makes an entry that has just started and is not connected.
fn entry() -> Rc<Entry> {
    let (view, forwarder) = (Rc::new(View::default()), Forwarder::new(Policy::default()));
    let learns = forwarder.clone();
    view.subscribe(move |news| learns.apply(news));
    let member = Member {
        node: "f".to_owned(),
        data_centre: "z".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        replica: false,
        depot: None,
        runner: None,
    };
    Rc::new(Entry {
        link: Link::new(member, view.clone(), Vec::new()),
        view,
        forwarder,
        started: clock::now(),
        stall: Rc::new(Stall::new(clock::now())),
        recent: RefCell::new(Recent::new(0)),
        usage: None,
        trust: Trust { strict: false, limit_ms: 0 },
        near_data_centre: String::new(),
        reader: Rc::default(),
    })
}

/// Guards against endpoints that work on after the caller has left, because time in which its request
/// waited at the entry is handed on.
#[actix_rt::test]
async fn time_in_which_a_request_waited_is_not_handed_on() {
    let (entry, ends) = (entry(), Rc::default());
    let endpoint = noting(Rc::clone(&ends)).await;
    let view = entry.view.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        view.apply(Update::Config(Arc::new(config())));
        view.apply(Update::Endpoint(endpoint));
    });
    let mut request = Request::new(Method::POST, "/desk/1", "");
    request.headers.set("host", "h");
    request.headers.set("x-attempt-id", "id");
    request.headers.set("x-deadline-ms", &WAITS.as_millis().to_string());
    let came = Instant::now();

    let reply = entry.answer(request).await;

    assert_eq!(reply.status, StatusCode::OK);
    let over = ends.borrow()[0].saturating_duration_since(came + WAITS);
    assert!(over < Duration::from_millis(100), "{over:?} after the caller has left");
}

/// Guards against endpoints that work on after the caller has left, because its request lay unread before a
/// process that stood still.
#[actix_rt::test]
async fn time_in_which_a_request_lay_unread_is_not_handed_on() {
    let (entry, ends) = (entry(), Rc::default());
    let endpoint = noting(Rc::clone(&ends)).await;
    entry.view.apply(Update::Config(Arc::new(config())));
    entry.view.apply(Update::Endpoint(endpoint));
    let (watched, stall) = (entry.stall.clone(), Duration::from_millis(900));
    actix_rt::spawn(async move { watched.run_ticks().await });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let server = Server::default();
        server.serve(listener, move |request| entry.clone().answer(request)).await;
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let caller = std::thread::spawn(move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        let head = "POST /desk/1 HTTP/1.1\r\nhost: h\r\nx-attempt-id: id\r\ncontent-length: 0\r\n";
        let text = format!("{head}x-deadline-ms: {}\r\n\r\n", WAITS.as_millis());
        stream.write_all(text.as_bytes()).unwrap();
        let came = Instant::now();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).unwrap();
        (came, answer)
    });
    // The process stands still.
    std::thread::sleep(stall);
    tokio::time::sleep(Duration::from_millis(300)).await;

    let (came, answer) = caller.join().unwrap();

    assert_eq!(&answer, b"HTTP/1.1 200");
    let over = ends.borrow()[0].saturating_duration_since(came + WAITS);
    assert!(over < Duration::from_millis(100), "{over:?} after the caller has left");
}

#[test]
fn a_request_that_comes_while_the_process_runs_has_not_waited() {
    let stall = Stall::new(Millis(0));
    (1..20).for_each(|tick| stall.record_tick(Millis(tick * 25)));
    assert_eq!(stall.waited_ms(Millis(480)), 0);
    assert_eq!(stall.waited_ms(Millis(1_475)), 1_000, "the process comes back");
    stall.record_tick(Millis(1_475));
    assert_eq!(stall.waited_ms(Millis(1_500)), 1_000, "it reads what came meanwhile");
    stall.record_tick(Millis(1_530));
    assert_eq!(stall.waited_ms(Millis(1_560)), 0);
}
