//! What a process does while it leads: it keeps the endpoints, commits what is submitted, and
//! has samples made.

mod crashes;
mod endpoints;
mod readers;
mod runs;
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

use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Done;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Registry;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::Step;
use chicoryford_fleet::Verdict;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::plan::Plan;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::step::Result;
use chicoryford_fleet::turn::Turn;
use chicoryford_fleet::usage::Lives;
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
use crate::hosts;
use crate::hosts::Hosts;
use crate::listing::Outbox;
use crate::members;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Update;
use crate::metrics;
use crate::orders::Orders;
use crate::replica::LocalReplica;
use crate::runner::Runner;
use crate::settings::Settings;
use crate::view::View;
use readers::Readers;

/// The planner looks around this often, besides when something happens.
const LOOK: Duration = Duration::from_millis(50);
/// How often it is looked what is to be noted of runs.
const NOTE: Duration = Duration::from_millis(250);
/// Milliseconds between two looks whether the endpoints that the log knows are still those.
const KNOW_MS: u64 = 2_000;
/// Milliseconds between two looks for steps to be forgotten.
const FORGET_MS: u64 = 5_000;
/// Milliseconds between two looks at the members.
const MEMBERS_MS: u64 = 300;

/// What the leader's parts share from the start.
pub struct Context {
    /// The replica.
    pub replica: Rc<LocalReplica>,
    /// The members that follow.
    pub followers: Rc<Followers>,
    /// The settings.
    pub settings: Rc<Settings>,
    /// Carries scorers' calls.
    pub forwarder: Rc<Forwarder>,
    /// Hosts runs while no other VM does.
    pub runner: Rc<Runner>,
}

/// The leader's state. It is gone with the leadership; what must survive is in the log.
pub struct Leader {
    /// What the parts share.
    pub context: Context,
    /// The epoch, which fences orders.
    pub epoch: Epoch,
    /// Parts of steps on the stores.
    pub copies: Copies,
    /// Plans runs.
    pub plan: RefCell<Plan>,
    /// Connections to engines.
    pub pool: RefCell<Pool>,
    /// Orders to engines.
    pub orders: RefCell<Orders>,
    /// When the leadership began.
    pub began: Millis,
    registry: RefCell<Registry>,
    /// Services whose endpoints entries and hosts call.
    called: RefCell<BTreeSet<String>>,
    fleet_clock: u64,
    /// Steps that are being submitted: on their way to the stores, or into the log.
    submitting: RefCell<Vec<String>>,
    /// Steps whose submission is on its way into the log.
    submitted: RefCell<BTreeMap<String, Arc<Step>>>,
    /// Open steps whose samples are still to be read from the stores.
    unread: RefCell<Vec<String>>,
    listed: watch::Sender<u64>,
    kick: Notify,
    hosts: Hosts,
    outbox: Outbox,
    /// Reads of results that wait.
    pub(crate) readers: Readers,
    duties: RefCell<Vec<JoinHandle<()>>>,
    usage: usage::Usage,
    /// Set once this leadership has ended; the process may lead again, in another epoch.
    ended: Cell<bool>,
}

impl Leader {
    /// Begins to lead, from what the log holds and what the leader before told this process.
    pub fn start(context: Context, epoch: Epoch, view: &View) -> Rc<Self> {
        let now = clock::now();
        let known = view.endpoints();
        let turn = Turn {
            began: now,
            lease_ms: context.settings.lease_ms,
            fenced: context.settings.fenced,
            ordered: view.ordered(),
        };
        let fleet_clock = context.replica.fleet_clock();
        // What this process was told last is newer than what the log holds.
        let mut endpoints = context.replica.state().endpoints.clone();
        endpoints.extend(known.into_iter().map(|endpoint| (endpoint.said.id.clone(), endpoint)));
        let near = context.settings.policy.near_hosts;
        let hosts = Hosts::new(context.followers.clone(), context.runner.clone(), near);
        let copies = Copies::new(context.followers.clone(), &context.settings, now);
        let lives = Lives::new(now, context.replica.state().usage.lives().cloned());
        let usage = usage::Usage::new(context.settings.windows(), lives);
        let leader = Rc::new(Self {
            epoch,
            copies,
            plan: RefCell::new(Plan::new(epoch).under(context.settings.policy)),
            pool: RefCell::default(),
            orders: RefCell::new(Orders::new(turn)),
            began: now,
            registry: RefCell::new(Registry::adopt(
                endpoint::Settings::default(),
                endpoints.into_values(),
                now,
            )),
            called: RefCell::default(),
            fleet_clock,
            submitting: RefCell::default(),
            submitted: RefCell::default(),
            unread: RefCell::default(),
            listed: watch::Sender::new(0),
            kick: Notify::new(),
            hosts,
            outbox: Outbox::default(),
            readers: Readers::default(),
            duties: RefCell::default(),
            usage,
            ended: Cell::default(),
            context,
        });
        leader.adopt();
        let weak = Rc::downgrade(&leader);
        leader.context.replica.observe(Some(Box::new(move |command, done| {
            if let Some(leader) = weak.upgrade() {
                leader.applied(command, done);
            }
        })));
        let weak = Rc::downgrade(&leader);
        leader.context.runner.attach_local(move |report| {
            if let Some(leader) = weak.upgrade() {
                leader.handle_report(hosts::LOCAL, report);
            }
        });
        let duties = [
            actix_rt::spawn(plan_on(Rc::downgrade(&leader))),
            actix_rt::spawn(steps::adopt_steps(Rc::downgrade(&leader))),
            actix_rt::spawn(copies::keep(Rc::downgrade(&leader))),
            actix_rt::spawn(note_on(Rc::downgrade(&leader))),
            actix_rt::spawn(crate::listing::run(Rc::downgrade(&leader))),
            actix_rt::spawn(members::keep(
                Rc::downgrade(&leader),
                Duration::from_millis(MEMBERS_MS),
            )),
        ];
        leader.duties.borrow_mut().extend(duties);
        leader.duties.borrow_mut().extend(usage::start(&leader));
        leader
    }

