//! Runs one sample until the ledger has recorded it.

use std::rc::Rc;
use std::time::Duration;

use chicoryford_kernel::run_time::RunTimer;
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
use crate::steps::step::prompt_fingerprint;
use crate::steps::timeline::Timeline;

/// Time budget in milliseconds of a step that sets none.
const DEFAULT_BUDGET_MS: u64 = 300_000;
/// Minimum time until the deadline of a sample, in milliseconds. A step that has exceeded its
/// budget continues, because its trainer still waits for it; with less time, admission would refuse
/// its long samples again and again.
const MIN_DEADLINE_MS: u64 = 300_000;
/// Initial backoff in milliseconds before a sample is retried; it doubles with each retry.
const INITIAL_BACKOFF_MS: u64 = 50;
/// Maximum backoff in milliseconds.
pub(super) const MAX_BACKOFF_MS: u64 = 2_000;

/// Identifies a sample within its step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SampleId {
    /// The group.
    pub group: Group,
    /// The number of the sample within the group.
    pub number: SampleNo,
}

/// How a run of a sample ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleEnd {
    /// The sample is recorded.
    Recorded,
    /// The sample is no longer needed from this run: its group is complete, another run recorded
    /// it, or this entry is leaving.
    Unwanted,
    /// The session no longer owns the step.
    Over,
}

/// Why a sample has to be retried.
pub(super) enum RetryReason {
    /// The request failed.
    Failed(Failure),
    /// The version of its oldest tokens exceeds the freshness bound.
    Stale,
    /// The engine did not report which version produced some of the tokens.
    Unattributed,
    /// This entry is leaving; another one runs the sample.
    Leaving,
}

/// One run of a sample.
pub struct SampleTask {
    /// Services and clients of this thread.
    pub context: Context,
    /// State shared by all steps.
    pub shared: Shared,
    /// The step's specification and progress.
    pub progress: Rc<Progress>,
    /// The session that owns the step.
    pub session: u64,
    /// The step.
    pub key: StepKey,
    /// Identifies the sample.
    pub id: SampleId,
    /// Progress of this run, used to decide whether the sample is hedged.
    pub run_progress: Rc<SampleProgress>,
    /// Endpoints to avoid, because the other run of the sample uses them.
    pub avoid: Vec<Endpoint>,
    /// When this entry took the step.
    pub step_started: Millis,
    /// Collects the time spent in each phase.
    pub timeline: Rc<Timeline>,
}

/// A complete generation and the number of attempts it took.
struct Generated {
    output: Output,
    attempts: u32,
}

