//! What a process does while it leads: it keeps the endpoints, commits what is submitted, and
//! has samples made.

use std::cell::RefCell;
use std::collections::BTreeMap;
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
use chicoryford_fleet::Verdict;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::endpoint::Effect;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::Made;
use chicoryford_fleet::plan::Next;
use chicoryford_fleet::plan::Plan;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_http::Pool;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock;
use crate::core::Core;
use crate::forward::Forwarder;
use crate::hub::Followers;
use crate::listing::Outbox;
use crate::members;
use crate::message::Answer;
use crate::message::Call;
use crate::message::News;
use crate::orders::Orders;
use crate::runner;
use crate::settings::Settings;

/// The planner looks around this often, besides when something happens.
const LOOK: Duration = Duration::from_millis(50);
/// Milliseconds between two looks for steps to be forgotten.
const FORGET_MS: u64 = 5_000;
/// Milliseconds between two looks at the members.
const MEMBERS_MS: u64 = 300;
/// Bytes of text in one answer with results; the bound of a reply is a megabyte.
const RESULTS: usize = 900 << 10;

/// What the leader's parts share from the start.
pub struct Parts {
    /// The replica.
    pub core: Rc<Core>,
    /// The members that follow.
    pub followers: Rc<Followers>,
    /// The settings.
    pub settings: Rc<Settings>,
    /// Carries scorers' calls.
    pub forwarder: Rc<Forwarder>,
}

/// A task of a sample: its run or the call of its scorer.
struct Task {
    handle: JoinHandle<()>,
    made: Rc<RefCell<Made>>,
}

/// The leader's state. It is gone with the leadership; what must survive is in the log.
pub struct Lead {
    /// What the parts share.
    pub parts: Parts,
    /// The epoch, which fences orders.
    pub epoch: Epoch,
    /// Plans runs.
    pub plan: RefCell<Plan>,
    /// Connections to engines.
    pub pool: RefCell<Pool>,
    /// Orders to engines.
    pub orders: RefCell<Orders>,
    /// When the leadership began.
    pub began: Millis,
    registry: RefCell<Registry>,
    fleet_clock: u64,
    listed: watch::Sender<u64>,
    kick: Notify,
    tasks: RefCell<BTreeMap<(String, u32), Task>>,
    outbox: Outbox,
    duties: RefCell<Vec<JoinHandle<()>>>,
}

impl Lead {
    /// Begins to lead, from what the log holds and what this process knew of endpoints.
    pub fn start(parts: Parts, epoch: Epoch, known: Vec<Endpoint>) -> Rc<Self> {
        let now = clock::now();
        let fleet_clock = parts.core.state().clock;
        let lead = Rc::new(Self {
            epoch,
            plan: RefCell::default(),
            pool: RefCell::default(),
            orders: RefCell::default(),
            began: now,
            registry: RefCell::new(Registry::adopt(
                endpoint::Settings::default(),
                known.into_iter(),
                now,
            )),
            fleet_clock,
            listed: watch::Sender::new(0),
            kick: Notify::new(),
            tasks: RefCell::default(),
            outbox: Outbox::default(),
            duties: RefCell::default(),
            parts,
        });
        lead.adopt();
        let weak = Rc::downgrade(&lead);
        lead.parts.core.observe(Some(Box::new(move |command, done| {
            if let Some(lead) = weak.upgrade() {
                lead.applied(command, done);
            }
        })));
        let duties = [
            actix_rt::spawn(plan_on(Rc::downgrade(&lead))),
            actix_rt::spawn(crate::listing::run(Rc::downgrade(&lead))),
            actix_rt::spawn(members::keep(Rc::downgrade(&lead), Duration::from_millis(MEMBERS_MS))),
        ];
        lead.duties.borrow_mut().extend(duties);
        lead
    }

    /// Takes over the open steps and the endpoints.
    fn adopt(self: &Rc<Self>) {
        let state = self.parts.core.state();
        let mut plan = self.plan.borrow_mut();
        for step in state.steps.values().filter(|step| step.is_open()) {
            let at = self.began.0.saturating_sub(self.fleet_clock.saturating_sub(step.at));
            plan.open(step.step.clone(), Millis(at), |index| step.is_listed(index));
        }
        let registry = self.registry.borrow();
        for endpoint in registry.all() {
            plan.observe(endpoint);
            self.parts.forwarder.learn(&News::Endpoint(endpoint.clone()));
        }
        let (steps, endpoints) = (state.steps.len(), registry.all().count());
        tracing::info!(event = "lead_begun", epoch = self.epoch.0, steps, endpoints);
    }

