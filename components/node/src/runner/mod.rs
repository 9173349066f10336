//! Hosts runs: takes orders, has them carried out, and tells the leader.

mod execute;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::plan::Made;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Spent;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
use chicoryford_http::Pool;
use chicoryford_types::Millis;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock;
use crate::forward::Budget;
use crate::forward::Forwarder;
use crate::message::MemberMessage;
use crate::view::View;

/// How often the leader is told of progress; what it was not told is lost with this host.
const TELL: Duration = Duration::from_millis(250);
/// Milliseconds after which an order to run a sample is not carried out any more. An order may lie in
/// the leader's queue, in sockets or before a busy host for seconds while both sides hear each other,
/// and its step may have ended meanwhile; a run begun then reaches its engine after the end was
/// acknowledged, and the word to stop it lies behind it. Three seconds are allowed for an end to take
/// effect, and a connection takes a quarter of one. An order that comes at once is at most about 250 ms
/// old, the time between two beats; where VMs were slow or frozen, orders up to 4.5 s old were seen.
const ORDER_MS: u64 = 2_000;
/// Milliseconds for which the leader's last sign counts: it led after this host's clock read what it
/// gives back. Scorers are called for as long and one look of [`TELL`], so their calls are over 0.75 s
/// before an end that was acknowledged meanwhile must have taken effect, which has three seconds; the
/// next leader is elected within one.
const LED_MS: u64 = 2_000;
/// Milliseconds for which a run that no leader asks about is kept.
const KEPT_MS: u64 = 30_000;

/// A run that this process hosts.
struct Hosted {
    job: Rc<Job>,
    handle: JoinHandle<()>,
    state: Rc<State>,
}

/// What a run's task and the telling of it share.
struct State {
    made: RefCell<Made>,
    standing: RefCell<Standing>,
    /// Events that the leader was told of.
    told: Cell<usize>,
    /// When the last event came.
    heard: Cell<Millis>,
    /// When that of the last telling came.
    told_at: Cell<Millis>,
    /// Whether the last telling found no room on the way to the leader.
    owed: Cell<bool>,
    /// Until when its order holds; no request is sent after that.
    until: Millis,
    /// What endpoints may spend on the sample, and what its scorer's call has.
    budget: Budget,
    /// What the leader was told of that.
    told_spent: RefCell<Spent>,
}

impl State {
    /// Tells whether the scorer's call has cost what the leader does not know.
    fn has_spent(&self) -> bool {
        self.budget.spent() != *self.told_spent.borrow()
    }
}

/// Hosts runs.
pub struct Runner {
    view: Rc<View>,
    forwarder: Rc<Forwarder>,
    pool: RefCell<Pool>,
    hosted: RefCell<BTreeMap<(String, u32), Rc<Hosted>>>,
    sink: RefCell<Option<Sink>>,
    /// Whether the leader is still to be told that all runs have been told.
    owes_word: Cell<bool>,
    /// This host's own clock in the newest of its words that a leader is known to have read.
    led: Cell<Millis>,
    /// When it last began to tell a leader of its runs.
    attached: Cell<Millis>,
}

/// Where reports go: to the leader's connection, or within the leader's own process.
#[derive(Clone)]
enum Sink {
    Link(mpsc::Sender<MemberMessage>),
    Own(Rc<dyn Fn(&Report)>),
}

impl Runner {
    /// Makes one without runs.
    pub fn new(view: Rc<View>, forwarder: Rc<Forwarder>) -> Rc<Self> {
        Rc::new(Self {
            view,
            forwarder,
            pool: RefCell::default(),
            hosted: RefCell::default(),
            sink: RefCell::default(),
            owes_word: Cell::default(),
            led: Cell::default(),
            attached: Cell::default(),
        })
    }

    /// Tells a leader that was just found of all runs, and of what happens to them from now on.
    pub fn attach(&self, up: mpsc::Sender<MemberMessage>) {
        *self.sink.borrow_mut() = Some(Sink::Link(up));
        self.attached.set(clock::now());
        self.tell_all();
        self.beat();
    }

    /// Says that this process lives, and what its clock reads.
    fn beat(&self) {
        if let Some(Sink::Link(up)) = &*self.sink.borrow() {
            // A full queue says that this process lives, too.
            let _ = up.try_send(MemberMessage::Beat { clock: clock::now(), wall: clock::wall() });
        }
    }

