//! Runs one sample until it is recorded.

use std::rc::Rc;
use std::time::Duration;

use chicoryford_ledger::Body;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::Progress;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_types::Class;
use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Group;
use chicoryford_types::Millis;
use chicoryford_types::SampleNo;
use chicoryford_types::Template;
use chicoryford_types::Version;
use chicoryford_types::request::Generation;
use rand::Rng;

use crate::admit;
use crate::bodies::replicate;
use crate::context::Context;
use crate::run::GenerationStream;
use crate::run::Job;
use crate::run::Piece;
use crate::run::spans::Output;
use crate::steps::in_flight::SampleProgress;
use crate::steps::propose;
use crate::steps::step::Shared;
use crate::steps::step::prompt_of;
use crate::steps::timeline::Timeline;

/// The budget of a step that names none, in milliseconds.
const BUDGET: u64 = 300_000;
/// The least time that a sample is given, in milliseconds. A step past its budget goes on,
/// because its trainer still waits for it; a shorter time would have its long samples refused
/// at the door again and again.
const LEAST: u64 = 300_000;
/// The pause before a sample is begun again, in milliseconds; it doubles with each try.
const PAUSE: u64 = 50;
/// The longest such pause, in milliseconds.
pub(super) const PAUSE_BOUND: u64 = 2_000;
/// A sample's id in its step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SampleId {
    /// The group.
    pub group: Group,
    /// Its number within the group.
    pub number: SampleNo,
}

/// How the work on a sample ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleEnd {
    /// It is recorded.
    Recorded,
    /// Its group is whole without it.
    Unwanted,
    /// The step is not this session's any more.
    Over,
}

/// Why a sample must be begun again.
pub(super) enum RetryReason {
    /// The request failed.
    Failed(Failure),
    /// Its oldest tokens are too old by now.
    Stale,
    /// The engine did not say which version produced some token.
    Unattributed,
    /// This entry leaves; another one begins the sample.
    Leaving,
}

/// The work on one sample.
pub struct SampleTask {
    /// What the thread has.
    pub context: Context,
    /// What all steps share.
    pub shared: Shared,
    /// What the step asked for.
    pub progress: Rc<Progress>,
    /// The session that owns the step.
    pub session: u64,
    /// The step.
    pub key: StepKey,
    /// The sample.
    pub id: SampleId,
    /// How far it has come, for the decision whether to hedge it.
    pub run_progress: Rc<SampleProgress>,
    /// Endpoints that it should not run at, because another maker of it runs there.
    pub avoid: Vec<Endpoint>,
    /// When this entry took the step.
    pub begun: Millis,
    /// Where the time of the step goes.
    pub timeline: Rc<Timeline>,
}

/// A generation that is whole, and what it took.
struct Generated {
    output: Output,
    attempts: u32,
}

impl SampleTask {
    /// Runs the sample until it is recorded or the step is over.
    pub async fn run(&self) -> SampleEnd {
        let mut attempts = 0;
        let mut pause = PAUSE;
        loop {
            let again = match self.once(&mut attempts).await {
                Ok(ended) => return ended,
                Err(again) => again,
            };
            self.note(&again);
            if *self.shared.leaving.borrow() {
                return SampleEnd::Unwanted;
            }
            // A refusal at the door says itself when there may be room.
            if let RetryReason::Failed(Failure { retry_ms: Some(ms), .. }) = again {
                pause = pause.max(ms).min(PAUSE_BOUND);
            }
            let wait = rand::rng().random_range(pause / 2..=pause);
            actix_rt::time::sleep(Duration::from_millis(wait)).await;
            pause = (pause * 2).min(PAUSE_BOUND);
        }
    }

    /// Makes, scores and records the sample once, or tells why it must be begun again.
    async fn once(&self, attempts: &mut u32) -> Result<SampleEnd, RetryReason> {
        let template = self.template()?;
        let prompt = &self.progress.spec.groups[self.id.group.0 as usize].prompt;
        let config = self.context.config.current();
        admit::check_not_convicted(prompt_of(prompt), &config).map_err(RetryReason::Failed)?;
        *attempts += 1;
        let generated = self.make(&template).await?;
        *attempts += generated.attempts.saturating_sub(1);
        let scoring = self.context.now();
        let score = self.scored(&template, &generated.output).await?;
        let ms = self.context.now().since(scoring);
        self.timeline.add(|parts| parts.scored.add(ms));
        let record =
            self.record(&generated.output, *attempts, score).ok_or(RetryReason::Unattributed)?;
        let recording = self.context.now();
        let ended = self.submit(self.placed(record).await).await?;
        let ms = self.context.now().since(recording);
        self.timeline.add(|parts| parts.recorded.add(ms));
        Ok(ended)
    }

    fn template(&self) -> Result<Template, RetryReason> {
        let config = self.context.config.current();
        let template = admit::find_template(&self.key.workspace, &config);
        template.cloned().map_err(RetryReason::Failed)
    }

