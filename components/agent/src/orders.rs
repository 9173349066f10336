//! The orders' duty: carries out one order at a time, under the fence.

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
use crate::fence::Fence;
use crate::fence::Ruling;
use crate::handle::Handle;
use crate::handle::ToGate;
use crate::handle::ToOrders;

/// Time for one control process to tell its epoch.
const ASK: Duration = Duration::from_secs(1);
/// The status with which an engine refuses an old fencing number.
const FENCED: u16 = 409;

/// An order could not be carried out.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The order names nowhere to fetch the weights from.
    #[error("the order names no source")]
    NoSource,
    /// The engine runs a higher version; old weights come back only under a new number.
    #[error("the engine runs version {0}, which is newer")]
    Older(Version),
    /// No source gave the weights.
    #[error("{}", list(.0))]
    Sources(Vec<(String, OrderError)>),
    /// The engine said that it loaded the version, and runs another.
    #[error("the engine reports success but runs another version")]
    Lost,
    /// A leader of a newer epoch gave an order meanwhile.
    #[error("a newer leader took over")]
    Overtaken,
    /// The engine failed or refused.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// This process ends.
    #[error("the agent stops")]
    Stopping,
}

/// What the duty holds.
pub struct Orders {
    /// The decisions.
    pub fence: Arc<Mutex<Fence>>,
    /// The way to the other duties.
    pub handle: Handle,
    /// Who is there.
    pub members: Arc<Members>,
    /// Calls control processes.
    pub peers: Client,
    /// Calls the engine, over new connections.
    pub engine: Client,
    /// Where the engine answers.
    pub address: String,
}

impl Orders {
    /// Takes orders until the process stops.
    pub async fn run(self, phases: Phases, mut inbox: Receiver<ToOrders>) {
        let duty = Rc::new(self);
        loop {
            let message = tokio::select! {
                message = inbox.next() => message,
                () = phases.reached(Phase::Stopping) => None,
            };
            let Some(ToOrders { order, reply }) = message else { return };
            let ruling = duty.fence().decide(&order);
            let answer = match ruling {
                Ruling::Answer(answer) => answer,
                Ruling::Learn => {
                    duty.learn().await;
                    OrderReply::Busy
                }
                Ruling::Begin => {
                    actix_rt::spawn(duty.clone().carry(order));
                    OrderReply::Busy
                }
            };
            let _ = reply.send(answer);
        }
    }

    fn fence(&self) -> std::sync::MutexGuard<'_, Fence> {
        self.fence.lock().expect("nothing panics while it holds this lock")
    }

    async fn carry(self: Rc<Self>, order: Order) {
        tracing::info!(event = "order_begun", epoch = %order.epoch, number = order.number, action = ?order.action);
        let error = self.carry_out(&order).await.err().map(|error| error.to_string());
        tracing::info!(event = "order_ended", epoch = %order.epoch, number = order.number, ?error);
        self.fence().ended(&order, error);
        // The versions now in use are announced whatever the engine said of its success.
        let _ = self.handle.look.offer(());
    }

    async fn carry_out(&self, order: &Order) -> Result<(), OrderError> {
        match &order.action {
            OrderAction::Load { model, version, sources } => {
                self.handle.swapping.store(true, Ordering::Relaxed);
                let loaded = self.load(order.epoch, model, *version, sources).await;
                self.handle.swapping.store(false, Ordering::Relaxed);
                loaded
            }
            OrderAction::Role(role) => {
                Ok(engine::role(&self.engine, &self.address, role, order.epoch.0).await?)
            }
            OrderAction::Drain => self.drain(true).await,
            OrderAction::Resume => self.drain(false).await,
        }
    }

    /// Loads from the first source that works, and believes only what the engine says afterwards
    /// that it runs: a swap can fail part-way, or report success and be lost.
    ///
    /// An engine that runs the version already is left alone, and one that runs a newer one is
    /// not taken back: whoever gave the order did not know it, and samples would go stale.
    async fn load(
        &self,
        epoch: Epoch,
        model: &Model,
        version: Version,
        sources: &[String],
    ) -> Result<(), OrderError> {
        let held = self.held(model).await?;
        if held >= version {
            return if held == version { Ok(()) } else { Err(OrderError::Older(held)) };
        }
        let mut failed = Vec::new();
        for source in sources {
            let fence = epoch.0;
            let told =
                engine::load_weights(&self.engine, &self.address, model, version, source, fence);
            let told = told.await;
            if self.held(model).await? == version {
                return Ok(());
            }
            let error = match told {
                Ok(()) => OrderError::Lost,
                Err(fenced @ EngineError::Refused(FENCED, _)) => return Err(fenced.into()),
                Err(error) => error.into(),
            };
            if self.fence().highest() > epoch {
                return Err(OrderError::Overtaken);
            }
            tracing::warn!(event = "source_failed", source, %model, %version, %error);
            failed.push((source.clone(), error));
        }
        if failed.is_empty() {
            return Err(OrderError::NoSource);
        }
        Err(OrderError::Sources(failed))
    }

    /// Asks the engine which version it runs.
    async fn held(&self, model: &Model) -> Result<Version, OrderError> {
        let health = engine::health(&self.engine, &self.address).await?;
        Ok(health.models.get(model).copied().unwrap_or_default())
    }

    async fn drain(&self, draining: bool) -> Result<(), OrderError> {
        self.handle.drains.order.store(draining, Ordering::Relaxed);
        let told = self.handle.gate.send(ToGate::Drain(self.handle.drains.any())).await;
        told.map_err(|_| OrderError::Stopping)
    }

    /// Asks the control processes for their highest epoch, until a majority has answered.
    async fn learn(&self) {
        let view = self.members.view();
        let controls = view.known.values().map(|known| &known.member).filter(|m| m.roles.control);
        let asked = controls.map(|member| async move {
            let address = member.address.as_str();
            let answer = self.peers.call::<(), EpochAnswer>(address, paths::EPOCH, &(), ASK).await;
            answer.ok().map(|answer| (member.node.clone(), answer))
        });
        let answers: Vec<(Node, EpochAnswer)> =
            join_all(asked).await.into_iter().flatten().collect();
        let learnt = majority(&answers);
        tracing::info!(event = "epoch_asked", answers = answers.len(), ?learnt);
        if let Some(epoch) = learnt {
            self.fence().learn(epoch);
        }
    }
}

fn list(failed: &[(String, OrderError)]) -> String {
    let each = failed.iter().map(|(source, error)| match source.as_str() {
        "" => error.to_string(),
        source => format!("from {source}: {error}"),
    });
    each.collect::<Vec<_>>().join("; ")
}

/// Gives the highest epoch if a majority of the voters answered, as the one of the highest epoch
/// names them.
pub fn majority(answers: &[(Node, EpochAnswer)]) -> Option<Epoch> {
    let (_, newest) = answers.iter().max_by_key(|(_, answer)| answer.epoch)?;
    let answered = newest.voters.iter().filter(|v| answers.iter().any(|(node, _)| node == *v));
    (answered.count() > newest.voters.len() / 2).then_some(newest.epoch)
}
