//! Keys at an entry that follows a real leader, with an endpoint that the test plays.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Trust;
use chicoryford_fleet::Workspace;
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
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use chicoryford_node::stall::Stall;
use chicoryford_node::view::View;
use chicoryford_types::Digest;
use tokio::net::TcpListener;

use crate::fleet::Fleet;
use crate::fleet::pause;
use crate::fleet::until;
use crate::fleet::with_desk;
use crate::member::Kept;

/// What the endpoint saw of each request: the key and the workspace.
type Seen = Rc<RefCell<Vec<(Option<String>, Option<String>)>>>;

struct Rig {
    fleet: Fleet,
    entry: Rc<Entry>,
    seen: Seen,
}

/// A route to the desk and one for steps, and these keys of the workspaces "w" and "x".
fn keyed(version: u64, keys: [&[&str]; 2]) -> Config {
    let workspaces = ["w", "x"].iter().zip(keys).map(|(name, keys)| Workspace {
        name: (*name).to_owned(),
        keys: keys.iter().map(|key| Digest::of(key.as_bytes())).collect(),
        urgency: None,
    });
    let workspaces = workspaces.collect::<Vec<_>>().into();
    Config { workspaces, ..with_desk(version) }
}

async fn endpoint(seen: Seen) -> Announcement {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Rc::new(Server::default());
    actix_rt::spawn(async move {
        let answer = move |request: Request| {
            let header = |name: &str| request.headers.get(name).map(str::to_owned);
            seen.borrow_mut().push((header("authorization"), header("x-tenant")));
            let id = header("x-attempt-id").unwrap_or_default();
            async move {
                Reply::new(StatusCode::OK, "ok")
                    .with("x-attempt-id", &id)
                    .with("x-response-stamp", "s")
            }
        };
        server.serve(listener, answer).await;
    });
    Announcement {
        id: "d1".to_owned(),
        born: 0,
        service: "desk".to_owned(),
        address,
        data_centre: "here".to_owned(),
        slots: 6,
        draining: false,
        models: std::collections::BTreeMap::new(),
        sequence: 1,
    }
}

impl Rig {
    async fn start(trust: Trust, keys: [&[&str]; 2]) -> Self {
        let (fleet, seen) = (Fleet::start().await, Seen::default());
        let (view, forwarder) = (Rc::new(View::default()), Forwarder::new(Policy::default()));
        let member = Member {
            node: "f".to_owned(),
            data_centre: "here".to_owned(),
            address: fleet.links,
            replica: false,
            depot: None,
            runner: None,
        };
        let link = Link::new(member, view.clone(), vec![fleet.links]);
        let learns = forwarder.clone();
        view.subscribe(move |news| learns.apply(news));
        let follows = link.clone();
        actix_rt::spawn(async move { follows.run().await });
        let entry = Rc::new(Entry {
            link,
            view,
            forwarder,
            started: clock::now(),
            stall: Rc::new(Stall::new(clock::now())),
            recent: RefCell::new(Recent::new(0)),
            usage: None,
            trust,
            near_data_centre: String::new(),
            reader: Rc::default(),
        });
        let rig = Self { fleet, entry, seen };
        rig.configure(keyed(2, keys)).await;
        rig.announce(endpoint(rig.seen.clone()).await).await;
        rig
    }

    async fn announce(&self, said: Announcement) {
        let answer = self.fleet.leader().answer(Call::Announce(said)).await;
        assert!(matches!(answer, Answer::Heard), "{answer:?}");
        pause(50).await;
    }

    async fn configure(&self, config: Config) {
        let version = config.version;
        let configured = self.fleet.leader().commit(Command::Configure(Arc::new(config))).await;
        assert!(matches!(configured, Answer::Done), "{configured:?}");
        let view = &self.entry.view;
        until("it is in force", || view.config().is_some_and(|held| held.version >= version)).await;
    }

    async fn ask(&self, method: Method, target: &str, key: &str, body: &str) -> (u16, Reply) {
        let mut request = Request::new(method, target, Bytes::from(body.to_owned()));
        request.headers.set("host", "h");
        request.headers.set("x-attempt-id", "job");
        request.headers.set("authorization", &format!("Bearer {key}"));
        request.headers.set("x-tenant", "x");
        let reply = self.entry.clone().answer(request).await;
        (reply.status.as_u16(), reply)
    }

    async fn desk(&self, key: &str) -> u16 {
        self.ask(Method::POST, "/d/1", key, "").await.0
    }

