//! The orders' duty: carries out one order at a time, under the fence.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_kernel::Receiver;
use chicoryford_membership::Handle as Members;
use chicoryford_types::Epoch;
use chicoryford_types::Model;
use chicoryford_types::Order;
use chicoryford_types::Version;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use futures_util::future::join_all;

use crate::engine;
use crate::engine::EngineError;
use crate::fence::Fence;
use crate::fence::Ruling;
use crate::handle::Handle;
use crate::handle::ToGate;
use crate::handle::ToOrders;

/// Time for one control process to tell its epoch.
const ASK: Duration = Duration::from_secs(1);

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
    /// Takes orders until all who could give them are gone.
    pub async fn run(self, mut inbox: Receiver<ToOrders>) {
        let duty = std::rc::Rc::new(self);
        while let Some(ToOrders { order, reply }) = inbox.next().await {
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

    async fn carry(self: std::rc::Rc<Self>, order: Order) {
        tracing::info!(event = "order_begun", epoch = %order.epoch, number = order.number, action = ?order.action);
        let error = self.carry_out(&order).await.err();
        tracing::info!(event = "order_ended", epoch = %order.epoch, number = order.number, ?error);
        self.fence().ended(&order, error);
        // The versions now in use are announced whatever the engine said of its success.
        let _ = self.handle.look.offer(());
    }

    async fn carry_out(&self, order: &Order) -> Result<(), String> {
        match &order.action {
            OrderAction::Load { model, version, sources } => {
                self.handle.swapping.store(true, Ordering::Relaxed);
                let loaded = self.load(order.epoch, model, *version, sources).await;
                self.handle.swapping.store(false, Ordering::Relaxed);
                loaded
            }
            OrderAction::Role(role) => {
                let told = engine::role(&self.engine, &self.address, role, order.epoch.0).await;
                told.map_err(|error| error.to_string())
            }
            OrderAction::Drain => self.drain(true).await,
            OrderAction::Resume => self.drain(false).await,
        }
    }

    /// Loads from the first source that works, and believes only what the engine says afterwards
    /// that it runs: a swap can fail part-way, or report success and be lost.
    async fn load(
        &self,
        epoch: Epoch,
        model: &Model,
        version: Version,
        sources: &[String],
    ) -> Result<(), String> {
        let mut error = "the order names no source".to_owned();
        for source in sources {
            let fence = epoch.0;
            let told =
                engine::load_weights(&self.engine, &self.address, model, version, source, fence);
            let told = told.await;
            if self.runs(model, version).await? {
                return Ok(());
            }
            error = match told {
                Ok(()) => "the engine reports success but runs another version".to_owned(),
                Err(EngineError::Refused(409, text)) => {
                    return Err(format!("the engine refused the fencing number: {text}"));
                }
                Err(error) => error.to_string(),
            };
            if self.fence().highest() > epoch {
                return Err("a newer leader took over".to_owned());
            }
        }
        Err(error)
    }

    async fn runs(&self, model: &Model, version: Version) -> Result<bool, String> {
        let health = engine::health(&self.engine, &self.address).await;
        let health = health.map_err(|error| error.to_string())?;
        Ok(health.models.get(model) == Some(&version))
    }

    async fn drain(&self, draining: bool) -> Result<(), String> {
        self.handle.drained.store(draining, Ordering::Relaxed);
        let told = self.handle.gate.send(ToGate::Drain(draining)).await;
        told.map_err(|_| "the agent stops".to_owned())
    }

    /// Asks the control processes for their highest epoch, until a majority has answered.
    async fn learn(&self) {
        let view = self.members.view();
        let controls: Vec<String> = view
            .known
            .values()
            .filter(|known| known.member.roles.control)
            .map(|known| known.member.address.clone())
            .collect();
        let asked = controls
            .iter()
            .map(|address| self.peers.call::<(), Epoch>(address, paths::EPOCH, &(), ASK));
        let answers: Vec<Epoch> = join_all(asked).await.into_iter().flatten().collect();
        let majority = controls.len() / 2 + 1;
        let highest = answers.iter().max().copied().unwrap_or_default();
        tracing::info!(event = "epoch_asked", controls = controls.len(), answers = answers.len(), %highest);
        if answers.len() >= majority {
            self.fence().learn(highest);
        }
    }
}
