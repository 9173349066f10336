//! A trainer: opens steps, some ahead of the one that it trains on, pulls finished groups,
//! acknowledges them, publishes new weights, and measures how long it waited for data and how
//! stale the data was.

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

/// Time for one request to an entry.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a request that failed.
const PAUSE: Duration = Duration::from_millis(20);
/// Tries to acknowledge a batch, before the trainer goes on and pulls it again.
const ACK_TRIES: u32 = 50;

/// How a trainer behaves.
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
    /// Groups of a step.
    pub groups: u32,
    /// Samples of a group.
    pub samples: u32,
    /// Groups that are pulled at once.
    pub pull: u32,
    /// Tokens of a sample at most.
    pub max_tokens: u32,
    /// A tighter bound on staleness than the template's, in versions.
    pub freshness: Option<u64>,
    /// Milliseconds that the training of a pulled group takes.
    pub train_ms: u64,
    /// Steps that are opened ahead of the oldest one that is not whole. With none the trainer
    /// works strictly in sequence, and waits for at least as long as a step's generation takes.
    pub ahead: usize,
    /// Milliseconds for which a pull waits at the entry for a group.
    pub wait_ms: u64,
    /// Milliseconds between two publications.
    pub publish_ms: u64,
    /// Where the store has the weights.
    pub source: String,
    /// The newest version at the start.
    pub version: u64,
    /// For how long steps are opened, in seconds.
    pub seconds: f64,
    /// Determines prompts and samples.
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

/// What a trainer saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Steps that were delivered whole.
    pub steps: u64,
    /// Samples delivered.
    pub samples: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Samples delivered more than once; must be zero.
    pub doubled: u64,
    /// Samples of whole steps that never came; must be zero.
    pub lost: u64,
    /// Samples whose text, count or spans are wrong; must be zero.
    pub wrong: u64,
    /// Samples older than the bound; must be zero.
    pub stale: u64,
    /// Pulls sent again that did not give the same bytes; must be zero.
    pub changed: u64,
    /// Milliseconds spent waiting for data.
    pub idle_ms: u64,
    /// Milliseconds spent training. What is left of the total besides the waits for data went to
    /// opening, acknowledging and publishing.
    pub trained_ms: u64,
    /// Milliseconds in all.
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

/// Trains until the time is over and the last step is whole.
pub async fn run(settings: TrainerSettings, records: Recorder) -> Report {
    let mut trainer = Trainer {
        entries: Entries::new(&settings.token, settings.entries.clone()),
        report: Report { version: settings.version, ..Report::default() },
        published: Instant::now(),
        cursor: 1,
        turn: 0,
        seen: BTreeSet::new(),
        open: BTreeMap::new(),
        opened: 0,
        settings,
        records,
    };
    let begun = Instant::now();
    let end = begun + Duration::from_secs_f64(trainer.settings.seconds);
    trainer.train(end).await;
    trainer.report.total_ms = begun.elapsed().as_millis() as u64;
    trainer.records.write(&json!({ "event": "report", "report": trainer.report }));
    trainer.report
}

struct Trainer {
    settings: TrainerSettings,
    entries: Entries,
    records: Recorder,
    report: Report,
    published: Instant,
    cursor: u64,
    turn: usize,
    seen: BTreeSet<(u64, u32, u32)>,
    /// Samples that are still to come, by open step.
    open: BTreeMap<u64, u64>,
    opened: u64,
}

impl Trainer {
    /// Keeps steps open until `end`, and trains on their groups as they come. After `end` steps
    /// that stand still are waited for as long again as one request may take, and then counted
    /// as lost.
    async fn train(&mut self, end: Instant) {
        loop {
            self.open_ahead(end).await;
            if self.open.is_empty() {
                return;
            }
            self.publish_if_due().await;
            let waiting = Instant::now();
            let batch = self.pull().await;
            self.report.idle_ms += waiting.elapsed().as_millis() as u64;
            if let Some(batch) = batch {
                self.learn(&batch).await;
            } else if Instant::now() > end + TIMEOUT {
                self.report.lost += self.open.values().sum::<u64>();
                return;
            }
        }
    }

    async fn open_ahead(&mut self, end: Instant) {
        while self.open.len() <= self.settings.ahead && Instant::now() < end {
            let step = self.opened + 1;
            if !self.open(step, end).await {
                return;
            }
            self.opened = step;
            let wanted = u64::from(self.settings.groups * self.settings.samples);
            self.open.insert(step, wanted);
        }
    }

