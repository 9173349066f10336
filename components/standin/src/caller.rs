//! A stand-in of a caller. It sends requests at a rate, each with a deadline, checks every answer
//! and counts the outcomes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use chicoryford_types::Outcome;
use chicoryford_wire::CallError;
use chicoryford_wire::paths;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::driver;
use crate::driver::Answer;
use crate::driver::Entries;
use crate::engine::token;
use crate::record;
use crate::record::Recorder;

/// Maximum number of attempts of a request, including the first. Each is sent to the next entry.
const MAX_ATTEMPTS: usize = 4;
/// Pause before a retry if the refusal specifies none.
const DEFAULT_RETRY_PAUSE_MS: u64 = 100;
/// Timeout of an attempt, as a multiple of the deadline, so that late answers are received.
const TIMEOUT_DEADLINES: u32 = 3;

/// The settings of a caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The addresses of entries.
    pub entries: Vec<String>,
    /// The caller's token.
    pub token: String,
    /// The name of the caller in its records and idempotency keys.
    pub name: String,
    /// The workspace.
    pub workspace: String,
    /// The model, or the service if `service` is set.
    pub model: String,
    /// Whether a plain service is called instead of a model.
    pub service: bool,
    /// Whether calls may be executed more than once. If not, each carries an idempotency key.
    pub repeatable: bool,
    /// The requested class; `None` for that of the template.
    pub class: Option<String>,
    /// The deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Time for which requests are sent, in seconds.
    pub seconds: f64,
    /// Maximum number of tokens of an answer.
    pub max_tokens: u32,
    /// The seed of prompts and of the gaps between requests.
    pub seed: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            token: String::new(),
            name: "caller".to_owned(),
            workspace: String::new(),
            model: String::new(),
            service: false,
            repeatable: true,
            class: None,
            deadline_ms: 2_000,
            rate: 10.0,
            seconds: 10.0,
            max_tokens: 64,
            seed: 1,
        }
    }
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// The complete, correct answer was received before the deadline.
    OnTime,
    /// The complete, correct answer was received after the deadline.
    Late,
    /// The last response was a failure with the outcome `NotRun`.
    NotRun,
    /// The request may have run: the last response was another failure, or no response was
    /// received.
    Unknown,
    /// An answer was received that is incomplete or belongs to another request.
    Wrong,
}

/// A line of the caller's records: one request.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// The event; always `call`.
    pub event: &'static str,
    /// The name of the caller.
    pub caller: String,
    /// The number of the request, counted from zero.
    pub number: u64,
    /// The idempotency key, empty for none.
    pub key: String,
    /// The time of the first attempt, in Unix milliseconds.
    pub at: u64,
    /// Milliseconds from then to the last response or error.
    pub ms: u64,
    /// The number of attempts.
    pub tries: usize,
    /// The outcome of the request.
    pub fate: Fate,
    /// The code of the last failure.
    pub code: String,
    /// The answer's extension (request, spans and attempts), or the execution number of a service.
    pub answer: Value,
}

/// Counts of requests by outcome.
pub type Counts = BTreeMap<Fate, u64>;

/// Sends requests until the time is over, and waits until all of them have an outcome.
pub async fn run(settings: CallerSettings, records: Recorder) -> Counts {
    let caller = Rc::new(Caller {
        entries: Entries::new(&settings.token, settings.entries.clone()),
        counts: RefCell::default(),
        settings,
        records,
    });
    let mut rng = SmallRng::seed_from_u64(caller.settings.seed);
    let end = Instant::now() + Duration::from_secs_f64(caller.settings.seconds);
    let mut requests = Vec::new();
    for number in 0.. {
        // The gaps between requests of independent callers are exponentially distributed.
        let gap = -(1.0 - rng.random::<f64>()).ln() / caller.settings.rate;
        actix_rt::time::sleep(Duration::from_secs_f64(gap)).await;
        if Instant::now() >= end {
            break;
        }
        requests.push(actix_rt::spawn(caller.clone().request(number)));
    }
    for request in requests {
        let _ = request.await;
    }
    caller.counts.borrow().clone()
}

struct Caller {
    settings: CallerSettings,
    entries: Entries,
    records: Recorder,
    counts: RefCell<Counts>,
}

