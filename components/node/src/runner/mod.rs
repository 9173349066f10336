//! Hosts runs: accepts orders, executes them, and reports to the leader.

mod execute;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Grant;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::CallCost;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_http::Pool;
use chicoryford_types::Millis;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock;
use crate::forward::Budget;
use crate::forward::Forwarder;
use crate::message::MemberMessage;
use crate::view::View;

/// Interval of progress reports to the leader. Unreported progress is lost with this host.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of an order to run a sample, in milliseconds; older orders are refused. An order may
/// wait for seconds in the leader's queue, in sockets or at a busy host while both sides keep
/// receiving from each other, and its step may end in the meantime. Its run would then reach the
/// engine after the end was acknowledged, with the order to stop still queued behind it. An end
/// must take effect within three seconds, and connecting takes up to a quarter of a second. An
/// order without delay appears at most about 250 ms old, which is the heartbeat interval; with slow
/// or frozen VMs, orders up to 4.5 s old were observed.
const MAX_ORDER_AGE_MS: u64 = 2_000;
/// Maximum age of the leader's last confirmation, in milliseconds. The leader confirms its
/// leadership by returning a reading of this host's clock: it led after that reading. Scorers are
/// called for this long plus one [`REPORT_INTERVAL`], so their calls stop 0.75 s before an end that
/// was acknowledged in the meantime must have taken effect: three seconds are allowed for that, and
/// the next leader is elected within one.
const MAX_CONFIRMATION_AGE_MS: u64 = 2_000;

/// A run hosted by this process.
struct HostedRun {
    job: Rc<Job>,
    handle: JoinHandle<()>,
    state: Rc<RunState>,
}

impl HostedRun {
    /// Returns a report of the run with the events that were not reported yet, which are all events
    /// after a change of leader.
    fn next_report(&self) -> RunReport {
        let (job, state) = (&self.job, &self.state);
        let output = state.output.borrow();
        let from = state.reported_events.get().min(output.events.len());
        let events = output.events.len() - from;
        let ms = state.last_event.get().since(state.last_reported_event.get());
        let gap_ms = if from > 0 && events > 0 { ms / events as u64 } else { 0 };
        RunReport {
            run: job.run,
            step: job.step.clone(),
            index: job.index,
            endpoint: job.endpoint.clone(),
            status: state.status.borrow().clone(),
            from: from as u32,
            output: SampleOutput {
                events: output.events[from..].to_vec(),
                last_id: output.last_id.clone(),
                versions: output.versions.clone(),
            },
            gap_ms: gap_ms as u32,
            cost: Cost {
                scorer: state.budget.spent(),
                grant: Grant { endpoints: BTreeSet::new(), ended: state.budget.ended() },
                ..job.cost.clone()
            },
            remaining_ms: state.budget.left_ms(),
        }
    }
}

/// State shared by the task of a run and its reports.
struct RunState {
    output: RefCell<SampleOutput>,
    status: RefCell<RunStatus>,
    /// Number of events that were reported to the leader.
    reported_events: Cell<usize>,
    /// When the last event arrived.
    last_event: Cell<Millis>,
    /// When the last reported event arrived.
    last_reported_event: Cell<Millis>,
    /// Whether the last report was dropped because the queue to the leader was full or no leader
    /// was connected.
    report_dropped: Cell<bool>,
    /// Until when the order is valid; no request is sent after that.
    order_expires: Millis,
    /// Time limit of the sample, and the cost of its scorer's call.
    budget: Budget,
    /// The part of that cost that was reported to the leader.
    reported_spent: RefCell<CallCost>,
}

impl RunState {
    /// Returns whether the scorer's call has costs that were not reported to the leader.
    fn has_unreported_cost(&self) -> bool {
        self.budget.spent() != *self.reported_spent.borrow()
    }
}

/// Hosts runs.
pub struct Runner {
    view: Rc<View>,
    forwarder: Rc<Forwarder>,
    pool: RefCell<Pool>,
    runs: RefCell<BTreeMap<(String, u32), Rc<HostedRun>>>,
    sink: RefCell<Option<Sink>>,
    /// Whether the message that all runs have been reported is still to be sent.
    reported_due: Cell<bool>,
    /// The newest reading of this host's clock that a leader has confirmed.
    leader_confirmed: Cell<Millis>,
    /// When it last started to report to a leader.
    attached_at: Cell<Millis>,
}

