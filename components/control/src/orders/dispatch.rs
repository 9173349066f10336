//! The task that sends the leader's orders directly to the agents.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_membership::Handle as Membership;
use chicoryford_types::Endpoint;
use chicoryford_types::Epoch;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::Order;
use chicoryford_types::config::Published;
use chicoryford_types::order::OrderReply;
use chicoryford_weights::Action;
use chicoryford_weights::Event;
use chicoryford_weights::Planner;
use chicoryford_weights::PlannerSettings;
use chicoryford_weights::Progress;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::samplers::Samplers;
use super::samplers::samplers;

/// The name under which the progress of weights is registered.
pub const SERVICE: &str = "orders";

/// Interval at which the planner runs if no event occurs.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for an agent's reply. It is short because an agent replies as soon as it has started the
/// order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The replica's state that the orders depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Leadership {
    /// The epoch in which this process leads; none if it does not, or if its lease has expired.
    pub epoch: Option<Epoch>,
    /// The newest accepted version of each model.
    pub weights: BTreeMap<Model, Published>,
}

/// Sends orders to the agents while this process leads.
pub struct Dispatcher {
    /// The kernel of this process.
    pub kernel: Kernel,
    /// The client for calls to agents.
    pub client: Client,
    /// The membership view.
    pub members: Arc<Membership>,
    /// Whether this process leads, and the accepted versions.
    pub leadership: watch::Receiver<Leadership>,
    /// Publishes the progress.
    pub progress: watch::Sender<Vec<Progress>>,
    /// The limits within which weights are distributed.
    pub settings: PlannerSettings,
}

/// Replies of agents that were not passed to the planner yet.
#[derive(Default)]
struct ReplyQueue {
    events: RefCell<Vec<Event>>,
    received: Notify,
}

/// The inputs last passed to the planner.
#[derive(Default)]
struct PlannerInputs {
    epoch: Option<Epoch>,
    weights: BTreeMap<Model, Published>,
    view: Arc<Members>,
    samplers: Samplers,
}

impl Dispatcher {
    /// Sends orders while this process leads, until it stops.
    pub async fn run(self) {
        let phases = self.kernel.phases.clone();
        tokio::select! {
            () = phases.reached(Phase::Stopping) => {}
            () = self.drive() => {}
        }
    }

    async fn drive(mut self) {
        let mut planner = Planner::new(self.settings.clone());
        let replies = Rc::new(ReplyQueue::default());
        let mut inputs = PlannerInputs::default();
        loop {
            let lead = self.leadership.borrow_and_update().clone();
            // Replies are queued while this process does not lead: processing one could produce
            // another order, and another process may lead by now.
            if let Some(epoch) = lead.epoch {
                let mut events = self.changes(&mut inputs, epoch, &lead);
                events.append(&mut replies.events.borrow_mut());
                for order in self.plan(&mut planner, events) {
                    self.start_order(&inputs, &replies, order);
                }
                self.progress.send_replace(planner.progress());
            }
            tokio::select! {
                changed = self.leadership.changed() => if changed.is_err() { return },
                () = replies.received.notified() => {}
                () = actix_rt::time::sleep(PLAN_INTERVAL) => {}
            }
        }
    }

    /// Returns the changes of epoch, members and weights since the last call, as planner events.
    fn changes(&self, inputs: &mut PlannerInputs, epoch: Epoch, lead: &Leadership) -> Vec<Event> {
        let mut events = Vec::new();
        let same_epoch = inputs.epoch == Some(epoch);
        if !same_epoch {
            inputs.epoch = Some(epoch);
            events.push(Event::NewEpoch(epoch));
        }
        let view = self.members.view();
        if !same_epoch || !Arc::ptr_eq(&view, &inputs.view) {
            let found = samplers(&view);
            inputs.view = view;
            if !same_epoch || found != inputs.samplers {
                inputs.samplers = found;
                events.push(Event::Members(inputs.samplers.statuses()));
            }
        }
        if !same_epoch || lead.weights != inputs.weights {
            inputs.weights.clone_from(&lead.weights);
            events.extend(lead.weights.iter().map(|(model, published)| Event::Published {
                model: model.clone(),
                version: published.version,
                source: published.source.clone(),
            }));
        }
        events
    }

    fn plan(&self, planner: &mut Planner, events: Vec<Event>) -> Vec<(Endpoint, Order)> {
        let now = self.kernel.now();
        let mut actions = Vec::new();
        for event in events {
            planner.apply(event, now, &mut actions);
        }
        planner.plan(now, &mut actions);
        let mut orders = Vec::new();
        for action in actions {
            match action {
                Action::SendOrder { endpoint, order } => orders.push((endpoint, order)),
                Action::GiveUp { endpoint, model, version, reason } => {
                    tracing::error!(event = "sampler_given_up", %endpoint, %model, %version, reason);
                    self.kernel.metrics.count("orders.given_up", 1);
                }
                Action::Complete { .. } => self.kernel.metrics.count("orders.complete", 1),
                // The planner has logged these.
                Action::NotNewer { .. } | Action::Fenced(_) => {}
            }
        }
        orders
    }

    fn start_order(
        &self,
        inputs: &PlannerInputs,
        replies: &Rc<ReplyQueue>,
        (endpoint, order): (Endpoint, Order),
    ) {
        // An endpoint that no longer exists cannot be called. No reply is reported for it, and the
        // planner ends its order.
        let address = inputs.samplers.address(&endpoint).map(str::to_owned);
        let (client, replies) = (self.client.clone(), replies.clone());
        actix_rt::spawn(async move {
            let reply = match address {
                Some(address) => send(&client, &address, &order).await,
                None => None,
            };
            let number = order.number;
            replies.events.borrow_mut().push(match reply {
                Some(reply) => Event::Reply { endpoint, number, reply },
                None => Event::NoReply { endpoint, number },
            });
            replies.received.notify_one();
        });
    }
}

async fn send(client: &Client, address: &str, order: &Order) -> Option<OrderReply> {
    let called = client.call::<_, OrderReply>(address, paths::ORDER, order, ORDER_TIMEOUT).await;
    if let Err(error) = &called {
        tracing::debug!(event = "order_unanswered", address, number = order.number, %error);
    }
    called.ok()
}
