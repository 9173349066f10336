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
use crate::router::Ticket;
use crate::router::Verdict;
use crate::run::attempt;
use crate::run::attempt::Attempt;
use crate::run::attempt::Broken;
use crate::run::attempt::Settled;
use crate::run::job::Job;
use crate::run::rescue;

/// Leaving endpoints that one request may meet before that counts as a failure.
const MOVES: u32 = 8;

/// An attempt and its place at an endpoint.
pub struct Live {
    /// The place.
    pub ticket: Ticket,
    /// The attempt.
    pub attempt: Attempt,
    /// Its number; a later attempt may have been made beside it.
    pub number: Number,
}

/// An attempt that broke off, and its place.
pub struct Ended {
    /// The place.
    pub ticket: Ticket,
    /// The attempt's number.
    pub number: Number,
    /// How it broke off.
    pub broken: Broken,
}

/// What follows a broken attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Another attempt may be made.
    Again,
    /// The agent had the answer of a plain service after all.
    Answered(StoredAnswer),
}

/// The attempts of one request.
pub struct Tries {
    /// What the thread has.
    pub context: Context,
    /// The request.
    pub job: Job,
    /// Whether an attempt may have reached an endpoint. From then on no failure of the request
    /// may say "not run", whatever later attempts met.
    pub touched: bool,
    /// The failure of the last attempt.
    pub last: Option<Failure>,
    /// The place that the request got when it was let in, for its first attempt.
    first: Option<Ticket>,
}

impl Tries {
    /// Starts before the first attempt.
    pub fn new(context: Context, job: Job, first: Ticket) -> Self {
        Self { context, job, touched: false, last: None, first: Some(first) }
    }

    /// Makes the next attempt, trying endpoint after endpoint while each truly did not run it.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn start(&mut self, task: &Task) -> Result<Live, Failure> {
        loop {
            let (ticket, work) = self.prepare(task).await?;
            let (number, deadline) = (work.attempt, self.job.deadline);
            match Attempt::open(&self.context, &ticket.pick.address, &work, deadline).await {
                Ok(attempt) => return Ok(Live { ticket, attempt, number }),
                Err(broken) => self.again(Ended { ticket, number, broken }).await?,
            }
        }
    }

    /// Finds the place of the next attempt, and numbers it.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn prepare(&mut self, task: &Task) -> Result<(Ticket, Work), Failure> {
        let ticket = match self.first.take() {
            Some(ticket) => ticket,
            None => {
                let chosen = self.context.router.choose(self.job.want()).await;
                chosen.map_err(|refusal| self.refused(refusal))?
            }
        };
        self.job.attempt = self.job.attempt.next();
        let work = self.job.work(task.clone(), &ticket.pick, self.context.now());
        Ok((ticket, work))
    }

    /// Waits until another attempt may follow one that broke off before its first event.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn again(&mut self, ended: Ended) -> Result<(), Failure> {
        match self.judge(ended).await? {
            Next::Again => Ok(()),
            Next::Answered(_) => {
                let detail = "the answer was lost on its way";
                let failure = Failure::unknown(Code::EndpointFailed, detail);
                self.touched = true;
                match wait(&self.context, &mut self.job, &failure).await {
                    true => Ok(()),
                    false => Err(failure),
                }
            }
        }
    }

    /// Takes note of an attempt that broke off while another one of the request goes on.
    pub fn set_aside(&mut self, ended: Ended) {
        let Ended { mut ticket, number, broken } = ended;
        match broken {
            Broken::NotRun(failure) => ticket.verdict = Verdict::of_refusal(failure.code),
            Broken::Failed(failure) if failure.code == Code::EndpointFailed => {
                ticket.verdict = Verdict::Failed;
            }
            Broken::Lost(_) => {
                let work = AttemptQuestion {
                    request: self.job.request,
                    attempt: number,
                    incarnation: ticket.pick.incarnation,
                    cancel: true,
                };
                actix_rt::spawn(rescue::cancel(self.context.clone(), ticket, work));
            }
            Broken::Failed(_) | Broken::Late => {}
        }
    }

    /// Decides what follows a broken attempt.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn after(&mut self, mut live: Live, broken: Broken) -> Result<Next, Failure> {
        if matches!(broken, Broken::Lost(_)) {
            live.attempt.leave();
        }
        let Live { ticket, number, .. } = live;
        self.judge(Ended { ticket, number, broken }).await
    }

    async fn judge(&mut self, ended: Ended) -> Result<Next, Failure> {
        let Ended { mut ticket, number, broken } = ended;
        let endpoint = ticket.pick.endpoint.clone();
        let request = self.job.request;
        tracing::info!(event = "attempt_broken", %request, %number, %endpoint, ?broken);
        self.context.kernel.metrics.count("entry.attempt.broken", 1);
        let failure = match broken {
            Broken::NotRun(failure) => {
                ticket.verdict = Verdict::of_refusal(failure.code);
                if is_final(failure.code) {
                    return Err(self.finally(failure));
                }
                failure
            }
            Broken::Failed(failure) => {
                self.touched = true;
                if failure.code == Code::EndpointFailed {
                    ticket.verdict = Verdict::Failed;
                }
                if !self.job.repeatable || is_final(failure.code) {
                    return Err(failure);
                }
                failure
            }
            Broken::Lost(failure) => {
                let cancel = self.job.repeatable;
                let settled =
                    attempt::settle(&self.context, &mut ticket, request, number, cancel).await;
                match settled {
                    Settled::NotRun => {
                        Failure::not_run(Code::EndpointFailed, "the connection was lost")
                    }
                    Settled::Done(answer) => return Ok(Next::Answered(answer)),
                    Settled::Running | Settled::Unknown => {
                        self.touched = true;
                        if !self.job.repeatable {
                            return Err(failure);
                        }
                        failure
                    }
                }
            }
            Broken::Late => {
                self.touched = true;
                let detail = "the deadline passed while the request ran";
                return Err(Failure::unknown(Code::DeadlinePassed, detail));
            }
        };
        drop(ticket);
        self.job.avoid.push(endpoint);
        if !wait(&self.context, &mut self.job, &failure).await {
            return Err(self.finally(failure));
        }
        self.last = Some(failure);
        Ok(Next::Again)
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
        if self.touched { Failure { outcome: Outcome::Unknown, ..failure } } else { failure }
    }
}

/// Waits until a failed request may be tried again; tells whether it may.
///
/// What met a leaving endpoint goes on to another at once, without use of the retry budget: it
/// did not fail, and a planned stop would otherwise use up the budget of its workspace.
pub async fn wait(context: &Context, job: &mut Job, failure: &Failure) -> bool {
    if failure.code == Code::Draining && job.moved < MOVES {
        job.moved += 1;
        return job.left(context.now()) > 0;
    }
    match context.router.again(job.again(failure.outcome)).await {
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
