//! Runs a call of a plain service.

use std::time::Duration;

use actix_rt::time::sleep_until;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Finish;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;

use super::LiveAttempt;
use super::Signal;
use super::frame_sender::IdleEvent;
use crate::engine::EngineError;
use crate::gate::AttemptEnd;
use crate::service;

/// The time after the deadline for which the answer of a call that must run at most once is still
/// awaited, so that it can be stored for a resend.
const ANSWER_GRACE: Duration = Duration::from_secs(60);

/// How a call ended.
enum CallEnd {
    Answer(Result<StoredAnswer, EngineError>),
    Stopped(Code, &'static str),
}

/// Runs the call to its end.
pub async fn run(mut attempt: LiveAttempt) {
    match call(&mut attempt).await {
        CallEnd::Answer(Ok(answer)) => finish(attempt, answer).await,
        CallEnd::Answer(Err(error)) => attempt.fail(error).await,
        CallEnd::Stopped(code, detail) => {
            let failure = Failure::unknown(code, detail);
            attempt.end(AttemptEnd::Stopped, Event::Failed(failure)).await;
        }
    }
}

async fn call(attempt: &mut LiveAttempt) -> CallEnd {
    let LiveAttempt { context, work, deadline, signal, frames, .. } = attempt;
    let Task::Call(task) = &work.task else {
        return CallEnd::Stopped(Code::Internal, "the attempt is not a call");
    };
    let at_most_once = !work.repeatable;
    let give_up_at = if at_most_once { *deadline + ANSWER_GRACE } else { *deadline };
    let address = context.settings.address.as_str();
    let call = service::call(&context.fresh, address, work, task);
    tokio::pin!(call);
    let mut disconnected = false;
    loop {
        tokio::select! {
            biased;
            answer = &mut call => return CallEnd::Answer(answer),
            Ok(_) = signal.wait_for(|signal| *signal == Signal::Cancel), if !at_most_once => {
                return CallEnd::Stopped(Code::DeadlinePassed, "cancelled");
            }
            () = sleep_until(give_up_at) => {
                let detail = "the deadline passed while the service processed the call";
                return CallEnd::Stopped(Code::DeadlinePassed, detail);
            }
            event = frames.wait_idle(), if !disconnected => {
                disconnected = event == IdleEvent::Disconnected;
                if disconnected && !at_most_once {
                    return CallEnd::Stopped(Code::DeadlinePassed, "the entry disconnected");
                }
            }
        }
    }
}

/// Ends an answered call. The gate stores the answer before it is sent to the entry, so that a
/// resend finds it even if the connection breaks now.
async fn finish(mut attempt: LiveAttempt, answer: StoredAnswer) {
    attempt.end(AttemptEnd::Answered(answer.clone()), Event::Answer(answer)).await;
    let load = Some(attempt.context.load());
    let finish = Finish { tokens: 0, reason: "stop".to_owned(), load };
    attempt.frames.send(Event::Finished(finish)).await;
}
