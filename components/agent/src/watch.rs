//! The watch duty: looks at the endpoint, announces it, reports its load, notices its crashes,
//! and notices that it is to leave.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_config::Handle as Configuration;
use chicoryford_config::ProposerClient;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_membership::Handle as Members;
use chicoryford_settings::Settings;
use chicoryford_state::Command;
use chicoryford_types::Config;
use chicoryford_types::EndpointInfo;
use chicoryford_types::EndpointKind;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Version;
use chicoryford_types::config::StopTarget;
use chicoryford_wire::Client;
use tokio::sync::watch;

use crate::engine;
use crate::engine::EngineError;
use crate::engine::Health;
use crate::engine::Load;
use crate::fence::Fence;
use crate::handle::Handle;
use crate::handle::ToGate;
use crate::pulse::Look;
use crate::pulse::Pulse;
use crate::service;

/// Time until the next look after one that failed, to tell a blip from a crash soon.
const DOUBT: Duration = Duration::from_millis(100);
/// Time in which a crash must be told to the control processes.
const TELL: Duration = Duration::from_secs(10);
/// Tries to tell a crash. Without a majority for longer, the blame is lost, and the next crash
/// of the same content has to tell again.
const TELL_TRIES: u32 = 30;

/// What the duty holds.
pub struct Watch {
    /// The process.
    pub kernel: Kernel,
    /// The settings of the process.
    pub settings: Arc<Settings>,
    /// The way to the other duties.
    pub handle: Handle,
    /// Where the endpoint is announced.
    pub members: Arc<Members>,
    /// Accepted configuration, which holds planned stops.
    pub config: Arc<Configuration>,
    /// Makes the client that tells crashes.
    pub proposer: Arc<chicoryford_config::Proposer>,
    /// What the looks showed, shared with the dump.
    pub pulse: Arc<Mutex<Pulse>>,
    /// The fence, which learns the epoch of accepted configuration.
    pub fence: Arc<Mutex<Fence>>,
    /// Where load reports go.
    pub report: watch::Sender<(Millis, LoadReport)>,
    /// Where health goes.
    pub healthy: watch::Sender<bool>,
}

impl Watch {
    /// Looks at the endpoint until the process stops.
    pub async fn run(self, mut wanted: Receiver<()>) {
        let client = Client::new(None, None).fresh();
        let mut config = self.config.watch();
        let period =
            Duration::from_millis(self.settings.agent.clone().unwrap_or_default().report_ms);
        while self.kernel.phases.now() < Phase::Stopping {
            self.leave_if_told(&config.borrow_and_update().clone()).await;
            self.look(&client).await;
            let pause = if self.pulse().doubts() { DOUBT } else { period };
            let stopping = self.kernel.phases.now() >= Phase::Draining;
            tokio::select! {
                () = actix_rt::time::sleep(pause) => {}
                Some(()) = wanted.next() => {}
                Ok(()) = config.changed() => {}
                () = self.kernel.phases.reached(Phase::Draining), if !stopping => {}
                () = self.kernel.phases.reached(Phase::Stopping) => {}
            }
        }
    }