    /// Takes over the endpoints.
    fn adopt(&self) {
        if let Some(config) = self.config() {
            self.spread_called(&config);
        }
        let mut plan = self.plan.borrow_mut();
        let registry = self.registry.borrow();
        for endpoint in registry.all() {
            plan.observe(endpoint);
            self.context.forwarder.apply(&Update::Endpoint(endpoint.clone()));
        }
        let steps = self.context.replica.state().steps.len();
        let endpoints = registry.all().count();
        tracing::info!(event = "lead_begun", epoch = self.epoch.0, steps, endpoints);
    }

    /// Ends all that the leader does.
    pub fn stop(&self) {
        self.ended.set(true);
        self.context.replica.observe(None);
        for duty in self.duties.borrow_mut().drain(..) {
            duty.abort();
        }
        self.context.runner.detach();
        self.context.runner.clear();
        self.orders.borrow_mut().stop();
        self.context.followers.clear();
        tracing::info!(event = "lead_ended", epoch = self.epoch.0);
    }

    /// Tells whether this leadership surely lasts.
    pub fn leads(&self) -> bool {
        !self.ended.get() && self.context.replica.leads()
    }

    /// Tells whether this leadership is over.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Gives all that a new follower is told: of endpoints only those that it may call, unless it may
    /// lead next.
    pub fn all_news(&self, replica: bool) -> Vec<Update> {
        let mut news = vec![Update::Controls(self.controls())];
        let config = self.config();
        let called = config.as_ref().map(|config| config.called_services()).unwrap_or_default();
        let told = |endpoint: &&Endpoint| replica || called.contains(&*endpoint.said.service);
        let registry = self.registry.borrow();
        let endpoints: Vec<&Endpoint> = registry.all().filter(told).collect();
        let ids = endpoints.iter().map(|endpoint| endpoint.said.id.clone()).collect();
        news.extend(config.as_ref().map(|config| Update::Config(Arc::new(config.told()))));
        news.extend(endpoints.into_iter().cloned().map(Update::Endpoint));
        news.push(Update::Whole(ids));
        news.push(Update::Refused(self.context.replica.state().crashes.refused()));
        news
    }

    fn controls(&self) -> BTreeSet<SocketAddr> {
        let members = self.context.replica.status().members;
        members.seats.values().filter_map(|seat| seat.address.parse().ok()).collect()
    }

    /// Tells all followers where control processes are.
    pub fn broadcast_controls(&self) {
        self.context.followers.broadcast(&Update::Controls(self.controls()));
    }

    /// Answers a call of a member.
    pub async fn answer(self: &Rc<Self>, call: Call) -> Answer {
        if !self.leads() {
            return Answer::NotNow;
        }
        match call {
            Call::Announce(said) => self.announce(said).await,
            Call::Leave(id) => self.leave(&id).await,
            Call::Configure(config) => self.commit(Command::Configure(config)).await,
            Call::ReadConfig => self.read_config().await,
            Call::Publish { model, version } => {
                self.commit(Command::Publish { model, version }).await
            }
            Call::Submit(step) => self.submit(step).await,
            Call::Read { step, after, wait_ms, near } => {
                self.read(&step, after, wait_ms, &near).await
            }
            Call::Body { step, sample } => self.body(&step, &sample).await,
            Call::End(step) => self.end(step).await,
            Call::Retire(node) => self.retire(node).await,
            Call::Retired(node) => self.retired(&node),
            Call::Join(id) => members::join(self, id).await,
        }
    }

