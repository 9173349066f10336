//! A request as it is run.

use chicoryford_types::Attempt;
use chicoryford_types::Class;
use chicoryford_types::Endpoint;
use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::Version;
use chicoryford_types::Work;
use chicoryford_types::Workspace;
use chicoryford_types::request::Generation;
use chicoryford_types::request::Task;
use chicoryford_types::template::Retries;
use rand::Rng;

use crate::router::EndpointQuery;
use crate::router::Pick;
use crate::router::RetryQuery;

/// Bytes of a prompt whose hash stands for its prefix; engines report hashes of such blocks.
const PREFIX: usize = 256;
/// Bytes of text that make a token, for estimates.
const TOKEN: usize = 4;

/// A request as it is run, over all its attempts.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Identifies the request.
    pub request: RequestId,
    /// On whose behalf it runs.
    pub workspace: Workspace,
    /// The model or service.
    pub model: Model,
    /// How urgent it is.
    pub class: Class,
    /// When its answer becomes worthless.
    pub deadline: Millis,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The claim's key, if it may not.
    pub key: Option<IdempotencyKey>,
    /// The oldest version that may produce its tokens.
    pub floor: Option<Version>,
    /// The hash of its content.
    pub fingerprint: Fingerprint,
    /// Whether its content is suspected of crashing endpoints.
    pub suspect: bool,
    /// How often it is tried.
    pub retries: Retries,
    /// The number of the last attempt, zero before the first.
    pub attempt: Attempt,
    /// Endpoints that already failed it.
    pub avoid: Vec<Endpoint>,
    /// Attempts that were refused because their endpoints were leaving.
    pub moved: u32,
    /// The hash of the prompt's prefix, if it is long enough to be worth caching.
    pub prefix: Option<u64>,
    /// Tokens of the prompt, estimated.
    pub prompt: u32,
    /// Tokens that it may produce; zero for a call of a plain service.
    pub tokens: u32,
}

impl Job {
    /// Draws the identifier of a new request.
    pub fn new_request_id() -> RequestId {
        let mut random = rand::rng();
        RequestId(random.random(), random.random())
    }

    /// Gives the milliseconds remaining_ms until the answer is worthless.
    pub fn remaining_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }

    /// Describes the failed request to the decision whether it is tried again. Attempts that
    /// met a leaving endpoint are not counted, because a planned stop must not use up what is
    /// meant for failures.
    pub fn retry_query(&self, outcome: Outcome) -> RetryQuery {
        RetryQuery {
            workspace: self.workspace.clone(),
            attempts: self.attempt.0.saturating_sub(self.moved).max(1),
            outcome,
            repeatable: self.repeatable,
            deadline: self.deadline,
        }
    }

    /// Notes what routing should know of a generation.
    #[must_use]
    pub fn with_generation(self, task: &Generation) -> Self {
        let bytes = task.prompt.as_bytes();
        let prefix = bytes.get(..PREFIX).map(|prefix| Fingerprint::of(prefix).0);
        let prompt = (bytes.len() / TOKEN).min(u32::MAX as usize) as u32;
        Self { prefix, prompt, tokens: task.max_tokens, ..self }
    }

    /// Describes what the next attempt looks for.
    pub fn endpoint_query(&self) -> EndpointQuery {
        EndpointQuery {
            request: self.request,
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            class: self.class,
            deadline: self.deadline,
            avoid: self.avoid.clone(),
            floor: self.floor,
            suspect: self.suspect,
            prefix: self.prefix,
            prompt: self.prompt,
            tokens: self.tokens,
        }
    }

    /// Makes the message of the present attempt, for the agent of `pick`.
    pub fn work(&self, task: Task, pick: &Pick, now: Millis) -> Work {
        Work {
            request: self.request,
            attempt: self.attempt,
            incarnation: pick.incarnation,
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            class: self.class,
            budget_ms: self.remaining_ms(now),
            repeatable: self.repeatable,
            key: self.key.clone(),
            floor: self.floor,
            fingerprint: self.fingerprint,
            suspect: self.suspect,
            task,
        }
    }
}
