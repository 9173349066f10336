//! Rescues urgent requests: starts a second attempt at another endpoint if the first stays silent.
//!
//! A silent connection or endpoint is detected only after seconds without a frame, when the
//! deadline of an urgent request may already have passed. With a rescue, two attempts may run
//! concurrently. The first one that produces tokens wins. This is decided before any token has been
//! sent to the caller, so that no answer is composed of both. The other attempt is cancelled, and
//! its permit is held until the agent has confirmed the cancellation.

use std::time::Duration;

use chicoryford_kernel::run_time;
use chicoryford_types::Class;
use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::Outcome;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::Task;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;

use crate::context::Context;
use crate::router::AttemptPermit;
use crate::router::EndpointQuery;
use crate::router::Reuse;
use crate::run::attempt;
use crate::run::attempt::Attempt;
use crate::run::attempt::AttemptError;
use crate::run::attempt::ProbeResult;
use crate::run::attempts::Attempts;
use crate::run::attempts::FailedAttempt;
use crate::run::attempts::LiveAttempt;
use crate::run::job::Job;
use crate::run::probe;

/// The first event of an attempt, or the failure if it failed before.
type FirstEvent = Result<(LiveAttempt, Event), FailedAttempt>;

/// An attempt that waits for its first event.
type PendingAttempt = LocalBoxFuture<'static, FirstEvent>;

/// Returns whether a request may have a second attempt while the first is running.
pub fn is_eligible(job: &Job) -> bool {
    job.class == Class::Urgent && job.repeatable
}

/// Starts attempts until one has produced its first event.
///
/// # Errors
///
/// Returns the final failure of the request.
pub async fn first_event(
    attempts: &mut Attempts,
    task: &Task,
) -> Result<(LiveAttempt, Event), Failure> {
    loop {
        let (permit, work) = attempts.prepare(task).await?;
        match race(attempts, task, permit, work).await {
            Ok(first) => return Ok(first),
            Err(failed) => attempts.handle_early_failure(failed).await?,
        }
    }
}

/// Starts an attempt, and a concurrent second one if the first stays silent and the retry budget
/// allows it.
async fn race(
    attempts: &mut Attempts,
    task: &Task,
    permit: AttemptPermit,
    work: Work,
) -> FirstEvent {
    let context = attempts.context.clone();
    let endpoint = permit.pick.endpoint.clone();
    let started = context.now();
    let delay = rescue_delay(attempts);
    let mut first = start(&context, &attempts.job, permit, work);
    let event = match run_time::timeout(delay, &mut first).await {
        Ok(event) => event,
        Err(_) => match start_second(attempts, task, endpoint).await {
            Some(second) => {
                // The attempt that loses may run without anyone reading it.
                attempts.may_have_run = true;
                first_of(attempts, first, second).await
            }
            None => first.await,
        },
    };
    if event.is_ok() {
        let ms = context.now().since(started);
        context.first_token_times.borrow_mut().record(&attempts.job.model, ms);
    }
    event
}

fn rescue_delay(attempts: &Attempts) -> Duration {
    let left = attempts.job.remaining_ms(attempts.context.now());
    attempts.context.first_token_times.borrow().rescue_delay(&attempts.job.model, left)
}

/// Starts a second attempt at another endpoint within the retry budget of the workspace. Under an
/// overload every request is late, and a second attempt for each would double the load.
async fn start_second(
    attempts: &mut Attempts,
    task: &Task,
    endpoint: Endpoint,
) -> Option<PendingAttempt> {
    let context = attempts.context.clone();
    let retry = attempts.job.retry_query(Outcome::Unknown);
    attempts.job.avoid.push(endpoint);
    // The endpoint is chosen first: without another one, no retry is taken from the budget.
    let query = EndpointQuery { reuse: Reuse::Never, ..attempts.job.endpoint_query() };
    let permit = context.router.choose(query).await.ok()?;
    attempts.check_not_convicted().ok()?;
    context.router.retry_delay(retry).await?;
    let (permit, work) = attempts.assign(task, permit);
    let (request, elsewhere) = (attempts.job.request, &permit.pick.endpoint);
    tracing::info!(event = "request_rescued", %request, endpoint = %elsewhere);
    context.kernel.metrics.count("entry.rescued", 1);
    Some(start(&context, &attempts.job, permit, work))
}

/// Returns the first event of two attempts. If one fails, waits for the other.
async fn first_of(
    attempts: &mut Attempts,
    first: PendingAttempt,
    second: PendingAttempt,
) -> FirstEvent {
    let (event, other) = match select(first, second).await {
        Either::Left((event, other)) | Either::Right((event, other)) => (event, other),
    };
    match event {
        Ok(event) => Ok(event),
        Err(failed) => {
            attempts.discard(failed);
            other.await
        }
    }
}

fn start(context: &Context, job: &Job, permit: AttemptPermit, work: Work) -> PendingAttempt {
    let (context, deadline) = (context.clone(), job.deadline);
    Box::pin(async move {
        let mut starting = StartingAttempt { context, permit: Some(permit), attempt: None, work };
        let opened = {
            let StartingAttempt { context, permit, work, .. } = &starting;
            let address = permit.as_ref().map(|permit| permit.pick.address.as_str());
            Attempt::open(context, address.unwrap_or_default(), work, deadline).await
        };
        match opened {
            Ok(attempt) => starting.attempt = Some(attempt),
            Err(error) => return Err(starting.fail(error)),
        }
        let attempt = starting.attempt.as_mut().expect("the attempt was opened");
        match attempt.next().await {
            Ok(event) => Ok((starting.into_live(), event)),
            Err(error) => Err(starting.fail(error)),
        }
    })
}

/// An attempt without its first event. If it is dropped, another attempt has won, and this one is
/// cancelled.
struct StartingAttempt {
    context: Context,
    permit: Option<AttemptPermit>,
    attempt: Option<Attempt>,
    work: Work,
}

impl StartingAttempt {
    fn into_live(mut self) -> LiveAttempt {
        let permit = self.permit.take().expect("the permit is taken only once");
        let attempt = self.attempt.take().expect("an attempt with an event is open");
        LiveAttempt { permit, attempt, number: self.work.attempt }
    }

    fn fail(mut self, error: AttemptError) -> FailedAttempt {
        if let (Some(attempt), AttemptError::Lost(_)) = (&mut self.attempt, &error) {
            attempt.detach();
        }
        let permit = self.permit.take().expect("the permit is taken only once");
        FailedAttempt { permit, number: self.work.attempt, error }
    }
}

impl Drop for StartingAttempt {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        if let Some(attempt) = &mut self.attempt {
            attempt.detach();
        }
        let Work { request, attempt, incarnation, .. } = self.work;
        let question = AttemptQuestion { request, attempt, incarnation, cancel: true };
        actix_rt::spawn(cancel(self.context.clone(), permit, question));
    }
}

/// Cancels an attempt and holds its permit until the agent has confirmed the cancellation.
/// Otherwise the endpoint would receive new work while it still generates tokens that nobody reads.
pub async fn cancel(context: Context, mut permit: AttemptPermit, question: AttemptQuestion) {
    let AttemptQuestion { request, attempt, .. } = question;
    let probed = attempt::probe_lost(&context, &mut permit, request, attempt, true).await;
    if matches!(probed, ProbeResult::Unknown | ProbeResult::NoResponse) {
        probe::cancel(&context, &permit.pick.address, question);
    }
}