    /// Ends all that the leader does.
    pub fn stop(&self) {
        self.parts.core.observe(None);
        for duty in self.duties.borrow_mut().drain(..) {
            duty.abort();
        }
        for (_, task) in std::mem::take(&mut *self.tasks.borrow_mut()) {
            task.handle.abort();
        }
        self.orders.borrow_mut().stop();
        self.parts.followers.clear();
        tracing::info!(event = "lead_ended", epoch = self.epoch.0);
    }

    /// Tells whether this process still surely leads.
    pub fn leads(&self) -> bool {
        self.parts.core.leads()
    }

    /// Gives all that a new follower is told.
    pub fn all_news(&self) -> Vec<News> {
        let mut news = vec![News::Controls(self.controls())];
        let config = self.parts.core.state().config.clone();
        news.extend(config.map(News::Config));
        let registry = self.registry.borrow();
        news.extend(registry.all().cloned().map(News::Endpoint));
        news.push(News::Whole(registry.all().map(|endpoint| endpoint.said.id.clone()).collect()));
        news
    }

    fn controls(&self) -> std::collections::BTreeSet<SocketAddr> {
        let members = self.parts.core.status().members;
        members.seats.values().filter_map(|seat| seat.address.parse().ok()).collect()
    }

    /// Tells all followers where control processes are.
    pub fn tell_controls(&self) {
        self.parts.followers.tell(&News::Controls(self.controls()));
    }

    /// Answers a call of a member.
    pub async fn answer(self: &Rc<Self>, call: Call) -> Answer {
        if !self.leads() {
            return Answer::NotNow;
        }
        match call {
            Call::Announce(said) => self.announce(said),
            Call::Leave(id) => self.leave(&id),
            Call::Configure(config) => self.commit(Command::Configure(config)).await,
            Call::ReadConfig => self.read_config().await,
            Call::Publish { model, version } => {
                self.commit(Command::Publish { model, version }).await
            }
            Call::Submit(step) => self.commit(Command::Submit(step)).await,
            Call::Read { step, after, wait_ms } => self.read(&step, after, wait_ms).await,
            Call::Body { step, sample } => self.body(&step, &sample),
            Call::End(step) => self.end(step).await,
            Call::Retire(node) => self.retire(node).await,
            Call::Retired(node) => self.retired(&node),
            Call::Join(id) => members::join(self, id).await,
        }
    }

    fn announce(&self, said: chicoryford_fleet::Announcement) -> Answer {
        let id = said.id.clone();
        let effect = self.registry.borrow_mut().announce(said, clock::now());
        self.spread(&id, effect);
        Answer::Heard(self.parts.settings.control)
    }

    fn leave(&self, id: &str) -> Answer {
        let effect = self.registry.borrow_mut().leave(id, clock::now());
        self.spread(id, effect);
        Answer::Done
    }

    /// Notes the version of a model that an engine was seen to have.
    pub fn learn_version(&self, id: &str, model: &str, version: u64) {
        let effect = self.registry.borrow_mut().learn(id, model, version);
        self.spread(id, effect);
    }

