//! The duties of the elected leader: it keeps the endpoint registry, commits what is submitted, and
//! assigns the samples of steps to hosts.

mod calls;
mod commands;
mod crashes;
mod endpoints;
mod first_state;
mod grants;
mod persistence;
mod planning;
mod reachability;
mod readers;
mod runs;
mod speeds;
mod step_access;
mod steps;
mod stores;
mod usage;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Config;
use chicoryford_fleet::Registry;
use chicoryford_fleet::Step;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::reachability::ReachabilityTracker;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::step_memory::StepMemory;
use chicoryford_fleet::usage::ReportTracker;
use chicoryford_http::Pool;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock;
use crate::copies;
use crate::copies::Copies;
use crate::followers::Followers;
use crate::forward::Forwarder;
use crate::frame::encode_uncompressed;
use crate::hosts;
use crate::hosts::Hosts;
use crate::listing::Outbox;
use crate::members;
use crate::message::LeaderMessage;
use crate::message::Update;
use crate::orders::Orders;
use crate::replica::LocalReplica;
use crate::runner::Runner;
use crate::settings::Settings;
use crate::view::View;
use first_state::Common;
use first_state::FirstState;
use readers::Readers;

/// Target of the log lines of a term, its rounds and its commands, whichever module writes them.
const LOG_TARGET: &str = module_path!();
/// Interval of the planner's rounds; events start additional rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks for replicas to remove.
const CHECK_MEMBERS_INTERVAL_MS: u64 = 300;

/// Dependencies of the leader, which outlive each term of leadership.
pub struct Context {
    /// This process's replica of the log, which a term reads and proposes commands to.
    pub replica: Rc<LocalReplica>,
    /// The connected members.
    pub followers: Rc<Followers>,
    /// The settings of this process.
    pub settings: Rc<Settings>,
    /// Forwards calls to scorers.
    pub forwarder: Rc<Forwarder>,
    /// Executes runs in this process while no other host is available.
    pub runner: Rc<Runner>,
}

/// The state of one term of leadership. It is dropped with the term; whatever must survive is in
/// the log.
pub struct Leader {
    /// Dependencies from outside this term.
    pub context: Context,
    /// The epoch, which is also the fencing token of orders.
    pub epoch: Epoch,
    /// Replicated parts of steps on the stores.
    pub copies: Copies,
    /// Assigns runs to endpoints.
    pub plan: RefCell<Planner>,
    /// Connections to engines.
    pub pool: RefCell<Pool>,
    /// Orders that change the weights of engines.
    pub orders: RefCell<Orders>,
    /// When this term began.
    pub began: Millis,
    registry: RefCell<Registry>,
    /// Services whose endpoints entries and hosts may call.
    callable: RefCell<BTreeSet<String>>,
    /// What new followers are sent.
    first_state: RefCell<FirstState>,
    /// The fleet's clock when this term began.
    start_clock: u64,
    /// Ids of steps whose submission is in progress, either on the way to the stores or into the
    /// log.
    submitting: RefCell<Vec<String>>,
    /// The memory of the open steps.
    step_memory: RefCell<StepMemory>,
    /// Steps whose submission is being committed to the log, by the part that holds their samples.
    submitted: RefCell<BTreeMap<PartId, Arc<Step>>>,
    /// Stores whose retirement was proposed in this term.
    retiring: RefCell<BTreeSet<String>>,
    /// Open steps whose samples have not been read from the stores yet.
    unread: RefCell<Vec<String>>,
    /// Changes when results are listed or a step is closed, which wakes up waiting reads.
    listed: watch::Sender<u64>,
    wake_planner: Notify,
    hosts: Hosts,
    outbox: Outbox,
    /// Long-polling reads of results.
    pub(crate) readers: Readers,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    usage: usage::Usage,
    /// Endpoints that hosts found to have ended.
    found_ended: RefCell<BTreeSet<String>>,
    /// Reports of members about endpoints that cannot be connected to.
    reachability: RefCell<ReachabilityTracker>,
    /// Samples whose grants are being extended.
    extending: RefCell<BTreeSet<String>>,
    /// Whether open runs are being recorded.
    recording_runs: Cell<bool>,
    /// When runs were last checked for whether they need another engine.
    runs_checked: Cell<Millis>,
    /// Set once this term has ended; the process may lead again in another epoch.
    ended: Cell<bool>,
}

