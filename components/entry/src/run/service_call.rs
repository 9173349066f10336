//! Runs a repeatable call of a plain service.

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::request::ServiceCall;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;

use crate::context::Context;
use crate::router::AttemptEnd;
use crate::run::attempt::AttemptError;
use crate::run::attempts::Attempts;
use crate::run::attempts::LiveAttempt;
use crate::run::attempts::Recovery;
use crate::run::background;
use crate::run::job::Job;

/// A complete answer and the number of attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReply {
    /// The answer.
    pub answer: StoredAnswer,
    /// Number of attempts that were made.
    pub attempts: u32,
}

/// Runs a call until an endpoint answers.
///
/// # Errors
///
/// Returns the final failure of the request.
pub async fn call(context: &Context, job: Job, call: ServiceCall) -> Result<ServiceReply, Failure> {
    let (mut request_permit, first) = context.router.admit(job.endpoint_query()).await?;
    let mut attempts = Attempts::new(context.clone(), job, first);
    let task = Task::Call(call);
    loop {
        let mut live = attempts.start(&task).await?;
        let answer = match read(&mut live).await {
            Ok(answer) => answer,
            Err(error) => match attempts.recover(live, error).await? {
                Recovery::Answered(answer) => answer,
                Recovery::Retry => continue,
            },
        };
        background::clear_suspect(context, &attempts.job);
        request_permit.ran = true;
        return Ok(ServiceReply { answer, attempts: attempts.job.attempt.0 });
    }
}

/// Reads an answer and its explicit end. An answer without the end is incomplete.
///
/// # Errors
///
/// Returns an [`AttemptError`] if the attempt failed or ended without a body.
pub async fn read(live: &mut LiveAttempt) -> Result<StoredAnswer, AttemptError> {
    let mut answer = None;
    loop {
        match live.attempt.next().await? {
            Event::Answer(received) => answer = Some(received),
            Event::Finished(finish) => {
                live.permit.end = AttemptEnd::Ran(finish.load);
                return answer.ok_or_else(|| {
                    let detail = "the service sent no response body";
                    AttemptError::Failed(Failure::unknown(Code::EndpointFailed, detail))
                });
            }
            _ => {}
        }
    }
}