    /// Notes a sign of the leader: it led after this host's clock read `heard`.
    pub fn record_leader_sign(&self, heard: Millis) {
        self.led.set(self.led.get().max(heard));
    }

    /// Tells whether a leader wants this host's runs as far as it is known: it led lately, and since it
    /// was told of them. Its words to stop those that nobody wants came before that sign, on the same
    /// connection. Without a leader, or on a connection that lags, a step may have ended long ago.
    fn is_led(&self) -> bool {
        match &*self.sink.borrow() {
            Some(Sink::Own(_)) => true,
            _ => {
                let led = self.led.get();
                led >= self.attached.get() && clock::now().since(led) <= LED_MS
            }
        }
    }

    /// Waits until no leader is known to want this host's runs.
    async fn unled(&self) {
        while self.is_led() {
            tokio::time::sleep(TELL).await;
        }
    }

    /// Tells the leader's duties in this process.
    pub fn attach_local(&self, tell: impl Fn(&Report) + 'static) {
        *self.sink.borrow_mut() = Some(Sink::Own(Rc::new(tell)));
    }

    /// Tells nobody until the next leader is found. Runs go on.
    pub fn detach(&self) {
        self.owes_word.set(false);
        *self.sink.borrow_mut() = None;
    }

    /// Stops all runs.
    pub fn clear(&self) {
        for (_, hosted) in std::mem::take(&mut *self.hosted.borrow_mut()) {
            hosted.handle.abort();
        }
    }

    /// Takes work of this process's own duties.
    pub fn handle_local(self: &Rc<Self>, work: Work) {
        self.handle_order(work, 0);
    }

    /// Takes work that the leader gave, `age_ms` ago at most.
    pub fn handle_order(self: &Rc<Self>, work: Work, age_ms: u64) {
        match work {
            Work::Run(job) if age_ms > ORDER_MS => self.refuse(&job, age_ms),
            Work::Run(job) => {
                tracing::info!(
                    event = "run_taken",
                    step = job.step,
                    index = job.index,
                    sample = job.sample.id,
                    run = job.run,
                    endpoint = job.endpoint,
                    age_ms
                );
                self.start(*job, age_ms);
            }
            Work::Tell => self.tell_all(),
            Work::Stop { step, index, run } => {
                let key = (step, index);
                let has = self.hosted.borrow().get(&key).map(|hosted| hosted.job.run);
                let (step, has_run) = (&key.0, has.unwrap_or_default());
                tracing::info!(event = "run_stopped", step, index, run, has_run, age_ms);
                if has == Some(run) {
                    self.stop(&key);
                }
            }
        }
    }

    fn tell_all(&self) {
        for hosted in self.all() {
            hosted.state.told.set(0);
            self.tell(&hosted);
        }
        self.tell_whole();
    }

    /// Says that all runs have been told; later, if one of them found no room. The leader would take
    /// that run away otherwise, and give this host nothing without the word.
    fn tell_whole(&self) {
        let sink = self.sink.borrow();
        let Some(Sink::Link(up)) = &*sink else { return };
        let owed = self.all().iter().any(|hosted| hosted.state.owed.get());
        self.owes_word.set(owed || up.try_send(MemberMessage::Reported).is_err());
    }

    /// Gives all runs. Telling of one may stop another within the leader's own process, so they
    /// must not be borrowed meanwhile.
    fn all(&self) -> Vec<Rc<Hosted>> {
        self.hosted.borrow().values().cloned().collect()
    }

    fn stop(&self, key: &(String, u32)) {
        if let Some(hosted) = self.hosted.borrow_mut().remove(key) {
            hosted.handle.abort();
        }
    }

    /// Tells the leader that an order came too late, so that it gives another. A run of the sample
    /// that this host has goes on: the leader ended it before, or does not know of it.
    fn refuse(&self, job: &Job, age_ms: u64) {
        let (step, index, sample, run) = (&job.step, job.index, &job.sample.id, job.run);
        tracing::warn!(event = "order_late", step, index, sample, run, age_ms);
        let report = Report {
            run: job.run,
            step: job.step.clone(),
            index: job.index,
            endpoint: job.endpoint.clone(),
            standing: Standing::Ended(RunEnd::Late),
            from: job.made.events.len() as u32,
            made: Made { events: Vec::new(), ..job.made.clone() },
            gap_ms: 0,
            cost: job.cost.clone(),
            left_ms: job.left_ms.saturating_sub(age_ms),
        };
        if let Some(Sink::Link(up)) = &*self.sink.borrow() {
            // Without this word the leader begins the sample anew when nothing is heard of it.
            let _ = up.try_send(MemberMessage::Report(report));
        }
    }