    fn pulse(&self) -> std::sync::MutexGuard<'_, Pulse> {
        self.pulse.lock().expect("nothing panics while it holds this lock")
    }

    async fn look(&self, client: &Client) {
        let begun = self.kernel.now();
        let agent = self.settings.agent.clone().unwrap_or_default();
        let (look, health) = match agent.kind {
            EndpointKind::Engine => look_at_engine(client, &agent.address).await,
            EndpointKind::Service => look_at_service(client, &agent.address).await,
        };
        let found = self.pulse().take(look);
        if found.alive {
            self.tell(ToGate::NotCrashed(begun)).await;
        }
        if found.crashed {
            self.crashed().await;
        }
        if self.healthy.send_replace(found.healthy) != found.healthy {
            tracing::info!(event = "endpoint_health", endpoint = %agent.endpoint, healthy = found.healthy);
            self.tell(ToGate::Health(found.healthy)).await;
        }
        let load = match agent.kind {
            EndpointKind::Engine => engine::load(client, &agent.address).await.ok(),
            EndpointKind::Service => None,
        };
        self.announce(health.as_ref(), found.healthy);
        self.report(load, health);
    }

    async fn tell(&self, message: ToGate) {
        if self.handle.gate.send(message).await.is_err() {
            tracing::warn!(event = "gate_gone");
        }
    }

    /// Announces the endpoint; what did not change does not spread. The versions are those that
    /// the engine itself reports, never those that were ordered.
    fn announce(&self, health: Option<&Health>, healthy: bool) {
        let agent = self.settings.agent.clone().unwrap_or_default();
        let draining = self.handle.drains.any();
        self.members.announce(|own| {
            let EndpointInfo { models: before, gives, .. } =
                own.endpoint.take().unwrap_or_default();
            let gives = health.map_or(gives, |health| health.gives.clone());
            let models = match (agent.kind, health) {
                (EndpointKind::Engine, Some(health)) => {
                    let mut models = health.models.clone();
                    models.retain(|name, _| agent.models.is_empty() || agent.models.contains(name));
                    models
                }
                (EndpointKind::Engine, None) => before,
                (EndpointKind::Service, _) => {
                    agent.models.iter().map(|model| (model.clone(), Version(0))).collect()
                }
            };
            own.roles.agent = true;
            own.endpoint = Some(EndpointInfo {
                name: agent.endpoint.clone(),
                kind: agent.kind,
                models,
                slots: agent.slots,
                draining,
                healthy,
                gives,
            });
        });
    }

    fn report(&self, load: Option<Load>, health: Option<Health>) {
        let figures = *self.handle.figures.borrow();
        let load = load.unwrap_or_else(|| Load {
            running: figures.running as u32,
            versions: health.map(|health| health.models).unwrap_or_default(),
            ..Load::default()
        });
        let name = self.settings.agent.clone().unwrap_or_default().endpoint;
        let now = self.kernel.now();
        self.report.send_modify(|(at, report)| {
            *at = now;
            *report = LoadReport {
                name,
                seq: report.seq + 1,
                age_ms: load.age_ms,
                running: load.running,
                waiting: load.waiting + figures.waiting as u32,
                rate: load.rate,
                memory: load.memory,
                prefill: load.prefill,
                link: load.link,
                cached: load.cached,
                evicted: load.evicted,
                versions: load.versions,
            };
        });
    }

    async fn crashed(&self) {
        let blamed = self.handle.ask(ToGate::Crashed).await.unwrap_or_default();
        let crash = self.pulse().crashes();
        let endpoint = self.settings.agent.clone().unwrap_or_default().endpoint;
        tracing::warn!(event = "endpoint_crashed", %endpoint, crash, blamed = blamed.len());
        self.kernel.metrics.count("agent.crashes", 1);
        if blamed.is_empty() {
            return;
        }
        let incarnation = self.handle.incarnation;
        let command = Command::Crashed { endpoint, crash, incarnation, blamed };
        actix_rt::spawn(propose(self.proposer.client(), command));
    }

    /// Drains while a planned stop names this endpoint, and when the process is asked to end.
    async fn leave_if_told(&self, config: &Config) {
        let drains = &self.handle.drains;
        let before = drains.any();
        drains.stop.store(self.is_stopped(config), Ordering::Relaxed);
        let ends = self.kernel.phases.now() >= Phase::Draining;
        drains.phase.store(ends, Ordering::Relaxed);
        if drains.any() != before {
            tracing::info!(event = "drain", draining = drains.any());
            self.tell(ToGate::Drain(drains.any())).await;
        }
        let mut fence = self.fence.lock().expect("nothing panics while it holds this lock");
        fence.hear(config.at.epoch);
    }

    fn is_stopped(&self, config: &Config) -> bool {
        let agent = self.settings.agent.clone().unwrap_or_default();
        config.stops.values().any(|stop| match &stop.target {
            StopTarget::Endpoint(endpoint) => *endpoint == agent.endpoint,
            StopTarget::Node(node) => *node == self.settings.node,
            StopTarget::DataCentre(place) => *place == self.settings.data_centre,
        })
    }
}

async fn look_at_engine(client: &Client, address: &str) -> (Look, Option<Health>) {
    match engine::health(client, address).await {
        Ok(health) => {
            let look =
                Look::Answered { instance: health.instance.clone(), healthy: health.healthy };
            (look, Some(health))
        }
        Err(EngineError::NotReached(_)) => (Look::Refused, None),
        Err(_) => (Look::Silent, None),
    }
}

async fn look_at_service(client: &Client, address: &str) -> (Look, Option<Health>) {
    if service::answers(client, address).await {
        (Look::Answered { instance: String::new(), healthy: true }, None)
    } else {
        (Look::Silent, None)
    }
}

async fn propose(proposer: ProposerClient, command: Command) {
    for _ in 0..TELL_TRIES {
        match proposer.propose_until_timeout(&command, TELL).await {
            Ok(reply) => return tracing::info!(event = "crash_told", ?reply),
            Err(error) => tracing::warn!(event = "crash_untold", %error),
        }
    }
}
