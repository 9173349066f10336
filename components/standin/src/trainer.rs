//! A stand-in of a trainer. It opens steps, some ahead of the one that it trains on, pulls finished
//! groups, acknowledges them and publishes new weights. It measures how long it waited for data and
//! how stale the data was.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use chicoryford_types::Sample;
use chicoryford_wire::CallError;
use chicoryford_wire::paths;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::driver::Answer;
use crate::driver::Entries;
use crate::record;
use crate::record::Recorder;

/// Timeout of one request to an entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of attempts to acknowledge a batch, after which the trainer pulls it again.
const MAX_ACK_ATTEMPTS: u32 = 50;

/// The settings of a trainer.
#[derive(Clone, Debug)]
pub struct TrainerSettings {
    /// The addresses of entries.
    pub entries: Vec<String>,
    /// The trainer's token.
    pub token: String,
    /// The workspace.
    pub workspace: String,
    /// The model.
    pub model: String,
    /// Groups per step.
    pub groups: u32,
    /// Samples per group.
    pub samples: u32,
    /// Maximum number of groups per pull.
    pub pull: u32,
    /// Maximum number of tokens of a sample.
    pub max_tokens: u32,
    /// A bound on staleness that is tighter than the template's, in versions.
    pub freshness: Option<u64>,
    /// Training time of a pulled group, in milliseconds.
    pub train_ms: u64,
    /// Number of steps that are opened ahead of the oldest incomplete one. With zero, the trainer
    /// runs one step after another, and waits at least as long as the generation of a step takes.
    pub ahead: usize,
    /// Time for which the entry holds a pull until a group is available, in milliseconds.
    pub wait_ms: u64,
    /// Interval between publications, in milliseconds.
    pub publish_ms: u64,
    /// The address of the weight store.
    pub source: String,
    /// The newest weight version at the start.
    pub version: u64,
    /// Time for which new steps are opened, in seconds.
    pub seconds: f64,
    /// The seed of prompts and samples.
    pub seed: u64,
}

impl Default for TrainerSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            token: String::new(),
            workspace: String::new(),
            model: String::new(),
            groups: 8,
            samples: 4,
            pull: 4,
            max_tokens: 256,
            freshness: None,
            train_ms: 20,
            ahead: 0,
            wait_ms: 2_000,
            publish_ms: 3_000,
            source: String::new(),
            version: 1,
            seconds: 10.0,
            seed: 1,
        }
    }
}

/// The counts and durations that a trainer measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Steps of which all samples were delivered.
    pub steps: u64,
    /// Samples delivered.
    pub samples: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Samples delivered more than once; must be zero.
    pub doubled: u64,
    /// Samples of open steps that were not delivered by the end; must be zero.
    pub lost: u64,
    /// Samples whose text, count or spans are wrong; must be zero.
    pub wrong: u64,
    /// Samples that are more stale than the bound; must be zero.
    pub stale: u64,
    /// Repeated pulls that did not return the same bytes; must be zero.
    pub changed: u64,
    /// Milliseconds spent waiting for data.
    pub idle_ms: u64,
    /// Milliseconds spent training. The rest of the total, apart from the waits for data, was spent
    /// on opening, acknowledging and publishing.
    pub trained_ms: u64,
    /// Total duration in milliseconds.
    pub total_ms: u64,
    /// The sum of the samples' lags, in versions.
    pub lag: u64,
    /// The largest lag, in versions.
    pub lag_max: u64,
    /// The newest version published.
    pub version: u64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Batch {
    cursor: u64,
    samples: Vec<Sample>,
    retry_ms: u64,
}

/// Trains until the time is over and all open steps are complete.
pub async fn run(settings: TrainerSettings, records: Recorder) -> Report {
    let mut trainer = Trainer {
        entries: Entries::new(&settings.token, settings.entries.clone()),
        report: Report { version: settings.version, ..Report::default() },
        last_published: Instant::now(),
        cursor: 1,
        next_entry: 0,
        seen: BTreeSet::new(),
        open_steps: BTreeMap::new(),
        last_opened: 0,
        settings,
        records,
    };
    let started = Instant::now();
    let end = started + Duration::from_secs_f64(trainer.settings.seconds);
    trainer.train(end).await;
    trainer.report.total_ms = started.elapsed().as_millis() as u64;
    trainer.records.write(&json!({ "event": "report", "report": trainer.report }));
    trainer.report
}