    fn spread(&self, id: &str, effect: Effect) {
        if effect == Effect::Old {
            return;
        }
        let Some(endpoint) = self.registry.borrow().get(id).cloned() else { return };
        self.plan.borrow_mut().observe(&endpoint);
        let news = News::Endpoint(endpoint);
        self.parts.forwarder.learn(&news);
        if effect == Effect::Changed {
            if let News::Endpoint(endpoint) = &news {
                let said = &endpoint.said;
                tracing::info!(event = "endpoint_changed", endpoint = id, service = said.service,
                    standing = ?endpoint.standing, address = %said.address, sequence = said.sequence,
                    models = ?said.models);
            }
            self.parts.followers.tell(&news);
            self.kick.notify_one();
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

    async fn propose(&self, command: Command) -> Result<Done, Answer> {
        let stamped = Stamped { at: self.fleet_now(), command };
        self.parts.core.propose(&stamped).await.map_err(|why| {
            tracing::info!(event = "commit_refused", %why);
            if why.is_final() { Answer::NotNow } else { Answer::Unclear }
        })
    }

    /// Reads the fleet's clock.
    pub fn fleet_now(&self) -> u64 {
        self.fleet_clock + clock::now().since(self.began)
    }

    async fn read_config(&self) -> Answer {
        match self.parts.core.read().await {
            Ok(()) => Answer::Config(self.parts.core.state().config.clone()),
            Err(_) => Answer::NotNow,
        }
    }

    async fn read(&self, step: &str, after: u64, wait_ms: u64) -> Answer {
        let until = clock::now() + wait_ms;
        let mut listed = self.listed.subscribe();
        loop {
            if !self.leads() {
                return Answer::NotNow;
            }
            let left = until.since(clock::now());
            {
                let state = self.parts.core.state();
                let Some(found) = state.steps.get(step) else { return Answer::Unknown };
                let more = found.results.len() as u64 > after;
                if more || !found.is_open() || left == 0 {
                    return results(found, after);
                }
            }
            let changed = listed.changed();
            if let Ok(Err(_)) = tokio::time::timeout(Duration::from_millis(left), changed).await {
                return Answer::NotNow;
            }
        }
    }

    fn body(&self, step: &str, sample: &str) -> Answer {
        let state = self.parts.core.state();
        let Some(found) = state.steps.get(step) else { return Answer::Unknown };
        let sample = found.step.samples.iter().find(|known| known.id == sample);
        sample.map_or(Answer::Unknown, |sample| Answer::Body(sample.body.clone()))
    }

    async fn end(&self, step: String) -> Answer {
        // The runs end before the answer, not only once the end is committed.
        let known = self.parts.core.state().steps.contains_key(&step);
        if !known {
            return Answer::Unknown;
        }
        self.commit(Command::End { step }).await
    }

    async fn retire(&self, node: String) -> Answer {
        let retired = self.parts.core.state().retired.clone();
        if retired.contains(&node) {
            return Answer::Done;
        }
        if !self.parts.followers.has_store(&node) {
            return Answer::Unknown;
        }
        let left = self.parts.followers.stores(|other| other != node && !retired.contains(other));
        if left < self.parts.settings.tolerated as usize + 1 {
            return Answer::TooFew;
        }
        self.commit(Command::Retire { node }).await
    }

    fn retired(&self, node: &str) -> Answer {
        // Store VMs hold nothing that is not on the control processes' disks as well, so one is
        // empty as soon as it is noted.
        if self.parts.core.state().retired.contains(node) {
            return Answer::Retired(true);
        }
        Answer::Unknown
    }

    /// Takes in a command that was applied.
    fn applied(self: &Rc<Self>, command: &Command, done: Done) {
        if done != Done::Changed {
            return;
        }
        match command {
            Command::Configure(config) => {
                self.parts.followers.tell(&News::Config(config.clone()));
            }
            Command::Submit(step) => {
                let samples = step.samples.len();
                tracing::info!(
                    event = "step_accepted",
                    step = step.id,
                    model = step.model,
                    number = step.number,
                    least = step.least,
                    samples,
                    wanted = step.wanted
                );
                self.plan.borrow_mut().open(step.clone(), clock::now(), |_| false);
            }
            Command::End { step } => {
                self.close(step);
            }
            Command::List { step, .. } => {
                self.listed.send_modify(|count| *count += 1);
                let over = self.parts.core.state().steps.get(step).is_none_or(|s| !s.is_open());
                if over {
                    self.close(step);
                }
            }
            Command::Publish { model, version } => {
                tracing::info!(event = "version_named", model, version);
            }
            Command::Forget { .. } | Command::Retire { .. } => {}
        }
        self.kick.notify_one();
    }

    fn close(&self, step: &str) {
        if !self.plan.borrow().has(step) {
            return;
        }
        self.plan.borrow_mut().close(step);
        let mut stopped = 0;
        self.tasks.borrow_mut().retain(|(of, _), task| {
            let stays = of != step;
            if !stays {
                task.handle.abort();
                stopped += 1;
            }
            stays
        });
        self.listed.send_modify(|count| *count += 1);
        tracing::info!(event = "step_closed", step, stopped);
    }

    /// Gives the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.parts.core.state().config.clone()
    }

    /// Starts what can start now.
    fn round(self: &Rc<Self>) {
        if !self.leads() {
            return;
        }
        let Some(config) = self.config() else { return };
        let now = clock::now();
        crate::orders::round(self, &config, now);
        let lost = self.plan.borrow_mut().give_up(&config, now);
        for (step, index) in lost {
            self.stop_task(&step, index);
            tracing::info!(event = "sample_given_up", step, index, why = "age");
            self.outbox.put(&step, index, Verdict::GivenUp);
        }
        let slow = self.plan.borrow_mut().slow_runs(now);
        for (step, index) in slow {
            let made = self.stop_task(&step, index);
            tracing::info!(event = "run_taken", step, index, events = made.events.len());
            self.plan.borrow_mut().ended(&step, index, RunEnd::Taken, made, now);
        }
        let assigned = self.plan.borrow_mut().assign(&config, now);
        for assignment in assigned {
            self.start_run(assignment);
        }
    }

    fn stop_task(&self, step: &str, index: u32) -> Made {
        let task = self.tasks.borrow_mut().remove(&(step.to_owned(), index));
        task.map_or_else(Made::default, |task| {
            task.handle.abort();
            task.made.borrow().clone()
        })
    }

    fn start_run(self: &Rc<Self>, assignment: Assignment) {
        let made = Rc::new(RefCell::new(assignment.made.clone()));
        let key = (assignment.step.id.clone(), assignment.index);
        let run = runner::run(self.clone(), assignment, made.clone());
        let handle = actix_rt::spawn(run);
        self.tasks.borrow_mut().insert(key, Task { handle, made });
    }

    /// Takes in how a run ended.
    pub fn run_ended(self: &Rc<Self>, assignment: &Assignment, end: RunEnd, made: Made) {
        let (step, index) = (&assignment.step.id, assignment.index);
        let events = made.events.len();
        let next = self.plan.borrow_mut().ended(step, index, end, made.clone(), clock::now());
        let sample = &assignment.step.samples[index as usize].id;
        if end != RunEnd::Whole {
            tracing::info!(event = "run_ended", step, sample, endpoint = assignment.endpoint,
                end = ?end, next = ?next, events);
        }
        self.tasks.borrow_mut().remove(&(step.clone(), index));
        match next {
            Next::Score => {
                let shared = Rc::new(RefCell::new(made.clone()));
                let step = assignment.step.clone();
                let handle = actix_rt::spawn(runner::score(self.clone(), step, index, made));
                let key = (assignment.step.id.clone(), index);
                self.tasks.borrow_mut().insert(key, Task { handle, made: shared });
            }
            Next::GiveUp => self.settle(step, index, Verdict::GivenUp),
            Next::Again | Next::Nothing => {}
        }
        self.kick.notify_one();
    }

    /// Has a sample's verdict listed.
    pub fn settle(&self, step: &str, index: u32, verdict: Verdict) {
        self.plan.borrow_mut().settled(step, index);
        self.tasks.borrow_mut().remove(&(step.to_owned(), index));
        self.outbox.put(step, index, verdict);
    }

    /// Gives the verdicts that are to be listed.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    async fn forget_old(&self) {
        let now = self.fleet_now();
        let keep_ms = self.parts.settings.keep_s * 1_000;
        let steps = self.parts.core.state().expired(now, keep_ms);
        if !steps.is_empty() {
            tracing::info!(event = "steps_forgotten", count = steps.len());
            self.commit(Command::Forget { steps }).await;
        }
    }

