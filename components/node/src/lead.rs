//! What a process does while it leads: it keeps the endpoints, commits what is submitted, and
//! has samples made.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Announcement;
use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Done;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Listed;
use chicoryford_fleet::Outline;
use chicoryford_fleet::Registry;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::Step;
use chicoryford_fleet::Verdict;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::endpoint::Effect;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::Next;
use chicoryford_fleet::plan::Note;
use chicoryford_fleet::plan::Plan;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
use chicoryford_fleet::step::Result;
use chicoryford_http::Pool;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock;
use crate::copies;
use crate::copies::Copies;
use crate::core::Core;
use crate::forward::Forwarder;
use crate::hosts;
use crate::hosts::Hosts;
use crate::hub::Followers;
use crate::listing::Outbox;
use crate::listing::Settled;
use crate::members;
use crate::message::Answer;
use crate::message::Call;
use crate::message::News;
use crate::metrics;
use crate::orders::Orders;
use crate::runner::Runner;
use crate::settings::Settings;

/// The planner looks around this often, besides when something happens.
const LOOK: Duration = Duration::from_millis(50);
/// Milliseconds for which hosts may tell that they run samples of a step that was taken over from
/// the leader before. They notice its loss within 0.9 s, mostly before the next one is elected.
const HELD_MS: u64 = 500;
/// Milliseconds for which an engine may go on with a run beyond the time at which results are
/// due, if nobody stops it.
const GRACE_MS: u64 = 5_000;
/// How often it is looked what is to be noted of runs.
const NOTE: Duration = Duration::from_millis(250);
/// Milliseconds between two looks whether the endpoints that the log knows are still those.
const KNOW_MS: u64 = 2_000;
/// Milliseconds between two looks for steps to be forgotten.
const FORGET_MS: u64 = 5_000;
/// Milliseconds between two looks at the members.
const MEMBERS_MS: u64 = 300;
/// Bytes of text in one answer with results; the bound of a reply is a megabyte.
const RESULTS: usize = 900 << 10;

/// Bytes of a result beside its text and its sample's identity: field names, versions, score.
const RESULT_FRAME: usize = 256;

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
    /// Hosts runs while no other VM does.
    pub runner: Rc<Runner>,
}

/// The leader's state. It is gone with the leadership; what must survive is in the log.
pub struct Lead {
    /// What the parts share.
    pub parts: Parts,
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
    fleet_clock: u64,
    /// Steps whose submission is on its way into the log.
    submitted: RefCell<BTreeMap<String, Arc<Step>>>,
    /// Open steps whose samples are still to be read from the stores.
    unread: RefCell<Vec<String>>,
    listed: watch::Sender<u64>,
    kick: Notify,
    hosts: Hosts,
    outbox: Outbox,
    duties: RefCell<Vec<JoinHandle<()>>>,
}

