//! A request and its state across all its attempts.

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
use crate::router::Reuse;
use crate::router::SilentEndpoint;

/// Length in bytes of the prompt prefix that is hashed. Engines report the hashes of blocks of this
/// length.
const PREFIX_BYTES: usize = 256;
/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// A request and its state across all its attempts.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Identifies the request.
    pub request: RequestId,
    /// The workspace on whose behalf it runs.
    pub workspace: Workspace,
    /// The model or service.
    pub model: Model,
    /// The priority class.
    pub class: Class,
    /// The deadline, after which the answer is useless to the caller.
    pub deadline: Millis,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key of the claim, if the request may run only once.
    pub key: Option<IdempotencyKey>,
    /// The oldest version that may produce its tokens.
    pub floor: Option<Version>,
    /// The hash of its content.
    pub fingerprint: Fingerprint,
    /// Whether its content was suspected of crashing endpoints when the request was created.
    pub suspect: bool,
    /// Whether its attempts run apart from other suspects because its own attempts have crashed
    /// endpoints.
    pub isolated: bool,
    /// Whether it is made also if its content is convicted: a sample of an accepted step. It is not
    /// retried then; its step starts it again later.
    pub owed: bool,
    /// The retry policy.
    pub retries: Retries,
    /// The number of the last attempt; zero before the first one.
    pub attempt: Attempt,
    /// Endpoints to avoid, because an attempt failed there.
    pub avoid: Vec<Endpoint>,
    /// Endpoints whose agents stopped sending on an attempt.
    pub silent: Vec<SilentEndpoint>,
    /// Number of attempts that were refused because their endpoints were leaving.
    pub draining_refusals: u32,
    /// The hash of the prompt's prefix, if the prompt is long enough to be cached.
    pub prefix: Option<u64>,
    /// Estimated number of tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens to produce; zero for a call of a plain service.
    pub tokens: u32,
}

impl Job {
    /// Returns a random identifier for a new request.
    pub fn new_request_id() -> RequestId {
        let mut random = rand::rng();
        RequestId(random.random(), random.random())
    }

    /// Returns the milliseconds until the deadline.
    pub fn remaining_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }

    /// Builds the query whether the request may be retried after an attempt with this outcome.
    /// Attempts refused by leaving endpoints are not counted, because a planned stop must not use
    /// up the attempts that are meant for failures.
    pub fn retry_query(&self, outcome: Outcome) -> RetryQuery {
        RetryQuery {
            workspace: self.workspace.clone(),
            attempts: self.attempt.0.saturating_sub(self.draining_refusals).max(1),
            outcome,
            repeatable: self.repeatable,
            deadline: self.deadline,
        }
    }

    /// Sets the fields that routing uses for a generation.
    #[must_use]
    pub fn with_generation(self, task: &Generation) -> Self {
        let bytes = task.prompt.as_bytes();
        let prefix = bytes.get(..PREFIX_BYTES).map(|prefix| Fingerprint::of(prefix).0);
        let prompt = (bytes.len() / BYTES_PER_TOKEN).min(u32::MAX as usize) as u32;
        Self { prefix, prompt, tokens: task.max_tokens, ..self }
    }

    /// Builds the query for the endpoint of the next attempt.
    pub fn endpoint_query(&self) -> EndpointQuery {
        EndpointQuery {
            request: self.request,
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            class: self.class,
            deadline: self.deadline,
            avoid: self.avoid.clone(),
            silent: self.silent.clone(),
            reuse: Reuse::Any,
            floor: self.floor,
            suspect: self.suspect || self.isolated,
            prefix: self.prefix,
            prompt: self.prompt,
            tokens: self.tokens,
        }
    }

    /// Builds the message of the current attempt for the agent of `pick`.
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
            suspect: self.suspect || self.isolated,
            task,
        }
    }
}
