//! A generation at the engine.

use std::time::Duration;

use actix_rt::time::Instant;
use actix_rt::time::sleep_until;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Finish;
use chicoryford_types::request::Task;

use super::Attempt;
use super::Signal;
use super::out::Rest;
use crate::engine;
use crate::engine::Chunks;
use crate::engine::EngineError;
use crate::engine::Part;
use crate::gate::End;

/// Time without a token after which the connection to the engine counts as silent. Something
/// between the two ends may have lost track of it; no token would ever come, while new
/// connections work.
const SILENCE: Duration = Duration::from_secs(5);
/// Tries to stop a completion at the engine.
const CANCEL_TRIES: u32 = 3;

/// What the task hears next.
enum Heard {
    Part(Result<Option<Part>, EngineError>),
    Cancel,
    Late,
    Silent,
}

/// Runs it to its end.
pub async fn run(mut attempt: Attempt) {
    let opened = {
        let Attempt { context, work, .. } = &attempt;
        let address = context.settings.address.as_str();
        match &work.task {
            Task::Generate(task) => {
                let open = engine::generate(&context.client, address, work, task);
                actix_rt::time::timeout(SILENCE, open).await
            }
            Task::Call(_) => Ok(Err(EngineError::NotReached("the attempt is a call".to_owned()))),
        }
    };
    match opened {
        Ok(Ok(chunks)) => stream(attempt, chunks).await,
        Ok(Err(error)) => attempt.fail(error).await,
        Err(_) => {
            give_up(attempt, Code::EndpointFailed, "the engine did not begin to answer").await
        }
    }
}

async fn stream(mut attempt: Attempt, mut chunks: Chunks) {
    let mut count = 0;
    let mut progress = Instant::now();
    loop {
        match hear(&mut attempt, &mut chunks, progress).await {
            Heard::Part(Ok(Some(Part::Tokens(tokens)))) if attempt.work.floor > tokens.version => {
                let detail = "the engine runs a version older than the sample may have";
                return give_up(attempt, Code::Stale, detail).await;
            }
            Heard::Part(Ok(Some(Part::Tokens(tokens)))) => {
                progress = Instant::now();
                count += tokens.count;
                attempt.out.put(Event::Tokens(tokens)).await;
            }
            Heard::Part(Ok(Some(Part::Last { tokens, reason }))) => {
                return finish(attempt, count, tokens, reason).await;
            }
            Heard::Part(Ok(None)) => {
                let error = EngineError::Broken("the stream ended without its end".to_owned());
                return attempt.fail(error).await;
            }
            Heard::Part(Err(error)) => return attempt.fail(error).await,
            Heard::Cancel => return give_up(attempt, Code::DeadlinePassed, "cancelled").await,
            Heard::Late => {
                let detail = "the deadline passed while the attempt ran";
                return give_up(attempt, Code::DeadlinePassed, detail).await;
            }
            Heard::Silent if attempt.is_swapping() => progress = Instant::now(),
            Heard::Silent => {
                let detail = "the connection to the engine went silent";
                return give_up(attempt, Code::EndpointFailed, detail).await;
            }
        }
    }
}

async fn hear(attempt: &mut Attempt, chunks: &mut Chunks, progress: Instant) -> Heard {
    let Attempt { out, signal, deadline, .. } = attempt;
    loop {
        tokio::select! {
            biased;
            Ok(_) = signal.wait_for(|signal| *signal == Signal::Cancel) => return Heard::Cancel,
            part = chunks.next() => return Heard::Part(part),
            () = sleep_until(*deadline) => return Heard::Late,
            () = sleep_until(progress + SILENCE) => return Heard::Silent,
            rest = out.rest() => if rest == Rest::Gone {
                return Heard::Cancel;
            },
        }
    }
}

/// The engine's own count must agree with the tokens that came: a chunk that was lost between
/// would otherwise give a caller an answer with a hole.
async fn finish(mut attempt: Attempt, count: u32, tokens: u32, reason: String) {
    if count != tokens {
        let detail = format!("the engine counts {tokens} tokens, {count} came");
        return attempt.fail(EngineError::Broken(detail)).await;
    }
    let load = Some(attempt.context.load());
    attempt.end(End::Finished, Event::Finished(Finish { tokens, reason, load })).await;
}

/// Stops the completion at the engine and has it confirmed, so that its slot is free there when
/// the gate lets the next one in.
async fn give_up(mut attempt: Attempt, code: Code, detail: &str) {
    let mut confirmed = false;
    for _ in 0..CANCEL_TRIES {
        let Attempt { context, work, .. } = &attempt;
        match engine::cancel(&context.fresh, &context.settings.address, work).await {
            Ok(_) => confirmed = true,
            Err(EngineError::NotReached(_)) => {}
            Err(_) => continue,
        }
        break;
    }
    let id = attempt.id;
    tracing::info!(
        event = "attempt_stopped", request = %id.request, attempt = %id.attempt, detail, confirmed
    );
    attempt.context.kernel.metrics.count("agent.stopped", 1);
    let end = if confirmed { End::Stopped } else { End::Broken };
    attempt.end(end, Event::Failed(Failure::unknown(code, detail))).await;
    let _ = attempt.context.handle.look.offer(());
}
