//! The task that drives [`Swim`]: the UDP socket, the clock and the published view.

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

use crate::auth::Authenticator;
use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::message::Message;
use crate::settings::SwimSettings;
use crate::swim::Action;
use crate::swim::Event;
use crate::swim::Swim;
use crate::swim::TICK_MS;
use crate::traffic::Traffic;

/// Size of the receive buffer, larger than any datagram that a process sends.
const BUFFER_BYTES: usize = 65_536;
/// Maximum number of datagrams received between two reads of the clock, so that a flood cannot
/// suppress ticks.
const MAX_BATCH: usize = 64;

/// Membership failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The shared token of the processes could not be read.
    #[error(transparent)]
    Token(#[from] KeyError),
    /// The token file is empty, so anyone could forge datagrams.
    #[error("the token file is empty; all processes of a deployment share one token for gossip")]
    EmptyToken,
    /// The gossip socket could not be opened.
    #[error("cannot open the gossip socket at {address}")]
    Socket {
        /// The address in the settings.
        address: SocketAddr,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The gossip address in the settings is unspecified, so other members cannot send to it.
    #[error("cannot announce {0} for gossip: others need this process's own address")]
    Unspecified(SocketAddr),
    /// The thread of the task could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// Opens the gossip socket, announces this process and registers [`Handle`] as [`SERVICE`].
///
/// When it returns, the handle is registered and its view contains this process. The announced
/// address is `settings.listen`; a caller that listens on port 0 corrects it with
/// [`Handle::announce`]. When the process reaches [`Phase::Stopping`], the task announces that this
/// process leaves, so join the thread before the process exits.
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

    let own = Arc::new(watch::Sender::new(initial_member(settings, gossip)));
    let seeds = settings.seeds.iter().copied().filter(|seed| *seed != gossip).collect();
    let member = own.borrow().clone();
    let swim = Swim::new(SwimSettings::default(), member, seeds, unix().0);
    let (publish, view) = watch::channel(Arc::new(swim.view()));
    let handle = Handle::new(view, own.clone());
    add_dump(kernel, &handle);
    kernel.registry.offer(SERVICE, handle);
    let traffic = Traffic::default();
    traffic.dump(kernel);
    let auth = Authenticator::new(&token);
    let duty = Duty { swim, own, publish, auth, traffic, actions: Vec::new() };
    Ok(kernel.duty("members", move |kernel| duty.run(kernel, socket))?)
}

fn initial_member(settings: &Settings, gossip: SocketAddr) -> Member {
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

fn add_dump(kernel: &Kernel, handle: &Handle) {
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
    auth: Authenticator,
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
        // A role may have changed the announcement between `start` and the start of this thread. A
        // new receiver treats that change as seen, and an agent's endpoint would never be
        // announced, not even to its own process. The current announcement is therefore always
        // processed once.
        announced.mark_changed();
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = kernel.phases.reached(Phase::Stopping) => break,
                _ = ticks.tick() => self.handle(Event::Tick, &kernel),
                changed = announced.changed() => {
                    // The sender is owned by self, so waiting cannot fail.
                    let _ = changed;
                    let own = announced.borrow_and_update().clone();
                    self.handle(Event::Own(own), &kernel);
                }
                readable = socket.readable() => {
                    let _ = readable;
                    self.receive(&socket, &kernel);
                }
            }
            self.execute(&socket);
            self.publish_view(&kernel);
        }
        self.handle(Event::Leave, &kernel);
        self.execute(&socket);
    }

    fn handle(&mut self, event: Event, kernel: &Kernel) {
        self.swim.handle(event, kernel.now(), &mut self.actions);
    }

    fn receive(&mut self, socket: &UdpSocket, kernel: &Kernel) {
        let mut buffer = [0; BUFFER_BYTES];
        for _ in 0..MAX_BATCH {
            let Ok((length, from)) = socket.try_recv_from(&mut buffer) else { return };
            self.traffic.received(length);
            let content = match self.auth.verify(&buffer[..length]) {
                Ok(content) => content,
                Err(error) => {
                    kernel.metrics.count("gossip.refused", 1);
                    tracing::debug!(event = "gossip_refused", %from, %error);
                    continue;
                }
            };
            match Message::decode(content) {
                Ok(message) => self.handle(Event::Received { from, message }, kernel),
                Err(error) => tracing::warn!(event = "gossip_malformed", %from, %error),
            }
        }
    }

    fn execute(&mut self, socket: &UdpSocket) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { to, message } => {
                    let datagram = self.auth.sign(&message.encode());
                    // A datagram that cannot be sent counts as lost, which the state machine
                    // tolerates.
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

    fn publish_view(&mut self, kernel: &Kernel) {
        if self.swim.take_changed() {
            let view = self.swim.view();
            kernel.metrics.gauge("members.known", view.known.len() as u64);
            self.publish.send_replace(Arc::new(view));
        }
    }
}
