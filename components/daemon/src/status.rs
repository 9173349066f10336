//! The health, readiness and state dump routes of a process.

use std::sync::Arc;

use chicoryford_config::Handle as Configs;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_settings::Settings;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::config::Stop;
use chicoryford_types::config::StopTarget;
use chicoryford_wire::Kind;
use chicoryford_wire::Progress;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::paths;
use chicoryford_wire::reply;
use serde::Serialize;

/// The kinds of tokens that may read the dump.
const DUMP_READERS: &[Kind] = &[Kind::Operator, Kind::Process];

/// The readiness of a process, for load balancers and operators.
#[derive(Clone, Debug, Serialize)]
pub struct Readiness {
    /// Whether the process accepts new work.
    pub ready: bool,
    /// Requests in progress.
    pub in_progress: usize,
}

/// Adds the health, readiness and dump routes that every process serves.
///
/// Health and readiness need no token, because load balancers send none. They disclose only a state
/// and a count.
pub fn routes(routes: &mut Routes, kernel: &Kernel, settings: &Arc<Settings>, progress: &Progress) {
    routes.add_check(paths::HEALTH, |_| async { reply::json(200, "alive") });
    let (ready_kernel, settings, progress) = (kernel.clone(), settings.clone(), progress.clone());
    routes.add_check(paths::READY, move |_| {
        let answer = readiness(&ready_kernel, &settings, &progress);
        async move { answer }
    });
    let kernel = kernel.clone();
    routes.add(paths::DUMP, DUMP_READERS, move |_| {
        let kernel = kernel.clone();
        async move { reply::json(200, &kernel.dumps.take().await) }
    });
}

fn readiness(kernel: &Kernel, settings: &Settings, progress: &Progress) -> Reply {
    let ready = kernel.phases.now() == Phase::Running && !has_planned_stop(kernel, settings);
    if !ready {
        let detail = "the process is shutting down and accepts no new work";
        return reply::failure(&Failure::not_run(Code::Draining, detail));
    }
    reply::json(200, &Readiness { ready, in_progress: progress.count() })
}

/// Returns whether a planned stop that is in force names this process or its data centre.
fn has_planned_stop(kernel: &Kernel, settings: &Settings) -> bool {
    let Ok(configs) = kernel.registry.find::<Configs>(chicoryford_config::SERVICE) else {
        return false;
    };
    configs.current().stops.values().any(|stop| targets(stop, settings))
}

fn targets(stop: &Stop, settings: &Settings) -> bool {
    match &stop.target {
        StopTarget::Node(node) => *node == settings.node,
        StopTarget::DataCentre(name) => *name == settings.data_centre,
        StopTarget::Endpoint(_) => false,
    }
}

/// Adds the `process` part of the dump. Its settings contain the paths of files with secrets, but
/// no secrets.
pub fn dump(kernel: &Kernel, settings: &Arc<Settings>, progress: &Progress) {
    let (phases, settings, progress) = (kernel.phases.clone(), settings.clone(), progress.clone());
    let duties = kernel.duties.clone();
    let started = chicoryford_kernel::unix();
    kernel.dumps.add("process", move || {
        let part = serde_json::json!({
            "settings": &*settings,
            "phase": format!("{:?}", phases.now()),
            "in_progress": progress.count(),
            "duties": duties.running(),
            "started_unix_ms": started,
        });
        async move { part }
    });
}