    async fn lose_leader(&self) {
        self.fleet.leader().stop();
        self.fleet.slot.borrow_mut().take();
        until("the leader is lost", || !self.entry.link.is_connected()).await;
    }
}

const LENIENT: Trust = Trust { strict: false, limit_ms: 0 };

#[actix_rt::test]
async fn an_endpoint_is_told_the_workspace_and_not_the_key() {
    let rig = Rig::start(LENIENT, [&["k1"], &["k2"]]).await;
    assert_eq!(rig.desk("k1").await, 200);
    assert_eq!(rig.seen.borrow()[..], [(None, Some("w".to_owned()))]);
    assert_eq!(rig.desk("k3").await, 401);
    assert_eq!(rig.seen.borrow().len(), 1);
}

/// Symptom: a caller whose key was taken away is still served.
/// Sequence: an operator takes a key away and adds another; both callers keep asking.
/// Proof: each entry that hears the leader refuses the one and serves the other from the moment at
/// which the change is in force there.
#[actix_rt::test]
async fn keys_come_and_go_with_the_configuration() {
    let rig = Rig::start(LENIENT, [&["k1"], &[]]).await;
    assert_eq!((rig.desk("k1").await, rig.desk("k2").await), (200, 401));
    rig.configure(keyed(3, [&["k2"], &[]])).await;
    assert_eq!((rig.desk("k1").await, rig.desk("k2").await), (401, 200));
}

/// Symptom: a caller with a new key is turned away for good, though the key is good.
/// Sequence: an entry is cut off from all control processes; a key is added meanwhile.
/// Cause: to the entry it is unknown, and it cannot know better; so it must not say so for good.
#[actix_rt::test]
async fn an_entry_that_is_cut_off_refuses_no_key_for_good() {
    let rig = Rig::start(LENIENT, [&["k1"], &[]]).await;
    rig.lose_leader().await;
    assert_eq!(rig.desk("k2").await, 401, "it can have missed nothing yet");
    pause(1_600).await;
    let (status, reply) = rig.ask(Method::POST, "/d/1", "k2", "").await;
    assert_eq!((status, reply.headers.get("retry-after").is_some()), (503, true));
    assert_eq!(rig.desk("k1").await, 200, "what was known holds");
}

#[actix_rt::test]
async fn an_entry_that_is_cut_off_refuses_all_keys_where_operators_chose_so() {
    let strict = Trust { strict: true, limit_ms: 400 };
    let rig = Rig::start(strict, [&["k1"], &[]]).await;
    assert_eq!(rig.desk("k1").await, 200);
    rig.lose_leader().await;
    pause(500).await;
    assert_eq!(rig.desk("k1").await, 503);
    rig.fleet.next_leader();
    until("a leader is found", || rig.entry.link.is_connected()).await;
    rig.announce(endpoint(rig.seen.clone()).await).await;
    assert_eq!(rig.desk("k1").await, 200);
}

/// Symptom: a caller learns of another workspace's step, or ends it.
/// Sequence: it asks with its own good key for an identity that it has seen or guessed.
/// Proof: it gets what a step that never was gives, and may use the identity for a step of its own.
#[actix_rt::test]
async fn another_workspace_sees_nothing_of_a_step() {
    let rig = Rig::start(LENIENT, [&["k1", "k3"], &["k2"]]).await;
    let _store = rig.fleet.store(&Kept::default()).await;
    let body = r#"{"Items":[{"Id":"a","Path":"/s/1"}]}"#;
    let submit = async |key| rig.ask(Method::POST, "/s/1", key, body).await.0;
    let read = async |key| rig.ask(Method::GET, "/lots/job?After=0", key, "").await.0;
    let end = async |key| rig.ask(Method::DELETE, "/lots/job", key, "").await.0;
    assert_eq!(submit("k1").await, 202);
    assert_eq!((read("k1").await, read("k2").await, end("k2").await), (200, 404, 404));
    assert_eq!((submit("k2").await, end("k2").await), (202, 200));
    // A key that is taken away ends no step; any other of the workspace goes on with it.
    rig.configure(keyed(3, [&["k3"], &["k2"]])).await;
    assert_eq!((read("k1").await, read("k3").await), (401, 200));
    assert!(rig.fleet.replica.state().steps["w/job"].is_open());
    assert_eq!(end("k3").await, 200);
    assert!(!rig.fleet.replica.state().steps["w/job"].is_open());
}
