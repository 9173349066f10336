//! Tests of membership over real UDP sockets on the loopback interface.

use std::fs;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Metrics;
use chicoryford_kernel::Phase;
use chicoryford_membership::Authenticator;
use chicoryford_membership::Handle;
use chicoryford_membership::Message;
use chicoryford_membership::SERVICE;
use chicoryford_membership::StartError;
use chicoryford_membership::message::Body;
use chicoryford_membership::message::Update;
use chicoryford_membership::start;
use chicoryford_settings::Settings;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::Standing;

const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const MAX_POLLS: usize = 600;

struct Process {
    kernel: Kernel,
    members: Arc<Handle>,
    duty: JoinHandle<()>,
}

impl Process {
    fn start(folder: &Path, name: &str, seeds: &[SocketAddr]) -> Self {
        let token = folder.join("token");
        fs::write(&token, "the token of all processes\n").unwrap();
        let settings = Settings {
            node: Node::from(name),
            gossip: SocketAddr::from(ANY),
            seeds: seeds.to_vec(),
            token,
            ..Settings::default()
        };
        let kernel = Kernel::new(Metrics::new(None).unwrap());
        let duty = start(&kernel, &settings).unwrap();
        let members = kernel.registry.find(SERVICE).unwrap();
        Self { kernel, members, duty }
    }

    fn gossip(&self) -> SocketAddr {
        self.members.own().gossip.parse().unwrap()
    }

