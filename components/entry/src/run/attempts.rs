//! The attempts of one request. Decides whether, where and when the request is retried.

use std::time::Duration;

use chicoryford_types::Attempt as Number;
use chicoryford_types::Code;
use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::Millis;
use chicoryford_types::Outcome;
use chicoryford_types::Work;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::CrashQuestion;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;

use crate::admit;
use crate::context::Context;
use crate::router::AttemptEnd;
use crate::router::AttemptPermit;
use crate::router::EndpointQuery;
use crate::router::Reuse;
use crate::router::SilentEndpoint;
use crate::run::attempt;
use crate::run::attempt::Attempt;
use crate::run::attempt::AttemptError;
use crate::run::attempt::ProbeResult;
use crate::run::crash_query;
use crate::run::crash_query::BrokenAttempt;
use crate::run::job::Job;
use crate::run::rescue;

/// Number of refusals by leaving endpoints that a request may receive before they count as
/// failures.
const MAX_DRAINING_REFUSALS: u32 = 8;
/// Interval at which a request that waits for an endpoint which is not silent queries the router.
const CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt in progress and its permit.
pub struct LiveAttempt {
    /// The permit for the endpoint.
    pub permit: AttemptPermit,
    /// The attempt.
    pub attempt: Attempt,
    /// The attempt's number. It may differ from the last number of the request, because a second
    /// attempt may run concurrently.
    pub number: Number,
}

/// A failed attempt and its permit.
pub struct FailedAttempt {
    /// The permit for the endpoint.
    pub permit: AttemptPermit,
    /// The attempt's number.
    pub number: Number,
    /// Why it failed.
    pub error: AttemptError,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Recovery {
    /// The request may be retried.
    Retry,
    /// The agent had stored the answer of a plain service.
    Answered(StoredAnswer),
}

/// The attempts of one request.
pub struct Attempts {
    /// Services and clients of this thread.
    pub context: Context,
    /// The request.
    pub job: Job,
    /// Whether an attempt may have run. Once it is set, no failure of the request may have the
    /// outcome "not run", regardless of later attempts.
    pub may_have_run: bool,
    /// The failure of the last attempt.
    pub last_failure: Option<Failure>,
    /// The permit for the first attempt, which the request received when it was admitted.
    first: Option<AttemptPermit>,
    /// The attempts that broke at their endpoints. Whether they crashed them has to be known before
    /// the next attempt.
    broken: Vec<BrokenAttempt>,
}

impl Attempts {
    /// Creates the state of a request before its first attempt.
    pub fn new(context: Context, job: Job, first: AttemptPermit) -> Self {
        let first = Some(first);
        Self { context, job, may_have_run: false, last_failure: None, first, broken: Vec::new() }
    }

    /// Starts the next attempt. If it fails before its first event, tries further endpoints as long
    /// as the request may be retried.
    ///
    /// # Errors
    ///
    /// Returns the final failure of the request.
    pub async fn start(&mut self, task: &Task) -> Result<LiveAttempt, Failure> {
        loop {
            let (permit, work) = self.prepare(task).await?;
            let (number, deadline) = (work.attempt, self.job.deadline);
            match Attempt::open(&self.context, &permit.pick.address, &work, deadline).await {
                Ok(attempt) => return Ok(LiveAttempt { permit, attempt, number }),
                Err(error) => {
                    self.handle_early_failure(FailedAttempt { permit, number, error }).await?
                }
            }
        }
    }

    /// Acquires a permit for the next attempt and builds its message with the next attempt number.
    /// The content may have been convicted while the request waited for the permit.
    ///
    /// # Errors
    ///
    /// Returns the final failure of the request.
    pub async fn prepare(&mut self, task: &Task) -> Result<(AttemptPermit, Work), Failure> {
        let permit = match self.first.take() {
            Some(permit) => permit,
            None => self.choose().await.map_err(|refusal| self.no_endpoint(refusal))?,
        };
        self.check_not_convicted()?;
        Ok(self.assign(task, permit))
    }

    /// Refuses to send content that was convicted after the request was admitted.
    ///
    /// # Errors
    ///
    /// Returns the final failure of the request.
    pub fn check_not_convicted(&self) -> Result<(), Failure> {
        let is_first = self.job.attempt == Number::default();
        if self.job.owed && is_first {
            return Ok(());
        }
        let config = self.context.config.current();
        let checked = admit::check_not_convicted(self.job.fingerprint, &config);
        checked.map_err(|failure| self.final_failure(failure))
    }

