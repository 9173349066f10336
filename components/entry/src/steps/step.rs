//! Runs one step: begins its samples, records them, begins again those that became stale.

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
use crate::steps::propose;
use crate::steps::pull_waker::PullNotifier;
use crate::steps::sample;
use crate::steps::sample::SampleEnd;
use crate::steps::sample::SampleId;
use crate::steps::staleness::StalenessPredictor;
use crate::steps::timeline::Timeline;

/// The time between two questions for a step's progress.
const POLL: Duration = Duration::from_secs(2);

/// The time between two looks for samples to hedge.
const HEDGE: Duration = Duration::from_millis(500);
/// Groups that lack at most one in this many of their samples are looked at for hedging.
const FEW: u32 = 4;

/// What all steps of an entry share.
#[derive(Clone)]
pub struct Shared {
    /// Whether versions expected meanwhile are taken from a sample's bound.
    pub predict: bool,
    /// Whether late samples get a second maker.
    pub hedge: bool,
    /// PullNotifier pulls that wait.
    pub pull_notifier: PullNotifier,
    /// Learned lengths.
    pub lengths: Rc<RefCell<Lengths>>,
    /// The rhythm of publications.
    pub staleness: Rc<RefCell<StalenessPredictor>>,
    /// Samples of each workspace that may run at once.
    pub sample_limits: Rc<SampleLimits>,
    /// Samples that may run at once.
    pub slots: Arc<Semaphore>,
    /// Whether this entry is leaving: what runs goes on, nothing new begins.
    pub leaving: watch::Receiver<bool>,
}

type Running = FuturesUnordered<LocalBoxFuture<'static, (SampleId, SampleEnd)>>;

struct Step {
    context: Context,
    shared: Shared,
    session: u64,
    key: StepKey,
    begun: Millis,
    progress: Rc<Progress>,
    done: BTreeMap<Group, u32>,
    in_flight: BTreeMap<SampleId, InFlight>,
    whole: watch::Sender<BTreeSet<Group>>,
    running: Running,
    timeline: Rc<Timeline>,
}

/// Takes a step and runs it until it is delivered, given up, or owned by another session.
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
    let _runs = shared.pull_notifier.step_started(&key.workspace);
    let mut step = Step {
        begun: context.now(),
        timeline: Rc::new(Timeline::new(context.now())),
        context,
        shared,
        session,
        key,
        progress: Rc::default(),
        done: BTreeMap::new(),
        in_flight: BTreeMap::new(),
        whole: watch::Sender::new(BTreeSet::new()),
        running: Running::new(),
    };
    step.reconcile(*progress);
    step.work().await;
    step.timeline.log(&step.key, step.context.now());
}