    fn tick_registry(&self) {
        let (changed, forgotten) = self.registry.borrow_mut().tick(clock::now());
        for endpoint in changed {
            self.spread(&endpoint.said.id, Effect::Changed);
        }
        for id in forgotten {
            self.plan.borrow_mut().forget(&id);
            let news = News::Forgotten(id);
            self.parts.forwarder.learn(&news);
            self.parts.followers.tell(&news);
        }
    }
}

async fn plan_on(lead: Weak<Lead>) {
    let mut forgotten = clock::now();
    loop {
        let Some(strong) = lead.upgrade() else { return };
        strong.round();
        strong.tick_registry();
        if clock::now().since(forgotten) >= FORGET_MS {
            forgotten = clock::now();
            strong.forget_old().await;
            strong.pool.borrow_mut().sweep(|_| true);
            strong.parts.forwarder.sweep();
        }
        tokio::select! {
            () = strong.kick.notified() => {}
            () = tokio::time::sleep(LOOK) => {}
        }
    }
}

fn results(found: &chicoryford_fleet::state::StepState, after: u64) -> Answer {
    let mut bytes = 0;
    let mut listed = Vec::new();
    for result in found.results.iter().skip(after as usize) {
        let sample = &found.step.samples[result.index as usize];
        bytes += size(&result.verdict) + sample.id.len();
        if bytes > RESULTS && !listed.is_empty() {
            break;
        }
        listed.push((sample.id.clone(), result.clone()));
    }
    Answer::Results { total: found.step.samples.len() as u64, listed }
}

/// Gives about how many bytes a verdict takes in a reply; line feeds and quotes are escaped.
fn size(verdict: &Verdict) -> usize {
    match verdict {
        Verdict::Completed { text, .. } => {
            let escaped = text.bytes().filter(|b| *b < b' ' || *b == b'"' || *b == b'\\').count();
            text.len() + escaped + 128
        }
        Verdict::GivenUp => 96,
    }
}
