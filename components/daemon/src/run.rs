//! The life of a process, from its settings to its graceful end.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

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

/// Requests whose answers a graceful shutdown waits for.
const WORK: &[&str] = &[
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
const REFRESH: Duration = Duration::from_secs(1);
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// How long the last bytes of answers may take to leave after their requests are done.
const FLUSH: Duration = Duration::from_millis(200);
/// How long duties may take to end.
const DUTIES_END: Duration = Duration::from_secs(2);
/// How long the membership duty may take beyond that.
const FAREWELL: Duration = Duration::from_secs(3);

/// A process could not start, or ended by a fault of its own.
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
    /// The data folder could not be made.
    #[error("cannot make the data folder {}", .0.display())]
    Data(PathBuf, #[source] std::io::Error),
    /// Signals could not be taken over.
    #[error("cannot take over the stop signals")]
    Signals(#[source] std::io::Error),
    /// A role could not start.
    #[error("the {0} role cannot start")]
    Role(&'static str, #[source] Box<dyn std::error::Error + Send + Sync>),
    /// A duty panicked; the log says which.
    #[error("a duty ended by a fault of the system itself")]
    Fault,
}

/// Runs a process until it is asked to stop and has nothing in progress.
///
/// # Errors
///
/// [`RunError`] if it cannot start, or a duty panicked.
pub fn run(settings: Settings) -> Result<(), RunError> {
    actix_rt::System::new().block_on(live(settings))
}

async fn live(mut settings: Settings) -> Result<(), RunError> {
    let mut signals = StopSignals::new().map_err(RunError::Signals)?;
    let keys = Arc::new(Keys::load(&settings.keys)?);
    let caller = caller(&settings)?;
    let tls = settings.tls.as_ref().map(|t| tls::server(&t.certificate, &t.key)).transpose()?;
    make_data(&settings)?;

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

    let (own, named, counted) = (kernel.clone(), settings.clone(), progress.clone());
    let routes = move || all_routes(&own, &named, &counted);
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
    actix_rt::time::sleep(FLUSH).await;
    running.handle.stop(true).await;
    end_duties(&kernel).await;
    join(membership).await;
    tracing::info!(event = "stopped", node = %settings.node);
    signal.map(|_| ()).ok_or(RunError::Fault)
}

fn caller(settings: &Settings) -> Result<Caller, RunError> {
    let token = Some(read_token(&settings.token)?);
    let tls = settings.tls.as_ref().map(|t| tls::client(&t.roots)).transpose()?;
    Ok(Caller { token, tls })
}

fn make_data(settings: &Settings) -> Result<(), RunError> {
    let Some(data) = &settings.data else { return Ok(()) };
    std::fs::create_dir_all(data).map_err(|e| RunError::Data(data.clone(), e))
}

fn bounds(settings: &Settings) -> Bounds {
    let given = &settings.bounds;
    Bounds {
        body: given.body,
        connections: given.connections,
        read: Duration::from_millis(given.read_ms),
        workers: given.workers,
        ..Bounds::default()
    }
}

fn all_routes(kernel: &Kernel, settings: &Arc<Settings>, progress: &Progress) -> Routes {
    let mut routes = Routes::default();
    routes.count(WORK, progress.clone());
    status::routes(&mut routes, kernel, settings, progress);
    // `roles::start` has built the routes once already, so none of them is missing here.
    if let Err(error) = roles::routes(&mut routes, kernel, settings) {
        tracing::error!(event = "routes_missing", %error);
    }
    routes
}

/// Reads the key file again when it has changed, so that tokens rotate without a restart.
fn refresh_keys(kernel: &Kernel, keys: Arc<Keys>) -> Result<(), RunError> {
    kernel.duty("keys", move |kernel| async move {
        while kernel.phases.now() < Phase::Stopping {
            match keys.refresh() {
                Ok(true) => tracing::info!(event = "keys_read"),
                Ok(false) => {}
                // The keys read before stay in force: a half-written file must lock nobody out.
                Err(error) => tracing::warn!(event = "keys_unreadable", %error),
            }
            let stop = kernel.phases.reached(Phase::Stopping);
            let _ = actix_rt::time::timeout(REFRESH, stop).await;
        }
    })?;
    Ok(())
}

async fn drain(progress: &Progress, grace: Duration) {
    let begun = std::time::Instant::now();
    while progress.count() > 0 && begun.elapsed() < grace {
        actix_rt::time::sleep(DRAIN_LOOK).await;
    }
    let left = progress.count();
    if left > 0 {
        tracing::warn!(event = "grace_over", in_progress = left);
    }
}

async fn end_duties(kernel: &Kernel) {
    let begun = std::time::Instant::now();
    while !kernel.duties.running().is_empty() && begun.elapsed() < DUTIES_END {
        actix_rt::time::sleep(DRAIN_LOOK).await;
    }
}

/// Waits for the end of the membership duty, which tells the others that this process leaves.
///
/// If the process ended before, the others would take it for one that crashed: they would suspect
/// it for seconds and go on sending it work, and the log would show deaths at planned stops. The
/// wait is bounded, because a thread that hangs must not keep a supervisor from a restart.
async fn join(membership: JoinHandle<()>) {
    let joined = actix_rt::task::spawn_blocking(move || membership.join().is_ok());
    match actix_rt::time::timeout(FAREWELL, joined).await {
        Ok(Ok(true)) => {}
        _ => tracing::warn!(event = "farewell_untold"),
    }
}
