//! A caller: sends requests at a rate, each with a deadline, checks every answer, and counts
//! what became of them.

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

/// Tries of one request, the first included; each goes to the next entry.
const TRIES: usize = 4;
/// Pause before a resend where the refusal names none, in milliseconds.
const PAUSE: u64 = 100;
/// How long a caller waits for a late answer, as a multiple of the deadline.
const PATIENCE: u32 = 3;

/// How a caller behaves.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The addresses of entries.
    pub entries: Vec<String>,
    /// The caller's token.
    pub token: String,
    /// Names the caller in its record and its keys.
    pub name: String,
    /// The workspace.
    pub workspace: String,
    /// The model, or the service if `service` is set.
    pub model: String,
    /// Whether a plain service is called instead of a model.
    pub service: bool,
    /// Whether calls may be repeated; if not, each carries an idempotency key.
    pub repeatable: bool,
    /// The class asked for; none for that of the template.
    pub class: Option<String>,
    /// Milliseconds until an answer is worthless.
    pub deadline_ms: u64,
    /// Requests a second.
    pub rate: f64,
    /// For how long, in seconds.
    pub seconds: f64,
    /// Tokens of an answer at most.
    pub max_tokens: u32,
    /// Determines prompts and gaps.
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

/// What became of one request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// The whole right answer came in time.
    OnTime,
    /// The whole right answer came late.
    Late,
    /// The last word was "not run".
    NotRun,
    /// The last word was that it may have run, or no word came.
    Unknown,
    /// An answer came that is not this request's, or not whole.
    Wrong,
}

/// One request, as the caller saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Always `call`.
    pub event: &'static str,
    /// The caller.
    pub caller: String,
    /// Counts its requests.
    pub number: u64,
    /// The idempotency key, empty for none.
    pub key: String,
    /// Unix milliseconds at the first try.
    pub at: u64,
    /// Milliseconds to the last word.
    pub ms: u64,
    /// Tries.
    pub tries: usize,
    /// What became of it.
    pub fate: Fate,
    /// The code of the last failure.
    pub code: String,
    /// The answer's extension: request, spans, attempts.
    pub answer: Value,
}

/// Counts by fate.
pub type Counts = BTreeMap<Fate, u64>;

/// Sends requests until the time is over, and waits for the last answers.
pub async fn run(settings: CallerSettings, records: Recorder) -> Counts {
    let caller = Rc::new(Caller {
        entries: Entries::new(&settings.token, settings.entries.clone()),
        counts: RefCell::default(),
        settings,
        records,
    });
    let mut rng = SmallRng::seed_from_u64(caller.settings.seed);
    let end = Instant::now() + Duration::from_secs_f64(caller.settings.seconds);
    let mut sent = Vec::new();
    for number in 0.. {
        // Gaps between independent callers are distributed exponentially.
        let gap = -(1.0 - rng.random::<f64>()).ln() / caller.settings.rate;
        actix_rt::time::sleep(Duration::from_secs_f64(gap)).await;
        if Instant::now() >= end {
            break;
        }
        sent.push(actix_rt::spawn(caller.clone().request(number)));
    }
    for request in sent {
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
        let (at, begun) = (record::unix(), Instant::now());
        let name = &self.settings.name;
        let key =
            if self.settings.repeatable { String::new() } else { format!("{at}.{name}-{number}") };
        let mut tries = 0;
        let result = loop {
            let result = self.attempt(number, tries, &key).await;
            tries += 1;
            let Err(error) = &result else { break result };
            let Some(pause) = self.pause(error, begun, tries) else { break result };
            actix_rt::time::sleep(pause).await;
        };
        let ms = begun.elapsed().as_millis() as u64;
        let (fate, code, answer) = self.judge(number, ms, result);
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

    async fn attempt(&self, number: u64, turn: usize, key: &str) -> Result<Answer, CallError> {
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
        let (path, body) = self.question(number);
        let patience = Duration::from_millis(settings.deadline_ms) * PATIENCE;
        let turn = turn + number as usize;
        self.entries.post(turn, &path, &headers, &body, patience).await
    }

    fn question(&self, number: u64) -> (String, Value) {
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

    /// Gives the pause before a resend; none if the request is not sent again.
    fn pause(&self, error: &CallError, begun: Instant, tries: usize) -> Option<Duration> {
        let failure = driver::failure(error);
        let pause = failure.and_then(|failure| failure.retry_ms).unwrap_or(PAUSE);
        let again = match failure {
            Some(failure) => failure.retry_ms.is_some() || failure.outcome == Outcome::Unknown,
            None => true,
        };
        let pause = Duration::from_millis(pause);
        let left = Duration::from_millis(self.settings.deadline_ms).checked_sub(begun.elapsed())?;
        (again && tries < TRIES && pause < left).then_some(pause)
    }

    fn judge(
        &self,
        number: u64,
        ms: u64,
        result: Result<Answer, CallError>,
    ) -> (Fate, String, Value) {
        match result {
            Ok(answer) => {
                let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                let fate = match self.is_right(number, &value) {
                    false => Fate::Wrong,
                    true if ms <= self.settings.deadline_ms => Fate::OnTime,
                    true => Fate::Late,
                };
                let kept =
                    if self.settings.service { &value["number"] } else { &value["chicoryford"] };
                (fate, String::new(), kept.clone())
            }
            Err(error) => match driver::failure(&error) {
                Some(failure) => {
                    let fate = match failure.outcome {
                        Outcome::NotRun => Fate::NotRun,
                        Outcome::Ran | Outcome::Unknown => Fate::Unknown,
                    };
                    (fate, format!("{:?}", failure.code), Value::Null)
                }
                None => (Fate::Unknown, error.to_string(), Value::Null),
            },
        }
    }

    /// Checks that the answer is whole and this request's: stand-in engines generate the same
    /// tokens for the same seed, and stand-in services repeat what they were sent.
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