    async fn make(&self, template: &Template) -> Result<Generated, RetryReason> {
        let asked = self.context.now();
        let members = self.context.members.view();
        let entries = members.present().filter(|member| member.roles.entry).count() as u32;
        let room =
            self.shared.sample_limits.semaphore(&self.key.workspace, &template.limits, entries);
        let id = room.acquire().await;
        let slot = self.shared.slots.acquire().await;
        if *self.shared.leaving.borrow() {
            return Err(RetryReason::Leaving);
        }
        let prompt = &self.progress.spec.groups[self.id.group.0 as usize].prompt;
        let job = self.job(template, prompt);
        let task = self.generation(prompt);
        let entering = GenerationStream::enter(self.context.clone(), job, task);
        let mut generating = entering.await.map_err(RetryReason::Failed)?;
        let begun = self.context.now();
        self.run_progress.begun.set(Some(begun));
        self.timeline.let_in(begun);
        self.timeline.add(|parts| parts.waited.add(begun.since(asked)));
        loop {
            let piece = generating.next().await.map_err(RetryReason::Failed)?;
            self.run_progress.tokens.set(generating.output.tokens);
            self.run_progress.endpoint.replace(generating.endpoint());
            if self.is_stale(&generating.output) {
                let tokens = i64::from(generating.output.tokens);
                self.context.kernel.metrics.count("entry.sample.wasted_tokens", tokens);
                return Err(RetryReason::Stale);
            }
            if let Piece::Finished(_) = piece {
                break;
            }
        }
        drop((id, slot));
        let ms = self.context.now().since(begun);
        self.timeline.add(|parts| parts.generated.add(ms));
        self.shared.staleness.borrow_mut().record_sample(&self.progress.spec.model, ms);
        let attempts = generating.job().attempt.0;
        let output = std::mem::take(&mut generating.output);
        self.shared.lengths.borrow_mut().learn(prompt_of(prompt), output.tokens);
        if output.spans().is_none() {
            return Err(RetryReason::Unattributed);
        }
        Ok(Generated { output, attempts })
    }

    pub(super) fn job(&self, template: &Template, prompt: &str) -> Job {
        let spec = &self.progress.spec;
        let budget = if spec.budget_ms == 0 { BUDGET } else { spec.budget_ms };
        let fingerprint = prompt_of(prompt);
        let config = self.context.config.current();
        Job {
            request: Job::new_request_id(),
            workspace: self.key.workspace.clone(),
            model: spec.model.clone(),
            class: Class::Batch,
            deadline: (self.begun + budget).max(self.context.now() + LEAST),
            repeatable: true,
            floor: Some(self.first_floor()),
            fingerprint,
            suspect: config.suspects.contains_key(&fingerprint),
            retries: template.retries,
            avoid: self.avoid.clone(),
            ..Job::default()
        }
    }

    fn generation(&self, prompt: &str) -> Generation {
        let spec = &self.progress.spec;
        let id = format!("{}.{}.{}", spec.seed, self.id.group, self.id.number);
        Generation {
            prompt: prompt.to_owned(),
            max_tokens: spec.max_tokens.max(1),
            seed: Fingerprint::of(id.as_bytes()).0,
            temperature: spec.temperature,
            logprobs: spec.logprobs,
            ..Generation::default()
        }
    }

    fn newest(&self) -> Version {
        let config = self.context.config.current();
        config.weights.get(&self.progress.spec.model).map_or(Version(0), |newest| newest.version)
    }

    /// Gives the oldest version that may begin the sample, by when it is expected to end.
    fn first_floor(&self) -> Version {
        if !self.shared.predict {
            return self.floor();
        }
        let (newest, bound) = (self.newest(), self.progress.bound);
        self.shared.staleness.borrow().floor(&self.progress.spec.model, newest, bound)
    }

    /// Gives the oldest version that may be delivered now.
    fn floor(&self) -> Version {
        Version(self.newest().0.saturating_sub(self.progress.bound))
    }

    /// Tells whether the sample could no longer be delivered however soon it ended: versions
    /// only grow, so its slot is better freed now.
    pub(super) fn is_stale(&self, output: &Output) -> bool {
        let floor = self.floor();
        output.runs.iter().any(|run| run.version.is_some_and(|version| version < floor))
    }

    /// Puts the sample's bytes where they belong, before the ledger hears of them.
    async fn placed(&self, record: Record) -> Record {
        let Body::Inline(bytes) = &record.body else { return record };
        let (key, digest) = (self.key.clone(), record.digest);
        let SampleId { group, number } = self.id;
        let name = BodyName { key, group, number, digest };
        let body = replicate::replicate(&self.context, &name, bytes).await;
        Record { body, ..record }
    }

    /// Records the sample, sending it again until the control processes answered: a second
    /// record of the same sample is a duplicate, which the ledger drops.
    async fn submit(&self, mut record: Record) -> Result<SampleEnd, RetryReason> {
        loop {
            let command = LedgerCommand::Done {
                key: self.key.clone(),
                group: self.id.group,
                number: self.id.number,
                session: self.session,
                record: record.clone(),
            };
            match propose::ledger_command(&self.context, command).await {
                Ok(LedgerReply::Kept | LedgerReply::Duplicate) => return Ok(SampleEnd::Recorded),
                Ok(LedgerReply::Undeliverable) => return Err(RetryReason::Stale),
                // The stores of the entries may have room again.
                Ok(LedgerReply::Full) => record = self.placed(record).await,
                Err(_) => {}
                Ok(_) => return Ok(SampleEnd::Over),
            }
            actix_rt::time::sleep(Duration::from_millis(PAUSE_BOUND / 4)).await;
        }
    }

    fn note(&self, again: &RetryReason) {
        let why = match again {
            RetryReason::Failed(failure) => failure.to_string(),
            RetryReason::Stale => "too old by now".to_owned(),
            RetryReason::Unattributed => "a version is not known".to_owned(),
            RetryReason::Leaving => "this entry leaves".to_owned(),
        };
        let (workspace, step) = (&self.key.workspace, self.key.step);
        let SampleId { group, number } = self.id;
        tracing::info!(event = "sample_again", %workspace, %step, %group, %number, why);
        self.context.kernel.metrics.count("entry.sample.again", 1);
    }
}
