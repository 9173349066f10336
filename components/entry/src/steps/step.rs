//! Runs one step: starts its samples, records them, and reruns those that became stale.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::Progress;
use chicoryford_ledger::StepKey;
use chicoryford_types::Config;
use chicoryford_types::Endpoint;
use chicoryford_types::Fingerprint;
use chicoryford_types::Group;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::SampleNo;
use chicoryford_types::Version;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::context::Context;
use crate::router::EndpointQuery;
use crate::router::HedgePermit;
use crate::router::LateSample;
use crate::steps::in_flight::InFlight;
use crate::steps::in_flight::SampleProgress;
use crate::steps::lengths::Lengths;
use crate::steps::limits::SampleLimits;
use crate::steps::probation::Probation;
use crate::steps::propose;
use crate::steps::pull_waker::PullNotifier;
use crate::steps::sample;
use crate::steps::sample::SampleEnd;
use crate::steps::sample::SampleId;
use crate::steps::staleness::StalenessPredictor;
use crate::steps::timeline::Timeline;

/// Interval at which the progress of a step is queried from the ledger.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which slow samples are considered for hedging.
const HEDGE_INTERVAL: Duration = Duration::from_millis(500);
/// A group is considered for hedging if at most one in this many of its samples is missing.
const MISSING_DIVISOR: u32 = 4;

/// State shared by all steps of an entry.
#[derive(Clone)]
pub struct Shared {
    /// Whether the versions expected to be published during a sample reduce its freshness bound.
    pub predict: bool,
    /// Whether late samples are hedged with a second run.
    pub hedge: bool,
    /// Wakes waiting pulls.
    pub pull_notifier: PullNotifier,
    /// Paces samples with convicted prompts.
    pub probation: Rc<RefCell<Probation>>,
    /// Learned answer lengths.
    pub lengths: Rc<RefCell<Lengths>>,
    /// Predicts how many versions are published during a sample.
    pub staleness: Rc<RefCell<StalenessPredictor>>,
    /// Limits the concurrent samples of each workspace.
    pub sample_limits: Rc<SampleLimits>,
    /// Limits the concurrent samples of this entry.
    pub slots: Arc<Semaphore>,
    /// Whether this entry is leaving. Running samples continue, but no new ones start.
    pub leaving: watch::Receiver<bool>,
}

type Running = FuturesUnordered<LocalBoxFuture<'static, (SampleId, SampleEnd)>>;

struct Step {
    context: Context,
    shared: Shared,
    session: u64,
    key: StepKey,
    started: Millis,
    progress: Rc<Progress>,
    /// The recorded samples. A sample may be added twice, by a query of the progress and by the reply
    /// that it is recorded.
    done: BTreeSet<SampleId>,
    in_flight: BTreeMap<SampleId, InFlight>,
    complete: watch::Sender<BTreeSet<Group>>,
    running: Running,
    timeline: Rc<Timeline>,
}

/// Takes ownership of a step and runs it until all its groups are delivered, another session owns
/// it, or this entry is leaving and its samples have ended.
pub async fn run(context: Context, shared: Shared, session: u64, key: StepKey) {
    let command = LedgerCommand::Take { key: key.clone(), session };
    let progress = match propose::ledger_command(&context, command).await {
        Ok(LedgerReply::Taken(progress)) => progress,
        Ok(reply) => {
            tracing::info!(event = "step_not_taken", workspace = %key.workspace, ?reply);
            return;
        }
        Err(failure) => {
            tracing::info!(event = "step_not_taken", workspace = %key.workspace, %failure);
            return;
        }
    };
    tracing::info!(event = "step_taken", workspace = %key.workspace, step = %key.step, session);
    let _running_step = shared.pull_notifier.step_started(&key.workspace);
    let mut step = Step {
        started: context.now(),
        timeline: Rc::new(Timeline::new(context.now())),
        context,
        shared,
        session,
        key,
        progress: Rc::default(),
        done: BTreeSet::new(),
        in_flight: BTreeMap::new(),
        complete: watch::Sender::new(BTreeSet::new()),
        running: Running::new(),
    };
    step.reconcile(*progress);
    step.run().await;
    step.timeline.log(&step.key, step.context.now());
}

