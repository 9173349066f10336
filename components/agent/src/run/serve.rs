//! A call of a plain service.

use std::time::Duration;

use actix_rt::time::sleep_until;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Finish;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;

use super::Attempt;
use super::Signal;
use super::out::Rest;
use crate::engine::EngineError;
use crate::gate::End;
use crate::service;

/// Time for which a call that may not be repeated is still waited for after its deadline: its
/// answer is stored for a resend.
const LINGER: Duration = Duration::from_secs(60);

enum Ended {
    Answer(Result<StoredAnswer, EngineError>),
    Stopped(Code, &'static str),
}

/// Runs it to its end.
pub async fn run(mut attempt: Attempt) {
    match call(&mut attempt).await {
        Ended::Answer(Ok(answer)) => finish(attempt, answer).await,
        Ended::Answer(Err(error)) => attempt.fail(error).await,
        Ended::Stopped(code, detail) => {
            let failure = Failure::unknown(code, detail);
            attempt.end(End::Stopped, Event::Failed(failure)).await;
        }
    }
}

async fn call(attempt: &mut Attempt) -> Ended {
    let Attempt { context, work, deadline, signal, out, .. } = attempt;
    let Task::Call(task) = &work.task else {
        return Ended::Stopped(Code::Internal, "the attempt is no call");
    };
    let once = !work.repeatable;
    let last = if once { *deadline + LINGER } else { *deadline };
    let address = context.settings.address.as_str();
    let call = service::call(&context.fresh, address, work, task);
    tokio::pin!(call);
    let mut gone = false;
    loop {
        tokio::select! {
            biased;
            answer = &mut call => return Ended::Answer(answer),
            Ok(_) = signal.wait_for(|signal| *signal == Signal::Cancel), if !once => {
                return Ended::Stopped(Code::DeadlinePassed, "cancelled");
            }
            () = sleep_until(last) => {
                let detail = "the deadline passed while the service had the call";
                return Ended::Stopped(Code::DeadlinePassed, detail);
            }
            rest = out.rest(), if !gone => {
                gone = rest == Rest::Gone;
                if gone && !once {
                    return Ended::Stopped(Code::DeadlinePassed, "nobody waits for the answer");
                }
            }
        }
    }
}

/// The answer is in the gate's memory before the entry gets it, so that a resend finds it even
/// if this process's connections break now.
async fn finish(mut attempt: Attempt, answer: StoredAnswer) {
    attempt.end(End::Answered(answer.clone()), Event::Answer(answer)).await;
    let load = Some(attempt.context.load());
    let finish = Finish { tokens: 0, reason: "stop".to_owned(), load };
    attempt.out.put(Event::Finished(finish)).await;
}