    /// Builds the message of the next attempt for the endpoint of `permit`.
    pub fn assign(&mut self, task: &Task, permit: AttemptPermit) -> (AttemptPermit, Work) {
        self.job.attempt = self.job.attempt.next();
        let work = self.job.work(task.clone(), &permit.pick, self.context.now());
        (permit, work)
    }

    /// Chooses the endpoint of a further attempt.
    ///
    /// While the only endpoints are those that went silent on this request, it waits until an agent
    /// reports its load or is announced again, for at most three quarters of the time left: an agent
    /// that did not run for 10 s was a member again 3 s later. Otherwise a region that is cut off,
    /// and whose own endpoint does not run for a few seconds, would use up the attempts of its
    /// requests at unreachable endpoints.
    async fn choose(&self) -> Result<AttemptPermit, Failure> {
        let router = &self.context.router;
        let now = self.context.now();
        let until = now + self.job.remaining_ms(now) / 4 * 3;
        while !self.job.silent.is_empty() && self.context.now() < until {
            let query = EndpointQuery { reuse: Reuse::Heard, ..self.job.endpoint_query() };
            match router.choose(query).await {
                Err(refusal) if refusal.code != Code::Draining => {
                    actix_rt::time::sleep(CHOICE_INTERVAL).await;
                }
                chosen => return chosen,
            }
        }
        router.choose(self.job.endpoint_query()).await
    }

    fn record_silence(&mut self, endpoint: Endpoint, since: Millis) {
        self.job.silent.retain(|silent| silent.endpoint != endpoint);
        self.job.silent.push(SilentEndpoint { endpoint, since });
    }

    /// Handles an attempt that failed before its first event: waits until the request may be
    /// retried.
    ///
    /// # Errors
    ///
    /// Returns the final failure of the request.
    pub async fn handle_early_failure(&mut self, failed: FailedAttempt) -> Result<(), Failure> {
        match self.resolve(failed).await? {
            Recovery::Retry => Ok(()),
            Recovery::Answered(_) => {
                let detail = "the answer was lost in transit";
                let failure = Failure::unknown(Code::EndpointFailed, detail);
                self.may_have_run = true;
                match wait_for_retry(&self.context, &mut self.job, &failure).await {
                    true => self.wait_for_decisions().await,
                    false => Err(failure),
                }
            }
        }
    }

    /// Handles an attempt that failed while another attempt of the request is still running.
    pub fn discard(&mut self, failed: FailedAttempt) {
        let FailedAttempt { mut permit, number, error } = failed;
        match error {
            AttemptError::NotRun(failure) => permit.end = AttemptEnd::from_refusal(failure.code),
            AttemptError::Failed(failure) if failure.code == Code::EndpointFailed => {
                permit.end = AttemptEnd::Failed;
                self.record_broken(&permit, number);
            }
            AttemptError::Lost(_) => {
                self.record_silence(permit.pick.endpoint.clone(), self.context.now());
                let question = AttemptQuestion {
                    request: self.job.request,
                    attempt: number,
                    incarnation: permit.pick.incarnation,
                    cancel: true,
                };
                actix_rt::spawn(rescue::cancel(self.context.clone(), permit, question));
            }
            AttemptError::Failed(_) | AttemptError::Late => {}
        }
    }

    /// Handles an attempt that failed after the whole answer was received. Nothing follows it, so it
    /// does not wait for the end of the attempt at its endpoint or for a decision about a crash.
    pub fn abandon(&mut self, mut live: LiveAttempt, error: AttemptError) {
        if matches!(error, AttemptError::Lost(_)) {
            live.attempt.detach();
        }
        let LiveAttempt { permit, number, .. } = live;
        self.log_broken(&permit, number, &error);
        self.discard(FailedAttempt { permit, number, error });
    }

    fn log_broken(&self, permit: &AttemptPermit, number: Number, error: &AttemptError) {
        let (request, endpoint) = (self.job.request, &permit.pick.endpoint);
        tracing::info!(event = "attempt_broken", %request, %number, %endpoint, broken = ?error);
        self.context.kernel.metrics.count("entry.attempt.broken", 1);
    }

