//! Configuration distributed between a control process, an entry and an agent over loopback.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryford_config::Feed;
use chicoryford_config::Handle;
use chicoryford_config::feed::FEED;
use chicoryford_config::in_force::InForce;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Metrics;
use chicoryford_kernel::Phase;
use chicoryford_settings::ControlSettings;
use chicoryford_settings::Settings;
use chicoryford_types::Change;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_types::Roles;
use chicoryford_types::Template;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;
use chicoryford_wire::Caller;
use chicoryford_wire::Keys;
use chicoryford_wire::Routes;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::paths;
use chicoryford_wire::server::Bounds;
use chicoryford_wire::server::serve;
use tokio::sync::watch;

const MAX_WAIT: Duration = Duration::from_secs(20);

/// The view of members that all processes of the test share.
type View = Arc<watch::Sender<Arc<Members>>>;

struct Process {
    kernel: Kernel,
    member: Member,
    stop: watch::Sender<bool>,
    thread: thread::JoinHandle<()>,
}

fn keys() -> PathBuf {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "process node secret\n").unwrap();
    file.keep().unwrap().1
}

fn start(name: &str, start: u64, roles: Roles, data: Option<PathBuf>, view: &View) -> Process {
    let control = roles.control.then(ControlSettings::default);
    let settings = Settings { node: Node::from(name), data, control, ..Settings::default() };
    let incarnation = Incarnation(start);
    let member = Member { node: Node::from(name), incarnation, roles, ..Member::default() };
    let kernel = Kernel::new(Metrics::new(None).unwrap());
    let own = Arc::new(watch::Sender::new(member.clone()));
    let handle = chicoryford_membership::Handle::new(view.subscribe(), own);
    kernel.registry.offer(chicoryford_membership::SERVICE, handle);
    kernel.registry.offer(CALLER, Caller { token: Some("secret".to_owned()), tls: None });
    chicoryford_config::start(&kernel, &settings).unwrap();
    let (stop, mut stopped) = watch::channel(false);
    let (address_sender, address) = mpsc::channel();
    let path = keys();
    let serving_kernel = kernel.clone();
    let thread = thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let keys = Arc::new(Keys::load(&path).unwrap());
            let bounds = Bounds { workers: 1, ..Bounds::default() };
            let any = "127.0.0.1:0".parse().unwrap();
            let running = serve(any, &bounds, keys, None, move || {
                let mut routes = Routes::default();
                chicoryford_config::routes(&mut routes, &serving_kernel, &settings).unwrap();
                routes
            });
            let running = running.unwrap();
            address_sender.send(running.address.to_string()).unwrap();
            stopped.wait_for(|stop| *stop).await.unwrap();
            running.handle.stop(false).await;
        });
    });
    let member = Member { address: address.recv().unwrap(), ..member };
    view.send_modify(|members| {
        let known = Known { member: member.clone(), ..Known::default() };
        Arc::make_mut(members).known.insert(member.node.clone(), known);
    });
    Process { kernel, member, stop, thread }
}

impl Process {
    fn stop(self) {
        self.kernel.phases.advance(Phase::Stopping);
        self.stop.send_replace(true);
        self.thread.join().unwrap();
    }

    fn feed(&self, epoch: u64, revision: u64) {
        let workspace = Workspace(format!("w{}", revision % 7));
        let template = Template { workspace, ..Template::default() };
        let change = Change::Template(Box::new(Versioned { version: revision, template }));
        let feed = self.kernel.registry.find::<Feed>(FEED).unwrap();
        feed.push(at(epoch, revision), change);
    }

    fn at(&self) -> Position {
        self.kernel.registry.find::<Handle>(chicoryford_config::SERVICE).unwrap().current().at
    }

    /// Queries this process until exactly `lagging` are lagging, or until [`MAX_WAIT`] has passed.
    fn in_force(&self, at: Position, lagging: &[Node]) -> InForce {
        let client = Caller { token: Some("secret".to_owned()), tls: None };
        let address = self.member.address.clone();
        let lagging = lagging.to_vec();
        let started = Instant::now();
        actix_rt::System::new().block_on(async move {
            let client = client.client();
            loop {
                let url = client.url(&address, paths::IN_FORCE);
                let mut answer = client.get(&url).send().await.unwrap();
                let in_force: InForce =
                    serde_json::from_slice(&answer.body().await.unwrap()).unwrap();
                let is_expected = in_force.at == at && in_force.lagging == lagging;
                if is_expected || started.elapsed() > MAX_WAIT {
                    return in_force;
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        })
    }
}

fn at(epoch: u64, revision: u64) -> Position {
    Position { epoch: Epoch(epoch), revision: Revision(revision) }
}

#[test]
fn a_change_is_in_force_everywhere_and_a_restarted_agent_does_not_regress() {
    // Guards against an agent that uses an older configuration after a restart. The agent is down
    // for 300 changes and restarts while another control process is behind it. It must start with
    // the configuration on its disk, ignore what is behind it, and catch up later.
    let view = Arc::new(watch::Sender::new(Arc::new(Members::default())));
    let folder = tempfile::tempdir().unwrap();
    let data = Some(folder.path().to_owned());
    let control = start("control", 1, Roles { control: true, ..Roles::default() }, None, &view);
    let entry = start("entry", 1, Roles { entry: true, ..Roles::default() }, None, &view);
    let agent_roles = Roles { agent: true, ..Roles::default() };
    let agent = start("agent", 1, agent_roles, data.clone(), &view);
    for revision in 1..=5 {
        control.feed(3, revision);
    }
    let in_force = control.in_force(at(3, 5), &[]);
    assert!(in_force.everywhere, "{in_force:?}");
    assert_eq!((in_force.at, in_force.processes), (at(3, 5), 3));
    assert_eq!(agent.at(), at(3, 5));

    agent.stop();
    let behind = start("behind", 1, Roles { control: true, ..Roles::default() }, None, &view);
    behind.feed(2, 9);
    let agent = start("agent", 2, agent_roles, data, &view);
    assert_eq!(agent.at(), at(3, 5));
    for revision in 6..=305 {
        control.feed(3, revision);
    }
    let lagging = [Node::from("behind")];
    assert_eq!(control.in_force(at(3, 305), &lagging).lagging, lagging);
    assert_eq!(agent.at(), at(3, 305));
    for process in [agent, entry, behind, control] {
        process.stop();
    }
}
