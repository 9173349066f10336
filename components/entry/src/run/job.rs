//! A request as it is run.

use std::time::Duration;

use chicoryford_types::Attempt;
use chicoryford_types::Class;
use chicoryford_types::Endpoint;
use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::RequestId;
use chicoryford_types::Version;
use chicoryford_types::Work;
use chicoryford_types::Workspace;
use chicoryford_types::request::Task;
use chicoryford_types::template::Retries;
use rand::Rng;

use crate::router::Pick;
use crate::router::Want;

/// The backoff before the first retry, in milliseconds; it doubles with each more.
const BACKOFF: u64 = 10;
/// The longest backoff, in milliseconds.
const BACKOFF_BOUND: u64 = 1_000;

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
}

impl Job {
    /// Draws the identifier of a new request.
    pub fn draw() -> RequestId {
        let mut random = rand::rng();
        RequestId(random.random(), random.random())
    }

    /// Gives the milliseconds left until the answer is worthless.
    pub fn left(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }

    /// Tells whether one more attempt is allowed.
    pub fn may_retry(&self, now: Millis) -> bool {
        self.attempt.0 < self.retries.attempts.max(1) && self.left(now) > 0
    }

    /// Gives the jittered wait before the next attempt. Without the jitter all requests that an
    /// endpoint failed at once would arrive together at the next one.
    pub fn backoff(&self) -> Duration {
        let doubled = BACKOFF << self.attempt.0.saturating_sub(1).min(16);
        let most = doubled.min(BACKOFF_BOUND);
        Duration::from_millis(rand::rng().random_range(most / 2..=most))
    }

    /// Describes what the next attempt looks for.
    pub fn want(&self) -> Want {
        Want {
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            class: self.class,
            deadline: self.deadline,
            avoid: self.avoid.clone(),
            floor: self.floor,
            retry: self.attempt.0 > 0,
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
            budget_ms: self.left(now),
            repeatable: self.repeatable,
            key: self.key.clone(),
            floor: self.floor,
            fingerprint: self.fingerprint,
            suspect: self.suspect,
            task,
        }
    }
}
