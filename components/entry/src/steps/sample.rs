//! Runs one sample until it is recorded.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_ledger::Body;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_ledger::Progress;
use chicoryford_ledger::Record;
use chicoryford_ledger::StepKey;
use chicoryford_types::Class;
use chicoryford_types::Digest;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Group;
use chicoryford_types::Millis;
use chicoryford_types::Sample;
use chicoryford_types::SampleNo;
use chicoryford_types::Template;
use chicoryford_types::Version;
use chicoryford_types::request::Generation;
use chicoryford_types::request::ServiceCall;
use rand::Rng;
use serde::Deserialize;
use serde_json::json;

use crate::context::Context;
use crate::run::Generating;
use crate::run::Job;
use crate::run::Piece;
use crate::run::serve;
use crate::run::spans::Whole;
use crate::steps::record;
use crate::steps::step::Shared;
use crate::steps::step::prompt_of;

/// The budget of a step that names none, in milliseconds.
const BUDGET: u64 = 300_000;
/// The least time that an attempt is given, in milliseconds. A step past its budget goes on,
/// because its trainer still waits for it.
const LEAST: u64 = 30_000;
/// The pause before a sample is begun again, in milliseconds; it doubles with each try.
const PAUSE: u64 = 50;
/// The longest such pause, in milliseconds.
const PAUSE_BOUND: u64 = 2_000;
/// The path at which scoring services answer.
const SCORE: &str = "/score";

/// A sample's place in its step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The group.
    pub group: Group,
    /// Its number within the group.
    pub number: SampleNo,
}

/// How the work on a sample ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// It is recorded.
    Recorded,
    /// Its group is whole without it.
    Unwanted,
    /// The step is not this session's any more.
    Over,
}

/// Why a sample must be begun again.
enum Again {
    /// The request failed.
    Failed(Failure),
    /// Its oldest tokens are too old by now.
    Doomed,
    /// The engine did not say which version produced some token.
    Unattributed,
}

/// The work on one sample.
pub struct Task {
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
    pub place: Place,
    /// When this entry took the step.
    pub begun: Millis,
}

/// A generation that is whole, and what it took.
struct Made {
    whole: Whole,
    attempts: u32,
}

#[derive(Deserialize)]
struct Scored {
    score: f64,
}

impl Task {
    /// Runs the sample until it is recorded or the step is over.
    pub async fn run(&self) -> Ended {
        let mut attempts = 0;
        let mut pause = PAUSE;
        loop {
            if let Some(ended) = self.once(&mut attempts).await {
                return ended;
            }
            let wait = rand::rng().random_range(pause / 2..=pause);
            actix_rt::time::sleep(Duration::from_millis(wait)).await;
            pause = (pause * 2).min(PAUSE_BOUND);
        }
    }

    /// Makes, scores and records the sample once; gives none if it must be begun again.
    async fn once(&self, attempts: &mut u32) -> Option<Ended> {
        let template = self.template()?;
        let made = match self.make(&template).await {
            Ok(made) => made,
            Err(again) => {
                *attempts += 1;
                self.note(&again);
                return None;
            }
        };
        *attempts += made.attempts;
        let score = match self.score(&template, &made.whole).await {
            Ok(score) => score,
            Err(failure) => {
                self.note(&Again::Failed(failure));
                return None;
            }
        };
        let record = self.record(&made.whole, *attempts, score)?;
        self.submit(record).await
    }

    fn template(&self) -> Option<Template> {
        let config = self.context.config.current();
        config.templates.get(&self.key.workspace).map(|versioned| versioned.template.clone())
    }

    async fn make(&self, template: &Template) -> Result<Made, Again> {
        let slot = self.shared.slots.acquire().await;
        let prompt = &self.progress.spec.groups[self.place.group.0 as usize].prompt;
        let job = self.job(template, prompt);
        let task = self.generation(prompt);
        let mut generating = Generating::new(self.context.clone(), job, task, None);
        loop {
            let piece = generating.next().await.map_err(Again::Failed)?;
            if self.is_doomed(&generating.whole) {
                let tokens = i64::from(generating.whole.tokens);
                self.context.kernel.metrics.count("entry.sample.wasted_tokens", tokens);
                return Err(Again::Doomed);
            }
            if let Piece::Finished(_) = piece {
                break;
            }
        }
        drop(slot);
        let attempts = generating.job().attempt.0;
        let whole = std::mem::take(&mut generating.whole);
        self.shared.lengths.borrow_mut().learn(prompt_of(prompt), whole.tokens);
        if whole.spans().is_none() {
            return Err(Again::Unattributed);
        }
        Ok(Made { whole, attempts })
    }

