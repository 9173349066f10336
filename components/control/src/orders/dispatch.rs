//! The duty that sends the leader's orders straight to the agents.

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

/// The name under which the progress of weights is offered.
pub const SERVICE: &str = "orders";

/// Time between two looks at what is due, if nothing happens.
const LOOK: Duration = Duration::from_millis(50);
/// How long an agent may take to answer: it begins the order and says so at once.
const PATIENCE: Duration = Duration::from_secs(2);

/// What the orders depend on, as the replica's duty sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Leadership {
    /// The epoch in which this process leads; none if it does not, or if its lease has run out.
    pub epoch: Option<Epoch>,
    /// The newest accepted version of each model.
    pub weights: BTreeMap<Model, Published>,
}

/// What the duty holds.
pub struct Dispatcher {
    /// The ways to the rest of the process.
    pub kernel: Kernel,
    /// Calls agents.
    pub client: Client,
    /// Who is there.
    pub members: Arc<Membership>,
    /// Whether this process leads, and what is accepted.
    pub lead: watch::Receiver<Leadership>,
    /// Where the progress goes.
    pub shown: watch::Sender<Vec<Progress>>,
    /// The bounds within which weights are spread.
    pub settings: PlannerSettings,
}

/// Answers of agents that the planner has not seen yet.
#[derive(Default)]
struct Inbox {
    events: RefCell<Vec<Event>>,
    filled: Notify,
}

/// What the planner was inputs last.
#[derive(Default)]
struct PlannerInputs {
    epoch: Option<Epoch>,
    weights: BTreeMap<Model, Published>,
    view: Arc<Members>,
    samplers: Samplers,
}

impl Dispatcher {
    /// Gives orders while this process leads, until it stops.
    pub async fn run(self) {
        let phases = self.kernel.phases.clone();
        tokio::select! {
            () = phases.reached(Phase::Stopping) => {}
            () = self.drive() => {}
        }
    }

    async fn drive(mut self) {
        let mut planner = Planner::new(self.settings.clone());
        let inbox = Rc::new(Inbox::default());
        let mut inputs = PlannerInputs::default();
        loop {
            let lead = self.lead.borrow_and_update().clone();
            // Answers wait while this process does not lead: taking one could bring about another
            // order, and another process may lead by now.
            if let Some(epoch) = lead.epoch {
                let mut events = self.changes(&mut inputs, epoch, &lead);
                events.append(&mut inbox.events.borrow_mut());
                for order in self.plan(&mut planner, events) {
                    self.give(&inputs, &inbox, order);
                }
                self.shown.send_replace(planner.progress());
            }
            tokio::select! {
                changed = self.lead.changed() => if changed.is_err() { return },
                () = inbox.filled.notified() => {}
                () = actix_rt::time::sleep(LOOK) => {}
            }
        }
    }

    /// Lists what the planner must be inputs of the epoch, the members and the weights.
    fn changes(&self, inputs: &mut PlannerInputs, epoch: Epoch, lead: &Leadership) -> Vec<Event> {
        let mut events = Vec::new();
        let led = inputs.epoch == Some(epoch);
        if !led {
            inputs.epoch = Some(epoch);
            events.push(Event::NewEpoch(epoch));
        }
        let view = self.members.view();
        if !led || !Arc::ptr_eq(&view, &inputs.view) {
            let found = samplers(&view);
            inputs.view = view;
            if !led || found != inputs.samplers {
                inputs.samplers = found;
                events.push(Event::Members(inputs.samplers.offers()));
            }
        }
        if !led || lead.weights != inputs.weights {
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

    fn give(
        &self,
        inputs: &PlannerInputs,
        inbox: &Rc<Inbox>,
        (endpoint, order): (Endpoint, Order),
    ) {
        // An endpoint that is gone cannot be asked; the planner ends its order in time.
        let address = inputs.samplers.address(&endpoint).map(str::to_owned);
        let (client, inbox) = (self.client.clone(), inbox.clone());
        actix_rt::spawn(async move {
            let reply = match address {
                Some(address) => send(&client, &address, &order).await,
                None => None,
            };
            let number = order.number;
            inbox.events.borrow_mut().push(match reply {
                Some(reply) => Event::Reply { endpoint, number, reply },
                None => Event::NoReply { endpoint, number },
            });
            inbox.filled.notify_one();
        });
    }
}

async fn send(client: &Client, address: &str, order: &Order) -> Option<OrderReply> {
    let called = client.call::<_, OrderReply>(address, paths::ORDER, order, PATIENCE).await;
    if let Err(error) = &called {
        tracing::debug!(event = "order_unanswered", address, number = order.number, %error);
    }
    called.ok()
}
