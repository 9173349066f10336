//! Health, readiness and the state dump of a process.

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

const READERS: &[Kind] = &[Kind::Operator, Kind::Process];

/// What the balancer and operators see of a process at a glance.
#[derive(Clone, Debug, Serialize)]
pub struct Readiness {
    /// Whether the process takes new work.
    pub ready: bool,
    /// Requests in progress.
    pub in_progress: usize,
}

/// Adds the routes that every process has.
///
/// Health and readiness are open to all, because balancers send no token; they tell nothing but
/// a state and a count.
pub fn routes(routes: &mut Routes, kernel: &Kernel, settings: &Arc<Settings>, progress: &Progress) {
    routes.add(paths::HEALTH, &[], |_| async { reply::json(200, "alive") });
    let (own, named, counted) = (kernel.clone(), settings.clone(), progress.clone());
    routes.add(paths::READY, &[], move |_| {
        let answer = readiness(&own, &named, &counted);
        async move { answer }
    });
    let own = kernel.clone();
    routes.add(paths::DUMP, READERS, move |_| {
        let own = own.clone();
        async move { reply::json(200, &own.dumps.take().await) }
    });
}

fn readiness(kernel: &Kernel, settings: &Settings, progress: &Progress) -> Reply {
    let ready = kernel.phases.now() == Phase::Running && !stops_here(kernel, settings);
    if !ready {
        let detail = "the process is leaving and takes no new work";
        return reply::failure(&Failure::not_run(Code::Draining, detail));
    }
    reply::json(200, &Readiness { ready, in_progress: progress.count() })
}

/// Tells whether a planned stop in force names this process or its data centre.
fn stops_here(kernel: &Kernel, settings: &Settings) -> bool {
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

/// Adds the process's own part of the dump. Settings name files with secrets, never secrets.
pub fn dump(kernel: &Kernel, settings: &Arc<Settings>, progress: &Progress) {
    let (phases, named, counted) = (kernel.phases.clone(), settings.clone(), progress.clone());
    let duties = kernel.duties.clone();
    let started = chicoryford_kernel::unix();
    kernel.dumps.add("process", move || {
        let part = serde_json::json!({
            "settings": &*named,
            "phase": format!("{:?}", phases.now()),
            "in_progress": counted.count(),
            "duties": duties.running(),
            "started_unix_ms": started,
        });
        async move { part }
    });
}