    fn wait_until(&self, what: &str, holds: impl Fn(&Members) -> bool) {
        for _ in 0..MAX_POLLS {
            if holds(&self.members.view()) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("{} did not see {what}: {:?}", self.members.own().node, self.members.view());
    }

    fn stop(self) {
        self.kernel.phases.advance(Phase::Stopping);
        self.duty.join().unwrap();
    }
}

fn address(members: &Members, name: &str) -> Option<String> {
    members.known.get(&Node::from(name)).map(|known| known.member.address.clone())
}

#[test]
fn can_run_alone_without_seeds() {
    let folder = tempfile::tempdir().unwrap();
    let process = Process::start(folder.path(), "alone", &[]);
    let view = process.members.view();
    assert_eq!(view.present().count(), 1);
    assert_eq!(view.known[&Node::from("alone")].standing, Standing::Alive);
    process.stop();
}

#[test]
fn finds_all_others_from_one_seed_and_receives_their_changes() {
    let folder = tempfile::tempdir().unwrap();
    let first = Process::start(folder.path(), "p0", &[]);
    let seeds = [first.gossip()];
    let mut all = vec![first];
    for n in 1..8 {
        all.push(Process::start(folder.path(), &format!("p{n}"), &seeds));
    }
    for process in &all {
        process.wait_until("all eight", |view| view.present().count() == 8);
    }
    all[3].members.announce(|own| own.address = "127.0.0.1:7".to_owned());
    for process in &all {
        process
            .wait_until("the change", |view| address(view, "p3").as_deref() == Some("127.0.0.1:7"));
    }
    all.into_iter().for_each(Process::stop);
}

#[test]
fn distinguishes_a_planned_stop_from_a_restart_under_the_same_name() {
    // Guards against a restarted process that is mistaken for the one that left: a process stops
    // gracefully and starts again under the same name at another port. Both announce the same name;
    // only the incarnation distinguishes them.
    let folder = tempfile::tempdir().unwrap();
    let first = Process::start(folder.path(), "p0", &[]);
    let seeds = [first.gossip()];
    let second = Process::start(folder.path(), "p1", &seeds);
    let third = Process::start(folder.path(), "p2", &seeds);
    let all = |view: &Members| view.present().count() == 3;
    first.wait_until("all three", all);
    second.wait_until("all three", all);
    third.wait_until("all three", all);
    let old = third.members.own().incarnation;
    third.stop();
    let left = |view: &Members| view.known[&Node::from("p2")].standing == Standing::Left;
    first.wait_until("the departure", left);
    second.wait_until("the departure", left);
    let restarted = Process::start(folder.path(), "p2", &seeds);
    let back = |view: &Members| {
        let known = &view.known[&Node::from("p2")];
        known.standing == Standing::Alive && known.member.incarnation > old
    };
    first.wait_until("the restarted process", back);
    second.wait_until("the restarted process", back);
    [first, second, restarted].into_iter().for_each(Process::stop);
}

#[test]
fn announces_changes_made_right_after_the_start() {
    // Guards against an agent that all others see as alive without its endpoint, so that it gets no
    // work until its next announcement: the process changes its own announcement after the socket
    // is open and before the gossip thread waits for changes. A new subscriber treats earlier
    // announcements as seen.
    let folder = tempfile::tempdir().unwrap();
    for n in 0..20 {
        let process = Process::start(folder.path(), &format!("p{n}"), &[]);
        process.members.announce(|own| own.address = "127.0.0.1:7".to_owned());
        let name = process.members.own().node.to_string();
        process.wait_until("its own change", |view| {
            address(view, &name).as_deref() == Some("127.0.0.1:7")
        });
        process.stop();
    }
}

#[test]
fn rejects_forged_datagrams() {
    // Guards against work for an endpoint that no operator started: an attacker who can reach the
    // port, but lacks the token, announces a member. Without authentication datagrams would be
    // accepted from anyone.
    let folder = tempfile::tempdir().unwrap();
    let process = Process::start(folder.path(), "p0", &[]);
    let announced = Member {
        node: Node::from("stranger"),
        incarnation: Incarnation(1),
        gossip: "127.0.0.1:9".to_owned(),
        ..Member::default()
    };
    let message = Message {
        from: announced.node.clone(),
        body: Body::Ping { seq: 1, to: Node::from("p0") },
        updates: vec![Update::Alive(Arc::new(announced))],
    };
    let socket = UdpSocket::bind(SocketAddr::from(ANY)).unwrap();
    let forged = Authenticator::new("a guess").sign(&message.encode());
    for datagram in [&forged[..], &forged[..7], &message.encode()] {
        socket.send_to(datagram, process.gossip()).unwrap();
    }
    // A valid datagram, sent after the forged ones through the same socket, is processed after
    // them.
    let own = Authenticator::new("the token of all processes");
    let valid = Message { from: Node::from("valid"), ..message };
    let valid = Message {
        updates: vec![Update::Alive(Arc::new(Member {
            node: Node::from("valid"),
            incarnation: Incarnation(1),
            gossip: socket.local_addr().unwrap().to_string(),
            ..Member::default()
        }))],
        ..valid
    };
    socket.send_to(&own.sign(&valid.encode()), process.gossip()).unwrap();
    process.wait_until("the valid member", |view| view.known.contains_key(&Node::from("valid")));
    assert!(!process.members.view().known.contains_key(&Node::from("stranger")));
    process.stop();
}

#[test]
fn errors_on_an_empty_token() {
    let folder = tempfile::tempdir().unwrap();
    let token = folder.path().join("token");
    fs::write(&token, "\n").unwrap();
    let settings = Settings { gossip: SocketAddr::from(ANY), token, ..Settings::default() };
    let kernel = Kernel::new(Metrics::new(None).unwrap());
    assert!(matches!(start(&kernel, &settings), Err(StartError::EmptyToken)));
}

#[test]
fn announces_changes_made_before_its_thread_runs() {
    // Guards against an agent that starts successfully but whose endpoint is unknown to all others:
    // membership starts its thread, the agent announces its endpoint, the thread subscribes to
    // announcements. A new subscription treats the current announcement as seen.
    let folder = tempfile::tempdir().unwrap();
    for _ in 0..20 {
        let one = Process::start(folder.path(), "one", &[]);
        one.members.announce(|own| own.address = "early".to_owned());
        one.wait_until("its own early address", |m| address(m, "one").as_deref() == Some("early"));
        one.stop();
    }
}

#[test]
fn counts_the_bytes_that_it_sends_and_receives() {
    let folder = tempfile::tempdir().unwrap();
    let first = Process::start(folder.path(), "p0", &[]);
    let second = Process::start(folder.path(), "p1", &[first.gossip()]);
    first.wait_until("the second", |view| view.present().count() == 2);
    second.wait_until("the first", |view| view.present().count() == 2);
    for process in [first, second] {
        let dump = actix_rt::System::new().block_on(process.kernel.dumps.take());
        let gossip = &dump["gossip"];
        for way in ["sent", "received"] {
            let count = gossip[way].as_u64().unwrap();
            let bytes = gossip[format!("{way}_bytes")].as_u64().unwrap();
            assert!(count > 0 && bytes > count, "{gossip}");
        }
        process.stop();
    }
}
