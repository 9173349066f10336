//! The duty that drives [`Swim`]: the UDP socket, the clock, the published view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::unix;
use chicoryford_settings::Settings;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Roles;
use chicoryford_wire::keys::KeyError;
use chicoryford_wire::keys::read_token;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::message::Message;
use crate::seal::Seal;
use crate::settings::SwimSettings;
use crate::swim::Action;
use crate::swim::Event;
use crate::swim::Swim;
use crate::swim::TICK_MS;
use crate::traffic::Traffic;

/// Larger than any datagram that a process sends.
const BUFFER: usize = 65_536;
/// Datagrams taken between two looks at the clock, so that a flood cannot stop the ticks.
const BATCH: usize = 64;

/// Membership could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The token by which processes know each other could not be read.
    #[error(transparent)]
    Token(#[from] KeyError),
    /// The token file is empty, so that anyone could forge datagrams.
    #[error("the token file is empty; all processes of a deployment share one token for gossip")]
    EmptyToken,
    /// The gossip socket could not be opened.
    #[error("cannot take gossip at {address}")]
    Socket {
        /// The address in the settings.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The address in the settings is one that others cannot send to.
    #[error("cannot announce {0} for gossip: others need this process's own address")]
    Unspecified(SocketAddr),
    /// The duty's thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// Opens the gossip socket, announces this process and offers [`Handle`] as [`SERVICE`].
///
/// When it returns, the handle is there and shows this process itself. The address that is
/// announced comes from `settings.listen`; whoever listens at port 0 corrects it by
/// [`Handle::announce`]. The duty tells others that this process leaves when the process
/// reaches [`Phase::Stopping`]; join it before the process ends.
///
/// # Errors
///
/// [`StartError`] if the token cannot be read or the socket cannot be opened.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<JoinHandle<()>, StartError> {
    let token = read_token(&settings.token)?;
    if token.is_empty() {
        return Err(StartError::EmptyToken);
    }
    let socket_error = |source| StartError::Socket { address: settings.gossip, source };
    if settings.gossip.ip().is_unspecified() {
        return Err(StartError::Unspecified(settings.gossip));
    }
    let socket = std::net::UdpSocket::bind(settings.gossip).map_err(socket_error)?;
    socket.set_nonblocking(true).map_err(socket_error)?;
    let gossip = socket.local_addr().map_err(socket_error)?;

    let own = Arc::new(watch::Sender::new(first(settings, gossip)));
    let seeds = settings.seeds.iter().copied().filter(|seed| *seed != gossip).collect();
    let member = own.borrow().clone();
    let swim = Swim::new(SwimSettings::default(), member, seeds, unix().0);
    let (publish, view) = watch::channel(Arc::new(swim.view()));
    let handle = Handle::new(view, own.clone());
    dump(kernel, &handle);
    kernel.registry.offer(SERVICE, handle);
    let traffic = Traffic::default();
    traffic.dump(kernel);
    let seal = Seal::new(&token);
    let duty = Duty { swim, own, publish, seal, traffic, actions: Vec::new() };
    Ok(kernel.duty("members", move |kernel| duty.run(kernel, socket))?)
}

fn first(settings: &Settings, gossip: SocketAddr) -> Member {
    Member {
        node: settings.node.clone(),
        incarnation: Incarnation(unix().0),
        address: settings.listen.to_string(),
        gossip: gossip.to_string(),
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        roles: Roles {
            entry: settings.entry.is_some(),
            control: settings.control.is_some(),
            agent: settings.agent.is_some(),
        },
        ..Member::default()
    }
}

fn dump(kernel: &Kernel, handle: &Handle) {
    let handle = handle.clone();
    kernel.dumps.add(SERVICE, move || {
        let view = handle.view();
        async move { serde_json::to_value(&*view).unwrap_or_default() }
    });
}

struct Duty {
    swim: Swim,
    own: Arc<watch::Sender<Member>>,
    publish: watch::Sender<Arc<Members>>,
    seal: Seal,
    traffic: Traffic,
    actions: Vec<Action>,
}

impl Duty {
    async fn run(mut self, kernel: Kernel, socket: std::net::UdpSocket) {
        let socket = match UdpSocket::from_std(socket) {
            Ok(socket) => socket,
            Err(error) => {
                tracing::error!(event = "gossip_failed", %error);
                kernel.phases.advance(Phase::Stopping);
                return;
            }
        };
        let mut announced = self.own.subscribe();
        // A role may have announced something between `start` and the start of this thread. A
        // fresh receiver takes that for seen: an agent's endpoint would never be known, even to
        // its own process. So the announcement is always taken once.
        announced.mark_changed();
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = kernel.phases.reached(Phase::Stopping) => break,
                _ = ticks.tick() => self.on(Event::Tick, &kernel),
                changed = announced.changed() => {
                    // The sender lives as long as self, so waiting cannot fail.
                    let _ = changed;
                    let own = announced.borrow_and_update().clone();
                    self.on(Event::Own(own), &kernel);
                }
                readable = socket.readable() => {
                    let _ = readable;
                    self.take(&socket, &kernel);
                }
            }
            self.act(&socket);
            self.show(&kernel);
        }
        self.on(Event::Leave, &kernel);
        self.act(&socket);
    }

    fn on(&mut self, event: Event, kernel: &Kernel) {
        self.swim.on(event, kernel.now(), &mut self.actions);
    }

    fn take(&mut self, socket: &UdpSocket, kernel: &Kernel) {
        let mut buffer = [0; BUFFER];
        for _ in 0..BATCH {
            let Ok((length, from)) = socket.try_recv_from(&mut buffer) else { return };
            self.traffic.received(length);
            let content = match self.seal.open(&buffer[..length]) {
                Ok(content) => content,
                Err(error) => {
                    kernel.metrics.count("gossip.refused", 1);
                    tracing::debug!(event = "gossip_refused", %from, %error);
                    continue;
                }
            };
            match Message::decode(content) {
                Ok(message) => self.on(Event::Received { from, message }, kernel),
                Err(error) => tracing::warn!(event = "gossip_malformed", %from, %error),
            }
        }
    }

    fn act(&mut self, socket: &UdpSocket) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { to, message } => {
                    let datagram = self.seal.seal(&message.encode());
                    // A datagram that cannot be sent is a lost one, which the machine expects.
                    if socket.try_send_to(&datagram, to).is_ok() {
                        self.traffic.sent(datagram.len());
                    }
                }
                Action::Renumber { incarnation, announced } => {
                    self.own.send_modify(|own| {
                        own.incarnation = own.incarnation.max(incarnation);
                        own.announced = own.announced.max(announced);
                    });
                }
            }
        }
    }

    fn show(&mut self, kernel: &Kernel) {
        if self.swim.take_changed() {
            let view = self.swim.view();
            kernel.metrics.gauge("members.known", view.known.len() as u64);
            self.publish.send_replace(Arc::new(view));
        }
    }
}
