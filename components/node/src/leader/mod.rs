//! The duties of the elected leader: it keeps the endpoint registry, commits what is submitted, and
//! assigns the samples of steps to hosts.

mod crashes;
mod endpoints;
mod first_state;
mod grants;
mod reachability;
mod readers;
mod runs;
mod speeds;
mod steps;
mod stores;
mod usage;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::ApplyOutcome;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Registry;
use chicoryford_fleet::SampleResult;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::Step;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::reachability::ReachabilityTracker;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::step::StoredResult;
use chicoryford_fleet::usage::ReportTracker;
use chicoryford_http::Pool;
use chicoryford_kernel::run_time::RunTimer;
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
use crate::message::Answer;
use crate::message::Call;
use crate::message::LeaderMessage;
use crate::message::Update;
use crate::metrics;
use crate::orders::Orders;
use crate::replica::LocalReplica;
use crate::runner::Runner;
use crate::settings::Settings;
use crate::view::View;
use first_state::Common;
use first_state::FirstState;
use readers::Readers;

/// Interval of the planner's rounds; events start additional rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks for run progress to write as checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks whether the logged endpoints still match the registry.
const PERSIST_ENDPOINTS_INTERVAL_MS: u64 = 2_000;
/// Interval between checks for expired steps.
const EXPIRE_STEPS_INTERVAL_MS: u64 = 5_000;
/// Interval between checks for replicas to remove.
const CHECK_MEMBERS_INTERVAL_MS: u64 = 300;

/// Dependencies of the leader, which outlive each term of leadership.
pub struct Context {
    /// The replica.
    pub replica: Rc<LocalReplica>,
    /// The connected members.
    pub followers: Rc<Followers>,
    /// The settings.
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
            actix_rt::spawn(run_planner(Rc::downgrade(&leader))),
            actix_rt::spawn(steps::adopt_steps(Rc::downgrade(&leader))),
            actix_rt::spawn(copies::run_repairs(Rc::downgrade(&leader))),
            actix_rt::spawn(run_persistence(Rc::downgrade(&leader))),
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

    /// Handles a call from a member.
    pub async fn answer(self: &Rc<Self>, call: Call) -> Answer {
        if !self.leads() {
            return Answer::NotNow;
        }
        match call {
            Call::Announce(announcement) => self.announce(announcement).await,
            Call::Leave(id) => self.leave(&id).await,
            Call::Configure(config) => self.commit(Command::Configure(config)).await,
            Call::ReadConfig => self.read_config().await,
            Call::Publish { model, version } => {
                self.commit(Command::Publish { model, version }).await
            }
            Call::Submit(step) => self.submit(step).await,
            Call::Read { step, after, wait_ms, near } => {
                self.read_results(&step, after, wait_ms, &near).await
            }
            Call::Body { step, sample } => self.body(&step, &sample).await,
            Call::End(step) => self.end_step(step).await,
            Call::Retire(node) => self.retire(node).await,
            Call::Retired(node) => self.retired(&node),
            Call::Join(id) => members::join(self, id).await,
            Call::Resign(id) => members::resign(self, id).await,
        }
    }

    /// Commits a command and translates the outcome into an answer.
    pub async fn commit(&self, command: Command) -> Answer {
        match self.propose(command).await {
            Ok(ApplyOutcome::Changed | ApplyOutcome::Held) => Answer::Done,
            Ok(ApplyOutcome::Unknown) => Answer::Unknown,
            Err(answer) => answer,
        }
    }

    async fn propose(&self, command: Command) -> std::result::Result<ApplyOutcome, Answer> {
        let stamped = Stamped { at: self.fleet_now(), command };
        let began = clock::now();
        let done = self.context.replica.propose(&stamped).await;
        let outcome = if done.is_ok() { "committed" } else { "refused" };
        let seconds = clock::now().since(began) as f64 / 1_000.0;
        metrics::COMMITS.with_label_values(&[outcome]).inc();
        metrics::COMMIT_SECONDS.with_label_values(&[outcome]).observe(seconds);
        done.map_err(|why| {
            tracing::info!(event = "commit_refused", %why);
            if why.is_final() { Answer::NotNow } else { Answer::Unclear }
        })
    }

    /// Returns the time of the fleet's clock in milliseconds.
    pub fn fleet_now(&self) -> u64 {
        self.start_clock + clock::now().since(self.began)
    }

    async fn read_config(&self) -> Answer {
        match self.context.replica.read().await {
            Ok(()) => Answer::Config(self.context.replica.state().config.clone()),
            Err(_) => Answer::NotNow,
        }
    }

