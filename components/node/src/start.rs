//! Startup, reload and graceful shutdown of a process.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_depot::Depot;
use chicoryford_depot::DepotError;
use chicoryford_depot::Worker;
use chicoryford_fleet::result_cache::ResultCache;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::reply_memory;
use chicoryford_http::socket;
use chicoryford_ingress::Ingress;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_storage::Disk;
use chicoryford_storage::StorageError;
use chicoryford_types::Millis;
use thiserror::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;

use crate::clients;
use crate::clock;
use crate::control::Control;
use crate::entry;
use crate::entry::Entry;
use crate::followers::Followers;
use crate::forward::Forwarder;
use crate::frame;
use crate::leader::Context;
use crate::leader::Leader;
use crate::link::Link;
use crate::link::Member;
use crate::link_server::LinkServer;
use crate::members;
use crate::metrics;
use crate::overload::OverloadProtection;
use crate::parts;
use crate::peers::Peers;
use crate::ready::Readiness;
use crate::replica::LocalReplica;
use crate::replica::ReplicaError;
use crate::runner::Runner;
use crate::settings;
use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::traffic;
use crate::traffic::Traffic;
use crate::usage::Usage;
use crate::view::View;

/// The replica's folder within the data folder.
const REPLICA_FOLDER: &str = "replica";
/// The depot's folder within the data folder.
const DEPOT_FOLDER: &str = "depot";
/// The share of a process's memory from which on only small replies of endpoints may grow. All of them
/// hold at most twice as much, which leaves room for requests and for replies to callers.
const REPLY_MEMORY_DIVISOR: usize = 4;
/// Interval between checks for a changed settings file.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between cleanups of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum time for which an entry keeps serving after the stop signal, in milliseconds: the
/// balancer notices after two failed checks, a second apart, and callers finish sending their
/// requests.
const MIN_DRAIN_MS: u64 = 3_200;
/// Milliseconds before the kill at which the process exits by itself.
const KILL_MARGIN_MS: u64 = 500;
/// Interval between checks whether the process is drained.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a process with a failed disk exits, so that it does not restart in a tight loop.
const DISK_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// The process could not start, or exited because of a failure.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The replica could not start.
    #[error(transparent)]
    LocalReplica(#[from] ReplicaError),
    /// The depot could not start.
    #[error(transparent)]
    Depot(#[from] DepotError),
    /// The depot's thread could not be started.
    #[error("cannot start the thread of the depot")]
    Thread(#[source] io::Error),
    /// A damaged folder cannot be moved aside.
    #[error("cannot move a damaged folder aside")]
    SetAside(#[source] io::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {0}")]
    Listen(SocketAddr, #[source] io::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers")]
    Signals(#[source] io::Error),
    /// The disk failed.
    #[error("the disk failed")]
    Disk,
}

/// Runs a process with the settings of a file until it receives a stop signal.
///
/// # Errors
///
/// [`StartError`] if it cannot start, or its disk fails.
pub fn run(path: &Path, settings: Settings) -> Result<(), StartError> {
    actix_rt::System::new().block_on(run_process(path.to_owned(), settings))
}

/// The components of a running process.
struct Process {
    settings: Rc<Settings>,
    link: Rc<Link>,
    view: Rc<View>,
    forwarder: Rc<Forwarder>,
    runner: Rc<Runner>,
    leader: Rc<RefCell<Option<Rc<Leader>>>>,
    stopping: Rc<Cell<bool>>,
    server: Rc<Server>,
    ingress: Arc<Ingress>,
    replica: Option<Rc<LocalReplica>>,
    depot_failed: Option<oneshot::Receiver<DepotError>>,
}

async fn run_process(path: PathBuf, settings: Settings) -> Result<(), StartError> {
    let mut stop = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let mut process = Process::start(settings)?;
    let mut failed = process.replica.as_ref().map(|replica| replica.failed());
    let depot_failed = process.depot_failed.take();
    let depot_failed = async {
        match depot_failed {
            Some(failed) => failed.await.ok(),
            None => std::future::pending().await,
        }
    };
    let disk_failed = async {
        match &mut failed {
            Some(failed) => {
                // The sender is never dropped while the process runs.
                let _ = failed.wait_for(|failed| *failed).await;
            }
            None => std::future::pending().await,
        }
    };
    let reloading = async {
        let mut text = std::fs::read_to_string(&path).ok();
        loop {
            let signalled = tokio::select! {
                _ = reload.recv() => true,
                () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
            };
            let now = std::fs::read_to_string(&path).ok();
            if signalled || now != text {
                text = now;
                process.reload(&path, signalled);
            }
        }
    };
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
        () = disk_failed => {
            tokio::time::sleep(DISK_FAILURE_PAUSE).await;
            return Err(StartError::Disk);
        }
        error = depot_failed => {
            tracing::error!(event = "depot_failed", error = ?error);
            tokio::time::sleep(DISK_FAILURE_PAUSE).await;
            return Err(StartError::Disk);
        }
        () = reloading => {}
    }
    process.drain().await;
    Ok(())
}

impl Process {
    fn start(settings: Settings) -> Result<Self, StartError> {
        let settings = Rc::new(settings);
        let view = Rc::new(View::default());
        let forwarder = Forwarder::with_limits(settings.policy, settings.second_attempts.clone());
        frame::set_compression(settings.policy.compression);
        let runner = Runner::new(view.clone(), forwarder.clone());
        let (depot, depot_failed) = start_depot(&settings)?;
        let member = Member {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.own_link_address(),
            replica: settings.data.is_some() && settings.control.is_some(),
            runner: depot.is_some().then(|| runner.clone()),
            depot: depot.clone(),
        };
        let link = Link::new(member, view.clone(), settings.seed_link_addresses());
        let ingress = Ingress::new(settings.client_limits());
        reply_memory::set_ingress(ingress.clone());
        let process = Self {
            leader: Rc::default(),
            runner,
            replica: None,
            depot_failed,
            stopping: Rc::default(),
            server: Rc::new(Server::new(ingress.clone())),
            ingress,
            settings,
            link,
            view,
            forwarder,
        };
        let (server, forwarder) = (process.server.clone(), process.forwarder.clone());
        process.view.subscribe(move |update| {
            entry::apply_limits(&server, update);
            forwarder.apply(update);
        });
        if process.settings.data.is_some() {
            actix_rt::spawn(process.runner.clone().run());
        }
        let replica = process.start_replica()?;
        if let Some(depot) = depot {
            let listener =
                listen(process.settings.listen_address(process.settings.own_link_address()))?;
            actix_rt::spawn(parts::serve(listener, depot));
        }
        process.start_control()?;
        process.limit_reply_memory();
        let overload = process.start_overload_protection();
        process.start_entry()?;
        process.start_ready(overload)?;
        process.start_metrics(replica.clone())?;
        let link = process.link.clone();
        actix_rt::spawn(async move { link.run().await });
        actix_rt::spawn(clients::report_periodically(process.ingress.clone()));
        let (forwarder, link) = (process.forwarder.clone(), process.link.clone());
        actix_rt::spawn(async move { forwarder.report_crashes(link).await });
        let (forwarder, link) = (process.forwarder.clone(), process.link.clone());
        actix_rt::spawn(async move { forwarder.report_reachability(link).await });
        let forwarder = process.forwarder.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                forwarder.sweep();
            }
        });
        let settings = &process.settings;
        tracing::info!(event = "started", node = settings.node, ip = %settings.ip,
            first_start = settings.first_start, replica = replica.is_some(),
            entry = settings.entry.is_some(), seeds = ?settings.seeds);
        Ok(Self { replica, ..process })
    }

    fn start_replica(&self) -> Result<Option<Rc<LocalReplica>>, StartError> {
        let settings = &self.settings;
        let (Some(data), Some(_)) = (&settings.data, settings.control) else { return Ok(None) };
        let own = settings.own_link_address();
        let listener = listen(settings.listen_address(own))?;
        let seeds = settings.seed_link_addresses();
        let is_founder = settings.first_start && seeds.contains(&own);
        let founders = if is_founder { seeds } else { Vec::new() };
        let folder = data.join(REPLICA_FOLDER);
        let (replica, reports) =
            match LocalReplica::open(&folder, own, &founders, Peers::new(&settings.data_centre)) {
                Err(ReplicaError::Storage(damage @ StorageError::Corrupt { .. })) => {
                    set_aside(&folder, &damage)?;
                    LocalReplica::open(&folder, own, &[], Peers::new(&settings.data_centre))?
                }
                opened => opened?,
            };
        let running = replica.clone();
        actix_rt::spawn(async move { running.run(reports).await });
        let leader = self.leader.clone();
        let traffic = Traffic::new(&settings.data_centre);
        let followers = Rc::new(Followers::new(traffic.clone()));
        let link_server = LinkServer {
            replica: replica.clone(),
            leader: leader.clone(),
            followers: followers.clone(),
            traffic: traffic.clone(),
        };
        actix_rt::spawn(traffic::report_periodically(traffic));
        actix_rt::spawn(Rc::new(link_server).run(listener));
        actix_rt::spawn(members::run_joins(
            replica.clone(),
            self.link.clone(),
            self.stopping.clone(),
        ));
        actix_rt::spawn(run_leadership(
            replica.clone(),
            leader,
            followers,
            settings.clone(),
            self.forwarder.clone(),
            self.runner.clone(),
            self.view.clone(),
        ));
        Ok(Some(replica))
    }

    fn start_control(&self) -> Result<(), StartError> {
        let Some(address) = self.settings.control else { return Ok(()) };
        let control = Rc::new(Control {
            link: self.link.clone(),
            view: self.view.clone(),
            own: address,
            heartbeats: RefCell::default(),
        });
        actix_rt::spawn(control.clone().report_periodically());
        let address = self.settings.listen_address(address);
        let server = Rc::new(Server::new(self.ingress.clone()));
        serve(server, address, move |request| control.clone().answer(request))
    }

    fn start_entry(&self) -> Result<(), StartError> {
        let Some(address) = self.settings.entry else { return Ok(()) };
        let address = self.settings.listen_address(address);
        let near = Some(self.settings.data_centre.clone());
        let near = near.filter(|_| self.settings.policy.near_reads).unwrap_or_default();
        let kept = if self.settings.policy.kept_results { entry::RECENT_RESULTS_BYTES } else { 0 };
        let usage = self
            .settings
            .usage_address()
            .map(|_| Usage::new(&self.settings.node, self.settings.windows(), self.view.clone()));
        if let Some(usage) = &usage {
            actix_rt::spawn(usage.clone().report_periodically(self.link.clone()));
        }
        let entry = Rc::new(Entry {
            link: self.link.clone(),
            view: self.view.clone(),
            forwarder: self.forwarder.clone(),
            started: clock::now(),
            timer: RunTimer::start(),
            result_cache: RefCell::new(ResultCache::new(kept)),
            usage,
            stale_key_policy: self.settings.stale_key_policy(),
            near_data_centre: near,
            reader: Rc::default(),
            ingress: self.ingress.clone(),
        });
        let early = entry.clone();
        self.server.set_early_reply(Rc::new(move |request| early.early_reply(request)));
        serve(self.server.clone(), address, move |request| entry.clone().answer(request))
    }

    /// Limits the bytes of replies that are read at the same time to a share of the memory.
    fn limit_reply_memory(&self) {
        if let Some(memory_mb) = self.settings.limits().memory_mb {
            reply_memory::set_limit(memory_mb as usize * 1_000_000 / REPLY_MEMORY_DIVISOR);
        }
    }

    fn start_overload_protection(&self) -> Option<Rc<OverloadProtection>> {
        let settings = &self.settings;
        let enabled = settings.policy.overload_protection && settings.entry.is_some();
        enabled.then(|| {
            let (view, link) = (self.view.clone(), self.link.clone());
            OverloadProtection::start(settings.limits(), &self.server, view, link)
        })
    }

    fn start_ready(&self, overload: Option<Rc<OverloadProtection>>) -> Result<(), StartError> {
        let Some(address) = self.settings.ready else { return Ok(()) };
        let address = self.settings.listen_address(address);
        let readiness = Rc::new(Readiness {
            view: self.view.clone(),
            link: self.link.clone(),
            stopping: self.stopping.clone(),
            overload,
        });
        self.serve_without_bodies(address, move |request| readiness.answer(request))
    }

    fn start_metrics(&self, replica: Option<Rc<LocalReplica>>) -> Result<(), StartError> {
        let Some(address) = self.settings.metrics else { return Ok(()) };
        let sources = Rc::new(metrics::Sources {
            link: self.link.clone(),
            replica,
            leader: self.leader.clone(),
        });
        let address = self.settings.listen_address(address);
        self.serve_without_bodies(address, move |request| metrics::answer(&sources, request))
    }

    /// Serves requests whose bodies are not read.
    fn serve_without_bodies<H>(&self, address: SocketAddr, handler: H) -> Result<(), StartError>
    where
        H: Fn(&Request) -> Reply + 'static,
    {
        let handler = Rc::new(handler);
        let server = Rc::new(Server::new(self.ingress.clone()));
        let early = handler.clone();
        server.set_early_reply(Rc::new(move |request| Some(early(request))));
        serve(server, address, move |request| {
            let reply = handler(&request);
            async move { reply }
        })
    }

    fn reload(&self, path: &Path, signalled: bool) {
        match settings::load(path) {
            Ok(new) => {
                self.link.set_seeds(new.seed_link_addresses());
                tracing::info!(event = "reloaded", signalled, seeds = ?new.seeds);
            }
            // The previous settings stay in force: a partially written file must not stop anything.
            Err(error) => tracing::warn!(event = "settings_unreadable", signalled, %error),
        }
    }

    async fn drain(&self) {
        let began = clock::now();
        let limit = self.settings.grace_ms.saturating_sub(KILL_MARGIN_MS);
        self.stopping.set(true);
        self.server.close();
        tracing::info!(event = "draining", in_progress = self.server.active_requests());
        self.leave(began, limit).await;
        if self.settings.entry.is_some() {
            loop {
                let ms = clock::now().since(began);
                let idle = self.server.active_requests() == 0 && ms >= MIN_DRAIN_MS;
                if idle || ms >= limit {
                    break;
                }
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
            // While requests ended, the replica may have been elected, or its seat become surplus.
            self.leave(began, limit).await;
        }
        let (ms, in_progress) = (clock::now().since(began), self.server.active_requests());
        tracing::info!(event = "stopped", ms, in_progress);
    }

    /// Gives up the leadership, and the replica's seat if the others do not need it, until `limit`
    /// milliseconds after the drain began.
    async fn leave(&self, began: Millis, limit: u64) {
        let Some(replica) = &self.replica else { return };
        let left = (began + limit).since(clock::now());
        members::leave(replica, &self.link, self.settings.tolerated as usize, left).await;
    }
}

/// Moves a damaged folder aside, so that this process continues like one that lost its disk: with a
/// new identity, and with the data of the others. Otherwise it would fail at each start until an
/// operator does just this.
fn set_aside(folder: &Path, damage: &StorageError) -> Result<(), StartError> {
    let aside = folder.with_extension("damaged");
    // The kind of damage comes before the text of the error, which is long and may be cut off.
    let (kind, offset) = match damage {
        StorageError::Corrupt { what, offset, .. } => (Some(*what), Some(*offset)),
        _ => (None, None),
    };
    tracing::error!(event = "folder_damaged", ?kind, offset, folder = %folder.display(), %damage);
    if aside.exists() {
        std::fs::remove_dir_all(&aside).map_err(StartError::SetAside)?;
    }
    std::fs::rename(folder, &aside).map_err(StartError::SetAside)
}

type StartedDepot = (Option<Rc<Worker>>, Option<oneshot::Receiver<DepotError>>);

/// Opens the depot of a VM that stores data and is not a replica.
fn start_depot(settings: &Settings) -> Result<StartedDepot, StartError> {
    let (Some(data), None) = (&settings.data, settings.control) else { return Ok((None, None)) };
    let folder = data.join(DEPOT_FOLDER);
    let depot = match Depot::open(&folder, Disk::default()) {
        Err(DepotError::Storage(damage @ StorageError::Corrupt { .. })) => {
            set_aside(&folder, &damage)?;
            Depot::open(&folder, Disk::default())?
        }
        opened => opened?,
    };
    let (failed, failure) = oneshot::channel();
    let worker = Worker::start(depot, move |error| {
        // The process may be exiting already.
        let _ = failed.send(error);
    });
    Ok((Some(Rc::new(worker.map_err(StartError::Thread)?)), Some(failure)))
}

fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, StartError> {
    socket::listen(address).map_err(|error| StartError::Listen(address, error))
}

fn serve<H, F>(server: Rc<Server>, address: SocketAddr, handler: H) -> Result<(), StartError>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let listener = listen(address)?;
    actix_rt::spawn(async move { server.serve(listener, handler).await });
    Ok(())
}

/// Starts a leader whenever this process is elected, and stops it when the leadership ends.
async fn run_leadership(
    replica: Rc<LocalReplica>,
    slot: Rc<RefCell<Option<Rc<Leader>>>>,
    followers: Rc<Followers>,
    settings: Rc<Settings>,
    forwarder: Rc<Forwarder>,
    runner: Rc<Runner>,
    view: Rc<View>,
) {
    let mut leading = replica.leading();
    loop {
        let epoch = *leading.borrow_and_update();
        let before = slot.borrow_mut().take();
        if let Some(before) = before {
            before.stop();
        }
        if let Some(epoch) = epoch {
            let context = Context {
                replica: replica.clone(),
                followers: followers.clone(),
                settings: settings.clone(),
                forwarder: forwarder.clone(),
                runner: runner.clone(),
            };
            *slot.borrow_mut() = Some(Leader::start(context, epoch, &view));
        }
        if leading.changed().await.is_err() {
            return;
        }
    }
}
