//! The attempts of one request: whether, where and when it is tried again.

use std::time::Duration;

use chicoryford_types::Attempt as Number;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Outcome;
use chicoryford_types::Work;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;

use crate::context::Context;
use crate::router::AttemptEnd;
use crate::router::AttemptPermit;
use crate::run::attempt;
use crate::run::attempt::Attempt;
use crate::run::attempt::AttemptError;
use crate::run::attempt::ProbeResult;
use crate::run::job::Job;
use crate::run::rescue;

/// Leaving endpoints that one request may meet before that counts as a failure.
const MOVES: u32 = 8;

/// An attempt and its place at an endpoint.
pub struct LiveAttempt {
    /// The place.
    pub permit: AttemptPermit,
    /// The attempt.
    pub attempt: Attempt,
    /// Its number; a later attempt may have been made beside it.
    pub number: Number,
}

/// An attempt that broke off, and its place.
pub struct FailedAttempt {
    /// The place.
    pub permit: AttemptPermit,
    /// The attempt's number.
    pub number: Number,
    /// How it broke off.
    pub broken: AttemptError,
}

/// What follows a broken attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Recovery {
    /// Another attempt may be made.
    Retry,
    /// The agent had the answer of a plain service after all.
    Answered(StoredAnswer),
}

/// The attempts of one request.
pub struct Attempts {
    /// What the thread has.
    pub context: Context,
    /// The request.
    pub job: Job,
    /// Whether an attempt may have reached an endpoint. From then on no failure of the request
    /// may say "not run", whatever later attempts met.
    pub may_have_run: bool,
    /// The failure of the last attempt.
    pub last: Option<Failure>,
    /// The place that the request got when it was let in, for its first attempt.
    first: Option<AttemptPermit>,
}

impl Attempts {
    /// Starts before the first attempt.
    pub fn new(context: Context, job: Job, first: AttemptPermit) -> Self {
        Self { context, job, may_have_run: false, last: None, first: Some(first) }
    }