impl Leader {
    /// Starts a term with the state in the log and with the updates that this process received from
    /// the previous leader.
    pub fn start(context: Context, epoch: Epoch, view: &View) -> Rc<Self> {
        let now = clock::now();
        let known = view.endpoints();
        let lease = OrderLease {
            leader_since: now,
            lease_ms: context.settings.lease_ms,
            engines_fence: context.settings.fenced,
            last_orders: view.order_times(),
        };
        let start_clock = context.replica.fleet_clock();
        let client_limits = context.settings.client_limits();
        // The view of this process is newer than the log.
        let mut endpoints = context.replica.state().endpoints.clone();
        endpoints
            .extend(known.into_iter().map(|endpoint| (endpoint.announcement.id.clone(), endpoint)));
        let near = context.settings.policy.near_hosts;
        let hosts = Hosts::new(context.followers.clone(), context.runner.clone(), near);
        let copies = Copies::new(context.followers.clone(), &context.settings, now);
        let tracker = ReportTracker::new(now, context.replica.state().usage.processes().cloned());
        let usage = usage::Usage::new(context.settings.windows(), tracker);
        let leader = Rc::new(Self {
            epoch,
            copies,
            plan: RefCell::new(Planner::new(epoch).with_policy(context.settings.policy)),
            pool: RefCell::default(),
            orders: RefCell::new(Orders::new(lease)),
            began: now,
            registry: RefCell::new(Registry::from_known(
                endpoint::Settings::default(),
                endpoints.into_values(),
                now,
            )),
            callable: RefCell::default(),
            first_state: RefCell::default(),
            start_clock,
            submitting: RefCell::default(),
            step_memory: RefCell::new(StepMemory::new(
                client_limits.open_step_bytes(),
                client_limits.largest_step_bytes(),
            )),
            submitted: RefCell::default(),
            retiring: RefCell::default(),
            unread: RefCell::default(),
            listed: watch::Sender::new(0),
            wake_planner: Notify::new(),
            hosts,
            outbox: Outbox::default(),
            readers: Readers::default(),
            tasks: RefCell::default(),
            usage,
            found_ended: RefCell::default(),
            reachability: RefCell::default(),
            extending: RefCell::default(),
            recording_runs: Cell::default(),
            runs_checked: Cell::default(),
            ended: Cell::default(),
            context,
        });
        leader.expect_reporters(leader.control_addresses().len());
        let departed = leader.context.replica.state().departed.clone();
        leader.registry.borrow_mut().adopt_departed(&departed, now);
        leader.adopt_endpoints();
        leader.adopt_costs();
        leader.adopt_speeds();
        leader.plan.borrow_mut().inherit_loads(&view.observed_loads());
        let weak = Rc::downgrade(&leader);
        leader.context.replica.set_observer(Some(Box::new(move |command, done| {
            if let Some(leader) = weak.upgrade() {
                leader.on_applied(command, done);
            }
        })));
        let weak = Rc::downgrade(&leader);
        let handle_report = move |report: &RunReport| {
            if let Some(leader) = weak.upgrade() {
                leader.handle_report(hosts::LOCAL, report);
            }
        };
        let weak = Rc::downgrade(&leader);
        let leads = move || weak.upgrade().is_some_and(|leader| leader.leads());
        leader.context.runner.attach_leader(handle_report, leads);
        let tasks = [
            actix_rt::spawn(planning::run_planner(Rc::downgrade(&leader))),
            actix_rt::spawn(steps::adopt_steps(Rc::downgrade(&leader))),
            actix_rt::spawn(copies::run_repairs(Rc::downgrade(&leader))),
            actix_rt::spawn(persistence::run_persistence(Rc::downgrade(&leader))),
            actix_rt::spawn(crate::listing::run(Rc::downgrade(&leader))),
            actix_rt::spawn(reachability::run(Rc::downgrade(&leader))),
            actix_rt::spawn(members::run_removals(
                Rc::downgrade(&leader),
                Duration::from_millis(CHECK_MEMBERS_INTERVAL_MS),
            )),
        ];
        leader.tasks.borrow_mut().extend(tasks);
        leader.tasks.borrow_mut().extend(usage::start(&leader));
        leader
    }