impl Lead {
    /// Begins to lead, from what the log holds and what this process knew of endpoints.
    pub fn start(parts: Parts, epoch: Epoch, known: Vec<Endpoint>) -> Rc<Self> {
        let now = clock::now();
        let fleet_clock = parts.core.state().clock;
        let mut endpoints = parts.core.state().endpoints.clone();
        endpoints.retain(|endpoint| known.iter().all(|other| other.said.id != endpoint.said.id));
        endpoints.extend(known);
        let hosts = Hosts::new(parts.followers.clone(), parts.runner.clone());
        let copies = Copies::new(parts.followers.clone(), parts.settings.tolerated, now);
        let lead = Rc::new(Self {
            epoch,
            copies,
            plan: RefCell::new(Plan::new(epoch)),
            pool: RefCell::default(),
            orders: RefCell::default(),
            began: now,
            registry: RefCell::new(Registry::adopt(
                endpoint::Settings::default(),
                endpoints.into_iter(),
                now,
            )),
            fleet_clock,
            submitted: RefCell::default(),
            unread: RefCell::default(),
            listed: watch::Sender::new(0),
            kick: Notify::new(),
            hosts,
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
        let weak = Rc::downgrade(&lead);
        lead.parts.runner.attach_own(move |report| {
            if let Some(lead) = weak.upgrade() {
                lead.take_report(hosts::OWN, report);
            }
        });
        let duties = [
            actix_rt::spawn(plan_on(Rc::downgrade(&lead))),
            actix_rt::spawn(adopt_steps(Rc::downgrade(&lead))),
            actix_rt::spawn(copies::keep(Rc::downgrade(&lead))),
            actix_rt::spawn(note_on(Rc::downgrade(&lead))),
            actix_rt::spawn(crate::listing::run(Rc::downgrade(&lead))),
            actix_rt::spawn(members::keep(Rc::downgrade(&lead), Duration::from_millis(MEMBERS_MS))),
        ];
        lead.duties.borrow_mut().extend(duties);
        lead
    }

    /// Takes over the endpoints.
    fn adopt(&self) {
        let mut plan = self.plan.borrow_mut();
        let registry = self.registry.borrow();
        for endpoint in registry.all() {
            plan.observe(endpoint);
            self.parts.forwarder.learn(&News::Endpoint(endpoint.clone()));
        }
        let steps = self.parts.core.state().steps.len();
        let endpoints = registry.all().count();
        tracing::info!(event = "lead_begun", epoch = self.epoch.0, steps, endpoints);
    }

    /// Takes over an open step of the leader before; tells whether that is done.
    async fn adopt_step(&self, id: &str) -> bool {
        let found = {
            let state = self.parts.core.state();
            let open = state.steps.get(id).filter(|step| step.is_open());
            open.and_then(|step| {
                let place = state.parts.get(&step.step.part)?.place.clone();
                Some((step.step.part, place))
            })
        };
        let Some((part, place)) = found else { return true };
        let Some(step) = self.read_step(part, &place).await else { return false };
        let notes = self.read_notes(id).await;
        let state = self.parts.core.state();
        if let Some(open) = state.steps.get(id).filter(|step| step.is_open()) {
            let at = self.began.0.saturating_sub(self.fleet_clock.saturating_sub(open.at));
            let mut plan = self.plan.borrow_mut();
            let held = clock::now() + HELD_MS;
            plan.open(Arc::new(step), Millis(at), held, |index| open.is_listed(index));
            plan.recall(id, notes);
            tracing::info!(event = "step_adopted", step = id, listed = open.results.len());
        }
        true
    }

    /// Reads what was noted of a step's samples. A note that cannot be read only costs time.
    async fn read_notes(&self, id: &str) -> Vec<Note> {
        let places: Vec<(PartId, copies::Place)> = {
            let state = self.parts.core.state();
            let parts = state.steps.get(id).map(|step| step.notes.clone()).unwrap_or_default();
            let place = |part: PartId| Some((part, state.parts.get(&part)?.place.clone()));
            parts.into_iter().filter_map(place).collect()
        };
        let mut notes = Vec::new();
        for (part, place) in places {
            let Some(bytes) = self.copies.read(part, &place).await else { continue };
            match rmp_serde::from_slice::<Vec<Note>>(&bytes) {
                Ok(read) => notes.extend(read),
                Err(error) => tracing::error!(event = "part_unfit", part = part.0, %error),
            }
        }
        notes
    }

    /// Notes on the stores what long runs have made.
    async fn note(&self) {
        let notes = self.plan.borrow_mut().to_note();
        let retired = self.parts.core.state().retired.clone();
        let writes = notes.into_iter().map(|(step, notes)| {
            let retired = &retired;
            async move {
                let part = PartId(rand::random());
                let bytes = Bytes::from(rmp_serde::to_vec(&notes).expect("notes are plain data"));
                let place = self.copies.write(part, &bytes, retired).await;
                // Without enough stores the run is not noted: the log is not made for this.
                if matches!(place, copies::Place::Stores(_)) {
                    self.commit(Command::Note { step, part, place }).await;
                }
            }
        });
        futures_util::future::join_all(writes).await;
    }

    /// Notes in the log which endpoints are known, if that has changed.
    async fn know(&self) -> Answer {
        let live: Vec<Endpoint> = {
            let registry = self.registry.borrow();
            let ready = |endpoint: &&Endpoint| endpoint.standing == endpoint::Standing::Ready;
            registry.all().filter(ready).cloned().collect()
        };
        let same = {
            let state = self.parts.core.state();
            let ids = |all: &[Endpoint]| -> BTreeSet<String> {
                all.iter().map(|endpoint| endpoint.said.id.clone()).collect()
            };
            ids(&state.endpoints) == ids(&live)
        };
        if same { Answer::Done } else { self.commit(Command::Know(live)).await }
    }

    /// Has the log forget an endpoint that leaves. A leader that is elected later and knows nobody
    /// who heard of it would otherwise send it work again.
    async fn forget_leaving(&self, id: &str) -> Answer {
        let noted = self.parts.core.state().endpoints.iter().any(|known| known.said.id == id);
        if noted { self.know().await } else { Answer::Done }
    }

    async fn read_step(&self, part: PartId, place: &copies::Place) -> Option<Step> {
        let bytes = self.copies.read(part, place).await?;
        rmp_serde::from_slice(&bytes)
            .inspect_err(|error| tracing::error!(event = "part_unfit", part = part.0, %error))
            .ok()
    }

    /// Ends all that the leader does.
    pub fn stop(&self) {
        self.parts.core.observe(None);
        for duty in self.duties.borrow_mut().drain(..) {
            duty.abort();
        }
        self.parts.runner.detach();
        self.parts.runner.clear();
        self.orders.borrow_mut().stop();
        self.parts.followers.clear();
        tracing::info!(event = "lead_ended", epoch = self.epoch.0);
    }

    /// Counts the endpoints by standing.
    pub fn endpoint_counts(&self) -> BTreeMap<String, i64> {
        let mut counts = BTreeMap::new();
        for endpoint in self.registry.borrow().all() {
            let standing = format!("{:?}", endpoint.standing).to_lowercase();
            *counts.entry(standing).or_default() += 1;
        }
        counts
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

    fn controls(&self) -> BTreeSet<SocketAddr> {
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
            Call::Announce(said) => self.announce(said).await,
            Call::Leave(id) => self.leave(&id).await,
            Call::Configure(config) => self.commit(Command::Configure(config)).await,
            Call::ReadConfig => self.read_config().await,
            Call::Publish { model, version } => {
                self.commit(Command::Publish { model, version }).await
            }
            Call::Submit(step) => self.submit(step).await,
            Call::Read { step, after, wait_ms } => self.read(&step, after, wait_ms).await,
            Call::Body { step, sample } => self.body(&step, &sample).await,
            Call::End(step) => self.end(step).await,
            Call::Retire(node) => self.retire(node).await,
            Call::Retired(node) => self.retired(&node),
            Call::Join(id) => members::join(self, id).await,
        }
    }

    async fn announce(&self, said: Announcement) -> Answer {
        let (id, draining) = (said.id.clone(), said.draining);
        let effect = self.registry.borrow_mut().announce(said, clock::now());
        self.spread(&id, effect);
        if draining && !matches!(self.forget_leaving(&id).await, Answer::Done) {
            return Answer::NotNow;
        }
        Answer::Heard(self.parts.settings.control)
    }

    async fn leave(&self, id: &str) -> Answer {
        let effect = self.registry.borrow_mut().leave(id, clock::now());
        self.spread(id, effect);
        self.forget_leaving(id).await
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

    async fn propose(&self, command: Command) -> std::result::Result<Done, Answer> {
        let stamped = Stamped { at: self.fleet_now(), command };
        let began = clock::now();
        let done = self.parts.core.propose(&stamped).await;
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
        match self.parts.core.read().await {
            Ok(()) => Answer::Config(self.parts.core.state().config.clone()),
            Err(_) => Answer::NotNow,
        }
    }

    /// Accepts a step: its samples are on enough stores, and the log says where.
    async fn submit(&self, step: Arc<Step>) -> Answer {
        if self.parts.core.state().steps.contains_key(&step.id) {
            return Answer::Done;
        }
        let part = PartId(rand::random());
        let bytes = Bytes::from(rmp_serde::to_vec(&*step).expect("steps are plain data"));
        let retired = self.parts.core.state().retired.clone();
        let place = self.copies.write(part, &bytes, &retired).await;
        let outline = Outline {
            id: step.id.clone(),
            model: step.model.clone(),
            samples: step.samples.len() as u32,
            age_ms: step.age_ms,
            part,
        };
        self.submitted.borrow_mut().insert(step.id.clone(), step.clone());
        let answer = self.commit(Command::Submit { step: Arc::new(outline), place }).await;
        self.submitted.borrow_mut().remove(&step.id);
        answer
    }

    async fn read(&self, step: &str, after: u64, wait_ms: u64) -> Answer {
        let until = clock::now() + wait_ms;
        let mut listed = self.listed.subscribe();
        loop {
            if !self.leads() {
                return Answer::NotNow;
            }
            let left = until.since(clock::now());
            let ready = {
                let state = self.parts.core.state();
                let Some(found) = state.steps.get(step) else { return Answer::Unknown };
                found.results.len() as u64 > after || !found.is_open() || left == 0
            };
            if ready {
                return self.results(step, after).await;
            }
            let changed = listed.changed();
            if let Ok(Err(_)) = tokio::time::timeout(Duration::from_millis(left), changed).await {
                return Answer::NotNow;
            }
        }
    }

    /// Puts results together: what the log says of them, and their texts from the parts.
    async fn results(&self, step: &str, after: u64) -> Answer {
        let (total, chosen, places) = {
            let state = self.parts.core.state();
            let Some(found) = state.steps.get(step) else { return Answer::Unknown };
            let chosen = choose_results(&found.results, after);
            let parts: BTreeSet<PartId> =
                chosen.iter().filter_map(|listed| text_part(listed)).collect();
            let places =
                parts.iter().filter_map(|part| Some((*part, state.parts.get(part)?.place.clone())));
            let places: Vec<(PartId, copies::Place)> = places.collect();
            (u64::from(found.step.samples), chosen, places)
        };
        let mut texts: BTreeMap<PartId, Vec<String>> = BTreeMap::new();
        for (part, place) in places {
            let Some(bytes) = self.copies.read(part, &place).await else { return Answer::NotNow };
            match rmp_serde::from_slice(&bytes) {
                Ok(read) => texts.insert(part, read),
                Err(error) => {
                    tracing::error!(event = "part_unfit", part = part.0, %error);
                    return Answer::NotNow;
                }
            };
        }
        let listed: Option<Vec<(String, Verdict)>> =
            chosen.iter().map(|listed| whole(listed, &texts)).collect();
        listed.map_or(Answer::NotNow, |listed| Answer::Results { total, listed })
    }

    async fn body(&self, step: &str, sample: &str) -> Answer {
        let found = {
            let state = self.parts.core.state();
            let Some(found) = state.steps.get(step) else { return Answer::Unknown };
            let part = found.step.part;
            state.parts.get(&part).map(|known| (part, known.place.clone()))
        };
        let Some((part, place)) = found else { return Answer::NotNow };
        let Some(step) = self.read_step(part, &place).await else { return Answer::NotNow };
        let sample = step.samples.into_iter().find(|known| known.id == sample);
        sample.map_or(Answer::Unknown, |sample| Answer::Body(sample.body))
    }

    async fn end(&self, step: String) -> Answer {
        if !self.parts.core.state().steps.contains_key(&step) {
            return Answer::Unknown;
        }
        self.commit(Command::End { step }).await
    }

    async fn retire(&self, node: String) -> Answer {
        let retired = self.parts.core.state().retired.clone();
        if retired.contains(&node) {
            return Answer::Done;
        }
        if !self.copies.has(&node) {
            return Answer::Unknown;
        }
        let left = self.copies.count(|other| other != node && !retired.contains(other));
        if left < self.parts.settings.tolerated as usize + 1 {
            return Answer::TooFew;
        }
        tracing::info!(event = "store_retires", store = node, left);
        self.commit(Command::Retire { node }).await
    }

    fn retired(&self, node: &str) -> Answer {
        let state = self.parts.core.state();
        if !state.retired.contains(node) {
            return Answer::Unknown;
        }
        let holds = |place: &copies::Place| match place {
            copies::Place::Inline(_) => false,
            copies::Place::Stores(stores) => stores.iter().any(|store| store.node == node),
        };
        let left = state.parts.values().filter(|part| holds(&part.place)).count();
        Answer::Retired(left == 0)
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
            Command::Submit { step, place } => self.accepted(step, place),
            Command::End { step } => {
                self.close(step);
            }
            Command::List { step, results, .. } => {
                for listed in results {
                    self.release(step, listed.index);
                }
                let given_up = results.iter().filter(|r| r.result == Result::GivenUp).count();
                let listed = self.parts.core.state().steps.get(step).map_or(0, |s| s.results.len());
                tracing::info!(
                    event = "results_listed",
                    step,
                    more = results.len(),
                    given_up,
                    listed
                );
                self.listed.send_modify(|count| *count += 1);
                let over = self.parts.core.state().steps.get(step).is_none_or(|s| !s.is_open());
                if over {
                    self.close(step);
                }
            }
            Command::Publish { model, version } => {
                tracing::info!(event = "version_named", model, version);
            }
            Command::Forget { .. }
            | Command::Retire { .. }
            | Command::Move { .. }
            | Command::Note { .. }
            | Command::Know(_) => {}
        }
        self.kick.notify_one();
    }

    fn accepted(&self, outline: &Outline, place: &copies::Place) {
        let Some(step) = self.submitted.borrow().get(&outline.id).cloned() else {
            // Proposed by a leader before this one; it is read from the stores.
            self.unread.borrow_mut().push(outline.id.clone());
            return;
        };
        let copies = match place {
            copies::Place::Inline(_) => 0,
            copies::Place::Stores(stores) => stores.len(),
        };
        tracing::info!(
            event = "step_accepted",
            step = step.id,
            model = step.model,
            number = step.number,
            least = step.least,
            samples = outline.samples,
            wanted = step.wanted,
            copies
        );
        self.plan.borrow_mut().open(step, clock::now(), Millis::default(), |_| false);
    }

    fn close(&self, step: &str) {
        if !self.plan.borrow().has(step) {
            return;
        }
        let hosted = self.plan.borrow_mut().close(step);
        for (host, index, run) in &hosted {
            self.hosts.stop(host, step, *index, *run);
            self.hosts.done(host);
        }
        let stopped = hosted.len();
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
        for host in self.hosts.gone() {
            let orphaned = self.plan.borrow_mut().orphan(&host);
            tracing::warn!(event = "host_lost", host, orphaned);
        }
        let old = self.plan.borrow().too_old(&config, now);
        for (step, index) in old {
            tracing::info!(event = "sample_given_up", step, index, why = "age");
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

    fn start_run(&self, assignment: Assignment) {
        let Assignment { run, step, index, endpoint, address, version, made, beside, .. } =
            assignment;
        let sample = step.samples[index as usize].clone();
        let host = self.hosts.choose();
        tracing::info!(
            event = "run_started",
            step = step.id,
            index,
            sample = sample.id,
            endpoint,
            version,
            after = made.events.len(),
            beside,
            host
        );
        let job = Job {
            run,
            step: step.id.clone(),
            index,
            host: step.host.clone(),
            sample,
            endpoint,
            address,
            version,
            least: step.least,
            single: step.single,
            left_ms: step.age_ms.min(step.due_ms + GRACE_MS),
            made,
        };
        self.plan.borrow_mut().hosted(&step.id, index, &host);
        if !self.hosts.work(&host, Work::Run(Box::new(job))) {
            self.end_run(&step.id, index, RunEnd::Broken);
        }
    }

    /// Ends a run from here: its host is told to stop it, and the sample waits for another one.
    fn end_run(&self, step: &str, index: u32, end: RunEnd) {
        self.release(step, index);
        let (next, events) = {
            let mut plan = self.plan.borrow_mut();
            let next = plan.ended(step, index, end, clock::now());
            (next, plan.made(step, index).map_or(0, |made| made.events.len()))
        };
        metrics::RUNS.with_label_values(&[ending(end)]).inc();
        tracing::info!(event = "run_ended", step, index, ?end, ?next, events);
        if next == Next::GiveUp {
            self.settle(step, index, Verdict::GivenUp);
        }
        self.kick.notify_one();
    }

    /// Has the host of a sample's run stop it or forget it.
    fn release(&self, step: &str, index: u32) {
        let host = self.plan.borrow().host(step, index);
        if let Some((host, run)) = host {
            self.hosts.stop(&host, step, index, run);
            self.hosts.done(&host);
        }
    }

    /// Notes that a host is connected and has told of its runs.
    pub fn host_found(&self, host: &str, link: u64) {
        tracing::info!(event = "host_found", host);
        self.hosts.found(host, link);
        self.kick.notify_one();
    }

    /// Notes that the connection to a host has ended.
    pub fn host_lost(&self, host: &str, link: u64) {
        self.hosts.lost(host, link);
        self.kick.notify_one();
    }

    /// Takes in what a host tells of a run.
    pub fn take_report(&self, host: &str, report: &Report) {
        let (step, index) = (&report.step, report.index);
        let goes_on = self.plan.borrow_mut().told(host, report, clock::now());
        if !goes_on {
            // The step may still be on its way from the stores; the host tells again later.
            let unread = self.unread.borrow().contains(step);
            if !unread {
                self.hosts.stop(host, step, index, report.run);
            }
            return;
        }
        match &report.standing {
            Standing::Running => {}
            Standing::Scoring => {
                let events = report.from as usize + report.made.events.len();
                let endpoint = &report.endpoint;
                metrics::RUNS.with_label_values(&["whole"]).inc();
                tracing::info!(event = "run_whole", step, index, endpoint, events, host);
                self.kick.notify_one();
            }
            Standing::Ended(end) => self.end_run(step, index, *end),
            Standing::Unscored => {
                tracing::info!(event = "sample_given_up", step, index, why = "scorer");
                self.settle(step, index, Verdict::GivenUp);
            }
            Standing::Finished(score) => {
                let made = self.plan.borrow().made(step, index).cloned().unwrap_or_default();
                let verdict = Verdict::Completed {
                    text: made.events.join("\n"),
                    versions: made.versions,
                    score: score.clone(),
                };
                self.settle(step, index, verdict);
                self.kick.notify_one();
            }
        }
    }

    /// Has a sample's verdict listed.
    fn settle(&self, step: &str, index: u32, verdict: Verdict) {
        let sample = self.plan.borrow_mut().settled(step, index);
        if let Some(sample) = sample {
            self.outbox.put(step, Settled { index, sample, verdict });
        }
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

/// Reads the open steps of the leaders before from the stores.
async fn adopt_steps(lead: Weak<Lead>) {
    if let Some(lead) = lead.upgrade() {
        let state = lead.parts.core.state();
        let open = state.steps.iter().filter(|(_, step)| step.is_open());
        lead.unread.borrow_mut().extend(open.map(|(id, _)| id.clone()));
    }
    loop {
        let Some(lead) = lead.upgrade() else { return };
        let unread = lead.unread.borrow().clone();
        for id in &unread {
            let done = lead.plan.borrow().has(id) || lead.adopt_step(id).await;
            if done {
                lead.unread.borrow_mut().retain(|other| other != id);
            }
        }
        if !unread.is_empty() {
            lead.hosts.ask_all();
        }
        lead.kick.notify_one();
        drop(lead);
        tokio::time::sleep(LOOK).await;
    }
}

/// Notes what would be lost with all processes at once.
async fn note_on(lead: Weak<Lead>) {
    let mut knows = clock::now();
    loop {
        tokio::time::sleep(NOTE).await;
        let Some(lead) = lead.upgrade() else { return };
        lead.note().await;
        if clock::now().since(knows) >= KNOW_MS {
            knows = clock::now();
            lead.know().await;
        }
    }
}

fn ending(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Failed => "failed",
        RunEnd::Unfit => "unfit",
        RunEnd::Full => "full",
        RunEnd::Moved => "moved",
        RunEnd::Broken => "broken",
        RunEnd::Taken => "taken",
    }
}

/// Chooses the results from a place on that fit into one answer.
fn choose_results(results: &[Arc<Listed>], after: u64) -> Vec<Arc<Listed>> {
    let mut bytes = 0;
    let mut chosen = Vec::new();
    for listed in results.iter().skip(after as usize) {
        bytes += size(listed);
        if bytes > RESULTS && !chosen.is_empty() {
            break;
        }
        chosen.push(listed.clone());
    }
    chosen
}

/// Gives about how many bytes a result takes in a reply.
fn size(listed: &Listed) -> usize {
    let text = match &listed.result {
        Result::Completed { bytes, .. } => *bytes as usize,
        Result::GivenUp => 0,
    };
    text + listed.sample.len() + RESULT_FRAME
}

fn text_part(listed: &Listed) -> Option<PartId> {
    match &listed.result {
        Result::Completed { part, .. } => Some(*part),
        Result::GivenUp => None,
    }
}

fn whole(listed: &Listed, texts: &BTreeMap<PartId, Vec<String>>) -> Option<(String, Verdict)> {
    let verdict = match &listed.result {
        Result::GivenUp => Verdict::GivenUp,
        Result::Completed { part, place, versions, score, .. } => Verdict::Completed {
            text: texts.get(part)?.get(*place as usize)?.clone(),
            versions: versions.clone(),
            score: score.clone(),
        },
    };
    Some((listed.sample.clone(), verdict))
}
