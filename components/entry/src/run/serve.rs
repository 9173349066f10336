//! Runs a call of a plain service that may be repeated.

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::request::ServiceCall;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;

use crate::context::Context;
use crate::router::Verdict;
use crate::run::attempt::Broken;
use crate::run::job::Job;
use crate::run::settle;
use crate::run::tries::Live;
use crate::run::tries::Next;
use crate::run::tries::Tries;

/// A whole answer and what it took.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// The answer.
    pub answer: StoredAnswer,
    /// How many attempts it took.
    pub attempts: u32,
}

/// Runs a call until an endpoint answers.
///
/// # Errors
///
/// The final failure of the request.
pub async fn call(context: &Context, job: Job, call: ServiceCall) -> Result<Served, Failure> {
    let (mut entered, first) = context.router.enter(job.want()).await?;
    let mut tries = Tries::new(context.clone(), job, first);
    let task = Task::Call(call);
    loop {
        let mut live = tries.start(&task).await?;
        let answer = match read(&mut live).await {
            Ok(answer) => answer,
            Err(broken) => match tries.after(live, broken).await? {
                Next::Answered(answer) => answer,
                Next::Again => continue,
            },
        };
        settle::cleared(context, &tries.job);
        entered.ran = true;
        return Ok(Served { answer, attempts: tries.job.attempt.0 });
    }
}

/// Reads an answer and its explicit end; an answer without it is not whole.
pub async fn read(live: &mut Live) -> Result<StoredAnswer, Broken> {
    let mut held = None;
    loop {
        match live.attempt.next().await? {
            Event::Answer(answer) => held = Some(answer),
            Event::Finished(finish) => {
                live.ticket.verdict = Verdict::Ran(finish.load);
                return held.ok_or_else(|| {
                    let detail = "the service's answer ended without a body";
                    Broken::Failed(Failure::unknown(Code::EndpointFailed, detail))
                });
            }
            _ => {}
        }
    }
}