    fn job(&self, template: &Template, prompt: &str) -> Job {
        let spec = &self.progress.spec;
        let budget = if spec.budget_ms == 0 { BUDGET } else { spec.budget_ms };
        let fingerprint = Fingerprint::of(prompt.as_bytes());
        let config = self.context.config.current();
        Job {
            request: Job::draw(),
            workspace: self.key.workspace.clone(),
            model: spec.model.clone(),
            class: Class::Batch,
            deadline: (self.begun + budget).max(self.context.now() + LEAST),
            repeatable: true,
            floor: Some(self.floor()),
            fingerprint,
            suspect: config.suspects.contains_key(&fingerprint),
            retries: template.retries,
            ..Job::default()
        }
    }

    fn generation(&self, prompt: &str) -> Generation {
        let spec = &self.progress.spec;
        let place = format!("{}.{}.{}", spec.seed, self.place.group, self.place.number);
        Generation {
            prompt: prompt.to_owned(),
            max_tokens: spec.max_tokens.max(1),
            seed: Fingerprint::of(place.as_bytes()).0,
            temperature: spec.temperature,
            logprobs: spec.logprobs,
            ..Generation::default()
        }
    }

    fn newest(&self) -> Version {
        let config = self.context.config.current();
        config.weights.get(&self.progress.spec.model).map_or(Version(0), |newest| newest.version)
    }

    /// Gives the oldest version that may begin the sample.
    fn floor(&self) -> Version {
        Version(self.newest().0.saturating_sub(self.progress.bound))
    }

    /// Tells whether the sample could no longer be delivered however soon it ended: versions
    /// only grow, so its slot is better freed now.
    fn is_doomed(&self, whole: &Whole) -> bool {
        let floor = self.floor();
        whole.runs.iter().any(|run| run.version.is_some_and(|version| version < floor))
    }

    async fn score(&self, template: &Template, whole: &Whole) -> Result<Option<f64>, Failure> {
        let Some(scorer) = &template.scorer else { return Ok(None) };
        let prompt = &self.progress.spec.groups[self.place.group.0 as usize].prompt;
        let body = json!({"prompt": prompt, "text": whole.text}).to_string();
        let call = ServiceCall {
            path: SCORE.to_owned(),
            media: "application/json".to_owned(),
            body: Bytes::from(body),
        };
        let job = Job { model: scorer.clone(), floor: None, ..self.job(template, prompt) };
        let job = Job { fingerprint: Fingerprint::of(&call.body), suspect: false, ..job };
        let served = serve::call(&self.context, job, call).await?;
        let scored = serde_json::from_slice::<Scored>(&served.answer.body);
        let scored = scored.map_err(|error| {
            let detail = format!("the scoring service's answer cannot be read: {error}");
            Failure::unknown(chicoryford_types::Code::EndpointFailed, detail)
        })?;
        Ok(Some(scored.score))
    }

    fn record(&self, whole: &Whole, attempts: u32, score: Option<f64>) -> Option<Record> {
        let spans = whole.spans()?;
        // Log-probabilities that some attempt did not give cannot be matched to tokens.
        let complete = whole.logprobs.len() == whole.tokens as usize;
        let sample = Sample {
            step: self.key.step,
            group: self.place.group,
            number: self.place.number,
            text: whole.text.clone(),
            tokens: whole.tokens,
            spans: spans.clone(),
            logprobs: if complete { whole.logprobs.clone() } else { Vec::new() },
            attempts,
            score,
            age_ms: self.context.now().since(self.begun),
        };
        let bytes = serde_json::to_vec(&sample).expect("a sample is plain data");
        let digest = Digest::of(&bytes);
        let body = Body::Inline(Bytes::from(bytes));
        Some(Record { spans, tokens: whole.tokens, digest, body })
    }

    /// Records the sample, sending it again until the control processes answered: a second
    /// record of the same sample is a duplicate, which the ledger drops.
    async fn submit(&self, record: Record) -> Option<Ended> {
        loop {
            let command = LedgerCommand::Done {
                key: self.key.clone(),
                group: self.place.group,
                number: self.place.number,
                session: self.session,
                record: record.clone(),
            };
            match record::ledger(&self.context, command).await {
                Ok(LedgerReply::Kept | LedgerReply::Duplicate) => return Some(Ended::Recorded),
                Ok(LedgerReply::Undeliverable) => {
                    self.note(&Again::Doomed);
                    return None;
                }
                Ok(LedgerReply::Full) | Err(_) => {}
                Ok(_) => return Some(Ended::Over),
            }
            actix_rt::time::sleep(Duration::from_millis(PAUSE_BOUND / 4)).await;
        }
    }

    fn note(&self, again: &Again) {
        let why = match again {
            Again::Failed(failure) => failure.to_string(),
            Again::Doomed => "too old by now".to_owned(),
            Again::Unattributed => "a version is not known".to_owned(),
        };
        let (workspace, step) = (&self.key.workspace, self.key.step);
        let Place { group, number } = self.place;
        tracing::info!(event = "sample_again", %workspace, %step, %group, %number, why);
        self.context.kernel.metrics.count("entry.sample.again", 1);
    }
}
