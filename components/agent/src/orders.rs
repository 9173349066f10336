//! The order duty: executes one order at a time, if the fence permits it.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_kernel::Phase;
use chicoryford_kernel::Phases;
use chicoryford_kernel::Receiver;
use chicoryford_membership::Handle as Members;
use chicoryford_types::Epoch;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Order;
use chicoryford_types::Version;
use chicoryford_types::order::EpochAnswer;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use futures_util::future::join_all;
use thiserror::Error;

use crate::engine;
use crate::engine::EngineError;
use crate::fence::Decision;
use crate::fence::Fence;
use crate::handle::GateMessage;
use crate::handle::Handle;
use crate::handle::OrderRequest;

/// The timeout of the request for a control process's epoch.
const EPOCH_TIMEOUT: Duration = Duration::from_secs(1);
/// The HTTP status with which an engine refuses an old fencing number.
const FENCED_STATUS: u16 = 409;

/// An order could not be executed.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The order names no source to fetch the weights from.
    #[error("the order names no source")]
    NoSource,
    /// The engine runs a higher version. Old weights can be loaded again only under a new version
    /// number.
    #[error("the engine runs version {0}, which is newer")]
    NewerRunning(Version),
    /// The weights could not be loaded from any source.
    #[error("{}", list_failures(.0))]
    Sources(Vec<(String, OrderError)>),
    /// The engine reported success but runs another version.
    #[error("the engine reports success but runs another version")]
    NotLoaded,
    /// A leader of a newer epoch was seen in the meantime.
    #[error("a newer leader took over")]
    Superseded,
    /// The engine failed or refused.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// This process is shutting down.
    #[error("the agent is shutting down")]
    Stopping,
}

/// The order duty.
pub struct OrderDuty {
    /// Decides which orders are executed.
    pub fence: Arc<Mutex<Fence>>,
    /// The handle to the other duties.
    pub handle: Handle,
    /// The members of the cluster.
    pub members: Arc<Members>,
    /// Calls control processes.
    pub peers: Client,
    /// Calls the engine, over new connections.
    pub engine: Client,
    /// The engine's address.
    pub address: String,
}

impl OrderDuty {
    /// Handles orders until the process stops.
    pub async fn run(self, phases: Phases, mut inbox: Receiver<OrderRequest>) {
        let duty = Rc::new(self);
        loop {
            let message = tokio::select! {
                message = inbox.next() => message,
                () = phases.reached(Phase::Stopping) => None,
            };
            let Some(OrderRequest { order, reply }) = message else { return };
            let decision = duty.fence().decide(&order);
            let answer = match decision {
                Decision::Answer(answer) => answer,
                Decision::LearnEpoch => {
                    duty.learn_epoch().await;
                    OrderReply::Busy
                }
                Decision::Execute => {
                    actix_rt::spawn(duty.clone().execute(order));
                    OrderReply::Busy
                }
            };
            let _ = reply.send(answer);
        }
    }

