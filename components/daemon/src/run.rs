//! Runs a process from its start to its graceful shutdown.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use chicoryford_ingress::Limits;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Metrics;
use chicoryford_kernel::Phase;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::metrics::MetricsError;
use chicoryford_settings::Settings;
use chicoryford_wire::Caller;
use chicoryford_wire::Keys;
use chicoryford_wire::PROGRESS;
use chicoryford_wire::Progress;
use chicoryford_wire::Routes;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::keys::KeyError;
use chicoryford_wire::keys::read_token;
use chicoryford_wire::paths;
use chicoryford_wire::server;
use chicoryford_wire::server::Bounds;
use chicoryford_wire::server::ServeError;
use chicoryford_wire::tls;
use chicoryford_wire::tls::TlsError;
use thiserror::Error;

use crate::roles;
use crate::signals::StopSignals;
use crate::status;

/// Paths of the requests that a graceful shutdown waits for.
const DRAINED_PATHS: &[&str] = &[
    paths::CHAT,
    paths::COMPLETIONS,
    paths::SERVICES,
    paths::STEP_OPEN,
    paths::STEP_PULL,
    paths::STEP_ACK,
    paths::PUBLISH,
    paths::OPERATE,
    paths::PROPOSE,
    paths::WORK,
];
const BYTES_PER_MB: u64 = 1_000_000;
/// Interval at which the key file is checked for changes.
const KEYS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a shutdown checks for unfinished requests and running duties.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the last bytes of responses are sent after their requests are done.
const FLUSH_DELAY: Duration = Duration::from_millis(200);
/// Time within which duties must end.
const DUTIES_TIMEOUT: Duration = Duration::from_secs(2);
/// Further time within which the membership duty must end.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a process could not start, or that one of its duties panicked.
#[derive(Debug, Error)]
pub enum RunError {
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A key or token file could not be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// TLS could not be set up.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The HTTP server could not be started.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
    /// The data folder could not be created.
    #[error("cannot create the data folder {}", .0.display())]
    Data(PathBuf, #[source] std::io::Error),
    /// The handlers of the stop signals could not be installed.
    #[error("cannot install the handlers of the stop signals")]
    Signals(#[source] std::io::Error),
    /// A role could not start.
    #[error("the {0} role cannot start")]
    Role(&'static str, #[source] Box<dyn std::error::Error + Send + Sync>),
    /// A duty panicked; the log names it.
    #[error("a duty panicked; the log names it")]
    DutyPanicked,
}

/// Runs a process until it is asked to stop and has no requests in progress, or the grace period
/// is over.
///
/// # Errors
///
/// Returns a [`RunError`] if the process cannot start or a duty panics.
pub fn run(settings: Settings) -> Result<(), RunError> {
    actix_rt::System::new().block_on(run_process(settings))
}

async fn run_process(mut settings: Settings) -> Result<(), RunError> {
    let mut signals = StopSignals::new().map_err(RunError::Signals)?;
    let keys = Arc::new(Keys::load(&settings.keys)?);
    let caller = caller(&settings)?;
    let tls = settings.tls.as_ref().map(|t| tls::server(&t.certificate, &t.key)).transpose()?;
    create_data_folder(&settings)?;

    let listener = server::listen(settings.listen)?;
    settings.listen = listener.local_addr().map_err(ServeError::Start)?;
    let settings = Arc::new(settings);

    let kernel = Kernel::new(Metrics::new(settings.metrics)?);
    let progress = Progress::default();
    kernel.registry.offer(CALLER, caller);
    kernel.registry.offer(PROGRESS, progress.clone());
    status::dump(&kernel, &settings, &progress);
    refresh_keys(&kernel, keys.clone())?;
    let membership = roles::start(&kernel, &settings)?;

    let (route_kernel, route_settings, route_progress) =
        (kernel.clone(), settings.clone(), progress.clone());
    let routes = move || all_routes(&route_kernel, &route_settings, &route_progress);
    let running = server::serve_on(listener, &bounds(&settings), keys, tls, routes)?;
    tracing::info!(event = "ready", node = %settings.node, address = %running.address);

    let signal = tokio::select! {
        signal = signals.next() => Some(signal),
        () = kernel.phases.reached(Phase::Stopping) => None,
    };
    if let Some(signal) = signal {
        tracing::info!(event = "draining", signal, in_progress = progress.count());
        kernel.phases.advance(Phase::Draining);
        drain(&progress, Duration::from_millis(settings.grace_ms)).await;
    }
    kernel.phases.advance(Phase::Stopping);
    actix_rt::time::sleep(FLUSH_DELAY).await;
    running.handle.stop(true).await;
    wait_for_duties(&kernel).await;
    join_membership(membership).await;
    tracing::info!(event = "stopped", node = %settings.node);
    signal.map(|_| ()).ok_or(RunError::DutyPanicked)
}

fn caller(settings: &Settings) -> Result<Caller, RunError> {
    let token = Some(read_token(&settings.token)?);
    let tls = settings.tls.as_ref().map(|t| tls::client(&t.roots)).transpose()?;
    Ok(Caller { token, tls })
}

fn create_data_folder(settings: &Settings) -> Result<(), RunError> {
    let Some(folder) = &settings.data else { return Ok(()) };
    std::fs::create_dir_all(folder).map_err(|e| RunError::Data(folder.clone(), e))
}

fn bounds(settings: &Settings) -> Bounds {
    let configured = &settings.bounds;
    Bounds {
        body: configured.body,
        connections: configured.connections,
        read: Duration::from_millis(configured.read_ms),
        workers: configured.workers,
        clients: Limits {
            memory_bytes: Some(configured.memory_mb * BYTES_PER_MB),
            ..Limits::default()
        },
        ..Bounds::default()
    }
}

fn all_routes(kernel: &Kernel, settings: &Arc<Settings>, progress: &Progress) -> Routes {
    let mut routes = Routes::default();
    routes.count(DRAINED_PATHS, progress.clone());
    status::routes(&mut routes, kernel, settings, progress);
    // `roles::start` has already built the same routes once, so no service is missing here.
    if let Err(error) = roles::routes(&mut routes, kernel, settings) {
        tracing::error!(event = "routes_missing", %error);
    }
    routes
}

/// Starts the duty that reads the key file again when it has changed, so that tokens rotate without
/// a restart.
fn refresh_keys(kernel: &Kernel, keys: Arc<Keys>) -> Result<(), RunError> {
    kernel.duty("keys", move |kernel| async move {
        while kernel.phases.now() < Phase::Stopping {
            match keys.refresh() {
                Ok(true) => tracing::info!(event = "keys_read"),
                Ok(false) => {}
                // The keys read before stay valid, so that a half-written file locks nobody out.
                Err(error) => tracing::warn!(event = "keys_unreadable", %error),
            }
            let stop = kernel.phases.reached(Phase::Stopping);
            let _ = actix_rt::time::timeout(KEYS_REFRESH_INTERVAL, stop).await;
        }
    })?;
    Ok(())
}

/// Waits until no request is in progress, for `grace` at most.
async fn drain(progress: &Progress, grace: Duration) {
    let started = std::time::Instant::now();
    while progress.count() > 0 && started.elapsed() < grace {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let left = progress.count();
    if left > 0 {
        tracing::warn!(event = "grace_over", in_progress = left);
    }
}

/// Waits until all duties have ended, for [`DUTIES_TIMEOUT`] at most.
async fn wait_for_duties(kernel: &Kernel) {
    let started = std::time::Instant::now();
    while !kernel.duties.running().is_empty() && started.elapsed() < DUTIES_TIMEOUT {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Waits for the end of the membership duty, which announces to the other processes that this one
/// leaves.
///
/// If the process ended earlier, the others would treat it as crashed: they would suspect it for
/// seconds and continue to send it work, and the log would show deaths at planned stops. The wait
/// is bounded, because a thread that hangs must not keep a supervisor from a restart.
async fn join_membership(membership: JoinHandle<()>) {
    let joined = actix_rt::task::spawn_blocking(move || membership.join().is_ok());
    match actix_rt::time::timeout(MEMBERSHIP_TIMEOUT, joined).await {
        Ok(Ok(true)) => {}
        _ => tracing::warn!(event = "farewell_untold"),
    }
}