    /// Passes the recorded costs of samples to the plan.
    fn adopt_costs(&self) {
        let state = self.context.replica.state();
        let costs = state.costs.iter().map(|(id, known)| (id.clone(), known.cost.clone()));
        let costs: Vec<(String, Cost)> = costs.collect();
        self.plan.borrow_mut().restore_costs(&costs, self.began);
    }

    /// Passes the adopted endpoints to the plan and to the forwarder.
    fn adopt_endpoints(&self) {
        if let Some(config) = self.config() {
            self.publish_callable(&config);
        }
        let mut plan = self.plan.borrow_mut();
        let mut first_state = self.first_state.borrow_mut();
        let registry = self.registry.borrow();
        for endpoint in registry.all() {
            first_state.insert(endpoint);
            plan.update_engine(endpoint);
            self.context.forwarder.apply(&Update::Endpoint(endpoint.clone()));
        }
        let steps = self.context.replica.state().steps.len();
        let endpoints = registry.all().count();
        tracing::info!(event = "lead_begun", epoch = self.epoch.0, steps, endpoints);
    }

    /// Ends the term: stops all tasks and disconnects the followers.
    pub fn stop(&self) {
        self.ended.set(true);
        self.context.replica.set_observer(None);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.context.runner.detach();
        self.context.runner.clear();
        self.orders.borrow_mut().stop();
        self.context.followers.clear();
        tracing::info!(event = "lead_ended", epoch = self.epoch.0);
    }

    /// Returns whether this term is still in force: it has not ended, and the lease is valid.
    pub fn leads(&self) -> bool {
        !self.ended.get() && self.context.replica.leads()
    }

    /// Returns whether this term has ended. An expired lease alone does not end it.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Returns the frames that bring a new follower up to date, given the digests of the endpoints
    /// that it knows. A replica, which may lead next, gets all endpoints; other members get only
    /// those that they may call.
    pub fn first_frames(&self, replica: bool, digests: &[u64]) -> [Bytes; 2] {
        let mut first_state = self.first_state.borrow_mut();
        let ranges = first_state.lacking(replica, digests, &self.registry.borrow());
        let state = self.context.replica.state();
        let common = Common {
            controls: self.control_addresses(),
            config: state.config.clone(),
            refused: state.crashes.refused(),
            suspected: state.crashes.suspected(),
            unreachable: self.unreachable_set(),
        };
        [encode_uncompressed(&LeaderMessage::Ranges(ranges)), first_state.encode_common(common)]
    }

    fn control_addresses(&self) -> BTreeSet<SocketAddr> {
        let members = self.context.replica.status().members;
        members.replicas.values().filter_map(|seat| seat.address.parse().ok()).collect()
    }

    /// Broadcasts the addresses of the control processes.
    pub fn broadcast_controls(&self) {
        let controls = self.control_addresses();
        self.expect_reporters(controls.len());
        self.context.followers.broadcast(&Update::Controls(controls));
    }

    /// Sets how many control processes exist. Nobody is considered silent unless most of them
    /// report.
    fn expect_reporters(&self, controls: usize) {
        self.registry.borrow_mut().reporters().set_quorum(controls / 2 + 1);
    }

    /// Returns the time of the fleet's clock in milliseconds.
    pub fn fleet_now(&self) -> u64 {
        self.start_clock + clock::now().since(self.began)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.context.replica.state().config.clone()
    }

    /// Returns the queue of verdicts that wait to be listed.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }
}
