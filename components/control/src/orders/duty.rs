//! The duty that sends the leader's orders straight to the agents.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_membership::Handle as Membership;
use chicoryford_types::EndpointKind;
use chicoryford_types::Epoch;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::config::Published;
use chicoryford_types::order::OrderReply;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use tokio::sync::watch;

use super::plan::Dispatch;
use super::plan::OrderStatus;
use super::plan::Orders;
use super::plan::Sampler;

/// The name under which the status of the orders is offered.
pub const SERVICE: &str = "orders";

/// Time between two looks at what is due, if nothing happens.
const LOOK: Duration = Duration::from_millis(50);
/// How long an agent may take to answer: it begins the order and says so at once.
const PATIENCE: Duration = Duration::from_secs(2);

/// What the orders depend on, as the replica's duty sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lead {
    /// The epoch in which this process leads; none if it does not, or if its lease has run out.
    pub epoch: Option<Epoch>,
    /// The newest accepted version of each model.
    pub weights: BTreeMap<Model, Published>,
}

/// What the duty holds.
pub struct Driver {
    /// The ways to the rest of the process.
    pub kernel: Kernel,
    /// Calls agents.
    pub client: Client,
    /// Who is there.
    pub members: Arc<Membership>,
    /// Whether this process leads, and what is accepted.
    pub lead: watch::Receiver<Lead>,
    /// Where the status goes.
    pub shown: watch::Sender<Vec<OrderStatus>>,
    /// The share of a model's samplers that may be out of service, in percent.
    pub percent: u32,
}

impl Driver {
    /// Gives orders while this process leads, until it stops.
    pub async fn run(self) {
        let phases = self.kernel.phases.clone();
        tokio::select! {
            () = phases.reached(Phase::Stopping) => {}
            () = self.drive() => {}
        }
    }

    async fn drive(mut self) {
        let orders = Rc::new(RefCell::new(Orders::new(Epoch(0), self.percent)));
        loop {
            let lead = self.lead.borrow_and_update().clone();
            if let Some(epoch) = lead.epoch {
                if orders.borrow().epoch() != epoch {
                    *orders.borrow_mut() = Orders::new(epoch, self.percent);
                }
                self.send_due(&orders, &lead);
                self.shown.send_replace(orders.borrow().status());
            }
            tokio::select! {
                changed = self.lead.changed() => if changed.is_err() { return },
                () = actix_rt::time::sleep(LOOK) => {}
            }
        }
    }

    fn send_due(&self, orders: &Rc<RefCell<Orders>>, lead: &Lead) {
        let samplers = samplers(&self.members.view());
        let due = orders.borrow_mut().due(self.kernel.now(), &lead.weights, &samplers);
        for dispatch in due {
            let (orders, client, kernel) =
                (orders.clone(), self.client.clone(), self.kernel.clone());
            actix_rt::spawn(async move { send(&kernel, &client, &orders, dispatch).await });
        }
    }
}

async fn send(kernel: &Kernel, client: &Client, orders: &RefCell<Orders>, dispatch: Dispatch) {
    let Dispatch { agent, address, order } = dispatch;
    let called = client.call::<_, OrderReply>(&address, paths::ORDER, &order, PATIENCE).await;
    if let Err(error) = &called {
        tracing::debug!(event = "order_unanswered", %agent, %error);
    }
    if let Ok(OrderReply::Failed(error)) = &called {
        tracing::warn!(event = "order_failed", %agent, number = order.number, error);
    }
    let mut orders = orders.borrow_mut();
    // An answer to an earlier epoch's order must not be taken for one of this epoch's, whose
    // numbers begin anew.
    if orders.epoch() == order.epoch {
        orders.answered(kernel.now(), &agent, order.number, called.ok());
    }
}

/// Lists the model engines that stand well enough to be given orders.
pub fn samplers(members: &Members) -> Vec<Sampler> {
    let engines = members.present().filter_map(|member| {
        let endpoint = member.endpoint.as_ref()?;
        (endpoint.kind == EndpointKind::Engine && endpoint.healthy).then(|| Sampler {
            agent: member.node.clone(),
            incarnation: member.incarnation,
            address: member.address.clone(),
            models: endpoint.models.clone(),
        })
    });
    engines.collect()
}