    fn start(self: &Rc<Self>, job: Job, age_ms: u64) {
        let key = (job.step.clone(), job.index);
        self.stop(&key);
        let now = clock::now();
        let state = Rc::new(State {
            told: Cell::new(job.made.events.len()),
            made: RefCell::new(job.made.clone()),
            standing: RefCell::new(Standing::Running),
            heard: Cell::new(now),
            told_at: Cell::new(now),
            owed: Cell::default(),
            until: now + (ORDER_MS - age_ms),
            budget: Budget::shared(
                job.sample.scorer.as_ref().map_or(&job.sample.id, |scorer| &scorer.id),
                now + job.left_ms.saturating_sub(age_ms),
                job.cost.scorer.clone(),
            ),
            told_spent: RefCell::new(job.cost.scorer.clone()),
        });
        let job = Rc::new(job);
        let handle = actix_rt::spawn(execute::execute(self.clone(), job.clone(), state.clone()));
        let hosted = Rc::new(Hosted { job, handle, state });
        self.hosted.borrow_mut().insert(key, hosted);
    }

    /// Tells of progress for as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TELL).await;
            let all = if self.sink.borrow().is_some() { self.all() } else { Vec::new() };
            for hosted in all {
                let running = *hosted.state.standing.borrow() == Standing::Running;
                let news = hosted.state.made.borrow().events.len() > hosted.state.told.get();
                if running && news || hosted.state.owed.get() || hosted.state.has_spent() {
                    self.tell(&hosted);
                }
            }
            if self.owes_word.get() {
                self.tell_whole();
            }
            self.beat();
            self.forget_old();
        }
    }

    fn forget_old(&self) {
        let now = clock::now();
        self.hosted.borrow_mut().retain(|_, hosted| {
            let ended = *hosted.state.standing.borrow() != Standing::Running;
            let old = ended && now.since(hosted.state.heard.get()) >= KEPT_MS;
            if old {
                hosted.handle.abort();
            }
            !old
        });
    }

    /// Tells of a run as it stands: the events that the leader was not told yet. A leader that was
    /// just found has been told nothing.
    fn tell(&self, hosted: &Hosted) {
        let state = &hosted.state;
        let made = state.made.borrow();
        let standing = state.standing.borrow().clone();
        let from = state.told.get().min(made.events.len());
        let events = made.events.len() - from;
        let ms = state.heard.get().since(state.told_at.get());
        let gap_ms = if from > 0 && events > 0 { ms / events as u64 } else { 0 };
        let report = Report {
            run: hosted.job.run,
            step: hosted.job.step.clone(),
            index: hosted.job.index,
            endpoint: hosted.job.endpoint.clone(),
            standing,
            from: from as u32,
            made: Made {
                events: made.events[from..].to_vec(),
                last: made.last.clone(),
                versions: made.versions.clone(),
            },
            gap_ms: gap_ms as u32,
            cost: Cost { scorer: state.budget.spent(), ..hosted.job.cost.clone() },
            left_ms: state.budget.left_ms(),
        };
        let spent = report.cost.scorer.clone();
        let sink = self.sink.borrow().clone();
        let sent = match sink {
            Some(Sink::Link(up)) => up.try_send(MemberMessage::Report(report)).is_ok(),
            Some(Sink::Own(tell)) => {
                drop(made);
                tell(&report);
                true
            }
            None => false,
        };
        // A run that has ended tells nothing more by itself, and would never be known to have.
        state.owed.set(!sent);
        if sent {
            state.told.set(from + events);
            state.told_at.set(state.heard.get());
            *state.told_spent.borrow_mut() = spent;
        }
    }

    fn stands(&self, job: &Job, state: &Rc<State>, standing: Standing) {
        *state.standing.borrow_mut() = standing;
        let found = self.hosted.borrow().get(&(job.step.clone(), job.index)).cloned();
        if let Some(hosted) = found.filter(|hosted| Rc::ptr_eq(&hosted.state, state)) {
            self.tell(&hosted);
        }
    }
}