    /// Decides what follows a failed attempt.
    ///
    /// # Errors
    ///
    /// Returns the final failure of the request.
    pub async fn recover(
        &mut self,
        mut live: LiveAttempt,
        error: AttemptError,
    ) -> Result<Recovery, Failure> {
        if matches!(error, AttemptError::Lost(_)) {
            live.attempt.detach();
        }
        let LiveAttempt { permit, number, .. } = live;
        self.resolve(FailedAttempt { permit, number, error }).await
    }

    async fn resolve(&mut self, failed: FailedAttempt) -> Result<Recovery, Failure> {
        let FailedAttempt { mut permit, number, error } = failed;
        let endpoint = permit.pick.endpoint.clone();
        let request = self.job.request;
        self.log_broken(&permit, number, &error);
        let failure = match error {
            AttemptError::NotRun(failure) => {
                permit.end = AttemptEnd::from_refusal(failure.code);
                if is_final(failure.code) {
                    return Err(self.final_failure(failure));
                }
                failure
            }
            AttemptError::Failed(failure) => {
                self.may_have_run = true;
                if failure.code == Code::EndpointFailed {
                    permit.end = AttemptEnd::Failed;
                    self.record_broken(&permit, number);
                }
                if !self.job.repeatable || is_final(failure.code) {
                    return Err(failure);
                }
                failure
            }
            AttemptError::Lost(failure) => {
                let (cancel, since) = (self.job.repeatable, self.context.now());
                let probed =
                    attempt::probe_lost(&self.context, &mut permit, request, number, cancel).await;
                match probed {
                    ProbeResult::NoResponse => self.record_silence(endpoint.clone(), since),
                    ProbeResult::Unknown => self.record_broken(&permit, number),
                    _ => {}
                }
                match probed {
                    ProbeResult::NotRun => {
                        Failure::not_run(Code::EndpointFailed, "the connection was lost")
                    }
                    ProbeResult::Done(answer) => return Ok(Recovery::Answered(answer)),
                    ProbeResult::Running | ProbeResult::Unknown | ProbeResult::NoResponse => {
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
                let detail = "the deadline passed while the request was running";
                return Err(Failure::unknown(Code::DeadlinePassed, detail));
            }
        };
        drop(permit);
        self.job.avoid.push(endpoint);
        if !wait_for_retry(&self.context, &mut self.job, &failure).await {
            return Err(self.final_failure(failure));
        }
        self.wait_for_decisions().await?;
        self.last_failure = Some(failure);
        Ok(Recovery::Retry)
    }

    fn record_broken(&mut self, permit: &AttemptPermit, number: Number) {
        let question = CrashQuestion {
            request: self.job.request,
            attempt: number,
            incarnation: permit.pick.incarnation,
            wait_ms: 0,
        };
        self.broken.push(BrokenAttempt { address: permit.pick.address.clone(), question });
    }

    /// Waits until it is known whether the attempts that broke have crashed their endpoints. Without
    /// such attempts it only checks that the content is not convicted.
    async fn wait_for_decisions(&mut self) -> Result<(), Failure> {
        let broken = std::mem::take(&mut self.broken);
        let waited = crash_query::wait(&self.context, &mut self.job, broken).await;
        waited.map_err(|failure| self.final_failure(failure))
    }

    /// Returns the failure to report when no further endpoint is available.
    fn no_endpoint(&mut self, refusal: Failure) -> Failure {
        let failure = match self.last_failure.take() {
            Some(last) => Failure { retry_ms: refusal.retry_ms, ..last },
            None => refusal,
        };
        self.final_failure(failure)
    }

    /// Sets the outcome of a final failure to "unknown" if an earlier attempt may have run.
    fn final_failure(&self, failure: Failure) -> Failure {
        if self.may_have_run { Failure { outcome: Outcome::Unknown, ..failure } } else { failure }
    }
}

/// Waits until a failed request may be retried. Returns whether it may be retried at all.
///
/// A request refused by a leaving endpoint is retried immediately and without using the retry
/// budget. It did not fail, and a planned stop would otherwise exhaust the budget of its workspace.
pub async fn wait_for_retry(context: &Context, job: &mut Job, failure: &Failure) -> bool {
    if failure.code == Code::Draining && job.draining_refusals < MAX_DRAINING_REFUSALS {
        job.draining_refusals += 1;
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

/// Returns whether another endpoint would return the same failure.
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
