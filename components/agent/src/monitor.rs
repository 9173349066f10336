//! The monitor duty: checks the endpoint's health, announces the endpoint, reports its load,
//! reports its crashes, and starts and ends draining.

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
use chicoryford_state::Reply;
use chicoryford_types::Config;
use chicoryford_types::EndpointInfo;
use chicoryford_types::EndpointKind;
use chicoryford_types::LoadReport;
use chicoryford_types::Millis;
use chicoryford_types::Position;
use chicoryford_types::Version;
use chicoryford_types::config::StopTarget;
use chicoryford_wire::Client;
use tokio::sync::watch;

use crate::engine;
use crate::engine::EngineError;
use crate::engine::Health;
use crate::engine::Load;
use crate::fence::Fence;
use crate::handle::GateMessage;
use crate::handle::Handle;
use crate::health::CheckResult;
use crate::health::HealthTracker;
use crate::service;

/// The pause after a failed health check. It is short, so that a crash is quickly distinguished
/// from a transient failure.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of one attempt to report a crash to the control processes.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of attempts to report a crash. If there is no majority for longer, the report
/// is lost, and the content is reported only if it is in progress at another crash.
const MAX_CRASH_REPORT_ATTEMPTS: u32 = 30;

/// The monitor duty.
pub struct Monitor {
    /// The kernel of the process.
    pub kernel: Kernel,
    /// The settings of the process.
    pub settings: Arc<Settings>,
    /// The handle to the other duties.
    pub handle: Handle,
    /// Membership, through which the endpoint is announced.
    pub members: Arc<Members>,
    /// The accepted configuration, which contains planned stops.
    pub config: Arc<Configuration>,
    /// Creates the client that reports crashes.
    pub proposer: Arc<chicoryford_config::Proposer>,
    /// The results of the health checks, shared with the dump.
    pub health: Arc<Mutex<HealthTracker>>,
    /// The fence, which is updated with the epoch of the accepted configuration.
    pub fence: Arc<Mutex<Fence>>,
    /// Publishes load reports.
    pub report: watch::Sender<(Millis, LoadReport)>,
    /// Publishes whether the endpoint is healthy.
    pub healthy: watch::Sender<bool>,
}

impl Monitor {
    /// Checks the endpoint until the process stops. `requests` asks for an immediate check.
    pub async fn run(self, mut requests: Receiver<()>) {
        let client = Client::new(None, None).fresh();
        let mut config = self.config.watch();
        let period =
            Duration::from_millis(self.settings.agent.clone().unwrap_or_default().report_ms);
        while self.kernel.phases.now() < Phase::Stopping {
            self.update_draining(&config.borrow_and_update().clone()).await;
            self.check(&client).await;
            let pause = if self.health().needs_recheck() { RECHECK_INTERVAL } else { period };
            let stopping = self.kernel.phases.now() >= Phase::Draining;
            tokio::select! {
                () = actix_rt::time::sleep(pause) => {}
                Some(()) = requests.next() => {}
                Ok(()) = config.changed() => {}
                () = self.kernel.phases.reached(Phase::Draining), if !stopping => {}
                () = self.kernel.phases.reached(Phase::Stopping) => {}
            }
        }
    }

