//! Gives an urgent request that stays silent a second attempt elsewhere.
//!
//! A connection or an endpoint that has gone silent is noticed only after seconds without a frame,
//! when the deadline of an urgent request may be over. Two attempts may then run at once. The
//! first that gives tokens wins, before any token has reached the caller, so that no answer is put
//! together from both; the other is cancelled, and its place counted until the agent confirms it.

use std::time::Duration;

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
use crate::run::attempt;
use crate::run::attempt::Attempt;
use crate::run::attempt::AttemptError;
use crate::run::attempt::ProbeResult;
use crate::run::attempts::Attempts;
use crate::run::attempts::FailedAttempt;
use crate::run::attempts::LiveAttempt;
use crate::run::job::Job;
use crate::run::probe;

/// What an attempt came to: its first event, or how it broke off before.
type Came = Result<(LiveAttempt, Event), FailedAttempt>;

type Maker = LocalBoxFuture<'static, Came>;

/// Tells whether a request may be given a second attempt while the first runs.
pub fn applies(job: &Job) -> bool {
    job.class == Class::Urgent && job.repeatable
}

/// Makes attempts until one has given its first event.
///
/// # Errors
///
/// The final failure of the request.
pub async fn first(attempts: &mut Attempts, task: &Task) -> Result<(LiveAttempt, Event), Failure> {
    loop {
        let (permit, work) = attempts.prepare(task).await?;
        match race(attempts, task, permit, work).await {
            Ok(first) => return Ok(first),
            Err(ended) => attempts.again(ended).await?,
        }
    }
}

/// Makes an attempt, and a second one beside it if it stays silent and the budget allows it.
async fn race(attempts: &mut Attempts, task: &Task, permit: AttemptPermit, work: Work) -> Came {
    let context = attempts.context.clone();
    let endpoint = permit.pick.endpoint.clone();
    let begun = context.now();
    let patience = patience(attempts);
    let mut one = make(&context, &attempts.job, permit, work);
    let came = match actix_rt::time::timeout(patience, &mut one).await {
        Ok(came) => came,
        Err(_) => match second(attempts, task, endpoint).await {
            Some(other) => {
                // From here on an attempt that nobody reads may run.
                attempts.may_have_run = true;
                either(attempts, one, other).await
            }
            None => one.await,
        },
    };
    if came.is_ok() {
        let ms = context.now().since(begun);
        context.first_token_times.borrow_mut().record(&attempts.job.model, ms);
    }
    came
}

fn patience(attempts: &Attempts) -> Duration {
    let left = attempts.job.remaining_ms(attempts.context.now());
    attempts.context.first_token_times.borrow().rescue_delay(&attempts.job.model, left)
}

/// Begins a second attempt elsewhere, within the retry budget of the workspace: under an overload
/// every request is late, and a second attempt for each would double the load.
async fn second(attempts: &mut Attempts, task: &Task, endpoint: Endpoint) -> Option<Maker> {
    let context = attempts.context.clone();
    let again = attempts.job.retry_query(Outcome::Unknown);
    context.router.retry_delay(again).await?;
    attempts.job.avoid.push(endpoint);
    let (permit, work) = attempts.prepare(task).await.ok()?;
    let (request, elsewhere) = (attempts.job.request, &permit.pick.endpoint);
    tracing::info!(event = "request_rescued", %request, endpoint = %elsewhere);
    context.kernel.metrics.count("entry.rescued", 1);
    Some(make(&context, &attempts.job, permit, work))
}

/// Takes the first of two attempts that gives an event; one that breaks off leaves the other.
async fn either(attempts: &mut Attempts, one: Maker, other: Maker) -> Came {
    let (came, rest) = match select(one, other).await {
        Either::Left((came, rest)) | Either::Right((came, rest)) => (came, rest),
    };
    match came {
        Ok(first) => Ok(first),
        Err(ended) => {
            attempts.set_aside(ended);
            rest.await
        }
    }
}

fn make(context: &Context, job: &Job, permit: AttemptPermit, work: Work) -> Maker {
    let (context, deadline) = (context.clone(), job.deadline);
    Box::pin(async move {
        let mut making = Making { context, permit: Some(permit), attempt: None, work };
        let opened = {
            let Making { context, permit, work, .. } = &making;
            let address = permit.as_ref().map(|permit| permit.pick.address.as_str());
            Attempt::open(context, address.unwrap_or_default(), work, deadline).await
        };
        match opened {
            Ok(attempt) => making.attempt = Some(attempt),
            Err(broken) => return Err(making.ended(broken)),
        }
        let attempt = making.attempt.as_mut().expect("it was set just now");
        match attempt.next().await {
            Ok(event) => Ok((making.live(), event)),
            Err(broken) => Err(making.ended(broken)),
        }
    })
}

/// An attempt without its first event. Dropped, it has lost to another one, and is cancelled.
struct Making {
    context: Context,
    permit: Option<AttemptPermit>,
    attempt: Option<Attempt>,
    work: Work,
}

impl Making {
    fn live(mut self) -> LiveAttempt {
        let permit = self.permit.take().expect("it is taken once");
        let attempt = self.attempt.take().expect("it gave an event");
        LiveAttempt { permit, attempt, number: self.work.attempt }
    }

    fn ended(mut self, broken: AttemptError) -> FailedAttempt {
        if let (Some(attempt), AttemptError::Lost(_)) = (&mut self.attempt, &broken) {
            attempt.leave();
        }
        let permit = self.permit.take().expect("it is taken once");
        FailedAttempt { permit, number: self.work.attempt, broken }
    }
}

impl Drop for Making {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        if let Some(attempt) = &mut self.attempt {
            attempt.leave();
        }
        let Work { request, attempt, incarnation, .. } = self.work;
        let question = AttemptQuestion { request, attempt, incarnation, cancel: true };
        actix_rt::spawn(cancel(self.context.clone(), permit, question));
    }
}

/// Cancels an attempt and keeps its place until the agent has confirmed it: the endpoint would
/// otherwise be given new work while it still makes tokens that nobody reads.
pub async fn cancel(context: Context, mut permit: AttemptPermit, question: AttemptQuestion) {
    let AttemptQuestion { request, attempt, .. } = question;
    let probed = attempt::probe_lost(&context, &mut permit, request, attempt, true).await;
    if matches!(probed, ProbeResult::Unknown) {
        probe::cancel(&context, &permit.pick.address, question);
    }
}