impl Step {
    async fn work(&mut self) {
        let mut poll = actix_rt::time::interval_at(actix_rt::time::Instant::now() + POLL, POLL);
        let mut hedge = actix_rt::time::interval(HEDGE);
        let mut config = self.context.config.watch();
        let mut seen = newest(&config.borrow(), &self.progress.spec.model);
        loop {
            let idle = self.running.is_empty();
            if idle && *self.shared.leaving.borrow() {
                return;
            }
            tokio::select! {
                Some((id, ended)) = self.running.next(), if !idle => {
                    match ended {
                        SampleEnd::Recorded => self.count(id),
                        SampleEnd::Unwanted => self.remove_run(id),
                        SampleEnd::Over => return,
                    }
                }
                _ = hedge.tick() => self.hedge().await,
                () = published(&mut config, &self.progress.spec.model, &mut seen) => {
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

    /// Asks how the step goes. Samples that became stale meanwhile are missing in the answer,
    /// and are run again.
    async fn poll(&mut self) -> Option<()> {
        let command = LedgerCommand::Progress { key: self.key.clone() };
        match propose::ledger_command(&self.context, command).await {
            Ok(LedgerReply::Progress(progress)) => {
                if progress.owner != Some(self.session) || self.is_over(&progress) {
                    return None;
                }
                self.reconcile(*progress);
                Some(())
            }
            Ok(_) => None,
            // Without a leader nothing can be recorded, but what runs need not be thrown away.
            Err(_) => Some(()),
        }
    }

    fn is_over(&self, progress: &Progress) -> bool {
        progress.delivered.len() == progress.spec.groups.len()
    }

    /// Counts a recorded sample. Its other maker, if any, is told to stop; should that one have
    /// recorded the sample as well, the ledger has kept the first.
    fn count(&mut self, id: SampleId) {
        let Some(flight) = self.in_flight.remove(&id) else { return };
        flight.stop.send_replace(true);
        self.timeline.recorded(self.context.now());
        *self.done.entry(id.group).or_default() += 1;
        self.tell_whole();
    }

    fn remove_run(&mut self, id: SampleId) {
        let Some(flight) = self.in_flight.get_mut(&id) else { return };
        flight.runs -= 1;
        if flight.runs == 0 {
            self.in_flight.remove(&id);
        }
    }

    /// Gives the last few samples of a group that run late a second maker elsewhere.
    ///
    /// A group waits for its last sample. One that runs at an endpoint that has become slow
    /// without failing would hold up the group, and with it the trainer, for as long as it takes.
    async fn hedge(&mut self) {
        if *self.shared.leaving.borrow() || !self.shared.hedge {
            return;
        }
        for id in self.late() {
            let Some(straggler) = self.straggler(id) else { continue };
            let Some(hedged) = self.context.router.hedge(straggler).await else { continue };
            let Some(flight) = self.in_flight.get_mut(&id) else { continue };
            flight.hedged = true;
            flight.runs += 1;
            let avoid = flight.run_progress.endpoint.borrow().iter().cloned().collect();
            tracing::info!(event = "sample_hedged", group = %id.group, number = %id.number);
            self.start(id, Rc::default(), avoid, Some(hedged));
        }
    }

    /// Lists the samples that might be hedged: those that run, in groups that lack only a few.
    fn late(&self) -> Vec<SampleId> {
        let wanted = self.progress.spec.samples;
        let few = |group: &Group| {
            let done = self.done.get(group).copied().unwrap_or_default();
            (wanted.saturating_sub(done)) * FEW <= wanted.max(FEW)
        };
        let runs = |flight: &InFlight| !flight.hedged && flight.run_progress.begun.get().is_some();
        let late = self.in_flight.iter().filter(|(id, flight)| few(&id.group) && runs(flight));
        late.map(|(id, _)| *id).collect()
    }

    fn straggler(&self, id: SampleId) -> Option<LateSample> {
        let flight = self.in_flight.get(&id)?;
        let spec = &self.progress.spec;
        let done = self.done.get(&id.group).copied().unwrap_or_default();
        let query = EndpointQuery {
            workspace: self.key.workspace.clone(),
            model: spec.model.clone(),
            tokens: spec.max_tokens,
            avoid: flight.run_progress.endpoint.borrow().iter().cloned().collect(),
            ..EndpointQuery::default()
        };
        Some(LateSample {
            query,
            group: spec.samples,
            left: spec.samples.saturating_sub(done),
            ran_ms: self.context.now().since(flight.run_progress.begun.get()?),
            tokens: flight.run_progress.tokens.get(),
        })
    }

    /// Tells the samples of groups that are whole to stop, these being the extra ones, and the
    /// pulls that wait for a group to ask again.
    fn tell_whole(&self) {
        let wanted = self.progress.spec.samples;
        let mut whole: BTreeSet<Group> = self.progress.delivered.iter().copied().collect();
        whole.extend(self.done.iter().filter(|(_, done)| **done >= wanted).map(|(g, _)| *g));
        let changed = self.whole.send_if_modified(|told| {
            let differs = *told != whole;
            *told = whole;
            differs
        });
        if changed {
            self.shared.pull_notifier.group_completed(&self.key.workspace);
        }
    }

    /// Begins what is missing, the longest expected first.
    fn reconcile(&mut self, progress: Progress) {
        let mut done: BTreeMap<Group, u32> = BTreeMap::new();
        for (group, _) in &progress.done {
            *done.entry(*group).or_default() += 1;
        }
        self.done = done;
        self.progress = Rc::new(progress);
        self.tell_whole();
        let mut missing = self.missing();
        let spec = &self.progress.spec;
        let prompt = |id: &SampleId| prompt_of(&spec.groups[id.group.0 as usize].prompt);
        self.shared.lengths.borrow().sort(&mut missing, prompt);
        for id in missing {
            self.begin(id);
        }
    }

    fn missing(&self) -> Vec<SampleId> {
        let spec = &self.progress.spec;
        let mut missing = Vec::new();
        for group in (0..spec.groups.len() as u32).map(Group) {
            if self.whole.borrow().contains(&group) {
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

    fn begin(&mut self, id: SampleId) {
        if *self.shared.leaving.borrow() {
            return;
        }
        let flight = InFlight::default();
        let run_progress = flight.run_progress.clone();
        self.in_flight.insert(id, flight);
        self.start(id, run_progress, Vec::new(), None);
    }

    fn start(
        &mut self,
        id: SampleId,
        run_progress: Rc<SampleProgress>,
        avoid: Vec<Endpoint>,
        hedged: Option<HedgePermit>,
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
            begun: self.begun,
            timeline: self.timeline.clone(),
        };
        let mut whole = self.whole.subscribe();
        self.running.push(Box::pin(async move {
            let _hedged = hedged;
            let ended = tokio::select! {
                ended = task.run() => ended,
                _ = whole.wait_for(|whole| whole.contains(&id.group)) => SampleEnd::Unwanted,
                _ = stop.wait_for(|stop| *stop) => SampleEnd::Unwanted,
            };
            (id, ended)
        }));
    }
}

/// Waits until a newer version of a model is published.
///
/// The publication drops recorded samples that became stale. Seen only at the next look at the
/// step, they would be begun again up to two seconds late, and their trainer idle meanwhile.
async fn published(
    config: &mut watch::Receiver<Arc<Config>>,
    model: &Model,
    seen: &mut Option<Version>,
) {
    let changed = config.wait_for(|config| newest(config, model) != *seen).await;
    let now = changed.ok().map(|config| newest(&config, model));
    match now {
        Some(now) => *seen = now,
        None => std::future::pending().await,
    }
}

fn newest(config: &Config, model: &Model) -> Option<Version> {
    config.weights.get(model).map(|held| held.version)
}

/// Gives the key by which a prompt's lengths are learned.
pub fn prompt_of(prompt: &str) -> Fingerprint {
    Fingerprint::of(prompt.as_bytes())
}