/// Where reports go: to the connection of a remote leader, or to the leader in this process.
#[derive(Clone)]
enum Sink {
    Link(mpsc::Sender<MemberMessage>),
    Local(LocalLeader),
}

/// The leader in this process.
#[derive(Clone)]
struct LocalLeader {
    handle_report: Rc<dyn Fn(&RunReport)>,
    leads: Rc<dyn Fn() -> bool>,
}

impl Runner {
    /// Creates a runner without runs.
    pub fn new(view: Rc<View>, forwarder: Rc<Forwarder>) -> Rc<Self> {
        Rc::new(Self {
            view,
            forwarder,
            pool: RefCell::default(),
            runs: RefCell::default(),
            sink: RefCell::default(),
            reported_due: Cell::default(),
            leader_confirmed: Cell::default(),
            attached_at: Cell::default(),
        })
    }

    /// Reports all runs to a new leader, and their changes from now on.
    pub fn attach(&self, sender: mpsc::Sender<MemberMessage>) {
        *self.sink.borrow_mut() = Some(Sink::Link(sender));
        self.attached_at.set(clock::now());
        self.report_all();
        self.send_heartbeat();
    }

    /// Sends a heartbeat with the time of this process's clocks.
    fn send_heartbeat(&self) {
        if let Some(Sink::Link(sender)) = &*self.sink.borrow() {
            // A full queue also shows the leader that this process is alive.
            let _ =
                sender.try_send(MemberMessage::Beat { clock: clock::now(), wall: clock::wall() });
        }
    }

    /// Records that the leader has confirmed its leadership: it led after this host's clock read
    /// `clock`.
    pub fn record_confirmation(&self, clock: Millis) {
        self.leader_confirmed.set(self.leader_confirmed.get().max(clock));
    }

    /// Returns whether a leader is known to want this host's runs: its last confirmation is recent,
    /// and newer than the start of the reports to it. Its orders to stop unwanted runs were sent
    /// before that confirmation on the same connection. Without a leader, or on a delayed
    /// connection, a step may have ended long ago.
    fn has_confirmed_leader(&self) -> bool {
        match &*self.sink.borrow() {
            Some(Sink::Local(leader)) => (leader.leads)(),
            _ => {
                let confirmed = self.leader_confirmed.get();
                confirmed >= self.attached_at.get()
                    && clock::now().since(confirmed) <= MAX_CONFIRMATION_AGE_MS
            }
        }
    }