    /// Makes the next attempt, trying endpoint after endpoint while each truly did not run it.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn start(&mut self, task: &Task) -> Result<LiveAttempt, Failure> {
        loop {
            let (permit, work) = self.prepare(task).await?;
            let (number, deadline) = (work.attempt, self.job.deadline);
            match Attempt::open(&self.context, &permit.pick.address, &work, deadline).await {
                Ok(attempt) => return Ok(LiveAttempt { permit, attempt, number }),
                Err(broken) => self.again(FailedAttempt { permit, number, broken }).await?,
            }
        }
    }

    /// Finds the place of the next attempt, and numbers it.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn prepare(&mut self, task: &Task) -> Result<(AttemptPermit, Work), Failure> {
        let permit = match self.first.take() {
            Some(permit) => permit,
            None => {
                let chosen = self.context.router.choose(self.job.endpoint_query()).await;
                chosen.map_err(|refusal| self.refused(refusal))?
            }
        };
        self.job.attempt = self.job.attempt.next();
        let work = self.job.work(task.clone(), &permit.pick, self.context.now());
        Ok((permit, work))
    }

    /// Waits until another attempt may follow one that broke off before its first event.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn again(&mut self, ended: FailedAttempt) -> Result<(), Failure> {
        match self.judge(ended).await? {
            Recovery::Retry => Ok(()),
            Recovery::Answered(_) => {
                let detail = "the answer was lost on its way";
                let failure = Failure::unknown(Code::EndpointFailed, detail);
                self.may_have_run = true;
                match wait_for_retry(&self.context, &mut self.job, &failure).await {
                    true => Ok(()),
                    false => Err(failure),
                }
            }
        }
    }

    /// Takes note of an attempt that broke off while another one of the request goes on.
    pub fn set_aside(&mut self, ended: FailedAttempt) {
        let FailedAttempt { mut permit, number, broken } = ended;
        match broken {
            AttemptError::NotRun(failure) => permit.end = AttemptEnd::from_refusal(failure.code),
            AttemptError::Failed(failure) if failure.code == Code::EndpointFailed => {
                permit.end = AttemptEnd::Failed;
            }
            AttemptError::Lost(_) => {
                let work = AttemptQuestion {
                    request: self.job.request,
                    attempt: number,
                    incarnation: permit.pick.incarnation,
                    cancel: true,
                };
                actix_rt::spawn(rescue::cancel(self.context.clone(), permit, work));
            }
            AttemptError::Failed(_) | AttemptError::Late => {}
        }
    }

    /// Decides what follows a broken attempt.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn after(
        &mut self,
        mut live: LiveAttempt,
        broken: AttemptError,
    ) -> Result<Recovery, Failure> {
        if matches!(broken, AttemptError::Lost(_)) {
            live.attempt.leave();
        }
        let LiveAttempt { permit, number, .. } = live;
        self.judge(FailedAttempt { permit, number, broken }).await
    }

    async fn judge(&mut self, ended: FailedAttempt) -> Result<Recovery, Failure> {
        let FailedAttempt { mut permit, number, broken } = ended;
        let endpoint = permit.pick.endpoint.clone();
        let request = self.job.request;
        tracing::info!(event = "attempt_broken", %request, %number, %endpoint, ?broken);
        self.context.kernel.metrics.count("entry.attempt.broken", 1);
        let failure = match broken {
            AttemptError::NotRun(failure) => {
                permit.end = AttemptEnd::from_refusal(failure.code);
                if is_final(failure.code) {
                    return Err(self.finally(failure));
                }
                failure
            }
            AttemptError::Failed(failure) => {
                self.may_have_run = true;
                if failure.code == Code::EndpointFailed {
                    permit.end = AttemptEnd::Failed;
                }
                if !self.job.repeatable || is_final(failure.code) {
                    return Err(failure);
                }
                failure
            }
            AttemptError::Lost(failure) => {
                let cancel = self.job.repeatable;
                let probed =
                    attempt::probe_lost(&self.context, &mut permit, request, number, cancel).await;
                match probed {
                    ProbeResult::NotRun => {
                        Failure::not_run(Code::EndpointFailed, "the connection was lost")
                    }
                    ProbeResult::Done(answer) => return Ok(Recovery::Answered(answer)),
                    ProbeResult::Running | ProbeResult::Unknown => {
                        self.may_have_run = true;
                        if !self.job.repeatable {
                            return Err(failure);
                        }
                        failure
                    }
                }
            }
            AttemptError::Late => {
                self.may_have_run = true;
                let detail = "the deadline passed while the request ran";
                return Err(Failure::unknown(Code::DeadlinePassed, detail));
            }
        };
        drop(permit);
        self.job.avoid.push(endpoint);
        if !wait_for_retry(&self.context, &mut self.job, &failure).await {
            return Err(self.finally(failure));
        }
        self.last = Some(failure);
        Ok(Recovery::Retry)
    }

    /// Gives the failure to tell when no further endpoint is to be had.
    fn refused(&mut self, refusal: Failure) -> Failure {
        let failure = match self.last.take() {
            Some(last) => Failure { retry_ms: refusal.retry_ms, ..last },
            None => refusal,
        };
        self.finally(failure)
    }

    /// Makes a final failure truthful about the attempts before it.
    fn finally(&self, failure: Failure) -> Failure {
        if self.may_have_run { Failure { outcome: Outcome::Unknown, ..failure } } else { failure }
    }
}

/// Waits until a failed request may be tried again; tells whether it may.
///
/// What met a leaving endpoint goes on to another at once, without use of the retry budget: it
/// did not fail, and a planned stop would otherwise use up the budget of its workspace.
pub async fn wait_for_retry(context: &Context, job: &mut Job, failure: &Failure) -> bool {
    if failure.code == Code::Draining && job.moved < MOVES {
        job.moved += 1;
        return job.remaining_ms(context.now()) > 0;
    }
    match context.router.retry_delay(job.retry_query(failure.outcome)).await {
        Some(ms) => {
            actix_rt::time::sleep(Duration::from_millis(ms)).await;
            true
        }
        None => false,
    }
}

/// Tells whether another endpoint would give the same failure.
fn is_final(code: Code) -> bool {
    matches!(
        code,
        Code::BadRequest
            | Code::TooLarge
            | Code::Unauthenticated
            | Code::Forbidden
            | Code::NotFound
            | Code::Convicted
            | Code::KeyExpired
            | Code::KeyReused
            | Code::DuplicateUnknown
            | Code::DeadlinePassed
    )
}