impl Caller {
    async fn request(self: Rc<Self>, number: u64) {
        let (at, started) = (record::unix(), Instant::now());
        let name = &self.settings.name;
        let key =
            if self.settings.repeatable { String::new() } else { format!("{at}.{name}-{number}") };
        let mut tries = 0;
        let result = loop {
            let result = self.attempt(number, tries, &key).await;
            tries += 1;
            let Err(error) = &result else { break result };
            let Some(pause) = self.retry_pause(error, started, tries) else { break result };
            actix_rt::time::sleep(pause).await;
        };
        let ms = started.elapsed().as_millis() as u64;
        let (fate, code, answer) = self.evaluate(number, ms, result);
        *self.counts.borrow_mut().entry(fate).or_default() += 1;
        self.records.write(&Line {
            event: "call",
            caller: name.clone(),
            number,
            key,
            at,
            ms,
            tries,
            fate,
            code,
            answer,
        });
    }

    async fn attempt(&self, number: u64, attempt: usize, key: &str) -> Result<Answer, CallError> {
        let settings = &self.settings;
        let mut headers = vec![
            ("chicoryford-workspace", settings.workspace.clone()),
            ("chicoryford-deadline-ms", settings.deadline_ms.to_string()),
            ("chicoryford-repeatable", settings.repeatable.to_string()),
        ];
        if let Some(class) = &settings.class {
            headers.push(("chicoryford-class", class.clone()));
        }
        if !key.is_empty() {
            headers.push(("idempotency-key", key.to_owned()));
        }
        let (path, body) = self.build_request(number);
        let timeout = Duration::from_millis(settings.deadline_ms) * TIMEOUT_DEADLINES;
        let entry_index = attempt + number as usize;
        self.entries.post(entry_index, &path, &headers, &body, timeout).await
    }

    /// Returns the path and body of a request.
    fn build_request(&self, number: u64) -> (String, Value) {
        let settings = &self.settings;
        if settings.service {
            let path = format!("{}{}/print", paths::SERVICES, settings.model);
            return (path, json!({ "label": self.prompt(number) }));
        }
        let body = json!({
            "model": settings.model,
            "prompt": self.prompt(number),
            "max_tokens": settings.max_tokens,
            "seed": settings.seed + number,
        });
        (paths::COMPLETIONS.to_owned(), body)
    }

    fn prompt(&self, number: u64) -> String {
        format!("{} asks question {number} of run {}", self.settings.name, self.settings.seed)
    }

    /// Returns the pause before the next attempt, or `None` if the request is not sent again.
    fn retry_pause(&self, error: &CallError, started: Instant, tries: usize) -> Option<Duration> {
        let failure = driver::failure(error);
        let pause = failure.and_then(|failure| failure.retry_ms).unwrap_or(DEFAULT_RETRY_PAUSE_MS);
        let may_retry = match failure {
            Some(failure) => failure.retry_ms.is_some() || failure.outcome == Outcome::Unknown,
            None => true,
        };
        let pause = Duration::from_millis(pause);
        let remaining =
            Duration::from_millis(self.settings.deadline_ms).checked_sub(started.elapsed())?;
        (may_retry && tries < MAX_ATTEMPTS && pause < remaining).then_some(pause)
    }

    /// Returns the outcome, the code of a failure and the part of the answer that is recorded.
    fn evaluate(
        &self,
        number: u64,
        ms: u64,
        result: Result<Answer, CallError>,
    ) -> (Fate, String, Value) {
        match result {
            Ok(answer) => {
                let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                let outcome = match self.is_right(number, &value) {
                    false => Fate::Wrong,
                    true if ms <= self.settings.deadline_ms => Fate::OnTime,
                    true => Fate::Late,
                };
                let recorded =
                    if self.settings.service { &value["number"] } else { &value["chicoryford"] };
                (outcome, String::new(), recorded.clone())
            }
            Err(error) => match driver::failure(&error) {
                Some(failure) => {
                    let outcome = match failure.outcome {
                        Outcome::NotRun => Fate::NotRun,
                        Outcome::Ran | Outcome::Unknown => Fate::Unknown,
                    };
                    (outcome, format!("{:?}", failure.code), Value::Null)
                }
                None => (Fate::Unknown, error.to_string(), Value::Null),
            },
        }
    }

    /// Returns whether the answer is complete and belongs to this request. Stand-in engines
    /// generate the same tokens for the same seed, and stand-in services return the body of the
    /// call.
    fn is_right(&self, number: u64, value: &Value) -> bool {
        if self.settings.service {
            let body = value["body"].as_str().unwrap_or_default();
            let sent = serde_json::from_str::<Value>(body).unwrap_or_default();
            return sent["label"] == self.prompt(number);
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        let tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or_default();
        let seed = self.settings.seed + number;
        let model = &self.settings.model;
        let expected: String = (0..tokens as u32).map(|i| token(model, seed, i)).collect();
        tokens > 0 && text == expected && !value["choices"][0]["finish_reason"].is_null()
    }
}