struct Trainer {
    settings: TrainerSettings,
    entries: Entries,
    records: Recorder,
    report: Report,
    last_published: Instant,
    cursor: u64,
    /// Selects the entry of the next request.
    next_entry: usize,
    /// Step, group and number of the samples received.
    seen: BTreeSet<(u64, u32, u32)>,
    /// Number of samples still expected, by open step.
    open_steps: BTreeMap<u64, u64>,
    last_opened: u64,
}

impl Trainer {
    /// Keeps steps open until `end` and trains on their groups as they are delivered. If a pull
    /// returns no samples later than one request timeout after `end`, the samples of the open steps
    /// are counted as lost.
    async fn train(&mut self, end: Instant) {
        loop {
            self.open_ahead(end).await;
            if self.open_steps.is_empty() {
                return;
            }
            self.publish_if_due().await;
            let wait_started = Instant::now();
            let batch = self.pull().await;
            self.report.idle_ms += wait_started.elapsed().as_millis() as u64;
            if let Some(batch) = batch {
                self.train_on(&batch).await;
            } else if Instant::now() > end + REQUEST_TIMEOUT {
                self.report.lost += self.open_steps.values().sum::<u64>();
                return;
            }
        }
    }

    async fn open_ahead(&mut self, end: Instant) {
        while self.open_steps.len() <= self.settings.ahead && Instant::now() < end {
            let step = self.last_opened + 1;
            if !self.open_step(step, end).await {
                return;
            }
            self.last_opened = step;
            let expected = u64::from(self.settings.groups * self.settings.samples);
            self.open_steps.insert(step, expected);
        }
    }

    /// Trains on a batch and acknowledges it.
    async fn train_on(&mut self, batch: &Batch) {
        self.check_samples(batch);
        let groups = batch.samples.len() as u64 / u64::from(self.settings.samples.max(1));
        let started = Instant::now();
        actix_rt::time::sleep(Duration::from_millis(self.settings.train_ms * groups)).await;
        self.report.trained_ms += started.elapsed().as_millis() as u64;
        self.acknowledge(batch.cursor).await;
        for sample in &batch.samples {
            let Some(left) = self.open_steps.get_mut(&sample.step.0) else { continue };
            *left = left.saturating_sub(1);
        }
        let before = self.open_steps.len();
        self.open_steps.retain(|_, left| *left > 0);
        self.report.steps += (before - self.open_steps.len()) as u64;
    }

    /// Opens a step, with retries until `end`. Returns whether it was opened.
    async fn open_step(&mut self, step: u64, end: Instant) -> bool {
        let settings = &self.settings;
        let prompts =
            (0..settings.groups).map(|group| json!({ "prompt": self.prompt(step, group) }));
        let spec = json!({
            "workspace": settings.workspace,
            "step": step,
            "model": settings.model,
            "groups": prompts.collect::<Vec<Value>>(),
            "samples": settings.samples,
            "max_tokens": settings.max_tokens,
            "temperature": 1_000,
            "seed": settings.seed,
            "logprobs": true,
            "freshness": settings.freshness,
            "budget_ms": 60_000,
        });
        while Instant::now() < end {
            match self.post(paths::STEP_OPEN, &spec).await {
                Ok(_) => return true,
                Err(error) => self.record_failure("open", &error).await,
            }
        }
        false
    }

    fn prompt(&self, step: u64, group: u32) -> String {
        format!("step {step} group {group} of run {}", self.settings.seed)
    }