    /// Trains on a batch and acknowledges it.
    async fn learn(&mut self, batch: &Batch) {
        self.take(batch);
        let groups = batch.samples.len() as u64 / u64::from(self.settings.samples.max(1));
        let begun = Instant::now();
        actix_rt::time::sleep(Duration::from_millis(self.settings.train_ms * groups)).await;
        self.report.trained_ms += begun.elapsed().as_millis() as u64;
        self.acknowledge(batch.cursor).await;
        for sample in &batch.samples {
            let Some(left) = self.open.get_mut(&sample.step.0) else { continue };
            *left = left.saturating_sub(1);
        }
        let before = self.open.len();
        self.open.retain(|_, left| *left > 0);
        self.report.steps += (before - self.open.len()) as u64;
    }

    async fn open(&mut self, step: u64, end: Instant) -> bool {
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
                Err(error) => self.failed("open", &error).await,
            }
        }
        false
    }

    fn prompt(&self, step: u64, group: u32) -> String {
        format!("step {step} group {group} of run {}", self.settings.seed)
    }

    /// Pulls the next batch, and now and then pulls it a second time to see that it is the same.
    async fn pull(&mut self) -> Option<Batch> {
        let question = json!({
            "workspace": self.settings.workspace,
            "cursor": self.cursor,
            "groups": self.settings.pull,
            "newest": self.report.version,
            "wait_ms": self.settings.wait_ms,
        });
        let answer = match self.post(paths::STEP_PULL, &question).await {
            Ok(answer) => answer,
            Err(error) => {
                self.failed("pull", &error).await;
                return None;
            }
        };
        let batch: Batch = serde_json::from_slice(&answer.body).unwrap_or_default();
        if batch.samples.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(batch.retry_ms)).await;
            return None;
        }
        if self.cursor.is_multiple_of(4)
            && let Ok(again) = self.post(paths::STEP_PULL, &question).await
        {
            self.report.changed += u64::from(again.body != answer.body);
        }
        Some(batch)
    }

    async fn acknowledge(&mut self, cursor: u64) {
        let question = json!({ "workspace": self.settings.workspace, "cursor": cursor });
        for _ in 0..ACK_TRIES {
            match self.post(paths::STEP_ACK, &question).await {
                Ok(_) => {
                    self.cursor = cursor + 1;
                    return;
                }
                Err(error) => self.failed("ack", &error).await,
            }
        }
    }

    async fn publish_if_due(&mut self) {
        if self.published.elapsed() < Duration::from_millis(self.settings.publish_ms) {
            return;
        }
        self.published = Instant::now();
        let version = self.report.version + 1;
        let question = json!({
            "change": format!("{}.{}-{version}", record::unix(), self.settings.workspace),
            "workspace": self.settings.workspace,
            "model": self.settings.model,
            "version": version,
            "source": self.settings.source,
        });
        match self.post(paths::PUBLISH, &question).await {
            Ok(_) => self.report.version = version,
            Err(error) => self.failed("publish", &error).await,
        }
    }

    fn take(&mut self, batch: &Batch) {
        for sample in &batch.samples {
            let place = (sample.step.0, sample.group.0, sample.number.0);
            let report = &mut self.report;
            report.samples += 1;
            report.tokens += u64::from(sample.tokens);
            report.doubled += u64::from(!self.seen.insert(place));
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

    async fn post(&mut self, path: &str, question: &Value) -> Result<Answer, CallError> {
        self.turn += 1;
        let workspace = self.settings.workspace.clone();
        let headers = [("chicoryford-workspace", workspace)];
        self.entries.post(self.turn, path, &headers, question, TIMEOUT).await
    }

    async fn failed(&self, what: &str, error: &CallError) {
        let error = error.to_string();
        self.records.write(
            &json!({ "event": "failed", "at": record::unix(), "what": what, "error": error }),
        );
        actix_rt::time::sleep(PAUSE).await;
    }
}

/// Checks that a sample is whole and attributed. Its seed is the system's choice, so that the
/// text itself can only be compared with the engines' records.
fn is_right(sample: &Sample) -> bool {
    let words = sample.text.split_whitespace().count();
    let scored = sample.logprobs.is_empty() || sample.logprobs.len() == sample.tokens as usize;
    words == sample.tokens as usize && sample.is_attributed() && scored
}
