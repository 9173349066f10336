//! Membership over real UDP sockets on the loopback interface.

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
use chicoryford_membership::Handle;
use chicoryford_membership::Message;
use chicoryford_membership::SERVICE;
use chicoryford_membership::Seal;
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
const PATIENCE: usize = 600;

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

    fn until(&self, what: &str, holds: impl Fn(&Members) -> bool) {
        for _ in 0..PATIENCE {
            if holds(&self.members.view()) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("{} never saw {what}: {:?}", self.members.own().node, self.members.view());
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
fn can_find_all_others_from_one_seed_and_hear_their_changes() {
    let folder = tempfile::tempdir().unwrap();
    let first = Process::start(folder.path(), "p0", &[]);
    let seeds = [first.gossip()];
    let mut all = vec![first];
    for n in 1..8 {
        all.push(Process::start(folder.path(), &format!("p{n}"), &seeds));
    }
    for process in &all {
        process.until("all eight", |view| view.present().count() == 8);
    }
    all[3].members.announce(|own| own.address = "127.0.0.1:7".to_owned());
    for process in &all {
        process.until("the change", |view| address(view, "p3").as_deref() == Some("127.0.0.1:7"));
    }
    all.into_iter().for_each(Process::stop);
}

#[test]
fn can_tell_a_planned_stop_and_a_restart_under_the_same_name() {
    // Symptom: a restarted process is taken for the one that left.
    // Sequence: a process stops gracefully and starts again under its name at another port.
    // Cause: both announce the same name; only the incarnation tells them apart.
    let folder = tempfile::tempdir().unwrap();
    let first = Process::start(folder.path(), "p0", &[]);
    let seeds = [first.gossip()];
    let second = Process::start(folder.path(), "p1", &seeds);
    let third = Process::start(folder.path(), "p2", &seeds);
    let all = |view: &Members| view.present().count() == 3;
    first.until("all three", all);
    second.until("all three", all);
    third.until("all three", all);
    let old = third.members.own().incarnation;
    third.stop();
    let left = |view: &Members| view.known[&Node::from("p2")].standing == Standing::Left;
    first.until("the farewell", left);
    second.until("the farewell", left);
    let again = Process::start(folder.path(), "p2", &seeds);
    let back = |view: &Members| {
        let known = &view.known[&Node::from("p2")];
        known.standing == Standing::Alive && known.member.incarnation > old
    };
    first.until("the restarted process", back);
    second.until("the restarted process", back);
    [first, second, again].into_iter().for_each(Process::stop);
}

#[test]
fn an_announcement_right_after_the_start_is_not_lost() {
    // Symptom: now and then an agent is alive for all others, but its endpoint is unknown, and
    // nobody sends it work until it announces something else.
    // Sequence: the process changes its own announcement after the socket is open and before the
    // gossip thread waits for changes.
    // Cause: a new subscriber counts what was announced before as seen.
    let folder = tempfile::tempdir().unwrap();
    for n in 0..20 {
        let process = Process::start(folder.path(), &format!("p{n}"), &[]);
        process.members.announce(|own| own.address = "127.0.0.1:7".to_owned());
        let name = process.members.own().node.to_string();
        process
            .until("its own change", |view| address(view, &name).as_deref() == Some("127.0.0.1:7"));
        process.stop();
    }
}

#[test]
fn errors_on_a_stranger_who_forges_datagrams() {
    // Symptom: work is sent to an endpoint that no operator started.
    // Sequence: somebody who can reach the port, but lacks the token, announces a member.
    // Cause: datagrams would be taken from anyone.
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
    let forged = Seal::new("a guess").seal(&message.encode());
    for datagram in [&forged[..], &forged[..7], &message.encode()] {
        socket.send_to(datagram, process.gossip()).unwrap();
    }
    // A friend's datagram, sent after the forged ones over the same socket, is taken after them.
    let own = Seal::new("the token of all processes");
    let friend = Message { from: Node::from("friend"), ..message };
    let friend = Message {
        updates: vec![Update::Alive(Arc::new(Member {
            node: Node::from("friend"),
            incarnation: Incarnation(1),
            gossip: socket.local_addr().unwrap().to_string(),
            ..Member::default()
        }))],
        ..friend
    };
    socket.send_to(&own.seal(&friend.encode()), process.gossip()).unwrap();
    process.until("the friend", |view| view.known.contains_key(&Node::from("friend")));
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
fn spreads_what_is_announced_before_its_thread_runs() {
    // Symptom: now and then an agent that started well is known to nobody as an endpoint.
    // Sequence: membership starts its thread, the agent announces its endpoint, the thread
    // subscribes to announcements. Cause: a fresh subscription takes what is there for seen.
    let folder = tempfile::tempdir().unwrap();
    for _ in 0..20 {
        let one = Process::start(folder.path(), "one", &[]);
        one.members.announce(|own| own.address = "early".to_owned());
        one.until("its own early address", |m| address(m, "one").as_deref() == Some("early"));
        one.stop();
    }
}

#[test]
fn counts_the_bytes_that_it_sends_and_receives() {
    let folder = tempfile::tempdir().unwrap();
    let first = Process::start(folder.path(), "p0", &[]);
    let second = Process::start(folder.path(), "p1", &[first.gossip()]);
    first.until("the second", |view| view.present().count() == 2);
    second.until("the first", |view| view.present().count() == 2);
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