    /// Pulls the next batch. Pulls every fourth one twice and counts a difference.
    async fn pull(&mut self) -> Option<Batch> {
        let payload = json!({
            "workspace": self.settings.workspace,
            "cursor": self.cursor,
            "groups": self.settings.pull,
            "newest": self.report.version,
            "wait_ms": self.settings.wait_ms,
        });
        let answer = match self.post(paths::STEP_PULL, &payload).await {
            Ok(answer) => answer,
            Err(error) => {
                self.record_failure("pull", &error).await;
                return None;
            }
        };
        let batch: Batch = serde_json::from_slice(&answer.body).unwrap_or_default();
        if batch.samples.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(batch.retry_ms)).await;
            return None;
        }
        if self.cursor.is_multiple_of(4)
            && let Ok(again) = self.post(paths::STEP_PULL, &payload).await
        {
            self.report.changed += u64::from(again.body != answer.body);
        }
        Some(batch)
    }

    async fn acknowledge(&mut self, cursor: u64) {
        let payload = json!({ "workspace": self.settings.workspace, "cursor": cursor });
        for _ in 0..MAX_ACK_ATTEMPTS {
            match self.post(paths::STEP_ACK, &payload).await {
                Ok(_) => {
                    self.cursor = cursor + 1;
                    return;
                }
                Err(error) => self.record_failure("ack", &error).await,
            }
        }
    }

    async fn publish_if_due(&mut self) {
        if self.last_published.elapsed() < Duration::from_millis(self.settings.publish_ms) {
            return;
        }
        self.last_published = Instant::now();
        let version = self.report.version + 1;
        let payload = json!({
            "change": format!("{}.{}-{version}", record::unix(), self.settings.workspace),
            "workspace": self.settings.workspace,
            "model": self.settings.model,
            "version": version,
            "source": self.settings.source,
        });
        match self.post(paths::PUBLISH, &payload).await {
            Ok(_) => self.report.version = version,
            Err(error) => self.record_failure("publish", &error).await,
        }
    }

    /// Checks and records the samples of a batch.
    fn check_samples(&mut self, batch: &Batch) {
        for sample in &batch.samples {
            let sample_id = (sample.step.0, sample.group.0, sample.number.0);
            let report = &mut self.report;
            report.samples += 1;
            report.tokens += u64::from(sample.tokens);
            report.doubled += u64::from(!self.seen.insert(sample_id));
            report.wrong += u64::from(!is_right(sample));
            let oldest = sample.oldest().map_or(0, |version| version.0);
            let lag = report.version.saturating_sub(oldest);
            report.lag += lag;
            report.lag_max = report.lag_max.max(lag);
            let bound = self.settings.freshness;
            report.stale += u64::from(bound.is_some_and(|bound| lag > bound));
            self.records.write(&json!({
                "event": "sample",
                "at": record::unix(),
                "workspace": self.settings.workspace,
                "cursor": batch.cursor,
                "step": sample.step,
                "group": sample.group,
                "number": sample.number,
                "tokens": sample.tokens,
                "spans": sample.spans,
                "attempts": sample.attempts,
                "score": sample.score,
                "newest": report.version,
                "text": sample.text,
            }));
        }
    }

    async fn post(&mut self, path: &str, payload: &Value) -> Result<Answer, CallError> {
        self.next_entry += 1;
        let workspace = self.settings.workspace.clone();
        let headers = [("chicoryford-workspace", workspace)];
        self.entries.post(self.next_entry, path, &headers, payload, REQUEST_TIMEOUT).await
    }

    /// Records a failed request and pauses.
    async fn record_failure(&self, action: &str, error: &CallError) {
        let error = error.to_string();
        self.records.write(
            &json!({ "event": "failed", "at": record::unix(), "what": action, "error": error }),
        );
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

/// Returns whether a sample is complete and each token has a weight version. The system chooses the
/// sample's seed, so that the text itself can only be compared with the engines' records.
fn is_right(sample: &Sample) -> bool {
    let word_count = sample.text.split_whitespace().count();
    let logprobs_match =
        sample.logprobs.is_empty() || sample.logprobs.len() == sample.tokens as usize;
    word_count == sample.tokens as usize && sample.is_attributed() && logprobs_match
}