    /// Waits until no leader is known to want this host's runs.
    async fn confirmation_expired(&self) {
        while self.has_confirmed_leader() {
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    /// Sends reports to a leader in this process that does not lose its lease.
    pub fn attach_local(&self, handler: impl Fn(&RunReport) + 'static) {
        self.attach_leader(handler, || true);
    }

    /// Sends reports to the leader in this process. `leads` returns whether its lease is valid.
    pub fn attach_leader(
        &self,
        handler: impl Fn(&RunReport) + 'static,
        leads: impl Fn() -> bool + 'static,
    ) {
        let leader = LocalLeader { handle_report: Rc::new(handler), leads: Rc::new(leads) };
        *self.sink.borrow_mut() = Some(Sink::Local(leader));
    }

    /// Stops reporting until the next leader is found. Runs continue.
    pub fn detach(&self) {
        self.reported_due.set(false);
        *self.sink.borrow_mut() = None;
    }

    /// Stops all runs.
    pub fn clear(&self) {
        for (_, hosted) in std::mem::take(&mut *self.runs.borrow_mut()) {
            hosted.handle.abort();
        }
    }

    /// Handles work from the leader in this process.
    pub fn handle_local(self: &Rc<Self>, work: HostCommand) {
        self.handle_order(work, 0);
    }

    /// Handles work that a remote leader sent at most `age_ms` ago.
    pub fn handle_order(self: &Rc<Self>, work: HostCommand, age_ms: u64) {
        match work {
            HostCommand::Run(job) if age_ms > MAX_ORDER_AGE_MS => self.refuse_order(&job, age_ms),
            HostCommand::Run(job) => {
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
            HostCommand::Tell => self.report_all(),
            HostCommand::HostCount(hosts) => self.forwarder.set_hosts(hosts),
            HostCommand::Grant { step, index, run, grant, failures } => {
                let hosted = self.runs.borrow().get(&(step, index)).cloned();
                if let Some(hosted) = hosted.filter(|hosted| hosted.job.run == run) {
                    hosted.state.budget.extend(&grant, failures);
                }
            }
            HostCommand::Recorded { step, index, run, endpoints } => {
                let hosted = self.runs.borrow().get(&(step, index)).cloned();
                if let Some(hosted) = hosted.filter(|hosted| hosted.job.run == run) {
                    hosted.state.budget.record_calls(&endpoints);
                }
            }
            HostCommand::Stop { step, index, run } => {
                let key = (step, index);
                let current = self.runs.borrow().get(&key).map(|hosted| hosted.job.run);
                let (step, has_run) = (&key.0, current.unwrap_or_default());
                tracing::info!(event = "run_stopped", step, index, run, has_run, age_ms);
                if current == Some(run) {
                    self.stop(&key);
                }
            }
        }
    }

    fn report_all(&self) {
        for hosted in self.all_runs() {
            hosted.state.reported_events.set(0);
            self.report(&hosted);
        }
        self.report_completion();
    }

    /// Sends the message that all runs have been reported, unless a report was dropped; then it is
    /// sent later. Otherwise the leader would take the unreported run away. The leader assigns
    /// nothing to this host before this message.
    fn report_completion(&self) {
        let sink = self.sink.borrow();
        let Some(Sink::Link(sender)) = &*sink else { return };
        let report_dropped = self.all_runs().iter().any(|hosted| hosted.state.report_dropped.get());
        self.reported_due.set(report_dropped || sender.try_send(MemberMessage::Reported).is_err());
    }

    /// Returns all runs. In the leader's own process, reporting one run may stop another, so the
    /// map must not stay borrowed.
    fn all_runs(&self) -> Vec<Rc<HostedRun>> {
        self.runs.borrow().values().cloned().collect()
    }

    fn stop(&self, key: &(String, u32)) {
        let hosted = self.runs.borrow_mut().remove(key);
        if let Some(hosted) = hosted {
            hosted.handle.abort();
            self.report_stopped(&hosted);
        }
    }

    /// Reports a run that was stopped for the last time. Until then, the leader assumes that its
    /// scorer's call was sent to endpoints that were not reported.
    fn report_stopped(&self, hosted: &HostedRun) {
        let state = &hosted.state;
        if hosted.job.sample.scorer.is_none() || state.status.borrow().is_final() {
            return;
        }
        *state.status.borrow_mut() = RunStatus::Ended(RunEnd::Taken);
        state.reported_events.set(state.output.borrow().events.len());
        let (report, sink) = (hosted.next_report(), self.sink.borrow().clone());
        match sink {
            Some(Sink::Link(sender)) => {
                let sent = sender.try_send(MemberMessage::Report(report)).is_ok();
                let (step, index, run) = (&hosted.job.step, hosted.job.index, hosted.job.run);
                tracing::info!(event = "last_report", step, index, run, sent);
            }
            // The leader in this process is busy with the order to stop the run.
            Some(Sink::Local(leader)) => {
                actix_rt::spawn(async move { (leader.handle_report)(&report) });
            }
            None => {}
        }
    }

    /// Reports that an order arrived too late, so that the leader issues another. An existing run
    /// of the same sample on this host continues: the leader has ended it before, or does not know
    /// about it.
    fn refuse_order(&self, job: &Job, age_ms: u64) {
        let (step, index, sample, run) = (&job.step, job.index, &job.sample.id, job.run);
        tracing::warn!(event = "order_late", step, index, sample, run, age_ms);
        let report = RunReport {
            run: job.run,
            step: job.step.clone(),
            index: job.index,
            endpoint: job.endpoint.clone(),
            status: RunStatus::Ended(RunEnd::Late),
            from: job.output.events.len() as u32,
            output: SampleOutput { events: Vec::new(), ..job.output.clone() },
            gap_ms: 0,
            cost: job.cost.clone(),
            remaining_ms: job.remaining_ms.saturating_sub(age_ms),
        };
        if let Some(Sink::Link(sender)) = &*self.sink.borrow() {
            // Without this report, the leader restarts the sample when it receives nothing about
            // it.
            let _ = sender.try_send(MemberMessage::Report(report));
        }
    }

    fn start(self: &Rc<Self>, job: Job, age_ms: u64) {
        let key = (job.step.clone(), job.index);
        self.stop(&key);
        let now = clock::now();
        let scorer = job.sample.scorer.as_ref();
        let grant = scorer.map(|scorer| Grant::of(scorer, &job.cost.grant)).unwrap_or_default();
        let runner = Rc::downgrade(self);
        let is_wanted =
            move || runner.upgrade().is_some_and(|runner| runner.has_confirmed_leader());
        let state = Rc::new(RunState {
            reported_events: Cell::new(job.output.events.len()),
            output: RefCell::new(job.output.clone()),
            status: RefCell::new(RunStatus::Running),
            last_event: Cell::new(now),
            last_reported_event: Cell::new(now),
            report_dropped: Cell::default(),
            order_expires: now + (MAX_ORDER_AGE_MS - age_ms),
            budget: Budget::shared(
                now + job.remaining_ms.saturating_sub(age_ms),
                job.cost.scorer.clone(),
                grant,
                is_wanted,
            ),
            reported_spent: RefCell::new(job.cost.scorer.clone()),
        });
        let job = Rc::new(job);
        let handle = actix_rt::spawn(execute::execute(self.clone(), job.clone(), state.clone()));
        let hosted = Rc::new(HostedRun { job, handle, state });
        self.runs.borrow_mut().insert(key, hosted);
    }

    /// Reports progress for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let all = if self.sink.borrow().is_some() { self.all_runs() } else { Vec::new() };
            for hosted in all {
                let running = *hosted.state.status.borrow() == RunStatus::Running;
                let has_new_events =
                    hosted.state.output.borrow().events.len() > hosted.state.reported_events.get();
                if running && has_new_events
                    || hosted.state.report_dropped.get()
                    || hosted.state.has_unreported_cost()
                {
                    self.report(&hosted);
                }
            }
            if self.reported_due.get() {
                self.report_completion();
            }
            self.send_heartbeat();
            self.remove_old_runs();
        }
    }

    fn remove_old_runs(&self) {
        let now = clock::now();
        self.runs.borrow_mut().retain(|_, hosted| {
            let idle_ms = now.since(hosted.state.last_event.get());
            let left_ms = hosted.state.budget.left_ms();
            let old = hosted.state.status.borrow().is_forgettable(idle_ms, left_ms);
            if old {
                hosted.handle.abort();
            }
            !old
        });
    }

    /// Reports the state of a run.
    fn report(&self, hosted: &HostedRun) {
        let state = &hosted.state;
        let report = hosted.next_report();
        let (spent, events) = (report.cost.scorer.clone(), report.output.events.len());
        let from = report.from as usize;
        let sink = self.sink.borrow().clone();
        let sent = match sink {
            Some(Sink::Link(sender)) => sender.try_send(MemberMessage::Report(report)).is_ok(),
            Some(Sink::Local(leader)) => {
                (leader.handle_report)(&report);
                true
            }
            None => false,
        };
        // A run that has ended triggers no further report by itself, so a dropped one must be
        // repeated.
        state.report_dropped.set(!sent);
        if sent {
            state.reported_events.set(from + events);
            state.last_reported_event.set(state.last_event.get());
            *state.reported_spent.borrow_mut() = spent;
        }
    }

    fn set_status(&self, job: &Job, state: &Rc<RunState>, status: RunStatus) {
        *state.status.borrow_mut() = status;
        let found = self.runs.borrow().get(&(job.step.clone(), job.index)).cloned();
        if let Some(hosted) = found.filter(|hosted| Rc::ptr_eq(&hosted.state, state)) {
            self.report(&hosted);
        }
    }
}
