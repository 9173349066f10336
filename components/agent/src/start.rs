//! Starts the role's duties.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use chicoryford_config::Handle as Configuration;
use chicoryford_config::Proposer;
use chicoryford_config::proposer::PROPOSER;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::registry::MissingService;
use chicoryford_kernel::ring;
use chicoryford_membership::Handle as Members;
use chicoryford_settings::AgentSettings;
use chicoryford_settings::Settings;
use chicoryford_state::claims::CLAIM_WINDOW_MS;
use chicoryford_state::claims::MAX_KEY_CLOCK_SKEW_MS;
use chicoryford_types::Incarnation;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::PROGRESS;
use chicoryford_wire::Progress;
use chicoryford_wire::client::CALLER;
use serde_json::json;
use thiserror::Error;
use tokio::sync::watch;

use crate::fence::Fence;
use crate::gate::GateSettings;
use crate::gate::GateStats;
use crate::gate_duty;
use crate::handle::DrainReasons;
use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::health::HealthTracker;
use crate::monitor::Monitor;
use crate::orders::OrderDuty;
use crate::run::Context;

/// Messages that may wait for the gate duty; while this many wait, new work is refused.
const GATE_QUEUE_LENGTH: usize = 4_096;
/// Orders that may wait; there is one leader, which sends one order at a time.
const ORDER_QUEUE_LENGTH: usize = 16;
const CHECK_QUEUE_LENGTH: usize = 1;

/// The agent role could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// A service that the role needs has not been started.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// A thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// Starts the duties and registers [`Handle`]. Membership, configuration, the proposer and the
/// caller must be registered before.
///
/// # Errors
///
/// [`StartError`] if a service is missing or a thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), StartError> {
    let agent = settings.agent.clone().unwrap_or_default();
    let members = kernel.registry.find::<Members>(chicoryford_membership::SERVICE)?;
    let config = kernel.registry.find::<Configuration>(chicoryford_config::SERVICE)?;
    let proposer = kernel.registry.find::<Proposer>(PROPOSER)?;
    let caller = kernel.registry.find::<Caller>(CALLER)?;

    let (gate, gate_inbox) = ring(GATE_QUEUE_LENGTH);
    let (orders, orders_inbox) = ring(ORDER_QUEUE_LENGTH);
    let (check_now, check_requests) = ring(CHECK_QUEUE_LENGTH);
    let (report, reports) = watch::channel((Millis::default(), LoadReport::default()));
    let (stats, gate_stats) = watch::channel(GateStats::default());
    let (healthy, health_seen) = watch::channel(true);
    let incarnation = members.own().incarnation;
    let handle = Handle {
        gate,
        orders,
        check_now,
        report: reports,
        gate_stats,
        healthy: health_seen,
        loading_weights: Arc::default(),
        drain_reasons: Arc::new(DrainReasons::default()),
        incarnation,
    };
    let fence = Arc::new(Mutex::new(Fence::new(incarnation)));
    let health = Arc::new(Mutex::new(HealthTracker::default()));
    add_dump(kernel, &agent, &handle, &fence, &health);
    kernel.registry.offer(SERVICE, handle.clone());

    let gate_settings = gate_settings(&agent, incarnation);
    kernel.duty("agent-gate", move |kernel| {
        gate_duty::run(kernel, gate_settings, gate_inbox, stats)
    })?;

    let (order_handle, order_members) = (handle.clone(), members.clone());
    let (order_fence, address) = (fence.clone(), agent.address.clone());
    kernel.duty("agent-orders", move |kernel| async move {
        let duty = OrderDuty {
            fence: order_fence,
            handle: order_handle,
            members: order_members,
            peers: caller.client(),
            engine: Client::new(None, None).fresh(),
            address,
        };
        duty.run(kernel.phases, orders_inbox).await;
    })?;

    let settings = Arc::new(settings.clone());
    kernel.duty("agent-watch", move |kernel| async move {
        let monitor = Monitor {
            kernel,
            settings,
            handle,
            members,
            config,
            proposer,
            health,
            fence,
            report,
            healthy,
        };
        monitor.run(check_requests).await;
    })?;
    Ok(())
}

fn gate_settings(agent: &AgentSettings, incarnation: Incarnation) -> GateSettings {
    GateSettings {
        slots: agent.slots as usize,
        queue_length: agent.waiting as usize,
        incarnation,
        // A key that the control processes still accept must not be refused here because this
        // clock runs a little ahead of theirs.
        key_validity_ms: CLAIM_WINDOW_MS + MAX_KEY_CLOCK_SKEW_MS,
        max_skew_ms: 2 * MAX_KEY_CLOCK_SKEW_MS,
        ..GateSettings::default()
    }
}

fn add_dump(
    kernel: &Kernel,
    agent: &AgentSettings,
    handle: &Handle,
    fence: &Arc<Mutex<Fence>>,
    health: &Arc<Mutex<HealthTracker>>,
) {
    let (agent, handle) = (agent.clone(), handle.clone());
    let (fence, health) = (fence.clone(), health.clone());
    kernel.dumps.add("agent", move || {
        let fence = fence.lock().expect("nothing panics while it holds this lock").clone();
        let health = health.lock().expect("nothing panics while it holds this lock").clone();
        let part = json!({
            "endpoint": agent.endpoint,
            "address": agent.address,
            "incarnation": handle.incarnation,
            "gate": *handle.gate_stats.borrow(),
            "fence": fence,
            "pulse": health,
            "load": handle.report.borrow().1.clone(),
            "draining": handle.drain_reasons.any(),
        });
        async move { part }
    });
}

/// Creates the context that the attempts of one HTTP thread share.
pub(crate) fn context(kernel: &Kernel, settings: &Settings) -> Result<Context, MissingService> {
    let handle = kernel.registry.find::<Handle>(SERVICE)?;
    let client = Client::new(None, None);
    Ok(Context {
        handle: Handle::clone(&handle),
        settings: Rc::new(settings.agent.clone().unwrap_or_default()),
        fresh: client.fresh(),
        client,
        progress: kernel.registry.find::<Progress>(PROGRESS).ok(),
        kernel: kernel.clone(),
    })
}

/// A chunk of a streamed response.
pub(crate) type Chunk = Result<Bytes, Infallible>;
