//! Runs a generation at the engine.

use std::time::Duration;

use chicoryford_kernel::run_time;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Finish;
use chicoryford_types::request::Task;

use super::LiveAttempt;
use super::Signal;
use super::frame_sender::IdleEvent;
use crate::engine;
use crate::engine::CompletionStream;
use crate::engine::EngineError;
use crate::engine::Part;
use crate::gate::AttemptEnd;

/// The time without a token after which the connection to the engine counts as lost. A device
/// between the two ends may have dropped the connection's state; then no token would ever arrive,
/// although new connections work.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of attempts to stop a completion at the engine.
const MAX_CANCEL_ATTEMPTS: u32 = 3;

/// The next event in a running generation.
enum NextEvent {
    Part(Result<Option<Part>, EngineError>),
    Cancelled,
    DeadlinePassed,
    Silent,
}

/// Runs the generation to its end.
pub async fn run(mut attempt: LiveAttempt) {
    let opened = {
        let LiveAttempt { context, work, .. } = &attempt;
        let address = context.settings.address.as_str();
        match &work.task {
            Task::Generate(task) => {
                let open = engine::generate(&context.client, address, work, task);
                run_time::timeout(TOKEN_TIMEOUT, open).await
            }
            Task::Call(_) => Ok(Err(EngineError::NotReached("the attempt is a call".to_owned()))),
        }
    };
    match opened {
        Ok(Ok(chunks)) => stream(attempt, chunks).await,
        Ok(Err(error)) => attempt.fail(error).await,
        Err(_) => abort(attempt, Code::EndpointFailed, "the engine did not start to answer").await,
    }
}

/// Forwards the tokens of a completion until it ends or fails.
async fn stream(mut attempt: LiveAttempt, mut chunks: CompletionStream) {
    let mut count = 0;
    let mut last_progress = RunTimer::start();
    loop {
        match next_event(&mut attempt, &mut chunks, &last_progress).await {
            NextEvent::Part(Ok(Some(Part::Tokens(tokens))))
                if attempt.work.floor > tokens.version =>
            {
                let detail = "the engine runs a version older than the sample allows";
                return abort(attempt, Code::Stale, detail).await;
            }
            NextEvent::Part(Ok(Some(Part::Tokens(tokens)))) => {
                last_progress = RunTimer::start();
                count += tokens.count;
                attempt.frames.send(Event::Tokens(tokens)).await;
            }
            NextEvent::Part(Ok(Some(Part::Last { tokens, reason }))) => {
                return finish(attempt, count, tokens, reason).await;
            }
            NextEvent::Part(Ok(None)) => {
                let error =
                    EngineError::Broken("the stream ended without the end event".to_owned());
                return attempt.fail(error).await;
            }
            NextEvent::Part(Err(error)) => return attempt.fail(error).await,
            NextEvent::Cancelled => return abort(attempt, Code::DeadlinePassed, "cancelled").await,
            NextEvent::DeadlinePassed => {
                let detail = "the deadline passed while the attempt ran";
                return abort(attempt, Code::DeadlinePassed, detail).await;
            }
            NextEvent::Silent if attempt.is_loading_weights() => last_progress = RunTimer::start(),
            NextEvent::Silent => {
                let detail = "the connection to the engine went silent";
                return abort(attempt, Code::EndpointFailed, detail).await;
            }
        }
    }
}

async fn next_event(
    attempt: &mut LiveAttempt,
    chunks: &mut CompletionStream,
    last_progress: &RunTimer,
) -> NextEvent {
    let LiveAttempt { frames, signal, deadline, .. } = attempt;
    loop {
        tokio::select! {
            biased;
            Ok(_) = signal.wait_for(|signal| *signal == Signal::Cancel)
                => return NextEvent::Cancelled,
            part = chunks.next() => return NextEvent::Part(part),
            () = last_progress.passed(*deadline) => return NextEvent::DeadlinePassed,
            () = last_progress.expired(TOKEN_TIMEOUT) => return NextEvent::Silent,
            event = frames.wait_idle() => if event == IdleEvent::Disconnected {
                return NextEvent::Cancelled;
            },
        }
    }
}

/// Ends a finished generation. The engine's token count must equal the number of received tokens;
/// otherwise a chunk was lost and the caller would get an answer with a gap.
async fn finish(mut attempt: LiveAttempt, count: u32, tokens: u32, reason: String) {
    if count != tokens {
        let detail = format!("the engine counted {tokens} tokens, {count} were received");
        return attempt.fail(EngineError::Broken(detail)).await;
    }
    let load = Some(attempt.context.load());
    attempt.end(AttemptEnd::Finished, Event::Finished(Finish { tokens, reason, load })).await;
}

/// Stops the completion at the engine and waits for the confirmation, so that its slot there is
/// free when the gate starts the next attempt.
async fn abort(mut attempt: LiveAttempt, code: Code, detail: &str) {
    let mut confirmed = false;
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let LiveAttempt { context, work, .. } = &attempt;
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
    let end = if confirmed { AttemptEnd::Stopped } else { AttemptEnd::Broken };
    attempt.end(end, Event::Failed(Failure::unknown(code, detail))).await;
    let _ = attempt.context.handle.check_now.offer(());
}
