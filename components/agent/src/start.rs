//! Starts the role's duties and adds its paths.

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
use crate::gate::Figures;
use crate::gate::GateSettings;
use crate::gatekeeper;
use crate::handle::Drains;
use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::orders::Orders;
use crate::pulse::Pulse;
use crate::run::Context;
use crate::watch::Watch;

/// Messages that may wait for the gate's duty; past it new work is refused.
const GATE_RING: usize = 4_096;
/// Orders that may wait; there is one leader, which sends one at a time.
const ORDER_RING: usize = 16;
const LOOK_RING: usize = 1;

/// The agent role could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// A service that the role needs was not started before it.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// A thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// Starts the duties and offers [`Handle`]. Membership, configuration and the caller must have
/// been offered before.
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

    let (gate, gate_inbox) = ring(GATE_RING);
    let (orders, orders_inbox) = ring(ORDER_RING);
    let (look, look_inbox) = ring(LOOK_RING);
    let (report, reports) = watch::channel((Millis::default(), LoadReport::default()));
    let (figures, figures_seen) = watch::channel(Figures::default());
    let (healthy, health_seen) = watch::channel(true);
    let incarnation = members.own().incarnation;
    let handle = Handle {
        gate,
        orders,
        look,
        report: reports,
        figures: figures_seen,
        healthy: health_seen,
        swapping: Arc::default(),
        drains: Arc::new(Drains::default()),
        incarnation,
    };
    let fence = Arc::new(Mutex::new(Fence::new(incarnation)));
    let pulse = Arc::new(Mutex::new(Pulse::default()));
    add_dump(kernel, &agent, &handle, &fence, &pulse);
    kernel.registry.offer(SERVICE, handle.clone());

    let gate_settings = gate_settings(&agent, incarnation);
    kernel.duty("agent-gate", move |kernel| {
        gatekeeper::run(kernel, gate_settings, gate_inbox, figures)
    })?;

    let (ordering, known) = (handle.clone(), members.clone());
    let (order_fence, address) = (fence.clone(), agent.address.clone());
    kernel.duty("agent-orders", move |kernel| async move {
        let orders = Orders {
            fence: order_fence,
            handle: ordering,
            members: known,
            peers: caller.client(),
            engine: Client::new(None, None).fresh(),
            address,
        };
        orders.run(kernel.phases, orders_inbox).await;
    })?;

    let settings = Arc::new(settings.clone());
    kernel.duty("agent-watch", move |kernel| async move {
        let watch = Watch {
            kernel,
            settings,
            handle,
            members,
            config,
            proposer,
            pulse,
            fence,
            report,
            healthy,
        };
        watch.run(look_inbox).await;
    })?;
    Ok(())
}

fn gate_settings(agent: &AgentSettings, incarnation: Incarnation) -> GateSettings {
    GateSettings {
        slots: agent.slots as usize,
        waiting: agent.waiting as usize,
        incarnation,
        // A key that the control processes still take must not be refused here for a clock that
        // runs a little ahead of theirs.
        key_ms: CLAIM_WINDOW_MS + MAX_KEY_CLOCK_SKEW_MS,
        skew_ms: 2 * MAX_KEY_CLOCK_SKEW_MS,
        ..GateSettings::default()
    }
}

fn add_dump(
    kernel: &Kernel,
    agent: &AgentSettings,
    handle: &Handle,
    fence: &Arc<Mutex<Fence>>,
    pulse: &Arc<Mutex<Pulse>>,
) {
    let (agent, handle) = (agent.clone(), handle.clone());
    let (fence, pulse) = (fence.clone(), pulse.clone());
    kernel.dumps.add("agent", move || {
        let fence = fence.lock().expect("nothing panics while it holds this lock").clone();
        let pulse = pulse.lock().expect("nothing panics while it holds this lock").clone();
        let part = json!({
            "endpoint": agent.endpoint,
            "address": agent.address,
            "incarnation": handle.incarnation,
            "gate": *handle.figures.borrow(),
            "fence": fence,
            "pulse": pulse,
            "load": handle.report.borrow().1.clone(),
            "draining": handle.drains.any(),
        });
        async move { part }
    });
}

/// Makes what the attempts of one HTTP thread share.
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

/// A chunk of a streamed answer.
pub(crate) type Chunk = Result<Bytes, Infallible>;
