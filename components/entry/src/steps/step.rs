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
use chicoryford_types::Fingerprint;
use chicoryford_types::Group;
use chicoryford_types::Millis;
use chicoryford_types::SampleNo;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::context::Context;
use crate::steps::lengths::Lengths;
use crate::steps::record;
use crate::steps::sample;
use crate::steps::sample::Ended;
use crate::steps::sample::Place;

/// The time between two questions for a step's progress.
const POLL: Duration = Duration::from_secs(2);

/// What all steps of an entry share.
#[derive(Clone)]
pub struct Shared {
    /// Learned lengths.
    pub lengths: Rc<RefCell<Lengths>>,
    /// Samples that may run at once.
    pub slots: Arc<Semaphore>,
}

type Running = FuturesUnordered<LocalBoxFuture<'static, (Place, Ended)>>;

struct Step {
    context: Context,
    shared: Shared,
    session: u64,
    key: StepKey,
    begun: Millis,
    progress: Rc<Progress>,
    done: BTreeMap<Group, u32>,
    in_flight: BTreeSet<Place>,
    whole: watch::Sender<BTreeSet<Group>>,
    running: Running,
}

/// Takes a step and runs it until it is delivered, given up, or owned by another session.
pub async fn run(context: Context, shared: Shared, session: u64, key: StepKey) {
    let command = LedgerCommand::Take { key: key.clone(), session };
    let progress = match record::ledger(&context, command).await {
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
    let mut step = Step {
        begun: context.now(),
        context,
        shared,
        session,
        key,
        progress: Rc::default(),
        done: BTreeMap::new(),
        in_flight: BTreeSet::new(),
        whole: watch::Sender::new(BTreeSet::new()),
        running: Running::new(),
    };
    step.reconcile(*progress);
    step.work().await;
}

impl Step {
    async fn work(&mut self) {
        let mut poll = actix_rt::time::interval_at(actix_rt::time::Instant::now() + POLL, POLL);
        loop {
            let idle = self.running.is_empty();
            tokio::select! {
                Some((place, ended)) = self.running.next(), if !idle => {
                    self.in_flight.remove(&place);
                    match ended {
                        Ended::Recorded => self.count(place),
                        Ended::Unwanted => {}
                        Ended::Over => return,
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
        match record::ledger(&self.context, command).await {
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

    fn count(&mut self, place: Place) {
        *self.done.entry(place.group).or_default() += 1;
        self.tell_whole();
    }

    /// Tells the samples of groups that are whole to stop: these are the extra ones.
    fn tell_whole(&self) {
        let wanted = self.progress.spec.samples;
        let mut whole: BTreeSet<Group> = self.progress.delivered.iter().copied().collect();
        whole.extend(self.done.iter().filter(|(_, done)| **done >= wanted).map(|(g, _)| *g));
        self.whole.send_if_modified(|told| {
            let differs = *told != whole;
            *told = whole;
            differs
        });
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
        let prompt = |place: &Place| prompt_of(&spec.groups[place.group.0 as usize].prompt);
        self.shared.lengths.borrow().sort(&mut missing, prompt);
        for place in missing {
            self.begin(place);
        }
    }

    fn missing(&self) -> Vec<Place> {
        let spec = &self.progress.spec;
        let mut missing = Vec::new();
        for group in (0..spec.groups.len() as u32).map(Group) {
            if self.whole.borrow().contains(&group) {
                continue;
            }
            for number in (0..spec.samples + spec.extra).map(SampleNo) {
                let place = Place { group, number };
                let recorded = self.progress.done.contains(&(group, number));
                if !recorded && !self.in_flight.contains(&place) {
                    missing.push(place);
                }
            }
        }
        missing
    }

    fn begin(&mut self, place: Place) {
        self.in_flight.insert(place);
        let task = sample::Task {
            context: self.context.clone(),
            shared: self.shared.clone(),
            progress: self.progress.clone(),
            session: self.session,
            key: self.key.clone(),
            place,
            begun: self.begun,
        };
        let mut whole = self.whole.subscribe();
        self.running.push(Box::pin(async move {
            let ended = tokio::select! {
                ended = task.run() => ended,
                _ = whole.wait_for(|whole| whole.contains(&place.group)) => Ended::Unwanted,
            };
            (place, ended)
        }));
    }
}

/// Gives the key by which a prompt's lengths are learned.
pub fn prompt_of(prompt: &str) -> Fingerprint {
    Fingerprint::of(prompt.as_bytes())
}
