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
use crate::router::Ticket;
use crate::run::attempt;
use crate::run::attempt::Attempt;
use crate::run::attempt::Broken;
use crate::run::attempt::Settled;
use crate::run::job::Job;
use crate::run::probe;
use crate::run::tries::Ended;
use crate::run::tries::Live;
use crate::run::tries::Tries;

/// What an attempt came to: its first event, or how it broke off before.
type Came = Result<(Live, Event), Ended>;

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
pub async fn first(tries: &mut Tries, task: &Task) -> Result<(Live, Event), Failure> {
    loop {
        let (ticket, work) = tries.prepare(task).await?;
        match race(tries, task, ticket, work).await {
            Ok(first) => return Ok(first),
            Err(ended) => tries.again(ended).await?,
        }
    }
}

/// Makes an attempt, and a second one beside it if it stays silent and the budget allows it.
async fn race(tries: &mut Tries, task: &Task, ticket: Ticket, work: Work) -> Came {
    let context = tries.context.clone();
    let endpoint = ticket.pick.endpoint.clone();
    let begun = context.now();
    let patience = patience(tries);
    let mut one = make(&context, &tries.job, ticket, work);
    let came = match actix_rt::time::timeout(patience, &mut one).await {
        Ok(came) => came,
        Err(_) => match second(tries, task, endpoint).await {
            Some(other) => {
                // From here on an attempt that nobody reads may run.
                tries.touched = true;
                either(tries, one, other).await
            }
            None => one.await,
        },
    };
    if came.is_ok() {
        let ms = context.now().since(begun);
        context.firsts.borrow_mut().learn(&tries.job.model, ms);
    }
    came
}

fn patience(tries: &Tries) -> Duration {
    let left = tries.job.left(tries.context.now());
    tries.context.firsts.borrow().patience(&tries.job.model, left)
}

/// Begins a second attempt elsewhere, within the retry budget of the workspace: under an overload
/// every request is late, and a second attempt for each would double the load.
async fn second(tries: &mut Tries, task: &Task, endpoint: Endpoint) -> Option<Maker> {
    let context = tries.context.clone();
    let again = tries.job.again(Outcome::Unknown);
    context.router.again(again).await?;
    tries.job.avoid.push(endpoint);
    let (ticket, work) = tries.prepare(task).await.ok()?;
    let (request, elsewhere) = (tries.job.request, &ticket.pick.endpoint);
    tracing::info!(event = "request_rescued", %request, endpoint = %elsewhere);
    context.kernel.metrics.count("entry.rescued", 1);
    Some(make(&context, &tries.job, ticket, work))
}

/// Takes the first of two attempts that gives an event; one that breaks off leaves the other.
async fn either(tries: &mut Tries, one: Maker, other: Maker) -> Came {
    let (came, rest) = match select(one, other).await {
        Either::Left((came, rest)) | Either::Right((came, rest)) => (came, rest),
    };
    match came {
        Ok(first) => Ok(first),
        Err(ended) => {
            tries.set_aside(ended);
            rest.await
        }
    }
}

fn make(context: &Context, job: &Job, ticket: Ticket, work: Work) -> Maker {
    let (context, deadline) = (context.clone(), job.deadline);
    Box::pin(async move {
        let mut making = Making { context, ticket: Some(ticket), attempt: None, work };
        let opened = {
            let Making { context, ticket, work, .. } = &making;
            let address = ticket.as_ref().map(|ticket| ticket.pick.address.as_str());
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
    ticket: Option<Ticket>,
    attempt: Option<Attempt>,
    work: Work,
}

impl Making {
    fn live(mut self) -> Live {
        let ticket = self.ticket.take().expect("it is taken once");
        let attempt = self.attempt.take().expect("it gave an event");
        Live { ticket, attempt, number: self.work.attempt }
    }

    fn ended(mut self, broken: Broken) -> Ended {
        if let (Some(attempt), Broken::Lost(_)) = (&mut self.attempt, &broken) {
            attempt.leave();
        }
        let ticket = self.ticket.take().expect("it is taken once");
        Ended { ticket, number: self.work.attempt, broken }
    }
}

impl Drop for Making {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        if let Some(attempt) = &mut self.attempt {
            attempt.leave();
        }
        let Work { request, attempt, incarnation, .. } = self.work;
        let question = AttemptQuestion { request, attempt, incarnation, cancel: true };
        actix_rt::spawn(cancel(self.context.clone(), ticket, question));
    }
}

/// Cancels an attempt and keeps its place until the agent has confirmed it: the endpoint would
/// otherwise be given new work while it still makes tokens that nobody reads.
pub async fn cancel(context: Context, mut ticket: Ticket, question: AttemptQuestion) {
    let AttemptQuestion { request, attempt, .. } = question;
    let settled = attempt::settle(&context, &mut ticket, request, attempt, true).await;
    if matches!(settled, Settled::Unknown) {
        probe::cancel(&context, &ticket.pick.address, question);
    }
}