    /// Reacts to a command that was applied to the state.
    fn on_applied(self: &Rc<Self>, command: &Command, done: ApplyOutcome) {
        if done != ApplyOutcome::Changed {
            return;
        }
        match command {
            Command::Configure(config) => {
                self.context
                    .followers
                    .broadcast(&Update::Config(Arc::new(config.without_source())));
                self.publish_callable(config);
            }
            Command::Submit { step, placement: place } => self.on_submitted(step, place),
            Command::End { step } => {
                self.close_step(step);
            }
            Command::List { step, results, .. } => {
                for listed in results {
                    self.release(step, listed.index);
                }
                let given_up = results.iter().filter(|r| r.result == StoredResult::GivenUp).count();
                let listed =
                    self.context.replica.state().steps.get(step).map_or(0, |s| s.results.len());
                tracing::info!(
                    event = "results_listed",
                    step,
                    more = results.len(),
                    given_up,
                    listed
                );
                self.listed.send_modify(|count| *count += 1);
                let is_closed =
                    self.context.replica.state().steps.get(step).is_none_or(|s| !s.is_open());
                if is_closed {
                    self.close_step(step);
                }
            }
            Command::Crash(crash) => self.on_crash_applied(crash),
            Command::Clear(_) => self.broadcast_suspected(),
            Command::Spend(costs) => self.on_costs_applied(costs),
            Command::Publish { model, version } => {
                tracing::info!(event = "version_named", model, version);
                self.orders.borrow_mut().check_at_once();
            }
            Command::Forget { .. }
            | Command::Retire { .. }
            | Command::Move { .. }
            | Command::Note { .. }
            | Command::Know { .. }
            | Command::Hold(_)
            | Command::Speeds(_)
            | Command::Use(_)
            | Command::CloseWindow { .. } => {}
        }
        self.wake_planner.notify_one();
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.context.replica.state().config.clone()
    }

    /// Runs one planning round: ends lost, slow and hopeless runs, and starts new ones.
    fn plan_round(self: &Rc<Self>) {
        if !self.leads() {
            return;
        }
        let Some(config) = self.config() else { return };
        let now = clock::now();
        crate::orders::start_due_loads(self, &config, now);
        for host in self.hosts.take_expired() {
            let orphaned = self.plan.borrow_mut().orphan_runs(&host);
            tracing::warn!(event = "host_lost", host, orphaned);
        }
        let old = self.plan.borrow().expired_samples(&config, now);
        for (step, index) in old {
            tracing::info!(event = "sample_given_up", step, index, why = "age");
            self.settle(&step, index, SampleResult::GivenUp);
        }
        let failed = self.plan.borrow().exhausted_samples();
        for (step, index) in failed {
            tracing::info!(event = "sample_given_up", step, index, why = "failed before");
            self.settle(&step, index, SampleResult::GivenUp);
        }
        let is_check_due = now.since(self.runs_checked.get()) >= PLAN_INTERVAL.as_millis() as u64;
        if is_check_due {
            self.runs_checked.set(now);
            self.end_lost_and_slow_runs(now);
        }
        let mut assigned = self.plan.borrow_mut().assign(&config, now);
        if is_check_due && self.move_to_faster_engines(&config, now) {
            assigned.extend(self.plan.borrow_mut().assign(&config, now));
        }
        self.record_open_runs();
        for assignment in assigned {
            self.start_run(assignment);
        }
    }

    /// Ends runs that need another engine. They are noticed by the time that passes, so events need
    /// no additional check: it examines every engine.
    fn end_lost_and_slow_runs(self: &Rc<Self>, now: Millis) {
        let lost = self.plan.borrow().lost_runs(now);
        for (step, index) in lost {
            self.end_run(&step, index, RunEnd::Broken);
        }
        let slow = self.plan.borrow_mut().slow_runs(now);
        for (step, index) in slow {
            metrics::MOVED_RUNS.with_label_values(&["slow"]).inc();
            self.end_run(&step, index, RunEnd::Taken);
        }
    }

    /// Returns the queue of verdicts that wait to be listed.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }
}

async fn run_planner(leader: Weak<Leader>) {
    let mut last_expiry = clock::now();
    let mut last_tick = Millis::default();
    let timer = RunTimer::start();
    loop {
        timer.read().await;
        let Some(leader) = leader.upgrade() else { return };
        leader.plan_round();
        if clock::now().since(last_tick) >= PLAN_INTERVAL.as_millis() as u64 {
            last_tick = clock::now();
            leader.tick_registry();
        }
        if clock::now().since(last_expiry) >= EXPIRE_STEPS_INTERVAL_MS {
            last_expiry = clock::now();
            leader.forget_expired_steps().await;
            leader.pool.borrow_mut().sweep(|_| true);
            leader.context.forwarder.sweep();
        }
        tokio::select! {
            () = leader.wake_planner.notified() => {}
            () = tokio::time::sleep(PLAN_INTERVAL) => {}
        }
    }
}

/// Persists run progress, known endpoints and speeds of engines, which would otherwise be lost if
/// all processes failed at once.
async fn run_persistence(leader: Weak<Leader>) {
    let mut last_persisted = clock::now();
    loop {
        tokio::time::sleep(CHECKPOINT_INTERVAL).await;
        let Some(leader) = leader.upgrade() else { return };
        leader.write_checkpoints().await;
        if clock::now().since(last_persisted) >= PERSIST_ENDPOINTS_INTERVAL_MS {
            last_persisted = clock::now();
            leader.persist_endpoints().await;
            leader.persist_speeds().await;
        }
    }
}