impl SampleTask {
    /// Runs the sample until it is recorded, no longer needed, or its step has ended.
    pub async fn run(&self) -> SampleEnd {
        let mut attempts = 0;
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            let reason = match self.run_once(&mut attempts).await {
                Ok(ended) => return ended,
                Err(reason) => reason,
            };
            self.log_retry(&reason);
            if let RetryReason::Failed(_) = reason {
                let prompt = &self.progress.spec.groups[self.id.group.0 as usize].prompt;
                self.shared.probation.borrow_mut().record_failure(prompt_fingerprint(prompt));
            }
            if *self.shared.leaving.borrow() {
                return SampleEnd::Unwanted;
            }
            // A refusal by admission carries the time after which there may be capacity.
            if let RetryReason::Failed(Failure { retry_ms: Some(ms), .. }) = reason {
                backoff_ms = backoff_ms.max(ms).min(MAX_BACKOFF_MS);
            }
            let delay_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
            actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Generates, scores and records the sample once, or returns why it has to be retried.
    async fn run_once(&self, attempts: &mut u32) -> Result<SampleEnd, RetryReason> {
        let template = self.template()?;
        let prompt = &self.progress.spec.groups[self.id.group.0 as usize].prompt;
        self.wait_for_probation(prompt_fingerprint(prompt)).await;
        *attempts += 1;
        let generated = self.generate(&template).await?;
        *attempts += generated.attempts.saturating_sub(1);
        let scoring = self.context.now();
        let score = self.score_with_retry(&template, &generated.output).await?;
        let ms = self.context.now().since(scoring);
        self.timeline.add(|times| times.scored.add(ms));
        let record = self
            .build_record(&generated.output, *attempts, score)
            .ok_or(RetryReason::Unattributed)?;
        let recording = self.context.now();
        let ended = self.submit(self.store_body(record).await).await?;
        let ms = self.context.now().since(recording);
        self.timeline.add(|times| times.recorded.add(ms));
        Ok(ended)
    }

    /// Waits until a sample with this content may run, if the content is convicted.
    async fn wait_for_probation(&self, content: Fingerprint) {
        while self.context.config.current().convictions.contains_key(&content) {
            let waits = self.shared.probation.borrow_mut().start(content, self.context.now());
            let Some(ms) = waits else { return };
            actix_rt::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    fn template(&self) -> Result<Template, RetryReason> {
        let config = self.context.config.current();
        let template = admit::find_template(&self.key.workspace, &config);
        template.cloned().map_err(RetryReason::Failed)
    }

    async fn generate(&self, template: &Template) -> Result<Generated, RetryReason> {
        let requested = self.context.now();
        let members = self.context.members.view();
        let entries = members.present().filter(|member| member.roles.entry).count() as u32;
        let workspace_limit =
            self.shared.sample_limits.semaphore(&self.key.workspace, &template.limits, entries);
        let workspace_permit = workspace_limit.acquire().await;
        let slot = self.shared.slots.acquire().await;
        if *self.shared.leaving.borrow() {
            return Err(RetryReason::Leaving);
        }
        let prompt = &self.progress.spec.groups[self.id.group.0 as usize].prompt;
        let job = self.job(template, prompt);
        let task = self.generation(prompt);
        let admitted = GenerationStream::enter(self.context.clone(), job, task);
        let mut stream = admitted.await.map_err(RetryReason::Failed)?;
        let started = self.context.now();
        self.run_progress.timer.replace(Some(RunTimer::start()));
        self.timeline.sample_admitted(started);
        self.timeline.add(|times| times.waited.add(started.since(requested)));
        loop {
            let piece = stream.next().await.map_err(RetryReason::Failed)?;
            self.run_progress.tokens.set(stream.output.tokens);
            self.run_progress.endpoint.replace(stream.endpoint());
            if self.is_stale(&stream.output) {
                let tokens = i64::from(stream.output.tokens);
                self.context.kernel.metrics.count("entry.sample.wasted_tokens", tokens);
                return Err(RetryReason::Stale);
            }
            if let Piece::Finished(_) = piece {
                break;
            }
        }
        drop((workspace_permit, slot));
        self.run_progress.timer.replace(None);
        let ms = self.context.now().since(started);
        self.timeline.add(|times| times.generated.add(ms));
        self.shared.staleness.borrow_mut().record_sample(&self.progress.spec.model, ms);
        let attempts = stream.job().attempt.0;
        let output = std::mem::take(&mut stream.output);
        let content = prompt_fingerprint(prompt);
        self.shared.lengths.borrow_mut().record(content, output.tokens);
        self.shared.probation.borrow_mut().record_completion(content);
        if output.spans().is_none() {
            return Err(RetryReason::Unattributed);
        }
        Ok(Generated { output, attempts })
    }

    pub(super) fn job(&self, template: &Template, prompt: &str) -> Job {
        let spec = &self.progress.spec;
        let budget = if spec.budget_ms == 0 { DEFAULT_BUDGET_MS } else { spec.budget_ms };
        let fingerprint = prompt_fingerprint(prompt);
        let config = self.context.config.current();
        Job {
            request: Job::new_request_id(),
            workspace: self.key.workspace.clone(),
            model: spec.model.clone(),
            class: Class::Batch,
            deadline: (self.step_started + budget).max(self.context.now() + MIN_DEADLINE_MS),
            repeatable: true,
            floor: Some(self.start_floor()),
            fingerprint,
            suspect: config.suspects.contains_key(&fingerprint)
                || config.convictions.contains_key(&fingerprint),
            owed: true,
            retries: template.retries,
            avoid: self.avoid.clone(),
            ..Job::default()
        }
    }

    fn generation(&self, prompt: &str) -> Generation {
        let spec = &self.progress.spec;
        let seed_input = format!("{}.{}.{}", spec.seed, self.id.group, self.id.number);
        Generation {
            prompt: prompt.to_owned(),
            max_tokens: spec.max_tokens.max(1),
            seed: Fingerprint::of(seed_input.as_bytes()).0,
            temperature: spec.temperature,
            logprobs: spec.logprobs,
            ..Generation::default()
        }
    }

    fn newest_version(&self) -> Version {
        let config = self.context.config.current();
        config.weights.get(&self.progress.spec.model).map_or(Version(0), |newest| newest.version)
    }

    /// Returns the oldest version that may start the sample. If prediction is enabled, it accounts
    /// for the versions that are expected to be published while the sample runs.
    fn start_floor(&self) -> Version {
        if !self.shared.predict {
            return self.delivery_floor();
        }
        let (newest, bound) = (self.newest_version(), self.progress.bound);
        self.shared.staleness.borrow().floor(&self.progress.spec.model, newest, bound)
    }

    /// Returns the oldest version that may currently be delivered.
    fn delivery_floor(&self) -> Version {
        Version(self.newest_version().0.saturating_sub(self.progress.bound))
    }

    /// Returns whether the sample contains tokens too old to be delivered. Versions only increase,
    /// so it cannot become deliverable again, and its slot is freed immediately.
    pub(super) fn is_stale(&self, output: &Output) -> bool {
        let floor = self.delivery_floor();
        output.runs.iter().any(|run| run.version.is_some_and(|version| version < floor))
    }

    /// Stores the sample's bytes on their holders, which has to happen before the sample is
    /// submitted to the ledger.
    async fn store_body(&self, record: Record) -> Record {
        let Body::Inline(bytes) = &record.body else { return record };
        let (key, digest) = (self.key.clone(), record.digest);
        let SampleId { group, number } = self.id;
        let name = BodyName { key, group, number, digest };
        let body = replicate::replicate(&self.context, &name, bytes).await;
        Record { body, ..record }
    }

    /// Submits the sample to the ledger and retries until the control processes have replied.
    /// Retrying is safe, because the ledger drops a second record of the same sample as a
    /// duplicate.
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
                // The body stores of the entries may have free capacity again.
                Ok(LedgerReply::Full) => record = self.store_body(record).await,
                Err(_) => {}
                Ok(_) => return Ok(SampleEnd::Over),
            }
            actix_rt::time::sleep(Duration::from_millis(MAX_BACKOFF_MS / 4)).await;
        }
    }

    fn log_retry(&self, reason: &RetryReason) {
        let why = match reason {
            RetryReason::Failed(failure) => failure.to_string(),
            RetryReason::Stale => "tokens exceed the freshness bound".to_owned(),
            RetryReason::Unattributed => "the version of some tokens is unknown".to_owned(),
            RetryReason::Leaving => "this entry is leaving".to_owned(),
        };
        let (workspace, step) = (&self.key.workspace, self.key.step);
        let SampleId { group, number } = self.id;
        tracing::info!(event = "sample_again", %workspace, %step, %group, %number, why);
        self.context.kernel.metrics.count("entry.sample.again", 1);
    }
}