impl Step {
    async fn run(&mut self) {
        let mut poll = actix_rt::time::interval_at(
            actix_rt::time::Instant::now() + POLL_INTERVAL,
            POLL_INTERVAL,
        );
        let mut hedge = actix_rt::time::interval(HEDGE_INTERVAL);
        let mut config = self.context.config.watch();
        let mut seen = newest_version(&config.borrow(), &self.progress.spec.model);
        loop {
            let idle = self.running.is_empty();
            if idle && *self.shared.leaving.borrow() {
                return;
            }
            tokio::select! {
                Some((id, ended)) = self.running.next(), if !idle => {
                    match ended {
                        SampleEnd::Recorded => self.sample_recorded(id),
                        SampleEnd::Unwanted => self.remove_run(id),
                        SampleEnd::Over => return,
                    }
                }
                _ = hedge.tick() => self.hedge().await,
                () = new_version(&mut config, &self.progress.spec.model, &mut seen) => {
                    if self.poll().await.is_none() {
                        return;
                    }
                }
                _ = poll.tick() => {
                    if self.poll().await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    /// Queries the progress of the step and starts the missing samples, which include recorded
    /// samples that have become stale. Returns `None` once the step has ended for this session.
    async fn poll(&mut self) -> Option<()> {
        let command = LedgerCommand::Progress { key: self.key.clone() };
        match propose::ledger_command(&self.context, command).await {
            Ok(LedgerReply::Progress(progress)) => {
                if progress.owner != Some(self.session) || self.is_delivered(&progress) {
                    return None;
                }
                self.reconcile(*progress);
                Some(())
            }
            Ok(_) => None,
            // Without a leader nothing can be recorded, but running samples need not be discarded.
            Err(_) => Some(()),
        }
    }

    fn is_delivered(&self, progress: &Progress) -> bool {
        progress.delivered.len() == progress.spec.groups.len()
    }

    /// Counts a recorded sample and stops its other run, if any. If that run has recorded the
    /// sample as well, the ledger has kept only the first record.
    fn sample_recorded(&mut self, id: SampleId) {
        let Some(flight) = self.in_flight.remove(&id) else { return };
        flight.stop.send_replace(true);
        self.timeline.sample_recorded(self.context.now());
        self.done.insert(id);
        self.update_complete();
    }

    fn remove_run(&mut self, id: SampleId) {
        let Some(flight) = self.in_flight.get_mut(&id) else { return };
        flight.runs -= 1;
        if flight.runs == 0 {
            self.in_flight.remove(&id);
        }
    }

    /// Starts a second run, at another endpoint, of late samples in groups that are almost
    /// complete.
    ///
    /// A group waits for its last sample. Without hedging, an endpoint that has become slow without
    /// failing would delay the group, and with it the trainer.
    async fn hedge(&mut self) {
        if *self.shared.leaving.borrow() || !self.shared.hedge {
            return;
        }
        for id in self.hedge_candidates() {
            let Some(sample) = self.late_sample(id) else { continue };
            let (ran_ms, tokens) = (sample.ran_ms, sample.tokens);
            let Some(permit) = self.context.router.hedge(sample).await else { continue };
            let Some(flight) = self.in_flight.get_mut(&id) else { continue };
            flight.hedged = true;
            flight.runs += 1;
            let avoid = flight.first_run.endpoint.borrow().iter().cloned().collect();
            let (group, number) = (id.group, id.number);
            tracing::info!(event = "sample_hedged", %group, %number, ran_ms, tokens);
            self.start_run(id, Rc::default(), avoid, Some(permit));
        }
    }

    /// Lists the hedging candidates: running samples of groups that are almost complete.
    fn hedge_candidates(&self) -> Vec<SampleId> {
        let wanted = self.progress.spec.samples;
        let is_almost_complete = |group: &Group| {
            let done = self.count_done(*group);
            (wanted.saturating_sub(done)) * MISSING_DIVISOR <= wanted.max(MISSING_DIVISOR)
        };
        // After a stall, what its endpoint has sent may be unread.
        let is_running = |flight: &InFlight| {
            let timer = flight.first_run.timer.borrow();
            !flight.hedged && timer.as_ref().is_some_and(|timer| !timer.is_reading())
        };
        let candidates = self
            .in_flight
            .iter()
            .filter(|(id, flight)| is_almost_complete(&id.group) && is_running(flight));
        candidates.map(|(id, _)| *id).collect()
    }

    fn count_done(&self, group: Group) -> u32 {
        let first = SampleId { group, number: SampleNo(0) };
        let last = SampleId { group, number: SampleNo(u32::MAX) };
        self.done.range(first..=last).count() as u32
    }

    fn late_sample(&self, id: SampleId) -> Option<LateSample> {
        let flight = self.in_flight.get(&id)?;
        let spec = &self.progress.spec;
        let done = self.count_done(id.group);
        let query = EndpointQuery {
            workspace: self.key.workspace.clone(),
            model: spec.model.clone(),
            tokens: spec.max_tokens,
            avoid: flight.first_run.endpoint.borrow().iter().cloned().collect(),
            ..EndpointQuery::default()
        };
        Some(LateSample {
            query,
            group: spec.samples,
            left: spec.samples.saturating_sub(done),
            ran_ms: flight.first_run.timer.borrow().as_ref()?.elapsed_ms(),
            tokens: flight.first_run.tokens.get(),
        })
    }

    /// Updates the set of complete groups. This stops their remaining samples, which are the extra
    /// ones, and wakes waiting pulls.
    fn update_complete(&self) {
        let wanted = self.progress.spec.samples;
        let mut complete: BTreeSet<Group> = self.progress.delivered.iter().copied().collect();
        let groups = (0..self.progress.spec.groups.len() as u32).map(Group);
        complete.extend(groups.filter(|group| self.count_done(*group) >= wanted));
        let changed = self.complete.send_if_modified(|current| {
            let differs = *current != complete;
            *current = complete;
            differs
        });
        if changed {
            self.shared.pull_notifier.group_completed(&self.key.workspace);
        }
    }

    /// Starts the missing samples, those with the longest expected answers first.
    fn reconcile(&mut self, progress: Progress) {
        let done = progress.done.iter().map(|&(group, number)| SampleId { group, number });
        self.done = done.collect();
        self.progress = Rc::new(progress);
        self.update_complete();
        let mut missing = self.missing();
        let spec = &self.progress.spec;
        let prompt = |id: &SampleId| prompt_fingerprint(&spec.groups[id.group.0 as usize].prompt);
        self.shared.lengths.borrow().sort(&mut missing, prompt);
        for id in missing {
            self.start_sample(id);
        }
    }

    fn missing(&self) -> Vec<SampleId> {
        let spec = &self.progress.spec;
        let mut missing = Vec::new();
        for group in (0..spec.groups.len() as u32).map(Group) {
            if self.complete.borrow().contains(&group) {
                continue;
            }
            for number in (0..spec.samples + spec.extra).map(SampleNo) {
                let id = SampleId { group, number };
                let recorded = self.progress.done.contains(&(group, number));
                if !recorded && !self.in_flight.contains_key(&id) {
                    missing.push(id);
                }
            }
        }
        missing
    }

    fn start_sample(&mut self, id: SampleId) {
        if *self.shared.leaving.borrow() {
            return;
        }
        let flight = InFlight::default();
        let run_progress = flight.first_run.clone();
        self.in_flight.insert(id, flight);
        self.start_run(id, run_progress, Vec::new(), None);
    }

    fn start_run(
        &mut self,
        id: SampleId,
        run_progress: Rc<SampleProgress>,
        avoid: Vec<Endpoint>,
        permit: Option<HedgePermit>,
    ) {
        let Some(flight) = self.in_flight.get(&id) else { return };
        let mut stop = flight.stop.subscribe();
        let task = sample::SampleTask {
            run_progress,
            avoid,
            context: self.context.clone(),
            shared: self.shared.clone(),
            progress: self.progress.clone(),
            session: self.session,
            key: self.key.clone(),
            id,
            step_started: self.started,
            timeline: self.timeline.clone(),
        };
        let mut complete = self.complete.subscribe();
        self.running.push(Box::pin(async move {
            let _permit = permit;
            let ended = tokio::select! {
                ended = task.run() => ended,
                _ = complete.wait_for(|complete| complete.contains(&id.group)) => SampleEnd::Unwanted,
                _ = stop.wait_for(|stop| *stop) => SampleEnd::Unwanted,
            };
            (id, ended)
        }));
    }
}

/// Waits until a newer version of a model is published.
///
/// A publication drops recorded samples that became stale. If only the next poll noticed it, they
/// would be rerun up to two seconds late while the trainer idles.
async fn new_version(
    config: &mut watch::Receiver<Arc<Config>>,
    model: &Model,
    seen: &mut Option<Version>,
) {
    let changed = config.wait_for(|config| newest_version(config, model) != *seen).await;
    let newest = changed.ok().map(|config| newest_version(&config, model));
    match newest {
        Some(newest) => *seen = newest,
        None => std::future::pending().await,
    }
}

fn newest_version(config: &Config, model: &Model) -> Option<Version> {
    config.weights.get(model).map(|weights| weights.version)
}

/// Returns the fingerprint of a prompt, by which answer lengths, suspects and convictions are kept.
pub fn prompt_fingerprint(prompt: &str) -> Fingerprint {
    Fingerprint::of(prompt.as_bytes())
}