    /// Has a command committed.
    pub async fn commit(&self, command: Command) -> Answer {
        match self.propose(command).await {
            Ok(Done::Changed | Done::Held) => Answer::Done,
            Ok(Done::Unknown) => Answer::Unknown,
            Err(answer) => answer,
        }
    }

    async fn propose(&self, command: Command) -> std::result::Result<Done, Answer> {
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

    /// Reads the fleet's clock.
    pub fn fleet_now(&self) -> u64 {
        self.fleet_clock + clock::now().since(self.began)
    }

    async fn read_config(&self) -> Answer {
        match self.context.replica.read().await {
            Ok(()) => Answer::Config(self.context.replica.state().config.clone()),
            Err(_) => Answer::NotNow,
        }
    }

    /// Takes in a command that was applied.
    fn applied(self: &Rc<Self>, command: &Command, done: Done) {
        if done != Done::Changed {
            return;
        }
        match command {
            Command::Configure(config) => {
                self.context.followers.broadcast(&Update::Config(Arc::new(config.told())));
                self.spread_called(config);
            }
            Command::Submit { step, place } => self.accepted(step, place),
            Command::End { step } => {
                self.close(step);
            }
            Command::List { step, results, .. } => {
                for listed in results {
                    self.release(step, listed.index);
                }
                let given_up = results.iter().filter(|r| r.result == Result::GivenUp).count();
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
                let over =
                    self.context.replica.state().steps.get(step).is_none_or(|s| !s.is_open());
                if over {
                    self.close(step);
                }
            }
            Command::Crash(crash) => self.crash_noted(crash),
            Command::Publish { model, version } => {
                tracing::info!(event = "version_named", model, version);
                self.orders.borrow_mut().hurry();
            }
            Command::Forget { .. }
            | Command::Retire { .. }
            | Command::Move { .. }
            | Command::Note { .. }
            | Command::Know { .. }
            | Command::Hold(_)
            | Command::Use(_)
            | Command::Clear(_)
            | Command::CloseWindow { .. } => {}
        }
        self.kick.notify_one();
    }

    /// Gives the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.context.replica.state().config.clone()
    }

    /// Starts what can start now.
    fn round(self: &Rc<Self>) {
        if !self.leads() {
            return;
        }
        let Some(config) = self.config() else { return };
        let now = clock::now();
        crate::orders::round(self, &config, now);
        for host in self.hosts.take_expired() {
            let orphaned = self.plan.borrow_mut().orphan(&host);
            tracing::warn!(event = "host_lost", host, orphaned);
        }
        let old = self.plan.borrow().too_old(&config, now);
        for (step, index) in old {
            tracing::info!(event = "sample_given_up", step, index, why = "age");
            self.settle(&step, index, Verdict::GivenUp);
        }
        let failed = self.plan.borrow().failed_before();
        for (step, index) in failed {
            tracing::info!(event = "sample_given_up", step, index, why = "failed before");
            self.settle(&step, index, Verdict::GivenUp);
        }
        let lost = self.plan.borrow().lost_runs(now);
        for (step, index) in lost {
            self.end_run(&step, index, RunEnd::Broken);
        }
        let slow = self.plan.borrow_mut().slow_runs(now);
        for (step, index) in slow {
            self.end_run(&step, index, RunEnd::Taken);
        }
        let assigned = self.plan.borrow_mut().assign(&config, now);
        for assignment in assigned {
            self.start_run(assignment);
        }
    }

    /// Gives the verdicts that are to be listed.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }
}

async fn plan_on(leader: Weak<Leader>) {
    let mut forgotten = clock::now();
    loop {
        let Some(strong) = leader.upgrade() else { return };
        strong.round();
        strong.tick_registry();
        if clock::now().since(forgotten) >= FORGET_MS {
            forgotten = clock::now();
            strong.forget_old().await;
            strong.pool.borrow_mut().sweep(|_| true);
            strong.context.forwarder.sweep();
        }
        tokio::select! {
            () = strong.kick.notified() => {}
            () = tokio::time::sleep(LOOK) => {}
        }
    }
}

/// Notes what would be lost with all processes at once.
async fn note_on(leader: Weak<Leader>) {
    let mut knows = clock::now();
    loop {
        tokio::time::sleep(NOTE).await;
        let Some(leader) = leader.upgrade() else { return };
        leader.note().await;
        if clock::now().since(knows) >= KNOW_MS {
            knows = clock::now();
            leader.know().await;
        }
    }
}