    fn health(&self) -> std::sync::MutexGuard<'_, HealthTracker> {
        self.health.lock().expect("nothing panics while it holds this lock")
    }

    /// Checks the endpoint once and publishes the results.
    async fn check(&self, client: &Client) {
        let started = self.kernel.now();
        let agent = self.settings.agent.clone().unwrap_or_default();
        let (result, health) = match agent.kind {
            EndpointKind::Engine => check_engine(client, &agent.address).await,
            EndpointKind::Service => check_service(client, &agent.address).await,
        };
        let update = self.health().record(result);
        if update.alive {
            self.notify_gate(GateMessage::NotCrashed(started)).await;
        }
        if update.crashed {
            self.report_crash().await;
        }
        if self.healthy.send_replace(update.healthy) != update.healthy {
            tracing::info!(event = "endpoint_health", endpoint = %agent.endpoint, healthy = update.healthy);
            self.notify_gate(GateMessage::Health(update.healthy)).await;
        }
        let load = match agent.kind {
            EndpointKind::Engine => engine::load(client, &agent.address).await.ok(),
            EndpointKind::Service => None,
        };
        self.announce(health.as_ref(), update.healthy);
        self.report(load, health);
    }

    async fn notify_gate(&self, message: GateMessage) {
        if self.handle.gate.send(message).await.is_err() {
            tracing::warn!(event = "gate_gone");
        }
    }

    /// Announces the endpoint; an unchanged announcement is not gossiped. The announced versions
    /// are those that the engine reports, never those that were ordered.
    fn announce(&self, health: Option<&Health>, healthy: bool) {
        let agent = self.settings.agent.clone().unwrap_or_default();
        let draining = self.handle.drain_reasons.any();
        self.members.announce(|own| {
            let EndpointInfo { models: before, gives, .. } =
                own.endpoint.take().unwrap_or_default();
            let gives = health.map_or(gives, |health| health.weights_address.clone());
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

    /// Publishes a load report. Without figures from the engine, the gate's are used.
    fn report(&self, load: Option<Load>, health: Option<Health>) {
        let stats = *self.handle.gate_stats.borrow();
        let load = load.unwrap_or_else(|| Load {
            running: stats.running as u32,
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
                waiting: load.waiting + stats.waiting as u32,
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

    /// Logs a crash and reports the content suspected of it to the control processes.
    async fn report_crash(&self) {
        let crash = self.health().crashes();
        let take = |reply| GateMessage::TakeCrashSuspects(crash, reply);
        let blamed = self.handle.query_gate(take).await.unwrap_or_default();
        let endpoint = self.settings.agent.clone().unwrap_or_default().endpoint;
        tracing::warn!(event = "endpoint_crashed", %endpoint, crash, blamed = blamed.len());
        self.kernel.metrics.count("agent.crashes", 1);
        if blamed.is_empty() {
            return;
        }
        let incarnation = self.handle.incarnation;
        let command = Command::Crashed { endpoint, crash, incarnation, blamed };
        actix_rt::spawn(propose_crash(self.proposer.client(), self.handle.clone(), command));
    }

    /// Drains while a planned stop names this endpoint and while the process shuts down, and
    /// updates the fence with the configuration's epoch.
    async fn update_draining(&self, config: &Config) {
        let drain_reasons = &self.handle.drain_reasons;
        let before = drain_reasons.any();
        drain_reasons.stop.store(self.is_stopped(config), Ordering::Relaxed);
        let is_ending = self.kernel.phases.now() >= Phase::Draining;
        drain_reasons.phase.store(is_ending, Ordering::Relaxed);
        if drain_reasons.any() != before {
            tracing::info!(event = "drain", draining = drain_reasons.any());
            self.notify_gate(GateMessage::Drain(drain_reasons.any())).await;
        }
        let mut fence = self.fence.lock().expect("nothing panics while it holds this lock");
        fence.observe_epoch(config.at.epoch);
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

async fn check_engine(client: &Client, address: &str) -> (CheckResult, Option<Health>) {
    match engine::health(client, address).await {
        Ok(health) => {
            let result = CheckResult::Answered {
                instance: health.instance.clone(),
                healthy: health.healthy,
            };
            (result, Some(health))
        }
        Err(EngineError::NotReached(_)) => (CheckResult::Refused, None),
        Err(_) => (CheckResult::NoResponse, None),
    }
}

async fn check_service(client: &Client, address: &str) -> (CheckResult, Option<Health>) {
    if service::answers(client, address).await {
        (CheckResult::Answered { instance: String::new(), healthy: true }, None)
    } else {
        (CheckResult::NoResponse, None)
    }
}

/// Reports a crash until it is committed, and tells the gate the position of the decision, for which
/// entries wait before they retry the blamed requests.
async fn propose_crash(proposer: ProposerClient, handle: Handle, command: Command) {
    let Command::Crashed { crash, .. } = &command else { return };
    for _ in 0..MAX_CRASH_REPORT_ATTEMPTS {
        match proposer.propose_until_timeout(&command, CRASH_REPORT_TIMEOUT).await {
            Ok(reply) => {
                tracing::info!(event = "crash_told", ?reply);
                let at = match reply {
                    Reply::Accepted { at, .. } => at,
                    // A control process of the previous release does not return the position.
                    Reply::Done => Position::default(),
                    _ => return,
                };
                if handle.gate.send(GateMessage::CrashCommitted(*crash, at)).await.is_err() {
                    tracing::warn!(event = "gate_gone");
                }
                return;
            }
            Err(error) => tracing::warn!(event = "crash_untold", %error),
        }
    }
}