    fn fence(&self) -> std::sync::MutexGuard<'_, Fence> {
        self.fence.lock().expect("nothing panics while it holds this lock")
    }

    /// Executes an order and records how it ended.
    async fn execute(self: Rc<Self>, order: Order) {
        tracing::info!(event = "order_begun", epoch = %order.epoch, number = order.number, action = ?order.action);
        let error = self.apply(&order).await.err().map(|error| error.to_string());
        tracing::info!(event = "order_ended", epoch = %order.epoch, number = order.number, ?error);
        self.fence().record_end(&order, error);
        // The versions in use are announced whether or not the engine reported success.
        let _ = self.handle.check_now.offer(());
    }

    async fn apply(&self, order: &Order) -> Result<(), OrderError> {
        match &order.action {
            OrderAction::Load { model, version, sources } => {
                self.handle.loading_weights.store(true, Ordering::Relaxed);
                let loaded = self.load(order.epoch, model, *version, sources).await;
                self.handle.loading_weights.store(false, Ordering::Relaxed);
                loaded
            }
            OrderAction::Role(role) => {
                Ok(engine::set_role(&self.engine, &self.address, role, order.epoch.0).await?)
            }
            OrderAction::Drain => self.drain(true).await,
            OrderAction::Resume => self.drain(false).await,
        }
    }

    /// Loads a version from the first source that works. Success is judged only by the version that
    /// the engine reports afterwards, because a swap can fail part-way, or report success and have
    /// no effect.
    ///
    /// Nothing is loaded if the engine runs the version already. An engine that runs a newer
    /// version is not downgraded: the leader did not know that version when it gave the order, and
    /// samples would become stale.
    async fn load(
        &self,
        epoch: Epoch,
        model: &Model,
        version: Version,
        sources: &[String],
    ) -> Result<(), OrderError> {
        let running = self.running_version(model).await?;
        if running >= version {
            return if running == version {
                Ok(())
            } else {
                Err(OrderError::NewerRunning(running))
            };
        }
        let mut failed = Vec::new();
        for source in sources {
            let fence = epoch.0;
            let load =
                engine::load_weights(&self.engine, &self.address, model, version, source, fence);
            let loaded = load.await;
            if self.running_version(model).await? == version {
                return Ok(());
            }
            let error = match loaded {
                Ok(()) => OrderError::NotLoaded,
                Err(fenced @ EngineError::Refused(FENCED_STATUS, _)) => return Err(fenced.into()),
                Err(error) => error.into(),
            };
            if self.fence().highest() > epoch {
                return Err(OrderError::Superseded);
            }
            tracing::warn!(event = "source_failed", source, %model, %version, %error);
            failed.push((source.clone(), error));
        }
        if failed.is_empty() {
            return Err(OrderError::NoSource);
        }
        Err(OrderError::Sources(failed))
    }

    /// Returns the version that the engine reports to run.
    async fn running_version(&self, model: &Model) -> Result<Version, OrderError> {
        let health = engine::health(&self.engine, &self.address).await?;
        Ok(health.models.get(model).copied().unwrap_or_default())
    }

    async fn drain(&self, draining: bool) -> Result<(), OrderError> {
        self.handle.drain_reasons.order.store(draining, Ordering::Relaxed);
        let sent = self.handle.gate.send(GateMessage::Drain(self.handle.drain_reasons.any())).await;
        sent.map_err(|_| OrderError::Stopping)
    }

    /// Asks all control processes for their highest epoch, and records it if a majority answers.
    async fn learn_epoch(&self) {
        let view = self.members.view();
        let controls = view.known.values().map(|known| &known.member).filter(|m| m.roles.control);
        let requests = controls.map(|member| async move {
            let address = member.address.as_str();
            let answer =
                self.peers.call::<(), EpochAnswer>(address, paths::EPOCH, &(), EPOCH_TIMEOUT).await;
            answer.ok().map(|answer| (member.node.clone(), answer))
        });
        let answers: Vec<(Node, EpochAnswer)> =
            join_all(requests).await.into_iter().flatten().collect();
        let epoch = majority_epoch(&answers);
        tracing::info!(event = "epoch_asked", answers = answers.len(), learnt = ?epoch);
        if let Some(epoch) = epoch {
            self.fence().learn_epoch(epoch);
        }
    }
}

fn list_failures(failed: &[(String, OrderError)]) -> String {
    let failures = failed.iter().map(|(source, error)| match source.as_str() {
        "" => error.to_string(),
        source => format!("from {source}: {error}"),
    });
    failures.collect::<Vec<_>>().join("; ")
}

/// Returns the highest epoch if a majority of the voters answered. The voters are those that the
/// answer with the highest epoch names.
pub fn majority_epoch(answers: &[(Node, EpochAnswer)]) -> Option<Epoch> {
    let (_, newest) = answers.iter().max_by_key(|(_, answer)| answer.epoch)?;
    let answered = newest.voters.iter().filter(|v| answers.iter().any(|(node, _)| node == *v));
    (answered.count() > newest.voters.len() / 2).then_some(newest.epoch)
}
